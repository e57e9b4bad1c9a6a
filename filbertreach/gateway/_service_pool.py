"""The leaves of one service: which of them gets the next request, and on which connection."""

import math
from collections.abc import Callable, Collection, Coroutine
from typing import Any, NamedTuple

from filbertreach.decisions import LeafOutcome, LeafTracker, ReplicaPolicy, make_replica_policy
from filbertreach.document import Leaf, Pool
from filbertreach.gateway._exchange import Exchange
from filbertreach.gateway._leaf_connection import LeafConnection
from filbertreach.gateway._metrics import CONNECTIONS, CONNECTIONS_OPENED
from filbertreach.gateway._retry_budget import RetryBudget, RetryBudgetSettings
from filbertreach.observability import get_logger
from filbertreach.platform import LeafEntry
from filbertreach.timing import Clock

_LOGGER = get_logger(__name__)

_LEAST_HOSTS = 10
"""Hosts that share a leaf's connections if fewer are known: callers are spread unevenly."""
_DEFAULT_CONNECTIONS = 20
"""Connections of a service that the operators' configuration does not name yet."""
_LAST_RESORT_SECONDS = 2.0
"""A leaf that is leaving or no longer listed still gets requests for this long if its service has
no other: entries can lapse while the store is away and return within this time."""
_DRAIN_MARGIN_SECONDS = 0.3
"""Part of the bound of draining in which a leaf gets nothing more."""
_REGION_SECONDS = 0.04
"""A leaf in another region is chosen if it is expected to answer this much earlier, as bytes
between regions are dear."""
_DATA_CENTRE_SECONDS = 0.002
"""The same for another data centre of the region."""
_SMOOTHING = 0.3
"""Weight of a new latency: a host sends a leaf a few calls a second, and slow leaves cost hedges
until they are known."""
_STUCK_FACTOR = 3.0
"""A call out for this many mean latencies keeps further calls from a leaf that has paused."""
_CONNECTION_COST_MS = 6.0
_QUEUE_FACTOR = 4
"""A leaf may be sent this many times its slots if no other one has room; it queues a few."""

Spawn = Callable[[Callable[[], Coroutine[Any, Any, None]], str], None]


class Location(NamedTuple):
    """Where a host is."""

    region: str
    """Its region."""
    data_centre: str
    """Its data centre."""

    def distance_seconds(self, leaf: Leaf) -> float:
        """Returns what a leaf's distance adds to its expected time.

        Args:
            leaf: The leaf.
        """
        if leaf.data_centre == self.data_centre:
            return 0.0
        if leaf.region == self.region:
            return _DATA_CENTRE_SECONDS
        return _REGION_SECONDS


class LeafHandle:
    """A leaf, what is known of it, and the connections to it."""

    def __init__(
        self, *, entry: LeafEntry, location: Location, connections: int, clock: Clock
    ) -> None:
        """Creates a handle without connections.

        Args:
            entry: The leaf as listed.
            location: Where this host is.
            connections: Connections that this host may open.
            clock: Source of time.
        """
        self.entry = entry
        self.connections = connections
        self.tracker = LeafTracker(
            leaf=entry.leaf,
            pool=Pool(entry.service, entry.slots, 3 * connections, _CONNECTION_COST_MS),
            smoothing=_SMOOTHING,
            stuck_factor=_STUCK_FACTOR,
        )
        self.tracker.distance_seconds = location.distance_seconds(entry.leaf)
        self.usable_until = math.inf
        """Clock until which the leaf may be a last resort; infinite while it is listed as ready."""
        self._clock = clock
        self._idle: list[LeafConnection] = []
        self._open: set[LeafConnection] = set()

    @property
    def leaf(self) -> Leaf:
        """The leaf."""
        return self.entry.leaf

    @property
    def has_connection(self) -> bool:
        """Whether a request can be sent without waiting for another one to end."""
        return len(self._open) < self.connections or any(c.is_fresh for c in self._idle)

    def take_idle(self) -> LeafConnection | None:
        """Returns the connection that was used last, and closes those that are too old."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_fresh:
                return connection
            connection.close()
        return None

    def open(self) -> LeafConnection:
        """Returns a new connection, to be run by a task."""
        connection = LeafConnection(leaf=self.leaf, owner=self, clock=self._clock)
        self._open.add(connection)
        CONNECTIONS_OPENED.inc()
        CONNECTIONS.inc()
        return connection

    def on_idle(self, connection: LeafConnection) -> None:
        """Keeps a connection for the next request."""
        self._idle.append(connection)

    def on_unusable(self, connection: LeafConnection) -> None:
        """Takes back a connection that was kept for the next request."""
        if connection in self._idle:
            self._idle.remove(connection)

    def on_closed(self, connection: LeafConnection) -> None:
        """Forgets a connection."""
        self._open.discard(connection)
        CONNECTIONS.dec()

    def close_idle(self) -> None:
        """Closes connections that carry no request."""
        for connection in list(self._idle):
            connection.close()


class ServicePool:
    """Chooses leaves of one service and sends requests to them."""

    def __init__(
        self,
        *,
        service: str,
        location: Location,
        budget: RetryBudgetSettings,
        drain_seconds: float,
        clock: Clock,
        spawn: Spawn,
    ) -> None:
        """Creates a pool without leaves.

        Args:
            service: Service name.
            location: Where this host is.
            budget: Limits of extra calls.
            drain_seconds: Time after which a leaving leaf must get nothing new.
            clock: Source of time.
            spawn: Runs a coroutine function as a task.
        """
        self.service = service
        self.budget = RetryBudget(settings=budget)
        self.handle_by_id: dict[str, LeafHandle] = {}
        self._here = location
        self._drain_seconds = drain_seconds
        self._clock = clock
        self._spawn = spawn
        self._chooser: ReplicaPolicy = make_replica_policy(name="least_expected_wait")
        self._connections = _DEFAULT_CONNECTIONS
        self._hosts = _LEAST_HOSTS

    def set_connections(self, connections: int) -> None:
        """Takes over how many connections a leaf accepts.

        Args:
            connections: Connections from all hosts together.
        """
        self._connections = connections
        self._divide()

    def set_hosts(self, hosts: int) -> None:
        """Takes over how many hosts share the connections.

        Args:
            hosts: Hosts, as far as this host knows.
        """
        self._hosts = max(_LEAST_HOSTS, hosts)
        self._divide()

    def _divide(self) -> None:
        for handle in self.handle_by_id.values():
            handle.connections = self._share()

    def update_leaf(self, entry: LeafEntry, *, since: float) -> None:
        """Takes over a leaf's entry.

        Args:
            entry: The entry; a new birth makes it a new leaf.
            since: Clock after which it was written, in seconds.
        """
        handle = self.handle_by_id.get(entry.leaf.id)
        if (
            handle is None
            or handle.entry.started_at_ms != entry.started_at_ms
            or handle.leaf != entry.leaf
        ):
            if handle is not None:
                handle.close_idle()
            handle = LeafHandle(
                entry=entry, location=self._here, connections=self._share(), clock=self._clock
            )
            self.handle_by_id[entry.leaf.id] = handle
        handle.entry = entry
        self._set_unwanted(handle, unwanted=entry.leaving, since=since)

    def unlist_leaf(self, leaf_id: str, *, since: float) -> None:
        """Records that a leaf is no longer listed.

        Args:
            leaf_id: Its id.
            since: Clock after which its entry was removed, in seconds.
        """
        handle = self.handle_by_id.get(leaf_id)
        if handle is not None:
            self._set_unwanted(handle, unwanted=True, since=since)

    def on_other_leaf(self, handle: LeafHandle) -> None:
        """Drops a leaf at whose address another one answered, until its entry is written again.

        The address of a leaf that is gone is used again, mostly by another service: each request
        sent there is an extra arrival at that service.

        Args:
            handle: The leaf that was meant.
        """
        if handle.usable_until == math.inf:
            _LOGGER.warning(
                "another leaf answers at this address",
                leaf=handle.leaf.id,
                service=self.service,
                address=handle.leaf.address,
            )
        handle.usable_until = min(handle.usable_until, self._clock.now())
        handle.close_idle()

    def forget_gone(self, now: float) -> None:
        """Drops leaves that can no longer be chosen.

        Args:
            now: Clock now, in seconds.
        """
        for leaf_id, handle in list(self.handle_by_id.items()):
            if now > handle.usable_until:
                handle.close_idle()
                if not handle.tracker.in_flight:
                    del self.handle_by_id[leaf_id]

    def choose(
        self,
        *,
        tried: Collection[str],
        now: float,
        repeatable: bool = True,
        typical_seconds: float | None = None,
    ) -> LeafHandle | None:
        """Chooses the leaf for a request.

        Args:
            tried: Leaves that already have the request.
            now: Clock now, in seconds.
            repeatable: Whether the request may be sent again if it is lost.
            typical_seconds: Latency of the leaves of the route, all services together: a service
                has few leaves, and an unknown one is mostly better than one that is slow.

        Returns:
            A leaf with a connection, or None.
        """
        wanted, last_resort = [], []
        for leaf_id, handle in self.handle_by_id.items():
            if leaf_id in tried or not handle.has_connection:
                continue
            if handle.usable_until == math.inf:
                wanted.append(handle)
            elif now < handle.usable_until:
                last_resort.append(handle)
        if not repeatable:
            # A request that is lost with a failing leaf can't be sent again.
            wanted = [h for h in wanted if h.tracker.state != "suspect"] or wanted
        if not wanted:
            return min(last_resort, key=lambda h: h.tracker.in_flight, default=None)
        tracker = self._chooser.choose(
            [h.tracker for h in wanted], now, typical_seconds=typical_seconds
        )
        if tracker is not None:
            return self.handle_by_id[tracker.leaf.id]
        return self._least_loaded(wanted)

    def _least_loaded(self, wanted: list[LeafHandle]) -> LeafHandle | None:
        """Returns a leaf that queues the request, as none is known to run it at once."""
        open_to_more = [
            handle
            for handle in wanted
            if handle.tracker.in_flight < _QUEUE_FACTOR * handle.entry.slots
        ]
        return min(
            open_to_more,
            key=lambda h: (h.tracker.state == "suspect", h.tracker.in_flight),
            default=None,
        )

    def send(self, handle: LeafHandle, exchange: Exchange) -> LeafConnection:
        """Sends a request on an idle connection, or on a new one.

        Args:
            handle: A leaf that `choose` returned.
            exchange: The request.

        Returns:
            The connection.
        """
        handle.tracker.record_start(exchange.started_at)
        connection = handle.take_idle()
        if connection is not None:
            connection.send(exchange)
            return connection
        connection = handle.open()
        connection.exchange = exchange
        self._spawn(connection.run, f"leaf {handle.leaf.id}")
        return connection

    def finished(self, handle: LeafHandle, exchange: Exchange, outcome: LeafOutcome) -> None:
        """Records how a request ended at a leaf.

        Args:
            handle: The leaf.
            exchange: The request.
            outcome: How it ended.
        """
        now = self._clock.now()
        handle.tracker.record_finish(outcome, now - exchange.started_at, now)

    def has_leaves(self, now: float) -> bool:
        """Returns whether any leaf may be chosen, now or when it has room.

        Args:
            now: Clock now, in seconds.
        """
        return any(now < handle.usable_until for handle in self.handle_by_id.values())

    def _set_unwanted(self, handle: LeafHandle, *, unwanted: bool, since: float) -> None:
        handle.tracker.leaving = unwanted
        if not unwanted:
            handle.usable_until = math.inf
        elif handle.usable_until == math.inf:
            now = self._clock.now()
            handle.usable_until = now + _LAST_RESORT_SECONDS
            if now - since <= self._drain_seconds:
                # The leaf may have said so as early as `since`. An older one means that the store
                # was away, and that entries may have lapsed although their leaves live.
                latest = since + self._drain_seconds - _DRAIN_MARGIN_SECONDS
                handle.usable_until = min(handle.usable_until, latest)

    def _share(self) -> int:
        return max(1, self._connections // self._hosts)
