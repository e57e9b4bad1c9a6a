"""Connections to one leaf: a task for each, and one for control requests."""

import contextlib
import math
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Literal, Self

import anyio
import anyio.abc
import httpcore
import msgspec

from filbertreach.decisions import LeafTracker, connection_share
from filbertreach.dispatch._errors import LeafError
from filbertreach.dispatch._exchange import LeafResponse, new_connection, request
from filbertreach.dispatch._metrics import CONNECTIONS_REPLACED, LEAF_CONNECTIONS
from filbertreach.dispatch._pending import Attempt
from filbertreach.timing import Clock

IDLE_SECONDS = 5.0
"""An unused connection of a service owned elsewhere is closed after this time."""
_CONTROL_TIMEOUT_SECONDS = 1.0
_CONNECT_TIMEOUT_SECONDS = 1.0
_RECONNECT_SECONDS = 0.2
_STATUS_FRESH_SECONDS = 5.0
_DRAINING_HOLD_SECONDS = 10.0
"""A leaf that said it drains is not believed to be ready again before this time has passed
without it saying so; health endpoints lag."""

Serve = Callable[[httpcore.AsyncHTTPConnection, Attempt], Awaitable[bool]]
LeavingSource = Literal["health", "response", "announced", "host_list", "document"]
_ANNOUNCEMENTS: tuple[LeavingSource, ...] = ("health", "response", "announced")
"""What the leaf itself said, to this process or to another one."""


class _HealthBody(msgspec.Struct):
    state: Literal["starting", "ready", "draining"]


class _VersionsBody(msgspec.Struct):
    versions: list[int]


class _Connection:
    """A connection task that waits for work or works."""

    def __init__(self) -> None:
        self.attempt: Attempt | None = None
        self.wake = anyio.Event()


class LeafLink:
    """Owner of the connections to one leaf.

    The number of connections, the control connection included, stays within the share of one owner
    (docs/design.md, 2.1). Idle connections are used last-in first-out.
    """

    def __init__(
        self,
        *,
        tracker: LeafTracker,
        serve: Serve,
        on_idle: Callable[[], None],
        is_owner: Callable[[], bool],
        health_seconds: float,
        clock: Clock,
    ) -> None:
        """Prepares a link; enter it to connect.

        Args:
            tracker: What is known of the leaf.
            serve: Serves an attempt on a connection; returns whether the connection stays usable.
            on_idle: Called when a connection or the leaf became available.
            is_owner: Whether this process owns the service now.
            health_seconds: Time between two health checks.
            clock: Source of time.
        """
        self.tracker = tracker
        self.leaf = tracker.leaf
        self._serve = serve
        self._on_idle = on_idle
        self._is_owner = is_owner
        self._health_seconds = health_seconds
        self._clock = clock
        share = connection_share(tracker.pool)
        # One connection of the share is for control, unless the slots need them all.
        self._most = max(tracker.pool.slots, share - 1)
        self._idle: list[_Connection] = []
        self._open = 0
        self._cancels: list[str] = []
        self._control_wake = anyio.Event()
        self._group: anyio.abc.TaskGroup | None = None
        self._leaving_until_by_source: dict[LeavingSource, float] = {}
        self._versions: frozenset[int] | None = None
        self._versions_at = -math.inf
        self._missing_until_by_version: dict[int, float] = {}
        self._closing = False

    async def __aenter__(self) -> Self:
        """Starts the control task and warms as many connections as the leaf has slots."""
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        self._group.start_soon(self._run_control, name=f"control {self.leaf.id}")
        for _ in range(self.tracker.pool.slots):
            self._open_connection(None)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        """Closes all connections."""
        assert self._group is not None
        self._group.cancel_scope.cancel()
        return await self._group.__aexit__(kind, error, trace)

    async def run_until_closed(self) -> None:
        """Holds the link open until `close` was called and its calls have ended."""
        async with self:
            while not (self._closing and self.tracker.in_flight == 0):
                await anyio.sleep(0.05)

    def close(self) -> None:
        """Lets calls in progress end, then closes; no new calls are taken."""
        self._closing = True

    @property
    def has_connection(self) -> bool:
        """Whether an attempt can be assigned now."""
        return not self._closing and (bool(self._idle) or self._open < self._most)

    def may_serve(self, version: int, now: float) -> bool:
        """Returns whether the leaf is not known to lack an index version.

        Args:
            version: Index version.
            now: Clock now, in seconds.
        """
        if self._missing_until_by_version.get(version, -math.inf) > now:
            return False
        if self._versions is None or now - self._versions_at > _STATUS_FRESH_SECONDS:
            return True
        return version in self._versions

    def known_versions(self, now: float) -> frozenset[int] | None:
        """Returns the versions that the leaf listed lately, or None.

        Args:
            now: Clock now, in seconds.
        """
        if now - self._versions_at > _STATUS_FRESH_SECONDS:
            return None
        return self._versions

    def version_refused(self, version: int, now: float) -> None:
        """Records that the leaf refused a version.

        Args:
            version: Index version.
            now: Clock now, in seconds.
        """
        self._missing_until_by_version[version] = now + self._health_seconds

    def leaving(self, source: LeavingSource, now: float, *, leaving: bool) -> None:
        """Records what one source says about the leaf leaving.

        The leaf gets no new calls while any source says that it leaves.

        Args:
            source: Who says so.
            now: Clock now, in seconds.
            leaving: Whether it leaves.
        """
        hold = math.inf if source in ("host_list", "document") else now + _DRAINING_HOLD_SECONDS
        if leaving:
            self._leaving_until_by_source[source] = hold
            self.tracker.leaving = True
            return
        if source in ("host_list", "document"):
            self._leaving_until_by_source.pop(source, None)
        else:
            self._forget_announcements(now)
        self.tracker.leaving = bool(self._leaving_until_by_source)

    @property
    def has_announced_leaving(self) -> bool:
        """Whether the leaf said that it is leaving, to this process or to another one."""
        return any(source in self._leaving_until_by_source for source in _ANNOUNCEMENTS)

    def _forget_announcements(self, now: float) -> None:
        """Ends what the leaf itself announced, after it has said otherwise."""
        # Without this answer time alone would end it, and a leaf that drains with a silent health
        # endpoint would get new work.
        for source in _ANNOUNCEMENTS:
            if self._leaving_until_by_source.get(source, math.inf) <= now:
                del self._leaving_until_by_source[source]

    def assign(self, attempt: Attempt) -> None:
        """Hands an attempt to an idle connection, or to a new one.

        Args:
            attempt: The attempt; `has_connection` must be true.
        """
        if self._idle:
            connection = self._idle.pop()
            connection.attempt = attempt
            connection.wake.set()
        else:
            self._open_connection(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Asks the leaf to cancel an attempt.

        Args:
            attempt: A running attempt.
        """
        self._cancels.append(attempt.call_id)
        self._control_wake.set()

    def _open_connection(self, attempt: Attempt | None) -> None:
        assert self._group is not None
        connection = _Connection()
        connection.attempt = attempt
        self._open += 1
        self._group.start_soon(self._run_connection, connection, name=f"connection {self.leaf.id}")

    async def _run_connection(self, connection: _Connection) -> None:
        LEAF_CONNECTIONS.inc()
        http = new_connection(self.leaf)
        try:
            if connection.attempt is None:
                http = await self._warm(http)
            while await self._next_attempt(connection):
                attempt = connection.attempt
                assert attempt is not None
                connection.attempt = None
                if http.has_expired():
                    # The leaf closed the idle connection; a request on it might be lost.
                    await _close(http)
                    http = new_connection(self.leaf)
                if not await self._serve(http, attempt):
                    CONNECTIONS_REPLACED.inc()
                    await _close(http)
                    http = new_connection(self.leaf)
        finally:
            self._open -= 1
            LEAF_CONNECTIONS.dec()
            with anyio.CancelScope(shield=True):
                await _close(http)

    async def _warm(self, http: httpcore.AsyncHTTPConnection) -> httpcore.AsyncHTTPConnection:
        with anyio.move_on_after(_CONNECT_TIMEOUT_SECONDS), contextlib.suppress(LeafError):
            await self._get(http, "/v1/health")
            return http
        await _close(http)
        return new_connection(self.leaf)

    async def _next_attempt(self, connection: _Connection) -> bool:
        """Waits for an attempt; False if the connection is no longer needed."""
        while connection.attempt is None:
            connection.wake = anyio.Event()
            self._idle.append(connection)
            self._on_idle()
            with anyio.move_on_after(IDLE_SECONDS):
                await connection.wake.wait()
            if connection.attempt is None:
                self._idle.remove(connection)
                if not self._is_owner() or self._open > self.tracker.pool.slots:
                    return False
        return True

    async def _run_control(self) -> None:
        """Sends cancellations at once and health checks at their interval."""
        http = new_connection(self.leaf)
        due = self._clock.now()
        while True:
            with anyio.move_on_after(max(0.0, due - self._clock.now())):
                await self._control_wake.wait()
            self._control_wake = anyio.Event()
            try:
                with anyio.fail_after(_CONTROL_TIMEOUT_SECONDS):
                    await self._send_cancels(http)
                    if self._clock.now() >= due:
                        due = self._clock.now() + self._health_seconds
                        await self._check(http)
            except (LeafError, TimeoutError):
                await _close(http)
                http = new_connection(self.leaf)
                await anyio.sleep(_RECONNECT_SECONDS)

    async def _send_cancels(self, http: httpcore.AsyncHTTPConnection) -> None:
        while self._cancels:
            path = f"/v1/calls/{self._cancels.pop(0)}"
            await request(connection=http, leaf=self.leaf, method="DELETE", path=path, headers=[])

    async def _check(self, http: httpcore.AsyncHTTPConnection) -> None:
        health = await self._get(http, "/v1/health")
        versions = await self._get(http, "/v1/versions")
        now = self._clock.now()
        with contextlib.suppress(msgspec.DecodeError):
            self._versions = frozenset(
                msgspec.json.decode(versions.body, type=_VersionsBody).versions
            )
            self._versions_at = now
        with contextlib.suppress(msgspec.DecodeError):
            state = msgspec.json.decode(health.body, type=_HealthBody).state
            self.leaving("health", now, leaving=state == "draining")
            if state == "starting":
                self.tracker.record_reported_state("starting", now)
        self._on_idle()

    async def _get(self, http: httpcore.AsyncHTTPConnection, path: str) -> LeafResponse:
        return await request(connection=http, leaf=self.leaf, method="GET", path=path, headers=[])


async def _close(http: httpcore.AsyncHTTPConnection) -> None:
    with anyio.move_on_after(_CONTROL_TIMEOUT_SECONDS), contextlib.suppress(Exception):
        await http.aclose()
