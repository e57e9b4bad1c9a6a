"""Guards calls on connections that deliver nothing any more while new connections work."""

import itertools

import pytest

from filbertreach_standins import StandInProcess
from filbertreach_standins.faults import RelayedFleet, RunRecord, submit, violations
from filbertreach_standins.faults.run import collect_executions
from filbertreach_standins.fleet import FleetOptions

_DEADLINE_MS = 8000
_request_numbers = itertools.count()


@pytest.fixture(scope="module")
def fleet():
    with StandInProcess(module="key_value") as store:
        platform = {"key_value_url": store.control.base_url, "timeout_seconds": "1"}
        options = FleetOptions(
            services=1, dispatchers=1, wait="complete", settings={"platform": platform}
        )
        with RelayedFleet(options=options) as running:
            yield running


def _send_request(fleet, record, *, idempotent, deadline_ms=_DEADLINE_MS):
    tag = f"q{next(_request_numbers)}"
    query = {"rows": 3} if idempotent else {"rows": 3, "write": tag}
    body = fleet.query_body(
        tag, shards=["fleet-0"], idempotent=idempotent, deadline_ms=deadline_ms, query=query
    )
    return submit(entry=fleet.entries[0], body=body, tag=tag, record=record)


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("process", ["dispatch-0", "entry-0"])
def test_a_call_over_a_silent_connection_between_processes(fleet, process, idempotent):
    record = RunRecord()
    assert _send_request(fleet, record, idempotent=True).status == 200
    fleet.silence(process)
    request = _send_request(fleet, record, idempotent=idempotent)
    # The connection is replaced and messages that were lost on it are resent once.
    assert request.status == 200, request
    collect_executions(fleet, record)
    assert violations(record) == []
    assert sum(run.tag == request.tag for run in record.executions) == 1


@pytest.mark.parametrize(("idempotent", "problem"), [(True, ""), (False, "outcome-unknown")])
def test_a_call_over_silent_connections_to_leaves(fleet, idempotent, problem):
    record = RunRecord()
    # Hedging needs latency statistics.
    for _ in range(40):
        assert _send_request(fleet, record, idempotent=True).status == 200
    silent_leaves = {"fleet-0-a"} if idempotent else set(fleet.leaves_by_id)
    for leaf in silent_leaves:
        fleet.leaves_by_id[leaf].set_faults(silent_connections=True)
    answers = [
        _send_request(fleet, record, idempotent=idempotent, deadline_ms=1000) for _ in range(4)
    ]
    assert {answer.problem for answer in answers} <= {"", problem}, answers
    assert any(answer.problem == problem for answer in answers), answers
    # The silent connections were replaced, so the leaves are usable again.
    assert _send_request(fleet, record, idempotent=True).status == 200
    collect_executions(fleet, record)
    assert violations(record) == []
