"""Queueing delay as seen in the ends of this process's own queries."""

from typing import NamedTuple

from filbertreach.entry._admission_policy import Outcome

_BASE_GROWTH_PER_S = 0.02
"""Growth of the latency that counts as unloaded, for leaves that become slower for good."""


class LocalEvidence(NamedTuple):
    """What the queries that ended since the last look show."""

    delay: float | None
    """Mean queueing delay in seconds; None if no query shows one."""
    late_share: float
    """Share of queries whose deadline passed, 0 to 1."""
    overloaded_share: float
    """Share of queries that dispatch processes refused, 0 to 1."""


class LocalDelay:
    """Collects the ends of queries.

    The delay of a query is the queueing time that its answers state. Where none is given, it is the
    latency above the lowest one that was seen. A late query counts as a sign of queues only if none
    of its parts was answered: if some were, their queueing times tell queues from slow leaves.
    """

    def __init__(self) -> None:
        """Starts without evidence."""
        self.base = 0.0
        self._base_at = float("-inf")
        self._delays = 0.0
        self._delay_count = 0
        self._count_by_outcome: dict[Outcome, int] = {}

    def record(
        self, latency: float, queue_seconds: float | None, outcome: Outcome, now: float
    ) -> None:
        """Records the end of a query.

        Args:
            latency: Time since the query was admitted, in seconds.
            queue_seconds: Longest time that an answered part spent in a queue, if known.
            outcome: How the query ended.
            now: Time in seconds.
        """
        if outcome == "late" and queue_seconds is not None:
            self._add_delay(queue_seconds)
            return
        self._count_by_outcome[outcome] = self._count_by_outcome.get(outcome, 0) + 1
        if outcome != "answered":
            return
        unloaded = latency - (queue_seconds or 0.0)
        grown = self.base * (1.0 + _BASE_GROWTH_PER_S * min(now - self._base_at, 1.0))
        self.base = unloaded if self._base_at == float("-inf") else min(grown, unloaded)
        self._base_at = now
        self._add_delay(latency - self.base if queue_seconds is None else queue_seconds)

    def take(self) -> LocalEvidence:
        """Returns the evidence since the last call."""
        counts = self._count_by_outcome
        late, overloaded = counts.get("late", 0), counts.get("overloaded", 0)
        ended = max(self._delay_count + late + overloaded, 1)
        evidence = LocalEvidence(
            delay=self._delays / self._delay_count if self._delay_count else None,
            late_share=late / ended,
            overloaded_share=overloaded / ended,
        )
        self._delays = 0.0
        self._delay_count = 0
        self._count_by_outcome = {}
        return evidence

    def _add_delay(self, seconds: float) -> None:
        self._delays += seconds
        self._delay_count += 1
