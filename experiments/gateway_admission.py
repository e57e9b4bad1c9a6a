"""Simulates admission in the gateway: floods of one class, seen by hosts that decide independently.

The gateway's queries, calls and pools run in an event loop with virtual time. Only leaves, network
and callers are modelled: a leaf has two slots and a short queue, refuses what exceeds it, and
reports its load. Processor time of the hosts is not modelled.

Run it with `python -m experiments.gateway_admission --hosts 8 --flood interactive --factor 4`.
"""

import argparse
import asyncio
import collections
import json
import random
from collections.abc import Callable
from typing import NamedTuple, cast

from filbertreach.decisions import AdmissionWindow, LateShardLatencies
from filbertreach.document import Leaf, Route
from filbertreach.gateway._exchange import Exchange, FaultKind, LeafFault
from filbertreach.gateway._leaf_connection import LeafConnection
from filbertreach.gateway._leaf_handle import LeafHandle, Location
from filbertreach.gateway._query import Query
from filbertreach.gateway._request_turns import TurnSchedule
from filbertreach.gateway._retry_budget import RetryBudgetSettings
from filbertreach.gateway._route_latencies import RouteLatencies
from filbertreach.gateway._service_pool import ServicePool
from filbertreach.platform import Bounds, CallerRequest, LeafAnswer, LeafEntry, LeafLoad
from filbertreach_standins.virtual_time import VirtualTimeLoop

SHARDS = 10
REGIONS = ("a", "b", "c")
"""Each shard has one leaf in each region; hosts are spread over the regions."""
SLOTS = 2
LEAF_QUEUE = 8
"""Requests that wait at a leaf before it refuses."""
NEAR_SECONDS = 0.0005
FAR_SECONDS = 0.012
CALLER_SECONDS = 0.006
"""Way of a request and its answer between caller and gateway."""
SLOW_FACTOR = 5.0
PAUSE_INTERVAL_SECONDS = 6.0
FLOOD_SECONDS = (4.0, 8.0)
RUN_SECONDS = 12.0
_BOUNDS = Bounds(3.0, 3.0, 6.0, 0.2, 10.0, 160.0)


class CallerClass(NamedTuple):
    """Requests of one rank."""

    name: str
    rank: int
    per_second: float
    """Requests per second of all hosts together outside floods."""
    work_seconds: float
    """Mean work of a leaf."""
    objective_seconds: float
    timeout_seconds: float
    least_coverage: float
    late_value: float
    """Value of an answer after the objective."""
    is_scatter: bool = True


CLASSES = (
    CallerClass("interactive", 0, 30.0, 0.02, 0.133, 2.022, 0.85, 0.07),
    CallerClass("standard", 1, 30.0, 0.04, 0.335, 3.015, 0.95, 0.07),
    CallerClass("batch", 2, 30.0, 0.24, 1.06, 12.044, 1.0, 0.3, is_scatter=False),
)
"""After deployment 2; rates such that a third of the slots is busy outside floods."""


class Scenario(NamedTuple):
    """One run."""

    hosts: int = 8
    flood: str = ""
    """Class that floods; empty for none."""
    factor: float = 1.0
    """Rate of the class in the flood as a multiple of its usual rate."""
    repeats: int = 0
    """Times that callers repeat a refused request at once."""
    slow_share: float = 0.0
    """Share of the leaves that are slow."""
    admission: bool = True
    seed: int = 1
    clocks: tuple[float, float, float] = (*FLOOD_SECONDS, RUN_SECONDS)
    """Begin and end of the flood, end of the run."""


class _ModelLeaf:
    def __init__(self, loop: VirtualTimeLoop, rng: random.Random, factor: float) -> None:
        self.work_by_request: dict[Exchange, float] = {}
        self._loop = loop
        self._factor = factor
        self._pause_at = rng.uniform(0.0, PAUSE_INTERVAL_SECONDS)
        self._queue: collections.deque[tuple[Exchange, float, Callable[..., None]]] = (
            collections.deque()
        )
        self._running = 0

    def receive(
        self, exchange: Exchange, work: float, answer: Callable[[bool, LeafLoad], None]
    ) -> None:
        if self._running >= SLOTS and len(self._queue) >= LEAF_QUEUE:
            answer(False, self._load())
            return
        self._queue.append((exchange, work, answer))
        self._start()

    def _load(self) -> LeafLoad:
        return LeafLoad(self._running, len(self._queue), SLOTS)

    def _start(self) -> None:
        while self._running < SLOTS and self._queue:
            exchange, work, answer = self._queue.popleft()
            if exchange.is_complete:
                # Cancelled while it waited.
                continue
            self._running += 1
            seconds = work * self._factor
            if (self._loop.now() - self._pause_at) % PAUSE_INTERVAL_SECONDS < seconds:
                seconds += 0.25
            self._loop.call_later(seconds, self._finish, answer)

    def _finish(self, answer: Callable[[bool, LeafLoad], None]) -> None:
        self._running -= 1
        self._start()
        answer(True, self._load())


class _ModelConnection:
    """Stands for a LeafConnection; abandoning it completes the exchange as the real one does."""

    def __init__(self, loop: VirtualTimeLoop, exchange: Exchange) -> None:
        self._loop = loop
        self._exchange = exchange

    def abandon(self, *, linger_seconds: float) -> None:
        self._exchange.abandoned = True
        kind = FaultKind.SILENT if linger_seconds > 0 else FaultKind.CONNECTION_LOST
        fault = LeafFault(kind, sent=True)
        self._loop.call_later(linger_seconds, self._exchange.complete, fault)


class _ModelPool(ServicePool):
    """Sends requests to modelled leaves; everything else is the gateway's."""

    fleet: "Fleet"

    def send(
        self, handle: LeafHandle, exchange: Exchange, *, service_class: str = ""
    ) -> LeafConnection:
        handle.tracker.record_start(exchange.started_at)
        exchange.sent = True
        fleet = self.fleet
        near = handle.leaf.region == self._location.region
        delay = NEAR_SECONDS if near else FAR_SECONDS

        def answer(ran: bool, load: LeafLoad) -> None:
            result = LeafAnswer(
                request_id=exchange.request_id,
                status=200 if ran else 503,
                headers=(),
                body=b"",
                signature=b"s" if ran else b"",
                not_run=not ran,
                misdirected=False,
                load=load,
                request_limit=None,
            )
            fleet.loop.call_later(delay, exchange.complete, result)

        work = fleet.work_seconds(exchange.request_id)
        leaf = fleet.leaf_by_id[handle.leaf.id]
        fleet.loop.call_later(delay, leaf.receive, exchange, work, answer)
        return cast("LeafConnection", _ModelConnection(fleet.loop, exchange))


class _Host(NamedTuple):
    pools: list[ServicePool]
    latencies_by_class: dict[str, tuple[RouteLatencies, LateShardLatencies, AdmissionWindow]]


class Outcome(NamedTuple):
    """How one request of a caller ended."""

    class_name: str
    arrived_at: float
    """Seconds since the start of the run."""
    value: float
    """0 for a refusal, 1 for a complete answer in time."""
    refused: bool
    seconds: float


class Fleet:
    """Hosts, leaves and callers of one scenario."""

    def __init__(self, scenario: Scenario, loop: VirtualTimeLoop) -> None:
        """Creates idle hosts and leaves.

        Args:
            scenario: What is simulated.
            loop: Event loop with virtual time.
        """
        self.loop = loop
        self.outcomes: list[Outcome] = []
        self._scenario = scenario
        self._rng = random.Random(scenario.seed)
        leaves = [(shard, region) for shard in range(SHARDS) for region in REGIONS]
        slow = set(self._rng.sample(leaves, round(scenario.slow_share * len(leaves))))
        self.leaf_by_id = {
            f"{shard}-{region}": _ModelLeaf(
                loop, self._rng, SLOW_FACTOR if (shard, region) in slow else 1.0
            )
            for shard, region in leaves
        }
        self._class_by_name = {c.name: c for c in CLASSES}
        self._hosts = [self._make_host(number) for number in range(scenario.hosts)]

    def work_seconds(self, request_id: str) -> float:
        """Returns the work of one call of a request."""
        mean = self._class_by_name[request_id.partition("-")[0]].work_seconds
        return mean * self._rng.lognormvariate(-0.08, 0.4)

    def _make_host(self, number: int) -> _Host:
        budget = RetryBudgetSettings()
        budget.update(_BOUNDS)
        budget.set_host_count(self._scenario.hosts)
        region = REGIONS[number % len(REGIONS)]
        schedule = TurnSchedule()
        pools: list[ServicePool] = []
        for shard in range(SHARDS):
            pool = _ModelPool(
                service=str(shard),
                location=Location(region, region),
                budget=budget,
                drain_seconds=3.0,
                schedule=schedule,
                clock=self.loop,
                spawn=lambda run, name: None,
                admission=self._scenario.admission,
            )
            pool.fleet = self
            pool.set_connections(1_000_000)
            for name in REGIONS:
                leaf = Leaf(f"{shard}-{name}", "127.0.0.1:1", name, name)
                pool.update_leaf(LeafEntry(leaf, str(shard), SLOTS, False, 1), since=0.0)
            pools.append(pool)
        return _Host(
            pools,
            {c.name: (RouteLatencies(), LateShardLatencies(), AdmissionWindow()) for c in CLASSES},
        )

    async def run(self) -> list[Outcome]:
        """Runs the scenario and returns the end of each request."""
        async with asyncio.TaskGroup() as group:
            for caller_class in CLASSES:
                group.create_task(self._arrive(caller_class, group))
        return self.outcomes

    async def _arrive(self, caller_class: CallerClass, group: asyncio.TaskGroup) -> None:
        started_at = self.loop.now()
        begin, end, run_end = self._scenario.clocks
        while (elapsed := self.loop.now() - started_at) < run_end:
            flooding = caller_class.name == self._scenario.flood and begin <= elapsed < end
            rate = caller_class.per_second * (self._scenario.factor if flooding else 1.0)
            host = self._rng.choice(self._hosts)
            group.create_task(self._call(caller_class, host, elapsed))
            await asyncio.sleep(self._rng.expovariate(rate))

    async def _call(self, caller_class: CallerClass, host: _Host, elapsed: float) -> None:
        arrived_at = self.loop.now()
        coverage, status = 0.0, 503
        for attempt in range(2 + self._scenario.repeats):
            remaining = caller_class.timeout_seconds - (self.loop.now() - arrived_at)
            query = self._make_query(caller_class, host, remaining)
            result = await query.run()
            status = result.answer.status
            if status != 503 or remaining <= 0.0:
                coverage = result.included / len(result.calls) if status == 200 else 0.0
                break
            host = self._rng.choice(self._hosts)
            if attempt >= self._scenario.repeats:
                # One more attempt, after the time that the refusal names.
                wait = float(dict(result.answer.headers)[b"retry-after"])
                if attempt > self._scenario.repeats or wait > remaining / 3.0:
                    break
                await asyncio.sleep(wait)
        seconds = self.loop.now() - arrived_at + CALLER_SECONDS
        value = coverage**2
        if seconds > caller_class.objective_seconds:
            value *= caller_class.late_value
        self.outcomes.append(Outcome(caller_class.name, elapsed, value, status == 503, seconds))

    def _make_query(self, caller_class: CallerClass, host: _Host, remaining: float) -> Query:
        pools = host.pools if caller_class.is_scatter else [self._rng.choice(host.pools)]
        latencies, late, window = host.latencies_by_class[caller_class.name]
        return Query(
            request=CallerRequest(
                id=caller_class.name + "-1",
                method="GET",
                host="h",
                path="/",
                target=b"/",
                headers=(),
                body=b"",
                remaining_seconds=remaining,
            ),
            route=Route(
                name=caller_class.name,
                host="h",
                prefix="/",
                idempotent=True,
                timeout_seconds=caller_class.timeout_seconds,
                objective_seconds=caller_class.objective_seconds,
                max_attempts=2,
                priority=caller_class.rank,
                weight_by_service={},
                shards=tuple(pool.service for pool in pools) if caller_class.is_scatter else (),
                top=3,
                least_coverage=caller_class.least_coverage,
            ),
            pools=pools,
            attempt_latencies=latencies,
            late_shard_latencies=late,
            window=window if self._scenario.admission else None,
            clock=self.loop,
            arrived_at=self.loop.now(),
        )


def simulate(scenario: Scenario) -> dict[str, dict[str, float]]:
    """Runs a scenario.

    Args:
        scenario: What is simulated.

    Returns:
        By class: mean value of a request that arrived before, in and after the flood, and the share
        that was refused in it.
    """
    random.seed(scenario.seed)
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        loop = cast("VirtualTimeLoop", runner.get_loop())
        outcomes = runner.run(Fleet(scenario, loop).run())
    begin, end, run_end = scenario.clocks
    # The first second is left out, as no latencies are known in it.
    spans = {"before": (1.0, begin), "in": (begin, end), "after": (end + 1.0, run_end)}
    figures: dict[str, dict[str, float]] = {}
    for caller_class in CLASSES:
        own = [o for o in outcomes if o.class_name == caller_class.name]
        by_span = {
            name: [o for o in own if since <= o.arrived_at < until]
            for name, (since, until) in spans.items()
        }
        figures[caller_class.name] = {
            name: round(sum(o.value for o in span) / max(1, len(span)), 3)
            for name, span in by_span.items()
        }
        flooded = by_span["in"]
        refused = sum(o.refused for o in flooded) / max(1, len(flooded))
        rate = sum(o.value for o in flooded) / (end - begin)
        figures[caller_class.name] |= {"refused": round(refused, 3), "per_s": round(rate, 1)}
    return figures


def main() -> None:
    """Prints the figures of one scenario with admission and without it, one class a line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, default=8)
    parser.add_argument("--flood", default="", choices=["", *(c.name for c in CLASSES)])
    parser.add_argument("--factor", type=float, default=1.0)
    parser.add_argument("--repeats", type=int, default=0)
    parser.add_argument("--slow-share", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    for admission in (True, False):
        figures = simulate(Scenario(admission=admission, **vars(options)))
        for name, values in figures.items():
            print("with   " if admission else "without", f"{name:12}", json.dumps(values))


if __name__ == "__main__":
    main()
