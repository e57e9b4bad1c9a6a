"""Adaptive concurrency limit of one leaf."""

import math

from filbertreach.document import Pool

_REFUSAL_FACTOR = 0.7
"""The limit is multiplied by this when the leaf refuses a call for lack of capacity."""
_LATENCY_RISE_SHARE = 0.4
"""Above the slots, latency may rise by this part of the relative increase of the limit.

If all added calls wait inside the leaf, latency rises in proportion to the limit. If they fill the
time that calls and answers spend on the network, which matters for a leaf in another region,
latency stays the same.
"""
_WINDOW_ANSWERS = 64
"""Answers per median. The medians of smaller windows vary by more than the threshold."""
_INCREASE_ANSWERS = 16
"""Answers at the limit after which a limit below the slots is raised by a fraction of a call."""
_INCREASE_INTERVAL_SECONDS = 30.0
"""Time between increases of a limit at or above the slots; doubled when one is undone.

A call beyond the slots waits in the queue of the leaf, where it delays urgent calls. With an
increase after every 32 calls, the p99 of the highest rank under overload was 1.6 times its unloaded
value.
"""
_MAX_INCREASE_INTERVAL_SECONDS = 480.0
_MIN_DECREASE_INTERVAL_SECONDS = 0.1
"""Refusals this soon after a decrease are ignored: calls sent together are refused together."""


def connection_share(pool: Pool) -> int:
    """Returns how many connections one sender opens to a leaf; see design.md, section 2.1."""
    return min(max(pool.slots, pool.connections // 3), 2 * pool.slots)


class ConcurrencyLimit:
    """Limit on the calls that one leaf is sent at once.

    The limit starts at the slots. Refusals multiply it by a factor below 1, and answers received
    while the limit is used in full raise it by a fraction of a call: additive increase and
    multiplicative decrease, D.-M. Chiu, R. Jain, "Analysis of the Increase and Decrease Algorithms
    for Congestion Avoidance in Computer Networks", 1989. Calls above the slots may be queued by the
    leaf rather than refused, so there latency is compared with its value at the slots, as in TCP
    Vegas (L. Brakmo, L. Peterson, IEEE JSAC 13(8), 1995). Latency never lowers the limit below the
    slots: up to there a leaf does not queue, so slow answers come from the work itself.
    """

    def __init__(self, *, pool: Pool) -> None:
        """Creates a limit at the slots of the pool.

        Args:
            pool: Pool of the leaf.
        """
        self._slots = pool.slots
        self._max_limit = float(connection_share(pool))
        self._limit = float(pool.slots)
        self._window: list[float] = []
        self._answers_since_increase = 0
        self._baseline: float | None = None
        self._decreased_at = -math.inf
        self._increase_interval = _INCREASE_INTERVAL_SECONDS
        self._increase_at: float | None = None

    @property
    def limit(self) -> int:
        """Largest number of calls in flight, at least 1."""
        return int(self._limit)

    def record_success(self, latency_seconds: float, in_flight: int, now: float) -> None:
        """Adjusts the limit after an answer.

        Args:
            latency_seconds: Time from sending to the answer.
            in_flight: Calls in flight before this one ended, including it.
            now: Seconds of the dispatch clock.
        """
        if in_flight < self.limit:
            return
        if self._limit < self._slots:
            self._answers_since_increase += 1
            if self._answers_since_increase >= _INCREASE_ANSWERS:
                self._answers_since_increase = 0
                self._limit = min(float(self._slots), self._limit + 1.0 / self._slots)
            return
        self._window.append(latency_seconds)
        if len(self._window) >= _WINDOW_ANSWERS:
            median = sorted(self._window)[len(self._window) // 2]
            self._window.clear()
            self._compare_median(median, now)

    def record_refusal(self, now: float) -> None:
        """Lowers the limit after the leaf refused a call without starting it.

        Args:
            now: Seconds of the dispatch clock.
        """
        self._window.clear()
        self._answers_since_increase = 0
        if now - self._decreased_at < _MIN_DECREASE_INTERVAL_SECONDS:
            return
        self._decreased_at = now
        self._increase_at = now + self._increase_interval
        self._limit = max(1.0, self._limit * _REFUSAL_FACTOR)

    def _compare_median(self, median: float, now: float) -> None:
        """Adjusts a limit at or above the slots by the median latency of a window of answers."""
        if self._limit <= self._slots or self._baseline is None:
            self._baseline = median
        elif median > self._baseline * (
            1.0 + _LATENCY_RISE_SHARE * (self._limit / self._slots - 1.0)
        ):
            self._limit = max(float(self._slots), self._limit - 1.0)
            self._increase_interval = min(
                2.0 * self._increase_interval, _MAX_INCREASE_INTERVAL_SECONDS
            )
            self._increase_at = now + self._increase_interval
            return
        if self._increase_at is None:
            self._increase_at = now + self._increase_interval
        elif now >= self._increase_at:
            self._limit = min(self._max_limit, self._limit + 1.0)
            self._increase_at = now + self._increase_interval
