"""Runs the gateway's choice of leaves for many hosts under a fake clock, without a network.

Each host has the pools and calls of the gateway; leaves with slots, queues, pauses and load reports
take the place of the backend servers. Every pattern is run with the constant penalties and with the
spill-over policies, with the same seed. Run with
`python -m experiments.spill_over [--seed N] [--only PATTERN] [--policies NAME,...]`.

Not simulated: the opening of connections, request limits, admission, the retries of callers.
"""

import argparse
import functools
import heapq
import itertools
import json
import math
import random
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from filbertreach.decisions import CrossingCosts, DataCentreStatistics, make_spill_policy
from filbertreach.document import Leaf, Route
from filbertreach.gateway._exchange import Exchange, FaultKind, LeafFault
from filbertreach.gateway._leaf_connection import LeafConnection
from filbertreach.gateway._leaf_handle import LeafHandle, Location
from filbertreach.gateway._request_turns import TurnSchedule
from filbertreach.gateway._retry_budget import RetryBudgetSettings
from filbertreach.gateway._route_latencies import RouteLatencies
from filbertreach.gateway._service_call import CallContext, CallState, ServiceCall
from filbertreach.gateway._service_pool import ServicePool
from filbertreach.platform import LeafAnswer, LeafEntry, LeafLoad, read_request_head
from filbertreach.timing import FakeClock

Figures = dict[str, Any]

CONSTANT = "constant"
"""No spill-over policy: near leaves are preferred by constant penalties."""
POLICIES = (CONSTANT, "marginal_cost", "threshold", "equal_wait")
DATA_CENTRES = ("a-1", "a-2", "b-1", "b-2", "c-1", "c-2")
"""Two in each of three regions; the region is the first letter."""
ONE_IN_EACH_REGION = ("a-1", "b-1", "c-1")
ONE_WAY_SECONDS = {"near": 0.00025, "data_centre": 0.0009, "region": 0.012}
"""One way between a host and a leaf."""
PAUSE_SECONDS = 0.25
PAUSE_INTERVAL_SECONDS = 6.0
REFUSAL_QUEUE_FACTOR = 8
"""A leaf refuses a request while this many for each slot wait."""
WORK_SIGMA = 0.25
"""Standard deviation of the logarithm of the work."""
UNLIST_SECONDS = 3.0
"""Time after which the entry of a leaf that is gone has expired."""
START = 100.0

_REQUEST = read_request_head(method="GET", target=b"/", headers=[(b"x-request-id", b"1")], body=b"")


class Class(NamedTuple):
    """Queries of one route."""

    name: str
    """Route name."""
    priority: int
    """0 is the most urgent."""
    work_seconds: float
    """Median work of a call at a leaf of usual speed."""
    objective_seconds: float
    """Latency objective."""
    timeout_seconds: float
    """Deadline."""
    coverage: float
    """Smallest part of the shards that an answer must include."""
    home_regions: frozenset[str] | None = None
    """Regions that may serve it; None for all."""


RANK_0 = Class("urgent", 0, 0.02, 0.113, 1.2, 0.85)
RANK_1 = Class("middle", 1, 0.03, 0.335, 2.0, 0.95)
SINGLE = Class("single", 2, 0.24, 1.06, 8.0, 1.0)

Demand = Callable[[str, str, float], float]
"""Queries per second by class name and data centre, at a time since the start."""


class Pattern(NamedTuple):
    """Leaves, hosts and demand of one run."""

    classes: tuple[Class, ...]
    """Classes of queries."""
    demand: Demand
    """Demand of each class."""
    seconds: float
    """Length of the run."""
    hosts: int = 68
    """Hosts, spread evenly over the data centres."""
    shards: int = 3
    """Services, each of which gets a call of every query."""
    leaves: tuple[str, ...] = ONE_IN_EACH_REGION
    """Data centre of each leaf of a service."""
    slots: int = 2
    """Slots of each leaf."""
    slowdown_by_data_centre: dict[str, float] = {}
    """Duration of work on the leaves there, as a multiple of the usual one."""
    reports_slowdown: bool = True
    """Whether load reports have the fourth figure."""
    evacuated: tuple[str, float, float] | None = None
    """Data centre that is evacuated, with begin and end."""
    gone: tuple[str, float, float] | None = None
    """Data centre whose leaves are gone, with begin and end."""
    costs: CrossingCosts = CrossingCosts(0.0, 0.0)
    """Prices of a crossing."""
    receivers: tuple[str, float, float] | None = None
    """Regions that get calls of others, with the begin and end of that time."""


class CallRecord(NamedTuple):
    """A call that was sent."""

    at: float
    """Time since the start, in seconds."""
    origin: str
    """Data centre of the host."""
    place: str
    """Data centre of the leaf."""
    leaf: str
    """Id of the leaf."""
    extra: bool
    """Whether it is a hedge or a retry."""


class QueryRecord(NamedTuple):
    """A query that has ended."""

    at: float
    """Time of arrival since the start, in seconds."""
    origin: str
    """Data centre of the host."""
    name: str
    """Class."""
    seconds: float
    """Time until the required coverage; infinite without it."""
    in_time: bool
    """Whether that was within the objective."""


class _Link:
    """Takes the place of a connection to a leaf."""

    def __init__(self, run: "Run", exchange: Exchange) -> None:
        self._run = run
        self._exchange = exchange

    def abandon(self, *, linger_seconds: float) -> None:
        self._exchange.abandoned = True
        fault = LeafFault(FaultKind.SILENT, True)
        self._run.later(linger_seconds, functools.partial(self._exchange.complete, fault))


class _Pool(ServicePool):
    """A pool whose requests go to simulated leaves."""

    run: "Run"
    origin: str

    def send(
        self, handle: LeafHandle, exchange: Exchange, *, service_class: str = ""
    ) -> LeafConnection:
        handle.tracker.record_start(exchange.started_at)
        self.run.send(self.origin, handle, exchange)
        return _Link(self.run, exchange)  # type: ignore[return-value]


class _Leaf:
    """A leaf with slots, a queue, pauses and load reports."""

    def __init__(self, run: "Run", place: str, slots: int, slowdown: float) -> None:
        self.place = place
        self.gone = False
        self._run = run
        self._slots = slots
        self._slowdown = slowdown
        self._pause_phase = run.rng.uniform(0.0, PAUSE_INTERVAL_SECONDS)
        self._running = 0
        self._queue: list[tuple[Exchange, float, float]] = []

    def receive(self, exchange: Exchange, work: float, delay: float) -> None:
        if self.gone:
            self._run.later(
                delay,
                functools.partial(exchange.complete, LeafFault(FaultKind.UNREACHABLE, False)),
            )
            return
        exchange.sent = True
        if len(self._queue) >= REFUSAL_QUEUE_FACTOR * self._slots:
            self._answer(exchange, 503, delay)
            return
        self._queue.append((exchange, work, delay))
        self._start_queued()

    def _start_queued(self) -> None:
        while self._queue and self._running < self._slots:
            exchange, work, delay = self._queue.pop(0)
            if exchange.is_complete:
                continue
            self._running += 1
            seconds = self._seconds_with_pauses(work * self._slowdown)
            self._run.later(seconds, functools.partial(self._finish, exchange, delay))

    def _seconds_with_pauses(self, work: float) -> float:
        begin = (self._run.clock.now() + self._pause_phase) % PAUSE_INTERVAL_SECONDS
        if begin < PAUSE_SECONDS:
            return PAUSE_SECONDS - begin + work
        return work + (PAUSE_SECONDS if begin + work > PAUSE_INTERVAL_SECONDS else 0.0)

    def _finish(self, exchange: Exchange, delay: float) -> None:
        self._running -= 1
        self._start_queued()
        self._answer(exchange, 200, delay)

    def _answer(self, exchange: Exchange, status: int, delay: float) -> None:
        slowdown = self._slowdown if self._run.pattern.reports_slowdown else 1.0
        load = LeafLoad(self._running, len(self._queue), self._slots, slowdown)
        signature = b"s" if status == 200 else b""
        answer = LeafAnswer("1", status, (), b"", signature, status != 200, False, load, None)
        self._run.later(delay, functools.partial(exchange.complete, answer))


class _Host:
    """Routing state of one host."""

    def __init__(self, run: "Run", place: str, policy: str) -> None:
        pattern = run.pattern
        self.place = place
        self.evacuated: set[str] = set()
        self.latencies_by_class = {c.name: RouteLatencies() for c in pattern.classes}
        budget = RetryBudgetSettings()
        budget.ratio, budget.slack, budget.window_seconds = 0.1, 1.0, 10.0
        statistics = DataCentreStatistics()
        self.pools: list[_Pool] = []
        for shard in range(pattern.shards):
            spill_over = None
            if policy != CONSTANT:
                spill_over = make_spill_policy(
                    name=policy, costs=pattern.costs, statistics=statistics, draw=run.draws.random
                )
            pool = _Pool(
                service=f"s{shard}",
                location=Location(place[0], place),
                budget=budget,
                drain_seconds=5.0,
                schedule=TurnSchedule(),
                clock=run.clock,
                spawn=lambda _run, _name: None,
                evacuated=self.evacuated,
                spill_over=spill_over,
            )
            pool.run, pool.origin = run, place
            pool.set_host_count(pattern.hosts)
            pool.set_connections(1_000_000)
            self.pools.append(pool)


class Run:
    """One run of a pattern with one policy."""

    def __init__(self, pattern: Pattern, *, policy: str, seed: int) -> None:
        self.pattern = pattern
        self.clock = FakeClock(start=START)
        self.rng = random.Random(seed)
        """Arrivals and work, the same for all policies."""
        self.draws = random.Random(seed + 1)
        """Draws of the policies."""
        self.calls: list[CallRecord] = []
        self.queries: list[QueryRecord] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = itertools.count()
        self._work_rng = random.Random(seed + 2)
        self._leaf_by_id = {
            f"s{shard}-{number}": _Leaf(
                self,
                place,
                pattern.slots,
                pattern.slowdown_by_data_centre.get(place, 1.0),
            )
            for shard in range(pattern.shards)
            for number, place in enumerate(pattern.leaves)
        }
        self.hosts = [
            _Host(self, DATA_CENTRES[number % len(DATA_CENTRES)], policy)
            for number in range(pattern.hosts)
        ]
        for leaf_id in self._leaf_by_id:
            self._list(leaf_id)

    def later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Schedules a callback."""
        at = self.clock.now() + max(0.0, seconds)
        heapq.heappush(self._events, (at, next(self._number), callback))

    def run(self) -> "Run":
        """Runs the pattern to its end."""
        self._schedule_faults()
        for query_class in self.pattern.classes:
            for place in DATA_CENTRES:
                hosts = [host for host in self.hosts if host.place == place]
                if hosts:
                    self._schedule_arrivals(query_class, place, hosts)
        end = START + self.pattern.seconds + 10.0
        while self._events and self._events[0][0] < end:
            at, _, callback = heapq.heappop(self._events)
            self.clock.advance(at - self.clock.now())
            callback()
        return self

    def _schedule_arrivals(self, query_class: Class, place: str, hosts: Sequence[_Host]) -> None:
        """Draws a Poisson stream by thinning one of the largest rate."""
        seconds = self.pattern.seconds
        rate = functools.partial(self.pattern.demand, query_class.name, place)
        largest = max(rate(seconds * step / 200) for step in range(201))
        at = 0.0
        while largest > 0 and (at := at + self.rng.expovariate(largest)) < seconds:
            host = self.rng.choice(hosts)
            if self.rng.random() * largest < rate(at):
                self.later(at, functools.partial(self._start_query, host, query_class))

    def _start_query(self, host: _Host, query_class: Class) -> None:
        _Query(self, host, query_class)

    def _schedule_faults(self) -> None:
        if self.pattern.evacuated is not None:
            place, begin, end = self.pattern.evacuated
            for host in self.hosts:
                # Hosts learn of it within a second.
                self.later(begin + self.rng.random(), functools.partial(host.evacuated.add, place))
                self.later(
                    end + self.rng.random(), functools.partial(host.evacuated.discard, place)
                )
        if self.pattern.gone is not None:
            place, begin, end = self.pattern.gone
            for leaf_id, leaf in self._leaf_by_id.items():
                if leaf.place == place:
                    self.later(begin, functools.partial(setattr, leaf, "gone", True))
                    self.later(begin + UNLIST_SECONDS, functools.partial(self._unlist, leaf_id))
                    self.later(end, functools.partial(setattr, leaf, "gone", False))
                    self.later(end, functools.partial(self._list, leaf_id))

    def _list(self, leaf_id: str) -> None:
        place = self._leaf_by_id[leaf_id].place
        service = leaf_id.partition("-")[0]
        started_at_ms = int(self.clock.now() * 1000)
        leaf = Leaf(leaf_id, "10.0.0.1:1", place[0], place)
        entry = LeafEntry(leaf, service, self.pattern.slots, False, started_at_ms)
        for host in self.hosts:
            host.pools[int(service[1:])].update_leaf(entry, since=self.clock.now())

    def _unlist(self, leaf_id: str) -> None:
        for host in self.hosts:
            pool = host.pools[int(leaf_id.partition("-")[0][1:])]
            pool.unlist_leaf(leaf_id, since=self.clock.now())
            pool.handle_by_id[leaf_id].usable_until = self.clock.now()

    def send(self, origin: str, handle: LeafHandle, exchange: Exchange) -> None:
        """Carries a request to its leaf."""
        leaf = self._leaf_by_id[handle.leaf.id]
        delay = ONE_WAY_SECONDS[handle.candidate.distance]
        call = exchange._on_result.__self__  # type: ignore[attr-defined]
        at = self.clock.now() - START
        extra = len(call.tried_leaf_ids) > 1
        self.calls.append(CallRecord(at, origin, leaf.place, handle.leaf.id, extra))
        self.later(delay, functools.partial(leaf.receive, exchange, call.work, delay))

    def draw_work(self, median: float) -> float:
        """Returns the work of a call."""
        return median * math.exp(WORK_SIGMA * self._work_rng.gauss(0.0, 1.0))


class _Query:
    """A query of a caller: one call for each shard."""

    def __init__(self, run: Run, host: _Host, query_class: Class) -> None:
        now = run.clock.now()
        self._run = run
        self._host = host
        self._class = query_class
        self._arrived_at = now
        self._record_done = False
        self._answered = 0
        self._needed = math.ceil(query_class.coverage * run.pattern.shards)
        route = Route(
            query_class.name,
            "h",
            "/",
            True,
            query_class.timeout_seconds,
            query_class.objective_seconds,
            3,
            query_class.priority,
            {},
            tuple(p.service for p in host.pools) if run.pattern.shards > 1 else (),
            10,
            query_class.coverage,
            False,
            query_class.home_regions,
        )
        self._deadline_at = now + query_class.timeout_seconds - 0.02
        context = CallContext(
            request=_REQUEST,
            route=route,
            deadline_at=self._deadline_at,
            target_at=now + query_class.objective_seconds - 0.016,
            clock=run.clock,
            attempt_latencies=host.latencies_by_class[query_class.name],
            on_change=self._on_change,
        )
        self._calls = [_Call(pool=pool, context=context) for pool in host.pools]
        self._ended: set[ServiceCall] = set()
        for call in self._calls:
            call.work = run.draw_work(query_class.work_seconds)
            call.pool.budget.count_request(now)
            self._advance(call)
        run.later(self._deadline_at - now, self._end)

    def _advance(self, call: ServiceCall) -> None:
        now = self._run.clock.now()
        call.advance(now)
        if call.done:
            self._count(call)
        elif call.next_action_at < math.inf:
            self._run.later(call.next_action_at - now, functools.partial(self._advance_due, call))

    def _advance_due(self, call: ServiceCall) -> None:
        if not call.done and not self._record_done:
            self._advance(call)

    def _on_change(self, call: ServiceCall) -> None:
        # Advanced afterwards, as in the task of a query.
        self._run.later(0.0, functools.partial(self._advance_changed, call))

    def _advance_changed(self, call: ServiceCall) -> None:
        if call.done:
            self._count(call)
        elif not self._record_done:
            self._advance(call)

    def _count(self, call: ServiceCall) -> None:
        if call in self._ended:
            return
        self._ended.add(call)
        self._answered += call.state is CallState.ANSWERED
        if self._answered >= self._needed or len(self._ended) == len(self._calls):
            self._end()

    def _end(self) -> None:
        if self._record_done:
            return
        self._record_done = True
        seconds = self._run.clock.now() - self._arrived_at
        if self._answered < self._needed:
            seconds = math.inf
        self._run.queries.append(
            QueryRecord(
                self._arrived_at - START,
                self._host.place,
                self._class.name,
                seconds,
                seconds <= self._class.objective_seconds - 0.016,
            )
        )
        for call in self._calls:
            call.stop(cancel=False)


class _Call(ServiceCall):
    """A call that carries its simulated work."""

    work = 0.0


SCATTER_CAPACITY = 71.0
"""Queries per second that one leaf of the scatter patterns can serve: 2 slots, 27 ms of work on
average over both classes, 4% of the time in pauses."""
SINGLE_CAPACITY = 23.0
"""The same for a leaf of the single services: 6 slots, 248 ms."""
_URGENT_PART = 0.37
"""Part of the scatter queries that is of rank 0, as in deployment 1."""


def _scatter_demand(load: Callable[[str, float], float]) -> Demand:
    """Returns the demand for a load of each region, in capacities of its leaf."""

    def demand(name: str, place: str, at: float) -> float:
        part = _URGENT_PART if name == RANK_0.name else 1.0 - _URGENT_PART
        return part * load(place[0], at) * SCATTER_CAPACITY / 2

    return demand


def _single_demand(load: Callable[[str, float], float]) -> Demand:
    """Returns the demand for a load of each data centre, in capacities of its leaf."""
    return lambda _name, place, at: load(place, at) * SINGLE_CAPACITY


def _moving_load(region: str, at: float) -> float:
    busy = "a" if 5 <= at < 20 else "b" if 20 <= at < 35 else ""
    return 1.5 if region == busy else 0.3


def _wave_load(region: str, at: float) -> float:
    phase = {"a": 1.0, "b": -1.0}.get(region)
    return 0.3 if phase is None else 0.75 + 0.55 * phase * math.sin(2 * math.pi * at / 10.0)


_SCATTER = (RANK_0, RANK_1)
_MOVING = Pattern(_SCATTER, _scatter_demand(_moving_load), 45.0, receivers=("bc", 6.0, 20.0))
_SINGLE = Pattern(
    (SINGLE,),
    _single_demand(lambda _place, _at: 0.6),
    40.0,
    shards=1,
    leaves=DATA_CENTRES,
    slots=6,
)

PATTERNS_BY_NAME: dict[str, Pattern] = {
    "usual_load": _MOVING._replace(demand=_scatter_demand(lambda _region, _at: 0.3), seconds=30.0),
    "moving_8_hosts": _MOVING._replace(hosts=8),
    "moving_68_hosts": _MOVING,
    "moving_127_hosts": _MOVING._replace(hosts=127),
    "one_region_short": _MOVING._replace(
        demand=_scatter_demand(lambda region, at: 2.2 if region == "a" and at >= 5 else 0.2),
        seconds=25.0,
        receivers=("bc", 6.0, 25.0),
    ),
    "waves": _MOVING._replace(demand=_scatter_demand(_wave_load), seconds=40.0, receivers=None),
    "all_short": _MOVING._replace(
        demand=_scatter_demand(lambda _region, _at: 1.2), seconds=20.0, receivers=None
    ),
    "slow_copy": _MOVING._replace(
        demand=_scatter_demand(lambda _region, _at: 0.7),
        slowdown_by_data_centre={"a-1": 1.3},
        seconds=30.0,
        receivers=None,
    ),
    "slow_copy_unreported": _MOVING._replace(
        demand=_scatter_demand(lambda _region, _at: 0.7),
        slowdown_by_data_centre={"a-1": 1.3},
        reports_slowdown=False,
        seconds=30.0,
        receivers=None,
    ),
    "single_moving": _SINGLE._replace(
        demand=_single_demand(
            lambda place, at: (
                1.6 if (place == "a-1") == (5 <= at < 25) and place in ("a-1", "b-1") else 0.4
            )
        ),
        seconds=45.0,
    ),
    "single_gone": _SINGLE._replace(gone=("a-1", 8.0, 28.0)),
    "single_evacuated": _SINGLE._replace(evacuated=("a-1", 8.0, 28.0)),
}


def quantile(values: Sequence[float], q: float) -> float:
    """Returns the nearest-rank quantile; infinite without values."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(q * len(ordered)) - 1)] if ordered else math.inf


def figures(
    run: Run, *, begin: float = 3.0, end: float = math.inf, regions: str = "abc"
) -> Figures:
    """Returns the figures of a run.

    Args:
        run: The run, ended.
        begin: Time from which queries and calls count, in seconds since the start.
        end: Time until which they count.
        regions: Regions of the hosts that count.
    """
    queries = [q for q in run.queries if begin <= q.at < end and q.origin[0] in regions]
    calls = [c for c in run.calls if begin <= c.at < end and c.origin[0] in regions]
    result: Figures = {}
    for query_class in run.pattern.classes:
        own = [q for q in queries if q.name == query_class.name]
        seconds = [q.seconds for q in own]
        result[query_class.name] = {
            "queries": len(own),
            "median_ms": _ms(quantile(seconds, 0.5)),
            "p99_ms": _ms(quantile(seconds, 0.99)),
            "in_time": round(sum(q.in_time for q in own) / max(1, len(own)), 4),
        }
    other_place = [c for c in calls if c.place != c.origin and c.place[0] == c.origin[0]]
    other_region = [c for c in calls if c.place[0] != c.origin[0]]
    result["between_data_centres"] = round(len(other_place) / max(1, len(calls)), 4)
    result["between_regions"] = round(len(other_region) / max(1, len(calls)), 4)
    result["extra_calls"] = round(sum(c.extra for c in calls) / max(1, len(calls)), 4)
    first = [c for c in calls if not c.extra]
    result["first_between_regions"] = round(
        sum(c.place[0] != c.origin[0] for c in first) / max(1, len(first)), 4
    )
    result["exchanged"] = round(exchanged_part(first), 4)
    result["share_change"] = round(share_change(first), 4)
    return result


def exchanged_part(calls: Sequence[CallRecord]) -> float:
    """Returns the part of the calls that two regions send each other.

    Calls in both directions within the same second count.
    """
    count_by_pair: Counter[tuple[int, str, str]] = Counter(
        (int(c.at), c.origin[0], c.place[0]) for c in calls if c.origin[0] != c.place[0]
    )
    exchanged = sum(
        2 * min(count, count_by_pair[(second, place, origin)])
        for (second, origin, place), count in count_by_pair.items()
        if origin < place
    )
    return exchanged / max(1, len(calls))


def share_change(calls: Sequence[CallRecord]) -> float:
    """Returns the mean change from second to second of the share that a region sends out."""
    changes = []
    for region in "abc":
        own = [c for c in calls if c.origin[0] == region]
        total = Counter(int(c.at) for c in own)
        out = Counter(int(c.at) for c in own if c.place[0] != region)
        shares = [out[second] / total[second] for second in sorted(total)]
        changes += [abs(b - a) for a, b in itertools.pairwise(shares)]
    return sum(changes) / max(1, len(changes))


def _ms(seconds: float) -> float | None:
    return None if seconds == math.inf else round(seconds * 1000, 1)


def main() -> None:
    """Runs patterns with policies and prints one JSON line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", default="", help="pattern; all by default")
    parser.add_argument("--policies", default=",".join(POLICIES))
    parser.add_argument("--region", default="abc", help="regions of the hosts that count")
    arguments = parser.parse_args()
    for name, pattern in PATTERNS_BY_NAME.items():
        if arguments.only not in ("", name):
            continue
        for policy in arguments.policies.split(","):
            run = Run(pattern, policy=policy, seed=arguments.seed).run()
            result = figures(run, regions=arguments.region)
            if pattern.receivers is not None:
                regions, begin, end = pattern.receivers
                result["receivers"] = figures(run, begin=begin, end=end, regions=regions)
            line = {"pattern": name, "policy": policy, "seed": arguments.seed, **result}
            print(json.dumps(line), flush=True)


if __name__ == "__main__":
    main()
