"""Round trip of a connection, as the kernel measures it."""

import asyncio
import socket
import struct

_TCP_INFO = getattr(socket, "TCP_INFO", None)
"""Socket option of Linux; None on other systems."""
_ROUND_TRIP_OFFSET_BYTES = 68
"""Offset of `tcpi_rtt` in `struct tcp_info` of linux/tcp.h."""
_INFO_BYTES = 72
"""Bytes of the structure up to the end of `tcpi_rtt`."""


def round_trip_seconds(transport: asyncio.Transport) -> float | None:
    """Returns the smoothed round trip of a TCP connection; None if the kernel does not state it.

    Args:
        transport: The connection.
    """
    connection: socket.socket | None = transport.get_extra_info("socket")
    if connection is None or _TCP_INFO is None:
        return None
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, _TCP_INFO, _INFO_BYTES)
        (microseconds,) = struct.unpack_from("=I", info, _ROUND_TRIP_OFFSET_BYTES)
    except (OSError, struct.error):
        # No TCP connection, one that has ended, or a kernel with a shorter structure.
        return None
    return microseconds / 1e6 if microseconds else None
