"""Host states known to an agent, merged from all peers."""

import functools
import hashlib
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from filbertreach.schema import HostState

BUCKET_COUNT = 64
"""Number of buckets, which are compared by digest; 19 hosts in each with 1,200 hosts."""

_BUCKET_CACHE_SIZE = 1 << 13


class Version(NamedTuple):
    """Version of a host state; ordered by age."""

    incarnation: int
    """Incarnation of the agent that wrote the state."""
    counter: int
    """Number of changes in that incarnation."""


def version_of(state: HostState) -> Version:
    """Returns the version of a host state."""
    incarnation, counter = state["version"]
    return Version(incarnation, counter)


class HostTable:
    """The newest known state of each host.

    Each state has a single writer, the agent of the host, and is replaced as a whole by a newer
    version. Merging is therefore commutative, associative and idempotent: a last-writer-wins
    register for each host (Shapiro et al., "A comprehensive study of convergent and commutative
    replicated data types", INRIA RR-7506, 2011).
    """

    def __init__(self) -> None:
        """Creates an empty table."""
        self.state_by_host: dict[str, HostState] = {}
        self._removed_version_by_host: dict[str, Version] = {}
        self._bucket_digests = [0] * BUCKET_COUNT

    def merge(self, states: Iterable[HostState]) -> list[HostState]:
        """Merges states; those that are newer than the known ones replace them.

        Args:
            states: States from a peer.

        Returns:
            The states that were newer.
        """
        return [state for state in states if self._put(state)]

    def _put(self, state: HostState) -> bool:
        host, version = state["host"], version_of(state)
        known = self.version(host)
        if known is not None and known >= version:
            return False
        if host in self._removed_version_by_host and self._removed_version_by_host[host] >= version:
            return False
        self._removed_version_by_host.pop(host, None)
        if known is not None:
            self._toggle_digest(host, known)
        self._toggle_digest(host, version)
        self.state_by_host[host] = state
        return True

    def forget(self, host: str) -> None:
        """Removes a host; the same or an older version of its state is not merged again.

        Args:
            host: Host name.
        """
        state = self.state_by_host.pop(host, None)
        if state is not None:
            self._removed_version_by_host[host] = version_of(state)
            self._toggle_digest(host, version_of(state))

    def version(self, host: str) -> Version | None:
        """Returns the version of a host's state, None if the host is unknown."""
        state = self.state_by_host.get(host)
        return None if state is None else version_of(state)

    @property
    def bucket_digests(self) -> list[int]:
        """Digest of each bucket."""
        return list(self._bucket_digests)

    @property
    def digest(self) -> int:
        """Digest of the table; equal for tables with the same version of every host."""
        packed = b"".join(digest.to_bytes(8) for digest in self._bucket_digests)
        return _hash(packed)

    def differing_buckets(self, digests: Sequence[int]) -> list[int]:
        """Returns the numbers of the buckets whose digests differ from the given ones.

        Args:
            digests: Digests of a peer's buckets.
        """
        pairs = zip(self._bucket_digests, digests, strict=True)
        return [number for number, (own, other) in enumerate(pairs) if own != other]

    def versions_in(self, buckets: Iterable[int]) -> dict[str, Version]:
        """Returns the versions of the hosts in some buckets, by host.

        Args:
            buckets: Bucket numbers.
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
        """Compares the states in some buckets with the versions that a peer has.

        Args:
            versions: The peer's version by host in these buckets.
            buckets: Bucket numbers.

        Returns:
            States that the peer lacks or has in an older version, and hosts whose state is newer at
            the peer.
        """
        known = self.versions_in(buckets)
        missing_at_peer = [
            self.state_by_host[host]
            for host, version in known.items()
            if host not in versions or versions[host] < version
        ]
        wanted = [
            host
            for host, version in versions.items()
            if version
            > max(known.get(host, (0, 0)), self._removed_version_by_host.get(host, (0, 0)))
        ]
        return missing_at_peer, wanted

    def _toggle_digest(self, host: str, version: Version) -> None:
        self._bucket_digests[_bucket(host)] ^= _hash(repr((host, *version)).encode())


def _hash(data: bytes) -> int:
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())


@functools.lru_cache(maxsize=_BUCKET_CACHE_SIZE)
def _bucket(host: str) -> int:
    return _hash(host.encode()) % BUCKET_COUNT
