"""A leaf as this host sees it: its entry, observed state, request limit and connections."""

import math
from collections.abc import Callable
from typing import NamedTuple

from filbertreach.decisions import Distance, LeafTracker, SpillCandidate
from filbertreach.document import Leaf, Pool
from filbertreach.gateway._cold_bound import ColdBound
from filbertreach.gateway._leaf_connection import LeafConnection
from filbertreach.gateway._metrics import CONNECTIONS, CONNECTIONS_OPENED
from filbertreach.gateway._request_limit import RequestLimit
from filbertreach.gateway._request_turns import TurnSchedule
from filbertreach.gateway._retry_hold import RetryHold
from filbertreach.gateway._unreadable_headers import UnreadableHeaderLog
from filbertreach.platform import LeafEntry
from filbertreach.timing import Clock

_OTHER_REGION_PENALTY_SECONDS = 0.04
"""A leaf in another region is chosen only if it is expected to answer this much earlier, because
traffic between regions is expensive."""
_OTHER_DATA_CENTRE_PENALTY_SECONDS = 0.002
"""The same for a leaf in another data centre of the region."""
_PENALTY_SECONDS_BY_DISTANCE: dict[Distance, float] = {
    "near": 0.0,
    "data_centre": _OTHER_DATA_CENTRE_PENALTY_SECONDS,
    "region": _OTHER_REGION_PENALTY_SECONDS,
}
_SMOOTHING = 0.3
"""Weight of a new latency in the moving average. It is high because a host sends only a few calls
per second to each leaf, and a slow leaf causes hedges until it is detected."""
_STUCK_FACTOR = 3.0
"""A leaf counts as paused, and receives no further calls, while a call to it has been running for
this many mean latencies."""
_CONNECTION_COST_MS = 6.0


class Location(NamedTuple):
    """Region and data centre of a host."""

    region: str
    """Region."""
    data_centre: str
    """Data centre."""

    def distance(self, leaf: Leaf) -> Distance:
        """Returns the distance of a leaf.

        Args:
            leaf: The leaf.
        """
        if leaf.data_centre == self.data_centre:
            return "near"
        return "data_centre" if leaf.region == self.region else "region"

    def distance_seconds(self, leaf: Leaf) -> float:
        """Returns the penalty that the distance adds to the expected time of a leaf, in seconds.

        Args:
            leaf: The leaf.
        """
        return _PENALTY_SECONDS_BY_DISTANCE[self.distance(leaf)]


class LeafHandle:
    """A leaf with its observed state and the connections to it."""

    def __init__(
        self,
        *,
        entry: LeafEntry,
        location: Location,
        connections: int,
        hosts: int | None,
        schedule: TurnSchedule,
        cold_bound: ColdBound,
        clock: Clock,
        on_idle_closed: Callable[["LeafHandle"], None] | None = None,
    ) -> None:
        """Creates a handle without connections.

        Args:
            entry: Entry of the leaf in the store.
            location: Region and data centre of this host.
            connections: Largest number of connections that this host may open.
            hosts: Number of hosts that call the leaf, this one included; None if unknown.
            schedule: Turns in which this host calls leaves that limit their requests.
            cold_bound: What the leaf tolerates while it is cold.
            clock: Source of time.
            on_idle_closed: Called when the leaf has closed a connection without a request.
        """
        self.entry = entry
        self.max_connections = connections
        self.tracker = LeafTracker(
            leaf=entry.leaf,
            pool=Pool(entry.service, entry.slots, 3 * connections, _CONNECTION_COST_MS),
            smoothing=_SMOOTHING,
            stuck_factor=_STUCK_FACTOR,
        )
        self.tracker.distance_seconds = location.distance_seconds(entry.leaf)
        self.candidate = SpillCandidate(
            self.tracker, entry.leaf.data_centre, location.distance(entry.leaf)
        )
        """The leaf as a candidate of the spill-over policy."""
        self.request_limit = RequestLimit(
            leaf=entry.leaf.id,
            service=entry.service,
            hosts=hosts,
            schedule=schedule,
            cold_bound=cold_bound,
        )
        self.retry_hold = RetryHold(leaf=entry.leaf.id, service=entry.service)
        """Time for which the leaf has asked not to be called."""
        self.unreadable_headers = UnreadableHeaderLog(leaf=entry.leaf.id, service=entry.service)
        self.usable_until = math.inf
        """Clock until which the leaf may be chosen as a last resort; infinite while it is listed as
        ready."""
        self._clock = clock
        self._on_idle_closed = on_idle_closed
        self._idle: list[LeafConnection] = []
        self._usable: set[LeafConnection] = set()
        """Connections that are being opened, carry a request or are idle; not those that are being
        closed."""

    @property
    def leaf(self) -> Leaf:
        """The leaf."""
        return self.entry.leaf

    @property
    def has_connection(self) -> bool:
        """Whether a connection is available without waiting for another request to end."""
        if len(self._usable) < self.max_connections:
            return True
        if any(connection.is_within_keep_alive for connection in self._idle):
            return True
        # Expired connections are closed before the next one is opened.
        return len(self._usable) - len(self._idle) < self.max_connections

    def available_at(self, now: float, *, priority: int) -> float:
        """Returns the clock from which the leaf itself allows a call; in the past if it does now.

        Args:
            now: Current clock, in seconds.
            priority: Rank of the call, 0 for the most urgent ones.
        """
        limit_at = self.request_limit.available_at(now, priority=priority)
        return max(limit_at, self.retry_hold.returns_at)

    def take_idle(self) -> LeafConnection | None:
        """Returns the most recently used idle connection; closes the expired ones."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_within_keep_alive:
                return connection
            connection.close()
        return None

    def open(self) -> LeafConnection:
        """Returns a new connection, whose `run` must be started as a task."""
        connection = LeafConnection(leaf=self.leaf, owner=self, clock=self._clock)
        self._usable.add(connection)
        CONNECTIONS_OPENED.inc()
        CONNECTIONS.inc()
        return connection

    def on_idle(self, connection: LeafConnection) -> None:
        """Adds a connection to the idle ones, or closes it if the leaf may not be used any more."""
        self._idle.append(connection)
        if self.usable_until < math.inf and self._clock.now() >= self.usable_until:
            connection.close()

    def on_unusable(self, connection: LeafConnection) -> None:
        """Removes a connection that takes no further requests."""
        self._usable.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def on_idle_closed(self) -> None:
        """Reports that the leaf has closed a connection without a request."""
        if self._on_idle_closed is not None:
            self._on_idle_closed(self)

    def on_closed(self, connection: LeafConnection) -> None:
        """Removes a closed connection."""
        self._usable.discard(connection)
        CONNECTIONS.dec()

    def close_idle(self) -> None:
        """Closes the connections without a request in progress."""
        for connection in list(self._idle):
            connection.close()

    def close_expired(self) -> None:
        """Closes the idle connections that may not be reused any more.

        The leaf closes them too, but its close does not arrive on a connection that went silent.
        """
        for connection in list(self._idle):
            if not connection.is_within_keep_alive:
                connection.close()

    def retire(self) -> None:
        """Ends the use of the leaf; connections with a request in progress close after it."""
        self.usable_until = min(self.usable_until, self._clock.now())
        self.close_idle()
