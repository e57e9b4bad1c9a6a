"""Addresses for the processes of tests, which run concurrently in several processes."""

import fcntl
import functools
import os
import pathlib
import random
import socket
import tempfile
from typing import BinaryIO

_PORT_RANGE = (12000, 32000)
"""Below the ephemeral ports of Linux, which begin at 32768."""
_PORT_GENERATOR = random.SystemRandom()
"""Not seeded, because test processes that run concurrently must choose different ports."""
_reserved_ports: set[int] = set()
"""Ports that this process has reserved, until it ends."""


@functools.cache
def _port_locks() -> BinaryIO:
    """Returns the file whose byte at the number of a port is locked by the process that chose it.

    It stays open until the process ends, as closing it would release the locks.
    """
    name = f"filbertreach-ports-{os.getuid()}"
    return (pathlib.Path(tempfile.gettempdir()) / name).open("ab")


def _reserve(port: int) -> bool:
    """Reserves a port for this process; returns False if it was reserved before."""
    if port in _reserved_ports:
        return False
    try:
        fcntl.lockf(_port_locks(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    _reserved_ports.add(port)
    return True


def free_address() -> str:
    """Returns a free ip:port on loopback that no other call in any process has returned.

    A daemon binds its ports only some time after they were chosen. Ephemeral ports are avoided: the
    kernel could give one to another process in between.
    """
    while True:
        port = _PORT_GENERATOR.randrange(*_PORT_RANGE)
        if not _reserve(port):
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return f"127.0.0.1:{port}"
