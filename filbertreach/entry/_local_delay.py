"""Estimates queueing delay from the queries that ended in this process."""

from typing import NamedTuple

from filbertreach.entry._admission_policy import Outcome

_BASELINE_GROWTH_PER_S = 0.02
"""Growth of the unloaded latency, so that it follows leaves that become permanently slower."""


class LocalDelaySample(NamedTuple):
    """Summary of the queries that ended since the previous sample."""

    delay: float | None
    """Mean queueing delay in seconds; None if no query gave one."""
    late_share: float
    """Share of queries whose deadline passed, 0 to 1."""
    overloaded_share: float
    """Share of queries that dispatch processes refused, 0 to 1."""


class LocalDelayEstimator:
    """Records how queries end.

    The delay of a query is the queueing time stated in its answers. If there is none, it is the
    latency in excess of the lowest latency seen. A late query indicates a queue only if none of its
    parts was answered: the queueing times of answered parts distinguish a queue from slow leaves.
    """

    def __init__(self) -> None:
        """Creates an estimator without queries."""
        self.unloaded_latency = 0.0
        self._unloaded_latency_at = float("-inf")
        self._delay_sum = 0.0
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
        grown = self.unloaded_latency * (
            1.0 + _BASELINE_GROWTH_PER_S * min(now - self._unloaded_latency_at, 1.0)
        )
        self.unloaded_latency = (
            unloaded if self._unloaded_latency_at == float("-inf") else min(grown, unloaded)
        )
        self._unloaded_latency_at = now
        self._add_delay(latency - self.unloaded_latency if queue_seconds is None else queue_seconds)

    def take_sample(self) -> LocalDelaySample:
        """Returns the summary of the queries since the previous call and starts a new one."""
        counts = self._count_by_outcome
        late, overloaded = counts.get("late", 0), counts.get("overloaded", 0)
        ended = max(self._delay_count + late + overloaded, 1)
        sample = LocalDelaySample(
            delay=self._delay_sum / self._delay_count if self._delay_count else None,
            late_share=late / ended,
            overloaded_share=overloaded / ended,
        )
        self._delay_sum = 0.0
        self._delay_count = 0
        self._count_by_outcome = {}
        return sample

    def _add_delay(self, seconds: float) -> None:
        self._delay_sum += seconds
        self._delay_count += 1
