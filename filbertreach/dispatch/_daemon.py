"""The dispatch process: takes calls from entry processes and gives them to service owners."""

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
from filbertreach.dispatch._planned_changes import PlannedChanges, drained_by
from filbertreach.dispatch._service import ServiceOwner, ServiceSettings
from filbertreach.document import Environment, Service
from filbertreach.membership import OwnerTable, ViewClient
from filbertreach.observability import Health, Tracing, get_logger
from filbertreach.schema import Answer, Call, Failure, Load, Settings
from filbertreach.timing import TimerService
from filbertreach.transport import Peer, ReceivedMessage, Transport

_LOAD_SECONDS = 0.2
"""Time between two load messages to entry processes."""
_HOUSEKEEPING_SECONDS = 1.0
_LEAVING_SECONDS = 0.2
"""Interval at which other hosts are told which leaves are leaving; an owner that takes over has to
know within 3 s of the leaf's report."""
_SEEN_CALLS = 200_000
"""Call ids remembered to refuse repeated ones; at 10,000 calls/s those of the last 20 s."""
_LOAD_TO_ENTRY_SECONDS = 10.0
"""Entry processes that sent a call in this time are told the load."""

_LOGGER = get_logger(__name__)
_OwnerKey = tuple[str, str]


class Dispatcher:
    """Owner of the services that entry processes send calls for."""

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
            timers: Timer service, entered before.
            tracing: Span exporter.
            health: Readiness, kept up to date.
            incarnation: New for each process start.
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
        self._planned = PlannedChanges()
        self._owner_by_key: dict[_OwnerKey, ServiceOwner] = {}
        self._budget_by_environment: dict[str, tuple[float, HedgeBudget]] = {}
        self._owners = OwnerTable()
        self._seen: OrderedDict[str, None] = OrderedDict()
        self._last_call_by_entry: dict[str, float] = {}
        self._group: anyio.abc.TaskGroup | None = None
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Listens and takes the first view."""
        self._health.set("view", "no environment document yet")
        await self._stack.__aenter__()
        self._group = await self._stack.enter_async_context(anyio.create_task_group())
        await self._stack.enter_async_context(self.transport)
        await self._stack.enter_async_context(self.view)
        self._timers.subscribe(
            name="load", interval_seconds=_LOAD_SECONDS, callback=self._send_load
        )
        self._timers.subscribe(
            name="housekeeping",
            interval_seconds=_HOUSEKEEPING_SECONDS,
            callback=self._keep_house,
        )
        self._timers.subscribe(
            name="leaving", interval_seconds=_LEAVING_SECONDS, callback=self._tell_leaving
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
        """Tells the fleet that this process leaves; it still serves what it is sent."""
        self.view.set_state("leaving")

    async def drain(self, seconds: float) -> None:
        """Waits until all calls have ended and their results were delivered.

        Args:
            seconds: Longest wait.
        """
        with anyio.move_on_after(seconds):
            while not all(owner.is_idle for owner in self._owner_by_key.values()):
                await anyio.sleep(0.02)
            await self.transport.flush(seconds=seconds)
            return
        _LOGGER.warning("drain ended at its bound", seconds=seconds)

    # Events of the transport.

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
                _LOGGER.warning("message dropped", kind=other, sender=received.sender)

    def on_peer_lost(self, peer: Peer) -> None:
        """Cancels the calls of a lost entry process; see `PeerEventHandler`."""
        self._last_call_by_entry.pop(peer.address, None)
        for owner in self._owner_by_key.values():
            owner.cancel_all_of(peer.address)

    def _on_call(self, received: ReceivedMessage) -> None:
        try:
            call = msgspec.convert(received.message, Call)
        except msgspec.ValidationError as error:
            _LOGGER.error("call dropped", sender=received.sender, error=str(error))
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
        if not self._is_new(pending.key):
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
        for owner in self._owner_by_key.values():
            owner.cancel(key)

    def _is_new(self, key: str) -> bool:
        if key in self._seen:
            return False
        self._seen[key] = None
        if len(self._seen) > _SEEN_CALLS:
            self._seen.popitem(last=False)
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
        return self._open(environment, service)

    def _open(self, environment: Environment, service: Service) -> ServiceOwner:
        key = (environment.name, service.name)
        owner = self._owner_by_key.get(key)
        if owner is None:
            assert self._group is not None
            owner = ServiceOwner(
                settings=ServiceSettings(
                    environment, service, self._settings["dispatch"], self._budget(environment)
                ),
                timers=self._timers,
                tracing=self._tracing,
                reply=self._reply,
                is_owner=lambda: self._owns(key),
            )
            self._owner_by_key[key] = owner
            self._set_leaving(owner, opened=True)
            self._group.start_soon(self._run_owner, owner, name=f"service {service.name}")
        return owner

    def _budget(self, environment: Environment) -> HedgeBudget:
        """Returns the budget that all services of the environment share.

        With a budget for each service, the tokens that 25 services had saved were enough for
        extra calls of 27% when all of them turned slow.
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

    def _owns(self, key: _OwnerKey) -> bool:
        environment = self.view.environment_by_name.get(key[0])
        service = environment and environment.services_by_name.get(key[1])
        if service is None:
            return False
        order = self._owners.order(
            environment=key[0],
            service_name=key[1],
            service_regions={leaf.region for leaf in service.leaf_by_id.values()},
        )
        return bool(order) and order[0]["name"] == self._settings["process"]["name"]

    def _on_view(self) -> None:
        """Takes over documents; opens owned services so that their connections are warm."""
        self._owners.update(self.view.members)
        self._health.set(
            "view", "" if self.view.environment_by_name else "no environment document yet"
        )
        self._update_planned()
        for key, owner in list(self._owner_by_key.items()):
            environment = self.view.environment_by_name.get(key[0])
            changed = environment is not None and environment is not owner.environment
            if environment is not None and changed and key[1] in environment.services_by_name:
                owner.update(environment, self._budget(environment))
            self._set_leaving(owner)
        for environment in self.view.environment_by_name.values():
            for service in environment.services_by_name.values():
                key = (environment.name, service.name)
                if key not in self._owner_by_key and self._owns(key):
                    self._open(environment, service)

    def _set_leaving(self, owner: ServiceOwner, *, opened: bool = False) -> None:
        environment = self._newest(owner)
        draining = drained_by(environment, self._planned.active(environment, _now_utc()))
        # An owner of the service hears its leaves itself, and what it announced comes back to it.
        announced = self.view.announced_leaving if opened or not owner.is_owner() else ()
        owner.set_leaving(
            LeavingLeaves(self.view.leaving_addresses, draining, frozenset(announced))
        )
        if draining.isdisjoint(owner.service.leaf_by_id):
            owner.meter.end()
        else:
            owner.meter.begin(environment.policy.slowdown_bound)

    def _update_planned(self) -> None:
        """Works out anew which changes are held, and says so."""
        self._planned.take_calls(self.view.calls)
        for environment in self.view.environment_by_name.values():
            self._planned.active(environment, _now_utc())
        self.view.tell_held(self._planned.held())

    def _note_slowed(self, owner: ServiceOwner) -> None:
        """Tells which clients the changes that drain a leaf of this service slow too much."""
        slowed = owner.meter.slowed()
        if not slowed:
            return
        environment = self._newest(owner)
        for change in self._planned.active(environment, _now_utc()):
            if not drained_by(environment, (change,)).isdisjoint(owner.service.leaf_by_id):
                self._planned.note_slowed(environment, change, slowed)

    def _newest(self, owner: ServiceOwner) -> Environment:
        """Returns the newest document; an owner keeps the last one that had its service."""
        return self.view.environment_by_name.get(owner.environment.name, owner.environment)

    # Periodic work.

    async def _send_load(self, _pause: float) -> None:
        now = self._clock.now()
        entries = [
            address
            for address, last in self._last_call_by_entry.items()
            if now - last < _LOAD_TO_ENTRY_SECONDS
        ]
        if not entries:
            return
        services = [
            owner.load()
            for owner in self._owner_by_key.values()
            if now - owner.last_used < _LOAD_TO_ENTRY_SECONDS
        ]
        message = cast(dict[str, Any], Load(kind="load", services=services))
        for address in entries:
            self.transport.send(address=address, message=message)

    async def _tell_leaving(self, _pause: float) -> None:
        announced: set[str] = set()
        for owner in self._owner_by_key.values():
            if owner.is_owner():
                announced |= owner.announced_leaving()
        self.view.tell_announced_leaving(sorted(announced))

    async def _keep_house(self, pause: float) -> None:
        if pause:
            _LOGGER.warning("the process was paused", seconds=round(pause, 3))
        now = self._clock.now()
        for owner in self._owner_by_key.values():
            self._note_slowed(owner)
        self._update_planned()
        for key, owner in list(self._owner_by_key.items()):
            self._set_leaving(owner)
            if owner.is_unused(now):
                owner.close()
                del self._owner_by_key[key]


def _now_utc() -> datetime.datetime:
    return datetime.datetime.now(datetime.UTC)
