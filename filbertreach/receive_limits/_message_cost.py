"""What the message of one sender has cost, counted in events of its parser."""

from filbertreach.receive_limits._parse_turns import PARSE_TURNS, Turn

_EVENT_SECONDS = 1e-6
"""Processor time for a header or a part of a body."""
_FREE_EVENTS = 512
"""Events up to which a message does not count as expensive."""


class MessageCost:
    """Counts the events of one message, and makes its sender wait once they are many."""

    def __init__(self) -> None:
        """Starts with a message that has cost nothing."""
        self._paid_events = _FREE_EVENTS

    def begin_message(self) -> None:
        """Starts the next message of the sender."""
        self._paid_events = _FREE_EVENTS

    def is_expensive(self, events: int) -> bool:
        """Returns whether the sender must wait for its turn before more is read.

        Args:
            events: Events of the message until now.
        """
        return events > self._paid_events

    def wait(self, turn: Turn, *, events: int) -> None:
        """Queues the sender; it must not be read until its turn.

        Args:
            turn: The sender.
            events: Events of the message until now.
        """
        PARSE_TURNS.wait(
            turn,
            seconds=(events - self._paid_events) * _EVENT_SECONDS,
            total_seconds=events * _EVENT_SECONDS,
        )
        self._paid_events = events
