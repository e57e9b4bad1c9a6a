"""Latencies of the attempts of one route, and the hedging delay derived from them."""

from filbertreach.decisions import LatencyTracker

_DEFAULT_HEDGE_FRACTION = 0.3
"""Fraction of the time to the target after which a hedge is sent while no latencies are known."""
_EXTRA_ATTEMPT_QUANTILE = 0.8
"""Quantile of the latency of extra attempts that is reserved before the target for the hedge."""
_ALL_ATTEMPTS_QUANTILE = 0.95
"""Quantile of the latency of all attempts that is reserved instead while too few extra attempts
have been answered."""
_USUAL_QUANTILE = 0.9
"""Quantile of the latency of all attempts that counts as usual. Calls that take a multiple of the
median are common at healthy leaves."""
_MIN_DELAY_MEDIANS = 1.5
"""Smallest hedging delay in median latencies, even if the hedge then answers after the target."""


class RouteLatencies:
    """Latencies of the answered attempts of one route, over all of its shards."""

    def __init__(self) -> None:
        """Creates empty statistics."""
        self._attempts = LatencyTracker()
        self._extras = LatencyTracker()

    def record(self, seconds: float, now: float, *, extra: bool) -> None:
        """Records an answered attempt.

        Args:
            seconds: Time from the choice of the leaf to its answer.
            now: Current clock, in seconds.
            extra: Whether the request was sent to another leaf before. Leaves of extra attempts are
                mostly in another region and need a new connection.
        """
        self._attempts.record(seconds, now)
        if extra:
            self._extras.record(seconds, now)

    @property
    def typical_seconds(self) -> float | None:
        """Median latency of all attempts in seconds; None while too few have been answered."""
        return self._attempts.quantile(0.5)

    @property
    def usual_seconds(self) -> float | None:
        """Time within which most attempts are answered; None while too few have been."""
        return self._attempts.quantile(_USUAL_QUANTILE)

    def hedge_delay_seconds(self, target_in_seconds: float) -> float:
        """Returns how long to wait for an attempt that is sent now before sending a hedge.

        An answer has the same value at any time before the target. The hedge is therefore sent as
        late as another leaf still answers in time with high probability; by then, many pauses of
        leaves have ended by themselves. If so many leaves are slow that this moment has passed, an
        attempt is overdue after a multiple of the median, which slow leaves hardly change.

        Args:
            target_in_seconds: Time until the target, negative after it.

        Returns:
            Delay in seconds.
        """
        median = self.typical_seconds
        reserve_seconds = self._extras.quantile(_EXTRA_ATTEMPT_QUANTILE)
        if reserve_seconds is None:
            reserve_seconds = self._attempts.quantile(_ALL_ATTEMPTS_QUANTILE)
        if median is None or reserve_seconds is None:
            return _DEFAULT_HEDGE_FRACTION * max(target_in_seconds, 0.0)
        return max(_MIN_DELAY_MEDIANS * median, target_in_seconds - reserve_seconds)
