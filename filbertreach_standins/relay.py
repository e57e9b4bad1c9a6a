"""A TCP relay that can delay, discard or interrupt traffic, for tests and fault runs."""

import types
from typing import Self

import anyio
import anyio.abc

_CHUNK_BYTES = 65536


class Relay:
    """Forwards TCP connections to one target and injects network faults."""

    def __init__(self, *, target: str) -> None:
        """Prepares a relay; enter it to listen on a port that the kernel chooses.

        Args:
            target: ip:port that connections are forwarded to.
        """
        self.target = target
        self.address = ""
        """ip:port that the relay listens on."""
        self.connections = 0
        """Number of connections accepted so far."""
        self.drops_requests = False
        """Whether data sent to the target is discarded, on all connections."""
        self.drops_responses = False
        """Whether data received from the target is discarded, on all connections."""
        self.delay_seconds = 0.0
        """Delay of each chunk of data, in seconds."""
        self._blackholed_below = 0
        """Connections with a lower number are black-holed; they are numbered from 0."""
        self._streams: list[anyio.abc.SocketStream] = []
        self._group: anyio.abc.TaskGroup | None = None

    async def __aenter__(self) -> Self:
        """Starts to listen."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.address = f"127.0.0.1:{port}"
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        self._group.start_soon(listener.serve, self._serve)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Closes the listener and all connections."""
        assert self._group is not None
        self._group.cancel_scope.cancel()
        # The group would wrap `error`, which is not one of its tasks, in an exception group.
        await self._group.__aexit__(None, None, None)

    def blackhole_open_connections(self) -> None:
        """Discards all further data on the currently open connections; new ones work."""
        self._blackholed_below = self.connections

    async def close_connections(self) -> None:
        """Closes the currently open connections."""
        for stream in list(self._streams):
            await stream.aclose()

    async def _serve(self, downstream: anyio.abc.SocketStream) -> None:
        number = self.connections
        self.connections += 1
        host, port = self.target.split(":")
        try:
            upstream = await anyio.connect_tcp(host, int(port))
        except OSError:
            await downstream.aclose()
            return
        self._streams += [downstream, upstream]
        async with downstream, upstream, anyio.create_task_group() as group:
            group.start_soon(self._forward, number, downstream, upstream, True)
            group.start_soon(self._forward, number, upstream, downstream, False)
        self._streams = [stream for stream in self._streams if stream not in (downstream, upstream)]

    async def _forward(
        self,
        number: int,
        source: anyio.abc.SocketStream,
        target: anyio.abc.SocketStream,
        is_request: bool,
    ) -> None:
        try:
            while True:
                data = await source.receive(_CHUNK_BYTES)
                if self.delay_seconds:
                    await anyio.sleep(self.delay_seconds)
                drops = self.drops_requests if is_request else self.drops_responses
                if not drops and number >= self._blackholed_below:
                    await target.send(data)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            await source.aclose()
            await target.aclose()
