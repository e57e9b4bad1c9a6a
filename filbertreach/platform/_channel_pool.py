"""Channels to several hosts."""

import contextlib
from types import TracebackType
from typing import Self

from filbertreach.platform._channel import HttpChannel
from filbertreach.schema import base_url


class ChannelPool:
    """Channels by address and path, created on demand; a context manager that closes them.

    A timeout gives up the connections of its channel, so each path has a channel of its own.
    """

    def __init__(self, *, timeout_seconds: float) -> None:
        """Creates a pool without channels.

        Args:
            timeout_seconds: Time limit of a request with its response, unless a path has another.
        """
        self._timeout_seconds = timeout_seconds
        self._channel_by_target: dict[tuple[str, str], HttpChannel] = {}

    async def __aenter__(self) -> Self:
        """Returns the pool; connections are opened when needed."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Closes the connections of all channels."""
        async with contextlib.AsyncExitStack() as stack:
            for channel in self._channel_by_target.values():
                stack.push_async_exit(channel)

    def channel(
        self, address: str, path: str, *, timeout_seconds: float | None = None
    ) -> HttpChannel:
        """Returns the channel of a path at an address.

        Args:
            address: ip:port.
            path: Path without a query.
            timeout_seconds: Time limit of a request with its response; None for that of the pool.
        """
        channel = self._channel_by_target.get((address, path))
        if channel is None:
            seconds = self._timeout_seconds if timeout_seconds is None else timeout_seconds
            channel = HttpChannel(base_url=base_url(address), timeout_seconds=seconds)
            self._channel_by_target[address, path] = channel
        return channel


class ChannelPoolClient:
    """Base of clients of several hosts: a context manager over a pool of channels."""

    def __init__(self, *, timeout_seconds: float) -> None:
        """Creates a client; connections are opened when needed.

        Args:
            timeout_seconds: Time limit of a request with its response, unless a path has another.
        """
        self._channels = ChannelPool(timeout_seconds=timeout_seconds)

    async def __aenter__(self) -> Self:
        """Returns the client."""
        await self._channels.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Closes all connections."""
        await self._channels.__aexit__(kind, error, trace)
