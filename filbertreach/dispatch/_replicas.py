"""Choice of the leaf for a call."""

import abc
from collections.abc import Callable, Sequence
from typing import TypeVar

from filbertreach.dispatch._leaf import LeafTracker

_DEFAULT_LATENCY_SECONDS = 0.01
"""Used until any leaf of the service has answered."""
_HOLD_RATIO = 3.0
"""A call waits for a busy leaf rather than go to one that is expected to take this much longer."""


class ReplicaPolicy(abc.ABC):
    """Chooses a leaf among those of one service."""

    @abc.abstractmethod
    def choose(self, trackers: Sequence[LeafTracker], now: float) -> LeafTracker | None:
        """Chooses a leaf.

        Args:
            trackers: Leaves that may be chosen; leave out those that already have the call.
            now: Seconds of the dispatch clock.

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

    def choose(self, trackers: Sequence[LeafTracker], now: float) -> LeafTracker | None:
        """Chooses the leaf with the least expected time; see `ReplicaPolicy`."""
        typical = _typical_seconds(trackers)
        probe = self._due_probe(trackers, now)
        if probe is not None:
            return probe
        best: LeafTracker | None = None
        best_key = (0.0, 0.0)
        for tracker in trackers:
            if tracker.has_room(now):
                key = (tracker.expected_seconds(now, typical), tracker.last_started_at)
                if best is None or key < best_key:
                    best, best_key = tracker, key
        if best is None or self._worth_waiting(trackers, best, best_key[0], now, typical):
            return None
        return best

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
        best: LeafTracker,
        best_seconds: float,
        now: float,
        typical: float,
    ) -> bool:
        return any(
            tracker is not best
            and tracker.in_flight > 0
            and tracker.state == "ready"
            and not tracker.has_room(now)
            and not tracker.is_stuck(now, typical)
            and best_seconds > _HOLD_RATIO * tracker.expected_seconds(now, typical)
            for tracker in trackers
        )


@replica_policy("round_robin")
class RoundRobin(ReplicaPolicy):
    """Baseline: takes the leaves in turn."""

    def __init__(self) -> None:
        """Starts with the first leaf."""
        self._turn = 0

    def choose(self, trackers: Sequence[LeafTracker], now: float) -> LeafTracker | None:
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

    def choose(self, trackers: Sequence[LeafTracker], now: float) -> LeafTracker | None:
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
