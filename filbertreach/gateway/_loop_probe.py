"""Measures the delay of the event loop and the work per part while queries are in progress."""

import time
from collections.abc import Callable

from filbertreach.decisions import CallerReserve
from filbertreach.timing import TimerService

_INTERVAL_SECONDS = 0.02
"""Time between two samples, short enough for several during one query."""


class LoopProbe:
    """Feeds a `CallerReserve`; takes no samples while no query is in progress."""

    def __init__(
        self, *, reserve: CallerReserve, timers: TimerService, in_progress: Callable[[], int]
    ) -> None:
        """Creates a probe that is not running.

        Args:
            reserve: Gets the samples.
            timers: Timer service, already entered.
            in_progress: Returns the number of queries in progress.
        """
        self._reserve = reserve
        self._timers = timers
        self._in_progress = in_progress
        self.is_running = False
        """Whether the next sample is scheduled."""
        self._cpu_seconds = 0.0

    def start(self) -> None:
        """Takes samples until no query is in progress; to be called when a query begins."""
        if not self.is_running:
            self.is_running = True
            self._cpu_seconds = time.process_time()
            self._schedule()

    def _schedule(self) -> None:
        due = self._timers.clock.now() + _INTERVAL_SECONDS
        self._timers.call_at(due, lambda: self._sample(due))

    def _sample(self, due: float) -> None:
        now = self._timers.clock.now()
        self._reserve.record_loop_delay(now - due, now)
        cpu_seconds = time.process_time()
        self._reserve.record_work(cpu_seconds - self._cpu_seconds)
        self._cpu_seconds = cpu_seconds
        self.is_running = self._in_progress() > 0
        if self.is_running:
            self._schedule()
