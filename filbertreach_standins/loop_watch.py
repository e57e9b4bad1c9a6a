"""Measures for how long an event loop runs no timer."""

import asyncio
from types import TracebackType
from typing import Self

_INTERVAL_SECONDS = 0.01


class LoopWatch:
    """A context manager for a part of a test; the event loop must run in it."""

    def __init__(self) -> None:
        """Creates a watch that has measured nothing."""
        self.longest_seconds = 0.0
        """Longest delay of a timer."""
        self._due_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def __enter__(self) -> Self:
        """Starts the timer."""
        self._start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stops the timer."""
        assert self._timer is not None
        self._timer.cancel()
        self._measure()

    def _start(self) -> None:
        loop = asyncio.get_running_loop()
        self._due_at = loop.time() + _INTERVAL_SECONDS
        self._timer = loop.call_at(self._due_at, self._on_timer)

    def _on_timer(self) -> None:
        self._measure()
        self._start()

    def _measure(self) -> None:
        delay = asyncio.get_running_loop().time() - self._due_at
        self.longest_seconds = max(self.longest_seconds, delay)
