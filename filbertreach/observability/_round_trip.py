"""Round trip of a connection, as the kernel measures it."""

import asyncio
import socket
import struct

_TCP_INFO = getattr(socket, "TCP_INFO", None)
"""Socket option of Linux; None on other systems."""
_ROUND_TRIP_OFFSET_BYTES = 68
"""Offset of `tcpi_rtt`, the smoothed round trip, in `struct tcp_info` of linux/tcp.h."""
_LEAST_ROUND_TRIP_OFFSET_BYTES = 148
"""Offset of `tcpi_min_rtt`."""
_INFO_BYTES = 152
"""Bytes of the structure up to the end of `tcpi_min_rtt`; old kernels return fewer."""


def round_trip_seconds(transport: asyncio.Transport) -> float | None:
    """Returns the round trip of a TCP connection; None if the kernel does not state it.

    The smoothed round trip includes the time for which a caller that pauses between requests delays
    its acknowledgements, up to 40 ms, so the least one is taken where the kernel states it.

    Args:
        transport: The connection.
    """
    connection: socket.socket | None = transport.get_extra_info("socket")
    if connection is None or _TCP_INFO is None:
        return None
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, _TCP_INFO, _INFO_BYTES)
        stated = [struct.unpack_from("=I", info, _ROUND_TRIP_OFFSET_BYTES)[0]]
        if len(info) >= _INFO_BYTES:
            stated += struct.unpack_from("=I", info, _LEAST_ROUND_TRIP_OFFSET_BYTES)
    except (OSError, struct.error):
        # No TCP connection, one that has ended, or a kernel with a shorter structure.
        return None
    return min((value for value in stated if value), default=0) / 1e6 or None
