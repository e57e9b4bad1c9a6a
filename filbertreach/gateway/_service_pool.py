"""The leaves of one service, and the choice of the leaf for a request."""

import math
from collections.abc import Callable, Collection, Coroutine, Set
from typing import Any

from filbertreach.decisions import (
    LeafOutcome,
    LeafReport,
    LoadReturn,
    ServiceAdmission,
    SpillPolicy,
    SpillReason,
)
from filbertreach.gateway._cold_bound import ColdBound
from filbertreach.gateway._exchange import Exchange
from filbertreach.gateway._leaf_choice import CallTerms, LeafChoice
from filbertreach.gateway._leaf_connection import LeafConnection
from filbertreach.gateway._leaf_departures import LeafDepartures
from filbertreach.gateway._leaf_handle import LeafHandle, Location
from filbertreach.gateway._observed_leaves import ObservedLeaves
from filbertreach.gateway._request_turns import TurnSchedule
from filbertreach.gateway._retry_budget import RetryBudget, RetryBudgetSettings
from filbertreach.gateway._retry_hold import RetryHold
from filbertreach.gateway._route_latencies import RouteLatencies
from filbertreach.gateway._spill_over_log import SpillOverLog
from filbertreach.observability import get_logger
from filbertreach.platform import LeafAnswer, LeafEntry
from filbertreach.timing import Clock

_LOGGER = get_logger(__name__)

_MIN_SHARING_HOSTS = 10
"""The connections of a leaf are divided among at least this many hosts, because callers are spread
unevenly over the hosts."""
_DEFAULT_CONNECTIONS = 20
"""Connections per leaf of a service that the configuration does not contain yet."""

_FAILURES = frozenset(
    {
        LeafOutcome.REFUSED,
        LeafOutcome.ERROR,
        LeafOutcome.TIMEOUT,
        LeafOutcome.CONNECTION_LOST,
    }
)

Spawn = Callable[[Callable[[], Coroutine[Any, Any, None]], str], None]


class ServicePool:
    """Chooses leaves of one service and sends requests to them."""

    def __init__(
        self,
        *,
        service: str,
        location: Location,
        budget: RetryBudgetSettings,
        drain_seconds: float,
        schedule: TurnSchedule,
        clock: Clock,
        spawn: Spawn,
        evacuated: Set[str] = frozenset(),
        admission: bool = False,
        spill_over: SpillPolicy | None = None,
        spill_over_log: SpillOverLog | None = None,
        cold_bound: ColdBound | None = None,
        load_return: LoadReturn | None = None,
        observed: ObservedLeaves | None = None,
        on_idle_closed: Callable[[LeafHandle], None] | None = None,
    ) -> None:
        """Creates a pool without leaves.

        Args:
            service: Service name.
            location: Region and data centre of this host.
            budget: Limits of retries and hedges.
            drain_seconds: Bound within which a leaving leaf must receive no further requests.
            schedule: Turns in which this host calls leaves that limit their requests.
            clock: Source of time.
            spawn: Runs a coroutine function as a task.
            evacuated: Data centres whose leaves get no requests; updated by the caller.
            admission: Whether calls wait for a leaf with a place for their rank.
            spill_over: Decides what is sent to other data centres; None to prefer near leaves by
                fixed penalties.
            spill_over_log: Counts the calls sent out; None to count none.
            cold_bound: What a cold leaf tolerates; None for the usual bound.
            load_return: Paces the return of load to leaves; None to use them in full at once.
            observed: Observations that hosts share; None to use those of this host alone.
            on_idle_closed: Called when a leaf has closed a connection without a request.
        """
        self.service = service
        self.admission = ServiceAdmission() if admission else None
        """Decides when calls may be sent; None to send each call at once."""
        self.budget = RetryBudget(settings=budget)
        self.handle_by_id: dict[str, LeafHandle] = {}
        self._departures = LeafDepartures(service=service, drain_seconds=drain_seconds, clock=clock)
        self._hold_by_process: dict[tuple[str, int], RetryHold] = {}
        """Times, not ended, for which leaves have asked not to be called. A leaf whose handle has
        been removed meanwhile keeps its time."""
        self._location = location
        self._schedule = schedule
        self._clock = clock
        self._spawn = spawn
        self._evacuated = evacuated
        self._spill_over = spill_over
        self._spill_over_log = spill_over_log
        self._observed = observed
        self._on_idle_closed = on_idle_closed
        self._choice = LeafChoice(
            handle_by_id=self.handle_by_id,
            is_permitted=self.is_permitted,
            spill_over=spill_over,
            observed=observed,
            clock=clock,
        )
        self._sent_out_reason: SpillReason | None = None
        """Why the leaf that was chosen last is in another data centre."""
        self._connections = _DEFAULT_CONNECTIONS
        self._cold_per_second: float | None = None
        self._cold_bound = cold_bound or ColdBound()
        self._load_return = load_return
        self._host_count: int | None = None

    @property
    def is_empty(self) -> bool:
        """Whether it has no leaves and remembers none that left."""
        return not self.handle_by_id and not self._hold_by_process and self._departures.is_empty

    def set_connections(self, connections: int) -> None:
        """Sets the number of connections that each leaf accepts.

        Args:
            connections: Connections per leaf from all hosts together.
        """
        self._connections = connections
        self._update_connection_limits()

    def set_cold_limit(self, per_second: float | None) -> None:
        """Sets the number of requests that each leaf takes while it is cold.

        Args:
            per_second: Requests per second from all hosts together; None if there is no limit.
        """
        self._cold_per_second = per_second
        for handle in self.handle_by_id.values():
            handle.request_limit.cold_per_second = per_second

    def set_host_count(self, host_count: int) -> None:
        """Sets the number of hosts that share the connections and the request limit of each leaf.

        Args:
            host_count: Number of known hosts, this one included.
        """
        self._host_count = host_count
        self._update_connection_limits()
        for handle in self.handle_by_id.values():
            handle.request_limit.hosts = host_count

    def _update_connection_limits(self) -> None:
        for handle in self.handle_by_id.values():
            handle.max_connections = self._connections_per_host()

    def update_leaf(self, entry: LeafEntry, *, since: float) -> None:
        """Adds a leaf, or updates it from its entry.

        Args:
            entry: The entry; a changed start time means a restarted process, treated as a new leaf.
            since: Clock after which it was written, in seconds.
        """
        handle = self.handle_by_id.get(entry.leaf.id)
        # A listing repeats entries; the time for which a leaf is cold counts from the first time.
        is_repeated = handle is not None and handle.entry == entry
        if (
            handle is None
            or handle.entry.started_at_ms != entry.started_at_ms
            or handle.leaf != entry.leaf
        ):
            if handle is not None:
                handle.retire()
                handle.request_limit.on_removed(self._clock.now())
                if self._observed is not None:
                    self._observed.on_restarted(handle, self._clock.now())
            handle = LeafHandle(
                entry=entry,
                location=self._location,
                connections=self._connections_per_host(),
                hosts=self._host_count,
                schedule=self._schedule,
                cold_bound=self._cold_bound,
                clock=self._clock,
                on_idle_closed=self._on_idle_closed,
            )
            handle.request_limit.cold_per_second = self._cold_per_second
            handle.retry_hold = self._hold_by_process.get(entry.process, handle.retry_hold)
            if self._spill_over is not None:
                self._spill_over.forget(entry.leaf.id)
                tracker = handle.tracker
                cost_seconds = self._spill_over.cost_seconds(handle.candidate.distance)
                tracker.distance_seconds = max(tracker.distance_seconds, cost_seconds)
            self.handle_by_id[entry.leaf.id] = handle
            self._spread_turns()
        handle.entry = entry
        if not is_repeated:
            handle.request_limit.on_cold(entry.cold_seconds, self._clock.now())
        self._departures.on_entry(handle, since=since)

    def unlist_leaf(self, leaf_id: str, *, since: float) -> None:
        """Marks a leaf as no longer listed in the store.

        Args:
            leaf_id: Id of the leaf.
            since: Clock after which its entry was removed, in seconds.
        """
        handle = self.handle_by_id.get(leaf_id)
        if handle is not None:
            self._departures.on_unlisted(handle, since=since)

    def on_misdirected(self, handle: LeafHandle) -> None:
        """Stops using a leaf until its entry is written again, as another leaf has its address.

        The address of a leaf that has ended is reused, mostly by another service. Each request sent
        to it is an additional call that counts against the retry budget of that service.

        Args:
            handle: The leaf that the request was meant for.
        """
        if handle.usable_until == math.inf:
            _LOGGER.warning(
                "another leaf answers at this address",
                leaf=handle.leaf.id,
                service=self.service,
                address=handle.leaf.address,
            )
        handle.retire()

    def on_leaving(self, handle: LeafHandle) -> None:
        """Applies the statement of a leaf, in an answer, that it is leaving.

        It is in force until the leaf starts again, whatever the store says of the leaf.

        Args:
            handle: The leaf that answered.
        """
        self._departures.on_statement(handle, self.handle_by_id.get(handle.leaf.id))

    def on_retry_after(self, handle: LeafHandle, seconds: float) -> None:
        """Applies the time for which a leaf, in an answer, asks not to be called.

        Args:
            handle: The leaf that answered.
            seconds: Time from now on, in seconds.
        """
        process = handle.entry.process
        current = self.handle_by_id.get(handle.leaf.id)
        if current is not None and current.entry.process == process:
            # The handle may have been replaced since the request was sent.
            handle = current
        handle.retry_hold.on_named(seconds, self._clock.now())
        self._hold_by_process[process] = handle.retry_hold

    def remove_expired(self, now: float) -> None:
        """Removes leaves that can no longer be chosen and have no call in flight, and departures.

        Also closes the connections that may not be reused any more.

        Args:
            now: Current clock, in seconds.
        """
        for leaf_id, handle in list(self.handle_by_id.items()):
            handle.close_expired()
            if now > handle.usable_until:
                handle.close_idle()
                if not handle.tracker.in_flight:
                    handle.request_limit.on_removed(now)
                    del self.handle_by_id[leaf_id]
                    if self._spill_over is not None:
                        self._spill_over.forget(leaf_id)
                    if self._observed is not None:
                        self._observed.forget(leaf_id)
                    self._spread_turns()
        self._departures.remove_expired(now)
        for process, hold in list(self._hold_by_process.items()):
            if hold.returns_at <= now:
                del self._hold_by_process[process]

    def choose(
        self,
        *,
        tried: Collection[str],
        now: float,
        full: Collection[str] = (),
        repeatable: bool = True,
        priority: int = 0,
        hedge: bool = False,
        typical_seconds: float | None = None,
        regions: Set[str] | None = None,
        remaining_seconds: float = math.inf,
    ) -> LeafHandle | None:
        """Chooses the leaf for a request.

        Args:
            tried: Ids of leaves that are not to be chosen, as they were tried before.
            now: Current clock, in seconds.
            full: Ids of leaves that are not to be chosen, as admission finds no place there.
            repeatable: Whether the request may be sent again if it is lost.
            priority: Rank of the request, 0 for the most urgent ones.
            hedge: Whether another leaf already runs the request. A leaf with a request limit then
                gets it only if this host does not need its part of the limit for other requests.
            typical_seconds: Median latency of the route over all its services, assumed for leaves
                without samples. A service has few leaves, and an unknown leaf is mostly faster than
                a slow one, so the latencies of the service alone would mislead.
            regions: Regions whose leaves may get the request; None for all.
            remaining_seconds: Time until the latency objective, in seconds.

        Returns:
            A leaf with an available connection, None if there is none.
        """
        listed, last_resort = self._available_leaves(
            excluded={*tried, *full}, now=now, priority=priority, hedge=hedge, regions=regions
        )
        if not repeatable:
            # A request that is lost at a failing leaf can't be sent again, so avoid suspect leaves.
            listed = [h for h in listed if h.tracker.state != "suspect"] or listed
        terms = CallTerms(now, typical_seconds, priority, remaining_seconds)
        is_sent_by_load = False
        chosen: LeafHandle | None = None
        if not listed:
            chosen = min(last_resort, key=lambda h: h.tracker.in_flight, default=None)
        for leaves in self._paced(listed, now):
            chosen, is_sent_by_load = self._choice.choose(
                leaves, terms, may_probe=repeatable and not tried and not hedge
            )
            if chosen is not None:
                break
        self._sent_out_reason = None
        if is_sent_by_load:
            self._sent_out_reason = "load"
        elif self._spill_over is not None and chosen is not None:
            self._sent_out_reason = self._choice.reason_to_leave(chosen, tried, regions)
        return chosen

    def _available_leaves(
        self,
        *,
        excluded: Set[str],
        now: float,
        priority: int,
        hedge: bool,
        regions: Set[str] | None,
    ) -> tuple[list[LeafHandle], list[LeafHandle]]:
        """Returns the listed leaves that may get a request now, and those of last resort.

        Args:
            excluded: Ids of leaves that are not to be chosen.
            now: Current clock, in seconds.
            priority: Rank of the request, 0 for the most urgent ones.
            hedge: Whether another leaf already runs the request.
            regions: Regions whose leaves may get the request; None for all.
        """
        listed, last_resort = [], []
        for leaf_id, handle in self.handle_by_id.items():
            if leaf_id in excluded or not handle.has_connection:
                continue
            if not self.is_permitted(handle, regions):
                continue
            if (
                handle.available_at(now, priority=priority) > now
                or not handle.retry_hold.has_room(handle.tracker.in_flight)
                or (hedge and not handle.request_limit.is_unused(now))
            ):
                continue
            if handle.usable_until == math.inf:
                listed.append(handle)
            elif now < handle.usable_until:
                last_resort.append(handle)
        return listed, last_resort

    def _paced(self, listed: list[LeafHandle], now: float) -> list[list[LeafHandle]]:
        """Returns the leaves to choose from, and all of them if those cannot take the call.

        Leaves to which load is returning are left out for a part of the calls. While a leaf is
        cold, its limit sets the pace.
        """
        if not listed:
            return []
        if self._load_return is None or not self._load_return.is_active(now):
            return [listed]
        withheld = self._load_return.withheld(
            [
                (handle.leaf.id, handle.leaf.data_centre)
                for handle in listed
                if not handle.request_limit.is_cold(now)
            ],
            now,
        )
        others = [handle for handle in listed if handle.leaf.id not in withheld]
        if not withheld or all(handle.tracker.state == "suspect" for handle in others):
            return [listed]
        return [others, listed]

    def send(
        self, handle: LeafHandle, exchange: Exchange, *, service_class: str = ""
    ) -> LeafConnection:
        """Sends a request on an idle connection, or on a new one.

        Args:
            handle: The leaf that `choose` returned last. The log of calls sent to other data
                centres gets the reason of that choice.
            exchange: The request.
            service_class: Name of the route, for the log of calls sent to other data centres.

        Returns:
            The connection.
        """
        handle.tracker.record_start(exchange.started_at)
        if self._spill_over_log is not None:
            self._spill_over_log.record(service_class, self._sent_out_reason, exchange.started_at)
        connection = handle.take_idle()
        if connection is not None:
            connection.send(exchange)
            return connection
        connection = handle.open()
        connection.exchange = exchange
        self._spawn(connection.run, f"leaf {handle.leaf.id}")
        return connection

    def record_finish(
        self,
        handle: LeafHandle,
        exchange: Exchange,
        outcome: LeafOutcome,
        latencies: RouteLatencies | None = None,
    ) -> None:
        """Records the outcome of a request at a leaf.

        Args:
            handle: The leaf.
            exchange: The request.
            outcome: Its outcome.
            latencies: Latencies of its route; None if unknown.
        """
        now = self._clock.now()
        seconds = now - exchange.started_at
        handle.tracker.record_finish(outcome, seconds, now)
        # A call to a replaced process says nothing of the one that has its id now.
        if self._observed is not None and self.handle_by_id.get(handle.leaf.id) is handle:
            self._observed.record(
                handle, outcome, seconds, now, sent=exchange.sent, latencies=latencies
            )
        if self._spill_over is not None and outcome in _FAILURES:
            self._spill_over.on_failure(handle.candidate, now)
        if self.admission is not None:
            self.admission.wake_first()

    def record_load(
        self, handle: LeafHandle, exchange: Exchange, answer: LeafAnswer, now: float
    ) -> None:
        """Records the load that an answer reports.

        Args:
            handle: The leaf that answered.
            exchange: The request.
            answer: The answer.
            now: Current clock, in seconds.
        """
        load = answer.load
        if load is None:
            return
        handle.tracker.record_load_report(load.running, load.queued, now, slowdown=load.slowdown)
        if self._spill_over is not None and answer.is_success:
            self._spill_over.on_answer(
                handle.candidate,
                now - exchange.started_at,
                LeafReport(
                    load=load.running + load.queued,
                    slots=handle.entry.slots,
                    slowdown=handle.tracker.reported_slowdown,
                ),
                now,
            )

    def is_permitted(self, handle: LeafHandle, regions: Set[str] | None) -> bool:
        """Returns whether the location of a leaf allows it to get a request.

        Args:
            handle: The leaf.
            regions: Regions whose leaves may get the request; None for all.
        """
        if regions is None and not self._evacuated:
            return True
        leaf = handle.leaf
        if leaf.data_centre in self._evacuated:
            return False
        return regions is None or leaf.region in regions

    def available_at(
        self,
        now: float,
        *,
        tried: Collection[str] = (),
        priority: int = 0,
        regions: Set[str] | None = None,
    ) -> float:
        """Returns the clock from which the limits that the leaves name allow a request.

        Args:
            now: Current clock, in seconds.
            tried: Ids of leaves that are not to be chosen, as they were tried before.
            priority: Rank of the request, 0 for the most urgent ones.
            regions: Regions whose leaves may get the request; None for all.

        Returns:
            A clock in seconds; in the past if a leaf may get the request now, infinite if no leaf
            is known.
        """
        return min(
            [
                handle.available_at(now, priority=priority)
                for handle in self._usable_leaves(now, tried, regions)
            ],
            default=math.inf,
        )

    def is_held(
        self, now: float, *, tried: Collection[str] = (), regions: Set[str] | None = None
    ) -> bool:
        """Returns whether all leaves that may be chosen have asked to be called later.

        Args:
            now: Current clock, in seconds.
            tried: Ids of leaves that are not to be chosen, as they were tried before.
            regions: Regions whose leaves may get the request; None for all.
        """
        leaves = self._usable_leaves(now, tried, regions)
        return bool(leaves) and all(handle.retry_hold.returns_at > now for handle in leaves)

    def has_leaves(self, now: float, *, regions: Set[str] | None = None) -> bool:
        """Returns whether any leaf may be chosen, now or once it has room.

        Args:
            now: Current clock, in seconds.
            regions: Regions whose leaves may get the request; None for all.
        """
        return bool(self._usable_leaves(now, (), regions))

    def _usable_leaves(
        self, now: float, tried: Collection[str], regions: Set[str] | None
    ) -> list[LeafHandle]:
        """Returns the leaves, not tried before, that may be chosen now or once they have room."""
        return [
            handle
            for leaf_id, handle in self.handle_by_id.items()
            if leaf_id not in tried
            and now < handle.usable_until
            and self.is_permitted(handle, regions)
        ]

    def count_candidates(self, *, tried: Collection[str], regions: Set[str] | None) -> int:
        """Returns the number of leaves that a request was sent to or may be sent to.

        Args:
            tried: Ids of leaves that it was sent to; their data centre may be evacuated since.
            regions: Regions whose leaves may get the request; None for all.
        """
        return sum(
            leaf_id in tried or self.is_permitted(handle, regions)
            for leaf_id, handle in self.handle_by_id.items()
        )

    def count_limited(self) -> int:
        """Returns the number of leaves that name a request limit."""
        return sum(h.request_limit.per_second is not None for h in self.handle_by_id.values())

    def _spread_turns(self) -> None:
        """Gives the leaves different turns.

        The offsets are the same in all pools of as many leaves, so that one turn serves a query
        over all of them.
        """
        for number, leaf_id in enumerate(sorted(self.handle_by_id)):
            limit = self.handle_by_id[leaf_id].request_limit
            limit.turns.offset = limit.cold_turns.offset = number / len(self.handle_by_id)

    def _connections_per_host(self) -> int:
        sharing_hosts = max(_MIN_SHARING_HOSTS, self._host_count or 0)
        return max(1, self._connections // sharing_hosts)
