"""Simulates the admission and wait policies of the entry process under a fake clock.

Eight entry processes, each with its own admission state, receive Poisson arrivals and send each
admitted query to every one of a few services. A service has a ranked queue and a number of slots
with exponential service times; it reports its queue to all entry processes at an interval. Calls
whose query has ended or whose deadline has passed are dropped when they reach the head of a queue.

Run it with `python -m experiments.admission --seed 1`.
"""

import argparse
import heapq
import json
import math
import random
import time
from collections import OrderedDict, deque
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from filbertreach.decisions import LateShardLatencies, make_wait_policy
from filbertreach.document import Environment, parse_document
from filbertreach.entry._admission import (
    AdmissionController,
    AdmissionRequest,
    Admit,
    Outcome,
    make_admission,
)
from filbertreach.entry._snapshots import SnapshotChooser
from filbertreach.schema import ServiceLoad
from filbertreach.timing import FakeClock

ENTRIES = 8
SERVICES = 8
SLOTS = 4
SERVICE_SECONDS = 0.005
CAPACITY = SLOTS / SERVICE_SECONDS
"""Queries a second; each query needs one call at every service."""
CAPACITY_LIMIT = 5
"""Static limit that fits this capacity: 40 queries in eight entry processes wait 50 ms."""
HOP_SECONDS = 0.001
REPORT_SECONDS = 0.1
WINDOW_SECONDS = 0.1
"""Length of the windows in which latency is judged after a flood."""
STATIC_LIMIT = 2000
"""Default of the setting max_queries."""
POLICIES = {
    "queue_estimate": ("queue_estimate", STATIC_LIMIT),
    "static_limit": ("static_limit", STATIC_LIMIT),
    "static_limit set by hand": ("static_limit", CAPACITY_LIMIT),
    "none": ("none", STATIC_LIMIT),
}
"""Admission policy and maximum number of queries in progress, by name in the results."""


class QueryStream(NamedTuple):
    """A stream of queries."""

    rank: str
    priority: int
    target_seconds: float
    deadline_seconds: float
    kept_share: float
    client: str
    load: float
    """Arrival rate as a multiple of the capacity."""
    starts: float = 0.0
    ends: float = float("inf")
    weight: float = 1.0


class Scenario(NamedTuple):
    """Parameters of one simulation."""

    kinds: Sequence[QueryStream]
    policy: str
    seconds: float
    seed: int
    queue: str = "kept"
    report_seconds: float = REPORT_SECONDS
    lost_reports: float = 0.0
    """Share of reports that do not arrive."""
    max_queries: int = STATIC_LIMIT
    slots: int = SLOTS
    """Slots of each service."""
    services_per_query: int = SERVICES
    """Services that a query needs; which ones is drawn for each query if not all."""
    states_queue_time: bool = True
    """Whether answers state their time in the queue."""


class Query:
    """A query in progress."""

    __slots__ = (
        "admitted",
        "arrived",
        "deadline",
        "done",
        "entry",
        "kind",
        "pending",
        "queue_seconds",
    )

    def __init__(self, kind: QueryStream, entry: int, admitted: Admit, now: float) -> None:
        self.kind = kind
        self.entry = entry
        self.admitted = admitted
        self.arrived = now
        self.deadline = now + kind.deadline_seconds
        self.pending = len(admitted.query.services)
        self.done = False
        self.queue_seconds = 0.0


class QueryResult(NamedTuple):
    """The end of one offered query."""

    kind: QueryStream
    arrived: float
    latency: float
    outcome: str


class _RankQueue:
    """Waiting calls of one rank, round robin over clients."""

    def __init__(self, kind: QueryStream) -> None:
        self.rate = 0.0
        self.rate_at = 0.0
        self.priority = kind.priority
        self.kept_share = kind.kept_share
        self.credit = 0.0
        self.size = 0
        self.by_client: OrderedDict[str, deque[Query]] = OrderedDict()

    def rate_now(self, now: float) -> float:
        return self.rate * math.exp(-(now - self.rate_at) / _RATE_SECONDS)

    def push(self, query: Query) -> None:
        self.by_client.setdefault(query.kind.client, deque()).append(query)
        self.size += 1

    def pop(self) -> Query:
        client, waiting = next(iter(self.by_client.items()))
        query = waiting.popleft()
        self.size -= 1
        if waiting:
            self.by_client.move_to_end(client)
        else:
            del self.by_client[client]
        return query


_RATE_SECONDS = 0.2
"""Averaging time of the rates at which ranks leave a queue."""


class Service:
    """A queue with slots behind it; models a dispatch process and its leaves."""

    def __init__(self, name: str, queue: str, slots: int) -> None:
        self.name = name
        self.free = slots
        self._capacity = slots / SERVICE_SECONDS
        self._kind = queue
        self._ranks: dict[str, _RankQueue] = {}
        self._fifo: deque[Query] = deque()

    def push(self, query: Query) -> None:
        """Adds a call."""
        if self._kind == "fifo":
            self._fifo.append(query)
            return
        kind = query.kind
        if kind.rank not in self._ranks:
            self._ranks[kind.rank] = _RankQueue(kind)
        self._ranks[kind.rank].push(query)

    def pop(self, now: float) -> Query | None:
        """Takes the next call whose query has not ended and whose deadline has not passed."""
        while (query := self._next()) is not None:
            if not query.done and now < query.deadline:
                self._update_rate(query, now)
                return query
        return None

    def _update_rate(self, query: Query, now: float) -> None:
        rank = self._ranks.get(query.kind.rank)
        if rank is not None:
            rank.rate = rank.rate_now(now) + 1.0 / _RATE_SECONDS
            rank.rate_at = now

    def _wait(self, kind: QueryStream, now: float) -> float:
        own = self._ranks.get(kind.rank)
        if self._kind == "fifo":
            return len(self._fifo) / self._capacity
        if own is None:
            return 0.0
        ahead = sum(rank.size for rank in self._ranks.values() if rank.priority <= own.priority)
        # Future arrivals of more urgent ranks are visible only in the service rate of this rank.
        kept = own.kept_share if self._kind == "kept" else 0.0
        own_rate = max(own.rate_now(now), kept * self._capacity, 0.01 * self._capacity)
        return (
            max(ahead / self._capacity, own.size / own_rate) if own.size else ahead / self._capacity
        )

    def _next(self) -> Query | None:
        if self._kind == "fifo":
            return self._fifo.popleft() if self._fifo else None
        waiting = [rank for rank in self._ranks.values() if rank.size]
        if not waiting:
            return None
        if self._kind == "kept":
            for rank in waiting:
                rank.credit = min(rank.credit + rank.kept_share, 2.0)
        entitled = [rank for rank in waiting if rank.credit >= 1.0]
        chosen = min(entitled or waiting, key=lambda rank: rank.priority)
        chosen.credit = max(chosen.credit - 1.0, 0.0)
        return chosen.pop()

    def report(self, kinds: Sequence[QueryStream], now: float) -> ServiceLoad:
        """Estimates the wait of a new call of each rank."""
        queue_ms: dict[str, float] = {}
        for kind in kinds:
            queue_ms[kind.rank] = 1000.0 * self._wait(kind, now)
        return ServiceLoad(
            environment="trial",
            service=self.name,
            queue_ms_by_rank=queue_ms,
            throughput_per_s=self._capacity,
            versions=[],
        )


class Simulation:
    """Event loop over the entry processes and services of one scenario."""

    def __init__(self, run: Scenario) -> None:
        self._run = run
        # Arrivals use separate random streams, so that every policy receives the same arrivals.
        self._random = random.Random(run.seed)
        self._arrivals = {
            kind: random.Random(f"{run.seed} {kind.rank} {kind.client}") for kind in run.kinds
        }
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._sequence = 0
        self._now = 0.0
        self._services = [
            Service(f"service-{index}", run.queue, run.slots) for index in range(SERVICES)
        ]
        clock = FakeClock()
        self._entries: list[AdmissionController] = [
            make_admission(policy=run.policy, max_queries=run.max_queries, clock=clock)
            for _ in range(ENTRIES)
        ]
        self.ended: list[QueryResult] = []

    def run(self) -> list[QueryResult]:
        """Runs to the end and returns every offered query that ended."""
        for kind in self._run.kinds:
            self._next_arrival(kind, kind.starts)
        if self._run.report_seconds:
            for index, service in enumerate(self._services):
                self._at(self._run.report_seconds * index / SERVICES, self._report, service)
        while self._events:
            at, _, action, arguments = heapq.heappop(self._events)
            if at > self._run.seconds:
                break
            self._now = at
            action(*arguments)
        return self.ended

    def _at(self, when: float, action: Callable[..., None], *arguments: object) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (when, self._sequence, action, arguments))

    def _next_arrival(self, kind: QueryStream, after: float) -> None:
        if kind.load <= 0:
            return
        when = after + self._arrivals[kind].expovariate(kind.load * CAPACITY)
        if when < kind.ends:
            self._at(when, self._arrive, kind)

    def _arrive(self, kind: QueryStream) -> None:
        self._next_arrival(kind, self._now)
        entry = self._arrivals[kind].randrange(ENTRIES)
        chosen = self._services
        if self._run.services_per_query < SERVICES:
            indices = sorted(
                self._arrivals[kind].sample(range(SERVICES), self._run.services_per_query)
            )
            chosen = [self._services[index] for index in indices]
        request = AdmissionRequest(
            "trial",
            kind.rank,
            kind.priority,
            kind.client,
            kind.weight,
            tuple(service.name for service in chosen),
            kind.deadline_seconds,
            kind.target_seconds,
            kind.kept_share,
        )
        decision = self._entries[entry].decide(request, self._now)
        if not isinstance(decision, Admit):
            self.ended.append(QueryResult(kind, self._now, 0.0, decision.reason))
            return
        query = Query(kind, entry, decision, self._now)
        self._at(query.deadline, self._finish, query, "late")
        for service in chosen:
            self._at(self._now + HOP_SECONDS, self._enqueue, service, query)

    def _enqueue(self, service: Service, query: Query) -> None:
        service.push(query)
        self._start_calls(service)

    def _start_calls(self, service: Service) -> None:
        while service.free and (query := service.pop(self._now)) is not None:
            service.free -= 1
            waited = self._now - query.arrived - HOP_SECONDS
            query.queue_seconds = max(query.queue_seconds, waited)
            seconds = self._random.expovariate(1.0 / SERVICE_SECONDS)
            self._at(self._now + seconds, self._call_done, service, query)

    def _call_done(self, service: Service, query: Query) -> None:
        service.free += 1
        query.pending -= 1
        if query.pending == 0:
            self._at(self._now + HOP_SECONDS, self._finish, query, "answered")
        self._start_calls(service)

    def _finish(self, query: Query, outcome: Outcome) -> None:
        if query.done:
            return
        query.done = True
        latency = self._now - query.arrived
        self._entries[query.entry].on_finished(
            query.admitted,
            latency,
            outcome,
            self._now,
            query.queue_seconds if self._run.states_queue_time else None,
        )
        self.ended.append(QueryResult(query.kind, query.arrived, latency, outcome))

    def _report(self, service: Service) -> None:
        load = service.report(self._run.kinds, self._now)
        for entry in self._entries:
            if self._random.random() >= self._run.lost_reports:
                self._at(self._now + HOP_SECONDS, self._deliver, entry, load)
        self._at(self._now + self._run.report_seconds, self._report, service)

    def _deliver(self, entry: AdmissionController, load: ServiceLoad) -> None:
        entry.on_load(load, self._now)


BOOKING = QueryStream("booking", 0, 0.090, 0.25, 0.5, "hotel", 0.3)
QUOTE = QueryStream("quote", 1, 0.300, 0.60, 0.2, "fitter", 0.2)
INVOICE = QueryStream("invoice", 2, 2.0, 4.0, 0.1, "accounts", 0.2)


def quantile(values: Sequence[float], share: float) -> float:
    """Returns the value below which `share` of the values are; 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def figures(
    ended: Sequence[QueryResult], kind: QueryStream, since: float, until: float
) -> dict[str, float]:
    """Figures of the queries of one kind that arrived in a span of time."""
    own = [end for end in ended if end.kind == kind and since <= end.arrived < until]
    answered = [end.latency for end in own if end.outcome == "answered"]
    in_target = sum(latency <= kind.target_seconds for latency in answered)
    return {
        "offered_per_s": round(len(own) / (until - since), 1),
        "goodput_of_capacity": round(len(answered) / (until - since) / CAPACITY, 4),
        "in_target_of_capacity": round(in_target / (until - since) / CAPACITY, 4),
        "answered_share": round(len(answered) / len(own), 4) if own else 0.0,
        "late": sum(end.outcome == "late" for end in own),
        "p50_ms": round(1000 * quantile(answered, 0.5), 1),
        "p99_ms": round(1000 * quantile(answered, 0.99), 1),
    }


def goodput_by_load(seed: int, **options: Any) -> dict[str, Any]:
    """Goodput of one rank at 0.9 to 10 times capacity, also as a share of the policy's peak."""
    result: dict[str, Any] = {}
    for name, (policy, max_queries) in POLICIES.items():
        by_load = {}
        for load in (0.9, 1, 2, 5, 10):
            kind = BOOKING._replace(load=load)
            run = Scenario([kind], policy, 6.0, seed, max_queries=max_queries, **options)
            by_load[str(load)] = figures(Simulation(run).run(), kind, 1.0, 5.5)
        peak = max(item["goodput_of_capacity"] for item in by_load.values())
        at_10 = by_load["10"]["goodput_of_capacity"]
        result[name] = by_load | {"at_10_of_peak": round(at_10 / max(peak, 1e-9), 4)}
    return result


def capacity_lost(seed: int) -> dict[str, Any]:
    """Goodput after three of four slots of every service are lost; loads are of the full size."""
    return goodput_by_load(seed, slots=1)


def subsets(seed: int) -> dict[str, Any]:
    """Goodput if each query needs two of the eight services, drawn at random.

    The capacity for such queries is four times that for queries that need every service: a load of
    10 is 2.5 times that capacity.
    """
    return goodput_by_load(seed, services_per_query=2)


def _mixed(run: Scenario, *, since: float, until: float) -> dict[str, Any]:
    ended = Simulation(run).run()
    return {f"{kind.rank}/{kind.client}": figures(ended, kind, since, until) for kind in run.kinds}


def _flood(flooding: QueryStream, calm: Sequence[QueryStream], seed: int) -> dict[str, Any]:
    """Runs the calm ranks alone and then beside a flood, for policies and queues."""
    seconds, since, until = 12.0, 2.0, 7.5
    idle = Scenario([*calm], "queue_estimate", seconds, seed)
    result: dict[str, Any] = {"unloaded": _mixed(idle, since=since, until=until)}
    for name, policy, queue in (
        ("queue_estimate", "queue_estimate", "kept"),
        ("queue_estimate over strict priority", "queue_estimate", "strict"),
        ("queue_estimate over FIFO", "queue_estimate", "fifo"),
        ("none over kept shares", "none", "kept"),
        ("none over strict priority", "none", "strict"),
        ("none over FIFO", "none", "fifo"),
    ):
        run = Scenario([*calm, flooding], policy, seconds, seed, queue=queue)
        result[name] = _mixed(run, since=since, until=until)
    return result


def flood_of_lowest(seed: int) -> dict[str, Any]:
    """Figures of three ranks while the lowest floods at 10 times capacity."""
    return _flood(INVOICE._replace(load=10, ends=8.0), [BOOKING, QUOTE], seed)


def flood_of_highest(seed: int) -> dict[str, Any]:
    """Figures of three ranks while the highest floods at 10 times capacity.

    The other ranks offer more than their kept shares, so that the share kept can be read from
    their goodput.
    """
    calm = [QUOTE._replace(load=0.4), INVOICE._replace(load=0.4)]
    return _flood(BOOKING._replace(load=10, ends=8.0), calm, seed)


def flood_of_one_client(seed: int) -> dict[str, Any]:
    """Figures of four clients of one rank while one of them floods at 10 times capacity."""
    calm = [
        BOOKING._replace(client=f"hotel-{index}", load=load)
        for index, load in enumerate((0.05, 0.1, 0.2))
    ]
    return _flood(BOOKING._replace(client="flood", load=10, ends=8.0), calm, seed)


def recovery(seed: int) -> dict[str, Any]:
    """Seconds after a flood at 10 times capacity until latency and refusals are back to normal.

    Normal is: in a window of 0.1 s all queries are answered, with a median at most 1.25 times that
    before the flood, and it stays so on average over the second that follows.
    """
    flood_ends = 8.0
    calm = BOOKING._replace(load=0.6)
    flood = BOOKING._replace(client="flood", load=10, starts=4.0, ends=flood_ends)
    result: dict[str, Any] = {}
    for name, (policy, max_queries) in POLICIES.items():
        for queue in ("kept", "fifo"):
            run = Scenario([calm, flood], policy, 16.0, seed, queue=queue, max_queries=max_queries)
            result[f"{name}, {queue} queue"] = _recovery(Simulation(run).run(), calm, flood_ends)
    return result


def _recovery(ended: Sequence[QueryResult], calm: QueryStream, flood_ends: float) -> dict[str, Any]:
    own = [end for end in ended if end.kind == calm]
    before = [end.latency for end in own if 1 <= end.arrived < 4 and end.outcome == "answered"]
    flooded = [end for end in own if 4 <= end.arrived < flood_ends]
    normal = 1.25 * quantile(before, 0.5)
    return {
        "p50_before_ms": round(1000 * quantile(before, 0.5), 1),
        "answered_share_in_flood": round(
            sum(end.outcome == "answered" for end in flooded) / max(len(flooded), 1), 4
        ),
        "late_share_in_first_second": round(
            sum(end.outcome == "late" for end in flooded if end.arrived < 5)
            / max(sum(end.arrived < 5 for end in flooded), 1),
            4,
        ),
        "seconds_to_normal": _seconds_to_normal(own, normal, flood_ends, 15.0),
    }


def _seconds_to_normal(
    ended: Sequence[QueryResult], normal: float, start: float, end: float
) -> float | None:
    for step in range(int((end - start) / WINDOW_SECONDS)):
        since = start + step * WINDOW_SECONDS
        window = [item for item in ended if since <= item.arrived < since + WINDOW_SECONDS]
        second = [item for item in ended if since <= item.arrived < since + 1.0]
        if all(_is_normal(part, normal) for part in (window, second)):
            return round(since + WINDOW_SECONDS - start, 1)
    return None


def _is_normal(ended: Sequence[QueryResult], normal: float) -> bool:
    answered = [item.latency for item in ended if item.outcome == "answered"]
    return len(answered) >= 0.99 * len(ended) and quantile(answered, 0.5) <= normal


def feedback(seed: int) -> dict[str, Any]:
    """Goodput of the chosen policy at 10 times capacity with worse feedback."""
    cases: dict[str, dict[str, Any]] = {
        "reports each 0.1 s": {},
        "reports each 0.5 s": {"report_seconds": 0.5},
        "half of the reports lost": {"lost_reports": 0.5},
        "no reports": {"report_seconds": 0.0},
        "no reports and no queue times": {"report_seconds": 0.0, "states_queue_time": False},
    }
    result: dict[str, Any] = {}
    for name, options in cases.items():
        by_load = {}
        for load in (0.6, 0.9, 10):
            kind = BOOKING._replace(load=load)
            run = Scenario([kind], "queue_estimate", 8.0, seed, **options)
            by_load[str(load)] = figures(Simulation(run).run(), kind, 2.0, 7.5)
        result[name] = by_load
    return result


def waiting(seed: int, *, queries: int = 3000, shards: int = 100) -> dict[str, Any]:
    """Coverage and latency of the wait policies.

    One shard in 100 takes 10 times the median. The median is 15 ms, or 45 ms with the whole fleet
    slow; the target is 90 ms, the deadline 500 ms.
    """
    return {
        f"{kind}, {name}": _waits(kind, median, seed, queries, shards)
        for name, median in (("1% stragglers", 0.015), ("1% stragglers, slow fleet", 0.045))
        for kind in ("deadline", "complete")
    }


def _waits(kind: str, median: float, seed: int, queries: int, shards: int) -> dict[str, float]:
    randomness = random.Random(seed)
    latency = LateShardLatencies()
    waits: list[float] = []
    coverage: list[float] = []
    for index in range(queries):
        took, included = _wait_once(kind, median, randomness, latency, shards, float(index))
        waits.append(took)
        coverage.append(included / shards)
    return {
        "p50_ms": round(1000 * quantile(waits, 0.5), 1),
        "p99_ms": round(1000 * quantile(waits, 0.99), 1),
        "mean_coverage": round(sum(coverage) / queries, 5),
        "p1_coverage": round(quantile(coverage, 0.01), 4),
        "complete_share": round(sum(share == 1.0 for share in coverage) / queries, 4),
    }


def _wait_once(
    kind: str,
    median: float,
    randomness: random.Random,
    latency: LateShardLatencies,
    shards: int,
    started: float,
) -> tuple[float, int]:
    """Runs one query; returns its latency in seconds and the number of included shards."""
    target, deadline = 0.090, 0.5
    policy = make_wait_policy(
        kind=kind,
        shards_total=shards,
        started=started,
        target_seconds=target,
        deadline=started + deadline,
        least_coverage=0.9,
        latency=latency,
    )
    answers = sorted(
        started
        + median * randomness.lognormvariate(0, 0.2) * (10 if randomness.random() < 0.01 else 1)
        for _ in range(shards)
    )
    now, included = started, 0
    while not policy.stop_waiting(now):
        check = policy.next_check(now)
        assert check is not None
        if included < shards and answers[included] <= check:
            now = answers[included]
            included += 1
            policy.on_answer(now)
        else:
            now = check
    return now - started, included


def snapshot_roll(seed: int, *, services: int = 50, seconds: float = 60.0) -> dict[str, Any]:
    """Choices while a new version becomes serving before every service has it.

    Each service loads the new version at a random time in 20 s, and half of them are reported by
    two owners of which one lags by 2 s. Compared with taking the newest serving snapshot, and with
    a chooser without the hold.
    """
    randomness = random.Random(seed)
    loaded = [randomness.uniform(5.0, 25.0) for _ in range(services)]
    document = _snapshot_document(services)
    return {
        "newest that services have": _roll(SnapshotChooser(), document, loaded, seconds),
        "without the hold": _roll(SnapshotChooser(hold_seconds=0.0), document, loaded, seconds),
        "newest serving": _roll(
            SnapshotChooser(hold_seconds=0.0, max_age_seconds=-1.0), document, loaded, seconds
        ),
    }


def _snapshot_document(services: int) -> Environment:
    names = [f"service-{index}" for index in range(services)]
    parts = ["[environment]\nname = trial\n[pool p]\nslots = 1\nconnections = 2\n"]
    for index, name in enumerate(names):
        parts.append(f"[service {name}]\npool = p\nleaves = l{index} 127.0.0.1:9 a/a-1\n")
    lines = "".join(f"    {name} {name}\n" for name in names)
    parts.append(f"[map one]\nshards =\n{lines}")
    parts += [f"[snapshot {version}]\nmap = one\nstate = serving\n" for version in (41, 42)]
    return parse_document(text="".join(parts)).unwrap()


def _roll(
    chooser: SnapshotChooser, document: Environment, loaded: Sequence[float], seconds: float
) -> dict[str, float]:
    names = list(document.services_by_name)
    changes, lacking, before = 0, 0.0, 41
    steps = int(seconds / REPORT_SECONDS)
    for step in range(steps):
        now = step * REPORT_SECONDS
        for index, name in enumerate(names):
            lag = 2.0 if index % 2 and step % 2 else 0.0
            has = now >= loaded[index] + lag
            chooser.on_load(
                ServiceLoad(
                    environment="trial",
                    service=name,
                    queue_ms_by_rank={},
                    throughput_per_s=1.0,
                    versions=[41, 42] if has else [41],
                ),
                now,
            )
        chosen = chooser.choose(environment=document, services_of=lambda _: names, now=now)
        assert chosen is not None
        changes += chosen.version != before
        before = chosen.version
        if chosen.version == 42:
            lacking += sum(now < at for at in loaded) / len(loaded)
    return {"changes": changes, "mean_share_lacking": round(lacking / steps, 4)}


def decision_cost(seed: int, *, queries: int = 2000) -> dict[str, Any]:
    """CPU time of a decision in microseconds, by the number of services that a query needs.

    `seed` is not used; these are the only figures that depend on the machine.
    """
    result: dict[str, Any] = {}
    for services_per_query in (1, 100, 580):
        services = tuple(f"service-{index}" for index in range(services_per_query))
        request = AdmissionRequest("trial", "booking", 0, "hotel", 1.0, services, 1.0, 0.09, 0.2)
        admission = make_admission(
            policy="queue_estimate", max_queries=STATIC_LIMIT, clock=FakeClock()
        )
        started = time.process_time()
        for index in range(queries):
            admitted = admission.decide(request, index * 0.004)
            assert isinstance(admitted, Admit)
            admission.on_finished(admitted, 0.01, "answered", index * 0.004, 0.001)
        admit = time.process_time() - started
        now = queries * 0.004
        while isinstance(admission.decide(request, now), Admit):
            pass
        started = time.process_time()
        for index in range(queries):
            admission.decide(request, now + index * 0.0001)
        refuse = time.process_time() - started
        result[str(services_per_query)] = {
            "admit_and_finish_us": round(1e6 * admit / queries, 1),
            "refuse_us": round(1e6 * refuse / queries, 1),
        }
    return result


EXPERIMENTS: dict[str, Callable[[int], dict[str, Any]]] = {
    "goodput_by_load": goodput_by_load,
    "capacity_lost": capacity_lost,
    "subsets": subsets,
    "flood_of_lowest": flood_of_lowest,
    "flood_of_highest": flood_of_highest,
    "flood_of_one_client": flood_of_one_client,
    "recovery": recovery,
    "feedback": feedback,
    "waiting": waiting,
    "snapshot_roll": snapshot_roll,
    "decision_cost": decision_cost,
}


def main() -> None:
    """Prints the figures of the named experiments, or of all, as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("names", nargs="*", help=", ".join(EXPERIMENTS))
    options = parser.parse_args()
    names = options.names or list(EXPERIMENTS)
    print(json.dumps({name: EXPERIMENTS[name](options.seed) for name in names}, indent=1))


if __name__ == "__main__":
    main()
