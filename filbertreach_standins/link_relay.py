"""A TCP relay in front of one process that can be cut off from chosen senders, and counts bytes."""

import contextlib
import types
from collections.abc import Callable
from typing import Self

import anyio
import anyio.abc
import msgspec

_CHUNK_BYTES = 65536
_HANDSHAKE_BYTES = 8
"""Each side of an NNG connection sends its protocol number in 8 bytes first."""
_LENGTH_BYTES = 8
"""Each NNG message is preceded by its length."""


class LinkRelay:
    """Forwards connections to one target; what a cut-off sender sends is swallowed.

    The sender of a connection between filbertreach processes is read from its first frame.
    Connections of other protocols have the sender "".
    """

    def __init__(
        self, *, target: str, is_cut: Callable[[str], bool], reads_frames: bool = True
    ) -> None:
        """Prepares a relay; enter it to listen on a port that the kernel chooses.

        Args:
            target: ip:port that connections are forwarded to.
            is_cut: Tells whether the sender with this inbox address is cut off now.
            reads_frames: Whether connections carry frames of `filbertreach.transport`.
        """
        self.target = target
        self.address = ""
        self.bytes_forwarded = 0
        """Bytes forwarded in both directions."""
        self._is_cut = is_cut
        self._reads_frames = reads_frames
        self._group: anyio.abc.TaskGroup | None = None

    async def __aenter__(self) -> Self:
        """Listens."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        self.address = f"127.0.0.1:{listener.extra(anyio.abc.SocketAttribute.local_port)}"
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

    async def _serve(self, near: anyio.abc.SocketStream) -> None:
        host, port = self.target.split(":")
        async with near:
            try:
                far = await anyio.connect_tcp(host, int(port))
            except OSError:
                return
            async with far, anyio.create_task_group() as group:
                group.start_soon(self._copy_back, far, near, group.cancel_scope)
                with contextlib.suppress(
                    anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError
                ):
                    await self._copy(near, far)
                group.cancel_scope.cancel()

    async def _copy(self, near: anyio.abc.SocketStream, far: anyio.abc.SocketStream) -> None:
        sender = ""
        if self._reads_frames:
            handshake = await _receive_exactly(near, _HANDSHAKE_BYTES)
            await self._forward(far, handshake)
            length = await _receive_exactly(near, _LENGTH_BYTES)
            frame = await _receive_exactly(near, int.from_bytes(length))
            sender = msgspec.msgpack.decode(frame)["address"]
            if not self._is_cut(sender):
                await self._forward(far, length + frame)
        while True:
            # After a loss the stream is out of step, so that a cut connection stays silent.
            if self._is_cut(sender):
                await self._swallow(near)
            data = await near.receive(_CHUNK_BYTES)
            if not self._is_cut(sender):
                await self._forward(far, data)

    async def _swallow(self, near: anyio.abc.SocketStream) -> None:
        while True:
            await near.receive(_CHUNK_BYTES)

    async def _forward(self, stream: anyio.abc.SocketStream, data: bytes) -> None:
        self.bytes_forwarded += len(data)
        await stream.send(data)

    async def _copy_back(
        self,
        far: anyio.abc.SocketStream,
        near: anyio.abc.SocketStream,
        scope: anyio.CancelScope,
    ) -> None:
        with contextlib.suppress(
            anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError
        ):
            while True:
                data = await far.receive(_CHUNK_BYTES)
                if not (self._is_cut("") and not self._reads_frames):
                    await self._forward(near, data)
        scope.cancel()


async def _receive_exactly(stream: anyio.abc.SocketStream, size: int) -> bytes:
    data = b""
    while len(data) < size:
        data += await stream.receive(size - len(data))
    return data
