"""The quarantine of one host, and its exchange with the other hosts."""

import contextlib
from collections.abc import Callable, Coroutine
from types import TracebackType
from typing import Any, NamedTuple, Self

import anyio
import anyio.abc

from filbertreach.observability import get_logger
from filbertreach.quarantine._fingerprint import fingerprint
from filbertreach.quarantine._idle_ends import IdleEnds
from filbertreach.quarantine._leaf_checks import LeafChecks
from filbertreach.quarantine._loss_count import LeafProcess
from filbertreach.quarantine._metrics import ENTRIES, LEAF_LOSSES, REFUSED_REQUESTS, STAGED_REQUESTS
from filbertreach.quarantine._notice_sender import HostAddresses, NoticeSender
from filbertreach.quarantine._notices import (
    EntryAllowance,
    NoticeError,
    SharedLosses,
    Spread,
    decode_notice,
    encode_notice,
    received_allowance,
)
from filbertreach.quarantine._recent_crashes import RecentCrashes
from filbertreach.quarantine._request_guard import GuardContext, RequestGuard
from filbertreach.quarantine._request_quarantine import MAX_ENTRIES, RequestQuarantine
from filbertreach.schema import QuarantineNotice
from filbertreach.timing import Clock

_LOGGER = get_logger(__name__)

_CHECK_DELAY_SECONDS = 0.035
"""Time after a loss at which it is checked whether the request is the cause, also if no
further request asks; a little more than `RequestQuarantine` waits for the ends of other leaves."""
_SHARE_INTERVAL_SECONDS = 0.02
"""Shortest time between two messages. The first loss is shared at once."""
_MAX_PENDING = 1_000
"""Fingerprints that wait to be shared."""
_MAX_SHARED_AGE_SECONDS = 1.0
"""Age of the last loss from which it is not shared, as it had to wait for the allowance."""


class RequestContent(NamedTuple):
    """What identifies a request."""

    method: str
    """HTTP method."""
    target: bytes
    """Path and query, as sent."""
    body: bytes
    """Body."""
    account: str | None
    """Name of the client account; None for none."""


class FleetQuarantine:
    """Finds requests that crash leaves, refuses them, and tells other hosts; a context manager."""

    def __init__(
        self, *, host: str, data_centre: str, hosts: HostAddresses | None, clock: Clock
    ) -> None:
        """Creates a quarantine without entries.

        Args:
            host: Name of this host.
            data_centre: Its data centre.
            hosts: Addresses of other hosts; None to decide alone.
            clock: Source of time.
        """
        self._host = host
        self._data_centre = data_centre
        self._hosts = hosts
        self._clock = clock
        self._quarantine = RequestQuarantine(host=host, on_quarantined=self._on_quarantined)
        self._crashes = RecentCrashes()
        self._checks = LeafChecks(clock=clock, spawn=lambda run: self._spawn(run))
        self._idle_ends = IdleEnds(
            check_leaf=self._checks.check, on_ended=self._quarantine.on_ended_elsewhere
        )
        self._context = GuardContext(
            quarantine=self._quarantine,
            crashes=self._crashes,
            check_leaf=self._check_lost,
            on_loss=self._on_loss,
            now=clock.now,
        )
        self._guards_by_fingerprint: dict[bytes, set[RequestGuard]] = {}
        """Requests in progress."""
        self._pending_route_by_fingerprint: dict[bytes, str] = {}
        """Fingerprints to be shared, with their routes."""
        self._lost_route_by_fingerprint: dict[bytes, str] = {}
        """Routes by fingerprint, of requests under which this host has lost leaves."""
        self._has_pending = anyio.Event()
        self._sent_allowance = EntryAllowance()
        self._received_allowance = received_allowance()
        self._sender = NoticeSender()
        self._stack = contextlib.AsyncExitStack()
        self._group: anyio.abc.TaskGroup | None = None

    async def __aenter__(self) -> Self:
        """Starts to share losses."""
        await self._stack.__aenter__()
        await self._stack.enter_async_context(self._sender)
        self._group = await self._stack.enter_async_context(anyio.create_task_group())
        self._group.start_soon(self._share)
        ENTRIES.set_function(self._quarantine.count_quarantined)
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

    # Requests of this host.

    def admit(self, content: RequestContent, *, route: str, shards: int) -> RequestGuard:
        """Decides about a request before anything is sent for it.

        Args:
            content: What identifies the request.
            route: Name of its route.
            shards: Number of shards that it is sent to; 0 for a request to a single service.

        Returns:
            The guard of the request, whose verdict may be to refuse it; `release` ends it.
        """
        now = self._clock.now()
        key = fingerprint(
            method=content.method,
            target=content.target,
            body=content.body,
            account=content.account,
        )
        verdict = self._quarantine.verdict(key, now)
        guard = RequestGuard(
            fingerprint=key, route=route, shards=shards, verdict=verdict, context=self._context
        )
        if verdict.kind == "refuse":
            REFUSED_REQUESTS.inc()
            return guard
        if guard.first_shards is not None:
            STAGED_REQUESTS.inc()
        if guard.is_trial:
            _LOGGER.info("quarantined request is tried", fingerprint=key.hex(), route=route)
        self._quarantine.on_request(now)
        self._guards_by_fingerprint.setdefault(key, set()).add(guard)
        return guard

    def release(self, guard: RequestGuard) -> None:
        """Ends the guard of a request that has been answered.

        Args:
            guard: The guard.
        """
        guards = self._guards_by_fingerprint.get(guard.fingerprint, set())
        guards.discard(guard)
        if not guards:
            self._guards_by_fingerprint.pop(guard.fingerprint, None)

    def on_idle_closed(self, process: LeafProcess, address: str) -> None:
        """Records that a leaf has closed a connection without a request.

        Args:
            process: The leaf.
            address: ip:port of the leaf.
        """
        self._idle_ends.on_closed(process, address, self._clock.now())

    def remove_expired(self) -> None:
        """Removes entries whose time is over; to be called about every second."""
        self._quarantine.remove_expired(self._clock.now())

    def _check_lost(
        self, process: LeafProcess, address: str, on_checked: Callable[[bool], None]
    ) -> None:
        self._idle_ends.on_request_lost(self._clock.now())
        self._checks.check(process, address, on_checked)

    def _on_loss(self, key: bytes, route: str) -> None:
        LEAF_LOSSES.inc()
        self._lost_route_by_fingerprint[key] = route
        while len(self._lost_route_by_fingerprint) > MAX_ENTRIES:
            del self._lost_route_by_fingerprint[next(iter(self._lost_route_by_fingerprint))]
        self._queue(key, route)
        self._spawn(lambda: self._check_later(key))

    async def _check_later(self, key: bytes) -> None:
        await anyio.sleep(_CHECK_DELAY_SECONDS)
        self._quarantine.check(key, self._clock.now())

    def _on_quarantined(self, key: bytes, source: str) -> None:
        guards = self._guards_by_fingerprint.get(key, set())
        if not source:
            route = self._lost_route_by_fingerprint.get(key, "")
            evidence = self._quarantine.evidence(key, self._clock.now())
            _LOGGER.warning(
                "request quarantined",
                fingerprint=key.hex(),
                route=route,
                cause="leaves ended while they ran it",
                leaves=[leaf for leaf, _started_at in evidence.leaves] if evidence else [],
                attempts=evidence.attempts if evidence else 0,
            )
            self._queue(key, route)
        else:
            _LOGGER.info("request quarantined", fingerprint=key.hex(), cause="told", by=source)
        for guard in guards:
            guard.on_change()

    # Exchange with other hosts.

    def on_notice(self, notice: QuarantineNotice) -> None:
        """Takes what another host has seen, and passes it on if it is new and meant for others.

        Args:
            notice: The message.

        Raises:
            NoticeError: The message is unusable, or too many arrive.
        """
        losses = decode_notice(notice)
        now = self._clock.now()
        if self._received_allowance.take(len(losses), now) < len(losses):
            raise NoticeError("too many entries")
        if notice["sender"] == self._host:
            return
        is_new = False
        for evidence, route in losses:
            if route:
                self._crashes.on_lost(route, now - evidence.age_seconds)
            is_new |= self._quarantine.merge(evidence, source=notice["sender"], now=now)
        if is_new and self._hosts is not None:
            self._pass_on(notice, self._hosts)

    def _pass_on(self, notice: QuarantineNotice, hosts: HostAddresses) -> None:
        spread = notice["spread"]
        passed = notice.copy()
        if spread == "all":
            others = hosts.address_by_data_centre()
            others.pop(notice["data_centre"], None)
            passed["spread"] = "data_centre"
            self._send(passed, list(others.values()))
        # The host that has seen the losses tells the hosts of its own data centre itself.
        if spread != "none" and notice["data_centre"] != self._data_centre:
            passed["spread"] = "none"
            self._send(passed, hosts.local_addresses())

    def _send(self, notice: QuarantineNotice, addresses: list[str]) -> None:
        self._sender.send(notice, addresses)

    def _queue(self, key: bytes, route: str) -> None:
        if self._hosts is None or len(self._pending_route_by_fingerprint) >= _MAX_PENDING:
            return
        self._pending_route_by_fingerprint[key] = route
        self._has_pending.set()

    async def _share(self) -> None:
        while True:
            await self._has_pending.wait()
            self._has_pending = anyio.Event()
            self._share_batch()
            await anyio.sleep(_SHARE_INTERVAL_SECONDS)
            if self._pending_route_by_fingerprint:
                self._has_pending.set()

    def _share_batch(self) -> None:
        """Sends what is pending as far as it is allowed, the oldest losses first."""
        assert self._hosts is not None
        now = self._clock.now()
        allowed = self._sent_allowance.take(len(self._pending_route_by_fingerprint), now)
        losses = []
        for key in list(self._pending_route_by_fingerprint)[:allowed]:
            route = self._pending_route_by_fingerprint.pop(key)
            evidence = self._quarantine.evidence(key, now)
            if evidence is not None and evidence.age_seconds < _MAX_SHARED_AGE_SECONDS:
                losses.append(SharedLosses(evidence, route))
        if not losses:
            return
        seeds = self._hosts.seed_addresses()
        local = [address for address in self._hosts.local_addresses() if address not in seeds]
        self._send(self._encode(losses, "none"), local)
        self._send(self._encode(losses, "all"), seeds)

    def _encode(self, losses: list[SharedLosses], spread: Spread) -> QuarantineNotice:
        return encode_notice(
            losses, sender=self._host, data_centre=self._data_centre, spread=spread
        )

    def _spawn(self, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        assert self._group is not None
        self._group.start_soon(run)
