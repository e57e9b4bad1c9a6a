"""Tests the checker of gateway runs with records that satisfy or violate each guarantee."""

from collections.abc import Callable

import pytest

from filbertreach_standins.gateways import (
    AddedRoute,
    Execution,
    FaultInterval,
    LeafDrain,
    LeafLimit,
    PlannedStop,
    Request,
    RunRecord,
    violations,
)
from filbertreach_standins.gateways._checker import guarantees

_RECORD_BY_LEAF = {"leaf-0": b"leaf-0-1--------", "leaf-1": b"leaf-1-1--------"}
_SCATTER = Request(
    request_id="q1",
    gateway="a",
    incarnation=1,
    path="/v1/",
    idempotent=True,
    sent_at=100.0,
    ended_at=100.1,
    status=200,
    stamps=("leaf-0.q1.1.200", "leaf-1.q1.1.200"),
    missing=0,
    body=_RECORD_BY_LEAF["leaf-1"] + _RECORD_BY_LEAF["leaf-0"],
)
_SINGLE = _SCATTER._replace(
    request_id="q2",
    idempotent=False,
    stamps=("leaf-0.q2.2.200",),
    body=_RECORD_BY_LEAF["leaf-0"],
)


def _record() -> RunRecord:
    record = RunRecord(shards=2, floor=0.5, top_k=2, bound_seconds=5.0, slack=3.0)
    record.shard_by_leaf = {"leaf-0": "shard-0", "leaf-1": "shard-1"}
    record.records_by_leaf = dict(_RECORD_BY_LEAF)
    record.routes = [AddedRoute("/v1/", 10.0)]
    record.requests = [_SCATTER, _SINGLE]
    record.executions = [
        Execution("leaf-0", "q1", 100.01),
        Execution("leaf-1", "q1", 100.01),
        Execution("leaf-0", "q2", 100.02),
    ]
    return record


def _add_request(request: Request) -> Callable[[RunRecord], None]:
    return lambda record: record.requests.append(request)


def _add_executions(*executions: Execution) -> Callable[[RunRecord], None]:
    return lambda record: record.executions.extend(executions)


def _late_execution_on_draining_leaf(record: RunRecord) -> None:
    record.leaf_drains.append(LeafDrain("leaf-1", 90.0, 120.0))


def _flood_of_limited_leaf(record: RunRecord) -> None:
    record.leaf_limits.append(LeafLimit("leaf-0", 1.0, 90.0, 120.0))
    for number in range(13):
        sent_at = 101.0 + number / 10.0
        request_id = f"flood-{number}"
        stamps = tuple(s.replace("q1", request_id) for s in _SCATTER.stamps)
        record.requests.append(
            _SCATTER._replace(
                request_id=request_id, sent_at=sent_at, ended_at=sent_at + 0.1, stamps=stamps
            )
        )
        record.executions.append(Execution("leaf-0", request_id, sent_at))


def _interrupted_by_stop(record: RunRecord) -> None:
    record.stops.append(PlannedStop("a", 1, 99.9, 0))
    record.requests.append(
        _SCATTER._replace(request_id="q3", status=0, stamps=(), body=b"", error="reset")
    )
    record.executions.append(Execution("leaf-0", "q3", 100.0))


def _many_extra_calls(record: RunRecord) -> None:
    for number in range(5):
        record.executions.append(Execution("leaf-0", "q1", 100.02 + number / 100.0))


def _failed_after_recovery(record: RunRecord) -> None:
    record.recovered_by = 50.0
    record.requests.append(_SCATTER._replace(request_id="q3", status=502, stamps=(), body=b""))


_VIOLATIONS: list[tuple[str, Callable[[RunRecord], None]]] = [
    ("mixed", _add_request(_SCATTER._replace(stamps=("leaf-0.q1.1.200", "leaf-1.q9.1.200")))),
    ("mixed", _add_request(_SCATTER._replace(stamps=("leaf-0.q1.1.200", "leaf-1.q1.1.500")))),
    ("mixed", _add_request(_SCATTER._replace(stamps=("leaf-0.q1.1.200", "leaf-0.q1.2.200")))),
    ("mixed", _add_request(_SCATTER._replace(missing=1))),
    ("mixed", _add_request(_SCATTER._replace(body=_RECORD_BY_LEAF["leaf-0"]))),
    ("mixed", _add_request(_SCATTER._replace(stamps=()))),
    ("mixed", _add_request(_SINGLE._replace(body=b"short"))),
    ("twice", _add_executions(Execution("leaf-1", "q2", 101.0))),
    ("refused", _add_request(_SINGLE._replace(status=503, stamps=(), body=b""))),
    ("unasked", _add_executions(Execution("leaf-1", "q99", 101.0))),
    (
        "configuration",
        _add_request(_SCATTER._replace(request_id="q3", status=404, stamps=(), body=b"")),
    ),
    (
        "never back",
        _add_request(_SCATTER._replace(request_id="q3", status=404, sent_at=101.0, ended_at=101.1)),
    ),
    ("drain", _late_execution_on_draining_leaf),
    ("request limit", _flood_of_limited_leaf),
    ("planned stops", _interrupted_by_stop),
    ("planned stops", lambda record: record.stops.append(PlannedStop("a", 1, 200.0, -9))),
    ("own ends", lambda record: record.unexpected_exits.append("a exited")),
    ("budget", _many_extra_calls),
    ("recovery", _failed_after_recovery),
]


def test_a_record_that_satisfies_all_guarantees_passes() -> None:
    assert violations(_record()) == []


def test_every_guarantee_has_a_violating_record() -> None:
    assert {name for name, _ in _VIOLATIONS} == set(guarantees())


@pytest.mark.parametrize(("guarantee", "violate"), _VIOLATIONS)
def test_a_violated_guarantee_is_reported(
    guarantee: str, violate: Callable[[RunRecord], None]
) -> None:
    record = _record()
    violate(record)
    assert [text for text in violations(record) if text.startswith(f"{guarantee}:")]


@pytest.mark.parametrize(
    ("guarantee", "violate"), [_VIOLATIONS[10], _VIOLATIONS[12], _VIOLATIONS[13]]
)
def test_bounds_do_not_apply_during_a_fault_of_the_gateway(
    guarantee: str, violate: Callable[[RunRecord], None]
) -> None:
    record = _record()
    violate(record)
    record.fault_intervals.append(FaultInterval("pause", "a", 95.0, 97.0))
    assert [text for text in violations(record) if text.startswith(f"{guarantee}:")] == []
    # A fault of another gateway does not suspend the bounds.
    record.fault_intervals[:] = [FaultInterval("pause", "b", 95.0, 97.0)]
    assert [text for text in violations(record) if text.startswith(f"{guarantee}:")]
