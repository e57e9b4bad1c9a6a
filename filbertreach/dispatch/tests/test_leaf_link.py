"""Connections of a link to a leaf, with HTTP connections that do nothing."""

import itertools
from collections.abc import Awaitable, Callable
from typing import cast
from unittest import mock

import anyio
import httpcore

from filbertreach.decisions import LeafTracker
from filbertreach.dispatch._leaf_link import LeafLink
from filbertreach.dispatch._pending import Attempt
from filbertreach.document import Leaf, Pool
from filbertreach.timing import FakeClock

_SECONDS = 10.0
"""Timeout of each test; a test that passes does not wait for it."""


class _Http:
    """An HTTP connection that can't be opened and does not expire."""

    def has_expired(self) -> bool:
        return False

    async def handle_async_request(self, _request: httpcore.Request) -> None:
        raise httpcore.ConnectError

    async def aclose(self) -> None:
        pass


class _Service:
    """Serves attempts at once, and records the connection that carried each of them."""

    def __init__(self) -> None:
        self.connections: list[object] = []
        self._numbers = itertools.count()

    async def serve(self, http: httpcore.AsyncHTTPConnection, _attempt: Attempt) -> bool:
        self.connections.append(http)
        return True

    async def send(self, link: LeafLink) -> object:
        """Sends an attempt; returns the connection that carried it."""
        link.assign(cast(Attempt, mock.Mock(call_id=str(next(self._numbers)))))
        await anyio.wait_all_tasks_blocked()
        return self.connections[-1]


async def _with_link(test: Callable[[LeafLink, _Service, FakeClock], Awaitable[None]]) -> None:
    clock, service = FakeClock(start=100.0), _Service()
    leaf = Leaf("a", "127.0.0.1:1", "minho", "minho-1")
    link = LeafLink(
        tracker=LeafTracker(leaf=leaf, pool=Pool("fleet", 2, 6, 1.0)),
        serve=service.serve,
        on_idle=lambda: None,
        is_owner=lambda: True,
        health_seconds=1000.0,
        clock=clock,
    )
    with anyio.fail_after(_SECONDS):
        async with link:
            await anyio.wait_all_tasks_blocked()
            await test(link, service, clock)


def test_idle_connections_are_replaced_after_one_went_silent() -> None:
    # Guards against a request lost on each connection in turn, after all of them went silent.
    async def test(link: LeafLink, service: _Service, clock: FakeClock) -> None:
        before = await service.send(link)
        assert await service.send(link) is before
        clock.advance(1.0)
        link.record_silence()
        after = await service.send(link)
        assert after is not before
        clock.advance(1.0)
        assert await service.send(link) is after

    with mock.patch("filbertreach.dispatch._leaf_link.new_connection", lambda _leaf: _Http()):
        anyio.run(_with_link, test)
