"""Guards against lost, repeated or mislabelled calls whose owner is killed or stops responding.

The owner of a call is the dispatch process that sends it to a leaf.
"""

import re
import signal
import threading
import time

import pytest

from filbertreach.membership import owner_candidates
from filbertreach_standins import StandInProcess
from filbertreach_standins.faults import RunRecord, submit, violations
from filbertreach_standins.faults.run import collect_executions
from filbertreach_standins.fleet import Fleet, FleetOptions

_WAIT_SECONDS = 20.0


@pytest.fixture(scope="module")
def store():
    with StandInProcess(module="key_value") as process:
        yield process.control


@pytest.fixture(scope="module")
def fleet(store):
    platform = {"key_value_url": store.base_url, "timeout_seconds": "1"}
    options = FleetOptions(
        services=2,
        wait="complete",
        policy={"least_coverage": "0.1"},
        settings={"platform": platform},
    )
    with Fleet(options=options) as running:
        yield running


def _owner(fleet, shard, position=0):
    members = [
        {"name": d.name, "role": "dispatch", "state": "live", "region": "minho"}
        for d in fleet.dispatchers
    ]
    order = owner_candidates(
        environment="local", service_name=shard, service_regions=["minho"], candidates=members
    )
    return next(d for d in fleet.dispatchers if d.name == order[position]["name"])


def _find_executions(fleet, key, value):
    return [
        run
        for leaf in fleet.leaves_by_id.values()
        for run in leaf.executions()
        if run[key] == value
    ]


def _wait_until(condition, seconds=_WAIT_SECONDS):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.01)
    raise AssertionError("the condition was not met before the time-out")


def _body(fleet, tag, *, idempotent, service_ms, deadline_ms, shards=("fleet-0",)):
    query = {"rows": 3, "service_ms": service_ms}
    if not idempotent:
        query["write"] = tag
    return fleet.query_body(
        tag, shards=list(shards), query=query, idempotent=idempotent, deadline_ms=deadline_ms
    )


class _PendingRequest:
    """A request in progress."""

    def __init__(self, fleet, tag, **changes):
        self.record = RunRecord()
        self.request = None
        body = _body(fleet, tag, **changes)

        def run():
            self.request = submit(entry=fleet.entries[0], body=body, tag=tag, record=self.record)

        self._thread = threading.Thread(target=run)
        self._thread.start()

    def result(self):
        self._thread.join()
        return self.request


def _count_first_calls(dispatcher):
    text = dispatcher.get("/metrics")[1].decode()
    match = re.search(r'^filbertreach_leaf_calls_total\{.*kind="first".*\} (\S+)$', text, re.M)
    return float(match.group(1)) if match else 0.0


def _is_answered_by_owner(fleet, shard):
    owner = _owner(fleet, shard)
    before = _count_first_calls(owner)
    tag = f"warm{time.monotonic_ns()}"
    body = _body(fleet, tag, idempotent=True, service_ms=0, deadline_ms=500, shards=[shard])
    return fleet.entries[0].query(body)[0] == 200 and _count_first_calls(owner) > before


@pytest.fixture
def owners_ready(fleet):
    """Resets the leaves and waits until the owner of each shard answers queries for it."""
    for leaf in fleet.leaves_by_id.values():
        leaf.reset()
    for daemon in [*fleet.dispatchers, *fleet.entries]:
        daemon.wait_ready()
    for shard in fleet.shards():
        _wait_until(lambda shard=shard: _is_answered_by_owner(fleet, shard))


@pytest.mark.parametrize(
    ("idempotent", "leaves_shed", "problem"),
    [
        (True, False, ""),
        (True, True, "deadline-passed"),
        (False, False, "outcome-unknown"),
    ],
)
def test_a_call_whose_owner_is_killed(fleet, owners_ready, idempotent, leaves_shed, problem):
    tag = f"killed-{idempotent}-{leaves_shed}"
    owner = _owner(fleet, "fleet-0")
    pending = _PendingRequest(fleet, tag, idempotent=idempotent, service_ms=1500, deadline_ms=8000)
    _wait_until(lambda: _find_executions(fleet, "tag", tag))
    if leaves_shed:
        for leaf in fleet.leaves_by_id.values():
            leaf.set_faults(sheds=True)
    owner.kill()
    try:
        request = pending.result()
    finally:
        owner.start()
    collect_executions(fleet, pending.record)
    assert violations(pending.record) == []
    assert request.problem == problem, request
    assert (request.status == 200) == (problem == ""), request
    if not idempotent:
        assert len(_find_executions(fleet, "write", tag)) == 1


@pytest.mark.parametrize("idempotent", [True, False])
def test_a_call_whose_last_owner_is_killed_is_not_reported_as_not_run(
    fleet, owners_ready, idempotent
):
    tag = f"last-{idempotent}"
    pending = _PendingRequest(fleet, tag, idempotent=idempotent, service_ms=1500, deadline_ms=5000)
    _wait_until(lambda: _find_executions(fleet, "tag", tag))
    for dispatcher in fleet.dispatchers:
        dispatcher.kill()
    try:
        request = pending.result()
    finally:
        for dispatcher in fleet.dispatchers:
            dispatcher.start()
    collect_executions(fleet, pending.record)
    assert violations(pending.record) == []
    assert request.problem == ("deadline-passed" if idempotent else "outcome-unknown")


def test_a_lacking_shard_of_a_lost_owner_is_stated(fleet, owners_ready):
    # Both dispatch processes are killed while the call to one of the shards is in progress.
    record = RunRecord()
    body = _body(fleet, "lost", idempotent=True, service_ms=0, deadline_ms=5000)
    body["shards"] = fleet.shards()
    for leaf in ("fleet-1-a", "fleet-1-b"):
        fleet.leaves_by_id[leaf].set_faults(stuck=True)
    answers = []
    thread = threading.Thread(
        target=lambda: answers.append(
            submit(entry=fleet.entries[0], body=body, tag="lost", record=record)
        )
    )
    thread.start()
    _wait_until(lambda: _find_executions(fleet, "tag", "lost"))
    time.sleep(0.3)
    for dispatcher in fleet.dispatchers:
        dispatcher.kill()
    thread.join()
    for dispatcher in fleet.dispatchers:
        dispatcher.start()
    collect_executions(fleet, record)
    assert violations(record) == []
    assert answers[0].status == 200, answers
    assert answers[0].body["coverage"] == {
        "included": ["fleet-0"],
        "lacking": [{"shard": "fleet-1", "reason": "owner_lost"}],
        "complete": False,
    }


def test_a_paused_owner_does_not_run_a_call_after_its_deadline(fleet, owners_ready):
    owner = _owner(fleet, "fleet-0")
    owner.signal(signal.SIGSTOP)
    try:
        pending = _PendingRequest(fleet, "paused", idempotent=False, service_ms=0, deadline_ms=700)
        request = pending.result()
        time.sleep(0.5)
    finally:
        owner.signal(signal.SIGCONT)
    assert request.problem == "outcome-unknown", request
    # The owner has received the call by now: a heartbeat is sent every 0.5 s, and messages arrive
    # in the order in which they were sent.
    time.sleep(1.5)
    assert _find_executions(fleet, "write", "paused") == []
    repeated = _PendingRequest(
        fleet, "paused", idempotent=False, service_ms=0, deadline_ms=700
    ).result()
    assert repeated.problem == "request-id-in-use"


def test_a_call_at_a_paused_owner_is_moved_once_or_ends_as_unknown(fleet, owners_ready):
    owner = _owner(fleet, "fleet-0")
    owner.signal(signal.SIGSTOP)
    try:
        moved = _PendingRequest(fleet, "moved", idempotent=True, service_ms=0, deadline_ms=6000)
        kept = _PendingRequest(fleet, "kept", idempotent=False, service_ms=0, deadline_ms=6000)
        answers = [moved.result(), kept.result()]
    finally:
        owner.signal(signal.SIGCONT)
    time.sleep(1.0)
    assert answers[0].status == 200, answers
    assert answers[1].problem == "outcome-unknown", answers
    assert len(_find_executions(fleet, "write", "kept")) <= 1
