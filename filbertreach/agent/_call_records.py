"""Copies of the records of calls to clients (by phone) ahead of planned changes."""

import logging

from filbertreach.changes import CallRecord
from filbertreach.platform import KeyValueListing, WatchBatch
from filbertreach.records import ENVIRONMENTS_PREFIX
from filbertreach.schema import CallBoardCopy, CallCopy, InvalidMessageError, JsonDecoder

_LOGGER = logging.getLogger(__name__)
_RECORD_DECODER = JsonDecoder(message=CallRecord)


class CallRecordTable:
    """All call records as of one revision of the key-value service.

    Each copy is exactly what the service held at its revision, so a copy with a higher revision is
    newer and replaces one with a lower revision. Revision 0 means that the records are unknown.
    """

    def __init__(self) -> None:
        """Creates a table whose records are unknown."""
        self._copy_by_key: dict[str, CallCopy] = {}
        self.revision = 0
        """Revision of the last known change; 0 if the records are unknown."""
        self.copy: CallBoardCopy | None = None
        """The records sorted by key; None if they are unknown."""

    def apply_listing(self, listing: KeyValueListing) -> None:
        """Replaces the records with those of a listing, unless the listing is older.

        Args:
            listing: All keys below `filbertreach/environments/`.
        """
        if listing.revision < self.revision:
            return
        copy_by_key = {}
        for key, item in listing.items_by_key.items():
            copy = _parse(key, item.value)
            if copy is not None:
                copy_by_key[key] = copy
        if not self.revision or copy_by_key != self._copy_by_key:
            self._replace(copy_by_key, max(1, listing.revision))

    def apply_events(self, batch: WatchBatch) -> None:
        """Applies the events of a watch.

        Args:
            batch: Events after the last listing or batch.
        """
        copy_by_key, revision = dict(self._copy_by_key), self.revision
        for event in batch.events:
            if event.revision <= revision or not _is_call_key(event.key):
                continue
            copy = None if event.value is None else _parse(event.key, event.value)
            if copy is None:
                copy_by_key.pop(event.key, None)
            else:
                copy_by_key[event.key] = copy
            revision = event.revision
        if revision != self.revision:
            self._replace(copy_by_key, revision)

    def merge(self, copy: CallBoardCopy) -> bool:
        """Replaces the records with those of a peer if the latter are newer.

        Args:
            copy: Records of the peer.

        Returns:
            Whether the records were replaced.
        """
        if copy["revision"] <= self.revision:
            return False
        self._replace({_key_of(record): record for record in copy["records"]}, copy["revision"])
        return True

    def _replace(self, copy_by_key: dict[str, CallCopy], revision: int) -> None:
        self._copy_by_key, self.revision = copy_by_key, revision
        records = [copy_by_key[key] for key in sorted(copy_by_key)]
        self.copy = CallBoardCopy(revision=revision, records=records)


def _is_call_key(key: str) -> bool:
    segments = key.removeprefix(ENVIRONMENTS_PREFIX).split("/")
    return len(segments) == 4 and segments[1] == "calls"


def _key_of(copy: CallCopy) -> str:
    return f"{ENVIRONMENTS_PREFIX}{copy['environment']}/calls/{copy['change']}/{copy['client']}"


def _parse(key: str, value: str) -> CallCopy | None:
    """Parses a record; returns None if the key or the value is not that of a call record."""
    if not _is_call_key(key):
        return None
    try:
        record = _RECORD_DECODER.decode(value)
    except InvalidMessageError as error:
        _LOGGER.error("ignored invalid call record %s: %s", key, error)
        return None
    environment, _, change, client = key.removeprefix(ENVIRONMENTS_PREFIX).split("/")
    return CallCopy(
        environment=environment,
        change=change,
        client=client,
        by=record["by"],
        at=record["at"],
        digest=record["digest"],
    )
