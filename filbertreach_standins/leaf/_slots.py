"""Slots of a simulated backend server and the queue before them."""

from collections import deque

import anyio


class Slots:
    """A fixed number of slots, granted in order of arrival."""

    def __init__(self, *, slots: int, queue: int) -> None:
        """Creates free slots.

        Args:
            slots: Calls that run at once.
            queue: Calls that wait.
        """
        self._free = slots
        self._queue_limit = queue
        self._waiting: deque[anyio.Event] = deque()

    @property
    def queued(self) -> int:
        """Calls that wait."""
        return len(self._waiting)

    @property
    def full(self) -> bool:
        """Whether a further call can neither run nor wait."""
        return self._free == 0 and len(self._waiting) >= self._queue_limit

    def try_acquire(self) -> bool:
        """Takes a free slot, if there is one."""
        if self._free == 0:
            return False
        self._free -= 1
        return True

    async def acquire(self) -> None:
        """Waits for a slot; the caller has checked `full`."""
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
        """Passes a slot on to the call that has waited longest."""
        if self._waiting:
            self._waiting.popleft().set()
        else:
            self._free += 1
