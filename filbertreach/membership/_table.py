"""Host states known to an agent, merged from every source."""

import functools
import hashlib
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from filbertreach.schema import HostState

BUCKETS = 64
"""Parts of the table that are compared by digest: with 1,200 hosts, 19 in each."""

_CACHED_DIGESTS = 1 << 13


class Version(NamedTuple):
    """Version of a host state; the larger one is newer."""

    incarnation: int
    """Start of the agent that wrote it."""
    counter: int
    """Changes since that start."""


def version_of(state: HostState) -> Version:
    """Returns the version of a host state."""
    incarnation, counter = state["version"]
    return Version(incarnation, counter)


class HostTable:
    """The newest known state of each host.

    Each state is written by one agent only, and is replaced as a whole by a newer version. Merging
    is therefore commutative, associative and idempotent: a last-writer-wins register for each host
    (Shapiro et al., "A comprehensive study of convergent and commutative replicated data types",
    INRIA RR-7506, 2011).
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.state_by_host: dict[str, HostState] = {}
        self._forgotten: dict[str, Version] = {}
        self._bucket_digests = [0] * BUCKETS

    def merge(self, states: Iterable[HostState]) -> list[HostState]:
        """Takes over the states that are newer than the known ones.

        Args:
            states: States from a peer.

        Returns:
            Those that were newer.
        """
        return [state for state in states if self._put(state)]

    def _put(self, state: HostState) -> bool:
        host, version = state["host"], version_of(state)
        known = self.version(host)
        if known is not None and known >= version:
            return False
        if host in self._forgotten and self._forgotten[host] >= version:
            return False
        self._forgotten.pop(host, None)
        if known is not None:
            self._toggle(host, known)
        self._toggle(host, version)
        self.state_by_host[host] = state
        return True

    def forget(self, host: str) -> None:
        """Drops a host; the same or an older version of its state is not taken over again.

        Args:
            host: Host name.
        """
        state = self.state_by_host.pop(host, None)
        if state is not None:
            self._forgotten[host] = version_of(state)
            self._toggle(host, version_of(state))

    def version(self, host: str) -> Version | None:
        """Returns the version of a host's state, None if the host is not known."""
        state = self.state_by_host.get(host)
        return None if state is None else version_of(state)

    @property
    def bucket_digests(self) -> list[int]:
        """Digest of each bucket."""
        return list(self._bucket_digests)

    @property
    def digest(self) -> int:
        """Digest of the whole table, equal for equal versions of all hosts."""
        packed = b"".join(digest.to_bytes(8) for digest in self._bucket_digests)
        return _hash(packed)

    def differing_buckets(self, digests: Sequence[int]) -> list[int]:
        """Returns the numbers of the buckets whose digest differs from the given ones.

        Args:
            digests: Digest of each bucket of a peer.
        """
        pairs = zip(self._bucket_digests, digests, strict=True)
        return [number for number, (mine, theirs) in enumerate(pairs) if mine != theirs]

    def versions_in(self, buckets: Iterable[int]) -> dict[str, Version]:
        """Returns the version by host for the hosts of some buckets.

        Args:
            buckets: Numbers of buckets.
        """
        wanted = set(buckets)
        return {
            host: version_of(state)
            for host, state in self.state_by_host.items()
            if _bucket(host) in wanted
        }

    def newer_than(
        self, versions: dict[str, Version], buckets: Iterable[int]
    ) -> tuple[list[HostState], list[str]]:
        """Compares with the versions that a peer has.

        Args:
            versions: Version by host that the peer has in these buckets.
            buckets: Numbers of buckets.

        Returns:
            States that the peer lacks, and hosts of which the peer has a newer state.
        """
        mine = self.versions_in(buckets)
        lacking = [
            self.state_by_host[host]
            for host, version in mine.items()
            if host not in versions or versions[host] < version
        ]
        wanted = [
            host
            for host, version in versions.items()
            if version > max(mine.get(host, (0, 0)), self._forgotten.get(host, (0, 0)))
        ]
        return lacking, wanted

    def _toggle(self, host: str, version: Version) -> None:
        self._bucket_digests[_bucket(host)] ^= _hash(repr((host, *version)).encode())


def _hash(data: bytes) -> int:
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())


@functools.lru_cache(maxsize=_CACHED_DIGESTS)
def _bucket(host: str) -> int:
    return _hash(host.encode()) % BUCKETS
