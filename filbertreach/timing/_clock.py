"""Clocks that include the time for which a process or host is suspended."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of elapsed time."""

    def now(self) -> float:
        """Returns seconds since an arbitrary start; never decreases."""


class SystemClock:
    """CLOCK_BOOTTIME: unaffected by changes of the system time, and includes suspension."""

    def now(self) -> float:
        """Returns seconds since the host started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class FakeClock:
    """A clock that tests advance explicitly."""

    def __init__(self, *, start: float = 0.0) -> None:
        """Creates a clock.

        Args:
            start: First value of `now`, in seconds.
        """
        self._now = start

    def now(self) -> float:
        """Returns the current fake time, in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Advances the clock.

        Args:
            seconds: Zero or more.

        Raises:
            ValueError: The number of seconds is negative.
        """
        if seconds < 0:
            raise ValueError(f"can't advance a clock by {seconds} s; expected 0 or more")
        self._now += seconds
