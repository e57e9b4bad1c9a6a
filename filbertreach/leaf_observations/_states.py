"""What the hosts of a data centre know of leaves, as one gateway applies it."""

from collections.abc import Mapping
from typing import Literal, NamedTuple

ExceptionKind = Literal["failing", "slow"]
"""How a leaf differs from a healthy one."""
EXCEPTION_KINDS: tuple[ExceptionKind, ...] = ("failing", "slow")
"""All kinds of exceptions."""

STATE_SECONDS = 2.0
"""Time after the last observation of an exception at which it ends, in seconds."""
MIN_FACTOR = 2.0
"""Slowness from which on a leaf counts as slow, as a multiple of the usual time."""
MAX_FACTOR = 5.0
"""Largest slowness that counts. With a few replicas, a leaf this slow is avoided anyway."""


class LeafState(NamedTuple):
    """An exception that the hosts of a data centre observe at a leaf."""

    kind: ExceptionKind
    """Whether its calls fail or are slow."""
    factor: float
    """Time of its calls as a multiple of the usual time, 1 for a failing leaf."""
    confirmed_at: float
    """Clock of this host at the newest observation of the exception, in seconds."""
    hosts: int
    """Number of hosts that observe it."""

    @property
    def ends_at(self) -> float:
        """Clock at which the state ends unless it is confirmed, in seconds."""
        return self.confirmed_at + STATE_SECONDS


class LeafStates:
    """The states of leaves that one gateway applies; without I/O.

    Good answers that this host has had itself take precedence over older observations of others.
    """

    def __init__(self) -> None:
        """Creates states without exceptions."""
        self._state_by_leaf: dict[str, LeafState] = {}
        self._answered_at_by_leaf: dict[str, float] = {}
        """Clock of the last good answer to this host."""

    @property
    def is_empty(self) -> bool:
        """Whether no leaf has a state; expired states count until they are removed."""
        return not self._state_by_leaf

    def state_of(self, leaf_id: str, now: float) -> LeafState | None:
        """Returns the exception in force at a leaf, None if there is none.

        Args:
            leaf_id: Id of the leaf.
            now: Current clock, in seconds.
        """
        state = self._state_by_leaf.get(leaf_id)
        if state is None or now >= state.ends_at:
            return None
        if self._answered_at_by_leaf.get(leaf_id, state.confirmed_at) > state.confirmed_at:
            return None
        return state

    def is_listed(self, leaf_id: str) -> bool:
        """Returns whether other hosts observe an exception, even if this host knows better.

        Args:
            leaf_id: Id of the leaf.
        """
        return leaf_id in self._state_by_leaf

    def answered_at(self, leaf_id: str) -> float | None:
        """Returns the clock of the last good answer of a leaf to this host, in seconds.

        Args:
            leaf_id: Id of the leaf.
        """
        return self._answered_at_by_leaf.get(leaf_id)

    def count_answered(self) -> int:
        """Returns the number of leaves that have given this host a good answer."""
        return len(self._answered_at_by_leaf)

    def replace(self, state_by_leaf: Mapping[str, LeafState], now: float) -> list[str]:
        """Replaces all states.

        Args:
            state_by_leaf: Merged states of the data centre, by leaf id.
            now: Current clock, in seconds.

        Returns:
            Ids of the leaves that have given this host a good answer after the exception.
        """
        self._state_by_leaf = {
            leaf_id: state for leaf_id, state in state_by_leaf.items() if now < state.ends_at
        }
        return [
            leaf_id
            for leaf_id, state in self._state_by_leaf.items()
            if self._answered_at_by_leaf.get(leaf_id, state.confirmed_at) > state.confirmed_at
        ]

    def on_answer(self, leaf_id: str, now: float) -> None:
        """Records a good answer to this host, or a restart of the leaf.

        Args:
            leaf_id: Id of the leaf.
            now: Current clock, in seconds.
        """
        self._answered_at_by_leaf[leaf_id] = now

    def forget(self, leaf_id: str) -> None:
        """Removes what is known of a leaf that is gone.

        Args:
            leaf_id: Id of the leaf.
        """
        self._answered_at_by_leaf.pop(leaf_id, None)
        self._state_by_leaf.pop(leaf_id, None)

    def remove_expired(self, now: float) -> None:
        """Removes the states that have ended.

        Args:
            now: Current clock, in seconds.
        """
        for leaf_id, state in list(self._state_by_leaf.items()):
            if now >= state.ends_at:
                del self._state_by_leaf[leaf_id]

    def count(self, kind: ExceptionKind) -> int:
        """Returns the number of leaves with an exception.

        Args:
            kind: The exception.
        """
        return sum(state.kind == kind for state in self._state_by_leaf.values())
