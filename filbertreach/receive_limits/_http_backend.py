"""Network backend of httpcore whose streams limit what a response may cost."""

import time
from collections.abc import Iterable
from typing import Any

import anyio
import httpcore

from filbertreach.receive_limits._parse_turns import PARSE_TURNS, ParseTurns
from filbertreach.receive_limits._reads import limit_receive_buffer

_MIN_READ_BYTES = 256
_FIRST_READ_BYTES = 1024
_MAX_READ_BYTES = 8192
_CHEAP_SECONDS = 0.0005
"""Processor time for the bytes of one read up to which the next read may be larger."""
_EXPENSIVE_SECONDS = 0.002
"""Processor time for the bytes of one read from which the next read is smaller."""
_FREE_SECONDS = 0.02
_FREE_SECONDS_PER_BYTE = 0.2e-6
"""Processor time of a response that does not count as expensive. A body in large parts takes less
for each byte, chunks of one byte take much more."""


class _TurnEvent:
    """A task that waits for its turn."""

    def __init__(self) -> None:
        self.event = anyio.Event()
        self.is_refused = False

    def on_turn(self) -> None:
        self.event.set()

    def on_turn_refused(self) -> None:
        self.is_refused = True
        self.event.set()


class _LimitedStream(httpcore.AsyncNetworkStream):
    """A stream whose reads are limited in size, in number of bytes and in processor time.

    httpcore parses what a read returns before it reads again, and does not suspend its task
    meanwhile: the time between two reads is what the bytes cost.
    """

    def __init__(
        self, *, stream: httpcore.AsyncNetworkStream, max_response_bytes: int, turns: ParseTurns
    ) -> None:
        self._stream = stream
        self._max_response_bytes = max_response_bytes
        self._turns = turns
        self._begin_response()

    def _begin_response(self) -> None:
        self._read_bytes = _FIRST_READ_BYTES
        self._response_bytes = 0
        self._total_seconds = 0.0
        self._returned_at: float | None = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Reads some bytes, after those read before were parsed.

        Raises:
            httpcore.ReadError: The response is too large, or too expensive beside others.
        """
        if self._returned_at is not None:
            await self._count_parsing(time.thread_time() - self._returned_at)
        if self._response_bytes > self._max_response_bytes:
            raise httpcore.ReadError(f"response exceeds {self._max_response_bytes} bytes")
        data = await self._stream.read(min(max_bytes, self._read_bytes), timeout)
        self._response_bytes += len(data)
        self._returned_at = time.thread_time()
        return data

    async def _count_parsing(self, seconds: float) -> None:
        """Adapts the size of the next read to what the last one cost; waits if that was much."""
        if seconds > _EXPENSIVE_SECONDS:
            self._read_bytes = max(_MIN_READ_BYTES, self._read_bytes // 2)
        elif seconds < _CHEAP_SECONDS:
            self._read_bytes = min(_MAX_READ_BYTES, 2 * self._read_bytes)
        self._total_seconds += seconds
        if self._total_seconds <= _FREE_SECONDS + _FREE_SECONDS_PER_BYTE * self._response_bytes:
            return
        limit_receive_buffer(self._stream)
        turn = _TurnEvent()
        self._turns.wait(turn, seconds=seconds, total_seconds=self._total_seconds)
        await turn.event.wait()
        if turn.is_refused:
            raise httpcore.ReadError("too many responses are expensive to parse")

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Writes bytes of a request, which precede its response."""
        self._begin_response()
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Closes the connection."""
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Returns information about the connection; see httpcore."""
        return self._stream.get_extra_info(info)


class LimitedBackend(httpcore.AsyncNetworkBackend):
    """Opens connections whose responses are limited."""

    def __init__(self, *, max_response_bytes: int, turns: ParseTurns = PARSE_TURNS) -> None:
        """Creates a backend.

        Args:
            max_response_bytes: Bytes of a response with its head and framing.
            turns: Turns of responses that are expensive to parse.
        """
        self._backend = httpcore.AnyIOBackend()
        self._max_response_bytes = max_response_bytes
        self._turns = turns

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Opens a TCP connection; see httpcore."""
        stream = await self._backend.connect_tcp(
            host,
            port,
            timeout=timeout,
            local_address=local_address,
            socket_options=socket_options,
        )
        return _LimitedStream(
            stream=stream, max_response_bytes=self._max_response_bytes, turns=self._turns
        )

    async def sleep(self, seconds: float) -> None:
        """Waits."""
        await self._backend.sleep(seconds)
