"""Latencies of the leaves behind one route, and when a second leaf gets a request."""

from filbertreach.decisions import LatencyTracker

_FIRST_HEDGE_SHARE = 0.3
"""Share of the time to the target after which a hedge is sent while latencies are not known."""
_HEDGE_NEEDS_QUANTILE = 0.8
"""Quantile of the latency of second leaves that is kept back for the hedge to answer in."""
_ATTEMPT_QUANTILE = 0.95
"""Quantile of all attempts that is kept back while too few second leaves have answered."""
_PATIENCE_MEDIANS = 1.5
"""An attempt gets this many median latencies, however late a hedge would then be."""


class RouteLatencies:
    """Latencies of the attempts of one route that were answered, over all of its shards."""

    def __init__(self) -> None:
        """Starts without samples."""
        self._attempts = LatencyTracker()
        self._extras = LatencyTracker()

    def record(self, seconds: float, now: float, *, extra: bool) -> None:
        """Records an attempt that was answered.

        Args:
            seconds: Time from the choice of the leaf to its answer.
            now: Clock now, in seconds.
            extra: Whether another leaf had the request before; such a leaf is mostly far away and
                needs a new connection.
        """
        self._attempts.record(seconds, now)
        if extra:
            self._extras.record(seconds, now)

    @property
    def typical_seconds(self) -> float | None:
        """Median of all attempts; None while too few were answered."""
        return self._attempts.quantile(0.5)

    def hedge_seconds(self, left_seconds: float) -> float:
        """Returns how long to wait for an attempt that is sent now.

        An answer is worth the same at any time before the target, so a hedge is sent when a second
        leaf most likely still answers in time; by then many pauses have ended by themselves. While
        so many leaves are slow that this moment has passed, the median of attempts, which slow
        leaves hardly move, says when an attempt is overdue.

        Args:
            left_seconds: Time to the target, negative after it.

        Returns:
            Seconds.
        """
        median = self.typical_seconds
        needed = self._extras.quantile(_HEDGE_NEEDS_QUANTILE)
        if needed is None:
            needed = self._attempts.quantile(_ATTEMPT_QUANTILE)
        if median is None or needed is None:
            return _FIRST_HEDGE_SHARE * max(left_seconds, 0.0)
        return max(_PATIENCE_MEDIANS * median, left_seconds - needed)
