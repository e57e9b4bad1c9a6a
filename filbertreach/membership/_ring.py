"""Monitoring topology: which hosts observe each other."""

import functools
import hashlib
from collections.abc import Collection
from typing import NamedTuple

RING_COUNT = 4
"""Number of rings. A host has up to 8 neighbours; in a fleet of up to 8, each host observes all."""

_SCORE_CACHE_SIZE = 1 << 14


class RingNeighbours(NamedTuple):
    """Hosts to which the agent of a host keeps links."""

    observed: frozenset[str]
    """Hosts that this host observes."""
    observers: frozenset[str]
    """Hosts that observe this host."""

    @property
    def all(self) -> frozenset[str]:
        """Observed hosts and observers; gossip is exchanged with them."""
        return self.observed | self.observers


class MonitoringRings:
    """Hosts in several pseudorandom rings; each host observes its successor in each ring.

    The links form an expander graph with a constant number of links for each host (Suresh et al.,
    "Stable and consistent membership at scale with Rapid", USENIX ATC 2018). With at most as many
    hosts as links, each host observes every other.
    """

    def __init__(self, hosts: Collection[str]) -> None:
        """Builds the rings.

        Args:
            hosts: Names of all hosts that may be alive.
        """
        self._hosts = frozenset(hosts)
        self._is_small = len(self._hosts) <= 2 * RING_COUNT
        self._orders = [
            sorted(self._hosts, key=functools.partial(_score, ring)) for ring in range(RING_COUNT)
        ]
        self._positions = [
            {host: position for position, host in enumerate(order)} for order in self._orders
        ]

    def neighbours(self, host: str) -> RingNeighbours:
        """Returns the neighbours of a host; empty if the host is not in the rings."""
        if host not in self._hosts:
            return RingNeighbours(frozenset(), frozenset())
        if self._is_small:
            others = self._hosts - {host}
            return RingNeighbours(others, others)
        return RingNeighbours(self._neighbours_at(host, 1), self._neighbours_at(host, -1))

    def _neighbours_at(self, host: str, step: int) -> frozenset[str]:
        return frozenset(
            order[(positions[host] + step) % len(order)]
            for order, positions in zip(self._orders, self._positions, strict=True)
        ) - {host}


@functools.lru_cache(maxsize=_SCORE_CACHE_SIZE)
def _score(ring: int, host: str) -> bytes:
    return hashlib.blake2b(f"{ring}\0{host}".encode(), digest_size=8).digest()
