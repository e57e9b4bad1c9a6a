"""Tests that missed ticks do not accumulate and that pauses are detected."""

import anyio

from filbertreach.timing import SystemClock, TimerService


class _JumpingClock(SystemClock):
    offset = 0.0

    def now(self):
        return super().now() + self.offset


def test_pause_is_reported_once_and_missed_ticks_are_dropped():
    pauses = []
    clock = _JumpingClock()

    async def run():
        async with TimerService(clock=clock) as timers:
            done = anyio.Event()

            async def tick(pause):
                pauses.append(pause)
                if len(pauses) == 2:
                    clock.offset = 30.0
                if len(pauses) == 5:
                    done.set()

            timers.subscribe(name="test", interval_seconds=0.01, callback=tick)
            await done.wait()

    anyio.run(run)
    assert [pause > 20 for pause in pauses] == [False, False, True, False, False]
