"""A record with a broken promise is caught, and the same record without it is not."""

from collections.abc import Callable

import pytest

from filbertreach_standins.gateways import (
    Execution,
    LeafDrain,
    PlannedStop,
    RouteWritten,
    RunRecord,
    Seen,
    Span,
    violations,
)
from filbertreach_standins.gateways._checker import promises

_RECORD_BY_LEAF = {"leaf-0": b"leaf-0-1--------", "leaf-1": b"leaf-1-1--------"}
_SCATTER = Seen(
    id="q1",
    gateway="a",
    incarnation=1,
    path="/v1/",
    repeatable=True,
    sent_at=100.0,
    ended_at=100.1,
    status=200,
    stamps=("leaf-0.q1.1.200", "leaf-1.q1.1.200"),
    missing=0,
    body=_RECORD_BY_LEAF["leaf-1"] + _RECORD_BY_LEAF["leaf-0"],
)
_SINGLE = _SCATTER._replace(
    id="q2",
    repeatable=False,
    stamps=("leaf-0.q2.2.200",),
    body=_RECORD_BY_LEAF["leaf-0"],
)


def _record() -> RunRecord:
    record = RunRecord(shards=2, floor=0.5, top=2, bound_seconds=5.0, slack=3.0)
    record.shard_by_leaf = {"leaf-0": "shard-0", "leaf-1": "shard-1"}
    record.records_by_leaf = dict(_RECORD_BY_LEAF)
    record.routes = [RouteWritten("/v1/", 10.0)]
    record.seen = [_SCATTER, _SINGLE]
    record.executions = [
        Execution("leaf-0", "q1", 100.01),
        Execution("leaf-1", "q1", 100.01),
        Execution("leaf-0", "q2", 100.02),
    ]
    return record


def _see(seen: Seen) -> Callable[[RunRecord], None]:
    return lambda record: record.seen.append(seen)


def _run(*executions: Execution) -> Callable[[RunRecord], None]:
    return lambda record: record.executions.extend(executions)


def _late_leaf(record: RunRecord) -> None:
    record.drained.append(LeafDrain("leaf-1", 90.0, 120.0))


def _cut_by_stop(record: RunRecord) -> None:
    record.stops.append(PlannedStop("a", 1, 99.9, 0))
    record.seen.append(_SCATTER._replace(id="q3", status=0, stamps=(), body=b"", error="reset"))
    record.executions.append(Execution("leaf-0", "q3", 100.0))


def _many_extras(record: RunRecord) -> None:
    for number in range(5):
        record.executions.append(Execution("leaf-0", "q1", 100.02 + number / 100.0))


def _failing_after_the_recovery(record: RunRecord) -> None:
    record.calm_from = 50.0
    record.seen.append(_SCATTER._replace(id="q3", status=502, stamps=(), body=b""))


_CASES: list[tuple[str, Callable[[RunRecord], None]]] = [
    ("mixed", _see(_SCATTER._replace(stamps=("leaf-0.q1.1.200", "leaf-1.q9.1.200")))),
    ("mixed", _see(_SCATTER._replace(stamps=("leaf-0.q1.1.200", "leaf-1.q1.1.500")))),
    ("mixed", _see(_SCATTER._replace(stamps=("leaf-0.q1.1.200", "leaf-0.q1.2.200")))),
    ("mixed", _see(_SCATTER._replace(missing=1))),
    ("mixed", _see(_SCATTER._replace(body=_RECORD_BY_LEAF["leaf-0"]))),
    ("mixed", _see(_SCATTER._replace(stamps=()))),
    ("mixed", _see(_SINGLE._replace(body=b"short"))),
    ("twice", _run(Execution("leaf-1", "q2", 101.0))),
    ("refused", _see(_SINGLE._replace(status=503, stamps=(), body=b""))),
    ("unasked", _run(Execution("leaf-1", "q99", 101.0))),
    ("configuration", _see(_SCATTER._replace(id="q3", status=404, stamps=(), body=b""))),
    ("never back", _see(_SCATTER._replace(id="q3", status=404, sent_at=101.0, ended_at=101.1))),
    ("drain", _late_leaf),
    ("planned stops", _cut_by_stop),
    ("planned stops", lambda record: record.stops.append(PlannedStop("a", 1, 200.0, -9))),
    ("own ends", lambda record: record.own_ends.append("a ended")),
    ("budget", _many_extras),
    ("recovery", _failing_after_the_recovery),
]


def test_a_good_record_breaks_nothing() -> None:
    assert violations(_record()) == []


def test_every_promise_has_a_broken_record() -> None:
    assert {name for name, _ in _CASES} == set(promises())


@pytest.mark.parametrize(("promise", "break_it"), _CASES)
def test_a_broken_promise_is_caught(promise: str, break_it: Callable[[RunRecord], None]) -> None:
    record = _record()
    break_it(record)
    assert [text for text in violations(record) if text.startswith(f"{promise}:")]


@pytest.mark.parametrize(("promise", "break_it"), [_CASES[10], _CASES[12], _CASES[13]])
def test_bounds_do_not_hold_beside_a_fault(
    promise: str, break_it: Callable[[RunRecord], None]
) -> None:
    record = _record()
    break_it(record)
    record.spans.append(Span("pause", "a", 95.0, 97.0))
    assert [text for text in violations(record) if text.startswith(f"{promise}:")] == []
    # A fault of another gateway is no excuse.
    record.spans[:] = [Span("pause", "b", 95.0, 97.0)]
    assert [text for text in violations(record) if text.startswith(f"{promise}:")]
