"""The statement of which shards an answer includes and which it lacks."""

from collections.abc import Sequence
from typing import Literal, TypedDict

LackReason = Literal[
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
"""Reason in a failure message of a dispatch process."""

_LACK_REASON_BY_FAILURE: dict[str, LackReason] = {
    "deadline": "deadline",
    "version_unavailable": "version_unavailable",
    "leaf_failed": "leaf_failed",
    "overloaded": "overloaded",
    "invalid_response": "invalid_response",
    "owner_lost": "owner_lost",
    # A call is cancelled only when the entry process stops waiting for it.
    "cancelled": "deadline",
    # The call id was seen before, so its answer went over a connection that is gone.
    "duplicate": "owner_lost",
}


class LackingShard(TypedDict):
    """A shard that an answer lacks."""

    shard: str
    """Shard name."""
    reason: LackReason
    """Why it is lacking."""


class CoverageStatement(TypedDict):
    """Which shards an answer includes; each shard of the query is in one of the lists."""

    included: list[str]
    """Shards whose rows are in the answer, in the order of the map."""
    lacking: list[LackingShard]
    """Shards whose rows are not, in the order of the map."""
    complete: bool
    """Whether no shard is lacking."""


class CoverageError(Exception):
    """A shard that the query does not have, or that was decided before."""


class Coverage:
    """Keeps for each shard of one query whether the answer includes it."""

    def __init__(self, *, shards: Sequence[str]) -> None:
        """Starts with every shard undecided.

        Args:
            shards: Shards of the query in the pinned map.

        Raises:
            CoverageError: A shard is listed twice.
        """
        self._lack_reason_by_shard: dict[str, LackReason] = {}
        self._included: set[str] = set()
        self._shards = tuple(shards)
        self._pending = set(shards)
        if len(self._pending) != len(self._shards):
            raise CoverageError("a shard is listed twice in the query")

    @property
    def pending(self) -> list[str]:
        """Shards that are undecided, in the order of the map."""
        return [shard for shard in self._shards if shard in self._pending]

    @property
    def pending_count(self) -> int:
        """Number of undecided shards."""
        return len(self._pending)

    @property
    def included_count(self) -> int:
        """Number of included shards."""
        return len(self._included)

    def include(self, shard: str) -> None:
        """States that the answer includes the shard; call it after the merge accepted its rows.

        Args:
            shard: A shard that is undecided.

        Raises:
            CoverageError: The shard is not undecided.
        """
        self._decide(shard)
        self._included.add(shard)

    def lack(self, shard: str, reason: FailureReason) -> None:
        """States that the answer lacks the shard.

        Args:
            shard: A shard that is undecided.
            reason: Reason of the failure; `cancelled` and `duplicate` are stated as the reason that
                caused them.

        Raises:
            CoverageError: The shard is not undecided or the reason is unknown.
        """
        if reason not in _LACK_REASON_BY_FAILURE:
            raise CoverageError(f"no reason {reason!r} for a lacking shard")
        self._decide(shard)
        self._lack_reason_by_shard[shard] = _LACK_REASON_BY_FAILURE[reason]

    def finish(self, default_reason: FailureReason) -> CoverageStatement:
        """Decides the remaining shards and makes the statement.

        Args:
            default_reason: Why the shards that are still undecided are lacking.

        Returns:
            The statement; later calls return the same one.
        """
        for shard in self.pending:
            self.lack(shard, default_reason)
        return CoverageStatement(
            included=[shard for shard in self._shards if shard in self._included],
            lacking=[
                LackingShard(shard=shard, reason=self._lack_reason_by_shard[shard])
                for shard in self._shards
                if shard in self._lack_reason_by_shard
            ],
            complete=not self._lack_reason_by_shard,
        )

    def _decide(self, shard: str) -> None:
        if shard not in self._pending:
            known = "was already decided" if shard in self._shards else "is not part of the query"
            raise CoverageError(f"shard {shard} {known}")
        self._pending.remove(shard)
