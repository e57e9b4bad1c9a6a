"""The entry process: runs queries by scattering them to dispatch processes."""

import contextlib
from types import TracebackType
from typing import Self, cast

import anyio
import anyio.abc
from returns.result import Success

from filbertreach.decisions import LateShardLatencies, make_wait_policy
from filbertreach.document import Snapshot
from filbertreach.entry._admission import AdmissionRequest, Admit, Outcome, Refuse, make_admission
from filbertreach.entry._claims import ClaimTable
from filbertreach.entry._gather import Gather, GatherResult
from filbertreach.entry._merging import MergeError, make_merger
from filbertreach.entry._metrics import IN_PROGRESS, REFUSED
from filbertreach.entry._owner_calls import RESPONSE_MARGIN_SECONDS, OwnerCalls
from filbertreach.entry._platform_claims import ClaimTakenError, PlatformClaims
from filbertreach.entry._problems import ProblemError
from filbertreach.entry._request import Query, select_shards
from filbertreach.entry._snapshots import SnapshotChooser
from filbertreach.membership import ViewClient
from filbertreach.observability import Health, Span, Tracing, get_logger
from filbertreach.platform import KeyValueClient
from filbertreach.schema import Answer, Failure, Load, Settings
from filbertreach.timing import TimerService
from filbertreach.transport import Peer, ReceivedMessage, Transport

_HEALTH_UPDATE_INTERVAL_SECONDS = 0.25

_LOGGER = get_logger(__name__)


class QueryOutcome:
    """Facts about a query that its answer or problem document states."""

    def __init__(self, *, started_at: float) -> None:
        """Creates the outcome of a query that has just arrived.

        Args:
            started_at: Clock time when the request arrived, in seconds.
        """
        self.started_at = started_at
        self.request_id: str | None = None
        self.snapshot_version: int | None = None
        self.result: GatherResult | None = None


class EntryProcess:
    """Runs the queries of callers."""

    def __init__(
        self,
        *,
        settings: Settings,
        timers: TimerService,
        tracing: Tracing,
        health: Health,
        incarnation: int,
    ) -> None:
        """Creates the process; enter it to run queries.

        Args:
            settings: Validated settings.
            timers: Timer service; must be entered before the process.
            tracing: Span exporter.
            health: Readiness, updated by the process.
            incarnation: Number that differs for each start of the process.
        """
        process = settings["process"]
        self.settings = settings
        self.clock = timers.clock
        self.tracing = tracing
        self._timers = timers
        self._health = health
        self._incarnation = incarnation
        self.transport = Transport(
            name=process["name"],
            address=process["inbox"],
            incarnation=incarnation,
            events=self,
            clock=self.clock,
            listen_address=process.get("inbox_listen"),
        )
        self.view = ViewClient(
            process=process,
            view=settings["view"],
            role="entry",
            transport=self.transport,
            on_change=self._on_view,
        )
        platform = settings["platform"]
        self._platform_claims = PlatformClaims(
            client=KeyValueClient(
                base_url=platform["key_value_url"],
                timeout_seconds=platform["timeout_seconds"],
                clock=self.clock,
            ),
            clock=self.clock,
            process=process["name"],
        )
        self._admission = make_admission(
            policy=settings["entry"]["admission"],
            max_queries=settings["entry"]["max_queries"],
            clock=self.clock,
        )
        self._snapshots = SnapshotChooser()
        self._local_claims = ClaimTable()
        self._latency_by_rank: dict[tuple[str, str], LateShardLatencies] = {}
        self._calls = OwnerCalls(
            transport=self.transport, snapshots=self._snapshots, clock=self.clock
        )
        self._in_progress = 0
        self._task_group: anyio.abc.TaskGroup | None = None
        self._exit_stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Starts to listen for results and loads the first view."""
        await self._exit_stack.__aenter__()
        self._task_group = await self._exit_stack.enter_async_context(anyio.create_task_group())
        await self._exit_stack.enter_async_context(self._platform_claims)
        await self._exit_stack.enter_async_context(self.transport)
        await self._exit_stack.enter_async_context(self.view)
        self._timers.subscribe(
            name="health",
            interval_seconds=_HEALTH_UPDATE_INTERVAL_SECONDS,
            callback=self._update_health,
        )
        self._on_view()
        await self._update_health(0.0)
        self.view.set_state("live")
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        """Closes the transport."""
        assert self._task_group is not None
        self._task_group.cancel_scope.cancel()
        return await self._exit_stack.__aexit__(kind, error, trace)

    def begin_shutdown(self) -> None:
        """Announces to the fleet that this process is leaving."""
        self.view.set_state("leaving")

    async def drain(self, seconds: float) -> None:
        """Waits until no query is in progress.

        Args:
            seconds: Maximum wait.
        """
        with anyio.move_on_after(seconds):
            while self._in_progress:
                await anyio.sleep(0.02)
            return
        _LOGGER.warning("drain timed out", seconds=seconds, queries=self._in_progress)

    # Queries.

    async def run(self, query: Query, outcome: QueryOutcome, span: Span) -> GatherResult:
        """Runs one query.

        Args:
            query: Validated query.
            outcome: Updated as the query proceeds, also if it fails.
            span: Trace span of this process.

        Returns:
            The result.

        Raises:
            ProblemError: The query was refused before any part of it was sent.
        """
        environment = query.environment
        now = self.clock.now()
        if not self._local_claims.begin(environment.name, query.request_id, now):
            raise ProblemError("request-id-in-use", "this process has or had this request id")
        ran = False
        self._in_progress += 1
        IN_PROGRESS.inc()
        try:
            gather = self._prepare(query, outcome, span)
            admitted = self._admit(gather)
            result = await self._run_admitted(gather, admitted, outcome)
            ran = not result.not_run
            return result
        finally:
            IN_PROGRESS.dec()
            self._in_progress -= 1
            self._local_claims.end(environment.name, query.request_id, self.clock.now(), ran=ran)

    def _prepare(self, query: Query, outcome: QueryOutcome, span: Span) -> Gather:
        """Chooses the snapshot and creates the state of the query, without sending anything."""
        environment = query.environment

        def services_of(snapshot: Snapshot) -> set[str]:
            service_by_shard = environment.maps_by_name[snapshot.map_name]
            return {service_by_shard[s] for s in select_shards(query, service_by_shard)}

        snapshot = self._snapshots.choose(
            environment=environment, services_of=services_of, now=self.clock.now()
        )
        if snapshot is None:
            raise ProblemError("refused-not-run", "no snapshot of the environment is serving")
        outcome.snapshot_version = snapshot.version
        span.set("version", snapshot.version)
        shards = select_shards(query, environment.maps_by_name[snapshot.map_name])
        policy = environment.policy
        max_rows = self.settings["entry"]["max_rows"]
        merge = query.merge
        try:
            merger = make_merger(
                kind=merge["kind"],
                order_by=merge.get("order_by"),
                descending=merge.get("descending", True),
                limit=merge.get("limit", max_rows),
                max_rows=max_rows,
            )
        except MergeError as error:
            raise ProblemError("bad-request", str(error)) from error
        deadline_at = outcome.started_at + query.deadline_seconds
        latency = self._latency_by_rank.setdefault(
            (environment.name, query.rank.name), LateShardLatencies()
        )
        wait = make_wait_policy(
            kind=policy.wait,
            shards_total=len(shards),
            started=outcome.started_at,
            target_seconds=query.rank.target_ms / 1000.0,
            deadline=deadline_at - RESPONSE_MARGIN_SECONDS,
            least_coverage=policy.least_coverage,
            latency=latency,
        )
        return Gather(
            query=query,
            snapshot=snapshot,
            shards=shards,
            merger=merger,
            wait=wait,
            deadline_at=deadline_at,
            span=span,
        )

    def _admit(self, gather: Gather) -> Admit:
        query = gather.query
        environment = query.environment
        service_by_shard = environment.maps_by_name[gather.snapshot.map_name]
        services = tuple(dict.fromkeys(service_by_shard[shard] for shard in gather.shards))
        client = environment.clients_by_name.get(query.client)
        now = self.clock.now()
        decision = self._admission.decide(
            AdmissionRequest(
                environment=environment.name,
                rank=query.rank.name,
                priority=query.rank.priority,
                client=query.client,
                client_share=client.share if client and client.share > 0 else 1.0,
                services=services,
                remaining_seconds=gather.deadline_at - now,
                target_seconds=query.rank.target_ms / 1000.0,
                kept_share=query.rank.kept_share,
            ),
            now,
        )
        if isinstance(decision, Refuse):
            REFUSED.labels(environment.name, query.rank.name, decision.reason).inc()
            raise ProblemError(
                "refused-not-run",
                f"refused before anything was run: {decision.reason}",
                retry_after_seconds=decision.retry_after_seconds,
            )
        return decision

    async def _run_admitted(
        self, gather: Gather, admitted: Admit, outcome: QueryOutcome
    ) -> GatherResult:
        started_at = self.clock.now()
        ended: Outcome = "failed"
        claim_key: str | None = None
        try:
            claim_key = await self._claim_before_deadline(gather)
            self._calls.scatter(gather)
            await gather.wait(self.clock.now)
            outcome.result = result = gather.finish()
            ended = _admission_outcome(gather, result)
            if claim_key is not None and result.not_run:
                await self._platform_claims.release(claim_key)
            return result
        finally:
            self._calls.abandon(gather)
            now = self.clock.now()
            queue_seconds = None if gather.queue_ms is None else gather.queue_ms / 1000.0
            self._admission.on_finished(
                admitted, now - started_at, ended, now, queue_seconds=queue_seconds
            )

    async def _claim_before_deadline(self, gather: Gather) -> str | None:
        """Claims the request id, waiting at most until the deadline of the request."""
        with anyio.move_on_after(max(0.0, gather.deadline_at - self.clock.now())):
            return await self._claim(gather.query)
        # Nothing was sent. The claim may still take effect later, and then refuse the same id.
        raise ProblemError(
            "refused-not-run",
            "the platform did not confirm in time that the request id is new; repeat the request "
            "with a new request id",
            retry_after_seconds=1.0,
        )

    async def _claim(self, query: Query) -> str | None:
        """Claims the request id of a request that must run at most once."""
        if query.idempotent or query.application.repeat_protection == "none":
            return None
        claimed = await self._platform_claims.claim(
            environment=query.environment.name, request_id=query.request_id
        )
        if isinstance(claimed, Success):
            return str(claimed.unwrap())
        error = claimed.failure()
        if isinstance(error, ClaimTakenError):
            raise ProblemError(
                "request-id-in-use",
                "the request id was claimed before, here or through another entry process; the "
                "first request may have run",
            )
        raise ProblemError(
            "refused-not-run",
            f"the platform did not confirm that the request id is new: {error}",
            retry_after_seconds=1.0,
        )

    # Events of the transport.

    def on_message(self, received: ReceivedMessage) -> None:
        """Handles one message; see `PeerEventHandler`."""
        message = received.message
        match message.get("kind"):
            case "answer":
                self._calls.on_answer(received.address, cast(Answer, message))
            case "failure":
                self._calls.on_failure(received.address, cast(Failure, message))
            case "load":
                self._on_load(cast(Load, message))
            case "view":
                self.view.on_view(received)
            case "heartbeat" | "hello":
                pass
            case other:
                _LOGGER.warning("message dropped", kind=other, sender=received.sender)

    def on_peer_lost(self, peer: Peer) -> None:
        """Resends the calls of a lost dispatch process to another one; see `PeerEventHandler`."""
        self._calls.on_owner_lost(peer.address)

    def _on_load(self, load: Load) -> None:
        now = self.clock.now()
        for service in load["services"]:
            self._admission.on_load(service, now)
            self._snapshots.on_load(service, now)

    # View and health.

    def _on_view(self) -> None:
        self._calls.on_members(self.view.members)
        addresses = {m["address"] for m in self.view.members if m["role"] == "dispatch"}
        agent = self.settings["view"].get("agent", "")
        self.transport.keep_connected(addresses | ({agent} if agent else set()))

    async def _update_health(self, _pause: float) -> None:
        names = self.view.environment_by_name
        usable = any(self.view.usable(name) for name in names)
        self._health.set("view", "" if usable else "no usable environment document")
        reachable = any(
            self.transport.is_reachable(member["address"])
            for member in self.view.members
            if member["role"] == "dispatch"
        )
        self._health.set("dispatch", "" if reachable else "no dispatch process is reachable")


def _admission_outcome(gather: Gather, result: GatherResult) -> Outcome:
    if gather.cancelled:
        return "cancelled"
    if result.included:
        return "answered"
    if result.overloaded:
        return "overloaded"
    return (
        "late" if any(s["reason"] == "deadline" for s in result.coverage["lacking"]) else "failed"
    )
