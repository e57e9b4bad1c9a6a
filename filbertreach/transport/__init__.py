"""Message transport between filbertreach processes, with at-most-once, in-order delivery."""

from filbertreach.transport._errors import TransportError
from filbertreach.transport._peer import Peer, PeerState
from filbertreach.transport._transport import PeerEventHandler, ReceivedMessage, Transport

__all__ = [
    "Peer",
    "PeerEventHandler",
    "PeerState",
    "ReceivedMessage",
    "Transport",
    "TransportError",
]
