"""The graceful stop and the limits of the HTTP server, over loopback sockets."""

import contextlib
import socket
from collections.abc import Awaitable, Callable
from unittest import mock

import anyio
import anyio.to_thread
import pytest

from filbertreach.observability import (
    FIRST_REQUEST_EXTENSION,
    RECEIVED_EXTENSION,
    ROUND_TRIP_EXTENSION,
    Application,
    ClientDisconnectedError,
    HttpServer,
    Receive,
    RequestTooLargeError,
    Scope,
    Send,
    read_request_body,
    respond,
)
from filbertreach.receive_limits import MemoryBudget
from filbertreach.timing import SystemClock
from filbertreach_standins import StandInProcess
from filbertreach_standins.endless import ENDLESS_REQUESTS
from filbertreach_standins.loop_watch import LoopWatch
from filbertreach_standins.ports import free_address

_SECONDS = 10.0
"""Timeout of each test; a test that passes does not wait for it."""
_REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


async def _application(scope: Scope, receive: Receive, send: Send) -> None:
    await respond(send, 200, b"served", "text/plain")


async def _reading_application(scope: Scope, receive: Receive, send: Send) -> None:
    """Reads the body of a request before it answers."""
    try:
        await read_request_body(receive, max_bytes=1_000_000)
    except ClientDisconnectedError:
        return
    except RequestTooLargeError:
        await respond(send, 413, b"too large", "text/plain")
        return
    await respond(send, 200, b"served", "text/plain")


async def _with_server(
    test: Callable[[HttpServer, tuple[str, int]], Awaitable[None]], application: Application
) -> None:
    address = free_address()
    host, port = address.split(":")
    server = HttpServer(address=address, application=application, drain_seconds=2.0)
    with anyio.fail_after(_SECONDS):
        async with anyio.create_task_group() as group:
            await group.start(server.run)
            await test(server, (host, int(port)))


def _connect(address: tuple[str, int]) -> socket.socket:
    return socket.create_connection(address, timeout=_SECONDS)


async def _receive_answer(connection: socket.socket) -> None:
    """Fails if the connection ends before the answer is complete."""
    data = b""
    while not data.endswith(b"served"):
        chunk = await anyio.to_thread.run_sync(connection.recv, 65536)
        assert chunk, "the connection was closed without a complete answer"
        data += chunk


def _run(
    test: Callable[[HttpServer, tuple[str, int]], Awaitable[None]],
    use_uvloop: bool,
    application: Application = _application,
) -> None:
    anyio.run(_with_server, test, application, backend_options={"use_uvloop": use_uvloop})


_event_loops = pytest.mark.parametrize("use_uvloop", [False, True])


@_event_loops
@pytest.mark.parametrize("count", [1, 50])
def test_a_request_in_the_backlog_of_a_stopping_server_is_answered(
    count: int, use_uvloop: bool
) -> None:
    # Guards against resetting connections that the system has accepted but the process has not.
    async def test(server: HttpServer, address: tuple[str, int]) -> None:
        # No await between connecting and stopping, so the server can't accept the connections.
        connections = [_connect(address) for _ in range(count)]
        for connection in connections:
            connection.sendall(_REQUEST)
        server.stop()
        for connection in connections:
            await _receive_answer(connection)

    _run(test, use_uvloop)


@_event_loops
@pytest.mark.parametrize("used_before", [False, True])
@pytest.mark.parametrize("part_sent", [0, 10, len(_REQUEST)])
def test_a_request_on_its_way_to_a_stopping_server_is_answered(
    used_before: bool, part_sent: int, use_uvloop: bool
) -> None:
    # Guards against closing a connection whose request is in the receive buffer or half read.
    async def test(server: HttpServer, address: tuple[str, int]) -> None:
        connection = _connect(address)
        if used_before:
            connection.sendall(_REQUEST)
            await _receive_answer(connection)
        else:
            await anyio.sleep(0.05)
        connection.sendall(_REQUEST[:part_sent])
        server.stop()
        await anyio.sleep(0.05)
        connection.sendall(_REQUEST[part_sent:])
        # The process ends once the server has stopped, so the answer has to be sent by then.
        await server.wait_stopped()
        await _receive_answer(connection)

    _run(test, use_uvloop)


@_event_loops
def test_a_stopped_server_refuses_connections(use_uvloop: bool) -> None:
    async def test(server: HttpServer, address: tuple[str, int]) -> None:
        server.stop()
        with pytest.raises(ConnectionRefusedError):
            _connect(address)

    _run(test, use_uvloop)


_CHUNKED = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


@_event_loops
@pytest.mark.parametrize(
    ("start", "unit"),
    [
        (b"GET / HTTP/1.1\r\n", b"a: b\r\n"),
        (b"GET / HTTP/1.1\r\na: ", b"x"),
        (b"GET /", b"x"),
        (_CHUNKED + b"1;", b"x"),
        (_CHUNKED + b"0\r\n", b"a: b\r\n"),
    ],
    ids=["headers", "one header", "path", "chunk extension", "trailers"],
)
def test_a_request_without_end_closes_its_connection(
    start: bytes, unit: bytes, use_uvloop: bool
) -> None:
    # Guards against a client that uses up the memory of the process.
    async def test(server: HttpServer, address: tuple[str, int]) -> None:
        def send_without_end() -> int:
            sent = 0
            with _connect(address) as connection:
                try:
                    connection.sendall(start)
                    while sent < 64 * 1024 * 1024:
                        connection.sendall(unit * (65536 // len(unit)))
                        sent += 65536
                except OSError:
                    pass
            return sent

        sent = await anyio.to_thread.run_sync(send_without_end)
        # Buffers of the system hold some megabytes beyond what the server has read.
        assert sent < 32 * 1024 * 1024
        connection = _connect(address)
        connection.sendall(_REQUEST)
        await _receive_answer(connection)
        server.stop()

    _run(test, use_uvloop)


_LATE_SECONDS = 0.5
"""Time after its timeout within which a request must be answered."""


@_event_loops
@pytest.mark.parametrize("kind", ENDLESS_REQUESTS)
def test_requests_without_end_do_not_block_the_event_loop(kind: str, use_uvloop: bool) -> None:
    # Guards against clients whose bytes keep the process from answering everybody else.
    async def test(server: HttpServer, address: tuple[str, int]) -> None:
        arguments = ["--kind", kind, "--call", f"{address[0]}:{address[1]}", "--connections", "24"]
        with StandInProcess(module="endless", arguments=arguments), LoopWatch() as watch:
            for _ in range(5):
                await anyio.sleep(0.2)
                with _connect(address) as connection:
                    connection.sendall(_REQUEST)
                    await _receive_answer(connection)
        assert watch.longest_seconds < _LATE_SECONDS
        server.stop()

    _run(test, use_uvloop, _reading_application)


@_event_loops
def test_incomplete_requests_are_bounded_together(use_uvloop: bool) -> None:
    # Guards against many clients that each send only as much as one request may have.
    async def test(server: HttpServer, address: tuple[str, int]) -> None:
        connections = [_connect(address) for _ in range(80)]
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n"
        for connection in connections:
            await anyio.to_thread.run_sync(connection.sendall, head + bytes(60_000))
        await anyio.sleep(0.2)
        assert memory.held_bytes <= _MEMORY_BYTES
        refused = 0
        for connection in connections:
            connection.setblocking(False)
            with contextlib.suppress(BlockingIOError, ConnectionResetError), connection:
                refused += connection.recv(65536).startswith(b"HTTP/1.1 503 ")
        assert refused >= 40
        server.stop()

    memory = MemoryBudget(max_bytes=_MEMORY_BYTES)
    with mock.patch("filbertreach.observability._http_protocol._REQUEST_MEMORY", memory):
        _run(test, use_uvloop, _reading_application)


@_event_loops
def test_requests_that_wait_for_a_response_are_bounded(use_uvloop: bool) -> None:
    # Guards against a client that sends requests without waiting, each of which takes memory.
    async def test(server: HttpServer, address: tuple[str, int]) -> None:
        servers.append(server)
        with _connect(address) as connection:
            connection.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                while True:
                    connection.send(_REQUEST * 1000)
            await anyio.sleep(0.5)
            with LoopWatch() as watch:
                answer.set()
                await anyio.sleep(0.5)
            assert watch.longest_seconds < _LATE_SECONDS
            assert max(waiting) <= 4096 // len(_REQUEST) + 8
        server.stop()

    async def application(scope: Scope, receive: Receive, send: Send) -> None:
        async with anyio.create_task_group() as group:
            # Watches for a disconnect, as the gateway does; uvicorn reads on for it.
            group.start_soon(receive)
            await answer.wait()
            group.cancel_scope.cancel()
        connections = servers[0]._server.server_state.connections
        waiting.extend(len(connection.pipeline) for connection in connections)
        await respond(send, 200, b"served", "text/plain")

    answer = anyio.Event()
    servers: list[HttpServer] = []
    waiting: list[int] = []
    _run(test, use_uvloop, application)


_MEMORY_BYTES = 2_000_000
_STALL_SECONDS = 0.3


@_event_loops
@pytest.mark.parametrize(
    "sent",
    [_REQUEST[:10], b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf"],
    ids=["head", "body"],
)
def test_a_connection_that_stalls_within_a_request_is_closed(sent: bytes, use_uvloop: bool) -> None:
    # Guards against descriptors that are taken for ever by clients whose connections went silent.
    async def test(server: HttpServer, address: tuple[str, int]) -> None:
        stalled, idle = _connect(address), _connect(address)
        stalled.sendall(sent)
        with contextlib.suppress(ConnectionResetError):
            while await anyio.to_thread.run_sync(stalled.recv, 65536):
                pass
        # A connection without a request is not closed by it.
        idle.sendall(_REQUEST)
        await _receive_answer(idle)
        server.stop()

    with mock.patch("filbertreach.observability._http_protocol._STALL_SECONDS", _STALL_SECONDS):
        _run(test, use_uvloop)


@_event_loops
def test_a_slow_request_is_read_as_long_as_it_goes_on(use_uvloop: bool) -> None:
    async def test(server: HttpServer, address: tuple[str, int]) -> None:
        connection = _connect(address)
        for begin in range(0, len(_REQUEST), 4):
            connection.sendall(_REQUEST[begin : begin + 4])
            await anyio.sleep(_STALL_SECONDS / 5)
        await _receive_answer(connection)
        server.stop()

    with mock.patch("filbertreach.observability._http_protocol._STALL_SECONDS", _STALL_SECONDS):
        _run(test, use_uvloop)


@_event_loops
def test_a_response_that_the_client_does_not_take_ends(use_uvloop: bool) -> None:
    # Guards against requests that are in progress for ever as their callers went silent.
    async def test(server: HttpServer, address: tuple[str, int]) -> None:
        connection = _connect(address)
        connection.sendall(_REQUEST)
        await ended.wait()
        server.stop()

    ended = anyio.Event()

    async def application(scope: Scope, receive: Receive, send: Send) -> None:
        try:
            await send({"type": "http.response.start", "status": 200, "headers": []})
            for _ in range(8):
                # A part waits until the client has taken most of the ones before it.
                await send(
                    {"type": "http.response.body", "body": bytes(2_000_000), "more_body": True}
                )
        finally:
            ended.set()

    with mock.patch("filbertreach.observability._http_protocol._STALL_SECONDS", _STALL_SECONDS):
        _run(test, use_uvloop, application)


@_event_loops
def test_the_first_request_on_a_connection_is_marked(use_uvloop: bool) -> None:
    # Guards against a reserve that can't tell that the caller has just waited for a handshake.
    marked: list[bool] = []
    round_trips: list[float | None] = []
    received: list[float] = []

    async def application(scope: Scope, receive: Receive, send: Send) -> None:
        extensions = scope.get("extensions", {})
        marked.append(FIRST_REQUEST_EXTENSION in extensions)
        received.append(extensions[RECEIVED_EXTENSION]["at"])
        round_trips.append(extensions.get(ROUND_TRIP_EXTENSION, {}).get("seconds"))
        await respond(send, 200, b"served", "text/plain")

    async def test(server: HttpServer, address: tuple[str, int]) -> None:
        for _ in range(2):
            with contextlib.closing(_connect(address)) as connection:
                for _ in range(2):
                    connection.sendall(_REQUEST)
                    await _receive_answer(connection)
        server.stop()

    _run(test, use_uvloop, application)
    assert marked == [True, False, True, False]
    assert received == sorted(received)
    assert received[-1] <= SystemClock().now()
    if hasattr(socket, "TCP_INFO"):
        assert all(seconds is not None and 0.0 < seconds < 1.0 for seconds in round_trips)


@pytest.mark.skipif(not hasattr(socket, "TCP_INFO"), reason="only Linux states round trips")
@_event_loops
def test_a_caller_that_pauses_seems_no_farther_away(use_uvloop: bool) -> None:
    # Guards against a reserve that counts delayed acknowledgements: with 20 ms between an answer
    # and the next request, the smoothed round trip rises to 20 ms on loopback.
    round_trips: list[float] = []

    async def application(scope: Scope, receive: Receive, send: Send) -> None:
        round_trips.append(scope["extensions"][ROUND_TRIP_EXTENSION]["seconds"])
        await respond(send, 200, b"served", "text/plain")

    async def test(server: HttpServer, address: tuple[str, int]) -> None:
        with contextlib.closing(_connect(address)) as connection:
            for _ in range(20):
                connection.sendall(_REQUEST)
                await _receive_answer(connection)
                await anyio.sleep(0.02)
        server.stop()

    _run(test, use_uvloop, application)
    assert round_trips[-1] <= round_trips[0]
