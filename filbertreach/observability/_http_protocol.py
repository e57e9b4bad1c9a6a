"""HTTP connection of a server, with limits on what its client may cost the process."""

import asyncio
from collections.abc import Sized
from typing import Any, cast

from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from filbertreach.observability._logs import get_logger
from filbertreach.observability._round_trip import round_trip_seconds
from filbertreach.receive_limits import (
    MemoryBudget,
    MessageCost,
    SmallReads,
    limit_receive_buffer,
)
from filbertreach.timing import SystemClock

FIRST_REQUEST_EXTENSION = "filbertreach.first_request"
"""Extension in the ASGI scope of the first request on a connection."""
RECEIVED_EXTENSION = "filbertreach.received"
"""Extension in the ASGI scope whose `at` is the `SystemClock` when the request began to arrive."""
ROUND_TRIP_EXTENSION = "filbertreach.round_trip"
"""Extension in the ASGI scope whose `seconds` state the round trip of the connection, if known."""
_MAX_OVERHEAD_BYTES = 64 * 1024
"""Bytes of a request other than its body: request line, headers, chunk framing and trailers."""
_MAX_OVERHEAD_PER_BODY_BYTE = 8
"""Additional overhead for each byte of the body; a chunk of one byte has five bytes of framing."""
_HEADER_BYTES = 200
"""Memory that the objects of a header take beside its bytes."""
_MAX_PIPELINED = 8
"""Requests that wait for the response to the one before, from which nothing more is read."""
_PIPELINED_BYTES = 4096
"""Memory that the objects of a waiting request take."""
_MAX_HELD_BYTES = 32 * 1024 * 1024
"""Bytes of all requests that are incomplete or wait for the response to the one before."""
_STALL_SECONDS = 20.0
"""Time after which a connection is closed on which no more of a request arrives, or of whose
response the client takes nothing. A connection may go silent without being closed."""
_HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)
_OVERLOADED = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"content-length: 0\r\nretry-after: 1\r\nconnection: close\r\n\r\n"
)
"""For an incomplete request, of which the application has done nothing."""

_REQUEST_MEMORY = MemoryBudget(max_bytes=_MAX_HELD_BYTES)
_LOGGER = get_logger(__name__)


class _PacedFlow(FlowControl):
    """Reads only while neither uvicorn nor the limits of this process have paused it."""

    def __init__(self, transport: asyncio.Transport, *, pipeline: Sized) -> None:
        """Creates the flow of a connection.

        Args:
            transport: The connection.
            pipeline: Requests that wait for the response to the one before.
        """
        super().__init__(transport)
        self._pipeline = pipeline
        self._is_waiting = False

    def wait_for_turn(self) -> None:
        """Reads nothing until `on_turn`."""
        self._is_waiting = True
        limit_receive_buffer(self._transport)
        if not self.read_paused:
            self._transport.pause_reading()

    def on_turn(self) -> None:
        """Reads on, unless uvicorn has paused it."""
        self._is_waiting = False
        if not self.read_paused and not self._transport.is_closing():
            self._transport.resume_reading()

    def pause_reading(self) -> None:
        """Pauses reading for uvicorn."""
        if not self.read_paused:
            self.read_paused = True
            if not self._is_waiting:
                self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Ends the pause of uvicorn, which asks for it at each response, unless requests wait."""
        if self.read_paused and len(self._pipeline) < _MAX_PIPELINED:
            self.read_paused = False
            if not self._is_waiting:
                self._transport.resume_reading()


class _BoundedProtocol(HttpToolsProtocol):
    """Closes a connection whose request has no end, or that stalls within an exchange.

    uvicorn limits neither head, chunk framing and trailers of a request nor the time in which a
    request arrives and its response is taken. It does limit how much of a body is read before the
    application takes it, and the application limits the body.
    """

    flow: _PacedFlow
    _stall_timer: asyncio.TimerHandle | None = None
    _in_request = False
    _has_had_request = False
    _has_head = False
    _overhead_bytes = 0
    _body_bytes = 0
    _body_parts = 0
    _held_bytes = 0
    _cost: MessageCost
    _clock = SystemClock()

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Starts a connection."""
        super().connection_made(transport)
        self._cost = MessageCost()
        self.flow = _PacedFlow(transport, pipeline=self.pipeline)

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._in_request = True
        self._has_head = False
        self._overhead_bytes = self._body_bytes = self._body_parts = 0
        self._cost.begin_message()
        super().on_message_begin()
        extensions: dict[str, dict[str, float]] = {RECEIVED_EXTENSION: {"at": self._clock.now()}}
        if not self._has_had_request:
            self._has_had_request = True
            extensions[FIRST_REQUEST_EXTENSION] = {}
        if (seconds := round_trip_seconds(self.transport)) is not None:
            extensions[ROUND_TRIP_EXTENSION] = {"seconds": seconds}
        cast("dict[str, Any]", self.scope)["extensions"] = extensions

    def on_headers_complete(self) -> None:
        """Starts the application, or queues the request."""
        self._has_head = True
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Counts a chunk of the body."""
        self._body_parts += 1
        self._body_bytes += len(body)
        # Bytes of the body are no overhead; `data_received` adds them after the parser has run.
        self._overhead_bytes -= len(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Ends a request."""
        self._in_request = False
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Starts the next request that waits, if there is one."""
        super().on_response_complete()
        if self._held_bytes:
            self._hold()

    def data_received(self, data: bytes) -> None:
        """Parses bytes from the client, and checks the limits if the request is incomplete."""
        super().data_received(data)
        if not self.flow.write_paused:
            self._stop_stall_timer()
        if self.transport.is_closing():
            return
        if not self._in_request:
            if self._held_bytes or self.pipeline:
                self._hold()
            return
        self._start_stall_timer()
        self._overhead_bytes += len(data)
        max_bytes = _MAX_OVERHEAD_BYTES + _MAX_OVERHEAD_PER_BODY_BYTE * self._body_bytes
        if self._overhead_bytes > max_bytes:
            self._reject("request without end", _HEAD_TOO_LARGE)
        elif self._hold() and self._cost.is_expensive(self._events):
            self.flow.wait_for_turn()
            self._cost.wait(self, events=self._events)

    @property
    def _events(self) -> int:
        """Headers and parts of the body of the request."""
        return self._body_parts + len(self.headers)

    def _hold(self) -> bool:
        """Records the memory of the requests that are incomplete or wait; returns if it is left."""
        self._held_bytes = sum(_PIPELINED_BYTES + len(cycle.body) for cycle, _ in self.pipeline)
        if self._in_request:
            self._held_bytes += self._overhead_bytes + self._body_bytes
            self._held_bytes += _HEADER_BYTES * len(self.headers)
        if not self._held_bytes:
            _REQUEST_MEMORY.release(self)
            return True
        sender = self.client[0] if self.client else ""
        if _REQUEST_MEMORY.resize(self, sender=sender, byte_count=self._held_bytes):
            return True
        self.on_evicted()
        return False

    def on_evicted(self) -> None:
        """Rejects the request, because requests take too much memory together."""
        self._reject("requests exceed the memory for them", _OVERLOADED)

    def on_turn(self) -> None:
        """Reads on."""
        self.flow.on_turn()

    def on_turn_refused(self) -> None:
        """Rejects the request, because too many requests are expensive to parse."""
        self._reject("too many requests are expensive to parse", _OVERLOADED)

    def _reject(self, reason: str, response: bytes) -> None:
        """Closes the connection; responds if the next response is that to this request."""
        _LOGGER.warning("request rejected", client=self.client, reason=reason)
        if self.transport.is_closing():
            return
        if self._is_next_to_respond():
            self.transport.write(response)
        self.transport.close()

    def _is_next_to_respond(self) -> bool:
        if not self._in_request or self.pipeline:
            return False
        if not self._has_head:
            return self.cycle is None or self.cycle.response_complete
        return not self.cycle.response_started

    def pause_writing(self) -> None:
        """Waits until the client takes more of the response, for a limited time."""
        super().pause_writing()
        self._start_stall_timer()

    def resume_writing(self) -> None:
        """Ends the wait for the client."""
        self._stop_stall_timer()
        super().resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the exchange of a closed connection."""
        self._stop_stall_timer()
        _REQUEST_MEMORY.release(self)
        super().connection_lost(exc)

    def timeout_keep_alive_handler(self) -> None:
        """Closes an idle connection, also one whose last response the client did not take."""
        super().timeout_keep_alive_handler()
        if self.transport.get_write_buffer_size():
            self.transport.abort()

    def _start_stall_timer(self) -> None:
        self._stop_stall_timer()
        self._stall_timer = self.loop.call_later(_STALL_SECONDS, self._abort_stalled)

    def _stop_stall_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None

    def _abort_stalled(self) -> None:
        _LOGGER.warning("connection stalled", client=self.client, seconds=_STALL_SECONDS)
        self.transport.abort()


def create_protocol(**arguments: Any) -> SmallReads:
    """Creates the protocol of a connection; see `uvicorn.Config.http`."""
    return SmallReads(protocol=_BoundedProtocol(**arguments))
