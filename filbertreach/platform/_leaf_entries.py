"""Entries with which leaves register themselves in the platform's store."""

from typing import Annotated, Literal, NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from filbertreach.document import Leaf
from filbertreach.platform._deployment_store import StoredItem
from filbertreach.schema import Int64, JsonDecoder, NonNegativeInt64, parse_address

LEAVES_PREFIX = "servers/"
"""Prefix of the entries' keys; the rest of the key is the leaf id."""
_MAX_SLOTS = 1_000_000
"""Largest number of slots that a leaf may state; no process runs more requests at once."""


class LeafEntryError(Exception):
    """An entry that does not describe a usable leaf."""


class LeafEntry(NamedTuple):
    """A listed leaf."""

    leaf: Leaf
    """The leaf."""
    service: str
    """Service whose shards it holds."""
    slots: int
    """Number of requests that it runs at once."""
    leaving: bool
    """Whether the leaf is draining and must get no new requests."""
    started_at_ms: int
    """Start time in Unix milliseconds; it differs after a restart with the same id."""
    cold_seconds: float = 0.0
    """Time from the writing of the entry for which the leaf stays cold after its start."""
    sequence: int = 0
    """Number of the entry among those that the process has written."""

    @property
    def process(self) -> tuple[str, int]:
        """Leaf id and start time, which identify the process of the leaf."""
        return self.leaf.id, self.started_at_ms


class _Entry(msgspec.Struct):
    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    # Data centre.
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]
    state: Literal["ready", "draining"]
    # Every leaf writes these fields; an entry without them comes from another writer.
    version: str
    cold_left_ms: NonNegativeInt64
    sequence: NonNegativeInt64
    born: Int64 = 0


_DECODER = JsonDecoder(message=_Entry)


def decode_leaf_entry(
    item: StoredItem, *, region_by_data_centre: dict[str, str]
) -> Result[LeafEntry, LeafEntryError]:
    """Decodes and validates an entry, which may have been written by something other than a leaf.

    Args:
        item: Item with a key that starts with LEAVES_PREFIX.
        region_by_data_centre: Regions of the data centres of the deployment.

    Returns:
        The entry, or an error with the reason why it is invalid.
    """
    leaf_id = item.key.removeprefix(LEAVES_PREFIX)
    try:
        entry = _DECODER.decode(item.value or b"")
        parse_address(entry.address)
        leaf_id.encode("ascii")
    except ValueError as error:
        return Failure(LeafEntryError(f"entry {item.key!r} is ignored: {error}"))
    if not leaf_id or any(character <= " " for character in leaf_id):
        return Failure(LeafEntryError(f"entry {item.key!r} is ignored: invalid leaf id"))
    region = region_by_data_centre.get(entry.zone, "")
    leaf = Leaf(id=leaf_id, address=entry.address, region=region, data_centre=entry.zone)
    return Success(
        LeafEntry(
            leaf=leaf,
            service=entry.service,
            slots=entry.slots,
            leaving=entry.state == "draining",
            started_at_ms=entry.born,
            cold_seconds=entry.cold_left_ms / 1000.0,
            sequence=entry.sequence,
        )
    )
