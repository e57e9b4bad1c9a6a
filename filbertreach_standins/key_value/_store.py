"""In-memory store of keys, values, revisions and leases."""

import itertools
from typing import Any, Literal, NamedTuple

MAX_VALUE_BYTES = 1_000_000
"""Largest value, in bytes of UTF-8."""


class StoreError(Exception):
    """An operation failed and had no effect."""

    def __init__(self, status: int, message: str, **details: Any) -> None:
        """Creates an error with the response that reports it.

        Args:
            status: HTTP status.
            message: What is wrong.
            details: Further fields of the response body.
        """
        super().__init__(message)
        self.status = status
        self.body = {"error": message, **details}


class Item(NamedTuple):
    """A key that exists."""

    key: str
    """Key."""
    value: str
    """Value."""
    revision: int
    """Revision of the store at which the key was last written."""
    lease: str | None
    """Id of the lease that the key is attached to, None without a lease."""


class Change(NamedTuple):
    """The latest change of a key."""

    type: Literal["put", "delete"]
    """Whether the key was written or deleted."""
    key: str
    """Key."""
    value: str | None
    """New value, None after a deletion."""
    revision: int
    """Revision of the store after the change."""


class _Lease:
    def __init__(self, ttl_seconds: float, expires_at: float) -> None:
        self.ttl_seconds = ttl_seconds
        self.expires_at = expires_at
        self.keys: set[str] = set()


class Store:
    """State of the service. Revisions only increase, also across `clear`."""

    def __init__(self) -> None:
        """Creates an empty store at revision 0."""
        self.revision = 0
        self.items: dict[str, Item] = {}
        self.expiry_stopped = False
        """Whether leases are kept after their expiry time."""
        self._change_by_key: dict[str, Change] = {}
        self._lease_by_id: dict[str, _Lease] = {}
        self._leases_granted = 0

    @property
    def lease_count(self) -> int:
        """Number of leases that are neither expired nor revoked."""
        return len(self._lease_by_id)

    def put(self, *, key: str, value: str, expected_revision: int | None, lease: str | None) -> int:
        """Writes a key.

        Args:
            key: Key.
            value: Value.
            expected_revision: Revision that the key must have, 0 if it must not exist, None if any.
            lease: Id of the lease to attach the key to, or None.

        Returns:
            The new revision.

        Raises:
            StoreError: Status 409, 410 or 413; nothing was written.
        """
        size = len(value.encode())
        if size > MAX_VALUE_BYTES:
            raise StoreError(413, f"the value has {size} bytes; at most {MAX_VALUE_BYTES} allowed")
        if lease is not None and lease not in self._lease_by_id:
            raise StoreError(410, f"lease {lease!r} does not exist or has expired")
        current = self.items.get(key)
        revision = current.revision if current else 0
        if expected_revision is not None and expected_revision != revision:
            raise StoreError(409, f"key {key!r} has revision {revision}", revision=revision)
        self._detach_from_lease(key)
        if lease is not None:
            self._lease_by_id[lease].keys.add(key)
        self.revision += 1
        self.items[key] = Item(key, value, self.revision, lease)
        self._record(Change("put", key, value, self.revision))
        return self.revision

    def delete(self, *, key: str, expected_revision: int | None) -> int:
        """Deletes a key.

        Args:
            key: Key.
            expected_revision: Revision that the key must have, None if any.

        Returns:
            The new revision.

        Raises:
            StoreError: Status 404 or 409; nothing was deleted.
        """
        current = self.items.get(key)
        if current is None:
            raise StoreError(404, f"key {key!r} does not exist", revision=self.revision)
        if expected_revision is not None and expected_revision != current.revision:
            message = f"key {key!r} has revision {current.revision}"
            raise StoreError(409, message, revision=current.revision)
        self._remove(key)
        return self.revision

    def _detach_from_lease(self, key: str) -> None:
        current = self.items.get(key)
        if current is not None and current.lease in self._lease_by_id:
            self._lease_by_id[current.lease].keys.discard(key)

    def _remove(self, key: str) -> None:
        self._detach_from_lease(key)
        del self.items[key]
        self.revision += 1
        self._record(Change("delete", key, None, self.revision))

    def items_with_prefix(self, prefix: str) -> list[Item]:
        """Returns the items whose keys start with a prefix, sorted by key."""
        return [self.items[key] for key in sorted(self.items) if key.startswith(prefix)]

    def changes(self, *, prefix: str, after: int) -> list[Change]:
        """Returns the latest change of each key with a prefix, if newer than a revision.

        Changes are in order of revision. Earlier changes of the same key are left out, so that no
        history has to be kept.
        """
        newer = itertools.takewhile(
            lambda change: change.revision > after, reversed(self._change_by_key.values())
        )
        return [change for change in newer if change.key.startswith(prefix)][::-1]

    def _record(self, change: Change) -> None:
        # Removed first, so that the dict stays in order of revision.
        self._change_by_key.pop(change.key, None)
        self._change_by_key[change.key] = change

    def grant(self, *, ttl_seconds: float, now: float) -> str:
        """Grants a lease and returns its id."""
        self._leases_granted += 1
        lease = f"lease-{self._leases_granted}"
        self._lease_by_id[lease] = _Lease(ttl_seconds, now + ttl_seconds)
        return lease

    def renew(self, *, lease: str, now: float) -> None:
        """Renews a lease for its full time to live.

        Raises:
            StoreError: Status 410; the lease has expired.
        """
        found = self._find_lease(lease)
        found.expires_at = now + found.ttl_seconds

    def revoke(self, *, lease: str) -> None:
        """Revokes a lease and deletes its keys.

        Raises:
            StoreError: Status 410; the lease has expired.
        """
        keys = self._find_lease(lease).keys
        del self._lease_by_id[lease]
        for key in sorted(keys):
            self._remove(key)

    def _find_lease(self, lease: str) -> _Lease:
        found = self._lease_by_id.get(lease)
        if found is None:
            raise StoreError(410, f"lease {lease!r} does not exist or has expired")
        return found

    def expire(self, *, now: float) -> bool:
        """Revokes expired leases and returns whether there were any."""
        if self.expiry_stopped:
            return False
        expired = [name for name, found in self._lease_by_id.items() if found.expires_at <= now]
        for lease in expired:
            self.revoke(lease=lease)
        return bool(expired)

    def expire_all(self) -> None:
        """Revokes every lease."""
        for lease in list(self._lease_by_id):
            self.revoke(lease=lease)

    def clear(self) -> None:
        """Revokes every lease and deletes every key."""
        self.expire_all()
        for key in list(self.items):
            self._remove(key)
