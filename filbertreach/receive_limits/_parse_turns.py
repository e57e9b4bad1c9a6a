"""Bound on the processor time spent on bytes that are expensive to parse."""

import asyncio
import heapq
import itertools
from typing import NamedTuple, Protocol

_PROCESSOR_SHARE = 0.1
"""Share of the processor time that all expensive messages together may take."""
_MAX_DEBT_SECONDS = 0.5
"""Longest time for which no expensive message is read on, whatever was spent on others."""
_MAX_WAITING = 64
"""Senders that wait for a turn; beyond it, one of them is refused. What each has sent meanwhile
takes memory of the system."""


class Turn(Protocol):
    """A sender from which nothing is read until its turn."""

    def on_turn(self) -> None:
        """Reads on."""

    def on_turn_refused(self) -> None:
        """Ends the message, because too many senders wait."""


class _Waiting(NamedTuple):
    total_seconds: float
    number: int
    """Breaks ties in order of arrival."""
    turn: Turn


class ParseTurns:
    """Decides when senders of messages that are expensive to parse are read on.

    Messages that have cost least go first, so that a large message of a sound sender is not held up
    by those that cost much more, such as a body without end in chunks of one byte.
    """

    def __init__(
        self, *, processor_share: float = _PROCESSOR_SHARE, max_waiting: int = _MAX_WAITING
    ) -> None:
        """Creates turns for which nobody waits.

        Args:
            processor_share: Share of the processor time that these messages may take together.
            max_waiting: Senders that may wait at the same time.
        """
        self._processor_share = processor_share
        self._max_waiting = max_waiting
        self._waiting: list[_Waiting] = []
        """Heap."""
        self._numbers = itertools.count()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._next_at = 0.0
        """Time of the event loop from which the next one is read, in seconds."""

    def wait(self, turn: Turn, *, seconds: float, total_seconds: float) -> None:
        """Queues a sender whose bytes were expensive; it must not be read until its turn.

        Args:
            turn: The sender.
            seconds: Processor time that its last bytes took.
            total_seconds: Processor time that its whole message has taken.
        """
        loop = asyncio.get_running_loop()
        if loop is not self._loop:
            self._loop = loop
            self._timer = None
            self._next_at = 0.0
            self._waiting = []
        now = loop.time()
        debt_until = max(now, self._next_at) + seconds / self._processor_share
        self._next_at = min(debt_until, now + _MAX_DEBT_SECONDS)
        heapq.heappush(self._waiting, _Waiting(total_seconds, next(self._numbers), turn))
        if len(self._waiting) > self._max_waiting:
            self._refuse_most_expensive()
        self._schedule(loop)

    def _refuse_most_expensive(self) -> None:
        refused = max(self._waiting)
        self._waiting.remove(refused)
        heapq.heapify(self._waiting)
        refused.turn.on_turn_refused()

    def _schedule(self, loop: asyncio.AbstractEventLoop) -> None:
        if self._timer is None and self._waiting:
            self._timer = loop.call_at(max(loop.time(), self._next_at), self._run_next)

    def _run_next(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = None
        if loop.time() >= self._next_at:
            heapq.heappop(self._waiting).turn.on_turn()
        # Runs after the bytes of that sender, which postpone the next turn.
        self._schedule(loop)


PARSE_TURNS = ParseTurns()
"""Turns of this process."""
