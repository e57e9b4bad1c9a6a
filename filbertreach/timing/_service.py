"""Periodic and one-shot timers, with one service per process."""

import heapq
import itertools
import math
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import NamedTuple, Self

import anyio
import anyio.abc

from filbertreach.timing._clock import Clock, SystemClock

_PAUSE_FACTOR = 4.0
"""A tick that is late by more than this many intervals means that the process was paused."""
_MIN_PAUSE_SECONDS = 1.0
"""Shorter delays are normal scheduling delays."""


class Subscription(NamedTuple):
    """A callback that is called periodically."""

    name: str
    """Name shown in task lists."""
    interval_seconds: float
    """Time between two ticks."""
    callback: Callable[[float], Awaitable[None]]
    """Called with the length in seconds of a pause detected before this tick, usually 0."""


class TimerService:
    """Calls subscribers at their intervals, each in its own task.

    A slow subscriber delays only itself. Missed ticks are skipped.
    """

    def __init__(self, *, clock: Clock | None = None) -> None:
        """Creates a service without subscribers.

        Args:
            clock: Clock; the system's by default.
        """
        self.clock: Clock = clock or SystemClock()
        self._group: anyio.abc.TaskGroup | None = None
        self._sequence_numbers = itertools.count()
        self._pending: list[tuple[float, int, Callable[[], None]]] = []
        self._first_due_changed = anyio.Event()

    async def __aenter__(self) -> Self:
        """Starts the task group that runs the timers."""
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        self._group.start_soon(self._run_one_shot_timers, name="timer once")
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        """Cancels all subscriptions."""
        assert self._group is not None
        self._group.cancel_scope.cancel()
        return await self._group.__aexit__(kind, error, trace)

    def subscribe(
        self,
        *,
        name: str,
        interval_seconds: float,
        callback: Callable[[float], Awaitable[None]],
    ) -> None:
        """Calls `callback` every `interval_seconds`, first after one interval.

        Args:
            name: Name shown in task lists.
            interval_seconds: More than 0.
            callback: Called with the length in seconds of a pause detected before the tick, else 0.

        Raises:
            RuntimeError: The service was not entered as a context manager.
        """
        if self._group is None:
            raise RuntimeError("enter the TimerService with 'async with' before subscribing")
        subscription = Subscription(name, interval_seconds, callback)
        self._group.start_soon(self._run_subscription, subscription, name=f"timer {name}")

    def call_at(self, due: float, callback: Callable[[], None]) -> None:
        """Calls `callback` once; it must not block.

        Args:
            due: Time on the service's clock, in seconds.
            callback: Called at that time or shortly after.
        """
        heapq.heappush(self._pending, (due, next(self._sequence_numbers), callback))
        if self._pending[0][0] == due:
            self._first_due_changed.set()

    async def _run_one_shot_timers(self) -> None:
        while True:
            now = self.clock.now()
            while self._pending and self._pending[0][0] <= now:
                heapq.heappop(self._pending)[2]()
            self._first_due_changed = anyio.Event()
            wait = self._pending[0][0] - self.clock.now() if self._pending else math.inf
            with anyio.move_on_after(max(0.0, wait)):
                await self._first_due_changed.wait()

    async def _run_subscription(self, subscription: Subscription) -> None:
        interval = subscription.interval_seconds
        threshold = max(interval * _PAUSE_FACTOR, interval + _MIN_PAUSE_SECONDS)
        due = self.clock.now() + interval
        while True:
            await anyio.sleep(max(0.0, due - self.clock.now()))
            late = self.clock.now() - due
            # Set the next due time before the callback, so that a pause during the callback is
            # reported at the next tick.
            due += interval * (math.floor(max(0.0, late) / interval) + 1)
            await subscription.callback(late if late > threshold else 0.0)
