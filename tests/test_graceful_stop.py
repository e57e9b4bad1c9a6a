"""Guards planned stops and version rolls under load: nothing is cut off, mixed or run twice."""

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


def _load(fleet, record):
    return LoadGenerator(
        balancer=Balancer(entries=fleet.entries),
        record=record,
        body=fleet.query_body("", deadline_ms=6000),
        shards=fleet.shards(),
        seed=time.monotonic_ns(),
        callers=9,
    )


def _stop(daemon, record):
    clock = SystemClock()
    requested_at = clock.now()
    code = daemon.stop()
    record.stops.append(PlannedStop(daemon.name, requested_at, clock.now(), code))


def _restart(daemons, record):
    for daemon in daemons:
        _stop(daemon, record)
    for daemon in reversed(daemons):
        daemon.start()
    for daemon in daemons:
        daemon.wait_ready()


def _host(fleet, number):
    """Entry first and agent last: the order in which a host is stopped."""
    return [fleet.entries[number], fleet.dispatchers[number], fleet.agents[number]]


_RESTARTS = {
    "entry": lambda fleet: [[fleet.entries[0]]],
    "dispatch": lambda fleet: [[fleet.dispatchers[0]]],
    "agent": lambda fleet: [[fleet.agents[0]]],
    "all hosts": lambda fleet: [_host(fleet, number) for number in range(3)],
}


@pytest.mark.parametrize("name", _RESTARTS)
def test_a_planned_restart_under_load_cuts_nothing(fleet, name):
    record = RunRecord()
    record.only_planned_stops = True
    for leaf in fleet.leaves_by_id.values():
        leaf.reset()
    with _load(fleet, record).running():
        time.sleep(0.5)
        for daemons in _RESTARTS[name](fleet):
            _restart(daemons, record)
        time.sleep(0.5)
    collect_executions(fleet, record)
    assert len(record.stops) == sum(map(len, _RESTARTS[name](fleet)))
    assert any(not request.idempotent for request in record.requests)
    assert violations(record) == []


def test_a_roll_of_versions_under_load_mixes_nothing(fleet):
    record = RunRecord()
    for leaf in fleet.leaves_by_id.values():
        leaf.reset()
    without = re.sub(r"\[snapshot \d+\]\nmap = one\nstate = \w+\n", "", fleet.document)

    def apply(*states):
        text = without
        for version, state in zip((41, 42), states, strict=True):
            text += f"[snapshot {version}]\nmap = one\nstate = {state}\n"
        path = fleet.folder / "roll.ini"
        path.write_text(text, encoding="utf-8")
        fleet.ctl("apply", str(path), "--reason", "roll", "--wait", "30")

    with _load(fleet, record).running():
        time.sleep(0.5)
        apply("serving", "loading")
        # A leaf that loads late, and one that drops the old version before the others.
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
