"""HTTP requests to one service of the platform."""

import collections
import contextlib
import math
from collections.abc import AsyncIterator
from types import TracebackType
from typing import Any, NamedTuple, Self

import anyio
import httpcore

from filbertreach.receive_limits import (
    BodyTooLargeError,
    LimitedBackend,
    MemoryBudget,
    read_body,
)

_MAX_BODY_BYTES = 8 * 1024 * 1024
"""Larger response bodies are rejected. A page of the store has at most some megabytes, and the
objects decoded from a body take several times its bytes."""
_MAX_RESPONSE_BYTES = 2 * _MAX_BODY_BYTES
"""Bytes of a response with its head and framing."""
_MAX_HELD_BYTES = 16 * 1024 * 1024
"""Bytes of the incomplete bodies of all services."""
_MAX_CONNECTIONS = 32
_DEFAULT_RETRY_SECONDS = 1.0
"""Delay after a refusal without a valid Retry-After header."""
_MIN_RETRY_SECONDS = 0.1
"""Shortest delay after a refusal, whatever the service asks for."""
_MAX_RETRY_SECONDS = 30.0
"""Longest delay after a refusal. A faulty service must not keep a host from calling it for good."""

_RESPONSE_MEMORY = MemoryBudget(max_bytes=_MAX_HELD_BYTES)
_NETWORK = LimitedBackend(max_response_bytes=_MAX_RESPONSE_BYTES)


class HttpResponse(NamedTuple):
    """A complete HTTP response."""

    status: int
    """HTTP status."""
    headers: dict[bytes, bytes]
    """Headers by name in lower case."""
    body: bytes
    """Body."""

    @property
    def retry_after_seconds(self) -> float:
        """Delay after which a refused call may be repeated, in seconds."""
        try:
            seconds = float(self.headers.get(b"retry-after", b""))
        except ValueError:
            return _DEFAULT_RETRY_SECONDS
        if math.isnan(seconds):
            return _DEFAULT_RETRY_SECONDS
        return min(_MAX_RETRY_SECONDS, max(_MIN_RETRY_SECONDS, seconds))


class ExchangeError(Exception):
    """An HTTP request that got no complete response."""

    def __init__(self, message: str, *, sent: bool) -> None:
        """Creates an error.

        Args:
            message: What happened.
            sent: Whether the service may have received the request.
        """
        super().__init__(message)
        self.sent = sent


class ResponseTooLargeError(ExchangeError):
    """A response whose body is larger than accepted."""


class _CountedPool:
    """A connection pool and the number of requests that use it."""

    def __init__(self) -> None:
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=_MAX_CONNECTIONS, network_backend=_NETWORK
        )
        self.request_count = 0


class HttpChannel:
    """Pooled connections to one service; a context manager."""

    def __init__(self, *, base_url: str, timeout_seconds: float) -> None:
        """Creates a channel without connections.

        Args:
            base_url: For example `http://127.0.0.1:9000`.
            timeout_seconds: Time limit of a request with its response.
        """
        self._base_url = base_url.rstrip("/")
        self.timeout_seconds = timeout_seconds
        self._current_pool = _CountedPool()

    async def __aenter__(self) -> Self:
        """Returns the channel; connections are opened when needed."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Closes the connections."""
        with anyio.CancelScope(shield=True):
            await self._current_pool.pool.aclose()

    @contextlib.asynccontextmanager
    async def _borrow_pool(self) -> AsyncIterator[_CountedPool]:
        used = self._current_pool
        used.request_count += 1
        try:
            yield used
        finally:
            used.request_count -= 1
            if used is not self._current_pool and used.request_count == 0:
                with anyio.CancelScope(shield=True):
                    await used.pool.aclose()

    async def exchange(
        self,
        *,
        method: str,
        target: str,
        body: bytes | None = None,
        extra_seconds: float = 0.0,
    ) -> HttpResponse:
        """Sends a request and reads the response.

        Args:
            method: HTTP method.
            target: Path and query, percent-encoded.
            body: JSON text, or None.
            extra_seconds: Added to the timeout, for long polls.

        Returns:
            The response, whatever its status.

        Raises:
            ResponseTooLargeError: The body of the response is too large.
            ExchangeError: There was no complete response in time.
        """
        sent = False

        async def trace(event: str, _details: dict[str, Any]) -> None:
            nonlocal sent
            if event == "http11.send_request_headers.started":
                sent = True

        timeout = self.timeout_seconds + extra_seconds
        headers = [] if body is None else [(b"content-type", b"application/json")]
        async with self._borrow_pool() as used:
            try:
                with anyio.fail_after(timeout):
                    async with used.pool.stream(
                        method,
                        self._base_url + target,
                        headers=headers,
                        content=body,
                        extensions={"trace": trace},
                    ) as response:
                        content = await read_body(
                            response,
                            max_bytes=_MAX_BODY_BYTES,
                            memory=_RESPONSE_MEMORY,
                            sender=self._base_url,
                        )
            except TimeoutError:
                # Established connections can stop responding together while new ones work, so the
                # idle connections of this pool are not used again.
                if used is self._current_pool:
                    self._current_pool = _CountedPool()
                message = f"{method} {target}: no answer within {timeout:g} s"
                raise ExchangeError(message, sent=sent) from None
            except BodyTooLargeError as e:
                raise ResponseTooLargeError(f"{method} {target}: {e}", sent=sent) from e
            except httpcore.ProtocolError as e:
                # After a colon the parser quotes what was received, which may contain API keys.
                fault = str(e).partition(":")[0]
                message = f"{method} {target}: {type(e).__name__}: {fault}"
                raise ExchangeError(message, sent=sent) from None
            except (httpcore.NetworkError, httpcore.TimeoutException) as e:
                raise ExchangeError(f"{method} {target}: {e!r}", sent=sent) from e
        names = {name.lower(): value for name, value in response.headers}
        return HttpResponse(response.status, names, content)


class ChannelClient:
    """Base of clients of one service: a context manager over a channel that counts calls."""

    def __init__(self, *, base_url: str, timeout_seconds: float) -> None:
        """Creates a client; connections are opened when needed.

        Args:
            base_url: For example `http://127.0.0.1:9000`.
            timeout_seconds: Time limit of a call, in addition to the wait time of a long poll.
        """
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        """Number of calls by kind; kinds are named after the methods."""
        self._channel = HttpChannel(base_url=base_url, timeout_seconds=timeout_seconds)

    async def __aenter__(self) -> Self:
        """Returns the client."""
        await self._channel.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Closes the connections."""
        await self._channel.__aexit__(kind, error, trace)
