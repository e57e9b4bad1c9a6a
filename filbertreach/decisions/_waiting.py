"""How long a query waits for shards that have not answered."""

import math
from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol, TypeVar

_SAMPLE_SIZE = 200
"""Late shards in the sample; a fifth of them is enough for a change of the fleet to show."""
_MIN_SAMPLE_SIZE = 20
"""Below this number of late shards, the probability of an answer is unknown."""
_EXPLORATION_INTERVAL = 128
"""One in this many queries that could stop early waits on; under 1%, so that p99 is unaffected."""
_EARLY_STOP_SHARE = 0.6
"""Share of the target after which the deadline policy may stop early."""
_STOP_SHARE = 0.95
"""Share of the target after which the deadline policy stops; merging and sending take the rest."""
_MIN_ANSWER_PROBABILITY = 0.2
"""A shard is not waited for if it is less likely than this to answer before the target."""
_EARLY_STOP_CHECKS = 5
"""Checks between the first possible stop and the last one if no shard answers meanwhile."""
_ROUNDING_TOLERANCE = 1e-9
"""Covers rounding: 0.07 times 100, for example, is slightly more than 7."""


class LateShardLatencies:
    """Sample of the latencies of late shards of one rank, as observed by this process.

    A shard is late if it is pending at 0.6 of the target. Only queries that did not stop early are
    recorded, and a few that could stop early wait on in order to be recorded. If shards whose
    answers were not awaited counted as never answering, then after a slowdown of the fleet every
    early stop would make the next one more likely.
    """

    def __init__(self) -> None:
        """Creates an empty sample."""
        self._recent: deque[float] = deque(maxlen=_SAMPLE_SIZE)
        self._early_stops = 0

    def record(self, latencies: Iterable[float]) -> None:
        """Records the late shards of one query that did not stop early.

        Args:
            latencies: Seconds from the start of the query to the answer of each late shard;
                infinity for a shard that did not answer before the query ended.
        """
        self._recent.extend(latencies)

    def should_explore(self) -> bool:
        """Returns whether a query that could stop early is to wait on and be recorded instead."""
        self._early_stops += 1
        return self._early_stops % _EXPLORATION_INTERVAL == 0

    def answer_probability(self, elapsed: float, until: float) -> float:
        """Estimates the probability that a pending shard answers in time.

        Args:
            elapsed: Seconds since the start of the query.
            until: Seconds from the start of the query by which the answer must arrive.

        Returns:
            Share of the late shards slower than `elapsed` that answered by `until`, 0 to 1; 1 while
            there are fewer than 20 such shards.
        """
        slower = [latency for latency in self._recent if latency > elapsed]
        if len(slower) < _MIN_SAMPLE_SIZE:
            return 1.0
        return sum(latency <= until for latency in slower) / len(slower)


class WaitSettings(NamedTuple):
    """Limits on the wait of one query."""

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
    """Sample of late shards of the rank."""


class WaitPolicy(Protocol):
    """Decides when one query stops waiting for shards."""

    def on_answer(self, now: float) -> None:
        """Counts a shard that answered and is included.

        Args:
            now: Time in seconds.
        """

    def on_failure(self, now: float) -> None:
        """Counts a shard that failed and will be lacking.

        Args:
            now: Time in seconds.
        """

    def stop_waiting(self, now: float) -> bool:
        """Returns whether to answer the query with the shards included so far.

        Args:
            now: Time in seconds.
        """

    def next_check(self, now: float) -> float | None:
        """Returns when to call `stop_waiting` again if no shard answers before.

        Args:
            now: Time in seconds.

        Returns:
            A time in seconds, later than `now`, or None if `stop_waiting` is already true.
        """


_PolicyT = TypeVar("_PolicyT", bound=type)
_POLICY_BY_KIND: dict[str, Callable[[WaitSettings], WaitPolicy]] = {}


def wait_policy(kind: str) -> Callable[[_PolicyT], _PolicyT]:
    """Registers a class that is constructed from WaitSettings as the wait policy of a kind.

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
    """Creates the wait policy of one query.

    Args:
        kind: Registered kind: deadline, complete or objective.
        shards_total: Shards of the query.
        started: When the query was accepted, in seconds.
        target_seconds: Target of the query's rank, from `started`.
        deadline: When the answer must be sent, in seconds, on the clock of `started`.
        least_coverage: Smallest share of shards with which an answer is sent before the deadline.
        latency: Sample of late shards of the rank; the deadline policy adds to it.

    Returns:
        A policy with every shard pending.

    Raises:
        ValueError: The kind is not registered.
    """
    if kind not in _POLICY_BY_KIND:
        kinds = ", ".join(sorted(_POLICY_BY_KIND))
        raise ValueError(f"unknown wait policy {kind!r}; allowed: {kinds}")
    settings = WaitSettings(
        shards_total, started, target_seconds, deadline, least_coverage, latency
    )
    return _POLICY_BY_KIND[kind](settings)


@wait_policy("complete")
class CompleteWait:
    """Waits for every shard until the deadline."""

    def __init__(self, settings: WaitSettings) -> None:
        """Creates a policy with every shard pending.

        Args:
            settings: Limits on the wait.
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
        """Returns whether no shard is pending or the deadline has passed."""
        return self.pending <= 0 or now >= self._settings.deadline

    def next_check(self, now: float) -> float | None:
        """Returns the deadline."""
        return None if self.stop_waiting(now) else self._settings.deadline


@wait_policy("deadline")
class DeadlineWait(CompleteWait):
    """Answers within the target of the rank if enough shards are included.

    From 0.6 of the target on, it stops if the late shards of earlier queries show that the pending
    shards are unlikely to answer before the target. At 0.95 of the target it stops in any case.
    Below `least_coverage` it waits until the deadline.
    """

    def __init__(self, settings: WaitSettings) -> None:
        """Creates a policy with every shard pending.

        Args:
            settings: Limits on the wait.
        """
        super().__init__(settings)
        # Absolute times are compared with `now` directly: with differences, rounding could make
        # next_check and stop_waiting disagree on whether the stop time has passed.
        self._stop_at = settings.started + _STOP_SHARE * settings.target_seconds
        self._early_stop_at = settings.started + _EARLY_STOP_SHARE * settings.target_seconds
        self._stopped = False
        self._is_exploring = False
        self._late: list[float] = []

    def on_answer(self, now: float) -> None:
        """Counts an included shard; keeps its latency if it is late."""
        super().on_answer(now)
        if now > self._early_stop_at:
            self._late.append(now - self._settings.started)

    def stop_waiting(self, now: float) -> bool:
        """Returns whether the query is to stop, and adds its late shards to the sample if due."""
        if self._stopped:
            return True
        if self._must_stop(now):
            self._stopped = True
            self._settings.latency.record([*self._late, *([math.inf] * self.pending)])
        elif not self._is_exploring and self._can_stop_early(now):
            self._is_exploring = self._settings.latency.should_explore()
            self._stopped = not self._is_exploring
        return self._stopped

    def next_check(self, now: float) -> float | None:
        """Returns the next time at which the decision may change without an answer."""
        if self.stop_waiting(now):
            return None
        deadline = self._settings.deadline
        if not self._has_least_coverage():
            return deadline
        if now < self._early_stop_at:
            return min(self._early_stop_at, deadline)
        step = (self._stop_at - self._early_stop_at) / _EARLY_STOP_CHECKS
        return min(self._stop_at, now + step, deadline)

    def _has_least_coverage(self) -> bool:
        return self._included >= self._settings.least_coverage * self._settings.shards_total

    def _must_stop(self, now: float) -> bool:
        settings = self._settings
        if self.pending <= 0 or now >= settings.deadline:
            return True
        return self._has_least_coverage() and now >= self._stop_at

    def _can_stop_early(self, now: float) -> bool:
        if now < self._early_stop_at or not self._has_least_coverage():
            return False
        started = self._settings.started
        return (
            self._settings.latency.answer_probability(now - started, self._stop_at - started)
            < _MIN_ANSWER_PROBABILITY
        )


@wait_policy("objective")
class ObjectiveWait(CompleteWait):
    """Waits until the target, then answers with the shards included so far.

    Below `least_coverage` it waits until the deadline, unless so many shards have failed that the
    coverage can't be reached any more.
    """

    def __init__(self, settings: WaitSettings) -> None:
        """Creates a policy with every shard pending.

        Args:
            settings: Limits on the wait.
        """
        super().__init__(settings)
        self._target_at = settings.started + settings.target_seconds
        self.needed = max(
            1, math.ceil(settings.least_coverage * settings.shards_total - _ROUNDING_TOLERANCE)
        )
        """Smallest number of shards for an answer."""

    @property
    def covered(self) -> bool:
        """Whether enough shards are included for an answer."""
        return self._included >= self.needed

    def move_target(self, target_at: float) -> None:
        """Changes when a query with enough shards is answered.

        Args:
            target_at: Clock in seconds.
        """
        self._target_at = target_at

    def stop_waiting(self, now: float) -> bool:
        """Returns whether the wait is over, or can't lead to an answer any more."""
        if super().stop_waiting(now):
            return True
        if self.covered:
            return now >= self._target_at
        return self._included + self.pending < self.needed

    def next_check(self, now: float) -> float | None:
        """Returns the target, then the deadline."""
        if self.stop_waiting(now):
            return None
        deadline = self._settings.deadline
        return min(deadline, self._target_at) if now < self._target_at else deadline
