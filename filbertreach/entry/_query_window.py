"""The number of queries of one rank that one entry process keeps in progress at one service."""

_START_LIMIT = 16.0
"""Queries in progress before anything is known; with 8 entry processes at most 128 arrive before
the first report."""
_LEAST_LIMIT = 1.0
"""One query in progress keeps measuring the delay."""
_GAIN = 0.2
"""Relative growth at no delay, and relative shrinkage at twice the wanted delay. At 0.5, short
queues at a load of 0.9 halved windows and up to 1.7% of the queries were refused."""
_LEAST_FACTOR = 0.5
"""Smallest factor of one change, so that one wrong report costs at most half the window."""
_ADDITIVE = 0.5
"""Growth in queries at each change; equalises the windows of several entry processes."""
_USED_SHARE = 0.5
"""The window grows only if one more query would have used this share of it. A window that is not
used says nothing about the delay. At 0.7, bursts below capacity were refused."""


class QueryWindow:
    """Limit on queries in progress, regulated by queueing delay.

    The limit moves towards the size at which new work waits for `wanted_delay` (proportional
    change as in Breakwater, Cho et al., OSDI 2020, applied to queries in progress instead of
    credits per second: the window bounds what can be queued while reports are on their way).
    """

    __slots__ = ("_peak", "changed", "in_flight", "limit")

    def __init__(self) -> None:
        """Creates an empty window."""
        self.limit = _START_LIMIT
        self.in_flight = 0
        self.changed = float("-inf")
        self._peak = 0

    @property
    def occupancy_after(self) -> float:
        """Used part of the window if one more query starts; above 1 if it does not fit."""
        return (self.in_flight + 1) / self.limit

    def enter(self) -> None:
        """Counts a query that starts."""
        self.in_flight += 1
        if self.in_flight > self._peak:
            self._peak = self.in_flight

    def leave(self) -> None:
        """Counts a query that ended."""
        self.in_flight -= 1

    def change(self, delay: float, wanted_delay: float, now: float) -> None:
        """Changes the limit for an observed delay.

        Args:
            delay: Time that new work waits, in seconds.
            wanted_delay: Time that it may wait under overload, in seconds.
            now: Time in seconds.
        """
        factor = max(1.0 + _GAIN * (wanted_delay - delay) / wanted_delay, _LEAST_FACTOR)
        if factor < 1.0:
            self.limit = max(self.limit * factor, _LEAST_LIMIT)
        elif self._peak + 1 > _USED_SHARE * self.limit:
            self.limit = self.limit * factor + _ADDITIVE
        self._peak = self.in_flight
        self.changed = now
