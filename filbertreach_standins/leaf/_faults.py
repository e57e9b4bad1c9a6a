"""Faults of a simulated leaf."""

from typing import Any

from filbertreach_standins._faults import (
    Fault,
    Trigger,
    non_negative_integer,
    non_negative_number,
    one_of,
)
from filbertreach_standins.leaf._answers import CORRUPTION_FAULTS


def _parse_load(value: Any) -> dict[str, int]:
    if not isinstance(value, dict) or set(value) != {"in_flight", "queued"}:
        raise ValueError('expected {"in_flight": N, "queued": N}')
    return {name: non_negative_integer(number) for name, number in value.items()}


def _parse_optional_load(value: Any) -> dict[str, int] | None:
    return None if value is None else _parse_load(value)


def _parse_versions(value: Any) -> tuple[int, ...] | None:
    return None if value is None else tuple(non_negative_integer(version) for version in value)


def _parse_shards(value: Any) -> tuple[str, ...] | None:
    if value is None:
        return None
    if not isinstance(value, list) or not all(isinstance(shard, str) for shard in value):
        raise ValueError("expected a list of shard names")
    return tuple(value)


LEAF_FAULTS = (
    Fault("versions", None, _parse_versions, "list of index versions now served; null: as started"),
    Fault("shards", None, _parse_shards, "list of shards now served; null: as started"),
    Fault(
        "draining",
        False,
        one_of(False, True, "announce"),
        'true: new calls are refused and those accepted end; "announce": says that it drains, '
        "but serves",
    ),
    Fault(
        "straggler_share", 0.0, non_negative_number, "share of calls that are stragglers, 0 to 1"
    ),
    Fault("straggler_factor", 10.0, non_negative_number, "how many times longer a straggler takes"),
    Fault("slow_factor", 1.0, non_negative_number, "every call takes so many times longer"),
    Fault(
        "silently_slow_factor",
        1.0,
        non_negative_number,
        "every call takes so many times longer, and load reports show an idle leaf",
    ),
    Fault(
        "stuck",
        False,
        Trigger,
        "trigger: the call is accepted, not executed and never answered, until its connection "
        "closes; lifting the fault doesn't free it",
    ),
    Fault("stuck_reports_idle", False, one_of(False, True), "true: load reports show no calls"),
    Fault("fails_fast", False, Trigger, "trigger: 500 at once, not executed, without proof of it"),
    Fault("sheds", False, Trigger, "trigger: 503 at once, with x-not-started: true"),
    Fault("sheds_unmarked", False, Trigger, "trigger: 503 at once, without x-not-started"),
    Fault(
        "report_lag_seconds",
        0.0,
        non_negative_number,
        "health, load and versions show the past state",
    ),
    Fault(
        "health_says",
        None,
        one_of(None, "starting", "ready", "draining"),
        "state shown by /v1/health and x-leaf-state whatever the true state is",
    ),
    Fault(
        "health_answers",
        "normally",
        one_of("normally", "500", "never"),
        "how status endpoints answer",
    ),
    Fault("load_says", None, _parse_optional_load, '{"in_flight": N, "queued": N} shown as load'),
    *CORRUPTION_FAULTS,
    Fault(
        "crossed_answer",
        False,
        Trigger,
        "trigger: the call gets the answer to the call that was answered before it",
    ),
    Fault(
        "truncated_body",
        False,
        Trigger,
        "trigger: half of the announced body is sent, then the connection closes",
    ),
    Fault("oversized_body", False, Trigger, "trigger: a correct body padded with white space"),
    Fault(
        "oversized_body_bytes", 32 * 1024 * 1024, non_negative_integer, "size of an oversized body"
    ),
    Fault(
        "reset_after_executing",
        False,
        Trigger,
        "trigger: the call is executed, then its connection is reset without an answer",
    ),
)
"""Faults in addition to `CONNECTION_FAULTS`."""
