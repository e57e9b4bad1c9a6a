"""Incremental parser that splits the bytes of a leaf connection into HTTP responses."""

from collections.abc import Callable
from typing import Any, NamedTuple

import httptools

from filbertreach.receive_limits import MemoryBudget


class RawResponse(NamedTuple):
    """A complete response."""

    status: int
    """HTTP status."""
    headers: list[tuple[bytes, bytes]]
    """Headers; names are in lower case."""
    body: bytes
    """Body."""
    keep_alive: bool
    """Whether the connection may be reused."""


class InvalidResponseError(Exception):
    """The bytes are not an HTTP response, or exceed a limit."""


_MAX_BODY_BYTES = 8 * 1024 * 1024
_MAX_OVERHEAD_BYTES = 64 * 1024
"""Bytes of a response other than its body: status line, headers, chunk framing and trailers."""
_MAX_OVERHEAD_PER_BODY_BYTE = 1
"""Additional overhead for each byte of the body. A chunk of one byte has five bytes of framing, so
only responses up to some kilobytes may consist of such chunks."""
_MAX_HEADERS = 256
"""Headers and trailers of a response."""
_HEADER_BYTES = 200
"""Memory that the objects of a header take beside its bytes."""
_MAX_INTERIM_RESPONSES = 16
"""Interim responses (1xx) before a final one."""
_MIN_LARGE_PART_BYTES = 256
"""Mean bytes for each header and part of a body from which a response is cheap to parse."""
_MIN_STATUS = 100
_MAX_STATUS = 599
_PART_BYTES = 16 * 1024
"""Bytes of a part in which a body is kept until it is complete."""
_MAX_HELD_BYTES = 32 * 1024 * 1024
"""Bytes of all incomplete responses; the smallest hosts have 200 MB for the whole process."""

RESPONSE_MEMORY = MemoryBudget(max_bytes=_MAX_HELD_BYTES)
"""Budget of the connections to leaves of this process."""


def _do_nothing() -> None:
    pass


class _Body:
    """A body that grows in parts of similar size.

    A single buffer that grows is copied to ever new places, and between the buffers of many
    connections the memory of the old places is hardly used again.
    """

    def __init__(self) -> None:
        self.byte_count = 0
        self._parts: list[bytes] = []
        self._last_part = bytearray()

    def append(self, data: bytes) -> None:
        self.byte_count += len(data)
        self._last_part += data
        if len(self._last_part) >= _PART_BYTES:
            self._parts.append(bytes(self._last_part))
            self._last_part = bytearray()

    def content(self) -> bytes:
        if not self._parts:
            return bytes(self._last_part)
        return b"".join((*self._parts, self._last_part))


class ResponseParser:
    """Parses the responses of one connection with httptools.

    A response without a length and without chunked framing ends when the connection is closed in an
    orderly way, but not when it is reset. httptools does not report this end, so `end` does.
    """

    def __init__(
        self,
        *,
        sender: str = "",
        on_evicted: Callable[[], None] = _do_nothing,
        memory: MemoryBudget = RESPONSE_MEMORY,
    ) -> None:
        """Creates a parser in the state before the first response.

        Args:
            sender: Name of the leaf in the budget.
            on_evicted: Called when an incomplete response was dropped for lack of memory.
            memory: Budget that the bytes of an incomplete response use.
        """
        self._on_evicted = on_evicted
        self.head_only = False
        """Whether the next response has no body whatever its headers say, as after HEAD."""
        self._parser: Any = httptools.HttpResponseParser(self)
        self._sender = sender
        self._memory = memory
        self._responses: list[RawResponse] = []
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = _Body()
        self._overhead_bytes = 0
        self._body_bytes_in_feed = 0
        self._interim_count = 0
        self._events = 0
        self._in_body = False
        self._in_message = False
        self._is_held = False
        self._has_framing = False

    @property
    def in_message(self) -> bool:
        """Whether a response has begun and is not yet complete."""
        return self._in_message

    @property
    def events(self) -> int:
        """Headers and parts of bodies since `begin_exchange`, which make most of the cost."""
        return self._events

    @property
    def has_large_parts(self) -> bool:
        """Whether the response has a large body in few parts, which are cheap to parse."""
        return self._body.byte_count > _MIN_LARGE_PART_BYTES * (self._events + _MAX_HEADERS)

    def begin_exchange(self, *, head_only: bool) -> None:
        """Prepares for the response to a request.

        Args:
            head_only: Whether the response has no body whatever its headers say, as after HEAD.
        """
        self.head_only = head_only
        self._events = 0

    def feed(self, data: bytes | memoryview) -> list[RawResponse]:
        """Parses bytes as they arrive.

        Args:
            data: The bytes.

        Returns:
            Responses that these bytes have completed.

        Raises:
            InvalidResponseError: The bytes are not a valid response. Responses completed before it
                are returned by `take`.
        """
        self._body_bytes_in_feed = 0
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise InvalidResponseError(str(error)) from error
        if self._in_message or not self._responses:
            # What precedes this response in `data` is counted too, but not the bodies there.
            self._overhead_bytes += len(data) - self._body_bytes_in_feed
            self._check_size()
        elif self._is_held:
            self._release()
        return self.take()

    def on_evicted(self) -> None:
        """Drops an incomplete response, because others need the memory."""
        self._body = _Body()
        self._headers = []
        self._on_evicted()

    def close(self) -> None:
        """Releases all memory; to be called with the connection closed."""
        # The parser refers to this object, and keeps the header that it has begun.
        self._parser = None
        self._on_evicted = _do_nothing
        self._body = _Body()
        self._headers = []
        self._release()

    def _check_size(self) -> None:
        body_bytes = self._body.byte_count
        if body_bytes > _MAX_BODY_BYTES:
            raise InvalidResponseError(f"response body exceeds {_MAX_BODY_BYTES} bytes")
        max_overhead_bytes = _MAX_OVERHEAD_BYTES + _MAX_OVERHEAD_PER_BODY_BYTE * body_bytes
        if self._overhead_bytes > max_overhead_bytes:
            raise InvalidResponseError(
                f"head, framing and trailers of a response exceed {max_overhead_bytes} bytes"
            )
        self._is_held = True
        held_bytes = body_bytes + self._overhead_bytes + _HEADER_BYTES * len(self._headers)
        if not self._memory.resize(self, sender=self._sender, byte_count=held_bytes):
            raise InvalidResponseError("incomplete responses exceed the memory for them")

    def _release(self) -> None:
        self._is_held = False
        self._memory.release(self)

    def take(self) -> list[RawResponse]:
        """Returns the complete responses that have not been returned yet."""
        responses, self._responses = self._responses, []
        return responses

    def end(self) -> list[RawResponse]:
        """Processes an orderly close of the connection.

        Returns:
            The response without framing headers that the close completes, if there is one.
        """
        if self._in_body and not self._has_framing:
            self._complete_response(keep_alive=False)
        return self.take()

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Starts a response."""
        self._headers = []
        self._body = _Body()
        self._overhead_bytes = 0
        self._in_message = True
        self._in_body = False
        self._has_framing = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header."""
        self._events += 1
        lower = name.lower()
        if lower in (b"content-length", b"transfer-encoding"):
            self._has_framing = True
        self._headers.append((lower, value))
        if len(self._headers) > _MAX_HEADERS:
            raise InvalidResponseError(f"response has more than {_MAX_HEADERS} headers")

    def on_headers_complete(self) -> None:
        """Starts the body; a response to HEAD is complete here."""
        status = self._parser.get_status_code()
        if not _MIN_STATUS <= status <= _MAX_STATUS:
            raise InvalidResponseError(f"status {status:03} does not exist")
        self._in_body = True
        if self.head_only and status >= 200:
            self._complete_response(keep_alive=False)

    def on_body(self, data: bytes) -> None:
        """Stores a chunk of the body, unless the body is already too large."""
        self._events += 1
        self._body_bytes_in_feed += len(data)
        if self._body.byte_count <= _MAX_BODY_BYTES:
            self._body.append(data)

    def on_message_complete(self) -> None:
        """Completes a response; interim responses (1xx) are not reported."""
        if self._in_message and self._parser.get_status_code() >= 200:
            self._complete_response(keep_alive=self._parser.should_keep_alive())
        elif self._in_message:
            self._interim_count += 1
            if self._interim_count > _MAX_INTERIM_RESPONSES:
                raise InvalidResponseError(f"more than {_MAX_INTERIM_RESPONSES} interim responses")
        self._in_message = False
        self._in_body = False

    def _complete_response(self, *, keep_alive: bool) -> None:
        self._in_message = False
        self._in_body = False
        self._interim_count = 0
        self._overhead_bytes = 0
        status = self._parser.get_status_code()
        self._responses.append(RawResponse(status, self._headers, self._body.content(), keep_alive))
        self._body = _Body()
