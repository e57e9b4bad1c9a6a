"""Tracks which shards an answer includes and which it lacks."""

from collections.abc import Sequence
from typing import Literal, TypedDict

LackingReason = Literal[
    "deadline",
    "version_unavailable",
    "leaf_failed",
    "overloaded",
    "invalid_response",
    "owner_lost",
]
"""Why an answer lacks a shard."""

FailureReason = Literal[
    "deadline",
    "version_unavailable",
    "leaf_failed",
    "overloaded",
    "invalid_response",
    "owner_lost",
    "cancelled",
    "duplicate",
]
"""Reason given in a failure message from a dispatch process."""

_LACKING_REASON_BY_FAILURE: dict[str, LackingReason] = {
    "deadline": "deadline",
    "version_unavailable": "version_unavailable",
    "leaf_failed": "leaf_failed",
    "overloaded": "overloaded",
    "invalid_response": "invalid_response",
    "owner_lost": "owner_lost",
    # The entry process cancels a call only when it stops waiting for it.
    "cancelled": "deadline",
    # The call id was received before, and its answer was sent over a connection that is lost.
    "duplicate": "owner_lost",
}


class LackingShard(TypedDict):
    """A shard that an answer lacks."""

    shard: str
    """Shard name."""
    reason: LackingReason
    """Why the answer lacks it."""


class CoverageStatement(TypedDict):
    """Which shards an answer includes; each shard of the query is in exactly one of the lists."""

    included: list[str]
    """Shards whose rows are in the answer, in the order of the map."""
    lacking: list[LackingShard]
    """Shards whose rows are not in the answer, in the order of the map."""
    complete: bool
    """Whether the answer includes all shards."""


class CoverageError(Exception):
    """The shard is not part of the query or was already decided, or the reason is unknown."""


class Coverage:
    """Records for each shard of one query whether the answer includes it."""

    def __init__(self, *, shards: Sequence[str]) -> None:
        """Creates a record in which every shard is undecided.

        Args:
            shards: Shards of the query in the partition map of the snapshot.

        Raises:
            CoverageError: A shard is listed twice.
        """
        self._lacking_reason_by_shard: dict[str, LackingReason] = {}
        self._included: set[str] = set()
        self._shards = tuple(shards)
        self._pending = set(shards)
        if len(self._pending) != len(self._shards):
            raise CoverageError("a shard is listed twice in the query")

    @property
    def pending(self) -> list[str]:
        """Undecided shards, in the order of the map."""
        return [shard for shard in self._shards if shard in self._pending]

    @property
    def pending_count(self) -> int:
        """Number of undecided shards."""
        return len(self._pending)

    @property
    def included_count(self) -> int:
        """Number of included shards."""
        return len(self._included)

    def mark_included(self, shard: str) -> None:
        """Marks a shard as included; call this after the merge has accepted its rows.

        Args:
            shard: An undecided shard.

        Raises:
            CoverageError: The shard is not undecided.
        """
        self._mark_decided(shard)
        self._included.add(shard)

    def mark_lacking(self, shard: str, reason: FailureReason) -> None:
        """Marks a shard as lacking.

        Args:
            shard: An undecided shard.
            reason: Reason of the failure; `cancelled` and `duplicate` are recorded as the reason
                that caused them.

        Raises:
            CoverageError: The shard is not undecided or the reason is unknown.
        """
        if reason not in _LACKING_REASON_BY_FAILURE:
            raise CoverageError(f"unknown reason {reason!r} for a lacking shard")
        self._mark_decided(shard)
        self._lacking_reason_by_shard[shard] = _LACKING_REASON_BY_FAILURE[reason]

    def finish(self, default_reason: FailureReason) -> CoverageStatement:
        """Marks the undecided shards as lacking and returns the statement.

        Args:
            default_reason: Reason recorded for the undecided shards.

        Returns:
            The statement; later calls return an equal one.
        """
        for shard in self.pending:
            self.mark_lacking(shard, default_reason)
        return CoverageStatement(
            included=[shard for shard in self._shards if shard in self._included],
            lacking=[
                LackingShard(shard=shard, reason=self._lacking_reason_by_shard[shard])
                for shard in self._shards
                if shard in self._lacking_reason_by_shard
            ],
            complete=not self._lacking_reason_by_shard,
        )

    def _mark_decided(self, shard: str) -> None:
        if shard not in self._pending:
            known = "was already decided" if shard in self._shards else "is not part of the query"
            raise CoverageError(f"shard {shard} {known}")
        self._pending.remove(shard)
