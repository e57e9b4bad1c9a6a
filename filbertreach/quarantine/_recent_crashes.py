"""Routes under which leaves have ended lately, and the first calls of their scatter requests."""

import math

FIRST_SHARDS = 2
"""Shards that a request of such a route is sent to first. If it ends both leaves, nothing more is
sent for it."""
_RECENT_SECONDS = 2.0
"""Time after the end of a leaf for which scatter requests of the route are sent in two stages."""
_MAX_ROUTES = 10_000
"""Routes that are kept."""


class RecentCrashes:
    """Clocks of the last ends of leaves, by route."""

    def __init__(self) -> None:
        """Creates a record without ends."""
        self._ended_at_by_route: dict[str, float] = {}

    def on_lost(self, route: str, at: float) -> None:
        """Records that a leaf has ended while it ran a request of a route.

        Args:
            route: Name of the route.
            at: Clock of its end, in seconds.
        """
        if route not in self._ended_at_by_route and len(self._ended_at_by_route) >= _MAX_ROUTES:
            del self._ended_at_by_route[next(iter(self._ended_at_by_route))]
        self._ended_at_by_route[route] = max(at, self._ended_at_by_route.get(route, -math.inf))

    def is_recent(self, route: str, now: float) -> bool:
        """Returns whether a leaf has ended lately under a request of a route.

        Args:
            route: Name of the route.
            now: Current clock, in seconds.
        """
        return now - self._ended_at_by_route.get(route, -math.inf) < _RECENT_SECONDS


def first_shards(fingerprint: bytes, *, shards: int, count: int) -> list[int]:
    """Returns the positions of the shards that a request is sent to first.

    Copies of a request that arrive at several hosts at the same time are sent to the same shards.
    So however many there are, they can only end the leaves of these.

    Args:
        fingerprint: The request.
        shards: Number of shards.
        count: Number of shards to choose.
    """
    first = int.from_bytes(fingerprint[:8], "big") % shards
    return [(first + number) % shards for number in range(min(count, shards))]
