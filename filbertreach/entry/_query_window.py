"""Limit on the queries of one rank that an entry process keeps in progress at one service."""

_INITIAL_LIMIT = 16.0
"""Limit before the first load report: 8 entry processes send at most 128 queries until then."""
_MIN_LIMIT = 1.0
"""One query in progress keeps measuring the delay."""
_GAIN = 0.2
"""Relative growth at no delay, and relative shrinkage at twice the target delay. At 0.5, short
queues at a load of 0.9 halved windows, and up to 1.7% of the queries were refused."""
_MIN_FACTOR = 0.5
"""Smallest factor of one update, so that one wrong report costs at most half the window."""
_ADDITIVE_INCREASE = 0.5
"""Growth in queries per update; equalises the windows of several entry processes."""
_MIN_UTILISATION = 0.5
"""The window grows only if one more query would have used this share of it, because an unused
window gives no information on the delay. At 0.7, bursts below capacity were refused."""


class QueryWindow:
    """Limit on queries in progress, controlled by queueing delay.

    The limit moves towards the size at which a new query waits for `target_delay`. The change is
    proportional to the delay error as in Breakwater (Cho et al., OSDI 2020), but applies to queries
    in progress instead of credits per second, because a window bounds the work that can queue up
    while load reports are in transit.
    """

    __slots__ = ("_peak", "in_flight", "limit", "updated_at")

    def __init__(self) -> None:
        """Creates a window without queries."""
        self.limit = _INITIAL_LIMIT
        self.in_flight = 0
        self.updated_at = float("-inf")
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

    def update(self, delay: float, target_delay: float, now: float) -> None:
        """Updates the limit for an observed delay.

        Args:
            delay: Time that a new query waits, in seconds.
            target_delay: Time that it may wait under overload, in seconds.
            now: Time in seconds.
        """
        factor = max(1.0 + _GAIN * (target_delay - delay) / target_delay, _MIN_FACTOR)
        if factor < 1.0:
            self.limit = max(self.limit * factor, _MIN_LIMIT)
        elif self._peak + 1 > _MIN_UTILISATION * self.limit:
            self.limit = self.limit * factor + _ADDITIVE_INCREASE
        self._peak = self.in_flight
        self.updated_at = now
