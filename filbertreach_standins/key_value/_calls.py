"""Call counters and rate limits of the key-value stand-in."""

from typing import Any, Literal, NamedTuple

CallKind = Literal[
    "get", "list", "watch", "put", "delete", "grant_lease", "renew_lease", "revoke_lease"
]

READ_KINDS: frozenset[CallKind] = frozenset({"get", "list", "watch"})
"""Calls that count as reads; all others count as writes."""


class RateLimit:
    """A token bucket with a capacity of one second of calls."""

    def __init__(self, *, now: float) -> None:
        """Creates a full bucket.

        Args:
            now: Time in seconds.
        """
        self._refilled_at = now
        self._tokens_used = 0.0

    def allow(self, *, now: float, per_second: float) -> bool:
        """Takes a token for a call and returns whether the call is within the limit.

        Args:
            now: Time in seconds.
            per_second: Calls allowed per second, which is also the largest burst.
        """
        self._tokens_used = max(0.0, self._tokens_used - (now - self._refilled_at) * per_second)
        self._refilled_at = now
        if self._tokens_used + 1 > per_second:
            return False
        self._tokens_used += 1
        return True


class _PeakRate(NamedTuple):
    second: int
    """Second in which calls are being counted."""
    calls: int
    """Calls so far in that second."""
    peak: int
    """Highest number of calls in any second."""


class CallCounter:
    """Counts calls by kind; a watch counts once, however long it waits."""

    def __init__(self) -> None:
        """Creates counters at 0."""
        self._calls_by_kind: dict[str, int] = {}
        self._refused_by_status: dict[int, int] = {}
        self._reads = _PeakRate(0, 0, 0)
        self._writes = _PeakRate(0, 0, 0)

    def count(self, *, kind: CallKind, now: float) -> None:
        """Counts a call, whatever its outcome."""
        self._calls_by_kind[kind] = self._calls_by_kind.get(kind, 0) + 1
        if kind in READ_KINDS:
            self._reads = _count_in_second(self._reads, now)
        else:
            self._writes = _count_in_second(self._writes, now)

    def count_refusal(self, status: int) -> None:
        """Counts a call that was refused with an HTTP status."""
        self._refused_by_status[status] = self._refused_by_status.get(status, 0) + 1

    def as_json(self) -> dict[str, Any]:
        """Returns the counters as JSON."""
        reads = sum(number for kind, number in self._calls_by_kind.items() if kind in READ_KINDS)
        total = sum(self._calls_by_kind.values())
        return {
            "calls": dict(self._calls_by_kind),
            "calls_total": total,
            "reads": reads,
            "writes": total - reads,
            "reads_per_second_peak": self._reads.peak,
            "writes_per_second_peak": self._writes.peak,
            "refused": {str(status): n for status, n in self._refused_by_status.items()},
        }


def _count_in_second(peak: _PeakRate, now: float) -> _PeakRate:
    second = int(now)
    calls = peak.calls + 1 if second == peak.second else 1
    return _PeakRate(second, calls, max(peak.peak, calls))
