"""Connections to one leaf: one task for each, and one task for control requests."""

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
from filbertreach.observability import get_logger
from filbertreach.schema import Int64, InvalidMessageError, JsonDecoder
from filbertreach.timing import Clock

IDLE_TIMEOUT_SECONDS = 5.0
"""Idle connections beyond the leaf's slots, and all of a service owned elsewhere, are closed after
this time."""
_CONTROL_TIMEOUT_SECONDS = 1.0
_CONNECT_TIMEOUT_SECONDS = 1.0
_RECONNECT_SECONDS = 0.2
_VERSIONS_MAX_AGE_SECONDS = 5.0
_DRAINING_HOLD_SECONDS = 10.0
"""A leaf counts as draining until it has not reported so for this long; health endpoints lag behind
the leaf."""

Serve = Callable[[httpcore.AsyncHTTPConnection, Attempt], Awaitable[bool]]
LeavingSource = Literal["health", "response", "announced", "host_list", "document"]
_LEAF_SOURCES: tuple[LeavingSource, ...] = ("health", "response", "announced")
"""Sources whose statement comes from the leaf itself, to this process or to another one."""


class _HealthBody(msgspec.Struct):
    state: Literal["starting", "ready", "draining"]


class _VersionsBody(msgspec.Struct):
    versions: list[Int64]


_HEALTH_DECODER = JsonDecoder(message=_HealthBody)
_VERSIONS_DECODER = JsonDecoder(message=_VersionsBody)
_LOGGER = get_logger(__name__)


class _Connection:
    """State shared with the task of one connection."""

    def __init__(self) -> None:
        self.attempt: Attempt | None = None
        self.wake = anyio.Event()
        self.opened_at = -math.inf
        """Clock when its current HTTP connection was created, in seconds."""


class LeafLink:
    """Pool of connections to one leaf.

    The number of connections, including the control connection, stays within the share of one owner
    (docs/design.md, 2.1). Idle connections are reused last-in first-out.
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
            tracker: Tracker of the leaf.
            serve: Serves an attempt on a connection; returns whether the connection stays usable.
            on_idle: Called when a connection becomes idle, and after each health check.
            is_owner: Returns whether this process owns the service now.
            health_seconds: Interval of health checks.
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
        # One connection of the share is reserved for control requests, unless the slots need all.
        self._max_connections = max(tracker.pool.slots, share - 1)
        self._idle_connections: list[_Connection] = []
        self._connection_count = 0
        self._call_ids_to_cancel: list[str] = []
        self._control_wake = anyio.Event()
        self._group: anyio.abc.TaskGroup | None = None
        self._leaving_until_by_source: dict[LeavingSource, float] = {}
        self._versions: frozenset[int] | None = None
        self._versions_at = -math.inf
        self._missing_until_by_version: dict[int, float] = {}
        self._silent_at = -math.inf
        self._closing = False

    async def __aenter__(self) -> Self:
        """Starts the control task and opens as many connections as the leaf has slots."""
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        self._group.start_soon(self._run_control, name=f"control {self.leaf.id}")
        for _ in range(self.tracker.pool.slots):
            self._start_connection(None)
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
        """Keeps the link open until `close` was called and its calls have ended."""
        async with self:
            while not (self._closing and self.tracker.in_flight == 0):
                await anyio.sleep(0.05)

    def close(self) -> None:
        """Closes the link once its calls have ended; accepts no new calls."""
        self._closing = True

    @property
    def has_connection(self) -> bool:
        """Whether an attempt can be assigned now."""
        return not self._closing and (
            bool(self._idle_connections) or self._connection_count < self._max_connections
        )

    def may_have_version(self, version: int, now: float) -> bool:
        """Returns whether the leaf is not known to lack an index version.

        Args:
            version: Index version.
            now: Current clock time, in seconds.
        """
        if self._missing_until_by_version.get(version, -math.inf) > now:
            return False
        if self._versions is None or now - self._versions_at > _VERSIONS_MAX_AGE_SECONDS:
            return True
        return version in self._versions

    def known_versions(self, now: float) -> frozenset[int] | None:
        """Returns the index versions that the leaf listed, None without a list from the last 5 s.

        Args:
            now: Current clock time, in seconds.
        """
        if now - self._versions_at > _VERSIONS_MAX_AGE_SECONDS:
            return None
        return self._versions

    def record_refused_version(self, version: int, now: float) -> None:
        """Records that the leaf refused a version.

        Args:
            version: Index version.
            now: Current clock time, in seconds.
        """
        self._missing_until_by_version[version] = now + self._health_seconds

    def record_leaving(self, source: LeavingSource, now: float, *, leaving: bool) -> None:
        """Records whether the leaf is leaving according to one source.

        The leaf gets no new calls while it is leaving according to any source.

        Args:
            source: Source of the statement.
            now: Current clock time, in seconds.
            leaving: Whether the leaf is leaving.
        """
        until = math.inf if source in ("host_list", "document") else now + _DRAINING_HOLD_SECONDS
        if leaving:
            self._leaving_until_by_source[source] = until
            self.tracker.leaving = True
            return
        if source in ("host_list", "document"):
            self._leaving_until_by_source.pop(source, None)
        else:
            self._expire_announcements(now)
        self.tracker.leaving = bool(self._leaving_until_by_source)

    @property
    def has_announced_leaving(self) -> bool:
        """Whether the leaf reported that it is leaving, to this process or to another one."""
        return any(source in self._leaving_until_by_source for source in _LEAF_SOURCES)

    def _expire_announcements(self, now: float) -> None:
        """Removes expired announcements; called when the leaf reports that it is not leaving."""
        # Expiry alone must not end an announcement: a draining leaf whose health endpoint does not
        # answer would get new calls.
        for source in _LEAF_SOURCES:
            if self._leaving_until_by_source.get(source, math.inf) <= now:
                del self._leaving_until_by_source[source]

    def assign(self, attempt: Attempt) -> None:
        """Assigns an attempt to an idle connection, or to a new one.

        Args:
            attempt: The attempt; `has_connection` must be true.
        """
        if self._idle_connections:
            connection = self._idle_connections.pop()
            connection.attempt = attempt
            connection.wake.set()
        else:
            self._start_connection(attempt)

    def record_silence(self) -> None:
        """Records that a request got no response on its connection.

        Connections to a leaf tend to go silent together, so the idle ones are replaced before they
        carry a request.
        """
        self._silent_at = self._clock.now()

    def cancel(self, attempt: Attempt) -> None:
        """Asks the leaf to cancel an attempt.

        Args:
            attempt: A running attempt.
        """
        self._call_ids_to_cancel.append(attempt.call_id)
        self._control_wake.set()

    def _start_connection(self, attempt: Attempt | None) -> None:
        assert self._group is not None
        connection = _Connection()
        connection.attempt = attempt
        self._connection_count += 1
        self._group.start_soon(self._run_connection, connection, name=f"connection {self.leaf.id}")

    async def _run_connection(self, connection: _Connection) -> None:
        LEAF_CONNECTIONS.inc()
        http = self._new_http(connection)
        try:
            if connection.attempt is None:
                http = await self._warm_up(connection, http)
            while await self._next_attempt(connection):
                attempt = connection.attempt
                assert attempt is not None
                connection.attempt = None
                if http.has_expired() or connection.opened_at < self._silent_at:
                    # The leaf closed the idle connection, and a request on it could be lost.
                    await _close(http)
                    http = self._new_http(connection)
                if not await self._serve(http, attempt):
                    CONNECTIONS_REPLACED.inc()
                    await _close(http)
                    http = self._new_http(connection)
        finally:
            self._connection_count -= 1
            LEAF_CONNECTIONS.dec()
            with anyio.CancelScope(shield=True):
                await _close(http)

    def _new_http(self, connection: _Connection) -> httpcore.AsyncHTTPConnection:
        connection.opened_at = self._clock.now()
        return new_connection(self.leaf)

    async def _warm_up(
        self, connection: _Connection, http: httpcore.AsyncHTTPConnection
    ) -> httpcore.AsyncHTTPConnection:
        with anyio.move_on_after(_CONNECT_TIMEOUT_SECONDS), contextlib.suppress(LeafError):
            await self._get(http, "/v1/health")
            return http
        await _close(http)
        return self._new_http(connection)

    async def _next_attempt(self, connection: _Connection) -> bool:
        """Waits for an attempt; returns False if the connection is no longer needed."""
        while connection.attempt is None:
            connection.wake = anyio.Event()
            self._idle_connections.append(connection)
            self._on_idle()
            with anyio.move_on_after(IDLE_TIMEOUT_SECONDS):
                await connection.wake.wait()
            if connection.attempt is None:
                self._idle_connections.remove(connection)
                if not self._is_owner() or self._connection_count > self.tracker.pool.slots:
                    return False
        return True

    async def _run_control(self) -> None:
        """Sends cancellations immediately, and health checks at their interval."""
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
                        await self._check_health(http)
            except (LeafError, TimeoutError):
                await _close(http)
                http = new_connection(self.leaf)
                await anyio.sleep(_RECONNECT_SECONDS)

    async def _send_cancels(self, http: httpcore.AsyncHTTPConnection) -> None:
        while self._call_ids_to_cancel:
            path = f"/v1/calls/{self._call_ids_to_cancel.pop(0)}"
            await request(connection=http, leaf=self.leaf, method="DELETE", path=path, headers=[])

    async def _check_health(self, http: httpcore.AsyncHTTPConnection) -> None:
        health = await self._get(http, "/v1/health")
        versions = await self._get(http, "/v1/versions")
        now = self._clock.now()
        try:
            self._versions = frozenset(_VERSIONS_DECODER.decode(versions.body).versions)
            self._versions_at = now
        except InvalidMessageError as error:
            _LOGGER.warning("versions unreadable", leaf=self.leaf.id, error=str(error))
        # The state holds also if the versions can't be read: the leaf may be draining.
        try:
            state = _HEALTH_DECODER.decode(health.body).state
        except InvalidMessageError as error:
            _LOGGER.warning("health unreadable", leaf=self.leaf.id, error=str(error))
        else:
            self.record_leaving("health", now, leaving=state == "draining")
            if state == "starting":
                self.tracker.record_reported_state("starting", now)
        self._on_idle()

    async def _get(self, http: httpcore.AsyncHTTPConnection, path: str) -> LeafResponse:
        return await request(connection=http, leaf=self.leaf, method="GET", path=path, headers=[])


async def _close(http: httpcore.AsyncHTTPConnection) -> None:
    with anyio.move_on_after(_CONTROL_TIMEOUT_SECONDS), contextlib.suppress(Exception):
        await http.aclose()
