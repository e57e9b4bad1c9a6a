"""How long a query waits for the shards that have not answered."""

import math
from bisect import bisect_right
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, Protocol, TypeVar

_SAMPLE_SIZE = 2000
"""Holds 20 shards at the 99th percentile; 100 queries over 20 shards fill it."""
_LEAST_SAMPLE = 100
"""With fewer latencies the chance of an answer is unknown."""
_SORT_EVERY = 100
"""Latencies recorded between two sorts; sorting 2,000 of them takes about 0.1 ms."""
_NEAR_SHARE = 0.6
"""Share of the target after which the deadline policy may stop early."""
_STOP_SHARE = 0.95
"""Share of the target after which the deadline policy stops; the rest is for merge and sending."""
_UNLIKELY = 0.2
"""A shard that answers before the target with a smaller chance is not waited for."""
_CHECKS_BEFORE_STOP = 5
"""Checks between the near time and the target if no shard answers meanwhile."""


class ShardLatency:
    """Latencies of shards, of one rank, as this process observed them.

    Shards that were given up are recorded as never answering. Leaving them out would make every
    slow shard look as if it was about to answer.
    """

    def __init__(self) -> None:
        """Creates an empty sample."""
        self._recent: deque[float] = deque(maxlen=_SAMPLE_SIZE)
        self._sorted: list[float] = []
        self._unsorted = 0

    def record(self, seconds: float) -> None:
        """Records the latency of one shard.

        Args:
            seconds: Time from the start of the query to the shard's answer.
        """
        self._recent.append(seconds)
        self._unsorted += 1
        if self._unsorted >= _SORT_EVERY:
            self._sorted = sorted(self._recent)
            self._unsorted = 0

    def record_given_up(self) -> None:
        """Records a shard that did not answer in time."""
        self.record(math.inf)

    def chance(self, elapsed: float, until: float) -> float:
        """Estimates how likely a shard without an answer is to answer in time.

        Args:
            elapsed: Seconds since the start of the query.
            until: Seconds from the start of the query by which the answer must arrive.

        Returns:
            Share of the shards slower than `elapsed` that answered by `until`, 0 to 1; 1 while
            fewer than 100 latencies are known.
        """
        if len(self._sorted) < _LEAST_SAMPLE:
            return 1.0
        answered_before = bisect_right(self._sorted, elapsed)
        slower = len(self._sorted) - answered_before
        if slower == 0:
            return 0.0
        return max(0, bisect_right(self._sorted, until) - answered_before) / slower


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
    latency: ShardLatency
    """Latencies observed for the rank."""


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
    latency: ShardLatency,
) -> WaitPolicy:
    """Makes the wait policy of one query.

    Args:
        kind: A registered kind: deadline or complete.
        shards_total: Shards of the query.
        started: When the query was accepted, in seconds.
        target_seconds: Target of the query's rank, from `started`.
        deadline: When the answer must be sent, in seconds, on the clock of `started`.
        least_coverage: Smallest share of shards with which an answer is sent before the deadline.
        latency: Latencies of the rank; the policy records into it.

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
        """Counts an included shard and records its latency."""
        self._included += 1
        self._settings.latency.record(now - self._settings.started)

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
    target, judged by the conditional distribution of the latencies that were observed. At 0.95 of
    the target it stops. Below `least_coverage` it waits until the deadline.
    """

    def __init__(self, settings: WaitSettings) -> None:
        """Starts with every shard pending.

        Args:
            settings: Bounds of the wait.
        """
        super().__init__(settings)
        self._stop_after = _STOP_SHARE * settings.target_seconds
        self._near_after = _NEAR_SHARE * settings.target_seconds
        self._stopped = False

    def stop_waiting(self, now: float) -> bool:
        """Returns whether waiting longer is not worth its time."""
        if not self._stopped and self._decide(now):
            self._stopped = True
            for _ in range(self.pending):
                self._settings.latency.record_given_up()
        return self._stopped

    def next_check(self, now: float) -> float | None:
        """Returns the next time at which the decision may change without an answer."""
        if self.stop_waiting(now):
            return None
        settings = self._settings
        near, stop = settings.started + self._near_after, settings.started + self._stop_after
        if not self._covered() or now >= stop:
            return settings.deadline
        step = (stop - near) / _CHECKS_BEFORE_STOP
        return min(near if now < near else min(stop, now + step), settings.deadline)

    def _covered(self) -> bool:
        return self._included >= self._settings.least_coverage * self._settings.shards_total

    def _decide(self, now: float) -> bool:
        settings = self._settings
        if self.pending <= 0 or now >= settings.deadline:
            return True
        elapsed = now - settings.started
        if elapsed < self._near_after or not self._covered():
            return False
        if elapsed >= self._stop_after:
            return True
        return settings.latency.chance(elapsed, self._stop_after) < _UNLIKELY
