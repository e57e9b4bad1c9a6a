"""Messages between gateways about requests that crash leaves."""

import math
from typing import Literal, NamedTuple

from filbertreach.quarantine._fingerprint import FINGERPRINT_BYTES
from filbertreach.quarantine._request_quarantine import (
    ENTRY_SECONDS,
    MAX_LEAVES,
    QuarantineEvidence,
)
from filbertreach.schema import QuarantinedLeaf, QuarantineEntry, QuarantineNotice

MAX_ENTRIES_PER_SECOND = 50
"""Entries that a host sends per second, and largest number in one message."""
_MAX_RECEIVED_PER_SECOND = 1_000
"""Entries that a host takes from others per second. A processor core decodes many times as many."""
_MAX_NAME_CHARACTERS = 255
"""Characters of the name of a host, data centre, route or leaf."""
_MAX_ATTEMPTS = 1_000_000
"""Calls that an entry may state."""

Spread = Literal["all", "data_centre", "none"]
"""To whom the receiver passes a message on: see `encode_notice`."""


class NoticeError(ValueError):
    """A message about losses is unusable."""


class SharedLosses(NamedTuple):
    """Evidence with the route of the requests."""

    evidence: QuarantineEvidence
    """Losses under one fingerprint."""
    route: str
    """Name of the route."""


def encode_notice(
    losses: list[SharedLosses], *, sender: str, data_centre: str, spread: Spread
) -> QuarantineNotice:
    """Creates a message.

    Args:
        losses: What the sender has seen, at most `MAX_ENTRIES_PER_SECOND` entries.
        sender: Name of the host that has seen it.
        data_centre: Its data centre.
        spread: To whom the receiver passes it on: to all data centres, to the hosts of its own
            one, or to none.
    """
    return QuarantineNotice(
        sender=sender,
        data_centre=data_centre,
        spread=spread,
        entries=[
            QuarantineEntry(
                fingerprint=evidence.fingerprint.hex(),
                route=route,
                leaves=[
                    QuarantinedLeaf(leaf=leaf, started_at_ms=at) for leaf, at in evidence.leaves
                ],
                attempts=evidence.attempts,
                quarantined=evidence.is_quarantined,
                age_seconds=evidence.age_seconds,
            )
            for evidence, route in losses
        ],
    )


def decode_notice(notice: QuarantineNotice) -> list[SharedLosses]:
    """Checks a message and returns its entries.

    Args:
        notice: The message.

    Raises:
        NoticeError: A value is out of its bounds.
    """
    if not 1 <= len(notice["entries"]) <= MAX_ENTRIES_PER_SECOND:
        raise NoticeError(f"{len(notice['entries'])} entries")
    _check_names(notice["sender"], notice["data_centre"])
    return [_decode_entry(entry) for entry in notice["entries"]]


def _decode_entry(entry: QuarantineEntry) -> SharedLosses:
    try:
        fingerprint = bytes.fromhex(entry["fingerprint"])
    except ValueError as error:
        raise NoticeError("a fingerprint is not hexadecimal") from error
    age_seconds = entry["age_seconds"]
    if len(fingerprint) != FINGERPRINT_BYTES:
        raise NoticeError(f"a fingerprint has {len(fingerprint)} bytes")
    if not math.isfinite(age_seconds) or not 0.0 <= age_seconds <= ENTRY_SECONDS:
        raise NoticeError(f"an age of {age_seconds} s")
    if not 1 <= len(entry["leaves"]) <= MAX_LEAVES:
        raise NoticeError(f"{len(entry['leaves'])} leaves")
    if not len(entry["leaves"]) <= entry["attempts"] <= _MAX_ATTEMPTS:
        raise NoticeError(f"{entry['attempts']} attempts at {len(entry['leaves'])} leaves")
    _check_names(entry["route"], *(leaf["leaf"] for leaf in entry["leaves"]))
    leaves = tuple((leaf["leaf"], leaf["started_at_ms"]) for leaf in entry["leaves"])
    evidence = QuarantineEvidence(
        fingerprint, leaves, entry["attempts"], entry["quarantined"], age_seconds
    )
    return SharedLosses(evidence, entry["route"])


def _check_names(*names: str) -> None:
    if any(len(name) > _MAX_NAME_CHARACTERS for name in names):
        raise NoticeError(f"a name has more than {_MAX_NAME_CHARACTERS} characters")


class EntryAllowance:
    """Token bucket of the entries that may be sent to, or taken from, other hosts."""

    def __init__(self, *, per_second: int = MAX_ENTRIES_PER_SECOND) -> None:
        """Creates a full bucket.

        Args:
            per_second: Entries per second, and most entries at once.
        """
        self._per_second = per_second
        self._entries = float(per_second)
        self._updated_at = -math.inf

    def take(self, wanted: int, now: float) -> int:
        """Returns how many entries of those wanted are allowed, and counts them.

        Args:
            wanted: Number of entries.
            now: Current clock, in seconds.
        """
        elapsed_seconds = min(1.0, now - self._updated_at)
        self._entries = min(self._per_second, self._entries + elapsed_seconds * self._per_second)
        self._updated_at = now
        allowed = min(wanted, math.floor(self._entries))
        self._entries -= allowed
        return allowed


def received_allowance() -> EntryAllowance:
    """Returns the allowance for entries of other hosts."""
    return EntryAllowance(per_second=_MAX_RECEIVED_PER_SECOND)
