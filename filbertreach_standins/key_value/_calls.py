"""Counts and limits the calls to the key-value stand-in."""

from typing import Any, Literal, NamedTuple

CallKind = Literal[
    "get", "list", "watch", "put", "delete", "grant_lease", "renew_lease", "revoke_lease"
]

READ_KINDS: frozenset[CallKind] = frozenset({"get", "list", "watch"})
"""Calls that count as reads; all others count as writes."""


class RateLimit:
    """A token bucket that holds the calls of one second."""

    def __init__(self, *, now: float) -> None:
        """Starts with no debt.

        Args:
            now: Time in seconds.
        """
        self._refilled_at = now
        self._used = 0.0

    def allow(self, *, now: float, per_second: float) -> bool:
        """Counts a call and returns whether it is within the limit.

        Args:
            now: Time in seconds.
            per_second: Calls allowed per second, also the largest burst.
        """
        self._used = max(0.0, self._used - (now - self._refilled_at) * per_second)
        self._refilled_at = now
        if self._used + 1 > per_second:
            return False
        self._used += 1
        return True


class _Peak(NamedTuple):
    second: int
    """Second that is counted."""
    calls: int
    """Calls in it so far."""
    peak: int
    """Most calls in one second."""


class CallCounter:
    """Counts each call once, a waiting watch as one."""

    def __init__(self) -> None:
        """Starts at 0."""
        self._calls_by_kind: dict[str, int] = {}
        self._refused_by_status: dict[int, int] = {}
        self._reads = _Peak(0, 0, 0)
        self._writes = _Peak(0, 0, 0)

    def count(self, *, kind: CallKind, now: float) -> None:
        """Counts a call, whatever becomes of it."""
        self._calls_by_kind[kind] = self._calls_by_kind.get(kind, 0) + 1
        if kind in READ_KINDS:
            self._reads = _counted(self._reads, now)
        else:
            self._writes = _counted(self._writes, now)

    def refuse(self, status: int) -> None:
        """Counts a refusal."""
        self._refused_by_status[status] = self._refused_by_status.get(status, 0) + 1

    def as_json(self) -> dict[str, Any]:
        """Returns the counts."""
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


def _counted(peak: _Peak, now: float) -> _Peak:
    second = int(now)
    calls = peak.calls + 1 if second == peak.second else 1
    return _Peak(second, calls, max(peak.peak, calls))
