"""Connections to leaves that send bytes without end, as fast as they are taken."""

import anyio
import pytest

from filbertreach.document import Leaf
from filbertreach.gateway._exchange import Exchange, FaultKind, LeafFault
from filbertreach.gateway._leaf_connection import LeafConnection
from filbertreach.gateway._response_parser import RESPONSE_MEMORY
from filbertreach.platform import LeafAnswer
from filbertreach.timing import SystemClock
from filbertreach_standins import StandInProcess
from filbertreach_standins.endless import ENDLESS_RESPONSES
from filbertreach_standins.loop_watch import LoopWatch

_CONNECTIONS = 24
_TIMEOUT_SECONDS = 1.0
_LATE_SECONDS = 0.5
"""Time after its timeout within which a request must be answered."""


class _Owner:
    def on_idle(self, connection: LeafConnection) -> None:
        pass

    def on_idle_closed(self) -> None:
        pass

    def on_unusable(self, connection: LeafConnection) -> None:
        pass

    def on_closed(self, connection: LeafConnection) -> None:
        pass


class _Call:
    """A request on a connection of its own, abandoned at its timeout."""

    def __init__(self, address: str) -> None:
        self.result: LeafAnswer | LeafFault | None = None
        leaf = Leaf("a", address, "minho", "minho-1")
        self._connection = LeafConnection(leaf=leaf, owner=_Owner(), clock=SystemClock())
        self._connection.exchange = Exchange(
            request_id="one",
            method="GET",
            encode=lambda: b"GET / HTTP/1.1\r\nx-request-id: one\r\n\r\n",
            on_result=self._on_result,
            started_at=0.0,
        )

    def _on_result(self, exchange: Exchange, result: LeafAnswer | LeafFault) -> None:
        self.result = result

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._connection.run)
            await anyio.sleep(_TIMEOUT_SECONDS)
            self._connection.abandon(linger_seconds=0.0)


@pytest.mark.parametrize("use_uvloop", [False, True])
@pytest.mark.parametrize("kind", ENDLESS_RESPONSES)
def test_a_response_without_end_does_not_block_the_event_loop(kind: str, use_uvloop: bool) -> None:
    # Guards against leaves whose bytes keep the process from answering any caller in time.
    async def test(address: str) -> None:
        held_bytes = RESPONSE_MEMORY.held_bytes
        calls = [_Call(address) for _ in range(_CONNECTIONS)]
        with LoopWatch() as watch:
            async with anyio.create_task_group() as group:
                for call in calls:
                    group.start_soon(call.run)
        assert watch.longest_seconds < _LATE_SECONDS
        assert RESPONSE_MEMORY.held_bytes == held_bytes
        for call in calls:
            assert isinstance(call.result, LeafFault)
            # Abandoned while it waited for its turn, or rejected before.
            assert call.result.kind in (FaultKind.INVALID, FaultKind.CONNECTION_LOST)

    with StandInProcess(module="endless", arguments=["--kind", kind]) as server:
        anyio.run(test, server.control.address, backend_options={"use_uvloop": use_uvloop})
