"""Small reads, which bound how long the bytes of one read keep the event loop busy."""

import asyncio
import socket
from typing import Any, Protocol

_SMALL_READ_BYTES = 4096
_LARGE_READ_BYTES = 16 * 1024
_RECEIVE_BUFFER_BYTES = 128 * 1024

LARGE_READ_BUFFER = memoryview(bytearray(_LARGE_READ_BYTES))
"""Buffer for a message whose parts have been large until now."""
READ_BUFFER = LARGE_READ_BUFFER[:_SMALL_READ_BYTES]
"""Buffer of all other reads of this process; each protocol takes its bytes out before the next
read, which begins at the same place."""


class _Connection(Protocol):
    def get_extra_info(self, name: str, /) -> Any:
        """Returns information about the connection, such as its socket."""


def limit_receive_buffer(connection: _Connection) -> None:
    """Bounds what a sender from which nothing is read for some time keeps in the system.

    Args:
        connection: A transport of asyncio or a stream of httpcore.
    """
    connection.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
    )


class SmallReads(asyncio.BufferedProtocol):
    """Passes what is received to another protocol in small parts.

    An event loop passes up to 256 KiB at once to a plain protocol.
    """

    def __init__(self, *, protocol: asyncio.Protocol) -> None:
        """Creates a protocol for a connection that is about to be made.

        Args:
            protocol: Receives everything.
        """
        self._protocol = protocol
        self.connection_made = protocol.connection_made  # type: ignore[method-assign]
        self.connection_lost = protocol.connection_lost  # type: ignore[method-assign]
        self.eof_received = protocol.eof_received  # type: ignore[method-assign]
        self.pause_writing = protocol.pause_writing  # type: ignore[method-assign]
        self.resume_writing = protocol.resume_writing  # type: ignore[method-assign]

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read."""
        return READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Passes on what was read."""
        self._protocol.data_received(bytes(READ_BUFFER[:nbytes]))
