"""Choice of the leaf for a call."""

import abc
import math
from collections.abc import Callable, Sequence
from typing import TypeVar

from filbertreach.decisions._leaf import LeafTracker

_DEFAULT_LATENCY_SECONDS = 0.01
"""Used until any leaf of the service has answered."""
_HOLD_RATIO = 3.0
"""A call waits for a busy leaf rather than go to one that is expected to take this much longer."""
_EQUAL_RATIO = 1.25
"""Expected times this close are equal: smoothed latencies of equal leaves differ by as much."""


class ReplicaPolicy(abc.ABC):
    """Chooses a leaf among those of one service."""

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
            trackers: Leaves that may be chosen; leave out those that already have the call.
            now: Seconds of the dispatch clock.
            waiting: Calls that wait, with the one that the leaf is chosen for.
            typical_seconds: Latency of a leaf that nothing is known of, from services that are
                alike; None for the median of the given leaves.

        Returns:
            A leaf that has room, or None if the call has to wait. Ask again when any call of the
            service ends and at least every 10 ms while calls wait.
        """


_PolicyType = TypeVar("_PolicyType", bound=type[ReplicaPolicy])

replica_policies_by_name: dict[str, type[ReplicaPolicy]] = {}
"""Filled by `replica_policy`."""


def replica_policy(name: str) -> Callable[[_PolicyType], _PolicyType]:
    """Registers a policy class under a name.

    Args:
        name: Policy name.

    Returns:
        The decorator.
    """

    def register(policy_class: _PolicyType) -> _PolicyType:
        replica_policies_by_name[name] = policy_class
        return policy_class

    return register


def make_replica_policy(*, name: str) -> ReplicaPolicy:
    """Creates a policy.

    Args:
        name: least_expected_wait, round_robin or trust_report.

    Returns:
        The policy; use one for each service.

    Raises:
        ValueError: No such policy.
    """
    policy_class = replica_policies_by_name.get(name)
    if policy_class is None:
        allowed = ", ".join(sorted(replica_policies_by_name))
        raise ValueError(f"no replica policy {name!r}; allowed: {allowed}")
    return policy_class()


@replica_policy("least_expected_wait")
class LeastExpectedWait(ReplicaPolicy):
    """Chooses the leaf on which the call is expected to end first.

    The estimate comes from what the tier sees itself; a load report can only add to it. A leaf that
    fails fast is charged the time that failures cost. If every leaf with room is much slower than
    one that is full, the call waits for the latter.
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
        least = min(seconds_by_id.values())
        if self._worth_waiting(trackers, least, now, typical, waiting):
            return None
        equal = [
            tracker
            for tracker in trackers
            if seconds_by_id.get(tracker.leaf.id, math.inf) <= _EQUAL_RATIO * least
        ]
        return min(equal, key=lambda t: (t.in_flight / t.pool.slots, t.last_started_at))

    def _due_probe(self, trackers: Sequence[LeafTracker], now: float) -> LeafTracker | None:
        """A suspect leaf whose time has come gets one call, if another leaf can back it up."""
        probe = next((t for t in trackers if t.state == "suspect" and t.has_room(now)), None)
        if probe is None:
            return None
        backed_up = any(t.state in ("ready", "starting") for t in trackers)
        return probe if backed_up else None

    def _worth_waiting(
        self,
        trackers: Sequence[LeafTracker],
        least: float,
        now: float,
        typical: float,
        waiting: int,
    ) -> bool:
        """Returns whether a full leaf is expected to end the call much earlier."""
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
            least
            > _HOLD_RATIO * tracker.expected_seconds(now, typical) * (1.0 + (waiting - 1) / slots)
            for tracker in full
        )


@replica_policy("round_robin")
class RoundRobin(ReplicaPolicy):
    """Baseline: takes the leaves in turn."""

    def __init__(self) -> None:
        """Starts with the first leaf."""
        self._turn = 0

    def choose(
        self,
        trackers: Sequence[LeafTracker],
        now: float,
        *,
        waiting: int = 1,
        typical_seconds: float | None = None,
    ) -> LeafTracker | None:
        """Chooses the next leaf with room; see `ReplicaPolicy`."""
        for offset in range(len(trackers)):
            tracker = trackers[(self._turn + offset) % len(trackers)]
            if tracker.has_room(now):
                self._turn = (self._turn + offset + 1) % len(trackers)
                return tracker
        return None


@replica_policy("trust_report")
class TrustReport(ReplicaPolicy):
    """Baseline: takes the leaf that reported the least load, however old the report."""

    def choose(
        self,
        trackers: Sequence[LeafTracker],
        now: float,
        *,
        waiting: int = 1,
        typical_seconds: float | None = None,
    ) -> LeafTracker | None:
        """Chooses the least loaded leaf by report; see `ReplicaPolicy`."""
        with_room = [tracker for tracker in trackers if tracker.has_room(now)]
        key = _reported_key
        return min(with_room, key=key) if with_room else None


def _reported_key(tracker: LeafTracker) -> tuple[int, float]:
    return tracker.reported_load, tracker.last_started_at


def _typical_seconds(trackers: Sequence[LeafTracker]) -> float:
    """Returns the lower median of the leaves' latencies."""
    known = sorted(t.mean_latency for t in trackers if t.mean_latency is not None)
    return known[(len(known) - 1) // 2] if known else _DEFAULT_LATENCY_SECONDS
