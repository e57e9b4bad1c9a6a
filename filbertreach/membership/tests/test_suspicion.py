"""Guards against live hosts that are detected as gone, and failed hosts that are not."""

import pytest

from filbertreach.membership import FailureDetector, HostTable, LocalHealth, MonitoringRings

_HOSTS = [f"host-{number}" for number in range(1, 7)]
_LONG_SECONDS = 60.0


def _table(suspects_by_host, gone=(), hosts=_HOSTS):
    table = HostTable()
    table.merge(
        {
            "host": host,
            "version": [1, 1],
            "agent_address": "127.0.0.1:1",
            "region": "minho",
            "data_centre": "minho-1",
            "state": "gone" if host in gone else "live",
            "members": [],
            "suspects": suspects_by_host.get(host, []),
        }
        for host in hosts
    )
    return table


def _gone_after(
    seconds, suspects_by_host, hosts=_HOSTS, gone=(), timeout_factor=1.0, unregistered=()
):
    detector = FailureDetector()
    table = _table(suspects_by_host, gone, hosts)
    rings = MonitoringRings([host for host in hosts if host not in gone])
    for now in (0.0, seconds):
        found = detector.gone_hosts(
            table=table,
            rings=rings,
            now=now,
            timeout_factor=timeout_factor,
            unregistered=unregistered,
        )
    return found


_ALL_SUSPECT_6 = {host: ["host-6"] for host in _HOSTS[:5]}
_REGIONS_CUT = {
    host: _HOSTS[3:] if host in _HOSTS[:3] else _HOSTS[:3]
    for host in _HOSTS[:3]  # the states that reach the first region
}


@pytest.mark.parametrize(
    ("seconds", "suspects", "expected"),
    [
        (_LONG_SECONDS, {}, set()),
        (0.6, _ALL_SUSPECT_6, {"host-6"}),
        (0.3, _ALL_SUSPECT_6, set()),
        # One of five observers is not enough while the others hear the host.
        (_LONG_SECONDS, {"host-1": ["host-6"]}, set()),
        # Two hosts that cannot reach each other.
        (_LONG_SECONDS, {"host-1": ["host-6"], "host-6": ["host-1"]}, set()),
        # The other region is unreachable: its observers are suspected and do not count.
        (_LONG_SECONDS, _REGIONS_CUT, set(_HOSTS[3:])),
    ],
)
def test_a_host_is_gone_when_all_unsuspected_observers_suspect_it(seconds, suspects, expected):
    assert _gone_after(seconds, suspects) == expected


def test_a_single_observer_has_the_maximum_timeout():
    pair = ["host-1", "host-2"]
    suspects = {"host-1": ["host-2"]}
    assert _gone_after(4.9, suspects, pair) == set()
    assert _gone_after(5.1, suspects, pair) == {"host-2"}
    assert _gone_after(0.6, suspects, pair, unregistered=["host-2"]) == {"host-2"}
    assert _gone_after(5.1, suspects, pair, timeout_factor=3.0) == set()


def test_a_stopped_host_is_gone_at_once():
    assert _gone_after(0.0, {}, gone=["host-2"]) == {"host-2"}


def test_a_paused_process_suspects_no_host_and_has_longer_timeouts():
    health = LocalHealth()
    assert health.may_suspect(100.0) and health.timeout_factor(100.0) == 1.0
    health.record_pause(seconds=3.0, now=100.0)
    assert not health.may_suspect(104.0) and health.timeout_factor(101.0) == 5.0
    assert health.may_suspect(105.0) and health.timeout_factor(105.0) == 1.0


@pytest.mark.parametrize("size", [1, 2, 8, 9, 40, 300])
def test_every_host_has_a_bounded_number_of_observers_and_all_are_connected(size):
    hosts = [f"host-{number}" for number in range(size)]
    rings = MonitoringRings(hosts)
    reached, frontier = set(), {hosts[0]}
    while frontier:
        reached |= frontier
        frontier = {o for host in frontier for o in rings.neighbours(host).all} - reached
    assert reached == set(hosts)
    for host in hosts:
        neighbours = rings.neighbours(host)
        assert len(neighbours.all) <= 8
        assert all(host in rings.neighbours(other).observers for other in neighbours.observed)
    assert not rings.neighbours("other").all
