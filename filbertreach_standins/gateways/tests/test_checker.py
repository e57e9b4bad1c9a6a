"""Tests the checker of gateway runs with records that satisfy or violate each guarantee."""

from collections.abc import Callable
from typing import Any

import pytest

from filbertreach_standins.gateways import (
    RETRY_LEARN_SECONDS,
    AddedRoute,
    ColdPhase,
    Evacuation,
    Execution,
    FaultInterval,
    LeafDeparture,
    LeafDrain,
    LeafLimit,
    PlannedStop,
    Refusal,
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


def _accounts_record(record: RunRecord, count: int = 1, every: float = 0.1) -> None:
    """Adds requests of account `limited`; leaf-0 is in the second data centre."""
    record.data_centre_by_leaf = {"leaf-0": "minho-2", "leaf-1": "minho-1"}
    record.allowed_by_account = {"limited": 10.0}
    for number in range(count):
        sent_at = 200.0 + number * every
        request_id = f"a{number}"
        stamps = tuple(s.replace("q1", request_id) for s in _SCATTER.stamps)
        record.requests.append(
            _SCATTER._replace(
                request_id=request_id,
                sent_at=sent_at,
                ended_at=sent_at + 0.05,
                stamps=stamps,
                account="limited",
            )
        )
        record.executions += [
            Execution(leaf, request_id, sent_at, "limited") for leaf in record.shard_by_leaf
        ]


def _change_last_request(**fields: Any) -> Callable[[RunRecord], None]:
    def change(record: RunRecord) -> None:
        _accounts_record(record)
        record.requests[-1] = record.requests[-1]._replace(**fields)

    return change


def _change_last_execution(**fields: Any) -> Callable[[RunRecord], None]:
    def change(record: RunRecord) -> None:
        _accounts_record(record)
        record.executions[-1] = record.executions[-1]._replace(**fields)

    return change


def _key_in_log(record: RunRecord) -> None:
    record.logs_with_keys.append("a")


def _over_quota(record: RunRecord) -> None:
    _accounts_record(record, 11, 0.4)


def _refused_altogether(record: RunRecord) -> None:
    _accounts_record(record)
    record.recovered_by = 199.0
    refused = record.requests[-1]._replace(status=429, stamps=(), body=b"", allowed_refusal=429)
    record.requests[-1:] = [refused._replace(request_id=f"r{n}") for n in range(200)]


def _late_in_evacuated_data_centre(record: RunRecord) -> None:
    _accounts_record(record)
    record.evacuations.append(Evacuation("minho-2", 194.9, 210.0))


def _refused_in_evacuated_data_centre(record: RunRecord) -> None:
    _accounts_record(record)
    record.executions = [e for e in record.executions if (e.leaf, e.id) != ("leaf-0", "a0")]
    record.refusals.append(Refusal("leaf-0", "a0", 200.0, 0.1, "limited"))
    record.evacuations.append(Evacuation("minho-2", 194.9, 210.0))


def _flood_of_cold_leaf(record: RunRecord) -> None:
    _accounts_record(record, 9, 0.1)
    record.cold_phases.append(ColdPhase("leaf-0", 2.0, 190.0, 210.0))


def _late_at_leaving_leaf(record: RunRecord) -> None:
    _accounts_record(record, 2, 5.1)
    record.departures.append(LeafDeparture("leaf-0", 199.0, 210.0))


def _three_in_the_time_of_a_refusal(record: RunRecord) -> None:
    _accounts_record(record, 4, RETRY_LEARN_SECONDS + 0.1)
    record.refusals.append(Refusal("leaf-0", "a0", 200.0, 2.0, "limited"))


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
    ("keys", _key_in_log),
    ("keys", _change_last_execution(has_key=True)),
    ("keys", _change_last_request(account="")),
    ("keys", _change_last_request(account="", status=200, stamps=())),
    ("keys", _change_last_request(status=401)),
    ("account", _change_last_execution(account="")),
    ("account", _change_last_execution(account="free")),
    ("quota", _over_quota),
    ("quota", _change_last_request(status=429)),
    ("quota", _refused_altogether),
    ("evacuation", _late_in_evacuated_data_centre),
    ("evacuation", _refused_in_evacuated_data_centre),
    ("cold leaf", _flood_of_cold_leaf),
    ("leaving leaf", _late_at_leaving_leaf),
    ("retry after", _three_in_the_time_of_a_refusal),
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


def _bounds_of_leaves() -> list[tuple[str, Callable[[RunRecord], None]]]:
    names = ("evacuation", "cold leaf", "leaving leaf", "retry after")
    return [(name, violate) for name, violate in _VIOLATIONS if name in names]


@pytest.mark.parametrize(("guarantee", "violate"), _bounds_of_leaves())
def test_bounds_of_leaves_do_not_apply_during_a_fault_of_the_gateway(
    guarantee: str, violate: Callable[[RunRecord], None]
) -> None:
    record = _record()
    violate(record)
    record.fault_intervals.append(FaultInterval("cut from the store", "a", 195.0, 220.0))
    assert [text for text in violations(record) if text.startswith(f"{guarantee}:")] == []


def test_what_the_bounds_of_leaves_allow_is_no_violation() -> None:
    # Guards against a check that reports what a run without faults shows.
    record = _record()
    _accounts_record(record, 10, 0.5)
    record.evacuations.append(Evacuation("minho-2", 200.0, 220.0))
    record.cold_phases.append(ColdPhase("leaf-0", 2.0, 190.0, 210.0))
    record.departures.append(LeafDeparture("leaf-0", 199.0, 220.0))
    record.refusals.append(Refusal("leaf-0", "a0", 200.0, 1.2, "limited"))
    record.requests.append(
        _SCATTER._replace(
            request_id="none", status=401, stamps=(), body=b"", account="", allowed_refusal=401
        )
    )
    assert violations(record) == []


def test_a_refusal_for_want_of_an_account_is_no_failed_recovery() -> None:
    record = _record()
    record.recovered_by = 50.0
    refused = _SCATTER._replace(
        status=429, stamps=(), body=b"", account="limited", allowed_refusal=429
    )
    record.requests += [refused._replace(request_id=f"r{n}") for n in range(50)]
    assert violations(record) == []
    # They hide no failure among the others.
    _failed_after_recovery(record)
    assert [text for text in violations(record) if text.startswith("recovery:")]
