"""Statistics shared by the experiments."""

import collections
import math
import os
import pathlib
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from experiments.load import Record
from filbertreach_standins.daemon_process import DaemonProcess
from filbertreach_standins.fleet import Fleet

_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def quantile(values: Iterable[float], share: float) -> float:
    """Returns the sample quantile, NaN without samples."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)] if ordered else math.nan


def ratio(value: float, baseline: float) -> float | None:
    """Returns the rounded ratio; None for a zero baseline or a NaN."""
    if not baseline or math.isnan(value) or math.isnan(baseline):
        return None
    return round(value / baseline, 4)


def summary(records: Sequence[Record], seconds: float, target_ms: float = 90.0) -> dict[str, Any]:
    """Summarises records of one kind.

    Args:
        records: The records.
        seconds: Length of the period in which they were scheduled, in seconds.
        target_ms: Target latency, in milliseconds.

    Returns:
        Rates per second, shares and latencies of the answers in milliseconds.
    """
    answered = [record for record in records if record.outcome == "answered"]
    in_target = sum(record.seconds * 1000 <= target_ms for record in answered)
    count = max(1, len(records))
    outcomes = collections.Counter(record.outcome for record in records)
    return {
        "queries": len(records),
        "answered_per_s": round(len(answered) / seconds, 2),
        "goodput": round(len(answered) / count, 5),
        "in_target_share": round(in_target / count, 4),
        "p50_ms": _ms(quantile((r.seconds for r in answered), 0.5)),
        "p99_ms": _ms(quantile((r.seconds for r in answered), 0.99)),
        "mean_coverage": _mean([r.coverage for r in answered]),
        "complete_share": _mean([float(r.coverage == 1.0) for r in answered]),
        "outcomes": dict(outcomes),
    }


def _ms(seconds: float) -> float | None:
    return None if math.isnan(seconds) else round(1000 * seconds, 1)


def _mean(values: Sequence[float]) -> float | None:
    return round(sum(values) / len(values), 5) if values else None


def records_between(
    records: Iterable[Record], since: float, until: float, **fields: str
) -> list[Record]:
    """Returns the records scheduled in `[since, until)` whose fields have the given values."""
    return [
        record
        for record in records
        if since <= record.due < until
        and all(getattr(record, name) == value for name, value in fields.items())
    ]


def sum_metric(daemons: Iterable[DaemonProcess], name: str, **labels: str) -> float:
    """Sums a Prometheus counter over processes.

    Args:
        daemons: Processes whose metrics are read.
        name: Name of the metric.
        **labels: Labels that a sample must have.
    """
    total = 0.0
    for daemon in daemons:
        for line in daemon.get("/metrics")[1].decode().splitlines():
            if line.startswith((name + "{", name + " ")) and all(
                f'{key}="{value}"' in line for key, value in labels.items()
            ):
                total += float(line.rsplit(" ", 1)[1])
    return total


class LeafCallCounter:
    """Counts the calls to leaves since the creation of the object."""

    def __init__(self, fleet: Fleet) -> None:
        """Reads the counters of all dispatch processes."""
        self._fleet = fleet
        self._before = self._read()

    def _read(self) -> dict[str, float]:
        name = "filbertreach_leaf_calls_total"
        return {
            kind: sum_metric(self._fleet.dispatchers, name, kind=kind)
            for kind in ("first", "hedge", "retry")
        }

    def figures(self) -> dict[str, float]:
        """Returns the counts, and the extra calls as a share of first calls."""
        now = self._read()
        calls = {kind: now[kind] - self._before[kind] for kind in now}
        extra = calls["hedge"] + calls["retry"]
        return {**calls, "extra_share": round(extra / max(1.0, calls["first"]), 5)}


def resident_bytes(daemon: DaemonProcess) -> int:
    """Returns the resident set of a process."""
    statm = pathlib.Path(f"/proc/{daemon.process_id}/statm").read_text()
    return int(statm.split()[1]) * _PAGE_BYTES


def set_leaf_faults(fleet: Fleet, **faults: Any) -> None:
    """Sets faults on every leaf."""
    map_leaves(fleet, lambda control: control.set_faults(**faults))


def map_leaves(fleet: Fleet, call: Callable[[Any], Any]) -> list[Any]:
    """Calls a function with the control of every leaf and returns the results."""
    return [call(control) for control in fleet.leaves_by_id.values()]
