"""State of the link to one peer."""

import collections
import enum
from typing import NamedTuple

import anyio
import msgspec

from filbertreach.transport._delay import DelayEstimator

_MAX_SUPERSEDED_INCARNATIONS = 8
"""Number of superseded incarnations of a peer whose frames are still rejected."""


class PeerState(enum.Enum):
    """Reachability of a peer."""

    UNKNOWN = "unknown"
    """No frame was received yet."""
    REACHABLE = "reachable"
    """A frame was received within the silence bound."""
    SILENT = "silent"
    """No frame was received within the silence bound."""


class SentFrame(NamedTuple):
    """A frame that the peer has not acknowledged."""

    receiver_incarnation: int
    """Incarnation of the peer that the frame is addressed to."""
    epoch: int
    """Epoch in which the frame was first sent."""
    sequence: int
    """Sequence number in the epoch, from 1."""
    sent_at: float
    """Clock time when it was first sent, in seconds."""
    messages: list[msgspec.Raw]
    """Encoded messages of the frame, in order."""


class ConnectionState:
    """State of one outgoing connection; written by an NNG thread, read by the event loop.

    Each socket has its own state, so that a late callback of a replaced socket has no effect.
    """

    def __init__(self) -> None:
        """Creates the state as open: the first attempt to connect is in progress."""
        self.is_open = True


class Peer:
    """Link state of one peer; owned by the transport."""

    def __init__(self, *, address: str, created_at: float) -> None:
        """Creates a link that has received nothing.

        Args:
            address: ip:port of the peer's inbox.
            created_at: Current clock time, in seconds.
        """
        self.address = address
        self.name = ""
        self.incarnation = 0
        self.state = PeerState.UNKNOWN
        self.last_heard_at = created_at
        self.last_used_at = created_at
        # Receiving.
        self.received_epoch = 0
        self.received_sequence = 0
        self.delay = DelayEstimator()
        self._superseded_incarnations: collections.deque[int] = collections.deque(
            maxlen=_MAX_SUPERSEDED_INCARNATIONS
        )
        # Sending.
        self.epoch = 1
        self.sequence = 0
        self.unsent: list[msgspec.Raw] = []
        self.unacknowledged: collections.deque[SentFrame] = collections.deque()
        self.wake = anyio.Event()
        self.was_acknowledged = False
        """Whether this incarnation of the peer has accepted a frame."""
        self.connection = ConnectionState()
        self.is_outgoing_stalled = False
        """Whether the peer reports that it receives no frames from this process."""

    def accepts_incarnation(self, incarnation: int) -> bool:
        """Returns whether frames of the incarnation are still accepted."""
        return incarnation not in self._superseded_incarnations

    def begin_incarnation(self, incarnation: int) -> None:
        """Resets the receiving state after a restart of the peer process.

        Args:
            incarnation: The new incarnation.
        """
        if self.incarnation:
            self._superseded_incarnations.append(self.incarnation)
        self.incarnation = incarnation
        self.received_epoch = 0
        self.received_sequence = 0
        self.was_acknowledged = False
        self.delay = DelayEstimator()

    def has_lost_link_state(self, *, acknowledged_epoch: int) -> bool:
        """Returns whether the peer discarded the state of this link without being restarted.

        A peer does so for a process that was silent for long, for example because it was paused.

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
            True exactly once for each frame, in order; False for a duplicate or out-of-order frame.
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
        """Removes frames that the peer has accepted.

        Args:
            epoch: Epoch that the peer acknowledges.
            sequence: Last sequence that the peer accepted in that epoch.
        """
        if epoch != self.epoch:
            return
        while self.unacknowledged and self.unacknowledged[0].sequence <= sequence:
            self.unacknowledged.popleft()

    def drop_undelivered(self) -> None:
        """Drops unacknowledged frames and unsent messages, and starts a new epoch.

        The peer rejects frames of the old epoch once it has received the new one.
        """
        self.epoch += 1
        self.sequence = 0
        self.was_acknowledged = False
        self.unacknowledged.clear()
        self.unsent.clear()

    def notify(self) -> None:
        """Wakes the outbox task."""
        self.wake.set()
