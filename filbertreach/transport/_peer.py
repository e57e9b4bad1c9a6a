"""State of the link to one peer."""

import collections
import enum
from typing import Any, NamedTuple

import anyio

from filbertreach.transport._delay import DelayEstimator

_REMEMBERED_INCARNATIONS = 8
"""Incarnations of a peer that stay refused after a newer one was heard."""


class PeerState(enum.Enum):
    """What is known of a peer."""

    UNKNOWN = "unknown"
    """Never heard."""
    REACHABLE = "reachable"
    """Heard within the silence bound."""
    SILENT = "silent"
    """Not heard within the silence bound."""


class SentFrame(NamedTuple):
    """A frame that the peer has not acknowledged."""

    receiver_incarnation: int
    """Incarnation of the peer that it is meant for."""
    epoch: int
    """Epoch in which it was first sent."""
    sequence: int
    """Position in the epoch."""
    sent_at: float
    """Clock when it was first sent, in seconds."""
    messages: list[dict[str, Any]]
    """Its messages, in order."""


class ConnectionState:
    """State of one outgoing connection; written by a thread of NNG, read by the event loop.

    Each socket has a state of its own, so that a late callback of a replaced socket has no effect.
    """

    def __init__(self) -> None:
        """Starts as open: the first attempt to connect is under way."""
        self.is_open = True


class Peer:
    """Link state of one peer; owned by the transport."""

    def __init__(self, *, address: str, created_at: float) -> None:
        """Starts a link that has heard nothing.

        Args:
            address: ip:port of the peer's inbox.
            created_at: Clock now, in seconds.
        """
        self.address = address
        self.name = ""
        self.incarnation = 0
        self.state = PeerState.UNKNOWN
        self.last_heard = created_at
        self.last_used = created_at
        # Receiving.
        self.received_epoch = 0
        self.received_sequence = 0
        self.delay = DelayEstimator()
        self._superseded: collections.deque[int] = collections.deque(
            maxlen=_REMEMBERED_INCARNATIONS
        )
        # Sending.
        self.epoch = 1
        self.sequence = 0
        self.waiting: list[dict[str, Any]] = []
        self.unacknowledged: collections.deque[SentFrame] = collections.deque()
        self.wake = anyio.Event()
        self.was_acknowledged = False
        """Whether this incarnation of the peer has accepted a frame."""
        self.connection = ConnectionState()
        self.is_swallowed = False
        """Whether the peer says that it no longer hears this process."""

    def accepts_incarnation(self, incarnation: int) -> bool:
        """Returns whether frames of the incarnation are still accepted."""
        return incarnation not in self._superseded

    def begin_incarnation(self, incarnation: int) -> None:
        """Starts over with a peer process that was started anew.

        Args:
            incarnation: The new incarnation.
        """
        if self.incarnation:
            self._superseded.append(self.incarnation)
        self.incarnation = incarnation
        self.received_epoch = 0
        self.received_sequence = 0
        self.was_acknowledged = False
        self.delay = DelayEstimator()

    def has_forgotten(self, *, acknowledged_epoch: int) -> bool:
        """Returns whether the peer lost the state of this link, without being restarted.

        It forgets a process that it has not heard for long, for example one that was paused.

        Args:
            acknowledged_epoch: Epoch that the peer acknowledges, 0 for none.
        """
        if acknowledged_epoch:
            self.was_acknowledged = True
            return False
        return self.was_acknowledged

    def accept(self, *, epoch: int, sequence: int) -> bool:
        """Decides whether a frame with messages is the next one in order.

        Args:
            epoch: Epoch of the frame.
            sequence: Sequence of the frame, from 1.

        Returns:
            True exactly once for each frame, in order; False for a repeated, late or early frame.
        """
        if epoch > self.received_epoch:
            if sequence != 1:
                return False
            self.received_epoch, self.received_sequence = epoch, 0
        if epoch != self.received_epoch or sequence != self.received_sequence + 1:
            return False
        self.received_sequence = sequence
        return True

    def acknowledge(self, *, epoch: int, sequence: int) -> None:
        """Forgets frames that the peer has accepted.

        Args:
            epoch: Epoch that the peer names.
            sequence: Last sequence that the peer accepted in that epoch.
        """
        if epoch != self.epoch:
            return
        while self.unacknowledged and self.unacknowledged[0].sequence <= sequence:
            self.unacknowledged.popleft()

    def give_up_unacknowledged(self) -> None:
        """Drops everything that was not acknowledged and starts a new epoch.

        The peer refuses frames of the old epoch once it has seen the new one.
        """
        self.epoch += 1
        self.sequence = 0
        self.was_acknowledged = False
        self.unacknowledged.clear()
        self.waiting.clear()

    def notify(self) -> None:
        """Wakes the outbox task."""
        self.wake.set()
