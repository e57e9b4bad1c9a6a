"""Log lines of the host that merges the observations of its data centre."""

import math
from collections.abc import Iterable

from filbertreach.leaf_observations._board import StateChange
from filbertreach.leaf_observations._states import LeafState
from filbertreach.observability import get_logger

_LOGGER = get_logger(__name__)

_PERIOD_SECONDS = 10.0
"""Time in which a leaf gets one pair of lines. A leaf that fails some of its calls is listed again
and again."""
_MAX_LINES = 20
"""Leaves with lines in a period; a failure of a whole data centre concerns many leaves."""


class StateChangeLog:
    """Writes a line when a leaf is listed as failing or slow, and when that ends; bounded."""

    def __init__(self) -> None:
        """Creates a log without lines."""
        self._period_started_at = -math.inf
        self._leaf_ids_in_period: set[str] = set()
        """Leaves whose listing was written in this period."""
        self._open_leaf_ids: set[str] = set()
        """Leaves whose listing was written and whose end was not."""
        self._dropped_count = 0

    def record(
        self, changes: Iterable[StateChange], now: float, *, is_general: bool = False
    ) -> None:
        """Writes a line for each change that the bounds of the log allow.

        Args:
            changes: Changes of the merged states.
            now: Current clock, in seconds.
            is_general: Whether none is listed because too many leaves are observed; see
                `ObservationBoard.is_general`.
        """
        if now - self._period_started_at >= _PERIOD_SECONDS:
            self._period_started_at = now
            self._leaf_ids_in_period.clear()
        for change in changes:
            if change.new is None:
                self._record_end(
                    change, "too many leaves" if is_general else _end_reason(change.old, now)
                )
            elif change.leaf_id not in self._leaf_ids_in_period:
                self._record_listing(change)

    def _record_listing(self, change: StateChange) -> None:
        assert change.new is not None
        if len(self._leaf_ids_in_period) >= _MAX_LINES:
            self._dropped_count += 1
            return
        self._leaf_ids_in_period.add(change.leaf_id)
        self._open_leaf_ids.add(change.leaf_id)
        _LOGGER.info(
            f"leaf observed as {change.new.kind}",
            leaf=change.leaf_id,
            hosts=change.new.hosts,
            factor=round(change.new.factor, 1),
            not_written_before=self._dropped_count,
        )
        self._dropped_count = 0

    def _record_end(self, change: StateChange, reason: str) -> None:
        assert change.old is not None
        if change.leaf_id in self._open_leaf_ids:
            self._open_leaf_ids.discard(change.leaf_id)
            _LOGGER.info(
                f"leaf no longer observed as {change.old.kind}",
                leaf=change.leaf_id,
                reason=reason,
            )


def _end_reason(old: LeafState | None, now: float) -> str:
    return "healthy again" if old is not None and now < old.ends_at else "no confirmation"
