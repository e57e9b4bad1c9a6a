"""Records of phone calls before planned changes, as the key-value service holds them."""

import logging

import msgspec

from filbertreach.changes import CallRecord
from filbertreach.platform import KeyValueListing, WatchBatch
from filbertreach.records import ENVIRONMENTS_PREFIX
from filbertreach.schema import CallBoardCopy, CallCopy

_LOGGER = logging.getLogger(__name__)


class CallBoard:
    """All call records as of one revision of the store; a later revision replaces an earlier one.

    Revision 0 means that the records are not known. Every content with a revision is exactly what
    the store held at it, so the content of the higher revision is never the older one.
    """

    def __init__(self) -> None:
        """Starts without knowing the records."""
        self._copy_by_key: dict[str, CallCopy] = {}
        self.revision = 0
        """Revision of the last change that is known, 0 if the records are not known."""
        self.copy: CallBoardCopy | None = None
        """The records in order of their keys, None if they are not known."""

    def take_listing(self, listing: KeyValueListing) -> None:
        """Takes over a listing of all environments.

        Args:
            listing: Every key below `filbertreach/environments/`.
        """
        if listing.revision < self.revision:
            return
        found = {}
        for key, item in listing.items_by_key.items():
            copy = _parse(key, item.value)
            if copy is not None:
                found[key] = copy
        if not self.revision or found != self._copy_by_key:
            self._replace(found, max(1, listing.revision))

    def take_events(self, batch: WatchBatch) -> None:
        """Applies what a watch saw.

        Args:
            batch: Events after the last listing or batch.
        """
        found, revision = dict(self._copy_by_key), self.revision
        for event in batch.events:
            if event.revision <= revision or not _is_call_key(event.key):
                continue
            copy = None if event.value is None else _parse(event.key, event.value)
            if copy is None:
                found.pop(event.key, None)
            else:
                found[event.key] = copy
            revision = event.revision
        if revision != self.revision:
            self._replace(found, revision)

    def merge(self, copy: CallBoardCopy) -> bool:
        """Takes over the records of a peer if they are newer.

        Args:
            copy: What the peer knows.

        Returns:
            Whether they were newer.
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
    words = key.removeprefix(ENVIRONMENTS_PREFIX).split("/")
    return len(words) == 4 and words[1] == "calls"


def _key_of(copy: CallCopy) -> str:
    return f"{ENVIRONMENTS_PREFIX}{copy['environment']}/calls/{copy['change']}/{copy['client']}"


def _parse(key: str, value: str) -> CallCopy | None:
    """Reads a record; returns None for another key and for a value that is not a record."""
    if not _is_call_key(key):
        return None
    try:
        record = msgspec.json.decode(value, type=CallRecord)
    except msgspec.MsgspecError as error:
        _LOGGER.error("call record %s ignored: %s", key, error)
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
