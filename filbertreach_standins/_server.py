"""HTTP server shared by all stand-ins: uvicorn with injectable connection faults."""

import abc
import asyncio
import functools
import json
import logging
import random
import socket
import struct
from collections.abc import Callable, Iterable, Sequence
from typing import Any, cast

import anyio
import anyio.abc
import msgspec
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from filbertreach_standins._faults import Fault, FaultError, FaultSet, Trigger, one_of
from filbertreach_standins._http import (
    Receive,
    Send,
    parse_address,
    query_parameters,
    read_body,
    send_json,
)

_CLASSIFICATION_TIMEOUT_SECONDS = 0.05
"""A connection that sends nothing for this time is treated as an ordinary one."""
_KEEP_ALIVE_TIMEOUT_SECONDS = 3600
"""Long enough to keep idle connections open; only faults that tests inject close them."""
_BACKLOG = 2048
_LINGER_RESET = struct.pack("ii", 1, 0)
"""SO_LINGER with a timeout of 0, so that close() sends RST."""

CONNECTION_FAULTS = (
    Fault(
        "reset_before_reading",
        False,
        Trigger,
        "trigger: the connection is reset when a request arrives, before it is read",
    ),
    Fault(
        "silent_connections",
        False,
        one_of(False, True),
        "true: every connection open at this moment swallows everything from now on and stays "
        "open; connections opened later work",
    ),
    Fault(
        "black_hole",
        False,
        one_of(False, True),
        "true: every connection, old and new, swallows everything; ones that swallowed stay silent",
    ),
    Fault(
        "down",
        False,
        one_of(False, True),
        "true: open connections are reset, and new ones are reset after they are accepted",
    ),
)
"""Faults that every stand-in supports; they never affect administration connections."""


class StandIn(abc.ABC):
    """Base class of simulated servers, each listening on one address."""

    def __init__(
        self,
        *,
        faults: Iterable[Fault],
        generator: random.Random,
        connection_limit: int | None = None,
    ) -> None:
        """Creates a stand-in without connections.

        Args:
            faults: Faults in addition to `CONNECTION_FAULTS`.
            generator: Seeded generator for faults that affect a share of events.
            connection_limit: Maximum number of open connections, None for no limit.
        """
        self.generator = generator
        self.faults = FaultSet(faults=(*CONNECTION_FAULTS, *faults), generator=generator)
        self.connection_limit = connection_limit
        self.connections: set[Connection] = set()
        self.connections_opened = 0
        self.connections_peak = 0
        self.connections_refused = 0

    @abc.abstractmethod
    async def handle(
        self, connection: "Connection", scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Answers one request other than an administration request."""

    @abc.abstractmethod
    def counters(self, query: dict[str, str]) -> dict[str, Any]:
        """Returns the answer to `GET /admin/counters`."""

    @abc.abstractmethod
    def reset(self) -> None:
        """Clears state and counters; called after all faults are turned off."""

    def faults_will_change(self, names: set[str]) -> None:  # noqa: B027
        """Called before faults are set; for state that must be recorded at that point.

        Args:
            names: Faults named in the request.
        """

    def faults_changed(self, names: set[str]) -> None:  # noqa: B027
        """Called after faults are set; for faults that act immediately.

        Args:
            names: Faults named in the request.
        """

    async def administer(
        self, method: str, path: str, query: dict[str, str], body: Any
    ) -> tuple[int, Any] | None:
        """Answers an administration request specific to the stand-in.

        Args:
            method: HTTP method.
            path: Path that begins with /admin/.
            query: Query parameters.
            body: Decoded JSON body, or None.

        Returns:
            Status and JSON body, or None if method and path are unknown.
        """
        return None

    async def run(self) -> None:  # noqa: B027
        """Runs background work until cancelled; does nothing by default."""

    def connection_counters(self) -> dict[str, int]:
        """Returns the numbers of connections opened, open now, open at most and refused."""
        return {
            "opened": self.connections_opened,
            "now": len(self.connections),
            "peak": self.connections_peak,
            "refused": self.connections_refused,
        }

    def register(self, connection: "Connection") -> bool:
        """Registers an ordinary connection; returns False if it is refused and must be reset."""
        if self.faults.value("down"):
            self.connections_refused += 1
            return False
        if self.connection_limit is not None and len(self.connections) >= self.connection_limit:
            self.connections_refused += 1
            return False
        self.connections.add(connection)
        self.connections_opened += 1
        self.connections_peak = max(self.connections_peak, len(self.connections))
        return True

    def _apply_connection_faults(self, names: set[str]) -> None:
        if "silent_connections" in names and self.faults.value("silent_connections"):
            for connection in list(self.connections):
                connection.black_hole()
            self.faults.update({"silent_connections": None})
        if self.faults.value("black_hole"):
            for connection in list(self.connections):
                connection.black_hole()
        if self.faults.value("down"):
            for connection in list(self.connections):
                connection.reset()

    async def _serve_administration(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        method, path = scope["method"], scope["path"]
        query = query_parameters(scope)
        content = await read_body(receive)
        try:
            body = msgspec.json.decode(content) if content else None
            answer = await self._answer_administration(method, path, query, body)
        except (FaultError, msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
            answer = 400, {"error": str(error)}
        if answer is None:
            answer = 404, {"error": f"{method} {path} does not exist"}
        await send_json(send, answer[0], answer[1])

    async def _answer_administration(
        self, method: str, path: str, query: dict[str, str], body: Any
    ) -> tuple[int, Any] | None:
        match method, path:
            case "GET", "/admin/faults":
                return 200, self.faults.describe()
            case "PUT", "/admin/faults":
                if not isinstance(body, dict):
                    raise FaultError("expected a JSON object of faults")
                self.faults_will_change(set(body))
                self.faults.update(body)
                self._apply_connection_faults(set(body))
                self.faults_changed(set(body))
                return 200, self.faults.json_by_name
            case "GET", "/admin/counters":
                return 200, {"connections": self.connection_counters(), **self.counters(query)}
            case "POST", "/admin/reset":
                self.faults.clear()
                self.connections_peak = len(self.connections)
                self.connections_opened = self.connections_refused = 0
                self.reset()
                return 200, {}
        return await self.administer(method, path, query, body)


class Connection(HttpToolsProtocol):
    """A uvicorn connection that faults can refuse, reset or black-hole."""

    stand_in: StandIn
    """Stand-in that listens on the local port of the connection."""
    on_disconnect: Callable[[], None] | None
    """Called once when the connection closes; set by the request in progress."""
    answered: bool
    """Whether the stand-in has begun to answer a request on this connection."""

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Looks up the stand-in by port and starts the classification timeout."""
        super().connection_made(transport)
        self.on_disconnect = None
        self.answered = False
        self._black_holed = False
        self._is_administration = False
        self._is_classified = False
        assert self.server is not None and self.server[1] is not None
        router = cast(_PortRouter, self.config.app)
        self.stand_in = router.stand_in_by_port[self.server[1]]
        self.app = functools.partial(_answer, self.stand_in, self)
        # The connection limit doesn't apply to administration, so it is enforced only when the path
        # of the first request is known, or after the timeout.
        self._classification_timer = self.loop.call_later(
            _CLASSIFICATION_TIMEOUT_SECONDS, self._classify, b""
        )

    def data_received(self, data: bytes) -> None:
        """Passes received bytes to the HTTP parser, unless a fault affects them."""
        if not self._is_classified:
            self._classify(data)
        if self._black_holed or self.transport.is_closing():
            return
        idle = self.cycle is None or self.cycle.response_complete
        if (
            not self._is_administration
            and idle
            and self.stand_in.faults.fires("reset_before_reading")
        ):
            self.reset()
            return
        super().data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregisters the connection and notifies the request in progress."""
        self._classification_timer.cancel()
        self.stand_in.connections.discard(self)
        super().connection_lost(exc)
        if self.on_disconnect is not None:
            self.on_disconnect()

    def black_hole(self) -> None:
        """Discards all further data in both directions and leaves the connection open."""
        self._black_holed = True
        self._unset_keepalive_if_required()
        if self.cycle is not None:
            # uvicorn discards what is sent on a disconnected request cycle.
            self.cycle.disconnected = True

    def reset(self) -> None:
        """Closes the connection with RST."""
        raw_socket = self.transport.get_extra_info("socket")
        if raw_socket is not None and not self.transport.is_closing():
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        self.transport.abort()

    def close(self) -> None:
        """Closes the connection after sending what has been written."""
        self.transport.close()

    def _classify(self, data: bytes) -> None:
        self._is_classified = True
        self._classification_timer.cancel()
        self._is_administration = data.partition(b" ")[2].startswith(b"/admin/")
        if self._is_administration:
            return
        if not self.stand_in.register(self):
            self.reset()
        elif self.stand_in.faults.value("black_hole"):
            self.black_hole()


class _PortRouter:
    """Application object for uvicorn; connections look up their stand-in in it by port."""

    def __init__(self) -> None:
        self.stand_in_by_port: dict[int, StandIn] = {}

    async def __call__(self, scope: Any, receive: Receive, send: Send) -> None:
        raise RuntimeError("application called directly; each connection calls its own stand-in")


async def _answer(
    stand_in: StandIn,
    connection: Connection,
    scope: dict[str, Any],
    receive: Receive,
    send: Send,
) -> None:
    if scope["path"].startswith("/admin/"):
        await stand_in._serve_administration(scope, receive, send)
    else:
        await stand_in.handle(connection, scope, receive, send)


async def serve(listeners: Sequence[tuple[str, str, StandIn]]) -> None:
    """Serves stand-ins until SIGTERM or SIGINT.

    When all are ready, prints a line `{"listening": "ip:port", "id": ..., "of": number of lines}`
    for each.

    Args:
        listeners: For each stand-in the address to listen on (port 0 lets the kernel choose), its
            id and the stand-in.
    """
    router = _PortRouter()
    config = uvicorn.Config(
        router,
        http=Connection,
        ws="none",
        interface="asgi3",
        lifespan="off",
        log_config=None,
        access_log=False,
        proxy_headers=False,
        server_header=False,
        date_header=False,
        backlog=_BACKLOG,
        timeout_keep_alive=_KEEP_ALIVE_TIMEOUT_SECONDS,
        timeout_graceful_shutdown=0,
    )
    # Injected faults break connections, and uvicorn would log an error for each.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    sockets = []
    lines = []
    for listen, name, stand_in in listeners:
        listener = socket.create_server(parse_address(listen), backlog=_BACKLOG)
        host, port = listener.getsockname()[:2]
        router.stand_in_by_port[port] = stand_in
        sockets.append(listener)
        ready = {"listening": f"{host}:{port}", "id": name, "of": len(listeners)}
        lines.append(json.dumps(ready))
    server = uvicorn.Server(config)
    async with anyio.create_task_group() as group:
        for _address, _name, stand_in in listeners:
            group.start_soon(stand_in.run)
        group.start_soon(_print_ready_lines, server, lines)
        await server.serve(sockets=sockets)
        group.cancel_scope.cancel()


async def _print_ready_lines(server: uvicorn.Server, lines: list[str]) -> None:
    while not server.started:
        await anyio.sleep(0.005)
    print("\n".join(lines), flush=True)
