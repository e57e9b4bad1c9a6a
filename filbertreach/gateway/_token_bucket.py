"""Token bucket: a rate of requests with a small burst."""

import random

_SAVED_SECONDS = 1.0
"""Time for which requests are saved, in addition to one request."""
_MAX_BURST_SECONDS = 2.0
"""Time in which the rate yields the largest burst. Leaves tolerate as much beyond their limit."""
_ROUNDING_TOLERANCE = 1e-9


class TokenBucket:
    """Limits requests to a rate, which may change with each call.

    Hosts do not coordinate their buckets, so a bucket starts at a random level: hosts that start
    theirs at the same time would otherwise send their first requests together.
    """

    def __init__(self, *, now: float) -> None:
        """Creates a bucket that holds less than one request.

        Args:
            now: Current clock, in seconds.
        """
        self._level = random.random()
        self._refilled_at = now

    def available_at(self, now: float, *, per_second: float, priority: int) -> float:
        """Returns the clock from which a request may be sent; `now` if it may be sent now.

        The less urgent a request is, the more of the burst has to be left after it, so that urgent
        ones find requests even if the others want more than the rate.

        Args:
            now: Current clock, in seconds.
            per_second: Requests per second.
            priority: Rank of the request, 0 for the most urgent ones.
        """
        self._refill(now, per_second)
        kept = (_capacity(per_second) - 1.0) * (1.0 - 1.0 / (1 + priority))
        missing = 1.0 + kept - self._level
        return now + missing / per_second if missing > _ROUNDING_TOLERANCE else now

    def is_full(self, now: float, *, per_second: float) -> bool:
        """Returns whether nothing more can be saved.

        Args:
            now: Current clock, in seconds.
            per_second: Requests per second.
        """
        self._refill(now, per_second)
        return self._level >= _capacity(per_second) - _ROUNDING_TOLERANCE

    def take(self, now: float, *, per_second: float) -> None:
        """Counts a request that is sent.

        Args:
            now: Current clock, in seconds.
            per_second: Requests per second.
        """
        self._refill(now, per_second)
        self._level -= 1.0

    def _refill(self, now: float, per_second: float) -> None:
        elapsed, self._refilled_at = now - self._refilled_at, now
        self._level = min(_capacity(per_second), self._level + elapsed * per_second)


def _capacity(per_second: float) -> float:
    """Returns the largest number of requests that are saved."""
    return max(1.0, min(1.0 + per_second * _SAVED_SECONDS, per_second * _MAX_BURST_SECONDS))
