"""One connection to a leaf, driven by one task."""

import asyncio
import re
from typing import Protocol

import anyio

from filbertreach.document import Leaf
from filbertreach.gateway._exchange import Exchange, FaultKind, LeafFault
from filbertreach.gateway._response_parser import (
    InvalidResponseError,
    RawResponse,
    ResponseParser,
)
from filbertreach.observability import get_logger
from filbertreach.platform import read_leaf_answer
from filbertreach.receive_limits import (
    LARGE_READ_BUFFER,
    READ_BUFFER,
    MessageCost,
    limit_receive_buffer,
)
from filbertreach.schema import parse_address
from filbertreach.timing import Clock

_CONNECT_TIMEOUT_SECONDS = 0.3
"""Enough for a connection to another region, which takes two network delays; shorter than the
retransmission of a lost packet, which takes seconds."""
_KEEP_ALIVE_MARGIN_SECONDS = 0.5
"""Final part of the leaf's announced keep-alive time in which an idle connection is not reused, as
the leaf may close it at the same moment."""
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")
_MAX_IDLE_SECONDS = 30.0
_MAX_DISCARDED_RESPONSES = 8
"""Responses to other requests that may arrive before the response to a request."""

_LOGGER = get_logger(__name__)


class ConnectionOwner(Protocol):
    """Receives the state changes of a connection."""

    def on_idle(self, connection: "LeafConnection") -> None:
        """Called when the connection can take a request."""

    def on_unusable(self, connection: "LeafConnection") -> None:
        """Called when the connection takes no further requests but is still open."""

    def on_idle_closed(self) -> None:
        """Called when the leaf has closed a connection without a request."""

    def on_closed(self, connection: "LeafConnection") -> None:
        """Called when the connection is closed."""


class LeafConnection(asyncio.BufferedProtocol):
    """Carries one exchange at a time.

    A task opens the connection, waits until it is closed and completes its exchange. Bytes are
    processed as they arrive, also while the connection is idle, so that a close or an unsolicited
    response is detected. A response that echoes another request id belongs to an earlier request
    and is discarded. This is an asyncio protocol rather than an anyio stream because waking a task
    for each message took a third of the processor time of a query.
    """

    def __init__(self, *, leaf: Leaf, owner: ConnectionOwner, clock: Clock) -> None:
        """Creates a connection; `run` opens it.

        Args:
            leaf: The leaf.
            owner: Notified when the connection becomes idle, unusable or closed.
            clock: Source of time.
        """
        self.leaf = leaf
        self.exchange: Exchange | None = None
        self._owner = owner
        self._clock = clock
        self._parser = ResponseParser(sender=leaf.id, on_evicted=self._on_evicted)
        self._cost = MessageCost()
        self._discarded_count = 0
        self._scope = anyio.CancelScope()
        self._transport: asyncio.Transport | None = None
        self._closed = asyncio.Event()
        self._idle_since = clock.now()
        self._idle_limit_seconds = _MAX_IDLE_SECONDS
        self._is_reusable = True
        self._fault_kind = FaultKind.UNREACHABLE

    @property
    def is_within_keep_alive(self) -> bool:
        """Whether the idle time is still below the keep-alive time that the leaf announced."""
        return self._clock.now() - self._idle_since < self._idle_limit_seconds

    async def run(self) -> None:
        """Opens the connection, sends the assigned exchange and returns once it is closed."""
        try:
            with self._scope:
                await self._connect_and_wait()
        except Exception as error:
            # The tasks of the other connections and of the process go on.
            _LOGGER.error(
                "connection to leaf failed", leaf=self.leaf.id, error=repr(error), exc_info=True
            )
        finally:
            exchange, self.exchange = self.exchange, None
            self._parser.close()
            self._owner.on_closed(self)
            if exchange is not None:
                exchange.complete(LeafFault(self._fault_kind, exchange.sent))

    def send(self, exchange: Exchange) -> None:
        """Sends a request on an idle connection.

        Args:
            exchange: The request, which receives the result.
        """
        assert self.exchange is None and self._transport is not None
        self.exchange = exchange
        self._write(self._transport, exchange)

    def abandon(self, *, linger_seconds: float) -> None:
        """Abandons the request; the connection is closed unless the answer arrives soon.

        Args:
            linger_seconds: Time in which the answer is still read, so that the connection can be
                reused, in seconds; 0 closes at once, which makes the leaf cancel the request.
        """
        if self.exchange is not None:
            self.exchange.abandoned = True
        if linger_seconds <= 0:
            self.close()
            return
        self._fault_kind = FaultKind.SILENT
        self._scope.deadline = min(self._scope.deadline, _loop_time() + linger_seconds)

    def close(self) -> None:
        """Closes the connection; a pending request fails as connection lost."""
        self._disable_reuse()
        self._scope.cancel()

    def _disable_reuse(self) -> None:
        if self._is_reusable:
            self._is_reusable = False
            self._owner.on_unusable(self)

    async def _connect_and_wait(self) -> None:
        host, port = parse_address(self.leaf.address)
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(_CONNECT_TIMEOUT_SECONDS):
                transport, _ = await loop.create_connection(lambda: self, host, port)
        except (OSError, TimeoutError):
            return
        self._fault_kind = FaultKind.CONNECTION_LOST
        self._transport = transport
        try:
            if self.exchange is not None and self.exchange.abandoned:
                self._finish_unsent(self.exchange)
            elif self.exchange is not None:
                self._write(transport, self.exchange)
            else:
                self._mark_idle()
            await self._closed.wait()
        finally:
            self._disable_reuse()
            transport.abort()

    def _write(self, transport: asyncio.Transport, exchange: Exchange) -> None:
        # Opening the connection may have taken longer than the leaf may be used.
        if not exchange.may_send():
            self._finish_unsent(exchange)
            return
        self._parser.begin_exchange(head_only=exchange.method == "HEAD")
        self._cost.begin_message()
        self._discarded_count = 0
        exchange.sent = True
        transport.write(exchange.encode())

    # Callbacks of asyncio.BufferedProtocol.

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read."""
        return LARGE_READ_BUFFER if self._parser.has_large_parts else READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Processes bytes from the leaf."""
        if not self._is_reusable:
            # The connection is about to be closed, so these bytes belong to no request.
            return
        try:
            responses = self._parser.feed(LARGE_READ_BUFFER[:nbytes])
        except InvalidResponseError as error:
            self._handle_responses(self._parser.take())
            self._reject(str(error))
            return
        self._handle_responses(responses)
        # After unsolicited bytes, what follows can't be told apart from a response.
        unsolicited = self.exchange is None and (self._parser.in_message or not responses)
        if unsolicited or not self._is_reusable:
            self._mark_closed()
        elif self._cost.is_expensive(self._parser.events) and self.exchange is not None:
            self._wait_for_turn()

    def _wait_for_turn(self) -> None:
        """Reads nothing until responses that are expensive to parse may take processor time."""
        assert self._transport is not None
        self._transport.pause_reading()
        limit_receive_buffer(self._transport)
        self._cost.wait(self, events=self._parser.events)

    def on_turn(self) -> None:
        """Reads on."""
        if self._is_reusable and self._transport is not None:
            self._transport.resume_reading()

    def on_turn_refused(self) -> None:
        """Closes the connection, because the responses of too many leaves are expensive."""
        if self._is_reusable:
            self._reject("too many responses are expensive to parse")

    def _on_evicted(self) -> None:
        if self._is_reusable:
            self._reject("incomplete responses exceed the memory for them")

    def _reject(self, reason: str) -> None:
        """Closes the connection, whose response is no valid one or can't be kept."""
        _LOGGER.warning("response of leaf rejected", leaf=self.leaf.id, reason=reason)
        self._fault_kind = FaultKind.INVALID
        self._mark_closed()

    def eof_received(self) -> None:
        """Processes the end of the stream, which also ends a response without a length."""
        self._report_idle_close()
        if self._is_reusable:
            self._handle_responses(self._parser.end())
        self._mark_closed()

    def connection_lost(self, error: Exception | None) -> None:
        """Marks the connection as closed."""
        self._report_idle_close()
        self._mark_closed()

    def _report_idle_close(self) -> None:
        # A connection that this host closes is not reusable any more.
        if self._is_reusable and self.exchange is None:
            self._owner.on_idle_closed()

    def _mark_closed(self) -> None:
        self._disable_reuse()
        self._closed.set()

    def _handle_responses(self, responses: list[RawResponse]) -> None:
        for response in responses:
            self._handle_response(response)

    def _handle_response(self, response: RawResponse) -> None:
        exchange = self.exchange
        if not response.keep_alive or exchange is None:
            self._disable_reuse()
        if exchange is None:
            return
        answer = read_leaf_answer(
            status=response.status, headers=response.headers, body=response.body
        )
        if answer.request_id != exchange.request_id:
            self._discarded_count += 1
            if self._discarded_count > _MAX_DISCARDED_RESPONSES:
                self._reject("too many responses to other requests")
            return
        assert self._transport is not None
        if self._transport.get_write_buffer_size():
            # The leaf answered before it had read the whole request, and would take the rest of the
            # request for the next one.
            self._disable_reuse()
        self._update_idle_limit(response)
        self._release_exchange()
        exchange.complete(answer)
        if self._is_reusable and not self._parser.in_message:
            self._mark_idle()

    def _finish_unsent(self, exchange: Exchange) -> None:
        """Completes an exchange that is not sent; the connection can take another one."""
        self._release_exchange()
        exchange.complete(LeafFault(FaultKind.UNREACHABLE, exchange.sent))
        self._mark_idle()

    def _release_exchange(self) -> None:
        self.exchange = None
        self._scope.deadline = float("inf")
        self._fault_kind = FaultKind.CONNECTION_LOST

    def _mark_idle(self) -> None:
        self._idle_since = self._clock.now()
        self._owner.on_idle(self)

    def _update_idle_limit(self, response: RawResponse) -> None:
        for name, value in response.headers:
            if name == b"keep-alive" and (match := _KEEP_ALIVE_TIMEOUT.search(value)):
                limit_seconds = float(match.group(1)) - _KEEP_ALIVE_MARGIN_SECONDS
                self._idle_limit_seconds = min(_MAX_IDLE_SECONDS, max(0.0, limit_seconds))


def _loop_time() -> float:
    # Cancel scopes use the clock of the event loop. anyio.current_time works only inside a task,
    # whereas callbacks of the protocol run outside of one.
    return asyncio.get_running_loop().time()
