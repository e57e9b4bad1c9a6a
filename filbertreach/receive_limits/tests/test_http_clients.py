"""Clients over httpcore whose servers send bytes without end."""

from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import pytest

from filbertreach.dispatch._errors import LeafError
from filbertreach.dispatch._exchange import new_connection, request
from filbertreach.document import Leaf
from filbertreach.observability import HttpServer, Receive, Scope, Send, respond
from filbertreach.platform import ExchangeError, HttpChannel
from filbertreach_standins import StandInProcess
from filbertreach_standins.endless import ENDLESS_RESPONSES
from filbertreach_standins.loop_watch import LoopWatch
from filbertreach_standins.ports import free_address

_CALLS = 16
_TIMEOUT_SECONDS = 1.0
_LATE_SECONDS = 0.5
"""Time after its timeout within which a request must be answered."""


async def _call_leaf(address: str) -> None:
    leaf = Leaf("a", address, "minho", "minho-1")
    connection = new_connection(leaf)
    try:
        with anyio.move_on_after(_TIMEOUT_SECONDS):
            with pytest.raises(LeafError):
                await request(connection=connection, leaf=leaf, method="GET", path="/", headers=[])
    finally:
        with anyio.CancelScope(shield=True):
            await connection.aclose()


async def _call_service(address: str) -> None:
    url = f"http://{address}"
    async with HttpChannel(base_url=url, timeout_seconds=_TIMEOUT_SECONDS) as channel:
        with pytest.raises(ExchangeError):
            await channel.exchange(method="GET", target="/")


@pytest.mark.parametrize("kind", sorted(set(ENDLESS_RESPONSES) - {"responses", "line ends"}))
@pytest.mark.parametrize("call", [_call_leaf, _call_service])
def test_a_response_without_end_does_not_block_the_event_loop(
    call: Callable[[str], Awaitable[None]], kind: str
) -> None:
    # Guards against a server whose bytes keep the process from answering everybody else.
    async def test(address: str) -> None:
        with LoopWatch() as watch:
            async with anyio.create_task_group() as group:
                for _ in range(_CALLS):
                    group.start_soon(call, address)
        assert watch.longest_seconds < _LATE_SECONDS

    with StandInProcess(module="endless", arguments=["--kind", kind]) as server:
        anyio.run(test, server.control.address)


@pytest.mark.parametrize("kind", ["responses", "line ends"])
@pytest.mark.parametrize("call", ["leaf", "service"])
def test_bytes_behind_a_response_are_not_taken_for_the_next_one(call: str, kind: str) -> None:
    # Guards against bytes that belong to no request and are parsed for ever.
    async def test(address: str) -> None:
        with LoopWatch() as watch:
            if call == "service":
                url = f"http://{address}"
                async with HttpChannel(base_url=url, timeout_seconds=1.0) as channel:
                    for _ in range(20):
                        response = await channel.exchange(method="GET", target="/")
                        assert response.body == b"ok"
                        await anyio.sleep(0.01)
            else:
                leaf = Leaf("a", address, "minho", "minho-1")
                connection = new_connection(leaf)
                response = await request(
                    connection=connection, leaf=leaf, method="GET", path="/", headers=[]
                )
                assert response.body == b"ok"
                await anyio.sleep(0.3)
                assert connection.has_expired()
                await connection.aclose()
        assert watch.longest_seconds < _LATE_SECONDS

    with StandInProcess(module="endless", arguments=["--kind", kind]) as server:
        anyio.run(test, server.control.address)


def test_a_response_that_states_too_large_a_body_is_rejected_at_once() -> None:
    # Guards against megabytes that are read before a call fails, until its deadline has passed.
    async def serve(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await stream.receive()
            await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 40000000\r\n\r\n")
            await anyio.sleep_forever()

    async def run() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve)
            url = f"http://127.0.0.1:{port}"
            async with HttpChannel(base_url=url, timeout_seconds=60.0) as channel:
                with anyio.fail_after(30.0), pytest.raises(ExchangeError, match="exceeds"):
                    await channel.exchange(method="GET", target="/")
            group.cancel_scope.cancel()

    anyio.run(run)


def test_a_large_response_does_not_wait_behind_those_without_end() -> None:
    # Guards against a listing of the store that is late because a leaf sends chunks of one byte.
    content = b"x" * 4_000_000

    async def application(scope: Scope, receive: Receive, send: Send) -> None:
        await respond(send, 200, content, "text/plain")

    async def read_beside_endless_ones(endless_address: str) -> None:
        address = free_address()
        server = HttpServer(address=address, application=application, drain_seconds=1.0)
        async with anyio.create_task_group() as group:
            await group.start(server.run)
            for _ in range(_CALLS):
                group.start_soon(_call_leaf, endless_address)
            async with HttpChannel(base_url=f"http://{address}", timeout_seconds=5.0) as channel:
                response = await channel.exchange(method="GET", target="/")
            assert response.body == content
            server.stop()

    arguments = ["--kind", "chunks of one byte"]
    with StandInProcess(module="endless", arguments=arguments) as server:
        anyio.run(read_beside_endless_ones, server.control.address)
