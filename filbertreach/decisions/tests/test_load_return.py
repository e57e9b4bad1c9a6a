"""Return of load to leaves with empty caches, over modelled hosts and leaves."""

import heapq
import itertools
import math
import random
import time
from collections.abc import Callable
from typing import NamedTuple

import pytest

from filbertreach.decisions import (
    RETURN_SECONDS,
    LeafOutcome,
    LeafTracker,
    LoadReturn,
    make_replica_policy,
)
from filbertreach.document import Leaf, Pool

_SLOTS = 4
_LEAVES = 4
"""Leaves of each of the two data centres."""
_WORK_SECONDS = 0.02
_COLD_FACTOR = 4.0
"""Duration of work on a leaf with empty caches as a multiple of the usual one."""
_WARMING_REQUESTS = 80
"""Requests after which the excess of that duration has fallen to 37%."""
_LOAD = 0.6
"""Calls as a part of what the warm leaves of one data centre can serve."""
_QUEUE_FACTOR = 4
"""As in `gateway/_service_pool.py`: no call waits at a leaf with more calls per slot."""
_OBJECTIVE_SECONDS = 0.1
_RETURN_AT = 3.0
_END = _RETURN_AT + RETURN_SECONDS + 2.0
_LEARN_SECONDS = 1.0
"""Time within which the hosts learn of the return."""


class _ModelLeaf:
    """A leaf with slots, a queue and caches that requests fill."""

    def __init__(self, name: str, data_centre: str, *, is_cold: bool) -> None:
        self.leaf = Leaf(name, "10.0.0.1:80", "r", data_centre)
        self.free_at = [0.0] * _SLOTS
        self.ends: list[float] = []
        self.served = 0 if is_cold else 10 * _WARMING_REQUESTS
        self.most = 0

    def run(self, now: float) -> float:
        """Runs a call; returns the time of its end."""
        factor = 1.0 + (_COLD_FACTOR - 1.0) * math.exp(-self.served / _WARMING_REQUESTS)
        begin = max(now, heapq.heappop(self.free_at))
        end = begin + _WORK_SECONDS * factor
        heapq.heappush(self.free_at, end)
        self.served += 1
        self.ends = [other for other in self.ends if other > now] + [end]
        self.most = max(self.most, len(self.ends))
        return end

    def load(self, now: float) -> int:
        return sum(end > now for end in self.ends)


class _Outcome(NamedTuple):
    lost: float
    """Share of the calls after the return that were late or found no leaf."""
    most_per_slot: float
    """Largest number of calls per slot at a leaf that returned."""


def _play(
    hosts: int, *, far_seconds: float, paced: bool, evacuated: bool, seed: int = 1
) -> _Outcome:
    """Lets the near leaves, or three of four of them, return to use after `_RETURN_AT`."""
    rng = random.Random(seed)
    returning_count = _LEAVES if evacuated else _LEAVES - 1
    leaves = [_ModelLeaf(f"near-{n}", "near", is_cold=n < returning_count) for n in range(_LEAVES)]
    leaves += [_ModelLeaf(f"far-{n}", "far", is_cold=False) for n in range(_LEAVES)]
    returning = {leaf.leaf.id for leaf in leaves[:returning_count]}
    learned_at = [_RETURN_AT + rng.uniform(0.0, _LEARN_SECONDS) for _ in range(hosts)]
    policy = make_replica_policy(name="least_expected_wait")
    paces = [LoadReturn(draw=rng.random) for _ in range(hosts)]
    trackers = [[_tracker(leaf, far_seconds) for leaf in leaves] for _ in range(hosts)]
    has_learned = [False] * hosts
    order = itertools.count()
    events: list[tuple[float, int, Callable[[float], None]]] = []
    late = lost = count = 0

    def call(now: float) -> None:
        nonlocal late, lost, count
        host = rng.randrange(hosts)
        if now >= learned_at[host] and not has_learned[host]:
            has_learned[host] = True
            _begin(paces[host], returning, learned_at[host], evacuated=evacuated)
        usable = [t for t in trackers[host] if has_learned[host] or t.leaf.id not in returning]
        withheld = (
            paces[host].withheld([(t.leaf.id, t.leaf.data_centre) for t in usable], now)
            if paced
            else frozenset()
        )
        chosen = None
        for candidates in ([t for t in usable if t.leaf.id not in withheld], usable):
            chosen = chosen or policy.choose(candidates, now, typical_seconds=_WORK_SECONDS)
            with_room = [t for t in candidates if t.in_flight < _QUEUE_FACTOR * _SLOTS]
            chosen = chosen or min(with_room, key=lambda t: t.in_flight, default=None)
        is_counted = now > _RETURN_AT
        count += is_counted
        if chosen is None:
            lost += is_counted
            return
        leaf = next(leaf for leaf in leaves if leaf.leaf.id == chosen.leaf.id)
        chosen.record_start(now)
        end = leaf.run(now)
        late += is_counted and end - now > _OBJECTIVE_SECONDS

        def finish(at: float, tracker: LeafTracker = chosen) -> None:
            load = leaf.load(at)
            tracker.record_load_report(min(load, _SLOTS), max(0, load - _SLOTS), at)
            tracker.record_finish(LeafOutcome.OK, at - now, at)

        heapq.heappush(events, (end, next(order), finish))

    rate = _LOAD * _LEAVES * _SLOTS / _WORK_SECONDS
    arrives_at = 0.0
    while (arrives_at := arrives_at + rng.expovariate(rate)) < _END:
        heapq.heappush(events, (arrives_at, next(order), call))
    while events:
        now, _, handle = heapq.heappop(events)
        handle(now)
    most = max(leaf.most for leaf in leaves[:returning_count])
    return _Outcome((late + lost) / count, most / _SLOTS)


def _tracker(leaf: _ModelLeaf, far_seconds: float) -> LeafTracker:
    tracker = LeafTracker(leaf=leaf.leaf, pool=Pool("fleet", _SLOTS, 30, 6.0), smoothing=0.3)
    tracker.distance_seconds = 0.0 if leaf.leaf.data_centre == "near" else far_seconds
    # Hosts have called the leaf before.
    for number in range(8):
        tracker.record_start(-1.0 - number)
        tracker.record_finish(LeafOutcome.OK, _WORK_SECONDS, -1.0 - number + _WORK_SECONDS)
    return tracker


def _begin(pace: LoadReturn, returning: set[str], now: float, *, evacuated: bool) -> None:
    if evacuated:
        pace.on_withdrawn("near", now)
        return
    for leaf_id in sorted(returning):
        pace.on_started(leaf_id, "near", now, leaves=_LEAVES)


@pytest.mark.parametrize("evacuated", [True, False])
@pytest.mark.parametrize("far_seconds", [0.002, 0.04])
@pytest.mark.parametrize("hosts", [8, 68, 127])
def test_callers_lose_less_if_load_returns_gradually(
    hosts: int, far_seconds: float, evacuated: bool
) -> None:
    # Guards against all load on leaves whose caches are empty, in the moment of their return. The
    # other data centre is in the region, or in another one.
    at_once = _play(hosts, far_seconds=far_seconds, paced=False, evacuated=evacuated)
    gradual = _play(hosts, far_seconds=far_seconds, paced=True, evacuated=evacuated)
    if hosts == 8:
        # Eight hosts learn soon enough that the leaves are slow.
        assert gradual.lost <= at_once.lost < 0.01, (at_once, gradual)
        return
    assert at_once.lost > 0.01
    assert gradual.lost < 0.3 * at_once.lost, (at_once, gradual)
    assert gradual.most_per_slot < 0.6 * at_once.most_per_slot


def _started(pace: LoadReturn, count: int, *, leaves: int, every: float = 0.1) -> int:
    return sum(pace.on_started(f"l{n}", "dc", n * every, leaves=leaves) for n in range(count))


def test_single_starts_and_a_rolling_restart_are_no_mass_return() -> None:
    # Guards against a pace where the load of the other leaves hardly changes.
    assert _started(LoadReturn(), 2, leaves=2) == 0
    assert _started(LoadReturn(), 20, leaves=100, every=1.0) == 0
    assert _started(LoadReturn(), 24, leaves=100) == 0
    pace = LoadReturn(draw=lambda: 0.99)
    assert _started(pace, 20, leaves=100, every=1.0) == 0
    assert pace.withheld([("l19", "dc")], 19.0) == frozenset()


def test_starts_of_all_leaves_keep_the_event_loop_free() -> None:
    # Guards against a start whose cost grows with the number of starts: 0.9 ms with 6,100 leaves,
    # of which the store reports 50 at a time.
    pace = LoadReturn()
    began_at = time.process_time()
    assert _started(pace, 6100, leaves=6100, every=0.0005) == 6100
    assert time.process_time() - began_at < 0.3


def test_a_mass_return_concerns_all_leaves_that_started_together() -> None:
    # Guards against the first leaves of a mass return that get all their load at once.
    pace = LoadReturn(draw=lambda: 0.5)
    assert _started(pace, 26, leaves=100) == 26
    leaves = [("l0", "dc"), ("l25", "dc"), ("other", "dc"), ("far", "dc-2")]
    assert pace.withheld(leaves, 2.5) == {"l0", "l25"}
    # A leaf that starts again begins again; the others go on.
    half = 2.4 + RETURN_SECONDS / 2.0
    pace.on_started("l0", "dc", half, leaves=1)
    assert pace.share("l0", "dc", half) == 1.0 / 32.0
    assert pace.share("l25", "dc", half) == pytest.approx(32.0**-0.5, rel=0.05)


def test_the_share_grows_to_one_and_an_evacuation_ends_the_return() -> None:
    # Guards against a pace that outlasts the return.
    pace = LoadReturn(draw=lambda: 0.999)
    assert pace.share("a", "dc", 10.0) == 1.0
    pace.on_withdrawn("dc", 10.0)
    shares = [pace.share("a", "dc", 10.0 + RETURN_SECONDS * n / 10.0) for n in range(11)]
    assert shares == sorted(shares) and shares[0] == 1.0 / 32.0 and shares[-1] == 1.0
    assert pace.withheld([("a", "dc"), ("b", "dc-2")], 10.1) == {"a"}
    assert pace.withheld([("a", "dc")], 10.0 + RETURN_SECONDS) == frozenset()
    pace.on_withdrawn("dc", 30.0)
    pace.on_evacuated("dc")
    assert pace.share("a", "dc", 30.1) == 1.0


def test_state_does_not_grow_with_leaves_and_data_centres_that_are_gone() -> None:
    # Guards against the memory of a host that runs for months; entries may name any data centre.
    pace = LoadReturn()
    for number in range(10_000):
        name = f"dc-{number // 10}"
        pace.on_started(f"l{number}", name, number * 1.0, leaves=3)
        if number % 10 == 0:
            pace.on_withdrawn(name, number * 1.0)
    sizes = [len(part) for part in vars(pace).values() if isinstance(part, dict)]
    assert len(sizes) == 3 and max(sizes) <= 20, sizes


def test_without_a_return_no_number_is_drawn() -> None:
    # Guards against decisions that differ from those without the policy.
    def draw() -> float:
        raise AssertionError("a number was drawn")

    assert LoadReturn(draw=draw).withheld([("a", "dc")], 1.0) == frozenset()
