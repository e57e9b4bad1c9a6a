"""HTTP exchanges with one service of the platform."""

import collections
import contextlib
from collections.abc import AsyncIterator
from types import TracebackType
from typing import Any, NamedTuple, Self

import anyio
import httpcore

_MAX_ANSWER_BYTES = 64_000_000
"""A larger answer is refused, so that a faulty service can't exhaust the memory."""
_MAX_CONNECTIONS = 32


class HttpResponse(NamedTuple):
    """A response that was read to its end."""

    status: int
    """HTTP status."""
    headers: dict[bytes, bytes]
    """Headers by name in lower case."""
    body: bytes
    """Body."""


class ExchangeError(Exception):
    """An exchange without a whole response."""

    def __init__(self, message: str, *, sent: bool) -> None:
        """Keeps how far the exchange got.

        Args:
            message: What happened.
            sent: Whether the service may have received the request.
        """
        super().__init__(message)
        self.sent = sent


class _PoolInUse:
    """A connection pool and the number of exchanges that use it."""

    def __init__(self) -> None:
        self.pool = httpcore.AsyncConnectionPool(max_connections=_MAX_CONNECTIONS)
        self.exchanges = 0


class HttpChannel:
    """Connections to one service; a context manager."""

    def __init__(self, *, base_url: str, timeout_seconds: float) -> None:
        """Creates a channel without connections.

        Args:
            base_url: For example `http://127.0.0.1:9000`.
            timeout_seconds: Bound of a whole exchange.
        """
        self._base_url = base_url.rstrip("/")
        self.timeout_seconds = timeout_seconds
        self._current = _PoolInUse()

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
            await self._current.pool.aclose()

    @contextlib.asynccontextmanager
    async def _use_pool(self) -> AsyncIterator[_PoolInUse]:
        used = self._current
        used.exchanges += 1
        try:
            yield used
        finally:
            used.exchanges -= 1
            if used is not self._current and used.exchanges == 0:
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
            extra_seconds: Added to the timeout, for calls that wait on purpose.

        Returns:
            The response, whatever its status.

        Raises:
            ExchangeError: There was no whole response in time.
        """
        sent = False

        async def trace(event: str, _details: dict[str, Any]) -> None:
            nonlocal sent
            if event == "http11.send_request_headers.started":
                sent = True

        timeout = self.timeout_seconds + extra_seconds
        headers = [] if body is None else [(b"content-type", b"application/json")]
        async with self._use_pool() as used:
            try:
                with anyio.fail_after(timeout):
                    async with used.pool.stream(
                        method,
                        self._base_url + target,
                        headers=headers,
                        content=body,
                        extensions={"trace": trace},
                    ) as response:
                        content = await _read(response)
            except TimeoutError:
                # Connections can go silent together while new ones work: those that are idle in
                # this pool are not tried again.
                if used is self._current:
                    self._current = _PoolInUse()
                message = f"{method} {target}: no answer within {timeout:g} s"
                raise ExchangeError(message, sent=sent) from None
            except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as e:
                raise ExchangeError(f"{method} {target}: {e!r}", sent=sent) from e
        names = {name.lower(): value for name, value in response.headers}
        return HttpResponse(response.status, names, content)


class ChannelClient:
    """A client of one service: a context manager over its channel, with a count of its calls."""

    def __init__(self, *, base_url: str, timeout_seconds: float) -> None:
        """Creates a client; connections are opened when needed.

        Args:
            base_url: For example `http://127.0.0.1:9000`.
            timeout_seconds: Bound of a call, beyond the time that it waits on purpose.
        """
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        """Calls by kind, named after the methods."""
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


async def _read(response: httpcore.Response) -> bytes:
    content = bytearray()
    async for part in response.aiter_stream():
        content += part
        if len(content) > _MAX_ANSWER_BYTES:
            message = f"the answer has more than {_MAX_ANSWER_BYTES} bytes"
            raise httpcore.RemoteProtocolError(message)
    return bytes(content)
