"""HTTP server that stand-ins share: uvicorn, with faults of connections."""

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

_CLASSIFY_SECONDS = 0.05
"""A connection without a request after this time counts as an ordinary one."""
_KEEP_ALIVE_SECONDS = 3600
"""Idle connections stay open: closing them is a fault that tests ask for."""
_BACKLOG = 2048
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER with a timeout of 0, so that closing sends RST."""

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
"""Faults that every stand-in has; administration connections are never struck."""


class StandIn(abc.ABC):
    """A simulated server that listens on one address."""

    def __init__(
        self,
        *,
        faults: Iterable[Fault],
        generator: random.Random,
        connection_limit: int | None = None,
    ) -> None:
        """Creates a stand-in without connections.

        Args:
            faults: Its own faults; those of connections are added.
            generator: Seeded generator for faults that strike a share.
            connection_limit: Connections that it accepts, None for any number.
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
        """Answers one request that is not for administration."""

    @abc.abstractmethod
    def counters(self, query: dict[str, str]) -> dict[str, Any]:
        """Returns the answer to `GET /admin/counters`."""

    @abc.abstractmethod
    def reset(self) -> None:
        """Clears what the stand-in holds and counted; its faults are already off."""

    def faults_will_change(self, names: set[str]) -> None:  # noqa: B027
        """Records what must be known from before faults are set.

        Args:
            names: Faults named in the request.
        """

    def faults_changed(self, names: set[str]) -> None:  # noqa: B027
        """Acts on faults that were just set.

        Args:
            names: Faults named in the request.
        """

    async def administer(
        self, method: str, path: str, query: dict[str, str], body: Any
    ) -> tuple[int, Any] | None:
        """Answers a further administration request.

        Args:
            method: HTTP method.
            path: Path that starts with /admin/.
            query: Query parameters.
            body: Decoded JSON body, or None.

        Returns:
            Status and JSON body, or None if the path does not exist.
        """
        return None

    async def run(self) -> None:  # noqa: B027
        """Does periodic work until cancelled; does nothing by default."""

    def connection_counters(self) -> dict[str, int]:
        """Returns how many connections were opened, are open, were open at most, were refused."""
        return {
            "opened": self.connections_opened,
            "now": len(self.connections),
            "peak": self.connections_peak,
            "refused": self.connections_refused,
        }

    def admit(self, connection: "Connection") -> bool:
        """Counts an ordinary connection; returns False if it must be reset."""
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

    def _act_on_connections(self, names: set[str]) -> None:
        if "silent_connections" in names and self.faults.value("silent_connections"):
            for connection in list(self.connections):
                connection.silence()
            self.faults.update({"silent_connections": None})
        if self.faults.value("black_hole"):
            for connection in list(self.connections):
                connection.silence()
        if self.faults.value("down"):
            for connection in list(self.connections):
                connection.reset()

    async def _administer(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        method, path = scope["method"], scope["path"]
        query = query_parameters(scope)
        text = await read_body(receive)
        try:
            body = msgspec.json.decode(text) if text else None
            answer = await self._administration_answer(method, path, query, body)
        except (FaultError, msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
            answer = 400, {"error": str(error)}
        if answer is None:
            answer = 404, {"error": f"{method} {path} does not exist"}
        await send_json(send, answer[0], answer[1])

    async def _administration_answer(
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
                self._act_on_connections(set(body))
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
    """A connection of uvicorn that can be refused, reset or silenced."""

    stand_in: StandIn
    """Stand-in that listens on the port."""
    on_lost: Callable[[], None] | None
    """Called once when the connection closes; set by the request in progress."""
    answered: bool
    """Whether a request was answered, or began to be."""

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Finds the stand-in and waits for the first request."""
        super().connection_made(transport)
        self.on_lost = None
        self.answered = False
        self._silent = False
        self._admin = False
        self._classified = False
        assert self.server is not None and self.server[1] is not None
        router = cast(_PortRouter, self.config.app)
        self.stand_in = router.stand_in_by_port[self.server[1]]
        self.app = functools.partial(_answer, self.stand_in, self)
        # The limit doesn't apply to administration, so whether it is exceeded is known only once
        # the first request shows its path, or after a short silence.
        self._timer = self.loop.call_later(_CLASSIFY_SECONDS, self._classify, b"")

    def data_received(self, data: bytes) -> None:
        """Passes bytes on, unless a fault strikes."""
        if not self._classified:
            self._classify(data)
        if self._silent or self.transport.is_closing():
            return
        idle = self.cycle is None or self.cycle.response_complete
        if not self._admin and idle and self.stand_in.faults.fires("reset_before_reading"):
            self.reset()
            return
        super().data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the request in progress."""
        self._timer.cancel()
        self.stand_in.connections.discard(self)
        super().connection_lost(exc)
        if self.on_lost is not None:
            self.on_lost()

    def silence(self) -> None:
        """Swallows everything from now on, in both directions, without closing."""
        self._silent = True
        self._unset_keepalive_if_required()
        if self.cycle is not None:
            # uvicorn drops what is sent on a cycle that is disconnected.
            self.cycle.disconnected = True

    def reset(self) -> None:
        """Closes the connection with RST."""
        raw = self.transport.get_extra_info("socket")
        if raw is not None and not self.transport.is_closing():
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.transport.abort()

    def close(self) -> None:
        """Closes the connection after what was written is sent."""
        self.transport.close()

    def _classify(self, data: bytes) -> None:
        self._classified = True
        self._timer.cancel()
        self._admin = data.partition(b" ")[2].startswith(b"/admin/")
        if self._admin:
            return
        if not self.stand_in.admit(self):
            self.reset()
        elif self.stand_in.faults.value("black_hole"):
            self.silence()


class _PortRouter:
    """What uvicorn takes for the application; each connection finds its stand-in by port."""

    def __init__(self) -> None:
        self.stand_in_by_port: dict[int, StandIn] = {}

    async def __call__(self, scope: Any, receive: Receive, send: Send) -> None:
        raise RuntimeError("requests are answered by the stand-in of their connection")


async def _answer(
    stand_in: StandIn,
    connection: Connection,
    scope: dict[str, Any],
    receive: Receive,
    send: Send,
) -> None:
    if scope["path"].startswith("/admin/"):
        await stand_in._administer(scope, receive, send)
    else:
        await stand_in.handle(connection, scope, receive, send)


async def serve(stand_in_by_listen: Sequence[tuple[str, str, StandIn]]) -> None:
    """Serves stand-ins until SIGTERM or SIGINT.

    Prints a line `{"listening": "ip:port", "id": ..., "of": number of lines}` for each when all
    are ready.

    Args:
        stand_in_by_listen: Address to listen on (port 0 lets the kernel choose), id, stand-in.
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
        timeout_keep_alive=_KEEP_ALIVE_SECONDS,
        timeout_graceful_shutdown=0,
    )
    # Faults break connections on purpose; uvicorn would log each of them.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    sockets = []
    lines = []
    for listen, name, stand_in in stand_in_by_listen:
        listener = socket.create_server(parse_address(listen), backlog=_BACKLOG)
        host, port = listener.getsockname()[:2]
        router.stand_in_by_port[port] = stand_in
        sockets.append(listener)
        ready = {"listening": f"{host}:{port}", "id": name, "of": len(stand_in_by_listen)}
        lines.append(json.dumps(ready))
    server = uvicorn.Server(config)
    async with anyio.create_task_group() as group:
        for _listen, _name, stand_in in stand_in_by_listen:
            group.start_soon(stand_in.run)
        group.start_soon(_announce, server, lines)
        await server.serve(sockets=sockets)
        group.cancel_scope.cancel()


async def _announce(server: uvicorn.Server, lines: list[str]) -> None:
    while not server.started:
        await anyio.sleep(0.005)
    print("\n".join(lines), flush=True)
