"""Incremental parser that splits the bytes of a leaf connection into HTTP responses."""

from typing import NamedTuple

import httptools

from filbertreach.gateway._buffer_budget import PROCESS_BUFFERS, BufferBudget


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
_MAX_OVERHEAD_PER_BODY_BYTE = 8
"""Additional overhead for each byte of the body; a chunk of one byte has five bytes of framing."""
_MAX_HEADERS = 256
"""Headers and trailers of a response; an object in memory is larger than its bytes on the wire."""
_MAX_INTERIM_RESPONSES = 16
"""Interim responses (1xx) before a final one."""
_MAX_STATUS = 599


class ResponseParser:
    """Parses the responses of one connection with httptools.

    A response without a length and without chunked framing ends when the connection is closed in an
    orderly way, but not when it is reset. httptools does not report this end, so `end` does.
    """

    def __init__(self, *, buffers: BufferBudget = PROCESS_BUFFERS) -> None:
        """Creates a parser in the state before the first response.

        Args:
            buffers: Budget that the bytes of an incomplete response use.
        """
        self._parser = httptools.HttpResponseParser(self)
        self._buffers = buffers
        self._held_bytes = 0
        self._responses: list[RawResponse] = []
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._overhead_bytes = 0
        self._body_bytes_in_feed = 0
        self._interim_count = 0
        self._in_body = False
        self._in_message = False
        self._has_framing = False
        self.head_only = False
        """Whether the next response has no body whatever its headers say, as after HEAD."""

    @property
    def in_message(self) -> bool:
        """Whether a response has begun and is not yet complete."""
        return self._in_message

    def feed(self, data: bytes) -> list[RawResponse]:
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
        if self._in_message:
            # What precedes this response in `data` is counted too, but not the bodies there.
            self._overhead_bytes += len(data) - self._body_bytes_in_feed
            self._check_size()
        else:
            self._hold(0)
        return self.take()

    def close(self) -> None:
        """Releases the bytes of an incomplete response; to be called with the connection closed."""
        self._body = bytearray()
        self._headers = []
        self._hold(0)

    def _check_size(self) -> None:
        body_bytes = len(self._body)
        if body_bytes > _MAX_BODY_BYTES:
            raise InvalidResponseError(f"response body exceeds {_MAX_BODY_BYTES} bytes")
        max_overhead_bytes = _MAX_OVERHEAD_BYTES + _MAX_OVERHEAD_PER_BODY_BYTE * body_bytes
        if self._overhead_bytes > max_overhead_bytes:
            raise InvalidResponseError(
                f"head, framing and trailers of a response exceed {max_overhead_bytes} bytes"
            )
        if not self._hold(body_bytes + self._overhead_bytes):
            raise InvalidResponseError("incomplete responses exceed the memory for them")

    def _hold(self, new_bytes: int) -> bool:
        old_bytes, self._held_bytes = self._held_bytes, new_bytes
        return self._buffers.resize(old_bytes=old_bytes, new_bytes=new_bytes)

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
        self._body = bytearray()
        self._overhead_bytes = 0
        self._in_message = True
        self._in_body = False
        self._has_framing = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header."""
        lower = name.lower()
        if lower in (b"content-length", b"transfer-encoding"):
            self._has_framing = True
        self._headers.append((lower, value))
        if len(self._headers) > _MAX_HEADERS:
            raise InvalidResponseError(f"response has more than {_MAX_HEADERS} headers")

    def on_headers_complete(self) -> None:
        """Starts the body; a response to HEAD is complete here."""
        self._in_body = True
        if self.head_only and self._parser.get_status_code() >= 200:
            self._complete_response(keep_alive=False)

    def on_body(self, data: bytes) -> None:
        """Stores a chunk of the body, unless the body is already too large."""
        self._body_bytes_in_feed += len(data)
        if len(self._body) <= _MAX_BODY_BYTES:
            self._body += data

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
        status = self._parser.get_status_code()
        if status > _MAX_STATUS:
            raise InvalidResponseError(f"status {status} does not exist")
        self._responses.append(RawResponse(status, self._headers, bytes(self._body), keep_alive))
        self._body = bytearray()
