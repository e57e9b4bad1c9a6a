"""Runs the decision modules of dispatch for one service group under a fake clock.

A small event loop stands for time and a few simulated leaves stand for the backend servers; the
queue, the replica choice, the limits and the hedges are the modules that the daemon uses. Every
experiment runs the chosen policy and its baselines with the same seed and returns figures. Run all
with `python -m experiments.dispatch_decisions [--seed N] [--only NAME]`.
"""

import argparse
import functools
import heapq
import itertools
import json
import math
import random
import sys
import time
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

from filbertreach.decisions import (
    HedgeBudget,
    HedgeDelay,
    LatencyTracker,
    LeafOutcome,
    LeafTracker,
    make_replica_policy,
    may_hedge,
)
from filbertreach.dispatch._queue import CallQueue, QueuedCall, make_queue
from filbertreach.document import Leaf, Pool, Rank
from filbertreach.timing import FakeClock

Figures = dict[str, Any]

MEDIAN_SECONDS = 0.010
NETWORK_SECONDS = 0.001
"""One way between dispatch and a leaf."""
POLL_SECONDS = 0.01
FAN_OUT = 100
RANKS = {
    "booking": Rank("booking", 0, 90.0, 100.0, 0.2),
    "search": Rank("search", 1, 200.0, 10.0, 0.3),
    "sweep": Rank("sweep", 2, 900.0, 1.0, 0.1),
}


class Arrivals(NamedTuple):
    """A Poisson stream of calls."""

    rank: str
    """Rank of the calls."""
    per_second: float
    """Mean rate."""
    client: str = "client"
    """Client of the calls."""
    starts: float = 0.0
    """Start in seconds."""
    ends: float = math.inf
    """End in seconds."""
    deadline_seconds: float = 0.5
    """Time from arrival to deadline."""


class Options(NamedTuple):
    """What a run uses."""

    queue: str = "ranked"
    """Queue policy."""
    replicas: str = "least_expected_wait"
    """Replica policy."""
    hedging: bool = True
    """Whether hedges are sent."""
    queue_extra: bool = True
    """Whether hedges and retries without a free leaf go through the queue."""
    budget: float = 0.05
    """Share of the hedge budget."""
    max_length: int = 200
    """Most queued calls."""
    spacing: bool = True
    """Whether the queue may space calls that are not urgent."""
    pool: Pool = Pool("pool", 4, 45, 1.0)
    """Pool of the leaves."""


class SimulatedLeaf:
    """A backend server: slots, a queue of its own, and faults that depend on time."""

    def __init__(
        self,
        *,
        slots: int,
        draw: Callable[[float], float],
        most_queued: int = 8,
        stuck: Callable[[float], bool] = lambda now: False,
        fails: Callable[[float], bool] = lambda now: False,
    ) -> None:
        """Creates an idle leaf.

        Args:
            slots: Calls that it runs at once.
            draw: Service time in seconds at a time in seconds.
            most_queued: Calls that wait in it before it refuses.
            stuck: Whether calls that arrive at this time never end.
            fails: Whether calls that arrive at this time fail at once.
        """
        self.slots = slots
        self.draw = draw
        self.most_queued = most_queued
        self.stuck = stuck
        self.fails = fails
        self.running = 0
        self.waiting: list[Callable[[], None]] = []


class _Call:
    """State of one call in the group."""

    __slots__ = ("arrived_at", "attempts", "done", "in_flight", "item", "sent_at", "tried")

    def __init__(self, item: QueuedCall) -> None:
        self.item = item
        self.arrived_at = item.enqueued_at
        self.sent_at = 0.0
        self.attempts = 0
        self.tried: set[str] = set()
        self.in_flight: list[_Attempt] = []
        self.done = False


class Group:
    """One service: arrivals, the decision modules and the simulated leaves."""

    def __init__(self, *, leaves: list[SimulatedLeaf], options: Options, seed: int) -> None:
        """Creates the group at time 0.

        Args:
            leaves: Simulated leaves.
            options: Policies.
            seed: Seed of the arrivals.
        """
        self.clock = FakeClock()
        self.options = options
        self.leaves = {f"leaf-{number}": leaf for number, leaf in enumerate(leaves)}
        self.trackers = [
            LeafTracker(leaf=Leaf(name, "127.0.0.1:1", "r", "d"), pool=options.pool)
            for name in self.leaves
        ]
        self.queue = make_queue(policy=options.queue, ranks=RANKS, max_length=options.max_length)
        self.chooser = make_replica_policy(name=options.replicas)
        self.budget = HedgeBudget(share=options.budget)
        self.delay = HedgeDelay(quantile=0.95)
        self.latency = LatencyTracker()
        self.first_calls = 0
        self.extra_calls = 0
        self.sent_by_leaf: dict[str, int] = defaultdict(int)
        self.results: list[tuple[QueuedCall, float, bool]] = []
        """Call, seconds from arrival to end, and whether it ended with an answer in time."""
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._ids = itertools.count()
        self._wake_at = -math.inf

    def run(self, arrivals: Iterable[Arrivals], seconds: float) -> "Group":
        """Runs the streams for a time and returns the group."""
        for stream in arrivals:
            self._next_arrival(stream, stream.starts)
        self._poll()
        while self._events and self._events[0][0] <= seconds:
            at, _, action = heapq.heappop(self._events)
            self.clock.advance(at - self.clock.now())
            action()
        return self

    def at(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedules an action."""
        heapq.heappush(self._events, (seconds, next(self._numbers), action))

    def _next_arrival(self, stream: Arrivals, after: float) -> None:
        at = after + self._random.expovariate(stream.per_second)
        if at < stream.ends:
            self.at(at, lambda: self._arrive(stream))

    def _poll(self) -> None:
        self._pump()
        self.at(self.clock.now() + POLL_SECONDS, self._poll)

    def _arrive(self, stream: Arrivals) -> None:
        now = self.clock.now()
        self._next_arrival(stream, now)
        deadline_at = now + stream.deadline_seconds
        name = str(next(self._ids))
        item = QueuedCall(name, stream.rank, stream.client, 1.0, now, deadline_at, None)
        call = _Call(item)
        refused = self.queue.push(item._replace(payload=call))
        if refused is not None:
            self._drop(refused.payload)
        self._pump()

    def _pump(self) -> None:
        now = self.clock.now()
        # Calls that likely miss their deadline would only use up a leaf.
        for item in self.queue.expire(now, self.latency.quantile(0.9) or 0.0):
            self._drop(item.payload)
        while self.queue:
            tracker = self.chooser.choose(self.trackers, now, waiting=len(self.queue))
            if tracker is None:
                return
            slots = sum(tracker.limit.limit for tracker in self.trackers)
            latency = self.latency.quantile(0.5) or 0.0
            hold = self.queue.pacing_delay_seconds(now, slots=slots, latency_seconds=latency)
            if hold > 0 and self.options.spacing:
                if self._wake_at <= now:
                    self._wake_at = now + hold
                    self.at(self._wake_at, self._pump)
                return
            popped = self.queue.pop(now)
            assert popped is not None
            call = popped.payload
            if call.attempts:
                if not call.done and not self._send_extra(call):
                    self._drop(call)
                continue
            self.first_calls += 1
            self.budget.record_first_call(slow=self.delay.is_slow)
            self.delay.record_first_call()
            call.sent_at = now
            self._send(call, tracker)

    def _send(self, call: _Call, tracker: LeafTracker) -> None:
        now = self.clock.now()
        call.attempts += 1
        call.tried.add(tracker.leaf.id)
        self.sent_by_leaf[tracker.leaf.id] += 1
        tracker.record_start(now)
        attempt = _Attempt(self, call, tracker, now)
        call.in_flight.append(attempt)
        self.at(now + NETWORK_SECONDS, attempt.arrive)
        self.at(call.item.deadline_at, attempt.time_out)
        delay = self.delay.seconds(call.attempts)
        if self.options.hedging and delay is not None:
            attempts = call.attempts
            self.at(now + delay, lambda: self._hedge(call, attempts))

    def _hedge(self, call: _Call, attempts: int) -> None:
        if call.done or call.attempts != attempts:
            return
        if attempts > 1 or self.delay.record_overdue():
            self._extra(call)

    def _extra(self, call: _Call) -> bool:
        """Sends a hedge or a retry if allowed, or queues it if no other leaf has room.

        Returns:
            Whether it was sent or queued.
        """
        now = self.clock.now()
        if not may_hedge(
            idempotent=True,
            attempts=call.attempts,
            max_attempts=3,
            remaining_seconds=call.item.deadline_at - now,
            min_remaining_seconds=self.latency.quantile(0.5) or 0.0,
        ):
            return False
        if self._send_extra(call):
            return True
        if not self.options.queue_extra:
            return False
        call_id = f"{call.item.call_id}#{call.attempts}"
        if self.queue.remove(call_id) is None and not self.budget.has_token:
            return False
        refused = self.queue.push(call.item._replace(call_id=call_id, payload=call))
        if refused is not None:
            self._drop(refused.payload)
        return refused is None or refused.payload is not call

    def _send_extra(self, call: _Call) -> bool:
        others = [tracker for tracker in self.trackers if tracker.leaf.id not in call.tried]
        tracker = self.chooser.choose(others or self.trackers, self.clock.now())
        if tracker is None or not self.budget.try_take():
            return False
        self.extra_calls += 1
        self._send(call, tracker)
        return True

    def _drop(self, call: _Call) -> None:
        """Ends a call that left the queue unserved, unless an attempt is still out."""
        if not call.in_flight and not call.done:
            self._end(call, answered=False)

    def ended(self, attempt: "_Attempt", outcome: LeafOutcome) -> None:
        """Handles the end of an attempt."""
        now = self.clock.now()
        call = attempt.call
        call.in_flight.remove(attempt)
        attempt.tracker.record_finish(outcome, now - attempt.sent_at, now)
        if outcome in (LeafOutcome.OK, LeafOutcome.TIMEOUT):
            # Without the timeouts the quantiles would only know the calls that were fast enough.
            self.latency.record(now - attempt.sent_at, now)
            self.queue.record_service_time(call.item.rank, now - attempt.sent_at)
        if outcome is LeafOutcome.OK and not call.done:
            self.delay.record(now - call.sent_at, now)
            self._end(call, answered=now <= call.item.deadline_at)
        elif not call.done and not self._extra(call) and not call.in_flight:
            self._end(call, answered=False)
        self._pump()

    def _end(self, call: _Call, *, answered: bool) -> None:
        call.done = True
        self.queue.remove(f"{call.item.call_id}#{call.attempts}")
        for attempt in call.in_flight:
            attempt.cancel(LeafOutcome.CANCELLED)
        self.results.append((call.item, self.clock.now() - call.arrived_at, answered))


class _Attempt:
    """One call on one leaf."""

    def __init__(self, group: Group, call: _Call, tracker: LeafTracker, sent_at: float) -> None:
        self.group = group
        self.call = call
        self.tracker = tracker
        self.sent_at = sent_at
        self.leaf = group.leaves[tracker.leaf.id]
        self.running = False
        self.stopped = False
        self.ended = False

    def arrive(self) -> None:
        """Handles the call at the leaf."""
        now = self.group.clock.now()
        if self.leaf.fails(now):
            self._answer(LeafOutcome.ERROR)
        elif self.leaf.stuck(now):
            pass
        elif self.leaf.running < self.leaf.slots:
            self._run()
        elif len(self.leaf.waiting) < self.leaf.most_queued:
            self.leaf.waiting.append(self._run)
        else:
            self._answer(LeafOutcome.REFUSED)

    def cancel(self, outcome: LeafOutcome) -> None:
        """Stops the work at the leaf; its confirmation comes back as the outcome."""
        self.group.at(self.group.clock.now() + NETWORK_SECONDS, lambda: self._stop(outcome))

    def time_out(self) -> None:
        """Ends the attempt at the deadline of the call."""
        if not self.ended:
            self.cancel(LeafOutcome.TIMEOUT)
            self.end(LeafOutcome.CANCELLED if self.call.done else LeafOutcome.TIMEOUT)

    def end(self, outcome: LeafOutcome) -> None:
        """Ends the attempt for the tier, once."""
        if not self.ended:
            self.ended = True
            self.group.ended(self, outcome)

    def _run(self) -> None:
        if self.stopped:
            self._next()
            return
        now = self.group.clock.now()
        self.leaf.running += 1
        self.running = True
        self.group.at(now + self.leaf.draw(now), self._complete)

    def _complete(self) -> None:
        if self.running:
            self._release()
            self._answer(LeafOutcome.OK)

    def _stop(self, outcome: LeafOutcome) -> None:
        self.stopped = True
        if self.running:
            self._release()
        self._answer(outcome)

    def _release(self) -> None:
        self.running = False
        self.leaf.running -= 1
        self._next()

    def _next(self) -> None:
        if self.leaf.waiting and self.leaf.running < self.leaf.slots:
            self.leaf.waiting.pop(0)()

    def _answer(self, outcome: LeafOutcome) -> None:
        at = self.group.clock.now() + NETWORK_SECONDS
        self.group.at(at, lambda: self.end(outcome))


def quantile(values: Iterable[float], q: float) -> float:
    """Returns the sample quantile, NaN without samples."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(q * len(ordered)) - 1)] if ordered else math.nan


def fan_out_latencies(group: Group, seed: int) -> list[float]:
    """Returns the largest of each 100 latencies, in random order.

    In a query each of the 100 calls goes to another service, so the calls of one query are
    independent of each other.
    """
    latencies = [seconds for _, seconds, answered in group.results if answered]
    random.Random(seed).shuffle(latencies)
    last = len(latencies) - FAN_OUT + 1
    return [max(latencies[start : start + FAN_OUT]) for start in range(0, last, FAN_OUT)]


def body(seed: int, sigma: float = 0.15) -> Callable[[float], float]:
    """Returns lognormal service times around the median."""
    source = random.Random(seed)
    return lambda now: source.lognormvariate(math.log(MEDIAN_SECONDS), sigma)


def _leaves(count: int, slots: int, seed: int, sigma: float = 0.15) -> list[SimulatedLeaf]:
    return [
        SimulatedLeaf(slots=slots, draw=body(seed * 100 + number, sigma)) for number in range(count)
    ]


def _rounded(figures: Figures) -> Figures:
    return {
        key: round(value, 4) if isinstance(value, float) else value
        for key, value in figures.items()
    }


def _with_stragglers(
    draw: Callable[[float], float], seed: int, share: float
) -> Callable[[float], float]:
    source = random.Random(seed)
    return lambda now: draw(now) * (10.0 if source.random() < share else 1.0)


def stragglers(seed: int = 1, queries: int = 1000) -> Figures:
    """1% of calls take 10 times as long; fan-out 100; hedges against none.

    Args:
        seed: Seed of arrivals and service times.
        queries: Queries of 100 calls.

    Returns:
        Latencies of queries in ms, their ratio and the share of extra calls.
    """
    per_second = 300.0
    groups = {}
    for hedging in (True, False):
        leaves = _leaves(3, 4, seed)
        for number, leaf in enumerate(leaves):
            leaf.draw = _with_stragglers(leaf.draw, seed * 100 + 50 + number, 0.01)
        group = Group(leaves=leaves, options=Options(hedging=hedging), seed=seed)
        groups[hedging] = group.run([Arrivals("search", per_second)], queries * 100 / per_second)
    hedged, plain = (fan_out_latencies(groups[hedging], seed) for hedging in (True, False))
    return _rounded(
        {
            "hedged_p50_ms": 1000 * quantile(hedged, 0.5),
            "hedged_p99_ms": 1000 * quantile(hedged, 0.99),
            "plain_p50_ms": 1000 * quantile(plain, 0.5),
            "plain_p99_ms": 1000 * quantile(plain, 0.99),
            "p99_ratio": quantile(hedged, 0.99) / quantile(plain, 0.99),
            "extra_share": groups[True].extra_calls / groups[True].first_calls,
        }
    )


def _slow_after(draw: Callable[[float], float], at: float) -> Callable[[float], float]:
    return lambda now: draw(now) * (10.0 if now >= at else 1.0)


def whole_fleet_slow(seed: int = 1, sigma: float = 0.15) -> Figures:
    """After 20 s every leaf takes 10 times as long, for 120 s.

    Args:
        seed: Seed of arrivals and service times.
        sigma: Shape of the lognormal service times.

    Returns:
        Extra calls as a share of first calls before, in the first 10 s and over the slow time.
    """
    leaves = _leaves(3, 4, seed, sigma)
    for leaf in leaves:
        leaf.draw = _slow_after(leaf.draw, 20.0)
    group = Group(leaves=leaves, options=Options(), seed=seed)
    counts = [(0, 0)]
    for at in (20.0, 30.0, 140.0):
        group.at(at, lambda: counts.append((group.extra_calls, group.first_calls)))
    group.run([Arrivals("search", 50.0, deadline_seconds=2.0)], 140.0)
    parts = {"before": (0, 1), "first_10_s": (1, 2), "slow_time": (1, 3)}
    return _rounded(
        {
            f"extra_share_{name}": (counts[end][0] - counts[start][0])
            / (counts[end][1] - counts[start][1])
            for name, (start, end) in parts.items()
        }
    )


_POLICIES = ("ranked", "fifo", "strict")
_POOLS = {
    "2x2": (2, Pool("counter", 2, 25, 6.0)),
    "3x4": (3, Pool("workshop", 4, 100, 1.0)),
}


def _rank_figures(group: Group, rank: str, since: float, until: float) -> Figures:
    """Latency and goodput of the calls of a rank that arrived in a time."""
    results = [
        (seconds, answered)
        for item, seconds, answered in group.results
        if item.rank == rank and since <= item.enqueued_at < until
    ]
    answered = [seconds for seconds, in_time in results if in_time]
    return {
        "p99_ms": 1000 * quantile(answered, 0.99),
        "goodput": len(answered) / max(1, len(results)),
        "answered_per_second": len(answered) / (until - since),
    }


def lowest_rank_flood(seed: int = 1, pool: str = "2x2", sigma: float = 0.15) -> Figures:
    """The lowest rank floods at 10 times capacity from 75 s to 135 s, after 40 s at 1.1 times.

    Args:
        seed: Seed of arrivals and service times.
        pool: Shape of the group, 2x2 (leaves x slots) or 3x4.
        sigma: Shape of the lognormal service times.

    Returns:
        For each queue policy the p99 and goodput of the highest rank during the flood against
        before it, the whole goodput against peak, and the p99 of the highest rank 1 s after it.
    """
    count, shape = _POOLS[pool]
    mean = MEDIAN_SECONDS * math.exp(sigma**2 / 2)
    capacity = count * shape.slots / (mean + 2 * NETWORK_SECONDS)
    urgent = Arrivals("booking", 0.1 * capacity, "desk", deadline_seconds=0.09)
    peak = Arrivals("sweep", 1.1 * capacity, "ledger", 30.0, 70.0, 0.9)
    flood = Arrivals("sweep", 10 * capacity, "ledger", 75.0, 135.0, 0.9)
    figures: Figures = {}
    for policy in (*_POLICIES, "ranked_without_spacing"):
        options = Options(queue=policy.split("_")[0], pool=shape, spacing=policy == "ranked")
        leaves = _leaves(count, shape.slots, seed, sigma)
        group = Group(leaves=leaves, options=options, seed=seed)
        group.run([urgent, flood, peak], 141.0)
        before = _rank_figures(group, "booking", 1.0, 30.0)
        during = _rank_figures(group, "booking", 75.0, 135.0)
        after = _rank_figures(group, "booking", 136.0, 140.0)
        whole = during["answered_per_second"] + _answered_between(group, "sweep", 75.0, 135.0)
        best = _answered_between(group, "booking", 62.0, 70.0) + _answered_between(
            group, "sweep", 62.0, 70.0
        )
        figures[policy] = _rounded(
            {
                "booking_p99_unloaded_ms": before["p99_ms"],
                "booking_p99_ms": during["p99_ms"],
                "booking_p99_ratio": during["p99_ms"] / before["p99_ms"],
                "booking_goodput_ratio": during["goodput"] / before["goodput"],
                "answered_per_second": whole,
                "whole_goodput_of_peak": whole / best,
                "booking_p99_ratio_after_1_s": after["p99_ms"] / before["p99_ms"],
            }
        )
    return figures


def _answered_between(group: Group, rank: str, since: float, until: float) -> float:
    """Answers in time per second, by the time of the answer."""
    answered = sum(
        1
        for item, seconds, in_time in group.results
        if in_time and item.rank == rank and since <= item.enqueued_at + seconds < until
    )
    return answered / (until - since)


def highest_rank_flood(seed: int = 1, pool: str = "2x2") -> Figures:
    """The highest rank floods at 10 times capacity while the others want twice their share.

    Args:
        seed: Seed of arrivals and service times.
        pool: Shape of the group, 2x2 (leaves x slots) or 3x4.

    Returns:
        For each queue policy, each rank's share of the answers; kept shares under `kept`.
    """
    count, shape = _POOLS[pool]
    capacity = count * shape.slots / (MEDIAN_SECONDS + 2 * NETWORK_SECONDS)
    streams = [
        Arrivals("booking", 10 * capacity, deadline_seconds=0.09),
        Arrivals("search", 0.6 * capacity, deadline_seconds=0.2),
        Arrivals("sweep", 0.2 * capacity, deadline_seconds=0.9),
    ]
    figures: Figures = {"kept": {name: rank.kept_share for name, rank in RANKS.items()}}
    for policy in _POLICIES:
        options = Options(queue=policy, pool=shape)
        group = Group(leaves=_leaves(count, shape.slots, seed), options=options, seed=seed)
        group.run(streams, 20.0)
        answered = {name: _answered_between(group, name, 1.0, 20.0) for name in RANKS}
        whole = sum(answered.values())
        figures[policy] = _rounded({name: rate / whole for name, rate in answered.items()})
        figures[policy]["answered_of_capacity"] = round(whole / capacity, 4)
    return figures


def client_flood(seed: int = 1) -> Figures:
    """One client of a rank floods at 10 times capacity; another uses a third of it.

    Args:
        seed: Seed of arrivals and service times.

    Returns:
        For each queue policy, the p99 in ms and the goodput of the other client.
    """
    count, shape = _POOLS["2x2"]
    capacity = count * shape.slots / (MEDIAN_SECONDS + 2 * NETWORK_SECONDS)
    streams = [
        Arrivals("search", 10 * capacity, "flooding", deadline_seconds=0.2),
        Arrivals("search", 0.33 * capacity, "steady", deadline_seconds=0.2),
    ]
    figures: Figures = {}
    for policy in _POLICIES:
        options = Options(queue=policy, pool=shape)
        group = Group(leaves=_leaves(count, shape.slots, seed), options=options, seed=seed)
        group.run(streams, 20.0)
        results = [
            (seconds, in_time)
            for item, seconds, in_time in group.results
            if item.client == "steady" and item.enqueued_at >= 1.0
        ]
        answered = [seconds for seconds, in_time in results if in_time]
        figures[policy] = _rounded(
            {
                "steady_p99_ms": 1000 * quantile(answered, 0.99),
                "steady_goodput": len(answered) / len(results),
            }
        )
    return figures


_Fault = Callable[[SimulatedLeaf], None]


def _straggling(leaf: SimulatedLeaf) -> None:
    draw = leaf.draw
    leaf.draw = lambda now: draw(now) * 10.0


def _stuck(leaf: SimulatedLeaf) -> None:
    leaf.stuck = lambda now: now >= 5.0


def _failing(leaf: SimulatedLeaf) -> None:
    leaf.fails = lambda now: now >= 5.0


def _cold(leaf: SimulatedLeaf) -> None:
    draw = leaf.draw
    served = itertools.count()
    leaf.draw = lambda now: draw(now) * max(1.0, 5.0 * 0.97 ** next(served))


def _back(leaf: SimulatedLeaf) -> None:
    leaf.stuck = lambda now: 5.0 <= now < 15.0


_FAULTS: dict[str, _Fault] = {
    "straggler": _straggling,
    "stuck_reports_idle": _stuck,
    "fails_fast": _failing,
    "cold_start": _cold,
    "just_back": _back,
}


def replica_cases(
    seed: int = 1,
    *,
    hedging: bool = False,
    seconds: float = 30.0,
    faults: Iterable[str] = tuple(_FAULTS),
) -> Figures:
    """One of three leaves has a fault; every leaf reports its load, 1 s late, a faulty one 0.

    Args:
        seed: Seed of arrivals and service times.
        hedging: Whether hedges are sent too.
        seconds: Length of each run.
        faults: Names of the faults.

    Returns:
        For each fault and replica policy the p99 in ms, the share of calls answered in time and
        the share of calls that went to the faulty leaf.
    """
    figures: Figures = {}
    for fault in faults:
        figures[fault] = {}
        for policy in ("least_expected_wait", "round_robin", "trust_report"):
            leaves = _leaves(3, 4, seed)
            _FAULTS[fault](leaves[0])
            options = Options(replicas=policy, hedging=hedging)
            group = Group(leaves=leaves, options=options, seed=seed)
            _schedule_reports(group, idle="leaf-0")
            group.run([Arrivals("search", 400.0, deadline_seconds=0.2)], seconds)
            results = [row for row in group.results if row[0].enqueued_at >= 1.0]
            answered = [seconds for _, seconds, in_time in results if in_time]
            figures[fault][policy] = _rounded(
                {
                    "p99_ms": 1000 * quantile(answered, 0.99),
                    "goodput": len(answered) / len(results),
                    "share_of_faulty": group.sent_by_leaf["leaf-0"]
                    / sum(group.sent_by_leaf.values()),
                }
            )
    return figures


def _deliver_report(group: Group, tracker: LeafTracker, running: int, queued: int) -> None:
    tracker.record_load_report(running, queued, group.clock.now())


def _schedule_reports(group: Group, idle: str) -> None:
    """Reports load every 0.2 s with a lag of 1 s; the leaf `idle` always reports none."""

    def report() -> None:
        now = group.clock.now()
        for tracker in group.trackers:
            leaf = group.leaves[tracker.leaf.id]
            running, queued = leaf.running, len(leaf.waiting)
            if tracker.leaf.id == idle:
                running = queued = 0
            action = functools.partial(_deliver_report, group, tracker, running, queued)
            group.at(now + 1.0, action)
        group.at(now + 0.2, report)

    group.at(0.0, report)


def costs(seed: int = 1) -> Figures:
    """CPU time of single decisions on this machine.

    Args:
        seed: Seed of ranks and clients.

    Returns:
        Microseconds for a push with a pop at two queue lengths with 1,000 clients, for a choice
        among 3 leaves and for a latency sample; and the ratio of the two queue lengths.
    """
    source = random.Random(seed)
    names = list(RANKS)
    figures: Figures = {}
    for length in (100, 10_000):
        queue = make_queue(policy="ranked", ranks=RANKS, max_length=2 * length)
        numbers = itertools.count()

        def push(queue: CallQueue = queue, numbers: Iterator[int] = numbers) -> None:
            client = str(source.randrange(1000))
            rank = source.choice(names)
            queue.push(QueuedCall(str(next(numbers)), rank, client, 1.0, 0.0, math.inf, None))

        for _ in range(length):
            push()

        def both(queue: CallQueue = queue, push: Callable[[], None] = push) -> None:
            push()
            queue.pop(0.0)

        figures[f"push_pop_us_at_{length}"] = _microseconds(both)
    figures["push_pop_ratio"] = figures["push_pop_us_at_10000"] / figures["push_pop_us_at_100"]
    group = Group(leaves=_leaves(3, 4, seed), options=Options(), seed=seed)
    group.run([Arrivals("search", 300.0)], 2.0)
    figures["choose_us"] = _microseconds(lambda: group.chooser.choose(group.trackers, 2.0))
    figures["latency_record_us"] = _microseconds(lambda: group.latency.record(0.01, 2.0))
    figures["latency_quantile_us"] = _microseconds(lambda: group.latency.quantile(0.95))
    return _rounded(figures)


def _microseconds(action: Callable[[], object], times: int = 20_000) -> float:
    start = time.process_time()
    for _ in range(times):
        action()
    return (time.process_time() - start) / times * 1e6


EXPERIMENTS: dict[str, Callable[[int], Figures]] = {
    "stragglers": stragglers,
    "whole_fleet_slow": whole_fleet_slow,
    "whole_fleet_slow_wide": lambda seed: whole_fleet_slow(seed, sigma=0.8),
    "lowest_rank_flood": lowest_rank_flood,
    "lowest_rank_flood_3x4": lambda seed: lowest_rank_flood(seed, pool="3x4"),
    "lowest_rank_flood_wide": lambda seed: lowest_rank_flood(seed, sigma=0.8),
    "highest_rank_flood": highest_rank_flood,
    "client_flood": client_flood,
    "replica_cases": replica_cases,
    "costs": costs,
    "replica_cases_hedged": lambda seed: replica_cases(seed, hedging=True),
}


def main() -> int:
    """Runs the experiments and prints one JSON line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", choices=sorted(EXPERIMENTS), action="append")
    arguments = parser.parse_args()
    for name in arguments.only or EXPERIMENTS:
        figures = EXPERIMENTS[name](arguments.seed)
        print(json.dumps({"experiment": name, "seed": arguments.seed, "figures": figures}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
