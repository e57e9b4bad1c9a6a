"""Whether a leaf that closed a connection has ended, over loopback sockets."""

import asyncio
import socket

import anyio

from filbertreach.quarantine._leaf_checks import LeafChecks
from filbertreach.timing import SystemClock
from filbertreach_standins.ports import free_address


def _check(address: str, *, requests: int = 1) -> list[bool]:
    results: list[bool] = []

    async def run() -> None:
        async with anyio.create_task_group() as group:
            checks = LeafChecks(clock=SystemClock(), spawn=lambda task: group.start_soon(task))
            for _ in range(requests):
                checks.check(("x", 1), address, results.append)

    anyio.run(run)
    return results


def test_a_leaf_that_refuses_connections_has_ended() -> None:
    # Guards against losses that are never counted.
    assert _check(free_address(), requests=3) == [True] * 3


def test_a_leaf_that_accepts_connections_lives() -> None:
    # Guards against answers that a leaf breaks off, or a cut link, taken for the end of the leaf.
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
        assert _check(f"{host}:{port}") == [False]


def test_a_leaf_that_resets_connections_above_its_limit_lives() -> None:
    # Guards against a quarantine of requests during an overload.
    async def run() -> list[bool]:
        def reset(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.transport.abort()

        results: list[bool] = []
        server = await asyncio.start_server(reset, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        async with anyio.create_task_group() as group:
            checks = LeafChecks(clock=SystemClock(), spawn=lambda task: group.start_soon(task))
            checks.check(("x", 1), f"{host}:{port}", results.append)
        server.close()
        return results

    assert anyio.run(run) == [False]


def test_a_leaf_that_lives_is_not_checked_again_at_once() -> None:
    # Guards against checks that take the connections of a leaf which is short of them.
    opened: list[object] = []

    async def run() -> None:
        def count(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            opened.append(writer)
            writer.transport.abort()

        server = await asyncio.start_server(count, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        async with anyio.create_task_group() as group:
            checks = LeafChecks(clock=SystemClock(), spawn=lambda task: group.start_soon(task))
            for _ in range(3):
                checks.check(("x", 1), f"{host}:{port}", lambda ended: None)
                await anyio.sleep(0.07)
        server.close()

    anyio.run(run)
    assert 1 <= len(opened) <= 3


def test_a_listener_that_closes_after_the_connection_is_noticed() -> None:
    # Guards against a process that ends and closes its sockets one after the other.
    results: list[bool] = []

    async def run() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        host, port = listener.getsockname()
        async with anyio.create_task_group() as group:
            checks = LeafChecks(clock=SystemClock(), spawn=lambda task: group.start_soon(task))
            checks.check(("x", 1), f"{host}:{port}", results.append)
            await anyio.sleep(0.005)
            listener.close()

    anyio.run(run)
    assert results == [True]
