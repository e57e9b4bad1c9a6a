"""Frames of messages between filbertreach processes, delivered at most once and in order."""

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
