"""Which hosts keep an idle connection to a leaf that has fewer of them than there are hosts.

With 127 hosts and leaves that accept 98 connections, each host kept one open, and leaves reset the
connections of the others: 1,230 attempts to connect failed under 463 scatter queries.
"""

import hashlib
import math

_KEPT_SHARE = 0.8
"""Share of a leaf's connections that all hosts together may keep idle. The rest is for hosts that
open a connection for one request."""
_MARGIN_DEVIATIONS = 2.0
"""Hosts decide by a hash, so the number of them that keep a connection differs between leaves. Its
mean is chosen so that it stays below the allowed number with this many standard deviations."""
_POSITION_BYTES = 8
_POSITIONS = 2.0 ** (8 * _POSITION_BYTES)


def keeping_share(*, hosts: int | None, connections: int | None) -> float:
    """Returns the share of the hosts that keep an idle connection to a leaf.

    Args:
        hosts: Number of hosts that call the leaf; None if unknown.
        connections: Connections that the leaf accepts from all hosts together; None if unknown.

    Returns:
        The share, 0 to 1; 1 unless there are more hosts than connections.
    """
    if hosts is None or connections is None or hosts <= connections:
        return 1.0
    allowed = _KEPT_SHARE * connections / hosts
    # The lower bound of Wilson's score interval (JASA 22, 1927): the share `p` for which
    # p + deviations * sqrt(p * (1 - p) / hosts) equals the allowed share.
    square = _MARGIN_DEVIATIONS**2 / hosts
    spread = math.sqrt(square * allowed * (1.0 - allowed) + square**2 / 4.0)
    return (allowed + square / 2.0 - spread) / (1.0 + square)


def position_among_hosts(*, host: str, leaf: str) -> float:
    """Returns the position of a host in the order in which hosts keep a connection to a leaf.

    The order differs from leaf to leaf. A host keeps a connection if its position is below
    `keeping_share`, which needs no agreement between hosts.

    Args:
        host: Name of the host.
        leaf: Id of the leaf.

    Returns:
        The position, 0 to 1.
    """
    text = f"{host}\n{leaf}".encode()
    digest = hashlib.blake2b(text, digest_size=_POSITION_BYTES).digest()
    return int.from_bytes(digest, "big") / _POSITIONS
