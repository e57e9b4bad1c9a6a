"""Choice of the leaf for a call."""

import abc
import math
from collections.abc import Callable, Sequence
from typing import TypeVar

from filbertreach.decisions._leaf import LeafTracker

_DEFAULT_LATENCY_SECONDS = 0.01
"""Assumed until any leaf of the service has answered."""
_WAIT_RATIO = 3.0
"""A call waits for a full leaf rather than use one that is expected to take this much longer."""
_EQUAL_TIME_RATIO = 1.25
"""Expected times within this ratio count as equal: those of equally fast leaves differ as much."""


class ReplicaPolicy(abc.ABC):
    """Chooses a leaf of one service for a call."""

    @abc.abstractmethod
    def choose(
        self,
        trackers: Sequence[LeafTracker],
        now: float,
        *,
        waiting: int = 1,
        typical_seconds: float | None = None,
    ) -> LeafTracker | None:
        """Chooses a leaf.

        Args:
            trackers: Leaves to choose from, without those that the call was already sent to.
            now: Seconds of the dispatch clock.
            waiting: Number of calls that wait for a leaf, including this one.
            typical_seconds: Latency assumed for a leaf without samples, from similar services;
                None for the median of the given leaves.

        Returns:
            A leaf that can take the call, or None if the call has to wait. Call again when any
            call of the service ends, and at least every 10 ms while calls wait.
        """


_PolicyT = TypeVar("_PolicyT", bound=type[ReplicaPolicy])

replica_policies_by_name: dict[str, type[ReplicaPolicy]] = {}
"""Policy classes registered with `replica_policy`."""


def replica_policy(name: str) -> Callable[[_PolicyT], _PolicyT]:
    """Registers a policy class under a name.

    Args:
        name: Policy name.

    Returns:
        The decorator.
    """

    def register(policy_class: _PolicyT) -> _PolicyT:
        replica_policies_by_name[name] = policy_class
        return policy_class

    return register


def make_replica_policy(*, name: str) -> ReplicaPolicy:
    """Creates a policy.

    Args:
        name: Registered name: least_expected_wait, round_robin or trust_report.

    Returns:
        The policy, which must not be shared between services.

    Raises:
        ValueError: No policy is registered under the name.
    """
    policy_class = replica_policies_by_name.get(name)
    if policy_class is None:
        allowed = ", ".join(sorted(replica_policies_by_name))
        raise ValueError(f"unknown replica policy {name!r}; allowed: {allowed}")
    return policy_class()


@replica_policy("least_expected_wait")
class LeastExpectedWait(ReplicaPolicy):
    """Chooses the leaf on which the call is expected to finish first.

    The estimate is based on observed calls; a load report can only add to it. The estimate includes
    the cost of failures, so that a leaf that fails fast does not attract calls. If every available
    leaf is much slower than one that is full, the call waits for the latter.
    """

    def choose(
        self,
        trackers: Sequence[LeafTracker],
        now: float,
        *,
        waiting: int = 1,
        typical_seconds: float | None = None,
    ) -> LeafTracker | None:
        """Chooses the leaf with the least expected time; see `ReplicaPolicy`."""
        probe = self._due_probe(trackers, now)
        if probe is not None:
            return probe
        typical = _typical_seconds(trackers) if typical_seconds is None else typical_seconds
        seconds_by_id = {
            tracker.leaf.id: tracker.expected_seconds(now, typical)
            for tracker in trackers
            if tracker.has_room(now)
        }
        if not seconds_by_id:
            return None
        least_seconds = min(seconds_by_id.values())
        if self._should_wait(trackers, least_seconds, now, typical, waiting):
            return None
        equally_fast = [
            tracker
            for tracker in trackers
            if seconds_by_id.get(tracker.leaf.id, math.inf) <= _EQUAL_TIME_RATIO * least_seconds
        ]
        return min(equally_fast, key=lambda t: (t.in_flight / t.pool.slots, t.last_turn_at))

    def _due_probe(self, trackers: Sequence[LeafTracker], now: float) -> LeafTracker | None:
        """Returns a leaf that is due for a probe, if another leaf could take over the call."""
        probe = next((t for t in trackers if t.state == "suspect" and t.has_room(now)), None)
        if probe is None:
            return None
        has_alternative = any(t.state in ("ready", "starting") for t in trackers)
        return probe if has_alternative else None

    def _should_wait(
        self,
        trackers: Sequence[LeafTracker],
        least_seconds: float,
        now: float,
        typical: float,
        waiting: int,
    ) -> bool:
        """Returns whether a full leaf is expected to finish the call much earlier."""
        full = [
            tracker
            for tracker in trackers
            if tracker.state == "ready"
            and tracker.in_flight > 0
            and not tracker.has_room(now)
            and not tracker.is_stuck(now, typical)
        ]
        slots = sum(tracker.in_flight for tracker in full)
        return any(
            least_seconds
            > _WAIT_RATIO * tracker.expected_seconds(now, typical) * (1.0 + (waiting - 1) / slots)
            for tracker in full
        )


@replica_policy("round_robin")
class RoundRobin(ReplicaPolicy):
    """Baseline for comparison: uses the leaves in turn."""

    def __init__(self) -> None:
        """Creates a policy that starts with the first leaf."""
        self._next_index = 0

    def choose(
        self,
        trackers: Sequence[LeafTracker],
        now: float,
        *,
        waiting: int = 1,
        typical_seconds: float | None = None,
    ) -> LeafTracker | None:
        """Chooses the next leaf that can take a call; see `ReplicaPolicy`."""
        for offset in range(len(trackers)):
            tracker = trackers[(self._next_index + offset) % len(trackers)]
            if tracker.has_room(now):
                self._next_index = (self._next_index + offset + 1) % len(trackers)
                return tracker
        return None


@replica_policy("trust_report")
class TrustReport(ReplicaPolicy):
    """Baseline for comparison: uses the leaf with the lowest reported load of any age."""

    def choose(
        self,
        trackers: Sequence[LeafTracker],
        now: float,
        *,
        waiting: int = 1,
        typical_seconds: float | None = None,
    ) -> LeafTracker | None:
        """Chooses the leaf with the lowest reported load; see `ReplicaPolicy`."""
        available = [tracker for tracker in trackers if tracker.has_room(now)]
        key = _reported_load_key
        return min(available, key=key) if available else None


def _reported_load_key(tracker: LeafTracker) -> tuple[int, float]:
    return tracker.reported_load, tracker.last_started_at


def _typical_seconds(trackers: Sequence[LeafTracker]) -> float:
    """Returns the lower median of the latencies of the leaves."""
    known = sorted(t.mean_latency for t in trackers if t.mean_latency is not None)
    return known[(len(known) - 1) // 2] if known else _DEFAULT_LATENCY_SECONDS
