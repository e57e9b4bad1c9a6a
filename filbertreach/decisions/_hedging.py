"""Hedging: when a call is also sent to a second leaf, and the budget for such calls."""

import bisect
import math
from collections import deque

from filbertreach.decisions._latency import LatencyTracker

_INITIAL_TOKENS = 2.0
"""Extra calls allowed before first calls have earned any, in case a leaf is down at start-up."""
_MAX_TOKENS = 6.0
"""Cap on saved tokens: enough for a burst of stragglers, such as the calls of a stuck leaf."""
_SLOW_EARNING_FACTOR = 0.3
"""Part of the usual budget that is earned while the whole service is slow.

With a budget of 5% this gives 1.5%, below the bound of 2% extra calls in a slow service.
"""
_MAX_SLOW_TOKENS = 1.0
"""Cap on saved tokens while the whole service is slow."""
_SLOW_RATIO = 1.7
"""The service is slow when its recent median exceeds this multiple of its long-term median."""
_SLOW_QUANTILE = 0.99
"""While the service is slow, only calls beyond this quantile are hedged."""
_MEDIAN_FACTOR = 1.5
"""A hedge sent earlier than this many medians rarely finishes before the first call does."""
_MIN_DELAY_SECONDS = 0.001
_SLICE_SECONDS = 2.0
_MIN_SLICE_SAMPLES = 20
_LONG_TERM_SLICES = 450
"""Slice medians that are kept: 15 minutes of slices."""
_SLOW_SLICE_INTERVAL = 10
"""While the service is slow, only every tenth slice enters the long-term median.

This keeps an hour of high latency from soon counting as normal.
"""
_OVERDUE_SMOOTHING = 1.0 / 64.0
_OVERDUE_FACTOR = 3.0
"""Hedging stops when the share of calls that outlast the delay exceeds its expected value by this
factor, as the delay is then out of date."""


class HedgeBudget:
    """Token bucket for extra calls (hedges and retries together), filled by first calls.

    Extra calls never exceed `share * first calls + 2`. A budget that is a share of first calls,
    rather than a rate, follows J. Dean, L. A. Barroso, "The Tail at Scale", CACM 56(2), 2013.
    """

    def __init__(self, *, share: float) -> None:
        """Creates a budget with the initial tokens.

        Args:
            share: Extra calls for each first call, 0 or more. 0 allows none, not even at start-up.
        """
        self._share = share
        self._tokens = _INITIAL_TOKENS if share > 0 else 0.0

    def record_first_call(self, *, slow: bool = False) -> None:
        """Records that a call is sent for the first time.

        Args:
            slow: Whether the whole service is slow (`HedgeDelay.is_slow`). Extra calls then add
                load without reaching a faster leaf.
        """
        if slow:
            # Tokens earned by other services that share the budget are kept.
            earned = min(self._tokens + self._share * _SLOW_EARNING_FACTOR, _MAX_SLOW_TOKENS)
            self._tokens = max(self._tokens, earned)
        else:
            self._tokens = min(self._tokens + self._share, _MAX_TOKENS)

    @property
    def has_token(self) -> bool:
        """Whether an extra call is allowed now. Call `try_take` when it is sent."""
        # The tolerance covers rounding, such as that of adding 0.05 twenty times.
        return self._tokens >= 1.0 - 1e-9

    def try_take(self) -> bool:
        """Takes the token for one extra call.

        Returns:
            Whether the extra call may be sent.
        """
        if not self.has_token:
            return False
        self._tokens -= 1.0
        return True


class HedgeDelay:
    """How long a call may be in flight before a hedge is sent.

    The delay is a quantile of the recent latency (J. Dean, L. A. Barroso, "The Tail at Scale",
    CACM 56(2), 2013). The median distinguishes a slow service from slow leaves: if it is far above
    its long-term value, the delay becomes the 99th percentile. Before enough calls have completed
    to raise the median, a growing share of calls that outlast the delay shows the slowdown and
    stops hedging.
    """

    def __init__(self, *, quantile: float) -> None:
        """Creates a delay without samples.

        Args:
            quantile: Quantile of latency after which a hedge is sent (Policy.hedge_quantile).
        """
        self._quantile = quantile
        self._recent = LatencyTracker(window_seconds=2.0, slices=4)
        self._slice: list[float] = []
        self._slice_started_at = math.inf
        self._slow_slices = 0
        self._medians: deque[float] = deque()
        self._sorted_medians: list[float] = []
        self._overdue_share = 0.0

    @property
    def is_slow(self) -> bool:
        """Whether the recent median is far above the long-term median."""
        median = self._recent.quantile(0.5)
        if median is None or not self._sorted_medians:
            return False
        return median > _SLOW_RATIO * self._long_term_median()

    def record_first_call(self) -> None:
        """Records that a call is sent for the first time."""
        self._overdue_share *= 1.0 - _OVERDUE_SMOOTHING

    def record(self, seconds: float, now: float) -> None:
        """Records the time from first sending a call to its answer.

        Args:
            seconds: Latency.
            now: Seconds of the dispatch clock.
        """
        self._recent.record(seconds, now)
        self._slice_started_at = min(self._slice_started_at, now)
        self._slice.append(seconds)
        if (
            len(self._slice) >= _MIN_SLICE_SAMPLES
            and now - self._slice_started_at >= _SLICE_SECONDS
        ):
            self._end_slice()

    def seconds(self, attempt: int = 1) -> float | None:
        """Returns how long to wait for an attempt before the next one is sent.

        Args:
            attempt: 1 for the first call, 2 for its hedge.

        Returns:
            Seconds since that attempt was sent; None while there are too few samples.
        """
        median = self._recent.quantile(0.5)
        if median is None:
            return None
        quantile = max(self._quantile, _SLOW_QUANTILE) if self.is_slow else self._quantile
        if attempt > 1 and not self.is_slow:
            # Few calls reach a second attempt, so sending a third one early adds little load.
            return max(median, _MIN_DELAY_SECONDS)
        tail = self._recent.quantile(quantile) or median
        return max(tail, _MEDIAN_FACTOR * median, _MIN_DELAY_SECONDS)

    def record_overdue(self) -> bool:
        """Records that a first call outlasted its delay.

        Returns:
            Whether to hedge: False if so many calls are overdue that the whole service must be
            slow.
        """
        self._overdue_share += _OVERDUE_SMOOTHING
        expected = max(1.0 - self._quantile, _OVERDUE_SMOOTHING)
        return self._overdue_share <= _OVERDUE_FACTOR * expected

    def _end_slice(self) -> None:
        median = sorted(self._slice)[len(self._slice) // 2]
        self._slice.clear()
        self._slice_started_at = math.inf
        if self.is_slow:
            self._slow_slices += 1
            if self._slow_slices % _SLOW_SLICE_INTERVAL:
                return
        self._medians.append(median)
        bisect.insort(self._sorted_medians, median)
        if len(self._medians) > _LONG_TERM_SLICES:
            oldest = self._medians.popleft()
            del self._sorted_medians[bisect.bisect_left(self._sorted_medians, oldest)]

    def _long_term_median(self) -> float:
        """Returns the lower quartile of the medians; a slow quarter of the time has no effect."""
        return self._sorted_medians[len(self._sorted_medians) // 4]


def may_hedge(
    *,
    idempotent: bool,
    attempts: int,
    max_attempts: int,
    remaining_seconds: float,
    min_remaining_seconds: float,
) -> bool:
    """Returns whether a call may be sent to one more leaf, apart from the `HedgeBudget`.

    Args:
        idempotent: Whether the call may run twice. Other calls are never hedged.
        attempts: How often the call was sent.
        max_attempts: Policy.max_attempts.
        remaining_seconds: Time until the deadline.
        min_remaining_seconds: Time that a leaf needs to answer; with less left, the call is not
            hedged.
    """
    return idempotent and attempts < max_attempts and remaining_seconds > min_remaining_seconds
