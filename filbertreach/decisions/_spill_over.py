"""Spill-over: when a call goes to a leaf in another data centre or region.

See docs/design/spill-over.md for the ways weighed and the figures.
"""

import abc
import math
import random
from collections.abc import Callable, Sequence
from typing import Literal, NamedTuple, TypeVar

from filbertreach.decisions._leaf import LeafTracker
from filbertreach.decisions._replicas import ReplicaPolicy, make_replica_policy

Distance = Literal["near", "data_centre", "region"]
"""Distance of a leaf from this host: same data centre, same region, or another region."""
DISTANCES: tuple[Distance, ...] = ("near", "data_centre", "region")
"""All distances, the shortest first."""

SpillReason = Literal["no_near_leaf", "tried", "load"]
"""Why a call is sent out of the data centre of this host.

no_near_leaf: no usable leaf is nearer; tried: the nearer leaves have the request or failed it;
load: the near leaves are short, so that a far one is expected to answer sooner, or can't take the
call now.
"""

_INDEX_BY_DISTANCE = {distance: index for index, distance in enumerate(DISTANCES)}
_ASSUMED_DELAY_SECONDS: dict[Distance, float] = {"near": 0.0, "data_centre": 0.002, "region": 0.03}
"""Additional time of a call by the distance of its leaf, until answers show the actual delay."""
_DELAY_SMOOTHING = 0.05
"""Weight of an observed delay. It is low, as a sample contains the variation of the work."""
_MAX_DELAY_SECONDS = 0.1
"""Largest delay that a sample counts as. One slow answer would otherwise keep calls away from a
data centre for long."""
_WORK_SMOOTHING = 0.1
"""Weight of an answer in the estimated time of a call on an idle leaf."""
_MAX_SAMPLE_FACTOR = 3.0
"""A sample of that time counts as at most this many estimates, as a paused leaf shows no load."""
_DEFAULT_WORK_SECONDS = 0.03
"""Work of a call until any near leaf has answered."""
_WORK_MEMORY_SECONDS = 30.0
"""Time constant at which the estimate for one leaf returns to that of its data centre."""
_FRESH_SECONDS = 0.2
"""Time constant at which a load report loses weight against the mean of reports. A queue of a few
slots lasts about as long."""
_LOAD_SMOOTHING = 0.2
"""Weight of a report in the mean load of a leaf."""
_DATA_CENTRE_SMOOTHING = 0.05
"""Weight of a report in the mean load of a data centre, which many leaves report."""
_LOAD_MEMORY_SECONDS = 0.4
"""Time constant at which the mean load of a leaf returns to that of its data centre."""
_MAX_LOAD_BY_SLOT = 16.0
"""Load for each slot above which a report counts as this much, beyond the queue of a leaf. A single
wrong report would otherwise change the mean of its data centre for hundreds of reports."""
_UNKNOWN_LOAD = 0.5
"""Requests for each slot of a leaf assumed until any leaf of its data centre has answered."""
_FAILURE_LOAD = 2.0
"""Requests for each slot of a leaf assumed after a failed or refused call."""
_FAILURE_MEMORY_SECONDS = 2.0
"""Time constant at which the failure rate of a leaf without calls decays, as in `LeafTracker`. A
far leaf that failed would otherwise not be tried again."""
_FAILURE_COST = 10.0
"""Cost of a failed call in the work of a call, as in `LeafTracker`."""
_RECEIVER_WEIGHT = 2.0
"""Weight of the wait at a far leaf: a call there also delays the callers of its data centre, who
gain nothing by it."""
_NEAR_WEIGHT = 1.5
"""Weight of the wait at a near leaf for the most urgent calls, which delay others there too."""
_LESS_URGENT_NEAR_WEIGHT = 2.0
"""The same for less urgent calls. They go out first and leave near slots to urgent calls."""
_RELATIVE_MARGIN = 0.25
"""Advantage of a far leaf, as a part of its cost, below which no call is sent out. Where all
regions are short, their queues differ by chance: without it, 0.28 of the calls crossed at 1.2 times
the capacity of each region, with it less than 0.1."""
_MARGIN = 0.1
"""The same as a part of the work of a call, for short queues."""
_SCALE = 1.0
"""Further advantage, as a part of the work, at which all calls are sent out. Below it, a part of
them is, so that many hosts with similar reports do not send all calls to the same leaf."""


class CrossingCosts(NamedTuple):
    """What a call to a leaf elsewhere costs, expressed as time.

    A leaf elsewhere is worth its price if it is expected to answer earlier by at least this time.
    """

    data_centre_seconds: float
    """Cost of a call to another data centre of the region, in seconds."""
    region_seconds: float
    """Cost of a call to another region, in seconds."""

    def seconds(self, distance: Distance) -> float:
        """Returns the cost of a call by the distance of its leaf, in seconds."""
        if distance == "near":
            return 0.0
        return self.data_centre_seconds if distance == "data_centre" else self.region_seconds


class SpillCandidate(NamedTuple):
    """A leaf that may get a call."""

    tracker: LeafTracker
    """State of the leaf."""
    data_centre: str
    """Its data centre."""
    distance: Distance
    """Its distance from this host."""


class SpillChoice(NamedTuple):
    """The leaf chosen for a call."""

    tracker: LeafTracker
    """State of the leaf."""
    by_load: bool
    """Whether load sends the call to a far leaf although a near one may get it."""


class LeafReport(NamedTuple):
    """What the answer of a leaf says of its load."""

    load: int
    """Number of requests that run or wait."""
    slots: int
    """Number of requests that can run at once."""
    slowdown: float
    """Current duration of work as a multiple of the usual one, at least 1."""


class DataCentreStatistics:
    """What the answers of all leaves of a data centre show, shared by the services of one host.

    A host sends few calls to each far leaf, but some to each data centre.
    """

    def __init__(self) -> None:
        """Creates statistics without observations."""
        self._delay_by_data_centre: dict[str, float] = {}
        self._load_by_data_centre: dict[tuple[str, int], float] = {}

    def delay_seconds(self, candidate: SpillCandidate) -> float:
        """Returns the additional time of a call to the data centre of a leaf, in seconds.

        Args:
            candidate: The leaf.
        """
        known = self._delay_by_data_centre.get(candidate.data_centre)
        return _ASSUMED_DELAY_SECONDS[candidate.distance] if known is None else known

    def load(self, candidate: SpillCandidate) -> float:
        """Returns the mean load of leaves with as many slots in a data centre, by slot.

        Leaves with as many slots mostly belong to services of the same kind.

        Args:
            candidate: A leaf there.
        """
        key = candidate.data_centre, candidate.tracker.pool.slots
        return self._load_by_data_centre.get(key, _UNKNOWN_LOAD)

    def record_delay(self, candidate: SpillCandidate, seconds: float) -> None:
        """Records how much longer a call took than the work of a near leaf.

        Args:
            candidate: Leaf that answered.
            seconds: Additional time, in seconds.
        """
        known = self.delay_seconds(candidate)
        sample = min(max(seconds, 0.0), _MAX_DELAY_SECONDS)
        smoothed = known + _DELAY_SMOOTHING * (sample - known)
        self._delay_by_data_centre[candidate.data_centre] = smoothed

    def record_load(self, candidate: SpillCandidate, load: float) -> None:
        """Records a load report.

        Args:
            candidate: Leaf that answered.
            load: Number of requests that run or wait, for each slot.
        """
        key = candidate.data_centre, candidate.tracker.pool.slots
        known = self._load_by_data_centre.get(key, load)
        self._load_by_data_centre[key] = known + _DATA_CENTRE_SMOOTHING * (load - known)


class SpillPolicy(abc.ABC):
    """Chooses between near and far leaves for the calls of one service."""

    def __init__(
        self,
        *,
        costs: CrossingCosts,
        statistics: DataCentreStatistics,
        draw: Callable[[], float] = random.random,
    ) -> None:
        """Creates a policy without observations.

        Args:
            costs: Costs of a crossing.
            statistics: Statistics of the data centres, shared by the services of this host.
            draw: Returns random numbers, at least 0 and below 1.
        """
        self._costs = costs
        self._statistics = statistics
        self._draw = draw
        self._chooser: ReplicaPolicy = make_replica_policy(name="least_expected_wait")
        self._work_seconds: float | None = None
        self._nearest_index = 0

    def choose(
        self,
        candidates: Sequence[SpillCandidate],
        now: float,
        *,
        nearest: Distance = "near",
        typical_seconds: float | None = None,
        priority: int = 0,
        remaining_seconds: float = math.inf,
    ) -> SpillChoice | None:
        """Chooses a leaf.

        Args:
            candidates: Leaves that may get the call.
            now: Current clock, in seconds.
            nearest: Distance of the nearest usable leaves of the service, whether or not they may
                get this call. Leaves at this distance are the near ones, as a service may have none
                in the data centre of this host.
            typical_seconds: Latency assumed for near leaves without samples; None for the median of
                the leaves.
            priority: Rank of the call, 0 for the most urgent ones.
            remaining_seconds: Time until the objective of the call, in seconds.

        Returns:
            The choice; None if no leaf has a free slot known to this host.
        """
        self._nearest_index = _INDEX_BY_DISTANCE[nearest]
        near = [c for c in candidates if self._is_near(c)]
        far = [
            c
            for c in candidates
            if not self._is_near(c)
            # A suspect leaf has room when it is due for a probe; without one it stays suspect.
            and c.tracker.in_flight < c.tracker.pool.slots
            and c.tracker.has_room(now)
        ]
        # A suspect leaf gets only probes, so it relieves no other near leaf.
        healthy = [c for c in near if c.tracker.state != "suspect"]
        if healthy and far:
            out = self._choose_far(healthy, far, now, priority, remaining_seconds)
            if out is not None:
                return SpillChoice(out.tracker, by_load=True)
        allowed = near if healthy else candidates
        tracker = self._chooser.choose(
            [c.tracker for c in allowed], now, typical_seconds=typical_seconds
        )
        return None if tracker is None else SpillChoice(tracker, by_load=False)

    def cost_seconds(self, distance: Distance) -> float:
        """Returns the cost of a call by the distance of its leaf, in seconds."""
        return self._costs.seconds(distance)

    def _is_near(self, candidate: SpillCandidate) -> bool:
        return _INDEX_BY_DISTANCE[candidate.distance] <= self._nearest_index

    @abc.abstractmethod
    def on_answer(
        self, candidate: SpillCandidate, seconds: float, report: LeafReport, now: float
    ) -> None:
        """Records a successful answer with a load report.

        Args:
            candidate: Leaf that answered.
            seconds: Time since the call was sent.
            report: Load of the leaf.
            now: Current clock, in seconds.
        """

    @abc.abstractmethod
    def on_failure(self, candidate: SpillCandidate, now: float) -> None:
        """Records a call that failed or was refused.

        Args:
            candidate: The leaf.
            now: Current clock, in seconds.
        """

    @abc.abstractmethod
    def forget(self, leaf_id: str) -> None:
        """Removes what is known of a leaf that is gone or was restarted.

        Args:
            leaf_id: Id of the leaf.
        """

    @abc.abstractmethod
    def _choose_far(
        self,
        near: Sequence[SpillCandidate],
        far: Sequence[SpillCandidate],
        now: float,
        priority: int,
        remaining_seconds: float,
    ) -> SpillCandidate | None:
        """Returns the far leaf if the call belongs to the part that is sent out."""

    def _far_seconds(self, candidate: SpillCandidate, now: float) -> float:
        """Returns the expected time of a far leaf with the delay and the price of the crossing."""
        prior = self._work + self._statistics.delay_seconds(candidate)
        tracker = candidate.tracker
        seconds = tracker.expected_seconds(now, prior) - tracker.distance_seconds
        return seconds + self._costs.seconds(candidate.distance)

    @property
    def _work(self) -> float:
        """Time of a call on an idle near leaf of usual speed, in seconds."""
        return _DEFAULT_WORK_SECONDS if self._work_seconds is None else self._work_seconds

    def _record_work(self, seconds: float, report: LeafReport) -> None:
        # A call that leaves `load` others behind has waited while as many were served.
        sample = seconds / max(1.0, _load_by_slot(report)) / report.slowdown
        self._work_seconds = _smooth(self._work_seconds, sample)


def _load_by_slot(report: LeafReport) -> float:
    """Returns the reported load for each slot, at most `_MAX_LOAD_BY_SLOT`."""
    return min(report.load / max(1, report.slots), _MAX_LOAD_BY_SLOT)


def _smooth(known: float | None, sample: float) -> float:
    """Returns an estimated time after a further sample, in seconds."""
    if known is None:
        return sample
    return known + _WORK_SMOOTHING * (min(sample, _MAX_SAMPLE_FACTOR * known) - known)


_PolicyT = TypeVar("_PolicyT", bound=type[SpillPolicy])

spill_policies_by_name: dict[str, type[SpillPolicy]] = {}
"""Policy classes registered with `spill_policy`."""


def spill_policy(name: str) -> Callable[[_PolicyT], _PolicyT]:
    """Registers a policy class under a name.

    Args:
        name: Policy name.

    Returns:
        The decorator.
    """

    def register(policy_class: _PolicyT) -> _PolicyT:
        spill_policies_by_name[name] = policy_class
        return policy_class

    return register


def make_spill_policy(
    *,
    name: str,
    costs: CrossingCosts,
    statistics: DataCentreStatistics,
    draw: Callable[[], float] = random.random,
) -> SpillPolicy:
    """Creates a policy.

    Args:
        name: Registered name: marginal_cost, threshold or equal_wait.
        costs: Costs of a crossing.
        statistics: Statistics of the data centres, shared by the services of this host.
        draw: Returns random numbers, at least 0 and below 1.

    Returns:
        The policy, which must not be shared between services.

    Raises:
        ValueError: No policy is registered under the name.
    """
    policy_class = spill_policies_by_name.get(name)
    if policy_class is None:
        allowed = ", ".join(sorted(spill_policies_by_name))
        raise ValueError(f"unknown spill-over policy {name!r}; allowed: {allowed}")
    return policy_class(costs=costs, statistics=statistics, draw=draw)


class _LeafEstimate(NamedTuple):
    """What the answers of one leaf show."""

    idle_seconds: float
    """Time of a call while the leaf is idle, with the delay of the network."""
    load: float
    """Requests that ran or waited in the latest report."""
    mean_load: float
    """Smoothed requests that ran or waited."""
    own: int
    """Calls of this host in flight at the latest report."""
    at: float
    """Clock of the latest report, in seconds."""


@spill_policy("marginal_cost")
class MarginalCost(SpillPolicy):
    """Sends out the part of the calls by which the costs of near and far leaves come out equal.

    The cost of a leaf is the time of a call there while it is idle, the expected wait, the expected
    cost of failures, and for a far leaf the price of the crossing. The wait at a far leaf counts
    twice, for the callers there whom the call delays. Load reports are weighted by their age
    against the mean of the leaf and that of its data centre. A call is sent out with a probability
    that grows with the advantage, to the better of two far leaves.
    """

    def __init__(
        self,
        *,
        costs: CrossingCosts,
        statistics: DataCentreStatistics,
        draw: Callable[[], float] = random.random,
    ) -> None:
        """Creates a policy without observations; see `SpillPolicy`."""
        super().__init__(costs=costs, statistics=statistics, draw=draw)
        self._estimate_by_leaf: dict[str, _LeafEstimate] = {}

    def on_answer(
        self, candidate: SpillCandidate, seconds: float, report: LeafReport, now: float
    ) -> None:
        """Updates the estimates of the leaf and of its data centre; see `SpillPolicy`."""
        load_by_slot = _load_by_slot(report)
        delay_seconds = (
            0.0 if self._is_near(candidate) else self._statistics.delay_seconds(candidate)
        )
        # A call that leaves requests behind has waited while about as many were served.
        served_seconds = max(0.0, seconds - delay_seconds) / max(1.0, load_by_slot)
        idle_seconds = served_seconds + delay_seconds
        if self._is_near(candidate):
            self._record_work(seconds, report)
        else:
            self._statistics.record_delay(candidate, idle_seconds / report.slowdown - self._work)
        self._statistics.record_load(candidate, load_by_slot)
        known = self._estimate_by_leaf.get(candidate.tracker.leaf.id)
        idle_seconds = _smooth(known.idle_seconds if known else None, idle_seconds)
        self._record_load(candidate, load_by_slot * max(1, report.slots), idle_seconds, now)

    def on_failure(self, candidate: SpillCandidate, now: float) -> None:
        """Assumes that the leaf is full; see `SpillPolicy`."""
        known = self._estimate_by_leaf.get(candidate.tracker.leaf.id)
        load = _FAILURE_LOAD * candidate.tracker.pool.slots
        if known is not None:
            load = max(load, known.load)
        self._record_load(candidate, load, self._idle_seconds(candidate, now), now)

    def forget(self, leaf_id: str) -> None:
        """Removes the estimate of a leaf; see `SpillPolicy`."""
        self._estimate_by_leaf.pop(leaf_id, None)

    def _record_load(
        self, candidate: SpillCandidate, load: float, idle_seconds: float, now: float
    ) -> None:
        leaf_id = candidate.tracker.leaf.id
        known = self._estimate_by_leaf.get(leaf_id)
        mean = load if known is None else known.mean_load
        mean += _LOAD_SMOOTHING * (load - mean)
        # The call that has ended is still among those in flight.
        own = max(0, candidate.tracker.in_flight - 1)
        self._estimate_by_leaf[leaf_id] = _LeafEstimate(idle_seconds, load, mean, own, now)

    def _choose_far(
        self,
        near: Sequence[SpillCandidate],
        far: Sequence[SpillCandidate],
        now: float,
        priority: int,
        remaining_seconds: float,
    ) -> SpillCandidate | None:
        weight = _NEAR_WEIGHT if priority == 0 else _LESS_URGENT_NEAR_WEIGHT
        if not any(c.tracker.has_room(now) for c in near):
            # This host already has as many calls there as the leaf has taken from it.
            weight = _RECEIVER_WEIGHT
        near_seconds = min(self._cost_seconds(c, now, weight) for c in near)
        seconds_by_leaf = {
            c.tracker.leaf.id: self._cost_seconds(c, now, _RECEIVER_WEIGHT) for c in far
        }
        best = min(far, key=lambda c: seconds_by_leaf[c.tracker.leaf.id])
        # Two leaves chosen at random, so that hosts with similar reports don't choose the same.
        peers = [c for c in far if c.distance == best.distance]
        pair = [peers[int(self._draw() * len(peers))] for _ in range(2)]
        chosen = min(pair, key=lambda c: seconds_by_leaf[c.tracker.leaf.id])
        seconds = seconds_by_leaf[chosen.tracker.leaf.id]
        if not self._is_worth_crossing(chosen, near, now, remaining_seconds):
            return None
        advantage = (near_seconds - (1.0 + _RELATIVE_MARGIN) * seconds) / self._work - _MARGIN
        return chosen if self._draw() * _SCALE < advantage else None

    def _is_worth_crossing(
        self,
        chosen: SpillCandidate,
        near: Sequence[SpillCandidate],
        now: float,
        remaining_seconds: float,
    ) -> bool:
        """Returns whether a crossing meets the objective, or makes a late call less late."""
        far_seconds = self._time_seconds(chosen, now)
        if far_seconds <= remaining_seconds:
            return True
        near_seconds = min(self._time_seconds(c, now) for c in near)
        return near_seconds > max(remaining_seconds, far_seconds)

    def _cost_seconds(self, candidate: SpillCandidate, now: float, wait_weight: float) -> float:
        """Returns the expected time of a call with the price of the crossing, in seconds."""
        tracker = candidate.tracker
        slots = tracker.pool.slots
        idle_seconds = self._idle_seconds(candidate, now) * tracker.slowdown_scale(now)
        idle_seconds *= tracker.observed_slowness.factor(now)
        waiting = max(0.0, self._load(candidate, now) + 1.0 - slots) / slots
        seconds = idle_seconds + wait_weight * waiting * self._work
        idle_for = 0.0 if tracker.in_flight else max(0.0, now - tracker.last_started_at)
        failure_rate = tracker.failure_rate * math.exp(-idle_for / _FAILURE_MEMORY_SECONDS)
        seconds += _FAILURE_COST * failure_rate * self._work
        if tracker.is_stuck(now, self._work):
            stuck_seconds = tracker.expected_seconds(now, self._work) - tracker.distance_seconds
            seconds = max(seconds, stuck_seconds)
        return seconds + self._costs.seconds(candidate.distance)

    def _time_seconds(self, candidate: SpillCandidate, now: float) -> float:
        """Returns the expected time of the call itself, in seconds."""
        seconds = self._cost_seconds(candidate, now, 1.0)
        return seconds - self._costs.seconds(candidate.distance)

    def _idle_seconds(self, candidate: SpillCandidate, now: float) -> float:
        """Returns the time of a call while the leaf is idle, in seconds."""
        assumed = self._work
        if not self._is_near(candidate):
            assumed += self._statistics.delay_seconds(candidate)
        known = self._estimate_by_leaf.get(candidate.tracker.leaf.id)
        if known is None:
            return assumed
        memory = math.exp(-max(0.0, now - known.at) / _WORK_MEMORY_SECONDS)
        return assumed + memory * (known.idle_seconds - assumed)

    def _load(self, candidate: SpillCandidate, now: float) -> float:
        """Returns the expected number of requests that run or wait."""
        tracker = candidate.tracker
        load = self._statistics.load(candidate) * tracker.pool.slots
        known = self._estimate_by_leaf.get(tracker.leaf.id)
        if known is None:
            return max(load, float(tracker.in_flight))
        age = max(0.0, now - known.at)
        load += math.exp(-age / _LOAD_MEMORY_SECONDS) * (known.mean_load - load)
        load += math.exp(-age / _FRESH_SECONDS) * (known.load - load)
        return load + max(0, tracker.in_flight - known.own)
