"""The gateway process: start, requests, stop."""

import contextlib
from collections.abc import Callable, Coroutine
from types import TracebackType
from typing import Any, Self

import anyio
import anyio.abc

from filbertreach.gateway._directory import Directory
from filbertreach.gateway._discovery import Follower
from filbertreach.gateway._metrics import (
    CALLERS_LEFT,
    FLEET_SIZE,
    LEAVES,
    MISSING_SHARDS,
    REQUEST_SECONDS,
    REQUESTS,
    REQUESTS_IN_PROGRESS,
)
from filbertreach.gateway._neighbours import Neighbours
from filbertreach.gateway._news import News
from filbertreach.gateway._query import Query, QueryResult
from filbertreach.gateway._retry_budget import RetryBudgetSettings
from filbertreach.gateway._service_pool import Location
from filbertreach.observability import Health, get_logger
from filbertreach.platform import (
    CallerAnswer,
    CallerRequest,
    DeploymentStore,
    HostSettings,
    refuse,
)
from filbertreach.timing import TimerService

_STORE_TIMEOUT_SECONDS = 0.7
"""Bound of a call to the store; its answers take milliseconds."""
_TIDY_SECONDS = 1.0
_LEAST_SHARING_SECONDS = 4.5
"""Bound of configuration and draining from which on one host of a data centre reads the store for
the others; a reader that has gone silent is made up for after 2.4 s and a call to the store."""
_DEFAULT_MAX_BODY_BYTES = 262144
_NOT_READY_RETRY_SECONDS = 0.5

_LOGGER = get_logger(__name__)


class GatewayProcess:
    """Owns what a host knows and the requests that it serves."""

    def __init__(self, *, settings: HostSettings, timers: TimerService, health: Health) -> None:
        """Prepares the process; enter it to follow the store.

        Args:
            settings: Checked settings.
            timers: Timer service, entered before.
            health: Readiness, kept up to date.
        """
        self.is_stopping = False
        """Whether a stop was asked for: answers then close their connections."""
        self._settings = settings
        self._timers = timers
        self._clock = timers.clock
        self._health = health
        self._stack = contextlib.AsyncExitStack()
        self._group: anyio.abc.TaskGroup | None = None
        self._store = DeploymentStore(
            address=settings.store_address, timeout_seconds=_STORE_TIMEOUT_SECONDS
        )
        self._budget = RetryBudgetSettings()
        self._budget.update(settings.bounds)
        self.directory = Directory(
            clock=self._clock,
            location=Location(settings.region, settings.data_centre),
            region_by_data_centre=settings.region_by_data_centre,
            budget=self._budget,
            drain_seconds=settings.bounds.leaf_drain_seconds,
            spawn=self._spawn,
            on_change=self._update_health,
        )
        self.news = News(clock=self._clock)
        """What this host knows of the store, for its neighbours."""
        self.neighbours: Neighbours | None = None
        """Other hosts, None if the settings have no address for them."""
        if settings.neighbour_address is not None:
            self.neighbours = Neighbours(
                host=settings.host,
                address=settings.neighbour_address,
                data_centre=settings.data_centre,
                seeds=settings.seed_addresses,
                clock=self._clock,
            )
        self._running = 0

    async def __aenter__(self) -> Self:
        """Follows the store; the process is ready when it knows routes and leaves."""
        await self._stack.__aenter__()
        await self._stack.enter_async_context(self._store)
        self._group = await self._stack.enter_async_context(anyio.create_task_group())
        follower = Follower(
            store=self._store,
            clock=self._clock,
            on_listing=self.directory.on_listing,
            on_change=self.directory.on_change,
            news=self.news,
            host=self._settings.host,
            neighbours=self.neighbours if self._shares_readers() else None,
        )
        if self.neighbours is not None:
            await self._stack.enter_async_context(self.neighbours)
            self._group.start_soon(self.neighbours.run)
        self._group.start_soon(follower.run)
        self._timers.subscribe(name="tidy", interval_seconds=_TIDY_SECONDS, callback=self._tidy)
        REQUESTS_IN_PROGRESS.set_function(lambda: self._running)
        LEAVES.set_function(self.directory.count_leaves)
        self._update_health()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        """Ends all connections."""
        assert self._group is not None
        self._group.cancel_scope.cancel()
        return await self._stack.__aexit__(kind, error, trace)

    @property
    def max_body_bytes(self) -> int:
        """Size of the largest body that callers may send."""
        table = self.directory.table
        return table.limits.max_body_bytes if table else _DEFAULT_MAX_BODY_BYTES

    @property
    def running(self) -> int:
        """Requests in progress."""
        return self._running

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Serves a request; cancel it when the caller leaves.

        Args:
            request: The request.

        Returns:
            The answer.
        """
        table = self.directory.table
        if table is None or not self.directory.leaves_listed:
            return refuse(503, "no configuration yet", retry_after_seconds=_NOT_READY_RETRY_SECONDS)
        route = table.find(request.host, request.path)
        if route is None:
            _LOGGER.info(
                "refused",
                request=request.id,
                status=404,
                host=request.host,
                path=request.path,
                version=table.version,
            )
            return refuse(404, "no route")
        state = self.directory.state(route)
        arrived_at = self._clock.now()
        query = Query(
            request=request,
            route=route,
            pools=self.directory.pools_for(route),
            attempt_latencies=state.attempt_latencies,
            late_shard_latencies=state.late_shard_latencies,
            clock=self._clock,
            arrived_at=arrived_at,
        )
        self._running += 1
        try:
            result = await query.run()
        except BaseException:
            query.stop(cancel=True)
            CALLERS_LEFT.inc()
            _LOGGER.info(
                "caller left",
                request=request.id,
                route=route.name,
                version=table.version,
                ms=round((self._clock.now() - arrived_at) * 1000, 1),
                sent=sum(call.was_sent for call in query.calls),
            )
            raise
        finally:
            self._running -= 1
        seconds = self._clock.now() - arrived_at
        self._count(query, result, seconds)
        self._log(query, result, table.version, seconds)
        return result.answer

    def _count(self, query: Query, result: QueryResult, seconds: float) -> None:
        kind = "scatter" if query.route.shards else "single"
        REQUESTS.labels(kind, result.outcome, str(result.answer.status)).inc()
        REQUEST_SECONDS.labels(kind).observe(seconds)
        if result.answer.status == 200 and query.route.shards:
            MISSING_SHARDS.inc(len(result.calls) - result.included)

    def _log(self, query: Query, result: QueryResult, version: int, seconds: float) -> None:
        _LOGGER.info(
            "request",
            kind="request ok" if result.outcome == "answered" else "request failed",
            request=query.request.id,
            route=query.route.name,
            version=version,
            outcome=result.outcome,
            status=result.answer.status,
            ms=round(seconds * 1000, 1),
            included=result.included,
            shards=len(result.calls),
            exceptions=[
                {
                    "service": call.pool.service,
                    "leaves": call.leaves,
                    "faults": call.faults,
                    "end": call.end.value,
                    "pending": call.pending_leaf,
                }
                for call in result.calls
                if call.faults or call.extras or call.answer is None
            ],
        )

    def reload(self, settings: HostSettings) -> None:
        """Takes over the settings that can change while the process runs.

        Args:
            settings: Settings as read again.
        """
        old = self._settings
        self._budget.update(settings.bounds)
        self._settings = old._replace(bounds=settings.bounds)
        kept = [
            field
            for field in ("serve_address", "ready_address", "store_address", "data_centre")
            if getattr(settings, field) != getattr(old, field)
        ]
        _LOGGER.info("settings reloaded", changed=settings != old, needs_restart=kept)

    def begin_shutdown(self) -> None:
        """Tells the balancer that no new connections are wanted."""
        self.is_stopping = True
        self._health.set("process", "the process is stopping")

    def _shares_readers(self) -> bool:
        """Returns whether there is time to notice that a neighbour knows nothing new."""
        bounds = self._settings.bounds
        shortest = min(bounds.leaf_drain_seconds, bounds.routes_seconds)
        return shortest >= _LEAST_SHARING_SECONDS

    def _spawn(self, run: Callable[[], Coroutine[Any, Any, None]], name: str) -> None:
        assert self._group is not None
        self._group.start_soon(run, name=name)

    def _update_health(self) -> None:
        self._health.set("routes", "" if self.directory.table else "no configuration yet")
        self._health.set("leaves", "" if self.directory.leaves_listed else "leaves not listed yet")

    async def _tidy(self, pause: float) -> None:
        if pause:
            _LOGGER.warning("process was paused", seconds=round(pause, 3))
        self.directory.forget_gone(self._clock.now())
        if self.neighbours is not None:
            hosts = self.neighbours.fleet_size()
            FLEET_SIZE.set(hosts)
            self._budget.divide(hosts)
            self.directory.set_hosts(hosts)
