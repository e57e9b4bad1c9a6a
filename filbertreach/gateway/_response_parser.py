"""Incremental parser that splits the bytes of a leaf connection into HTTP responses."""

from typing import NamedTuple

import httptools


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
    """The bytes are not an HTTP response, or its body is too large."""


_MAX_BODY_BYTES = 8 * 1024 * 1024


class ResponseParser:
    """Parses the responses of one connection with httptools.

    A response without a length and without chunked framing ends when the connection is closed in an
    orderly way, but not when it is reset. httptools does not report this end, so `end` does.
    """

    def __init__(self) -> None:
        """Creates a parser in the state before the first response."""
        self._parser = httptools.HttpResponseParser(self)
        self._responses: list[RawResponse] = []
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._size = 0
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
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise InvalidResponseError(str(error)) from error
        if self._size > _MAX_BODY_BYTES:
            raise InvalidResponseError(f"response body exceeds {_MAX_BODY_BYTES} bytes")
        return self.take()

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
        self._body = []
        self._size = 0
        self._in_message = True
        self._in_body = False
        self._has_framing = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header."""
        lower = name.lower()
        if lower in (b"content-length", b"transfer-encoding"):
            self._has_framing = True
        self._headers.append((lower, value))

    def on_headers_complete(self) -> None:
        """Starts the body; a response to HEAD is complete here."""
        self._in_body = True
        if self.head_only and self._parser.get_status_code() >= 200:
            self._complete_response(keep_alive=False)

    def on_body(self, data: bytes) -> None:
        """Stores a chunk of the body, unless the body is already too large."""
        self._size += len(data)
        if self._size <= _MAX_BODY_BYTES:
            self._body.append(data)

    def on_message_complete(self) -> None:
        """Completes a response; interim responses (1xx) are not reported."""
        if self._in_message and self._parser.get_status_code() >= 200:
            self._complete_response(keep_alive=self._parser.should_keep_alive())
        self._in_message = False

    def _complete_response(self, *, keep_alive: bool) -> None:
        self._in_message = False
        self._in_body = False
        status = self._parser.get_status_code()
        self._responses.append(RawResponse(status, self._headers, b"".join(self._body), keep_alive))
