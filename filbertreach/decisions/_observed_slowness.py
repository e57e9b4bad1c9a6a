"""Slowness of a leaf as other hosts observe it."""

import math


class ObservedSlowness:
    """A factor on the time of calls to one leaf, in force until a given time."""

    __slots__ = ("_factor", "_until")

    def __init__(self) -> None:
        """Creates the slowness of a leaf that is not observed as slow."""
        self._factor = 1.0
        self._until = -math.inf

    def set(self, factor: float, until: float) -> None:
        """Sets the slowness.

        Args:
            factor: Time of a call as a multiple of the usual one, at least 1.
            until: Clock at which it ends, in seconds.
        """
        self._factor = factor
        self._until = until

    def factor(self, now: float) -> float:
        """Returns the factor, 1 if there is no slowness.

        Args:
            now: Current clock, in seconds.
        """
        return self._factor if now < self._until else 1.0

    def raise_estimate(self, seconds: float, usual_seconds: float, now: float) -> float:
        """Returns the expected time of a call with the slowness.

        Slow calls of this sender are part of its estimate already, so they don't count twice.

        Args:
            seconds: Estimate from the calls of this sender, in seconds.
            usual_seconds: Time of calls of the same kind at other leaves, in seconds.
            now: Current clock, in seconds.
        """
        if now >= self._until:
            return seconds
        return max(seconds, self._factor * min(seconds, usual_seconds))
