"""Changes of the store that this host has applied, served to neighbours that follow this host."""

import math
from collections import deque
from collections.abc import Iterable

import anyio

from filbertreach.observability import get_logger
from filbertreach.platform import StoredChange, StoredItem, StoredListing
from filbertreach.schema import StoreNews, StoreNewsItem
from filbertreach.timing import Clock

_MAX_CHANGES = 2000
"""Retained changes; a neighbour that needs older ones reads the store."""
_MAX_BYTES = 4_000_000
"""Bytes of retained changes. Hosts have 152 to 552 MB in all and values have up to 1 MB, so a count
alone does not bound the memory. Neighbours ask at least every 2 s, and so need few versions of a
value. As JSON, an answer with all retained changes stays below the 8 MiB that they accept."""
_CONTROL_CHARACTERS = bytes(set(range(0x20)) - set(b"\b\t\n\f\r"))
"""Characters that JSON writes as six bytes; all others take at most two for each byte."""
_CONTROL_CHARACTER_BYTES = 3
"""Bytes counted for a control character, half of what it takes as JSON, as for the others."""
_CHANGE_OVERHEAD_BYTES = 400
"""Memory of a change beside its key and value: two tuples and the headers of their objects."""

_LOGGER = get_logger(__name__)


class ChangeLog:
    """The latest changes of the store by revision, and the time at which they were complete."""

    def __init__(self, *, clock: Clock) -> None:
        """Creates an empty log, which is unusable until the first `reset`.

        Args:
            clock: Source of time.
        """
        self.revision: int | None = None
        """Revision up to which the changes are complete, None before the first listing."""
        self.epoch = 0
        """Epoch of the store to which `revision` belongs; revisions of two epochs can't be
        compared."""
        self.as_of = -math.inf
        """Latest clock time at which the store had nothing newer than `revision`, in seconds."""
        self.asked_at = -math.inf
        """Clock when a neighbour last asked for changes, in seconds."""
        self._clock = clock
        self._reaches_store = True
        self._complete_after = 0
        """Changes after this revision are retained without a gap."""
        self._keys: set[str] = set()
        """All keys of the store, to find those that a listing lacks."""
        self._changes: deque[StoredChange] = deque()
        self._retained_bytes = 0
        self._confirmed = anyio.Event()

    @property
    def age_seconds(self) -> float:
        """Time since `as_of`."""
        return self._clock.now() - self.as_of

    def apply_listing(self, listing: StoredListing, *, as_of: float) -> None:
        """Applies a listing of the store.

        What differs from before is recorded as changes, so that neighbours need no listing of their
        own; they may be unable to read the store. A listing of another epoch starts the log anew.

        Args:
            listing: The listing.
            as_of: Clock when the listing was requested, in seconds.
        """
        last_revision, last_keys = self.revision, self._keys
        self._keys = set(listing.item_by_key)
        is_same_history = listing.epoch == self.epoch and listing.revision >= (last_revision or 0)
        if last_revision is None or not is_same_history:
            self.reset(revision=listing.revision, as_of=as_of, epoch=listing.epoch)
            return
        changes = [
            StoredChange(key, item, item.revision)
            for key, item in listing.item_by_key.items()
            if item.revision > last_revision
        ]
        changes += [StoredChange(key, None, listing.revision) for key in last_keys - self._keys]
        self.append(sorted(changes, key=lambda change: change.revision))
        self.confirm(revision=listing.revision, as_of=as_of)

    def reset(self, *, revision: int, as_of: float, epoch: int = 0) -> None:
        """Starts again from a listing of the store; changes before it are discarded.

        Args:
            revision: Revision of the listing.
            as_of: Clock when the listing was requested, in seconds.
            epoch: Epoch of the store.
        """
        self._changes.clear()
        self._retained_bytes = 0
        self._complete_after = revision
        self.epoch = epoch
        self.revision = revision
        self.as_of = max(self.as_of, as_of)
        self._notify()

    def append(self, changes: Iterable[StoredChange]) -> None:
        """Appends changes and evicts the oldest ones beyond the retention limits.

        Args:
            changes: Changes after `revision`, in order of revision.
        """
        for change in changes:
            self._changes.append(change)
            if change.item is None:
                self._keys.discard(change.key)
            else:
                self._keys.add(change.key)
            self._retained_bytes += _size_bytes(change)
            while len(self._changes) > _MAX_CHANGES or self._retained_bytes > _MAX_BYTES:
                evicted = self._changes.popleft()
                self._retained_bytes -= _size_bytes(evicted)
                self._complete_after = max(self._complete_after, evicted.revision)

    def confirm(self, *, revision: int, as_of: float) -> None:
        """Records that the log was up to date, and wakes `changes_since` if this is new.

        An answer that brings nothing new wakes none: hosts that follow each other in a circle would
        otherwise answer each other without a pause.

        Args:
            revision: Revision up to which the changes are complete.
            as_of: Clock at which the store had nothing newer, in seconds.
        """
        assert self.revision is not None
        if revision <= self.revision and as_of <= self.as_of:
            return
        self.revision = max(self.revision, revision)
        self.as_of = max(self.as_of, as_of)
        self._notify()

    def set_reaches_store(self, reaches_store: bool) -> None:
        """Sets whether this host can read the store; wakes `changes_since` when it no longer can.

        Args:
            reaches_store: Whether the last call of this host to the store succeeded.
        """
        is_lost = self._reaches_store and not reaches_store
        self._reaches_store = reaches_store
        if is_lost:
            self._notify()

    def _notify(self) -> None:
        self._confirmed.set()
        self._confirmed = anyio.Event()

    async def changes_since(
        self, revision: int, *, wait_seconds: float, epoch: int = 0
    ) -> StoreNews:
        """Returns the changes after a revision; waits for the next confirmation if there are none.

        A host that can't read the store answers at once, so that the neighbour asks another one.

        Args:
            revision: Revision up to which the neighbour has all changes.
            wait_seconds: Longest wait while there is no change, in seconds.
            epoch: Epoch of the store to which the revision belongs.

        Returns:
            The changes, marked as incomplete if some of them are no longer retained or the epoch is
            another one.
        """
        self.asked_at = asked_at = self._clock.now()
        has_no_news = self.revision is None or (epoch == self.epoch and revision >= self.revision)
        if has_no_news and self._reaches_store:
            confirmed = self._confirmed
            with anyio.move_on_after(wait_seconds):
                await confirmed.wait()
        if self.revision is None:
            return StoreNews(
                complete=False,
                revision=0,
                epoch=self.epoch,
                age_seconds=0.0,
                held_seconds=0.0,
                reads_store=self._reaches_store,
                changes=[],
            )
        complete = epoch == self.epoch and revision >= self._complete_after
        changes = [c for c in self._changes if c.revision > revision] if complete else []
        return StoreNews(
            complete=complete,
            revision=self.revision,
            epoch=self.epoch,
            age_seconds=self.age_seconds,
            held_seconds=self._clock.now() - asked_at,
            reads_store=self._reaches_store,
            changes=[_encode_change(change) for change in changes],
        )


def _size_bytes(change: StoredChange) -> int:
    """Returns an upper bound of the memory of a change and of half its size as JSON."""
    value = (change.item.value if change.item is not None else None) or b""
    text_bytes = 0
    for text in (change.key.encode(), value):
        control_count = len(text) - len(text.translate(None, _CONTROL_CHARACTERS))
        text_bytes += len(text) + (_CONTROL_CHARACTER_BYTES - 1) * control_count
    return _CHANGE_OVERHEAD_BYTES + text_bytes


def _encode_change(change: StoredChange) -> StoreNewsItem:
    item = StoreNewsItem(key=change.key, revision=change.revision, removed=change.item is None)
    if change.item is not None and change.item.value is not None:
        try:
            item["value"] = change.item.value.decode()
        except UnicodeDecodeError:
            _LOGGER.info("value is not UTF-8; change sent without it", key=change.key)
    return item


def decode_change(item: StoreNewsItem) -> StoredChange:
    """Decodes a change received from a neighbour.

    Args:
        item: The encoded change. Without a value and not removed, the value was unreadable.

    Returns:
        The change.
    """
    if item["removed"]:
        return StoredChange(item["key"], None, item["revision"])
    value = item["value"].encode() if "value" in item else None
    return StoredChange(
        item["key"], StoredItem(item["key"], value, item["revision"]), item["revision"]
    )
