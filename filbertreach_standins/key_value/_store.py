"""Keys, values, revisions and leases in memory."""

import itertools
from typing import Any, Literal, NamedTuple

MAX_VALUE_BYTES = 1_000_000
"""Largest value, in bytes of UTF-8."""


class StoreError(Exception):
    """An operation that had no effect."""

    def __init__(self, status: int, message: str, **details: Any) -> None:
        """Keeps the answer.

        Args:
            status: HTTP status.
            message: What is wrong.
            details: Further fields of the answer.
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
    """Revision of the store after its last write."""
    lease: str | None
    """Lease that the key is bound to."""


class Change(NamedTuple):
    """The latest change of a key."""

    type: Literal["put", "delete"]
    """Whether the key exists since."""
    key: str
    """Key."""
    value: str | None
    """Value, None after a deletion."""
    revision: int
    """Revision of the store after the change."""


class _Lease:
    def __init__(self, ttl_seconds: float, expires_at: float) -> None:
        self.ttl_seconds = ttl_seconds
        self.expires_at = expires_at
        self.keys: set[str] = set()


class Store:
    """The state of the service. Revisions only increase, even across `clear`."""

    def __init__(self) -> None:
        """Starts empty at revision 0."""
        self.revision = 0
        self.items: dict[str, Item] = {}
        self.expiry_stopped = False
        self._change_by_key: dict[str, Change] = {}
        self._lease_by_id: dict[str, _Lease] = {}
        self._leases_granted = 0

    @property
    def lease_count(self) -> int:
        """Leases that did not expire."""
        return len(self._lease_by_id)

    def put(self, *, key: str, value: str, expected_revision: int | None, lease: str | None) -> int:
        """Writes a key.

        Args:
            key: Key.
            value: Value.
            expected_revision: Revision that the key must have, 0 if it must not exist, None if any.
            lease: Lease that the key is bound to from now on, or None.

        Returns:
            The new revision.

        Raises:
            StoreError: 409, 410 or 413; nothing was written.
        """
        size = len(value.encode())
        if size > MAX_VALUE_BYTES:
            raise StoreError(413, f"the value has {size} bytes; at most {MAX_VALUE_BYTES} allowed")
        if lease is not None and lease not in self._lease_by_id:
            raise StoreError(410, f"lease {lease!r} does not exist or has expired")
        present = self.items.get(key)
        revision = present.revision if present else 0
        if expected_revision is not None and expected_revision != revision:
            raise StoreError(409, f"key {key!r} has revision {revision}", revision=revision)
        self._detach(key)
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
            StoreError: 404 or 409; nothing was deleted.
        """
        present = self.items.get(key)
        if present is None:
            raise StoreError(404, f"key {key!r} does not exist", revision=self.revision)
        if expected_revision is not None and expected_revision != present.revision:
            message = f"key {key!r} has revision {present.revision}"
            raise StoreError(409, message, revision=present.revision)
        self._remove(key)
        return self.revision

    def _detach(self, key: str) -> None:
        present = self.items.get(key)
        if present is not None and present.lease in self._lease_by_id:
            self._lease_by_id[present.lease].keys.discard(key)

    def _remove(self, key: str) -> None:
        self._detach(key)
        del self.items[key]
        self.revision += 1
        self._record(Change("delete", key, None, self.revision))

    def items_with_prefix(self, prefix: str) -> list[Item]:
        """Returns the items whose keys start with a prefix, in order of their keys."""
        return [self.items[key] for key in sorted(self.items) if key.startswith(prefix)]

    def changes(self, *, prefix: str, after: int) -> list[Change]:
        """Returns the latest change of each key with a prefix, if newer than a revision, in order.

        Earlier changes of the same key are left out, so that no history has to be kept.
        """
        newer = itertools.takewhile(
            lambda change: change.revision > after, reversed(self._change_by_key.values())
        )
        return [change for change in newer if change.key.startswith(prefix)][::-1]

    def _record(self, change: Change) -> None:
        # Removed first, so that the values stay in order of revision.
        self._change_by_key.pop(change.key, None)
        self._change_by_key[change.key] = change

    def grant(self, *, ttl_seconds: float, now: float) -> str:
        """Grants a lease and returns its id."""
        self._leases_granted += 1
        lease = f"lease-{self._leases_granted}"
        self._lease_by_id[lease] = _Lease(ttl_seconds, now + ttl_seconds)
        return lease

    def renew(self, *, lease: str, now: float) -> None:
        """Extends a lease to its whole time from now.

        Raises:
            StoreError: 410, the lease has expired.
        """
        held = self._lease(lease)
        held.expires_at = now + held.ttl_seconds

    def revoke(self, *, lease: str) -> None:
        """Ends a lease and deletes its keys.

        Raises:
            StoreError: 410, the lease has expired.
        """
        keys = self._lease(lease).keys
        del self._lease_by_id[lease]
        for key in sorted(keys):
            self._remove(key)

    def _lease(self, lease: str) -> _Lease:
        held = self._lease_by_id.get(lease)
        if held is None:
            raise StoreError(410, f"lease {lease!r} does not exist or has expired")
        return held

    def expire(self, *, now: float) -> bool:
        """Revokes the leases whose time has passed; returns whether there were any."""
        if self.expiry_stopped:
            return False
        expired = [name for name, held in self._lease_by_id.items() if held.expires_at <= now]
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
