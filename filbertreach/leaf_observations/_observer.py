"""What one host observes at leaves by its own calls, and what of it is worth a report."""

from collections.abc import Callable
from typing import Literal, NamedTuple

from filbertreach.decisions import LeafOutcome
from filbertreach.leaf_observations._pauses import PauseDetector
from filbertreach.leaf_observations._states import (
    MAX_FACTOR,
    MIN_FACTOR,
    STATE_SECONDS,
    LeafStates,
)

ObservationKind = Literal["failing", "slow", "healthy"]
"""An exception, or its end."""

_MAX_PENDING_LEAVES = 200
"""Leaves of one report. The observations of further leaves are dropped: a host that observes this
many exceptions at once is more likely faulty itself."""


class Observation(NamedTuple):
    """What a host has observed at a leaf since its last report."""

    kind: ObservationKind
    """The exception, or that the leaf is healthy again."""
    calls: int
    """Number of calls that show it."""
    factor: float
    """Time of the slowest call as a multiple of the usual time; 1 unless the leaf is slow."""
    at: float
    """Clock at the end of the last of these calls, in seconds."""


class LeafObserver:
    """Turns the outcomes of the calls of one host into observations; without I/O.

    A good answer is reported only if the leaf is listed, or was reported by this host.
    """

    def __init__(self, *, states: LeafStates, pauses: PauseDetector) -> None:
        """Creates an observer without observations.

        Args:
            states: States that this host applies; gets its good answers.
            pauses: Pauses of this process.
        """
        self.on_news: Callable[[], None] = _ignore_news
        """Called when there is something to report."""
        self._states = states
        self._pauses = pauses
        self._pending_by_leaf: dict[str, Observation] = {}
        self._reported_at_by_leaf: dict[str, float] = {}
        """Clock of the last report of an exception at a leaf by this host."""

    @property
    def has_news(self) -> bool:
        """Whether there is something to report."""
        return bool(self._pending_by_leaf)

    def record(
        self,
        leaf_id: str,
        outcome: LeafOutcome,
        seconds: float,
        now: float,
        *,
        usual_seconds: float | None,
    ) -> None:
        """Records how a call ended.

        A refusal and a call that was given up before it was slow say nothing: both happen at
        healthy leaves under overload.

        Args:
            leaf_id: Id of the leaf.
            outcome: How the call ended.
            seconds: Time since it was sent, in seconds.
            now: Current clock, in seconds.
            usual_seconds: Time within which most calls of the same route end at other leaves, which
                grows under overload; None if unknown.
        """
        is_slow = usual_seconds is not None and seconds >= MIN_FACTOR * usual_seconds
        if outcome is LeafOutcome.OK and not is_slow:
            self._states.on_answer(leaf_id, now)
            if self._reported_at_by_leaf or not self._states.is_empty or self._pending_by_leaf:
                self._record_healthy(leaf_id, now)
            return
        if outcome is LeafOutcome.REFUSED or self._pauses.was_paused_since(now - seconds, now):
            return
        if outcome is LeafOutcome.OK:
            assert usual_seconds is not None
            self._add(leaf_id, "slow", min(seconds / usual_seconds, MAX_FACTOR), now)
        elif is_slow or outcome in (LeafOutcome.ERROR, LeafOutcome.CONNECTION_LOST):
            self._add(leaf_id, "failing", 1.0, now)

    def on_contradicted(self, leaf_ids: list[str], now: float) -> None:
        """Plans reports of leaves that have answered this host after what others observed.

        Args:
            leaf_ids: Ids of the leaves.
            now: Current clock, in seconds.
        """
        for leaf_id in leaf_ids:
            answered_at = self._states.answered_at(leaf_id)
            pending = self._pending_by_leaf.get(leaf_id)
            if answered_at is None or now - answered_at >= STATE_SECONDS:
                continue
            if pending is None or pending.at < answered_at:
                self._pending_by_leaf[leaf_id] = Observation("healthy", 1, 1.0, answered_at)
                self.on_news()

    def on_restarted(self, leaf_id: str, now: float) -> None:
        """Drops what is known of the process of a leaf that was replaced by another one.

        Args:
            leaf_id: Id of the leaf.
            now: Current clock, in seconds.
        """
        self._pending_by_leaf.pop(leaf_id, None)
        self._reported_at_by_leaf.pop(leaf_id, None)
        self._states.on_answer(leaf_id, now)

    def forget(self, leaf_id: str) -> None:
        """Removes what is known of a leaf that is gone.

        Args:
            leaf_id: Id of the leaf.
        """
        self._pending_by_leaf.pop(leaf_id, None)
        self._reported_at_by_leaf.pop(leaf_id, None)
        self._states.forget(leaf_id)

    def take(self, now: float) -> dict[str, Observation]:
        """Removes and returns the observations that are to be reported.

        Args:
            now: Current clock, in seconds.

        Returns:
            Observations by leaf id, without those that are too old to count.
        """
        taken = {
            leaf_id: observation
            for leaf_id, observation in self._pending_by_leaf.items()
            if now - observation.at < STATE_SECONDS
        }
        self._pending_by_leaf.clear()
        for leaf_id, observation in taken.items():
            if observation.kind == "healthy":
                self._reported_at_by_leaf.pop(leaf_id, None)
            else:
                self._reported_at_by_leaf[leaf_id] = now
        return taken

    def remove_expired(self, now: float) -> None:
        """Removes reports that no longer count.

        Args:
            now: Current clock, in seconds.
        """
        for leaf_id, reported_at in list(self._reported_at_by_leaf.items()):
            if now - reported_at >= STATE_SECONDS:
                del self._reported_at_by_leaf[leaf_id]

    def _record_healthy(self, leaf_id: str, now: float) -> None:
        if leaf_id in self._reported_at_by_leaf or self._states.is_listed(leaf_id):
            self._add(leaf_id, "healthy", 1.0, now)
        else:
            # The exception was not reported yet, so nobody has to learn that it has ended.
            self._pending_by_leaf.pop(leaf_id, None)

    def _add(self, leaf_id: str, kind: ObservationKind, factor: float, now: float) -> None:
        pending = self._pending_by_leaf.get(leaf_id)
        if pending is None and len(self._pending_by_leaf) >= _MAX_PENDING_LEAVES:
            return
        calls = 1
        if pending is not None and pending.kind == kind:
            calls, factor = pending.calls + 1, max(factor, pending.factor)
        self._pending_by_leaf[leaf_id] = Observation(kind, calls, factor, now)
        self.on_news()


def _ignore_news() -> None:
    """Does nothing, for a host that reports to no other one."""
