"""Execution slots of a simulated leaf and the queue of calls that wait for them."""

from collections import deque

import anyio


class Slots:
    """A fixed number of slots with a bounded first-in, first-out queue."""

    def __init__(self, *, slots: int, queue: int) -> None:
        """Creates slots that are all free.

        Args:
            slots: Number of calls that run concurrently.
            queue: Maximum number of calls that wait.
        """
        self._free_slots = slots
        self._max_queued = queue
        self._waiting: deque[anyio.Event] = deque()

    @property
    def queued(self) -> int:
        """Number of calls that wait for a slot."""
        return len(self._waiting)

    @property
    def full(self) -> bool:
        """Whether a further call can neither run nor wait."""
        return self._free_slots == 0 and len(self._waiting) >= self._max_queued

    def try_acquire(self) -> bool:
        """Takes a free slot if there is one and returns whether it did."""
        if self._free_slots == 0:
            return False
        self._free_slots -= 1
        return True

    async def acquire(self) -> None:
        """Waits for a slot; the caller must have checked `full`."""
        if self.try_acquire():
            return
        granted = anyio.Event()
        self._waiting.append(granted)
        try:
            await granted.wait()
        except BaseException:
            if granted.is_set():
                self.release()
            else:
                self._waiting.remove(granted)
            raise

    def release(self) -> None:
        """Hands a slot to the call that has waited longest, or frees it."""
        if self._waiting:
            self._waiting.popleft().set()
        else:
            self._free_slots += 1
