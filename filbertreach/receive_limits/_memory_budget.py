"""Bound on the bytes of incomplete messages that the process holds in memory."""

import collections
from typing import NamedTuple, Protocol


class Holder(Protocol):
    """An incomplete message."""

    def on_evicted(self) -> None:
        """Drops the message, because others need the memory."""


class _Share(NamedTuple):
    sender: str
    byte_count: int


class MemoryBudget:
    """Bytes held by all incomplete messages of one kind together.

    If they exceed the budget, the sender that takes most of it loses its largest message. A faulty
    sender therefore can't keep the messages of others from being received.
    """

    def __init__(self, *, max_bytes: int) -> None:
        """Creates a budget of which nothing is used.

        Args:
            max_bytes: Bytes of all incomplete messages together.
        """
        self._max_bytes = max_bytes
        self._share_by_holder: dict[Holder, _Share] = {}
        self.held_bytes = 0
        """Bytes of all incomplete messages."""

    def resize(self, holder: Holder, *, sender: str, byte_count: int) -> bool:
        """Records the size of a message; evicts others if the budget is exceeded.

        Args:
            holder: The message.
            sender: Name of its sender.
            byte_count: Its size now.

        Returns:
            Whether the message may be kept; if not, it is released and not told so.
        """
        self.release(holder)
        self._share_by_holder[holder] = _Share(sender, byte_count)
        self.held_bytes += byte_count
        while self.held_bytes > self._max_bytes:
            largest = self._largest_of_largest_sender()
            self.release(largest)
            if largest is holder:
                return False
            largest.on_evicted()
        return True

    def release(self, holder: Holder) -> None:
        """Removes a message that is complete or was dropped, if it is recorded.

        Args:
            holder: The message.
        """
        share = self._share_by_holder.pop(holder, None)
        if share is not None:
            self.held_bytes -= share.byte_count

    def _largest_of_largest_sender(self) -> Holder:
        bytes_by_sender: collections.Counter[str] = collections.Counter()
        for share in self._share_by_holder.values():
            bytes_by_sender[share.sender] += share.byte_count
        ((sender, _),) = bytes_by_sender.most_common(1)
        return max(
            (holder for holder, share in self._share_by_holder.items() if share.sender == sender),
            key=lambda holder: self._share_by_holder[holder].byte_count,
        )
