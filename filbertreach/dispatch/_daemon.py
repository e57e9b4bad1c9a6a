"""The dispatch process: receives calls from entry processes and routes them to service owners."""

import contextlib
import datetime
from collections import OrderedDict
from types import TracebackType
from typing import Any, Self, cast

import anyio
import anyio.abc
import msgspec

from filbertreach.decisions import HedgeBudget
from filbertreach.dispatch._leaf_set import LeavingLeaves
from filbertreach.dispatch._pending import PendingCall
from filbertreach.dispatch._planned_changes import PlannedChanges, drained_leaf_ids
from filbertreach.dispatch._service import ServiceOwner, ServiceSettings
from filbertreach.document import Environment, Service
from filbertreach.membership import OwnerTable, ViewClient
from filbertreach.observability import Health, Tracing, get_logger
from filbertreach.schema import Answer, Call, Failure, Load, Settings
from filbertreach.timing import TimerService
from filbertreach.transport import Peer, ReceivedMessage, Transport

_LOAD_INTERVAL_SECONDS = 0.2
"""Interval of load messages to entry processes."""
_HOUSEKEEPING_INTERVAL_SECONDS = 1.0
_ANNOUNCE_INTERVAL_SECONDS = 0.2
"""Interval at which leaving leaves are announced to other hosts; a process that takes over a
service must know them within 3 s of the leaf's report."""
_MAX_REMEMBERED_CALLS = 200_000
"""Call keys remembered for the detection of duplicates; 20 s of calls at 10,000 calls/s."""
_RECENT_USE_SECONDS = 10.0
"""Load messages go to the entry processes that sent a call within this time, and list the services
that were used within it."""

_LOGGER = get_logger(__name__)
_ServiceKey = tuple[str, str]


class Dispatcher:
    """Opens an owner for each service that this process owns or gets calls for."""

    def __init__(
        self,
        *,
        settings: Settings,
        timers: TimerService,
        tracing: Tracing,
        health: Health,
        incarnation: int,
    ) -> None:
        """Prepares the process; enter it to accept calls.

        Args:
            settings: Checked settings.
            timers: Timer service, already entered.
            tracing: Span exporter.
            health: Readiness, updated by this process.
            incarnation: Incarnation of this process, new for each start.
        """
        process = settings["process"]
        self._settings = settings
        self._timers = timers
        self._clock = timers.clock
        self._tracing = tracing
        self._health = health
        self.transport = Transport(
            name=process["name"],
            address=process["inbox"],
            incarnation=incarnation,
            events=self,
            clock=self._clock,
            listen_address=process.get("inbox_listen"),
        )
        self.view = ViewClient(
            process=process,
            view=settings["view"],
            role="dispatch",
            transport=self.transport,
            on_change=self._on_view,
        )
        self._planned_changes = PlannedChanges()
        self._owner_by_service: dict[_ServiceKey, ServiceOwner] = {}
        self._budget_by_environment: dict[str, tuple[float, HedgeBudget]] = {}
        self._owner_table = OwnerTable()
        self._seen_call_keys: OrderedDict[str, None] = OrderedDict()
        self._last_call_by_entry: dict[str, float] = {}
        self._group: anyio.abc.TaskGroup | None = None
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Starts the transport, the view and the periodic tasks."""
        self._health.set("view", "no environment document yet")
        await self._stack.__aenter__()
        self._group = await self._stack.enter_async_context(anyio.create_task_group())
        await self._stack.enter_async_context(self.transport)
        await self._stack.enter_async_context(self.view)
        self._timers.subscribe(
            name="load", interval_seconds=_LOAD_INTERVAL_SECONDS, callback=self._send_load
        )
        self._timers.subscribe(
            name="housekeeping",
            interval_seconds=_HOUSEKEEPING_INTERVAL_SECONDS,
            callback=self._run_housekeeping,
        )
        self._timers.subscribe(
            name="leaving",
            interval_seconds=_ANNOUNCE_INTERVAL_SECONDS,
            callback=self._announce_leaving,
        )
        self._on_view()
        self.view.set_state("live")
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        """Closes all services and the transport."""
        assert self._group is not None
        self._group.cancel_scope.cancel()
        return await self._stack.__aexit__(kind, error, trace)

    def begin_shutdown(self) -> None:
        """Announces that this process is leaving; calls that still arrive are served."""
        self.view.set_state("leaving")

    async def drain(self, seconds: float) -> None:
        """Waits until all calls have ended and their results were delivered.

        Args:
            seconds: Maximum wait.
        """
        with anyio.move_on_after(seconds):
            while not all(owner.is_idle for owner in self._owner_by_service.values()):
                await anyio.sleep(0.02)
            await self.transport.flush(seconds=seconds)
            return
        _LOGGER.warning("drain timed out", seconds=seconds)

    # Transport events.

    def on_message(self, received: ReceivedMessage) -> None:
        """Handles one message; see `PeerEventHandler`."""
        match received.message.get("kind"):
            case "call":
                self._on_call(received)
            case "cancel":
                self._on_cancel(received)
            case "view":
                self.view.on_view(received)
            case "heartbeat" | "hello":
                pass
            case other:
                _LOGGER.warning(
                    "message of unknown kind dropped", kind=other, sender=received.sender
                )

    def on_peer_lost(self, peer: Peer) -> None:
        """Cancels the calls of a lost entry process; see `PeerEventHandler`."""
        self._last_call_by_entry.pop(peer.address, None)
        for owner in self._owner_by_service.values():
            owner.cancel_all_of(peer.address)

    def _on_call(self, received: ReceivedMessage) -> None:
        try:
            call = msgspec.convert(received.message, Call)
        except msgspec.ValidationError as error:
            _LOGGER.error("invalid call dropped", sender=received.sender, error=str(error))
            return
        now = self._clock.now()
        sent_at = now - received.delay_seconds
        pending = PendingCall(
            call=call,
            reply_to=received.address,
            incarnation=received.incarnation,
            received_at=sent_at,
            deadline_at=sent_at + call["remaining_ms"] / 1000.0,
            span=self._tracing.start(
                "dispatch",
                trace_parent=call["trace_parent"] or "-00",
                shard=call["shard"],
                service=call["service"],
            ),
        )
        self._last_call_by_entry[received.address] = now
        if not self._record_if_new(pending.key):
            self._refuse(pending, "duplicate", started="unknown")
            return
        owner = self._owner_for(call)
        if owner is None:
            self._refuse(pending, "owner_lost", started="no")
        elif now >= pending.deadline_at:
            self._refuse(pending, "deadline", started="no")
        else:
            owner.accept(pending)

    def _on_cancel(self, received: ReceivedMessage) -> None:
        key = f"{received.address}/{received.incarnation}/{received.message.get('call_id')}"
        for owner in self._owner_by_service.values():
            owner.cancel(key)

    def _record_if_new(self, key: str) -> bool:
        if key in self._seen_call_keys:
            return False
        self._seen_call_keys[key] = None
        if len(self._seen_call_keys) > _MAX_REMEMBERED_CALLS:
            self._seen_call_keys.popitem(last=False)
        return True

    def _refuse(self, pending: PendingCall, reason: Any, *, started: Any) -> None:
        call = pending.call
        pending.span.end()
        self._reply(
            pending,
            Failure(
                kind="failure",
                call_id=call["call_id"],
                query_id=call["query_id"],
                shard=call["shard"],
                reason=reason,
                started=started,
                retry_after_ms=0,
                attempts=0,
            ),
        )

    def _reply(self, pending: PendingCall, result: Answer | Failure) -> None:
        self.transport.send(address=pending.reply_to, message=result)

    # Services.

    def _owner_for(self, call: Call) -> ServiceOwner | None:
        environment = self.view.environment_by_name.get(call["environment"])
        service = environment and environment.services_by_name.get(call["service"])
        if environment is None or service is None:
            return None
        return self._open_owner(environment, service)

    def _open_owner(self, environment: Environment, service: Service) -> ServiceOwner:
        key = (environment.name, service.name)
        owner = self._owner_by_service.get(key)
        if owner is None:
            assert self._group is not None
            owner = ServiceOwner(
                settings=ServiceSettings(
                    environment,
                    service,
                    self._settings["dispatch"],
                    self._shared_hedge_budget(environment),
                ),
                timers=self._timers,
                tracing=self._tracing,
                reply=self._reply,
                is_owner=lambda: self._owns(key),
            )
            self._owner_by_service[key] = owner
            self._set_leaving(owner, opened=True)
            self._group.start_soon(self._run_owner, owner, name=f"service {service.name}")
        return owner

    def _shared_hedge_budget(self, environment: Environment) -> HedgeBudget:
        """Returns the hedge budget that all services of the environment share.

        With one budget for each service, the tokens accumulated by 25 services allowed 27% extra
        calls when all services became slow at once.
        """
        share = environment.policy.hedge_budget
        known = self._budget_by_environment.get(environment.name)
        if known is None or known[0] != share:
            known = (share, HedgeBudget(share=share))
            self._budget_by_environment[environment.name] = known
        return known[1]

    async def _run_owner(self, owner: ServiceOwner) -> None:
        async with anyio.create_task_group() as group:
            await group.start(owner.run)

    def _owns(self, key: _ServiceKey) -> bool:
        environment = self.view.environment_by_name.get(key[0])
        service = environment and environment.services_by_name.get(key[1])
        if service is None:
            return False
        order = self._owner_table.order(
            environment=key[0],
            service_name=key[1],
            service_regions={leaf.region for leaf in service.leaf_by_id.values()},
        )
        return bool(order) and order[0]["name"] == self._settings["process"]["name"]

    def _on_view(self) -> None:
        """Applies a new view; opens owned services, to connect before their first call."""
        self._owner_table.update(self.view.members)
        self._health.set(
            "view", "" if self.view.environment_by_name else "no environment document yet"
        )
        self._update_planned_changes()
        for key, owner in list(self._owner_by_service.items()):
            environment = self.view.environment_by_name.get(key[0])
            changed = environment is not None and environment is not owner.environment
            if environment is not None and changed and key[1] in environment.services_by_name:
                owner.update(environment, self._shared_hedge_budget(environment))
            self._set_leaving(owner)
        for environment in self.view.environment_by_name.values():
            for service in environment.services_by_name.values():
                key = (environment.name, service.name)
                if key not in self._owner_by_service and self._owns(key):
                    self._open_owner(environment, service)

    def _set_leaving(self, owner: ServiceOwner, *, opened: bool = False) -> None:
        environment = self._newest_document(owner)
        draining = drained_leaf_ids(
            environment, self._planned_changes.active(environment, _now_utc())
        )
        # The owner of a service gets the reports of its leaves directly; the view would echo its
        # own announcements.
        announced = self.view.announced_leaving if opened or not owner.is_owner() else ()
        owner.set_leaving(
            LeavingLeaves(self.view.leaving_addresses, draining, frozenset(announced))
        )
        if draining.isdisjoint(owner.service.leaf_by_id):
            owner.slowdown_meter.stop_counting()
        else:
            owner.slowdown_meter.start_counting(environment.policy.slowdown_bound)

    def _update_planned_changes(self) -> None:
        """Recomputes which planned changes are held, and reports them to the agent."""
        self._planned_changes.update_call_records(self.view.calls)
        for environment in self.view.environment_by_name.values():
            self._planned_changes.active(environment, _now_utc())
        self.view.report_held_changes(self._planned_changes.held())

    def _record_slowed_clients(self, owner: ServiceOwner) -> None:
        """Records the clients that are slowed by planned changes to leaves of this service."""
        slowed = owner.slowdown_meter.slowed_clients()
        if not slowed:
            return
        environment = self._newest_document(owner)
        for change in self._planned_changes.active(environment, _now_utc()):
            if not drained_leaf_ids(environment, (change,)).isdisjoint(owner.service.leaf_by_id):
                self._planned_changes.record_slowed_clients(environment, change, slowed)

    def _newest_document(self, owner: ServiceOwner) -> Environment:
        """Returns the newest document; the owner itself keeps the last one with its service."""
        return self.view.environment_by_name.get(owner.environment.name, owner.environment)

    # Periodic work.

    async def _send_load(self, _pause: float) -> None:
        now = self._clock.now()
        entries = [
            address
            for address, last in self._last_call_by_entry.items()
            if now - last < _RECENT_USE_SECONDS
        ]
        if not entries:
            return
        services = [
            owner.load()
            for owner in self._owner_by_service.values()
            if now - owner.last_used_at < _RECENT_USE_SECONDS
        ]
        message = cast(dict[str, Any], Load(kind="load", services=services))
        for address in entries:
            self.transport.send(address=address, message=message)

    async def _announce_leaving(self, _pause: float) -> None:
        announced: set[str] = set()
        for owner in self._owner_by_service.values():
            if owner.is_owner():
                announced |= owner.announced_leaving()
        self.view.report_announced_leaving(sorted(announced))

    async def _run_housekeeping(self, pause: float) -> None:
        if pause:
            _LOGGER.warning("the process was paused", seconds=round(pause, 3))
        now = self._clock.now()
        for owner in self._owner_by_service.values():
            self._record_slowed_clients(owner)
        self._update_planned_changes()
        for key, owner in list(self._owner_by_service.items()):
            self._set_leaving(owner)
            if owner.is_unused(now):
                owner.close()
                del self._owner_by_service[key]


def _now_utc() -> datetime.datetime:
    return datetime.datetime.now(datetime.UTC)
