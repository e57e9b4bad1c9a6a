"""How long a query waits for the shards that have not answered."""

import math
from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol, TypeVar

_SAMPLE_SIZE = 200
"""Late shards that are remembered; a change of the fleet shows after a fifth of them."""
_LEAST_SAMPLE = 20
"""With fewer late shards the chance of an answer is unknown."""
_EXPLORE_EVERY = 128
"""One in so many queries that would stop early waits on; less than 1%, so that p99 keeps."""
_NEAR_SHARE = 0.6
"""Share of the target after which the deadline policy may stop early."""
_STOP_SHARE = 0.95
"""Share of the target after which the deadline policy stops; the rest is for merge and sending."""
_UNLIKELY = 0.2
"""A shard that answers before the target with a smaller chance is not waited for."""
_CHECKS_BEFORE_STOP = 5
"""Checks between the near time and the target if no shard answers meanwhile."""


_ROUNDING_TOLERANCE = 1e-9
"""For products such as 0.07 times 100, which is a little more than 7."""


class LateShardLatencies:
    """Latencies of the late shards of one rank, as this process observed them.

    A shard is late if it is pending when the target is near. Only queries that did not stop early
    are recorded, and a few that would stop early wait on to be recorded: if the shards that were
    given up counted as never answering, stopping early would confirm itself after the fleet became
    slow.
    """

    def __init__(self) -> None:
        """Creates an empty sample."""
        self._recent: deque[float] = deque(maxlen=_SAMPLE_SIZE)
        self._would_stop = 0

    def record(self, latencies: Iterable[float]) -> None:
        """Records the late shards of one query that did not stop early.

        Args:
            latencies: Seconds from the start of the query to the answer of each late shard;
                infinity for a shard that did not answer before the query ended.
        """
        self._recent.extend(latencies)

    def explore(self) -> bool:
        """Returns whether a query that would stop early is to wait on and be recorded."""
        self._would_stop += 1
        return self._would_stop % _EXPLORE_EVERY == 0

    def chance(self, elapsed: float, until: float) -> float:
        """Estimates how likely a shard without an answer is to answer in time.

        Args:
            elapsed: Seconds since the start of the query.
            until: Seconds from the start of the query by which the answer must arrive.

        Returns:
            Share of the late shards slower than `elapsed` that answered by `until`, 0 to 1; 1 while
            fewer than 20 such shards are known.
        """
        slower = [latency for latency in self._recent if latency > elapsed]
        if len(slower) < _LEAST_SAMPLE:
            return 1.0
        return sum(latency <= until for latency in slower) / len(slower)


class WaitSettings(NamedTuple):
    """What bounds the wait of one query."""

    shards_total: int
    """Shards of the query."""
    started: float
    """When the query was accepted, in seconds."""
    target_seconds: float
    """Target of the query's rank, from `started`."""
    deadline: float
    """When the answer must be sent, in seconds, on the clock of `started`."""
    least_coverage: float
    """Smallest share of shards with which an answer is sent before the deadline, 0 to 1."""
    latency: LateShardLatencies
    """Late shards observed for the rank."""


class WaitPolicy(Protocol):
    """Decides when one query stops waiting."""

    def on_answer(self, now: float) -> None:
        """Counts a shard that the answer includes.

        Args:
            now: Time in seconds.
        """

    def on_failure(self, now: float) -> None:
        """Counts a shard that the answer will lack.

        Args:
            now: Time in seconds.
        """

    def stop_waiting(self, now: float) -> bool:
        """Returns whether the query is to be answered with what it has.

        Args:
            now: Time in seconds.
        """

    def next_check(self, now: float) -> float | None:
        """Returns when to ask again if no shard answers before.

        Args:
            now: Time in seconds.

        Returns:
            A time in seconds, later than `now`, or None if `stop_waiting` is already true.
        """


_PolicyT = TypeVar("_PolicyT", bound=type)
_POLICY_BY_KIND: dict[str, Callable[[WaitSettings], WaitPolicy]] = {}


def wait_policy(kind: str) -> Callable[[_PolicyT], _PolicyT]:
    """Registers a class, called with WaitSettings, as the wait policy of a kind.

    Args:
        kind: Value of `policy.wait` in an environment document.

    Returns:
        A class decorator.
    """

    def register(policy_class: _PolicyT) -> _PolicyT:
        _POLICY_BY_KIND[kind] = policy_class
        return policy_class

    return register


def make_wait_policy(
    *,
    kind: str,
    shards_total: int,
    started: float,
    target_seconds: float,
    deadline: float,
    least_coverage: float,
    latency: LateShardLatencies,
) -> WaitPolicy:
    """Makes the wait policy of one query.

    Args:
        kind: A registered kind: deadline or complete.
        shards_total: Shards of the query.
        started: When the query was accepted, in seconds.
        target_seconds: Target of the query's rank, from `started`.
        deadline: When the answer must be sent, in seconds, on the clock of `started`.
        least_coverage: Smallest share of shards with which an answer is sent before the deadline.
        latency: Late shards of the rank; the deadline policy records into it.

    Returns:
        A policy that has counted no shard.

    Raises:
        ValueError: The kind is not registered.
    """
    if kind not in _POLICY_BY_KIND:
        kinds = ", ".join(sorted(_POLICY_BY_KIND))
        raise ValueError(f"no wait policy {kind!r}; there is: {kinds}")
    settings = WaitSettings(
        shards_total, started, target_seconds, deadline, least_coverage, latency
    )
    return _POLICY_BY_KIND[kind](settings)


@wait_policy("complete")
class CompleteWait:
    """Waits for every shard until the deadline."""

    def __init__(self, settings: WaitSettings) -> None:
        """Starts with every shard pending.

        Args:
            settings: Bounds of the wait.
        """
        self._settings = settings
        self._included = 0
        self._failed = 0

    @property
    def pending(self) -> int:
        """Number of shards that neither answered nor failed."""
        return self._settings.shards_total - self._included - self._failed

    def on_answer(self, now: float) -> None:
        """Counts an included shard."""
        self._included += 1

    def on_failure(self, now: float) -> None:
        """Counts a lacking shard."""
        self._failed += 1

    def stop_waiting(self, now: float) -> bool:
        """Returns whether no shard is pending or the deadline has come."""
        return self.pending <= 0 or now >= self._settings.deadline

    def next_check(self, now: float) -> float | None:
        """Returns the deadline."""
        return None if self.stop_waiting(now) else self._settings.deadline


@wait_policy("deadline")
class DeadlineWait(CompleteWait):
    """Answers by the rank's target if enough shards are included.

    From 0.6 of the target on, it stops if the pending shards are unlikely to answer before the
    target, judged by the late shards of earlier queries. At 0.95 of the target it stops. Below
    `least_coverage` it waits until the deadline.
    """

    def __init__(self, settings: WaitSettings) -> None:
        """Starts with every shard pending.

        Args:
            settings: Bounds of the wait.
        """
        super().__init__(settings)
        # Compared with `now` as they are: the rounding of a difference would let next_check and
        # stop_waiting disagree on whether the stop time has come.
        self._stop_at = settings.started + _STOP_SHARE * settings.target_seconds
        self._near_at = settings.started + _NEAR_SHARE * settings.target_seconds
        self._stopped = False
        self._explores = False
        self._late: list[float] = []

    def on_answer(self, now: float) -> None:
        """Counts an included shard; keeps its latency if it is late."""
        super().on_answer(now)
        if now > self._near_at:
            self._late.append(now - self._settings.started)

    def stop_waiting(self, now: float) -> bool:
        """Returns whether waiting longer is not worth its time."""
        if self._stopped:
            return True
        if self._at_end(now):
            self._stopped = True
            self._settings.latency.record([*self._late, *([math.inf] * self.pending)])
        elif not self._explores and self._unlikely_to_help(now):
            self._explores = self._settings.latency.explore()
            self._stopped = not self._explores
        return self._stopped

    def next_check(self, now: float) -> float | None:
        """Returns the next time at which the decision may change without an answer."""
        if self.stop_waiting(now):
            return None
        deadline = self._settings.deadline
        if not self._covered():
            return deadline
        if now < self._near_at:
            return min(self._near_at, deadline)
        step = (self._stop_at - self._near_at) / _CHECKS_BEFORE_STOP
        return min(self._stop_at, now + step, deadline)

    def _covered(self) -> bool:
        return self._included >= self._settings.least_coverage * self._settings.shards_total

    def _at_end(self, now: float) -> bool:
        settings = self._settings
        if self.pending <= 0 or now >= settings.deadline:
            return True
        return self._covered() and now >= self._stop_at

    def _unlikely_to_help(self, now: float) -> bool:
        if now < self._near_at or not self._covered():
            return False
        started = self._settings.started
        return self._settings.latency.chance(now - started, self._stop_at - started) < _UNLIKELY


@wait_policy("objective")
class ObjectiveWait(CompleteWait):
    """Uses all of the target for more shards, then answers with those that are in.

    Below `least_coverage` it waits on until the deadline, unless so many shards have failed that
    it can't be reached any more.
    """

    def __init__(self, settings: WaitSettings) -> None:
        """Starts with every shard pending.

        Args:
            settings: Bounds of the wait.
        """
        super().__init__(settings)
        self._target_at = settings.started + settings.target_seconds
        self._needed = math.ceil(
            settings.least_coverage * settings.shards_total - _ROUNDING_TOLERANCE
        )

    @property
    def covered(self) -> bool:
        """Whether enough shards are included for an answer."""
        return self._included >= max(1, self._needed)

    def stop_waiting(self, now: float) -> bool:
        """Returns whether more shards can't make the answer better."""
        if super().stop_waiting(now):
            return True
        if self.covered:
            return now >= self._target_at
        return self._included + self.pending < self._needed

    def next_check(self, now: float) -> float | None:
        """Returns the target, then the deadline."""
        if self.stop_waiting(now):
            return None
        deadline = self._settings.deadline
        return min(deadline, self._target_at) if now < self._target_at else deadline
