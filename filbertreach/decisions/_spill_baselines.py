"""Policies of spill-over that serve as a comparison for `marginal_cost`."""

import math
from collections.abc import Sequence

from filbertreach.decisions._spill_over import (
    LeafReport,
    SpillCandidate,
    SpillPolicy,
    spill_policy,
)

_THRESHOLD_SECONDS = 0.5
"""Time for which a report without a free slot counts."""


class _Baseline(SpillPolicy):
    """A policy that keeps nothing of single leaves."""

    def on_failure(self, candidate: SpillCandidate, now: float) -> None:
        """Does nothing; see `SpillPolicy`."""

    def forget(self, leaf_id: str) -> None:
        """Does nothing; see `SpillPolicy`."""


@spill_policy("threshold")
class Threshold(_Baseline):
    """Baseline for comparison: sends out all calls while near leaves report no free slot."""

    _short_until = -math.inf

    def on_answer(
        self, candidate: SpillCandidate, seconds: float, report: LeafReport, now: float
    ) -> None:
        """Compares the load of a near leaf with its slots; see `SpillPolicy`."""
        if self._is_near(candidate):
            self._record_work(seconds, report)
            is_short = report.load >= report.slots
            # Without a limit in time, no near answer would show that there is room again.
            self._short_until = now + _THRESHOLD_SECONDS if is_short else -math.inf

    def _choose_far(
        self,
        near: Sequence[SpillCandidate],
        far: Sequence[SpillCandidate],
        now: float,
        priority: int,
        remaining_seconds: float,
    ) -> SpillCandidate | None:
        if now >= self._short_until:
            return None
        return min(far, key=lambda c: self._far_seconds(c, now))


@spill_policy("equal_wait")
class EqualWait(_Baseline):
    """Baseline for comparison: each call goes where its expected time and price are least."""

    def on_answer(
        self, candidate: SpillCandidate, seconds: float, report: LeafReport, now: float
    ) -> None:
        """Records the work of near leaves; see `SpillPolicy`."""
        if self._is_near(candidate):
            self._record_work(seconds, report)

    def _choose_far(
        self,
        near: Sequence[SpillCandidate],
        far: Sequence[SpillCandidate],
        now: float,
        priority: int,
        remaining_seconds: float,
    ) -> SpillCandidate | None:
        best = min(far, key=lambda c: self._far_seconds(c, now))
        near_seconds = min(c.tracker.expected_seconds(now, self._work) for c in near)
        return best if self._far_seconds(best, now) < near_seconds else None
