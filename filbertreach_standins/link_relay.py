"""A TCP relay in front of one process that blocks chosen senders and counts bytes."""

import contextlib
import types
from collections.abc import Callable
from typing import Self

import anyio
import anyio.abc
import msgspec

_CHUNK_BYTES = 65536
_HANDSHAKE_BYTES = 8
"""Each side of an NNG connection first sends an 8-byte header with its protocol number."""
_LENGTH_BYTES = 8
"""Each NNG message is preceded by its length in 8 bytes."""


class LinkRelay:
    """Forwards connections to one target and discards what blocked senders send.

    The sender of a connection between filbertreach processes is decoded from its first frame.
    Connections of other protocols have the sender "".
    """

    def __init__(
        self, *, target: str, is_blocked: Callable[[str], bool], decodes_frames: bool = True
    ) -> None:
        """Prepares a relay; enter it to listen on a port that the kernel chooses.

        Args:
            target: ip:port that connections are forwarded to.
            is_blocked: Returns whether the sender with this inbox address is currently blocked.
            decodes_frames: Whether connections carry frames of `filbertreach.transport`.
        """
        self.target = target
        self.address = ""
        """ip:port that the relay listens on."""
        self.bytes_forwarded = 0
        """Number of bytes forwarded, in both directions together."""
        self._is_blocked = is_blocked
        self._decodes_frames = decodes_frames
        self._group: anyio.abc.TaskGroup | None = None

    async def __aenter__(self) -> Self:
        """Starts to listen."""
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
        """Closes the listener and all connections."""
        assert self._group is not None
        self._group.cancel_scope.cancel()
        return await self._group.__aexit__(kind, error, trace)

    async def _serve(self, downstream: anyio.abc.SocketStream) -> None:
        host, port = self.target.split(":")
        async with downstream:
            try:
                upstream = await anyio.connect_tcp(host, int(port))
            except OSError:
                return
            async with upstream, anyio.create_task_group() as group:
                group.start_soon(self._copy_from_target, upstream, downstream, group.cancel_scope)
                with contextlib.suppress(
                    anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError
                ):
                    await self._copy_to_target(downstream, upstream)
                group.cancel_scope.cancel()

    async def _copy_to_target(
        self, downstream: anyio.abc.SocketStream, upstream: anyio.abc.SocketStream
    ) -> None:
        sender = ""
        if self._decodes_frames:
            handshake = await _receive_exactly(downstream, _HANDSHAKE_BYTES)
            await self._forward(upstream, handshake)
            length = await _receive_exactly(downstream, _LENGTH_BYTES)
            frame = await _receive_exactly(downstream, int.from_bytes(length))
            sender = msgspec.msgpack.decode(frame)["address"]
            if not self._is_blocked(sender):
                await self._forward(upstream, length + frame)
        while True:
            # Discarding breaks the framing, so a connection that was blocked forwards nothing more.
            if self._is_blocked(sender):
                await self._discard_all(downstream)
            data = await downstream.receive(_CHUNK_BYTES)
            if not self._is_blocked(sender):
                await self._forward(upstream, data)

    async def _discard_all(self, downstream: anyio.abc.SocketStream) -> None:
        while True:
            await downstream.receive(_CHUNK_BYTES)

    async def _forward(self, stream: anyio.abc.SocketStream, data: bytes) -> None:
        self.bytes_forwarded += len(data)
        await stream.send(data)

    async def _copy_from_target(
        self,
        upstream: anyio.abc.SocketStream,
        downstream: anyio.abc.SocketStream,
        scope: anyio.CancelScope,
    ) -> None:
        with contextlib.suppress(
            anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError
        ):
            while True:
                data = await upstream.receive(_CHUNK_BYTES)
                if not (self._is_blocked("") and not self._decodes_frames):
                    await self._forward(downstream, data)
        scope.cancel()


async def _receive_exactly(stream: anyio.abc.SocketStream, size: int) -> bytes:
    data = b""
    while len(data) < size:
        data += await stream.receive(size - len(data))
    return data
