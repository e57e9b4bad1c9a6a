"""A TCP relay whose connections can go silent, be cut or be refused, for tests and fault runs."""

import types
from typing import Self

import anyio
import anyio.abc

_CHUNK_BYTES = 65536


class Relay:
    """Forwards TCP connections to one target and misbehaves on demand."""

    def __init__(self, *, target: str) -> None:
        """Prepares a relay; enter it to listen on a port that the kernel chooses.

        Args:
            target: ip:port that connections are forwarded to.
        """
        self.target = target
        self.address = ""
        self.connections = 0
        self.drops_requests = False
        """Whether bytes towards the target are lost, on all connections."""
        self.drops_responses = False
        """Whether bytes from the target are lost, on all connections."""
        self.delay_seconds = 0.0
        """Time that each chunk waits."""
        self._silenced_before = 0
        self._streams: list[anyio.abc.SocketStream] = []
        self._group: anyio.abc.TaskGroup | None = None

    async def __aenter__(self) -> Self:
        """Listens."""
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
    ) -> bool | None:
        """Closes everything."""
        assert self._group is not None
        self._group.cancel_scope.cancel()
        return await self._group.__aexit__(kind, error, trace)

    def blackhole_open_connections(self) -> None:
        """Makes the connections that are open now swallow all data; new ones work."""
        self._silenced_before = self.connections

    async def close_connections(self) -> None:
        """Closes the connections that are open now."""
        for stream in list(self._streams):
            await stream.aclose()

    async def _serve(self, near: anyio.abc.SocketStream) -> None:
        number = self.connections
        self.connections += 1
        host, port = self.target.split(":")
        try:
            far = await anyio.connect_tcp(host, int(port))
        except OSError:
            await near.aclose()
            return
        self._streams += [near, far]
        async with near, far, anyio.create_task_group() as group:
            group.start_soon(self._copy, number, near, far, True)
            group.start_soon(self._copy, number, far, near, False)
        self._streams = [stream for stream in self._streams if stream not in (near, far)]

    async def _copy(
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
                swallows = self.drops_requests if is_request else self.drops_responses
                if not swallows and number >= self._silenced_before:
                    await target.send(data)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            await source.aclose()
            await target.aclose()
