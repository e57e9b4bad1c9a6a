"""Tests the checker of fault runs with records that violate or satisfy each guarantee."""

import pytest

from filbertreach_standins.faults import (
    AcceptedGeneration,
    Execution,
    GenerationSample,
    LeafDrain,
    PlannedStop,
    Request,
    RunRecord,
    checks_by_guarantee,
    violations,
)


def _row(index, *, shard="s-0", version=41):
    return {"id": f"{shard}-{index}", "shard": shard, "version": version, "score": 0.5}


def _body(**changes):
    body = {
        "request_id": "one",
        "snapshot_version": 41,
        "rows": [_row(0), _row(1)],
        "coverage": {"included": ["s-0"], "lacking": [], "complete": True},
        "took_ms": 3.0,
    }
    return {**body, **changes}


def _request(**changes):
    request = Request("one", "one/0", "entry-0", True, ("s-0",), 2, 10.0, 10.1, 200, _body())
    return request._replace(**changes)


def _execution(**changes):
    return Execution("leaf-a", "s-0", 41, None, "one/0", 10.05)._replace(**changes)


def _record(requests=(), executions=None, **attributes):
    record = RunRecord()
    record.requests = list(requests)
    record.executions = [_execution()] if executions is None else executions
    for name, value in attributes.items():
        setattr(record, name, value)
    return record


def _coverage(included, lacking=(), *, complete=True):
    items = [{"shard": shard, "reason": reason} for shard, reason in lacking]
    return {"included": included, "lacking": items, "complete": complete}


def _answer(**changes):
    return _request(body=_body(**changes))


_REFUSED = _request(status=503, body={"type": "https://x/problems/refused-not-run"})
_UNKNOWN = _request(status=504, body={"type": "https://x/problems/outcome-unknown"})
_STOP = PlannedStop("entry-0", 9.0, 10.08, 0)
_OWNER_LOST = _answer(rows=[], coverage=_coverage([], [("s-0", "owner_lost")], complete=False))

_RECORDS_BY_GUARANTEE = {
    "1 one snapshot": [
        _record([_answer(rows=[_row(0), _row(1, version=42)])]),
        _record([_answer(rows=[_row(0, version=40), _row(1, version=40)])]),
    ],
    "2 coverage": [
        _record([_request(shards=("s-0", "s-1"))]),
        _record([_answer(coverage=_coverage(["s-0"], [("s-0", "deadline")], complete=False))]),
        _record([_answer(coverage=_coverage(["s-0"], complete=False))]),
        _record([_answer(coverage=_coverage([], [("s-0", "bored")], complete=False), rows=[])]),
        _record([_answer(coverage=_coverage([], [("s-0", "deadline")], complete=False))]),
        _record([_request()], executions=[]),
        _record([_request()], executions=[_execution(version=40)]),
        _record([_request()], executions=[_execution(tag="other")]),
    ],
    "3 own answer": [
        _record([_answer(request_id="two")]),
        _record([_answer(rows=[_row(0)])]),
        _record([_answer(rows=[_row(0), _row(0)])]),
        _record([_answer(rows=[_row(0), _row(1), _row(2)])]),
    ],
    "4 not run": [_record([_REFUSED])],
    "5 at most once": [
        _record([], [_execution(write="w"), _execution(write="w", leaf="leaf-b", started_at=11.0)]),
        _record([], [_execution(write="w"), _execution(write="w", tag="one/1")]),
    ],
    "6 leaving leaf": [
        _record(executions=[_execution()], leaf_drains=[LeafDrain("leaf-a", "health", 7.0, 20.0)])
    ],
    "7 graceful shutdown": [
        _record(stops=[_STOP._replace(exit_code=-9)]),
        _record([_request(status=0, body={}, error="reset")], stops=[_STOP]),
        _record([_UNKNOWN], stops=[_STOP], only_planned_stops=True),
        _record([_OWNER_LOST], stops=[_STOP], only_planned_stops=True),
    ],
    "8 configuration": [
        _record(generation_samples=[GenerationSample("a", 3, 1.0), GenerationSample("a", 2, 2.0)]),
        _record(
            generation_samples=[
                GenerationSample("a", 3, 1.0),
                GenerationSample("a", 0, 2.0),
                GenerationSample("a", 2, 3.0),
            ]
        ),
        _record(
            generation_samples=[GenerationSample("a", 2, 30.0)],
            accepted_generations=[AcceptedGeneration(3, 10.0)],
        ),
    ],
}


def test_every_guarantee_has_a_check_and_violating_records():
    assert list(_RECORDS_BY_GUARANTEE) == list(checks_by_guarantee)
    assert len(_RECORDS_BY_GUARANTEE) == 8


@pytest.mark.parametrize(
    ("guarantee", "record"),
    [(name, record) for name, records in _RECORDS_BY_GUARANTEE.items() for record in records],
)
def test_a_violated_guarantee_is_reported(guarantee, record):
    assert any(text.startswith(guarantee) for text in violations(record))


def test_executions_that_were_not_recorded_are_reported():
    assert violations(_record(executions_not_recorded=1))


@pytest.mark.parametrize(
    "record",
    [
        _record([_request()]),
        _record([_request(), _REFUSED._replace(tag="one/1")]),
        _record([_request(status=0, body={}, error="refused")], stops=[_STOP]),
        _record([_request(status=0, body={}, error="reset")]),
        _record([_UNKNOWN], [_execution(write="one")]),
        _record([_OWNER_LOST], stops=[_STOP]),
        _record(leaf_drains=[LeafDrain("leaf-a", "health", 7.06, 20.0)]),
        _record(leaf_drains=[LeafDrain("leaf-a", "health", 3.0, 10.0)]),
        _record(
            generation_samples=[GenerationSample("a", 2, 26.9), GenerationSample("a", 3, 27.1)],
            accepted_generations=[AcceptedGeneration(3, 10.0)],
        ),
    ],
)
def test_a_record_that_satisfies_all_guarantees_passes(record):
    assert violations(record) == []
