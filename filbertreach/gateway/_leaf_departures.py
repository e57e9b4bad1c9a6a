"""Departures of the leaves of one service, and until when a leaving leaf may still be used."""

import math
from typing import NamedTuple

from filbertreach.gateway._leaf_handle import LeafHandle
from filbertreach.observability import get_logger
from filbertreach.platform import LeafEntry
from filbertreach.timing import Clock

_LOGGER = get_logger(__name__)

_LAST_RESORT_SECONDS = 2.0
"""Time for which a leaf that is leaving or unlisted still receives requests if its service has no
other leaf. Entries can expire while the store is unavailable, and return within this time."""
_DRAIN_MARGIN_SECONDS = 0.3
"""Final part of the draining bound in which no request is written to the leaf; it covers the
network delay between the two."""
_DEPARTURE_RETENTION_SECONDS = 60.0
"""Time after the last sign of a leaf that has left for which its departure is remembered. A leaf
renews its entry while it drains, and an entry may expire and return before it has drained."""
_STATEMENT_RETENTION_SECONDS = 3600.0
"""Time for which the statement of a leaf that it is leaving is remembered after it was last listed.
Longer than entries of leaves that have ended stay in the store, and than outages of the store."""


class _Departure(NamedTuple):
    started_at_ms: int
    """Start time of the leaf process, in Unix milliseconds."""
    usable_until: float
    """Clock until which the leaf could be chosen as a last resort, in seconds."""
    seen_at: float
    """Clock when the leaf was last reported as leaving or unlisted, in seconds."""
    sequence: int
    """Number of the newest entry of the process that was seen."""

    def is_newer_than(self, entry: LeafEntry) -> bool:
        """Returns whether an entry is one that the process wrote before it was leaving.

        Args:
            entry: Entry of a leaf with the same id.
        """
        is_same_process = self.started_at_ms == entry.started_at_ms != 0
        return is_same_process and entry.sequence < self.sequence


class LeafDepartures:
    """Limits the use of leaves that are leaving, by the store or by what they say themselves."""

    def __init__(self, *, service: str, drain_seconds: float, clock: Clock) -> None:
        """Creates the state of a service of which no leaf is leaving.

        Args:
            service: Service name.
            drain_seconds: Bound within which a leaving leaf must receive no further requests.
            clock: Source of time.
        """
        self._service = service
        self._drain_seconds = drain_seconds
        self._clock = clock
        self._departure_by_id: dict[str, _Departure] = {}
        """Leaves that are leaving or unlisted. A repeated report does not make a leaf usable for
        longer, even if its handle has been removed meanwhile."""
        self._statement_by_process: dict[tuple[str, int], _Departure] = {}
        """Leaves that have said themselves that they are leaving. Nothing in the store ends their
        departure."""

    @property
    def is_empty(self) -> bool:
        """Whether no departure is remembered."""
        return not (self._departure_by_id or self._statement_by_process)

    def on_entry(self, handle: LeafHandle, *, since: float) -> None:
        """Begins or ends the departure of a leaf as its entry and its own statement say.

        Args:
            handle: The leaf, with its current entry.
            since: Clock after which the entry was written, in seconds.
        """
        entry = handle.entry
        statement = self._statement_by_process.get(entry.process)
        handle.tracker.leaving = entry.leaving or statement is not None
        if statement is not None:
            self._depart(handle, until=statement.usable_until)
            if entry.started_at_ms:
                self._statement_by_process[entry.process] = statement._replace(
                    seen_at=self._clock.now()
                )
        elif entry.leaving:
            self._depart(handle, until=self._last_write_at(since))
        elif (known := self._departure_by_id.get(entry.leaf.id)) and known.is_newer_than(entry):
            # A store that was restored from a copy lists the leaf as it was.
            handle.tracker.leaving = True
            self._depart(handle, until=known.usable_until)
        else:
            handle.usable_until = math.inf
            self._departure_by_id.pop(entry.leaf.id, None)

    def on_unlisted(self, handle: LeafHandle, *, since: float) -> None:
        """Begins the departure of a leaf that is no longer listed in the store.

        Args:
            handle: The leaf.
            since: Clock after which its entry was removed, in seconds.
        """
        handle.tracker.leaving = True
        until = self._last_write_at(since)
        if self._clock.now() - since > self._drain_seconds:
            # The store was unavailable since then, and entries of live leaves may have expired.
            until = math.inf
        self._depart(handle, until=until)

    def on_statement(self, handle: LeafHandle, current: LeafHandle | None) -> None:
        """Applies the statement of a leaf, in an answer, that it is leaving.

        It is in force until the leaf starts again, whatever the store says of the leaf.

        Args:
            handle: The leaf that answered.
            current: The handle of the same id, which may have been replaced since the request was
                sent; None if it was removed.
        """
        now = self._clock.now()
        process = handle.entry.process
        statement = self._statement_by_process.get(process)
        if statement is None:
            until = min(self._last_write_at(now), now + _LAST_RESORT_SECONDS, handle.usable_until)
            statement = _Departure(
                handle.entry.started_at_ms, until, now, sequence=handle.entry.sequence
            )
            _LOGGER.info("leaf says it is leaving", leaf=handle.leaf.id, service=self._service)
        self._statement_by_process[process] = statement._replace(seen_at=now)
        if current is not None and current.entry.process == process:
            current.tracker.leaving = True
            self._depart(current, until=statement.usable_until)

    def remove_expired(self, now: float) -> None:
        """Forgets departures after their retention time.

        Args:
            now: Current clock, in seconds.
        """
        for leaf_id, departure in list(self._departure_by_id.items()):
            if now - departure.seen_at > _DEPARTURE_RETENTION_SECONDS:
                del self._departure_by_id[leaf_id]
        for process, statement in list(self._statement_by_process.items()):
            if now - statement.seen_at > _STATEMENT_RETENTION_SECONDS:
                del self._statement_by_process[process]

    def _depart(self, handle: LeafHandle, *, until: float) -> None:
        """Limits the use of a leaf that is leaving or unlisted.

        Args:
            handle: The leaf.
            until: Clock after which no request may be written to the leaf, in seconds.
        """
        now = self._clock.now()
        started_at_ms, sequence = handle.entry.started_at_ms, handle.entry.sequence
        known = self._departure_by_id.get(handle.leaf.id)
        if known is not None and known.started_at_ms == started_at_ms:
            until = min(until, known.usable_until)
            sequence = max(sequence, known.sequence)
        else:
            until = min(until, now + _LAST_RESORT_SECONDS)
        handle.usable_until = min(handle.usable_until, until)
        self._departure_by_id[handle.leaf.id] = _Departure(
            started_at_ms, handle.usable_until, now, sequence
        )

    def _last_write_at(self, departed_after: float) -> float:
        """Returns the clock until which the draining bound allows a request to be written."""
        return departed_after + self._drain_seconds - _DRAIN_MARGIN_SECONDS
