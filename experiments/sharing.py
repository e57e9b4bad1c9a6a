"""Hosts of a data centre that share how calls to leaves ended, beside hosts that learn alone.

A data centre of a large fleet under a fake clock: every host asks all shards for each query, a
shard has one leaf in each of three regions, leaves pause now and then, and for a while a part of
them is slow. Pools, leaf trackers, hedge delays and retry budgets are those of the gateway. Run it
with `python -m experiments.sharing [--seed N]`.
"""

import argparse
import heapq
import itertools
import json
import random
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from experiments._registry import experiment
from filbertreach.decisions import LeafOutcome
from filbertreach.document import Leaf
from filbertreach.gateway._retry_budget import BudgetSettings
from filbertreach.gateway._route_latencies import RouteLatencies
from filbertreach.gateway._service_pool import LeafHandle, Location, ServicePool
from filbertreach.platform import Bounds, LeafEntry
from filbertreach.timing import FakeClock

_REGIONS = ("minho", "ribatejo", "alentejo")
_NEAR_SECONDS, _FAR_SECONDS = 0.001, 0.016
"""Way to a leaf and back, in the region and to another one."""
_HANDSHAKE_SECONDS = 0.006
_IDLE_SECONDS = 4.0
"""A connection that was not used for this long has been closed."""
_SPEEDS = (0.8, 1.0, 1.3)
_SPREAD = 0.35
_PAUSE_SECONDS, _PAUSE_EVERY_SECONDS = 0.25, 6.0
_TELL_SECONDS = 0.2
_POLL_SECONDS = 0.02
_LINGER_SECONDS = 0.3
_BOUNDS = Bounds(5.0, 5.0, 6.0, 0.2, 10.0, 186.0)
_FLEET, _DATA_CENTRES = 73, 6
_FLOOR = 0.95


class Options(NamedTuple):
    """A data centre and its troubles."""

    shared: bool
    """Whether hosts tell each other how calls ended."""
    hosts: int = 12
    """Hosts of the data centre."""
    shards: int = 90
    """Shards of each query."""
    per_second: float = 3.4
    """Queries a second, all hosts together."""
    slow_share: float = 0.15
    """Part of the leaves that is slow in each of two overlapping spells."""
    slow_factor: float = 8.0
    """How much longer slow leaves work."""
    seconds: float = 40.0
    """Length of the run."""


class _Kind(NamedTuple):
    work_seconds: float
    target_seconds: float
    weight: float


_KINDS = (_Kind(0.042, 0.232, 6.0), _Kind(0.0138, 0.1, 2.0))


class _SimulatedLeaf:
    def __init__(self, options: Options, choices: random.Random) -> None:
        self._factor = options.slow_factor
        self._speed = choices.choice(_SPEEDS)
        self._offset = choices.uniform(0.0, _PAUSE_EVERY_SECONDS)
        self._choices = choices
        # Two spells that overlap, as on a day with trouble.
        spells = ((1.2, 9.2), (4.2, 9.2))
        self._slow = [s for s in spells if choices.random() < options.slow_share]

    def seconds(self, now: float, work: float) -> float:
        """Time at the leaf of a call that arrives now."""
        took = work * self._speed * self._choices.lognormvariate(0.0, _SPREAD)
        if self._choices.random() < 0.01:
            took *= 5.0
        if any(began <= now < ended for began, ended in self._slow):
            took *= self._factor
        pause_left = _PAUSE_SECONDS - (now + self._offset) % _PAUSE_EVERY_SECONDS
        return took + max(0.0, pause_left)


class _Host:
    def __init__(self, clock: FakeClock, options: Options) -> None:
        budget = BudgetSettings()
        budget.update(_BOUNDS)
        budget.divide(_FLEET, data_centres=_DATA_CENTRES if options.shared else None)
        self.latencies = {kind: RouteLatencies() for kind in _KINDS}
        self.samples: list[tuple[str, LeafOutcome, float]] = []
        self.slack: list[str] = []
        self.used_at: dict[str, float] = {}
        self.pools = [
            ServicePool(
                service=str(shard),
                here=Location(_REGIONS[0], _REGIONS[0]),
                budget=budget,
                drain_seconds=5.0,
                clock=clock,
                spawn=lambda run, name: None,
                observer=self,
            )
            for shard in range(options.shards)
        ]
        for shard, pool in enumerate(self.pools):
            for region in _REGIONS:
                leaf = Leaf(f"{shard}-{region}", "10.0.0.1:1", region, region)
                pool.list_leaf(LeafEntry(leaf, pool.service, 2, False, 1), since=0.0)

    def on_call_end(self, leaf_id: str, outcome: LeafOutcome, seconds: float) -> None:
        """Keeps the end of a call for the other hosts."""
        self.samples.append((leaf_id, outcome, seconds))

    def on_slack(self, service: str, count: int = 1) -> None:
        """Keeps an extra call for the other hosts."""
        self.slack.append(service)


class _Query:
    def __init__(self, kind: _Kind, began: float, shards: int) -> None:
        self.kind = kind
        self.began = began
        self.answered_at: list[float | None] = [None] * shards
        self.extras = 0
        self.refused = 0


class DataCentre:
    """The hosts, the leaves and the load."""

    def __init__(self, options: Options, seed: int) -> None:
        """Prepares a run.

        Args:
            options: Size, troubles and policy.
            seed: Seed of everything.
        """
        self._options = options
        self._choices = random.Random(seed)
        self._clock = FakeClock()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._hosts = [_Host(self._clock, options) for _ in range(options.hosts)]
        self._leaves = {
            leaf_id: _SimulatedLeaf(options, self._choices)
            for pool in self._hosts[0].pools
            for leaf_id in pool.handle_by_id
        }
        self.queries: list[_Query] = []
        self.far_calls = 0

    def run(self) -> "DataCentre":
        """Plays the load to its end."""
        self._at(0.0, self._arrive)
        self._at(_TELL_SECONDS, self._tell)
        while self._events and self._events[0][0] < self._options.seconds:
            at, _, action = heapq.heappop(self._events)
            self._clock.advance(at - self._clock.now())
            action()
        return self

    def _at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), action))

    def _arrive(self) -> None:
        now = self._clock.now()
        self._at(now + self._choices.expovariate(self._options.per_second), self._arrive)
        # A caller keeps its connection, so a few hosts have most of the load.
        weights = [1.0, 3.0, 3.0, 3.0, *[0.1] * (len(self._hosts) - 4)]
        host = self._choices.choices(self._hosts, weights=weights)[0]
        kind = self._choices.choices(_KINDS, weights=[k.weight for k in _KINDS])[0]
        query = _Query(kind, now, self._options.shards)
        self.queries.append(query)
        for shard, pool in enumerate(host.pools):
            pool.budget.count_request(now)
            _Call(self, host, query, shard).send(extra=False)

    def _tell(self) -> None:
        self._at(self._clock.now() + _TELL_SECONDS, self._tell)
        for teller in self._hosts:
            samples, teller.samples = teller.samples, []
            slack, teller.slack = teller.slack, []
            for hearer in self._hosts:
                if not self._options.shared or hearer is teller:
                    continue
                for leaf_id, outcome, seconds in samples:
                    pool = hearer.pools[int(leaf_id.split("-")[0])]
                    pool.handle_by_id[leaf_id].tracker.heard(outcome, seconds, self._clock.now())
                for service in slack:
                    hearer.pools[int(service)].budget.heard_slack(1, self._clock.now())


class _Call:
    """One shard of a query."""

    def __init__(self, centre: DataCentre, host: _Host, query: _Query, shard: int) -> None:
        self._centre, self._host, self._query, self._shard = centre, host, query, shard
        self._pool = host.pools[shard]
        self._tried: list[str] = []
        self._running: dict[LeafHandle, float] = {}

    @property
    def _done(self) -> bool:
        return self._query.answered_at[self._shard] is not None

    def send(self, *, extra: bool) -> None:
        """Sends the call to the leaf that the pool chooses."""
        now = self._centre._clock.now()
        handle = self._pool.choose(
            tried=self._tried,
            now=now,
            typical_seconds=self._host.latencies[self._query.kind].typical_seconds,
        )
        if self._done:
            return
        if handle is None:
            self._centre._at(now + _POLL_SECONDS, lambda: self.send(extra=extra))
            return
        if extra:
            if not self._pool.budget.try_take(now):
                self._query.refused += 1
                return
            self._query.extras += 1
        leaf_id = handle.leaf.id
        self._tried.append(leaf_id)
        handle.tracker.started(now)
        self._running[handle] = now
        way = _NEAR_SECONDS if handle.leaf.region == _REGIONS[0] else _FAR_SECONDS
        self._centre.far_calls += way == _FAR_SECONDS
        setup = 0.0
        if now - self._host.used_at.get(leaf_id, -100.0) > _IDLE_SECONDS:
            setup = way + _HANDSHAKE_SECONDS
        self._host.used_at[leaf_id] = now
        arrives = now + setup + way / 2.0
        took = self._centre._leaves[leaf_id].seconds(arrives, self._query.kind.work_seconds)
        ends = arrives + took + way / 2.0
        self._centre._at(ends, lambda: self._answered(handle, now, extra=extra))
        if not extra:
            latencies = self._host.latencies[self._query.kind]
            left = self._query.began + self._query.kind.target_seconds - now
            hedge_at = now + latencies.hedge_seconds(left)
            self._centre._at(hedge_at, lambda: self.send(extra=True))
        stop_at = max(self._query.began + 1.2, now)
        self._centre._at(stop_at, lambda: self._abandon(handle))

    def _answered(self, handle: LeafHandle, sent_at: float, *, extra: bool) -> None:
        if self._running.pop(handle, None) is None:
            return
        now = self._centre._clock.now()
        self._finish(handle, LeafOutcome.OK, now - sent_at)
        latencies = self._host.latencies[self._query.kind]
        latencies.record(now - sent_at, now, extra=extra)
        if not self._done:
            self._query.answered_at[self._shard] = now
            for other in list(self._running):
                self._centre._at(now + _LINGER_SECONDS, lambda o=other: self._abandon(o))  # type: ignore[misc]

    def _abandon(self, handle: LeafHandle) -> None:
        sent_at = self._running.pop(handle, None)
        if sent_at is not None:
            self._finish(handle, LeafOutcome.CANCELLED, self._centre._clock.now() - sent_at)

    def _finish(self, handle: LeafHandle, outcome: LeafOutcome, seconds: float) -> None:
        handle.tracker.finished(outcome, seconds, self._centre._clock.now())
        self._host.on_call_end(handle.leaf.id, outcome, seconds)


def _figures(centres: list[DataCentre], began: float, ended: float) -> dict[str, float]:
    queries = [q for c in centres for q in c.queries if began <= q.began < ended]
    served = parts = 0.0
    for query in queries:
        target = query.began + query.kind.target_seconds
        in_time = sum(at is not None and at <= target for at in query.answered_at)
        share = in_time / len(query.answered_at)
        parts += share
        if share >= _FLOOR:
            served += share**2
    count = max(1, len(queries))
    return {
        "in time, times the square of the shards": served / count,
        "shards in time": parts / count,
        "extra calls a query": sum(q.extras for q in queries) / count,
        "extra calls without budget a query": sum(q.refused for q in queries) / count,
    }


def _spells() -> Iterator[tuple[str, float, float]]:
    yield "start, 15% slow", 0.0, 4.2
    yield "15% and 15% slow", 4.2, 9.2
    yield "calm", 10.0, 20.0


@experiment("sharing", "What do hosts gain that share how calls to leaves ended?")
def sharing(seed: int, short: bool) -> dict[str, Any]:
    """Returns figures by policy and spell of the run.

    Args:
        seed: Seed of the first run.
        short: Whether one run of each policy is enough.
    """
    figures: dict[str, Any] = {}
    for name, shared in (("alone", False), ("shared", True)):
        options = Options(shared=shared, seconds=20.0)
        centres = [DataCentre(options, seed + n).run() for n in range(1 if short else 12)]
        by_spell: dict[str, Any] = {s: _figures(centres, b, e) for s, b, e in _spells()}
        calls = sum(len(c.queries) * options.shards for c in centres)
        by_spell["calls to other regions"] = sum(c.far_calls for c in centres) / calls
        figures[name] = by_spell
    return figures


if __name__ == "__main__":
    _parser = argparse.ArgumentParser(description=__doc__)
    _parser.add_argument("--seed", type=int, default=1)
    print(json.dumps(sharing(_parser.parse_args().seed, False), indent=1))
