"""Idle connections to leaves that accept fewer connections than there are hosts."""

import functools
import heapq
import random

import anyio
import pytest

from filbertreach.document import Leaf
from filbertreach.gateway._idle_connections import keeping_share, position_among_hosts
from filbertreach.gateway._leaf_connection import LeafConnection
from filbertreach.gateway._leaf_handle import Location
from filbertreach.gateway._process import GatewayProcess
from filbertreach.gateway._request_turns import TurnSchedule
from filbertreach.gateway._retry_budget import RetryBudgetSettings
from filbertreach.gateway._service_pool import ServicePool
from filbertreach.observability import Health
from filbertreach.platform import Bounds, HostSettings, LeafEntry
from filbertreach.timing import FakeClock, TimerService

_LEAVES = 200
_CALL_INTERVAL_SECONDS = 15.0
"""Mean time between the calls of a host to one leaf."""
_CALL_SECONDS = 0.03
_KEEP_ALIVE_SECONDS = 30.0


@functools.cache
def _positions(hosts: int, leaf: str) -> list[float]:
    return [position_among_hosts(host=f"front-{n}", leaf=leaf) for n in range(hosts)]


def _kept(hosts: int, connections: int, leaf: str) -> int:
    share = keeping_share(hosts=hosts, connections=connections)
    return sum(position < share for position in _positions(hosts, leaf))


@pytest.mark.parametrize(
    ("hosts", "connections"),
    [(68, 26), (127, 26), (127, 98), (1200, 26), (1200, 98), (1200, 857)],
)
def test_idle_connections_of_all_hosts_stay_below_what_a_leaf_accepts(
    hosts: int, connections: int
) -> None:
    # Guards against leaves whose connections are all idle at hosts that do not need them.
    kept = [_kept(hosts, connections, f"leaf-{n}") for n in range(_LEAVES)]
    assert sum(count > 0.8 * connections for count in kept) <= 0.06 * _LEAVES
    assert max(kept) < connections
    # Each connection that is not kept costs a handshake.
    assert sum(kept) / _LEAVES > 0.6 * 0.8 * connections


@pytest.mark.parametrize(
    ("hosts", "connections"), [(8, 26), (8, 857), (68, 98), (127, 857), (98, 98)]
)
def test_every_host_keeps_its_connection_where_leaves_accept_enough(
    hosts: int, connections: int
) -> None:
    assert _kept(hosts, connections, "leaf-1") == hosts


def test_an_unknown_number_of_hosts_or_connections_changes_nothing() -> None:
    assert keeping_share(hosts=None, connections=1) == 1.0
    assert keeping_share(hosts=1200, connections=None) == 1.0


def test_other_hosts_keep_the_connections_to_another_leaf() -> None:
    # Guards against hosts that have to open a connection for each call to any leaf.
    kept_by_host = [0] * 127
    share = keeping_share(hosts=127, connections=98)
    for number in range(_LEAVES):
        for host, position in enumerate(_positions(127, f"leaf-{number}")):
            kept_by_host[host] += position < share
    assert 0.7 * share < min(kept_by_host) / _LEAVES < max(kept_by_host) / _LEAVES < 1.3 * share


def _reset_share(hosts: int, connections: int, share: float) -> float:
    """Returns the share of attempts to connect that a leaf resets because it has no place left."""
    chance = random.Random(1)
    positions = _positions(hosts, "leaf-1")
    calls = [(chance.expovariate(1.0 / _CALL_INTERVAL_SECONDS), host) for host in range(hosts)]
    heapq.heapify(calls)
    open_until = [0.0] * hosts
    attempts = resets = 0
    while calls[0][0] < 300.0:
        now, host = heapq.heappop(calls)
        heapq.heappush(calls, (now + chance.expovariate(1.0 / _CALL_INTERVAL_SECONDS), host))
        is_open = open_until[host] > now
        open_count = sum(until > now for until in open_until)
        if not is_open:
            attempts += 1
            if open_count >= connections:
                resets += 1
                continue
        keeps = positions[host] < share
        open_until[host] = now + _CALL_SECONDS + (_KEEP_ALIVE_SECONDS if keeps else 0.0)
    return resets / attempts


@pytest.mark.parametrize(
    ("hosts", "connections", "least_without"),
    [(68, 26, 0.3), (127, 26, 0.3), (127, 98, 0.1), (1200, 98, 0.3), (1200, 857, 0.1)],
)
def test_a_leaf_has_a_place_for_hosts_that_open_a_connection(
    hosts: int, connections: int, least_without: float
) -> None:
    # Guards against resets of new connections; 1.0 is the share without the mechanism.
    assert _reset_share(hosts, connections, 1.0) > least_without
    assert _reset_share(hosts, connections, keeping_share(hosts=hosts, connections=connections)) < (
        0.01
    )


def _idle_connection(host: str, host_count: int) -> LeafConnection:
    """Returns a connection of a host after a request to a leaf that accepts 98 connections."""
    pool = ServicePool(
        service="fleet",
        location=Location("minho", "minho-1", host),
        budget=RetryBudgetSettings(),
        drain_seconds=3.0,
        schedule=TurnSchedule(),
        clock=FakeClock(start=100.0),
        spawn=lambda run, name: None,
    )
    pool.set_connections(98)
    leaf = Leaf("leaf-1", "10.0.0.1:80", "minho", "minho-1")
    pool.update_leaf(LeafEntry(leaf, "fleet", 2, False, 1), since=0.0)
    pool.set_host_count(host_count)
    connection = pool.handle_by_id["leaf-1"].open()
    connection._mark_idle()
    return connection


def test_hosts_close_the_connections_that_others_keep() -> None:
    # Guards against a decision that is not applied to connections.
    async def test() -> None:
        names = [f"front-{n}" for n in range(127)]
        kept = sum(not _idle_connection(host, 127)._scope.cancel_called for host in names)
        assert kept == _kept(127, 98, "leaf-1")
        assert not any(_idle_connection(host, 98)._scope.cancel_called for host in names)

    anyio.run(test)


def test_a_process_decides_with_the_name_of_its_host() -> None:
    # Guards against hosts that all come to the same decision, as they have no name.
    settings = HostSettings(
        host="front-7",
        data_centre="minho-1",
        region="minho",
        region_by_data_centre={"minho-1": "minho"},
        serve_address="127.0.0.1:1",
        ready_address="127.0.0.1:2",
        neighbour_address=None,
        seed_addresses=(),
        store_address="127.0.0.1:3",
        bounds=Bounds(5.0, 5.0, 3.0, 0.2, 10.0, 0.0),
    )
    process = GatewayProcess(settings=settings, timers=TimerService(), health=Health())
    pool = process.directory.pool("fleet")
    leaf = Leaf("leaf-1", "10.0.0.1:80", "minho", "minho-1")
    pool.update_leaf(LeafEntry(leaf, "fleet", 2, False, 1), since=0.0)
    position = position_among_hosts(host="front-7", leaf="leaf-1")
    assert pool.handle_by_id["leaf-1"]._position == position
