"""Adaptive limit on the calls in flight to one leaf."""

import math
from collections import deque

from filbertreach.document import Pool

_REFUSAL_FACTOR = 0.7
"""A refusal proves that the leaf is over its capacity."""
_QUEUED_RATIO = 1.3
"""A median above this many baselines at full use means that calls wait inside the leaf.

One call more than a leaf with 2 slots runs raises latency by 1.5, one more than 4 slots by 1.25.
"""
_WINDOW_CALLS = 16
"""Calls at full use whose median is compared; single latencies vary more than the threshold."""
_BASELINE_SAMPLES = 32
"""Calls below the limit that give the baseline."""
_BASELINE_DRIFT = 1.02
"""Factor per window for a baseline without samples, so that a leaf that got slower is learned."""
_PROBE_SECONDS = 30.0
"""Time at full use before the limit is tried above the slots.

A call more than the leaf runs waits in its queue, where it delays urgent calls: with a trial after
every 32 calls the p99 of the highest rank under a flood was 1.6 times its unloaded value.
"""
_LONGEST_PROBE_SECONDS = 480.0
_DECREASE_SECONDS = 0.1
"""Refusals of calls sent together are one piece of evidence."""


def connection_share(pool: Pool) -> int:
    """Returns how many connections one owner opens to a leaf; see design.md, section 2.1."""
    return min(max(pool.slots, pool.connections // 3), 2 * pool.slots)


class ConcurrencyLimit:
    """How many calls a leaf is sent at once.

    Additive increase and multiplicative decrease: D.-M. Chiu, R. Jain, "Analysis of the Increase
    and Decrease Algorithms for Congestion Avoidance in Computer Networks", 1989. The signal is a
    refusal, or latency above the baseline as in TCP Vegas (L. Brakmo, L. Peterson, IEEE JSAC 13(8),
    1995), compared only while the limit is fully used.
    """

    def __init__(self, *, pool: Pool) -> None:
        """Starts at the slots of the pool.

        Args:
            pool: Pool of the leaf.
        """
        self._slots = pool.slots
        self._most = connection_share(pool)
        self._limit = float(pool.slots)
        self._below: deque[float] = deque(maxlen=_BASELINE_SAMPLES)
        self._window: list[float] = []
        self._baseline: float | None = None
        self._decreased_at = -math.inf
        self._probe_interval = _PROBE_SECONDS
        self._probe_at: float | None = None

    @property
    def limit(self) -> int:
        """Most calls in flight, at least 1."""
        return int(self._limit)

    def succeeded(self, latency_seconds: float, in_flight: int, now: float) -> None:
        """Learns from an answer.

        Args:
            latency_seconds: Time from sending to the answer.
            in_flight: Calls in flight with this one, before it ended.
            now: Seconds of the dispatch clock.
        """
        if in_flight < self.limit:
            self._below.append(latency_seconds)
            return
        self._window.append(latency_seconds)
        if len(self._window) >= _WINDOW_CALLS:
            median = _median(self._window)
            self._window.clear()
            self._adjust(median, now)

    def refused(self, now: float) -> None:
        """Learns from a refusal before start.

        Args:
            now: Seconds of the dispatch clock.
        """
        self._window.clear()
        self._probe_at = None
        if now - self._decreased_at < _DECREASE_SECONDS:
            return
        self._decreased_at = now
        self._limit = max(1.0, self._limit * _REFUSAL_FACTOR)

    def _adjust(self, median: float, now: float) -> None:
        if len(self._below) == _BASELINE_SAMPLES:
            self._baseline = _median(list(self._below))
        elif self._baseline is not None:
            self._baseline = min(median, self._baseline * _BASELINE_DRIFT)
        else:
            self._baseline = median
        queues = median > self._baseline * _QUEUED_RATIO
        if self._limit < self._slots:
            # Within its slots a leaf does not queue: slow answers come from the work itself.
            self._limit = min(float(self._slots), self._limit + 1.0 / self._slots)
        elif queues and self._limit > self._slots:
            self._limit = max(float(self._slots), self._limit - 1.0)
            self._probe_interval = min(2.0 * self._probe_interval, _LONGEST_PROBE_SECONDS)
            self._probe_at = now + self._probe_interval
        elif self._probe_at is None:
            self._probe_at = now + self._probe_interval
        elif now >= self._probe_at and not queues:
            self._limit = min(float(self._most), self._limit + 1.0)
            self._probe_at = now + self._probe_interval


def _median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2]
