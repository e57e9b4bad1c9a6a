"""The gateway process: startup, request handling and shutdown."""

import contextlib
import math
from collections.abc import Callable, Coroutine
from types import TracebackType
from typing import Any, NamedTuple, Self

import anyio
import anyio.abc

from filbertreach.decisions import LoadReturn, RequestArrival
from filbertreach.document import ClientAccount, Route, RouteTable
from filbertreach.gateway._change_log import ChangeLog
from filbertreach.gateway._cold_bound import ColdBound
from filbertreach.gateway._directory import Directory
from filbertreach.gateway._discovery import WATCH_SECONDS, StoreFollower, may_share_reader
from filbertreach.gateway._key_revocation import KeyRevocation, refuse_stale_keys
from filbertreach.gateway._leaf_handle import Location
from filbertreach.gateway._leaf_pressure import LeafPressure
from filbertreach.gateway._metrics import (
    CALLERS_LEFT,
    FLEET_SIZE,
    LEAVES,
    LIMITED_LEAVES,
    REQUESTS_IN_PROGRESS,
)
from filbertreach.gateway._neighbours import Neighbours
from filbertreach.gateway._policy import GatewayPolicy
from filbertreach.gateway._quarantine_gate import QuarantineGate
from filbertreach.gateway._query import Query, QueryResult
from filbertreach.gateway._quota_refusal import refuse_quota
from filbertreach.gateway._request_log import log_request, record_request
from filbertreach.gateway._retry_budget import RetryBudgetSettings
from filbertreach.gateway._retry_handover import RetryHandover
from filbertreach.gateway._return_path import ReturnPath
from filbertreach.leaf_observations import HostObservations, SharedObservations
from filbertreach.observability import Health, get_logger
from filbertreach.platform import (
    CallerAnswer,
    CallerRequest,
    DeploymentStore,
    HostSettings,
    attach_account,
    refuse,
)
from filbertreach.quarantine import FleetQuarantine, RequestGuard
from filbertreach.quotas import FleetQuotas, QuotaBounds, QuotaDecision
from filbertreach.timing import TimerService

_STORE_TIMEOUT_SECONDS = 0.7
"""Timeout of a call to the store, which normally answers within milliseconds."""
_MAINTENANCE_SECONDS = 1.0
"""Interval at which expired leaves are removed and the number of hosts is updated."""
_DEFAULT_MAX_BODY_BYTES = 262144
_NOT_READY_RETRY_SECONDS = 0.5
_OUTCOMES_NOT_RUN = frozenset({"not_run", "limited", "overloaded"})
"""Outcomes of queries that no leaf has run."""

_LOGGER = get_logger(__name__)


class _Access(NamedTuple):
    """What a request may use after its client account was identified."""

    request: CallerRequest
    """The request, with the name of the account."""
    route: Route
    """The route as it applies to the account."""
    account: ClientAccount | None = None
    """The client account; None if the request has none."""
    decision: QuotaDecision | None = None
    """The decision that granted the request; None if the account has no quota."""


class HandledRequest(NamedTuple):
    """A request that was served or refused."""

    answer: CallerAnswer
    """Answer to the caller."""
    decided_at: float = math.inf
    """Clock when its query stopped waiting for leaves, in seconds; infinite without a query."""


class GatewayProcess:
    """Holds the routing state of one host and serves the requests of its callers."""

    def __init__(
        self,
        *,
        settings: HostSettings,
        timers: TimerService,
        health: Health,
        policy: GatewayPolicy | None = None,
    ) -> None:
        """Creates the process; entering it starts to follow the store.

        Args:
            settings: Validated settings.
            timers: Timer service, already entered.
            health: Readiness, updated by the process.
            policy: Decisions that operators have switched on; None for none.
        """
        self.is_stopping = False
        """Whether shutdown has begun; answers then close their connections."""
        self._settings = settings
        self._policy = policy or GatewayPolicy()
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
        observations = HostObservations(clock=self._clock)
        self.directory = Directory(
            clock=self._clock,
            location=Location(settings.region, settings.data_centre),
            region_by_data_centre=settings.region_by_data_centre,
            budget=self._budget,
            drain_seconds=settings.bounds.leaf_drain_seconds,
            spawn=self._spawn,
            on_change=self._update_health,
            admission=self._policy.admission,
            spill_over=self._policy.spill_over,
            cold_bound=ColdBound(settings.bounds.cold_overrun, settings.bounds.cold_slack),
            load_return=LoadReturn() if self._policy.load_return else None,
            observations=observations if self._policy.leaf_observations else None,
            on_idle_closed=lambda handle: self._gate.on_idle_closed(handle),
        )
        self.change_log = ChangeLog(clock=self._clock)
        """Changes of the store that this host has applied, for its neighbours."""
        self._revocation = KeyRevocation(bounds=settings.bounds)
        self.neighbours: Neighbours | None = None
        """Gateways on other hosts, None if the settings have no neighbour address."""
        if settings.neighbour_address is not None:
            self.neighbours = Neighbours(
                host=settings.host,
                address=settings.neighbour_address,
                data_centre=settings.data_centre,
                seeds=settings.seed_addresses,
                clock=self._clock,
            )
        self.handover: RetryHandover | None = None
        """Keeps the retry histories of hosts that stop; None if they are not handed over."""
        if self._policy.retry_handover and self.neighbours is not None:
            self.handover = RetryHandover(
                host=settings.host, hosts=self.neighbours, budgets=self.directory, clock=self._clock
            )
        self.observations: SharedObservations | None = None
        """Shares observations of leaves; None if this host shares none."""
        if self._policy.leaf_observations and self.neighbours is not None:
            self.observations = SharedObservations(
                host=settings.host,
                local=observations,
                hosts=self.neighbours,
                timers=timers,
            )
        self._gate = QuarantineGate(
            enabled=self._policy.quarantine,
            settings=settings,
            neighbours=self.neighbours,
            clock=self._clock,
        )
        self.quotas = FleetQuotas(
            host=settings.host,
            data_centre=settings.data_centre,
            address=settings.neighbour_address,
            seeds=settings.seed_addresses,
            hosts=self.neighbours,
            bounds=_quota_bounds(settings),
            clock=self._clock,
            pressure=LeafPressure(pool_by_service=self.directory.pool_by_service, clock=self._clock)
            if self._policy.account_shares
            else None,
        )
        """Grants requests of client accounts with a quota."""
        self._in_progress = 0
        self._return_path = ReturnPath(
            enabled=self._policy.caller_reserve,
            link_bytes_per_second=settings.link_bytes_per_second,
            cores=settings.cores,
            timers=timers,
            in_progress=lambda: self._in_progress,
        )

    async def __aenter__(self) -> Self:
        """Starts to follow the store; the process is ready once it has routes and leaves."""
        await self._stack.__aenter__()
        await self._stack.enter_async_context(self._store)
        self._group = await self._stack.enter_async_context(anyio.create_task_group())
        await self._stack.enter_async_context(self.quotas)
        if self._gate.quarantine is not None:
            await self._stack.enter_async_context(self._gate.quarantine)
        follower = StoreFollower(
            store=self._store,
            clock=self._clock,
            on_listing=self.directory.on_listing,
            on_change=self.directory.on_change,
            change_log=self.change_log,
            host=self._settings.host,
            watch_seconds=self._revocation.watch_seconds(WATCH_SECONDS),
            neighbours=self.neighbours if may_share_reader(self._settings.bounds) else None,
        )
        if self.neighbours is not None:
            await self._stack.enter_async_context(self.neighbours)
            self._group.start_soon(self.neighbours.run)
        if self.handover is not None:
            await self._stack.enter_async_context(self.handover)
            self._group.start_soon(self.handover.run)
        if self.observations is not None:
            await self._stack.enter_async_context(self.observations)
        self._group.start_soon(follower.run)
        self._timers.subscribe(
            name="tidy", interval_seconds=_MAINTENANCE_SECONDS, callback=self._run_maintenance
        )
        REQUESTS_IN_PROGRESS.set_function(lambda: self._in_progress)
        LEAVES.set_function(self.directory.count_leaves)
        LIMITED_LEAVES.set_function(self.directory.count_limited_leaves)
        self._update_health()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        """Cancels all tasks and closes all connections."""
        assert self._group is not None
        self._group.cancel_scope.cancel()
        return await self._stack.__aexit__(kind, error, trace)

    @property
    def quarantine(self) -> FleetQuarantine | None:
        """Requests that crash leaves; None if their quarantine is not enabled."""
        return self._gate.quarantine

    @property
    def max_body_bytes(self) -> int:
        """Largest accepted request body, in bytes."""
        table = self.directory.table
        return table.limits.max_body_bytes if table else _DEFAULT_MAX_BODY_BYTES

    @property
    def in_progress(self) -> int:
        """Number of requests in progress."""
        return self._in_progress

    async def handle(
        self, request: CallerRequest, *, arrival: RequestArrival | None = None
    ) -> HandledRequest:
        """Serves a request; the ASGI application cancels this call when the caller disconnects.

        Args:
            request: The request.
            arrival: How the request reached this host; None if unknown.

        Returns:
            The answer to the caller, to be reported by `record_sent` once it was sent.
        """
        table = self.directory.table
        if table is None or not self.directory.leaves_listed:
            return HandledRequest(
                refuse(503, "no configuration yet", retry_after_seconds=_NOT_READY_RETRY_SECONDS)
            )
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
            return HandledRequest(refuse(404, "no route"))
        arrived_at = self._return_path.arrived_at(arrival)
        access = await self._check_access(request, route, table)
        if isinstance(access, CallerAnswer):
            return HandledRequest(access)
        guard = self._gate.admit(access.request, access.route, access.account, table.version)
        if isinstance(guard, CallerAnswer):
            if access.decision is not None:
                self.quotas.release(access.decision)
            return HandledRequest(guard)
        query = self._make_query(access, arrived_at, arrival, guard)
        result = await self._run_query(query, access.decision, arrived_at, table.version)
        seconds = self._clock.now() - arrived_at
        record_request(query, result, seconds)
        log_request(query, result, access.account, table.version, seconds)
        return HandledRequest(result.answer, query.decided_at)

    def record_sent(self, handled: HandledRequest) -> None:
        """Records that an answer was given to the network.

        Args:
            handled: Result of `handle`.
        """
        self._return_path.on_answer_sent(handled.decided_at)

    async def _check_access(
        self, request: CallerRequest, route: Route, table: RouteTable
    ) -> _Access | CallerAnswer:
        """Identifies the client account of a request and applies its quota.

        Returns:
            What the account may use, or the refusal of the request.
        """
        if table.accounts is None:
            return _Access(request, route)
        if request.api_key_digest and not self._revocation.may_accept(self.change_log.age_seconds):
            return refuse_stale_keys(request, route.name, table.version)
        account = table.accounts.find(request.api_key_digest)
        if account is None and not route.public:
            _LOGGER.info(
                "refused",
                request=request.id,
                status=401,
                reason="unknown key" if request.api_key_digest else "no usable key",
                route=route.name,
                version=table.version,
            )
            return refuse(401, "send the API key of a client account in X-Api-Key")
        request = attach_account(request, account.name if account else None)
        if account is None:
            return _Access(request, route)
        route = route.for_account(account)
        decision: QuotaDecision | None = None
        if account.quota is not None:
            decision = await self.quotas.acquire(account.name)
            if not decision.is_granted:
                return refuse_quota(decision, request, route, account, table.version)
        return _Access(request, route, account, decision)

    def _make_query(
        self,
        access: _Access,
        arrived_at: float,
        arrival: RequestArrival | None,
        guard: RequestGuard | None,
    ) -> Query:
        route = access.route
        statistics = self.directory.statistics(route)
        return Query(
            request=access.request,
            route=route,
            pools=self.directory.pools_for(route),
            attempt_latencies=statistics.attempt_latencies,
            late_shard_latencies=statistics.late_shard_latencies,
            clock=self._clock,
            arrived_at=arrived_at,
            reserve=self._return_path.reserve,
            window=statistics.window(route.priority) if self._policy.admission else None,
            arrival=arrival,
            guard=guard,
        )

    async def _run_query(
        self, query: Query, decision: QuotaDecision | None, arrived_at: float, version: int
    ) -> QueryResult:
        """Runs a query; returns the credit of its quota if no leaf has run it."""
        self._in_progress += 1
        self._return_path.on_query()
        try:
            result = await query.run()
        except BaseException:
            was_sent = any(call.may_have_been_sent for call in query.calls)
            query.stop(cancel=True)
            CALLERS_LEFT.inc()
            if decision is not None and not was_sent:
                self.quotas.release(decision)
            _LOGGER.info(
                "caller left",
                request=query.request.id,
                route=query.route.name,
                version=version,
                ms=round((self._clock.now() - arrived_at) * 1000, 1),
                sent=sum(call.may_have_been_sent for call in query.calls),
            )
            raise
        finally:
            self._in_progress -= 1
            self._gate.release(query.guard)
        if decision is not None and result.outcome in _OUTCOMES_NOT_RUN:
            self.quotas.release(decision)
        return result

    def reload(self, settings: HostSettings) -> None:
        """Applies the settings that can change without a restart, which are the bounds.

        Args:
            settings: Settings as read again from the file.
        """
        old = self._settings
        self._budget.update(settings.bounds)
        self._settings = old._replace(bounds=settings.bounds)
        needs_restart = [
            field
            for field in ("serve_address", "ready_address", "store_address", "data_centre")
            if getattr(settings, field) != getattr(old, field)
        ]
        _LOGGER.info("settings reloaded", changed=settings != old, needs_restart=needs_restart)

    def begin_shutdown(self) -> None:
        """Makes readiness checks fail, so that the load balancer sends no new connections."""
        self.is_stopping = True
        self._health.set("process", "the process is stopping")

    def _spawn(self, run: Callable[[], Coroutine[Any, Any, None]], name: str) -> None:
        assert self._group is not None
        self._group.start_soon(run, name=name)

    def _update_health(self) -> None:
        if self.directory.table is not None:
            self.quotas.configure(self.directory.table.accounts)
        self._health.set("routes", "" if self.directory.table else "no configuration yet")
        self._health.set("leaves", "" if self.directory.leaves_listed else "leaves not listed yet")

    async def _run_maintenance(self, pause: float) -> None:
        if pause:
            _LOGGER.warning("process was paused", seconds=round(pause, 3))
        self.directory.remove_expired(self._clock.now())
        self._gate.remove_expired()
        host_count = self.neighbours.fleet_size() if self.neighbours is not None else None
        if host_count is not None:
            FLEET_SIZE.set(host_count)
            self._budget.set_host_count(host_count)
            self.directory.set_host_count(host_count)


def _quota_bounds(settings: HostSettings) -> QuotaBounds:
    bounds = settings.bounds
    return QuotaBounds(
        window_seconds=bounds.quota_window_seconds,
        overrun=bounds.quota_overrun,
        slack=bounds.quota_slack,
        data_centres=max(1, len(settings.region_by_data_centre)),
    )
