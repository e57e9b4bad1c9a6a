"""Guards callers against wrong outcomes when leaves fail.

A leaf fault must not lead to a wrong reason for a lacking shard, to rows of another query, or to a
request that is reported as not run although a leaf executed it.
"""

import itertools

import pytest

from filbertreach_standins import StandInProcess
from filbertreach_standins.faults import RunRecord, submit, violations
from filbertreach_standins.faults.run import collect_executions
from filbertreach_standins.fleet import Fleet, FleetOptions

_REASON_CASES = [
    ({"slow_factor": 10_000}, "deadline"),
    ({"stuck": True}, "deadline"),
    ({"black_hole": True}, "deadline"),
    ({"versions": [40]}, "version_unavailable"),
    ({"versions": [40, 2**70]}, "version_unavailable"),
    ({"fails_fast": True}, "leaf_failed"),
    ({"reset_before_reading": True}, "leaf_failed"),
    ({"reset_after_executing": True}, "leaf_failed"),
    ({"sheds": True}, "overloaded"),
    ({"sheds_unmarked": True}, "overloaded"),
    ({"garbage_body": True}, "invalid_response"),
    ({"wrong_call_id": True}, "invalid_response"),
    ({"wrong_version": True}, "invalid_response"),
    ({"wrong_shard": True}, "invalid_response"),
    ({"wrong_row_count": True}, "invalid_response"),
    ({"duplicate_rows": True}, "invalid_response"),
    ({"large_number": True}, "invalid_response"),
    ({"nested_rows": True}, "invalid_response"),
    ({"crossed_answer": True}, "invalid_response"),
    ({"truncated_body": True}, "invalid_response"),
    ({"oversized_body": True}, "invalid_response"),
]
_AT_MOST_ONCE_CASES = [
    ({"reset_before_reading": True}, "outcome-unknown", 0),
    ({"reset_after_executing": True}, "outcome-unknown", 1),
    ({"black_hole": True}, "outcome-unknown", 0),
    ({"stuck": True}, "outcome-unknown", 0),
    ({"fails_fast": True}, "outcome-unknown", 0),
    ({"garbage_body": True}, "outcome-unknown", 1),
    ({"truncated_body": True}, "outcome-unknown", 1),
    ({"sheds_unmarked": True}, "outcome-unknown", 0),
    ({"sheds": True}, "refused-not-run", 0),
    ({"draining": True}, "refused-not-run", 0),
    ({"versions": [40]}, "refused-not-run", 0),
]
_INVALID_RESPONSE_FAULTS = [case[0] for case in _REASON_CASES if case[1] == "invalid_response"]
# Each case has a service of its own, so that statistics about its leaves affect no other case.
_SERVICE_COUNT = len(_REASON_CASES) + len(_AT_MOST_ONCE_CASES) + len(_INVALID_RESPONSE_FAULTS) + 8
_request_numbers = itertools.count()
_service_numbers = itertools.count(1)


@pytest.fixture(scope="module")
def store():
    with StandInProcess(module="key_value") as process:
        yield process.control


@pytest.fixture(scope="module")
def fleet(store):
    platform = {"key_value_url": store.base_url, "timeout_seconds": "1"}
    options = FleetOptions(
        services=_SERVICE_COUNT,
        entries=2,
        wait="complete",
        policy={"least_coverage": "0.1"},
        settings={"platform": platform},
    )
    with Fleet(options=options) as running:
        yield running


@pytest.fixture
def shard():
    return f"fleet-{next(_service_numbers)}"


def _leaf_controls(fleet, shard):
    return [fleet.leaves_by_id[f"{shard}-{letter}"] for letter in "ab"]


def _send_request(fleet, shards, *, record=None, entry=0, **changes):
    number = next(_request_numbers)
    query = {"rows": 1 + number % 7, **changes.pop("query", {})}
    request_id = changes.pop("request_id", f"q{number}")
    body = fleet.query_body(request_id, shards=shards, query=query, **changes)
    record = RunRecord() if record is None else record
    return submit(entry=fleet.entries[entry], body=body, tag=f"t{number}", record=record)


def _send_write(fleet, shard, *, request_id=None, entry=0, record=None, **query):
    request_id = request_id or f"w{next(_request_numbers)}"
    return _send_request(
        fleet,
        [shard],
        record=record,
        entry=entry,
        request_id=request_id,
        idempotent=False,
        deadline_ms=700,
        query={"write": request_id, **query},
    )


def _count_executions(fleet, shard, write):
    runs = [run for leaf in _leaf_controls(fleet, shard) for run in leaf.executions()]
    return sum(run["write"] == write for run in runs)


def _check_guarantees(fleet, record):
    shards = {shard for request in record.requests for shard in request.shards}
    leaves = [leaf for leaf in fleet.leaves_by_id if leaf.rsplit("-", 1)[0] in shards]
    collect_executions(fleet, record, leaves)
    assert violations(record) == []


@pytest.mark.parametrize(("faults", "reason"), _REASON_CASES)
def test_a_lacking_shard_is_stated_with_its_reason(fleet, shard, faults, reason):
    record = RunRecord()
    # Both leaves answer a few calls first, because a crossed answer is that of an earlier call.
    for _ in range(4):
        assert _send_request(fleet, ["fleet-0", shard], record=record).body["coverage"]["complete"]
    for leaf in _leaf_controls(fleet, shard):
        leaf.set_faults(**faults)
    request = _send_request(fleet, ["fleet-0", shard], record=record, deadline_ms=700)
    assert request.status == 200, request
    coverage = request.body["coverage"]
    assert coverage["included"] == ["fleet-0"]
    assert coverage["lacking"] == [{"shard": shard, "reason": reason}]
    _check_guarantees(fleet, record)


@pytest.mark.parametrize("faults", _INVALID_RESPONSE_FAULTS)
def test_a_wrong_answer_of_one_leaf_never_reaches_a_caller(fleet, shard, faults):
    record = RunRecord()
    _leaf_controls(fleet, shard)[0].set_faults(**faults)
    answers = [_send_request(fleet, [shard], record=record) for _ in range(6)]
    assert any(answer.status == 200 for answer in answers)
    _check_guarantees(fleet, record)


def test_calls_after_a_timeout_on_the_same_connections_get_their_own_answers(fleet, shard):
    record = RunRecord()
    for number in range(12):
        slow = number % 3 == 0
        query = {"service_ms": 150 if slow else 0}
        request = _send_request(
            fleet, [shard], record=record, query=query, deadline_ms=60 if slow else 1500
        )
        assert (request.status == 200) != slow, request
    _check_guarantees(fleet, record)


@pytest.mark.parametrize(("faults", "problem", "executions"), _AT_MOST_ONCE_CASES)
def test_a_non_idempotent_request_runs_at_most_once(fleet, shard, faults, problem, executions):
    record = RunRecord()
    for leaf in _leaf_controls(fleet, shard):
        leaf.set_faults(**faults)
    request = _send_write(fleet, shard, record=record)
    assert request.problem == problem, request
    assert _count_executions(fleet, shard, request.request_id) == executions
    _check_guarantees(fleet, record)


def test_a_slow_non_idempotent_request_is_not_hedged(fleet, shard):
    # Hedging needs latency statistics: these calls establish a latency of a few milliseconds.
    for _ in range(40):
        assert _send_request(fleet, [shard]).status == 200
    record = RunRecord()
    request = _send_write(fleet, shard, record=record, service_ms=300)
    assert request.status == 200, request
    assert _count_executions(fleet, shard, request.request_id) == 1


def test_the_same_request_id_through_two_entry_processes_runs_once(fleet, shard):
    record = RunRecord()
    first = _send_write(fleet, shard, request_id="twice", record=record)
    repeats = [
        _send_write(fleet, shard, request_id="twice", entry=entry, record=record)
        for entry in (1, 0)
    ]
    assert first.status == 200
    assert [repeat.problem for repeat in repeats] == ["request-id-in-use"] * 2
    assert _count_executions(fleet, shard, "twice") == 1
    _check_guarantees(fleet, record)


@pytest.mark.parametrize(
    ("faults", "problem", "executions"),
    [
        ({"outage": True}, "refused-not-run", 0),
        ({"outage": "hang"}, "refused-not-run", 0),
        ({"delay_ms": 5000}, "refused-not-run", 0),
        ({"outage": "reset"}, "refused-not-run", 0),
        ({"lose_requests": True}, "refused-not-run", 0),
        ({"lose_answers": {"next": 1}}, "", 1),
        ({"stale_reads": True, "lose_answers": {"next": 1}}, "refused-not-run", 0),
    ],
)
def test_a_request_whose_claim_is_not_confirmed_is_not_run(
    fleet, store, claim_shard, faults, problem, executions
):
    record = RunRecord()
    assert _send_write(fleet, claim_shard, record=record).status == 200
    request_id = f"claim{next(_request_numbers)}"
    store.set_faults(**faults)
    try:
        request = _send_request(
            fleet,
            [claim_shard],
            record=record,
            request_id=request_id,
            idempotent=False,
            deadline_ms=2000,
            query={"write": request_id},
        )
    finally:
        store.set_faults(**dict.fromkeys(faults))
    assert request.problem == problem, request
    assert _count_executions(fleet, claim_shard, request.request_id) == executions
    # Guards against attempts to claim that continue after the deadline; they once took 6 s.
    assert request.body["took_ms"] < 4000
    _check_guarantees(fleet, record)


@pytest.fixture(scope="module")
def claim_shard():
    return f"fleet-{_SERVICE_COUNT - 1}"
