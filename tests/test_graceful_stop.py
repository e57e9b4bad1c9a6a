"""Guards against planned stops and version rolls that interrupt, mix or repeat requests."""

import re
import time

import pytest

from filbertreach.timing import SystemClock
from filbertreach_standins.faults import Balancer, LoadGenerator, PlannedStop, RunRecord, violations
from filbertreach_standins.faults.run import collect_executions
from filbertreach_standins.fleet import Fleet, FleetOptions


@pytest.fixture(scope="module")
def fleet():
    options = FleetOptions(
        hosts=3, services=4, connections=24, service_ms=60, leaf={"versions": [41, 42]}
    )
    with Fleet(options=options) as running:
        yield running


def _make_load_generator(fleet, record):
    return LoadGenerator(
        balancer=Balancer(entries=fleet.entries),
        record=record,
        body=fleet.query_body("", deadline_ms=6000),
        shards=fleet.shards(),
        seed=time.monotonic_ns(),
        callers=9,
    )


def _stop_daemon(daemon, record):
    clock = SystemClock()
    requested_at = clock.now()
    exit_code = daemon.stop()
    record.stops.append(PlannedStop(daemon.name, requested_at, clock.now(), exit_code))


def _restart_daemons(daemons, record):
    for daemon in daemons:
        _stop_daemon(daemon, record)
    for daemon in reversed(daemons):
        daemon.start()
    for daemon in daemons:
        daemon.wait_ready()


def _host_daemons(fleet, number):
    """Returns the daemons of one host in stop order: entry first, agent last."""
    return [fleet.entries[number], fleet.dispatchers[number], fleet.agents[number]]


_DAEMON_GROUPS_BY_CASE = {
    "entry": lambda fleet: [[fleet.entries[0]]],
    "dispatch": lambda fleet: [[fleet.dispatchers[0]]],
    "agent": lambda fleet: [[fleet.agents[0]]],
    "all hosts": lambda fleet: [_host_daemons(fleet, number) for number in range(3)],
}


@pytest.mark.parametrize("name", _DAEMON_GROUPS_BY_CASE)
def test_a_planned_restart_under_load_interrupts_no_request(fleet, name):
    record = RunRecord()
    record.only_planned_stops = True
    for leaf in fleet.leaves_by_id.values():
        leaf.reset()
    with _make_load_generator(fleet, record).running():
        time.sleep(0.5)
        for daemons in _DAEMON_GROUPS_BY_CASE[name](fleet):
            _restart_daemons(daemons, record)
        time.sleep(0.5)
    collect_executions(fleet, record)
    assert len(record.stops) == sum(map(len, _DAEMON_GROUPS_BY_CASE[name](fleet)))
    assert any(not request.idempotent for request in record.requests)
    assert violations(record) == []


def test_a_version_roll_under_load_mixes_no_versions(fleet):
    record = RunRecord()
    for leaf in fleet.leaves_by_id.values():
        leaf.reset()
    document_without_snapshots = re.sub(
        r"\[snapshot \d+\]\nmap = one\nstate = \w+\n", "", fleet.document
    )

    def apply(*states):
        text = document_without_snapshots
        for version, state in zip((41, 42), states, strict=True):
            text += f"[snapshot {version}]\nmap = one\nstate = {state}\n"
        path = fleet.folder / "roll.ini"
        path.write_text(text, encoding="utf-8")
        fleet.ctl("apply", str(path), "--reason", "roll", "--wait", "30")

    with _make_load_generator(fleet, record).running():
        time.sleep(0.5)
        apply("serving", "loading")
        # One leaf loads the new version after the others and drops the old one before them.
        fleet.leaves_by_id["fleet-0-a"].set_faults(versions=[41])
        apply("serving", "serving")
        fleet.leaves_by_id["fleet-0-a"].set_faults(versions=[42])
        apply("retired", "serving")
        for leaf in fleet.leaves_by_id.values():
            leaf.set_faults(versions=[42])
        time.sleep(0.5)
    collect_executions(fleet, record)
    answers = [request for request in record.requests if request.status == 200]
    assert {answer.body["snapshot_version"] for answer in answers} == {41, 42}
    assert violations(record) == []
