"""Order and rate in which senders of expensive messages are read on."""

import asyncio
import time
from collections.abc import Awaitable, Callable

import anyio

from filbertreach.receive_limits import ParseTurns

_SHARE = 0.5


class _Sender:
    def __init__(self, turns: ParseTurns, *, cost_seconds: float, total_seconds: float) -> None:
        self._turns = turns
        self._cost_seconds = cost_seconds
        self.total_seconds = total_seconds
        self.turn_count = 0
        self.is_refused = False

    def send(self) -> None:
        self.total_seconds += self._cost_seconds
        self._turns.wait(self, seconds=self._cost_seconds, total_seconds=self.total_seconds)

    def on_turn(self) -> None:
        self.turn_count += 1
        self.send()

    def on_turn_refused(self) -> None:
        self.is_refused = True


def _run(test: Callable[[], Awaitable[None]]) -> None:
    anyio.run(test)


def test_all_senders_together_stay_within_their_share() -> None:
    # Guards against connections that take all processor time together, each of them little of it.
    async def test() -> None:
        turns = ParseTurns(processor_share=_SHARE)
        senders = [_Sender(turns, cost_seconds=0.005, total_seconds=0.0) for _ in range(50)]
        started_at = time.monotonic()
        for sender in senders:
            sender.send()
        await anyio.sleep(0.6)
        elapsed = time.monotonic() - started_at
        spent = 0.005 * sum(sender.turn_count for sender in senders)
        assert 0 < spent <= _SHARE * elapsed

    _run(test)


def test_messages_that_have_cost_least_go_first() -> None:
    # Guards against a large message of a sound sender that waits behind endless ones.
    async def test() -> None:
        turns = ParseTurns(processor_share=_SHARE)
        endless = [_Sender(turns, cost_seconds=0.01, total_seconds=1.0) for _ in range(20)]
        for sender in endless:
            sender.send()
        sound = _Sender(turns, cost_seconds=0.001, total_seconds=0.0)
        sound.send()
        while sound.turn_count < 20:
            await anyio.sleep(0)
        assert sum(sender.turn_count for sender in endless) == 0

    _run(test)


def test_senders_that_wait_are_bounded_in_number() -> None:
    # Guards against unread bytes of thousands of connections in the memory of the system.
    async def test() -> None:
        turns = ParseTurns(max_waiting=4)
        senders = [
            _Sender(turns, cost_seconds=0.01, total_seconds=float(n)) for n in (1, 9, 2, 8, 3, 7)
        ]
        for sender in senders:
            sender.send()
        assert [sender.is_refused for sender in senders] == [False, True, False, True, False, False]

    _run(test)


def test_turns_of_an_event_loop_that_has_ended_are_forgotten() -> None:
    turns = ParseTurns()
    for _ in range(2):

        async def test() -> None:
            sender = _Sender(turns, cost_seconds=0.001, total_seconds=0.0)
            sender.send()
            while not sender.turn_count:
                await asyncio.sleep(0)

        _run(test)
