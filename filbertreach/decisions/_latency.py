"""Sliding-window quantiles of latency."""

import math
from collections import deque

_BUCKET_GROWTH = 1.05
"""Ratio of adjacent bucket bounds. A quantile is off by at most half of the bucket width."""
_FIRST_BUCKET_SECONDS = 1e-5
"""Upper bound of the first bucket."""
_BUCKET_COUNT = 340
"""The last bucket starts at about 150 s, which is longer than any deadline."""
_MAX_NEW_SAMPLES_SHARE = 1 / 32
"""A cached quantile is recomputed once this share of the samples is newer than it."""
_LOG_BUCKET_GROWTH = math.log(_BUCKET_GROWTH)


class LatencyTracker:
    """Quantiles of the latencies in a sliding time window.

    The window is divided into slices, each a histogram with buckets of equal relative width:
    `record` takes constant time, `quantile` one pass over the buckets. The relative error bound is
    that of DDSketch (C. Masson, J. E. Rim, H. K. Lee, "DDSketch", VLDB 2019). Under low traffic,
    old slices are kept until newer ones hold enough samples.
    """

    def __init__(
        self, *, window_seconds: float = 10.0, slices: int = 5, min_samples: int = 20
    ) -> None:
        """Creates a tracker without samples.

        Args:
            window_seconds: Age at which samples are dropped.
            slices: Number of parts of the window; expired samples are dropped one part at a time.
            min_samples: Smallest number of samples for which a quantile is returned.
        """
        self._slice_seconds = window_seconds / slices
        self._max_slices = slices
        self._min_samples = min_samples
        self._slices: deque[list[int]] = deque()
        self._slice_ends_at = -math.inf
        self._totals = [0] * _BUCKET_COUNT
        self._count = 0
        self._cached_quantiles: dict[float, float] = {}
        self._samples_since_cached = 0

    @property
    def count(self) -> int:
        """Number of samples in the window."""
        return self._count

    def record(self, seconds: float, now: float) -> None:
        """Adds a sample.

        Args:
            seconds: Latency.
            now: Seconds of the dispatch clock.
        """
        if now >= self._slice_ends_at:
            self._start_slice(now)
        bucket = _bucket_index(seconds)
        self._slices[-1][bucket] += 1
        self._totals[bucket] += 1
        self._count += 1
        self._samples_since_cached += 1
        if self._samples_since_cached > self._count * _MAX_NEW_SAMPLES_SHARE:
            self._clear_cache()

    def quantile(self, q: float) -> float | None:
        """Returns a quantile.

        Args:
            q: 0 to 1.

        Returns:
            Seconds, within 2.5%; None with too few samples.
        """
        if self._count < self._min_samples:
            return None
        if q not in self._cached_quantiles:
            self._cached_quantiles[q] = self._compute_quantile(q)
        return self._cached_quantiles[q]

    def _compute_quantile(self, q: float) -> float:
        # Nearest-rank quantile: the sample of rank ceil(q * count), counted from 1.
        rank = max(1, math.ceil(q * self._count))
        seen = 0
        for bucket, count in enumerate(self._totals):
            seen += count
            if seen >= rank:
                return _bucket_midpoint(bucket)
        return _bucket_midpoint(_BUCKET_COUNT - 1)

    def _start_slice(self, now: float) -> None:
        self._slices.append([0] * _BUCKET_COUNT)
        self._slice_ends_at = now + self._slice_seconds
        self._clear_cache()
        while len(self._slices) > self._max_slices:
            oldest = sum(self._slices[0])
            if self._count - oldest < self._min_samples:
                self._merge_oldest()
                continue
            for bucket, count in enumerate(self._slices.popleft()):
                self._totals[bucket] -= count
            self._count -= oldest

    def _clear_cache(self) -> None:
        self._cached_quantiles.clear()
        self._samples_since_cached = 0

    def _merge_oldest(self) -> None:
        """Adds the samples of the oldest slice to the next one, so that they expire together."""
        oldest = self._slices.popleft()
        following = self._slices[0]
        for bucket, count in enumerate(oldest):
            following[bucket] += count


def _bucket_index(seconds: float) -> int:
    if seconds <= _FIRST_BUCKET_SECONDS:
        return 0
    return min(
        _BUCKET_COUNT - 1, math.ceil(math.log(seconds / _FIRST_BUCKET_SECONDS) / _LOG_BUCKET_GROWTH)
    )


def _bucket_midpoint(bucket: int) -> float:
    upper = _FIRST_BUCKET_SECONDS * _BUCKET_GROWTH**bucket
    return 2.0 * upper / (1.0 + _BUCKET_GROWTH)
