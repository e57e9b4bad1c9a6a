"""Periodic timers, one service for a process."""

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
"""A tick later than this many intervals means that the process was paused."""
_LEAST_PAUSE_SECONDS = 1.0
"""Shorter delays are ordinary scheduling delay."""


class Subscription(NamedTuple):
    """A part that is called at each tick."""

    name: str
    """Shown in logs and task lists."""
    interval_seconds: float
    """Time between two ticks."""
    callback: Callable[[float], Awaitable[None]]
    """Called with the pause in seconds that was noticed before this tick, usually 0."""


class TimerService:
    """Calls subscribers at their intervals, each in its own task.

    A slow subscriber delays only itself. Ticks that were missed are not made up for.
    """

    def __init__(self, *, clock: Clock | None = None) -> None:
        """Creates a service without subscribers.

        Args:
            clock: Source of time; the system's by default.
        """
        self.clock: Clock = clock or SystemClock()
        self._group: anyio.abc.TaskGroup | None = None
        self._order = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._earlier = anyio.Event()

    async def __aenter__(self) -> Self:
        """Starts the task group of the subscribers."""
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        self._group.start_soon(self._run_once_timers, name="timer once")
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
            name: Shown in task lists.
            interval_seconds: More than 0.
            callback: Receives the pause in seconds noticed before the tick (0 if none).

        Raises:
            RuntimeError: The service is not entered.
        """
        if self._group is None:
            raise RuntimeError("enter the TimerService with 'async with' before subscribing")
        subscription = Subscription(name, interval_seconds, callback)
        self._group.start_soon(self._run, subscription, name=f"timer {name}")

    def call_at(self, due: float, callback: Callable[[], None]) -> None:
        """Calls `callback` once; it must not block.

        Args:
            due: Time of the service's clock, in seconds.
            callback: Called at that time or soon after it.
        """
        heapq.heappush(self._due, (due, next(self._order), callback))
        if self._due[0][0] == due:
            self._earlier.set()

    async def _run_once_timers(self) -> None:
        while True:
            now = self.clock.now()
            while self._due and self._due[0][0] <= now:
                heapq.heappop(self._due)[2]()
            self._earlier = anyio.Event()
            wait = self._due[0][0] - self.clock.now() if self._due else math.inf
            with anyio.move_on_after(max(0.0, wait)):
                await self._earlier.wait()

    async def _run(self, subscription: Subscription) -> None:
        interval = subscription.interval_seconds
        threshold = max(interval * _PAUSE_FACTOR, interval + _LEAST_PAUSE_SECONDS)
        due = self.clock.now() + interval
        while True:
            await anyio.sleep(max(0.0, due - self.clock.now()))
            late = self.clock.now() - due
            # The next due time is set before the callback, so that a pause during the callback is
            # reported at the next tick.
            due += interval * (math.floor(max(0.0, late) / interval) + 1)
            await subscription.callback(late if late > threshold else 0.0)
