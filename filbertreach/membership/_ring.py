"""Which hosts watch each other."""

import functools
import hashlib
from collections.abc import Collection
from typing import NamedTuple

RINGS = 4
"""Rings of hosts. A host has up to 8 neighbours: each host of a fleet of 8 watches every other."""

_CACHED_SCORES = 1 << 14


class RingNeighbours(NamedTuple):
    """Hosts with which an agent keeps links."""

    observed: frozenset[str]
    """Hosts that this host watches."""
    observers: frozenset[str]
    """Hosts that watch this host."""

    @property
    def all(self) -> frozenset[str]:
        """Both; gossip goes to these."""
        return self.observed | self.observers


class MonitoringRings:
    """Hosts in several pseudorandom rings; each host watches its successor in each ring.

    The links form an expander with a constant number of links for each host (Suresh et al., "Stable
    and consistent membership at scale with Rapid", USENIX ATC 2018). With as many hosts as links
    or fewer, each host watches every other.
    """

    def __init__(self, hosts: Collection[str]) -> None:
        """Orders the hosts.

        Args:
            hosts: Names of all hosts that may be alive.
        """
        self._hosts = frozenset(hosts)
        self._is_small = len(self._hosts) <= 2 * RINGS
        self._orders = [
            sorted(self._hosts, key=functools.partial(_score, ring)) for ring in range(RINGS)
        ]
        self._positions = [
            {host: position for position, host in enumerate(order)} for order in self._orders
        ]

    def neighbours(self, host: str) -> RingNeighbours:
        """Returns the neighbours of a host; none if the host is not in the rings."""
        if host not in self._hosts:
            return RingNeighbours(frozenset(), frozenset())
        if self._is_small:
            others = self._hosts - {host}
            return RingNeighbours(others, others)
        return RingNeighbours(self._step(host, 1), self._step(host, -1))

    def _step(self, host: str, step: int) -> frozenset[str]:
        return frozenset(
            order[(positions[host] + step) % len(order)]
            for order, positions in zip(self._orders, self._positions, strict=True)
        ) - {host}


@functools.lru_cache(maxsize=_CACHED_SCORES)
def _score(ring: int, host: str) -> bytes:
    return hashlib.blake2b(f"{ring}\0{host}".encode(), digest_size=8).digest()
