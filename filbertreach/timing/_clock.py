"""Clocks that count the time a process is suspended."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of elapsed time."""

    def now(self) -> float:
        """Returns seconds from an arbitrary start; never decreases."""


class SystemClock:
    """CLOCK_BOOTTIME: not stepped by the system's time, and counts suspension of the host."""

    def now(self) -> float:
        """Returns seconds since the host started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class FakeClock:
    """A clock that tests move by hand."""

    def __init__(self, *, start: float = 0.0) -> None:
        """Starts the clock.

        Args:
            start: First value of `now`, in seconds.
        """
        self._now = start

    def now(self) -> float:
        """Returns the time set by hand, in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Moves the clock forward.

        Args:
            seconds: Zero or more.

        Raises:
            ValueError: The clock would go back.
        """
        if seconds < 0:
            raise ValueError(f"a clock can't go back by {-seconds} s")
        self._now += seconds
