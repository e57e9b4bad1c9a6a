"""What the gateway knows of routes and leaves."""

import random
from collections.abc import Callable

from returns.result import Failure, Success

from filbertreach.decisions import LateShardLatencies
from filbertreach.document import Route, RouteTable
from filbertreach.gateway._metrics import ROUTES_VERSION
from filbertreach.gateway._retry_budget import RetryBudgetSettings
from filbertreach.gateway._route_latencies import RouteLatencies
from filbertreach.gateway._service_pool import Location, ServicePool, Spawn
from filbertreach.observability import get_logger
from filbertreach.platform import (
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
    """What is learned of the requests of one route, over all versions of the configuration."""

    def __init__(self) -> None:
        """Starts without samples."""
        self.attempt_latencies = RouteLatencies()
        self.late_shard_latencies = LateShardLatencies()


class Directory:
    """Routes in force and the pools of the services."""

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
    ) -> None:
        """Creates an empty directory.

        Args:
            clock: Source of time.
            location: Where this host is.
            region_by_data_centre: Data centres of the deployment.
            budget: Limits of extra calls, shared by all services.
            drain_seconds: Time after which a leaving leaf must get nothing new.
            spawn: Runs a coroutine function as a task.
            on_change: Called when routes or leaves have changed.
        """
        self.table: RouteTable | None = None
        """Routes in force; a version never goes back."""
        self.leaves_listed = False
        """Whether the list of leaves was read since the start."""
        self.pool_by_service: dict[str, ServicePool] = {}
        self._clock = clock
        self._here = location
        self._region_by_data_centre = region_by_data_centre
        self._budget = budget
        self._drain_seconds = drain_seconds
        self._spawn = spawn
        self._on_change = on_change
        self._hosts = 1
        self._service_by_leaf: dict[str, str] = {}
        self._state_by_route: dict[str, RouteStatistics] = {}

    # What the store says.

    def on_listing(self, listing: StoredListing, since: float) -> None:
        """Takes all keys of the store; leaves that are not in it are no longer listed.

        Args:
            listing: The listing.
            since: Clock at which the last listing or change was complete, in seconds.
        """
        routes = listing.item_by_key.get(ROUTES_KEY)
        if routes is not None:
            self._take_routes(routes)
        leaves = [i for key, i in listing.item_by_key.items() if key.startswith(LEAVES_PREFIX)]
        self._take_leaves(leaves, listing.revision, since)

    def on_change(self, key: str, item: StoredItem | None, since: float) -> None:
        """Takes a change of a key; keys of no concern to a gateway are ignored.

        Args:
            key: The key.
            item: The item as written, None if it was removed.
            since: Clock after which the change was made, in seconds.
        """
        if key == ROUTES_KEY:
            self._take_routes(item)
        elif key.startswith(LEAVES_PREFIX):
            self._take_leaf(key, item, since)

    # Routes.

    def _take_routes(self, item: StoredItem | None) -> None:
        if item is None:
            _LOGGER.warning("configuration removed; the last one stays in force")
            return
        match decode_routes(item.value):
            case Failure(error):
                _LOGGER.error("configuration ignored", revision=item.revision, error=str(error))
            case Success(table):
                self._install(table)

    def _install(self, table: RouteTable) -> None:
        old = self.table.version if self.table else None
        if old is not None and table.version <= old:
            if table.version < old:
                _LOGGER.warning("older configuration ignored", version=table.version, have=old)
            return
        self.table = table
        names = {r.name for routes in table.routes_by_host.values() for r in routes}
        for name in self._state_by_route.keys() - names:
            del self._state_by_route[name]
        for service, limits in table.limits_by_service.items():
            self.pool(service).set_connections(limits.connections)
        ROUTES_VERSION.set(table.version)
        _LOGGER.info("configuration in force", version=table.version, was=old, routes=len(names))
        self._on_change()

    def state(self, route: Route) -> RouteStatistics:
        """Returns what was learned of a route.

        Args:
            route: The route.
        """
        return self._state_by_route.setdefault(route.name, RouteStatistics())

    def pools_for(self, route: Route) -> list[ServicePool]:
        """Returns the pools that a request of a route goes to.

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
        """Returns the pool of a service, which may have no leaves.

        Args:
            service: Service name.
        """
        pool = self.pool_by_service.get(service)
        if pool is None:
            pool = ServicePool(
                service=service,
                location=self._here,
                budget=self._budget,
                drain_seconds=self._drain_seconds,
                clock=self._clock,
                spawn=self._spawn,
            )
            pool.set_hosts(self._hosts)
            self.pool_by_service[service] = pool
        return pool

    # Leaves.

    def _take_leaf(self, key: str, item: StoredItem | None, since: float) -> None:
        entry = None if item is None else self._decode(item)
        if entry is None:
            reason = "removed" if item is None else "invalid"
            self._unlist(key.removeprefix(LEAVES_PREFIX), reason, since)
        else:
            self._list(entry, since)
        self._on_change()

    def _take_leaves(self, items: list[StoredItem], revision: int, since: float) -> None:
        entries = [entry for item in items if (entry := self._decode(item))]
        listed = {entry.leaf.id for entry in entries}
        for leaf_id in self._service_by_leaf.keys() - listed:
            self._unlist(leaf_id, "not in listing", since)
        for entry in entries:
            self._list(entry, since)
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

    def _list(self, entry: LeafEntry, since: float) -> None:
        leaf_id = entry.leaf.id
        old = self._service_by_leaf.get(leaf_id)
        if old is not None and old != entry.service:
            self.pool(old).unlist_leaf(leaf_id, since=since)
        self._service_by_leaf[leaf_id] = entry.service
        self.pool(entry.service).update_leaf(entry, since=since)
        if self.leaves_listed:
            _LOGGER.info("leaf listed", leaf=leaf_id, service=entry.service, leaving=entry.leaving)

    def _unlist(self, leaf_id: str, reason: str, since: float) -> None:
        service = self._service_by_leaf.pop(leaf_id, None)
        if service is not None:
            self.pool(service).unlist_leaf(leaf_id, since=since)
            _LOGGER.info("leaf unlisted", leaf=leaf_id, service=service, reason=reason)

    def count_leaves(self) -> int:
        """Returns how many leaves are listed and not leaving."""
        return len(self._service_by_leaf)

    def set_hosts(self, hosts: int) -> None:
        """Takes over how many hosts share the connections of leaves.

        Args:
            hosts: Hosts, as far as this host knows.
        """
        if hosts == self._hosts:
            return
        self._hosts = hosts
        for pool in self.pool_by_service.values():
            pool.set_hosts(hosts)

    def forget_gone(self, now: float) -> None:
        """Drops leaves that can no longer be chosen.

        Args:
            now: Clock now, in seconds.
        """
        for pool in self.pool_by_service.values():
            pool.forget_gone(now)
