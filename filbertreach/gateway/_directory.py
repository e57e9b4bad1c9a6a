"""Routing state of the gateway: the routes in force and the leaves of each service."""

import collections
import math
import random
from collections.abc import Callable

from returns.result import Failure, Success

from filbertreach.decisions import (
    RETURN_SECONDS,
    AdmissionWindow,
    CrossingCosts,
    DataCentreStatistics,
    LateShardLatencies,
    LoadReturn,
    make_spill_policy,
)
from filbertreach.document import Route, RouteTable
from filbertreach.gateway._cold_bound import ColdBound
from filbertreach.gateway._evacuations import Evacuations
from filbertreach.gateway._leaf_handle import LeafHandle, Location
from filbertreach.gateway._metrics import ROUTES_VERSION
from filbertreach.gateway._observed_leaves import ObservedLeaves
from filbertreach.gateway._request_turns import TurnSchedule
from filbertreach.gateway._retry_budget import BudgetHistory, RetryBudgetSettings
from filbertreach.gateway._route_latencies import RouteLatencies
from filbertreach.gateway._service_pool import ServicePool, Spawn
from filbertreach.gateway._spill_over_log import SpillOverLog
from filbertreach.leaf_observations import HostObservations
from filbertreach.observability import get_logger
from filbertreach.platform import (
    EVACUATIONS_PREFIX,
    LEAVES_PREFIX,
    ROUTES_KEY,
    LeafEntry,
    StoredItem,
    StoredListing,
    decode_leaf_entry,
    decode_routes,
)
from filbertreach.timing import Clock

_LOGGER = get_logger(__name__)


class RouteStatistics:
    """Observations of one route, kept across versions of the configuration."""

    def __init__(self) -> None:
        """Creates empty statistics."""
        self.attempt_latencies = RouteLatencies()
        self.late_shard_latencies = LateShardLatencies()
        self._window_by_rank: dict[int, AdmissionWindow] = {}

    def window(self, rank: int) -> AdmissionWindow:
        """Returns the limits on the requests of a rank; a client account may have its own rank.

        Args:
            rank: Rank, 0 for the most urgent ones.
        """
        return self._window_by_rank.setdefault(rank, AdmissionWindow())


class Directory:
    """The routes in force and the leaf pools of the services."""

    def __init__(
        self,
        *,
        clock: Clock,
        location: Location,
        region_by_data_centre: dict[str, str],
        budget: RetryBudgetSettings,
        drain_seconds: float,
        spawn: Spawn,
        on_change: Callable[[], None],
        admission: bool = False,
        spill_over: CrossingCosts | None = None,
        cold_bound: ColdBound | None = None,
        load_return: LoadReturn | None = None,
        observations: HostObservations | None = None,
        on_idle_closed: Callable[[LeafHandle], None] | None = None,
    ) -> None:
        """Creates an empty directory.

        Args:
            clock: Source of time.
            location: Region and data centre of this host.
            region_by_data_centre: Region of each data centre of the deployment.
            budget: Limits of retries and hedges, shared by all services.
            drain_seconds: Bound within which a leaving leaf must receive no further requests.
            spawn: Runs a coroutine function as a task.
            on_change: Called after routes or leaves have changed.
            admission: Whether calls wait for a leaf with a place for their rank.
            spill_over: Costs by which load decides what is sent to other data centres; None to
                prefer near leaves by fixed penalties.
            cold_bound: What a cold leaf tolerates; None for the usual bound.
            load_return: Paces the return of load to leaves; None to use them in full at once.
            observations: Observations of leaves that hosts share; None to share none.
            on_idle_closed: Called when a leaf has closed a connection without a request.
        """
        self.table: RouteTable | None = None
        """Routes in force, None before the first configuration; the version never decreases."""
        self.leaves_listed = False
        """Whether the leaves have been listed since the process started."""
        self.pool_by_service: dict[str, ServicePool] = {}
        self._clock = clock
        self._location = location
        self._region_by_data_centre = region_by_data_centre
        self._budget = budget
        self._drain_seconds = drain_seconds
        self._schedule = TurnSchedule()
        self._spawn = spawn
        self._on_change = on_change
        self._admission = admission
        self._spill_over = spill_over
        self._cold_bound = cold_bound
        self._load_return = load_return
        self._observations = observations
        self._on_idle_closed = on_idle_closed
        self._evacuations = Evacuations(
            known_data_centres=region_by_data_centre, load_return=load_return, clock=clock
        )
        self._store_epoch: int | None = None
        self._data_centre_statistics = DataCentreStatistics()
        self._spill_over_log = SpillOverLog()
        self._host_count: int | None = None
        self._history_by_service: dict[str, BudgetHistory] = {}
        """Retry histories of the last process for services that are not known yet."""
        self._service_by_leaf: dict[str, str] = {}
        self._data_centre_by_leaf: dict[str, str] = {}
        self._leaf_count_by_data_centre: collections.Counter[str] = collections.Counter()
        """Listed leaves of each data centre; a count for each start of a leaf takes too long."""
        self._statistics_by_route: dict[str, RouteStatistics] = {}
        self._configured_services: set[str] = set()
        """Services that the routes in force name."""

    @property
    def evacuated_data_centres(self) -> set[str]:
        """Data centres whose leaves get no requests; always the same set."""
        return self._evacuations.data_centres

    # Updates from the store.

    def on_listing(self, listing: StoredListing, since: float) -> None:
        """Applies a listing of all keys of the store; leaves that it lacks become unlisted.

        Args:
            listing: The listing.
            since: Clock at which the previous data was complete, in seconds.
        """
        routes = listing.item_by_key.get(ROUTES_KEY)
        if routes is not None:
            self._apply_routes(routes)
        is_restored = self._store_epoch not in (None, listing.epoch)
        self._store_epoch = listing.epoch
        self._evacuations.on_listing(listing.item_by_key, is_restored=is_restored)
        leaves = [i for key, i in listing.item_by_key.items() if key.startswith(LEAVES_PREFIX)]
        self._apply_leaf_listing(leaves, listing.revision, since)

    def on_change(self, key: str, item: StoredItem | None, since: float) -> None:
        """Applies a change of one key; keys of other matters are ignored.

        Args:
            key: The key.
            item: The item as written, None if it was removed.
            since: Clock after which the change was made, in seconds.
        """
        if key == ROUTES_KEY:
            self._apply_routes(item)
        elif key.startswith(LEAVES_PREFIX):
            self._apply_leaf_change(key, item, since)
        elif key.startswith(EVACUATIONS_PREFIX):
            self._evacuations.on_change(key, is_removed=item is None)

    # Routes.

    def _apply_routes(self, item: StoredItem | None) -> None:
        if item is None:
            _LOGGER.warning("configuration removed from the store; keeping the one in force")
            return
        match decode_routes(item.value):
            case Failure(error):
                _LOGGER.error("configuration ignored", revision=item.revision, error=str(error))
            case Success(table):
                self._activate(table)

    def _activate(self, table: RouteTable) -> None:
        old_version = self.table.version if self.table else None
        if old_version is not None and table.version <= old_version:
            if table.version < old_version:
                _LOGGER.warning(
                    "older configuration ignored", version=table.version, have=old_version
                )
            return
        self.table = table
        names = {r.name for routes in table.routes_by_host.values() for r in routes}
        for name in self._statistics_by_route.keys() - names:
            del self._statistics_by_route[name]
        self._configured_services = {
            service
            for routes in table.routes_by_host.values()
            for route in routes
            for service in (*route.shards, *route.weight_by_service)
        } | table.limits_by_service.keys()
        for service, limits in table.limits_by_service.items():
            self.pool(service).set_connections(limits.connections)
        for service, pool in self.pool_by_service.items():
            service_limits = table.limits_by_service.get(service)
            pool.set_cold_limit(service_limits and service_limits.cold_requests_per_second)
        ROUTES_VERSION.set(table.version)
        _LOGGER.info(
            "configuration in force", version=table.version, was=old_version, routes=len(names)
        )
        self._on_change()

    def statistics(self, route: Route) -> RouteStatistics:
        """Returns the latencies observed for a route.

        Args:
            route: The route.
        """
        return self._statistics_by_route.setdefault(route.name, RouteStatistics())

    def pools_for(self, route: Route) -> list[ServicePool]:
        """Returns the pools that serve a request of a route.

        These are the pools of all shards, or of one service chosen at random by weight.

        Args:
            route: The route.
        """
        if route.shards:
            return [self.pool(shard) for shard in route.shards]
        weights = route.weight_by_service
        if len(weights) == 1:
            return [self.pool(next(iter(weights)))]
        service = random.choices(list(weights), weights=list(weights.values()))[0]
        return [self.pool(service)]

    def pool(self, service: str) -> ServicePool:
        """Returns the pool of a service, created empty if it is unknown.

        Args:
            service: Service name.
        """
        pool = self.pool_by_service.get(service)
        if pool is None:
            costs = self._spill_over
            pool = ServicePool(
                service=service,
                location=self._location,
                budget=self._budget,
                drain_seconds=self._drain_seconds,
                schedule=self._schedule,
                clock=self._clock,
                spawn=self._spawn,
                evacuated=self.evacuated_data_centres,
                admission=self._admission,
                spill_over=None
                if costs is None
                else make_spill_policy(
                    name="marginal_cost", costs=costs, statistics=self._data_centre_statistics
                ),
                spill_over_log=None if costs is None else self._spill_over_log,
                cold_bound=self._cold_bound,
                load_return=self._load_return,
                observed=None
                if self._observations is None
                else ObservedLeaves(observations=self._observations),
                on_idle_closed=self._on_idle_closed,
            )
            if self._host_count is not None:
                pool.set_host_count(self._host_count)
            history = self._history_by_service.pop(service, None)
            if history is not None:
                pool.budget.restore(history, self._clock.now())
            self.pool_by_service[service] = pool
        return pool

    # Retry budgets.

    def retry_histories(self) -> dict[str, BudgetHistory]:
        """Returns what the next process of this host has to know of the retry budgets."""
        now = self._clock.now()
        history_by_service = {
            service: pool.budget.history(now) for service, pool in self.pool_by_service.items()
        }
        return {service: item for service, item in history_by_service.items() if item is not None}

    def restore_retry_histories(self, history_by_service: dict[str, BudgetHistory]) -> None:
        """Continues with the retry budgets of the last process of this host.

        Args:
            history_by_service: Histories; those of services that are not known yet apply later.
        """
        now = self._clock.now()
        self._history_by_service = dict(history_by_service)
        for service in history_by_service.keys() & self.pool_by_service.keys():
            history = self._history_by_service.pop(service)
            self.pool_by_service[service].budget.restore(history, now)

    # Leaves.

    def _apply_leaf_change(self, key: str, item: StoredItem | None, since: float) -> None:
        entry = None if item is None else self._decode(item)
        if entry is None:
            reason = "removed" if item is None else "invalid"
            self._unlist_leaf(key.removeprefix(LEAVES_PREFIX), reason, since)
        else:
            self._update_leaf(entry, since)
        self._on_change()

    def _apply_leaf_listing(self, items: list[StoredItem], revision: int, since: float) -> None:
        entries = [entry for item in items if (entry := self._decode(item))]
        listed = {entry.leaf.id for entry in entries}
        for leaf_id in self._service_by_leaf.keys() - listed:
            self._unlist_leaf(leaf_id, "not in listing", since)
        for entry in entries:
            self._update_leaf(entry, since)
        self.leaves_listed = True
        _LOGGER.info("leaves listed", leaves=len(entries), revision=revision)
        self._on_change()

    def _decode(self, item: StoredItem) -> LeafEntry | None:
        match decode_leaf_entry(item, region_by_data_centre=self._region_by_data_centre):
            case Success(entry):
                assert isinstance(entry, LeafEntry)
                return entry
            case Failure(error):
                _LOGGER.warning("leaf entry ignored", key=item.key, error=str(error))
        return None

    def _update_leaf(self, entry: LeafEntry, since: float) -> None:
        """Applies an entry; if that fails, its leaf is not used and the others are unaffected."""
        try:
            self._apply_entry(entry, since)
        except Exception as error:
            _LOGGER.error(
                "leaf entry not applied", leaf=entry.leaf.id, error=repr(error), exc_info=True
            )
            self._unlist_leaf(entry.leaf.id, "not applied", since)

    def _apply_entry(self, entry: LeafEntry, since: float) -> None:
        leaf_id = entry.leaf.id
        old_service = self._service_by_leaf.get(leaf_id)
        if old_service is not None and old_service != entry.service:
            self.pool(old_service).unlist_leaf(leaf_id, since=since)
        self._service_by_leaf[leaf_id] = entry.service
        self._set_data_centre(leaf_id, entry.leaf.data_centre)
        pool = self.pool(entry.service)
        old_handle = pool.handle_by_id.get(leaf_id)
        was_in_use = old_handle is not None and old_handle.usable_until == math.inf
        pool.update_leaf(entry, since=since)
        handle = pool.handle_by_id[leaf_id]
        if handle.usable_until == math.inf and not (was_in_use and handle is old_handle):
            self._on_leaf_started(entry)
        if self.leaves_listed:
            _LOGGER.info("leaf listed", leaf=leaf_id, service=entry.service, leaving=entry.leaving)

    def _on_leaf_started(self, entry: LeafEntry) -> None:
        """Paces the return of load if many leaves of a data centre come into use together."""
        # The first listing shows leaves that have been in use.
        if self._load_return is None or not self.leaves_listed:
            return
        data_centre = entry.leaf.data_centre
        count = self._load_return.on_started(
            entry.leaf.id,
            data_centre,
            self._clock.now(),
            leaves=self._leaf_count_by_data_centre[data_centre],
        )
        if count:
            _LOGGER.info(
                "load returns", data_centre=data_centre, leaves=count, seconds=RETURN_SECONDS
            )

    def _unlist_leaf(self, leaf_id: str, reason: str, since: float) -> None:
        service = self._service_by_leaf.pop(leaf_id, None)
        self._set_data_centre(leaf_id, None)
        if service is not None:
            self.pool(service).unlist_leaf(leaf_id, since=since)
            _LOGGER.info("leaf unlisted", leaf=leaf_id, service=service, reason=reason)

    def _set_data_centre(self, leaf_id: str, data_centre: str | None) -> None:
        """Records the data centre of a listed leaf; None if it is no longer listed."""
        old = self._data_centre_by_leaf.pop(leaf_id, None)
        if old is not None:
            self._leaf_count_by_data_centre[old] -= 1
            if not self._leaf_count_by_data_centre[old]:
                del self._leaf_count_by_data_centre[old]
        if data_centre is not None:
            self._data_centre_by_leaf[leaf_id] = data_centre
            self._leaf_count_by_data_centre[data_centre] += 1

    def count_leaves(self) -> int:
        """Returns the number of listed leaves, including those that are leaving."""
        return len(self._service_by_leaf)

    def count_limited_leaves(self) -> int:
        """Returns the number of leaves that name a request limit."""
        return sum(pool.count_limited() for pool in self.pool_by_service.values())

    def set_host_count(self, host_count: int) -> None:
        """Sets the number of hosts that share the connections and the request limit of each leaf.

        Args:
            host_count: Number of known hosts, this one included.
        """
        if host_count == self._host_count:
            return
        self._host_count = host_count
        for pool in self.pool_by_service.values():
            pool.set_host_count(host_count)

    def remove_expired(self, now: float) -> None:
        """Removes what has expired: evacuations, leaves, services without leaves and routes.

        Args:
            now: Current clock, in seconds.
        """
        self._evacuations.remove_expired(now)
        for service, pool in list(self.pool_by_service.items()):
            pool.remove_expired(now)
            if pool.is_empty and service not in self._configured_services:
                del self.pool_by_service[service]
