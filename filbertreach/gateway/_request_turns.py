"""Turns: the times at which a host may call leaves of which its part is less than a request."""

import copy
import math
import random
from typing import NamedTuple

_TURN_SECONDS = 2.5
"""Duration of a turn. Requests that are not sent in their turn lapse, so hosts without queries save
nothing for a burst. A longer turn is used by more queries, but allows a larger burst."""
_GOLDEN_RATIO = (math.sqrt(5.0) - 1.0) / 2.0
_MAX_TURNS_AHEAD = 8
"""Number of turns that are searched for the next request; callers do not wait longer."""


class Turn(NamedTuple):
    """A span of time of one host."""

    number: int
    """Number; consecutive turns have consecutive numbers."""
    starts_at: float
    """Clock at its start, in seconds."""
    position: float
    """Position in [0, 1); a leaf may be called in the turns whose position lies in its interval."""


class TurnSchedule:
    """The turns of this host, which are the same for all leaves.

    A scatter query needs most of its shards at once. With one schedule, a host may call all of them
    in some turns, instead of a few of them at any time. Hosts do not coordinate their turns, so a
    schedule starts at a random time and position.
    """

    def __init__(self) -> None:
        """Creates a random schedule."""
        self.turn_seconds = _TURN_SECONDS
        """Duration of a turn, in seconds."""
        self._begin = random.uniform(-self.turn_seconds, 0.0)
        self._first_position = random.random()

    def with_turns_of(self, turn_seconds: float) -> "TurnSchedule":
        """Returns a schedule with turns of another duration, the same one for all leaves.

        Args:
            turn_seconds: Duration of a turn, in seconds.
        """
        schedule = copy.copy(self)
        schedule.turn_seconds = turn_seconds
        schedule._begin = self._begin * turn_seconds / self.turn_seconds
        return schedule

    def at(self, now: float) -> Turn:
        """Returns the turn at a clock, in seconds."""
        return self.turn(math.floor((now - self._begin) / self.turn_seconds))

    def turn(self, number: int) -> Turn:
        """Returns the turn with a number.

        Positions follow the multiples of the golden ratio, which visit an interval at nearly equal
        distances.
        """
        return Turn(
            number,
            self._begin + number * self.turn_seconds,
            (self._first_position + number * _GOLDEN_RATIO) % 1.0,
        )


class RequestTurns:
    """The requests that this host may send to one leaf, turn by turn."""

    def __init__(self, *, schedule: TurnSchedule) -> None:
        """Creates the state of a leaf to which nothing was sent.

        Args:
            schedule: Turns of this host.
        """
        self.offset = 0.0
        """Start of the leaf's interval of positions, in [0, 1). The leaves of a service have
        different offsets, so that their turns complement each other."""
        self._schedule = schedule
        self._turn_number = -1
        self._sent_in_turn = 0

    def available_at(self, now: float, *, per_second: float) -> float:
        """Returns the clock from which a request may be sent; `now` if it may be sent now.

        Args:
            now: Current clock, in seconds.
            per_second: Requests per second, on average over the turns.
        """
        turn = self._schedule.at(now)
        available_at = self._available_in(turn, per_second, sent=self._sent_in(turn))
        for number in range(turn.number + 1, turn.number + _MAX_TURNS_AHEAD):
            if available_at is not None:
                break
            available_at = self._available_in(self._schedule.turn(number), per_second, sent=0)
        if available_at is None:
            return now + _MAX_TURNS_AHEAD * self._schedule.turn_seconds
        return max(now, available_at)

    def take(self, now: float) -> None:
        """Counts a request that is sent.

        Args:
            now: Current clock, in seconds.
        """
        turn = self._schedule.at(now)
        self._sent_in_turn = self._sent_in(turn) + 1
        self._turn_number = turn.number

    def _sent_in(self, turn: Turn) -> int:
        return self._sent_in_turn if turn.number == self._turn_number else 0

    def _available_in(self, turn: Turn, per_second: float, *, sent: int) -> float | None:
        """Returns the clock from which the next request of a turn may be sent, None without one."""
        turn_seconds = self._schedule.turn_seconds
        whole, fraction = divmod(per_second * turn_seconds, 1.0)
        is_in_interval = (turn.position - self.offset) % 1.0 < fraction
        allowed = int(whole) + is_in_interval
        if sent >= allowed:
            return None
        return turn.starts_at + turn_seconds * sent / allowed
