"""Model of a data centre whose hosts share observations of leaves, or don't.

Run `python -m experiments.leaf_observations`; it prints one JSON line for each number of hosts.
"""

import argparse
import heapq
import itertools
import json
import random
import time
import zlib
from collections.abc import Callable
from typing import Literal, NamedTuple

import msgspec

from filbertreach.decisions import LeafOutcome
from filbertreach.document import Leaf
from filbertreach.gateway._exchange import Exchange
from filbertreach.gateway._leaf_handle import LeafHandle, Location
from filbertreach.gateway._observed_leaves import ObservedLeaves
from filbertreach.gateway._request_turns import TurnSchedule
from filbertreach.gateway._retry_budget import RetryBudgetSettings
from filbertreach.gateway._route_latencies import RouteLatencies
from filbertreach.gateway._service_pool import ServicePool
from filbertreach.leaf_observations import HostObservations, LeafState, ObservationBoard
from filbertreach.leaf_observations._messages import encode_reports, encode_states
from filbertreach.platform import LeafEntry
from filbertreach.timing import FakeClock

QUERIES_PER_SECOND = 24.0
"""Queries of all hosts together in the second deployment."""
_SERVICES = 8
"""Services that each query calls."""
_REPLICAS = 3
"""Leaves of each service."""
_SLOTS = 4
"""Calls that a leaf runs at once."""
_USUAL_SECONDS = 0.02
"""Mean time of a call to a healthy leaf."""
_SLOWNESS = 5.0
"""Time of a call to a slow leaf as a multiple of the usual one."""
_TICK_SECONDS = 0.1
"""Interval at which observations are collected and merged."""
_SHARING_SECONDS = 0.05
"""Time from an observation to its merging, and from that to the other hosts. A host that has not
reported for 0.25 s reports at once, and polls that wait are answered at once."""
_EPISODE_SECONDS = 10.0
"""Time after which another leaf becomes bad."""
_BAD_SECONDS = 8.0
"""Time in each episode in which the leaf is bad."""
_START = 1000.0
"""Clock at the start, in seconds."""

BadKind = Literal["failing", "slow"]
"""How the bad leaf behaves."""


class Figures(NamedTuple):
    """Result of a run."""

    calls: int
    """First attempts."""
    bad: int
    """First attempts to a bad leaf."""
    known_bad: int
    """Those to a leaf that another host had found to be bad in the same episode."""
    reports: int
    """Reports of all hosts."""
    report_bytes: int
    """Bytes of their bodies."""
    state_messages: int
    """Answers to polls, without those after a wait without news."""
    state_bytes: int
    """Bytes of their bodies."""


class _Host:
    """A host with pools of all services."""

    def __init__(self, number: int, clock: FakeClock, hosts: int, draw: random.Random) -> None:
        self.number = number
        self.latencies = RouteLatencies()
        self.observations = HostObservations(clock=clock)
        self.observations.host_count = hosts
        self.pools = [
            ServicePool(
                service=f"shard-{service}",
                location=Location("minho", "minho-1"),
                budget=RetryBudgetSettings(),
                drain_seconds=3.0,
                schedule=TurnSchedule(),
                clock=clock,
                spawn=lambda run, name: None,
                observed=ObservedLeaves(observations=self.observations, draw=draw.random),
            )
            for service in range(_SERVICES)
        ]
        for service, pool in enumerate(self.pools):
            for replica in range(_REPLICAS):
                leaf = Leaf(_leaf_id(service, replica), "10.0.0.1:8000", "minho", "minho-1")
                entry = LeafEntry(leaf, pool.service, _SLOTS, leaving=False, started_at_ms=1)
                pool.update_leaf(entry, since=0.0)
        # A host knows the latencies of its routes soon after its start.
        for _ in range(40):
            self.latencies.record(_call_seconds(draw), clock.now(), extra=False)


class Run:
    """A run of hosts whose leaves become bad in turn."""

    def __init__(
        self,
        *,
        hosts: int,
        kind: BadKind,
        is_shared: bool,
        seed: int = 1,
        queries_per_second: float = QUERIES_PER_SECOND,
    ) -> None:
        """Creates a run.

        Args:
            hosts: Number of hosts.
            kind: How bad leaves behave.
            is_shared: Whether the hosts share what they observe.
            seed: Seed of the random numbers.
            queries_per_second: Queries of all hosts together.
        """
        self._random = random.Random(seed)
        self._clock = FakeClock(start=_START)
        self._kind = kind
        self._queries_per_second = queries_per_second
        self._is_shared = is_shared
        self._hosts = [_Host(n, self._clock, hosts, self._random) for n in range(hosts)]
        self._board = ObservationBoard(leaf_count=lambda: _SERVICES * _REPLICAS, draw=lambda: 0.5)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()
        self._knowing_hosts: dict[tuple[int, str], set[int]] = {}
        """Hosts that have had a call to a bad leaf, by episode and leaf id."""
        self._figures = Figures(0, 0, 0, 0, 0, 0, 0)

    def run(self, seconds: float = 60.0) -> Figures:
        """Runs the model.

        Args:
            seconds: Modelled time.
        """
        self._after(0.0, self._query)
        self._after(0.0, self._tick)
        while self._events[0][0] < _START + seconds:
            at, _, callback = heapq.heappop(self._events)
            self._clock.advance(max(0.0, at - self._clock.now()))
            callback()
        return self._figures

    def _after(self, seconds: float, callback: Callable[[], None]) -> None:
        event = (self._clock.now() + seconds, next(self._sequence_numbers), callback)
        heapq.heappush(self._events, event)

    def _count(self, **added: int) -> None:
        old = self._figures._asdict()
        self._figures = self._figures._replace(**{k: old[k] + n for k, n in added.items()})

    # Calls.

    def _episode(self) -> int:
        return int((self._clock.now() - _START) / _EPISODE_SECONDS)

    def _is_bad(self, leaf_id: str) -> bool:
        elapsed = (self._clock.now() - _START) % _EPISODE_SECONDS
        return elapsed < _BAD_SECONDS and leaf_id == _leaf_id(self._episode() % _SERVICES, 0)

    def _query(self) -> None:
        self._after(self._random.expovariate(self._queries_per_second), self._query)
        host = self._random.choice(self._hosts)
        for pool in host.pools:
            self._send(host, pool, ())

    def _send(self, host: _Host, pool: ServicePool, tried: tuple[str, ...]) -> None:
        now = self._clock.now()
        handle = pool.choose(tried=tried, now=now, typical_seconds=host.latencies.typical_seconds)
        if handle is None:
            return
        leaf_id = handle.leaf.id
        is_bad = self._is_bad(leaf_id)
        if not tried:
            others = self._knowing_hosts.get((self._episode(), leaf_id), set()) - {host.number}
            self._count(calls=1, bad=int(is_bad), known_bad=int(is_bad and bool(others)))
        exchange = Exchange(
            request_id="r",
            method="GET",
            encode=lambda: b"",
            on_result=lambda exchange, result: None,
            started_at=now,
        )
        exchange.sent = True
        handle.tracker.record_start(now)
        seconds, outcome = _call_seconds(self._random), LeafOutcome.OK
        if is_bad and self._kind == "failing":
            outcome = LeafOutcome.ERROR
        elif is_bad:
            seconds *= _SLOWNESS
        self._after(seconds, lambda: self._finish(host, pool, handle, exchange, outcome, is_bad))

    def _finish(
        self,
        host: _Host,
        pool: ServicePool,
        handle: LeafHandle,
        exchange: Exchange,
        outcome: LeafOutcome,
        is_bad: bool,
    ) -> None:
        if is_bad:
            key = (self._episode(), handle.leaf.id)
            self._knowing_hosts.setdefault(key, set()).add(host.number)
        pool.record_finish(handle, exchange, outcome, host.latencies)
        now = self._clock.now()
        if outcome is LeafOutcome.OK:
            host.latencies.record(now - exchange.started_at, now, extra=False)
        else:
            self._send(host, pool, (handle.leaf.id,))

    # Sharing.

    def _tick(self) -> None:
        self._after(_TICK_SECONDS, self._tick)
        now = self._clock.now()
        for host in self._hosts:
            host.observations.pauses.tick(now)
            host.observations.states.remove_expired(now)
            if self._is_shared and host.observations.observer.has_news:
                self._report(host, now)
        revision = self._board.revision
        self._board.update(now)
        if self._board.revision != revision:
            states = self._board.state_by_leaf
            body = zlib.compress(msgspec.json.encode(encode_states(revision, states, now)), 1)
            others = len(self._hosts) - 1
            self._count(state_messages=others, state_bytes=others * len(body))
            self._after(_SHARING_SECONDS, lambda: self._apply(states))

    def _report(self, host: _Host, now: float) -> None:
        observation_by_leaf = host.observations.observer.take(now)
        name = f"host-{host.number}"
        body = msgspec.json.encode(encode_reports(name, observation_by_leaf, now))
        self._count(reports=1, report_bytes=len(body))
        self._after(
            _SHARING_SECONDS,
            lambda: self._board.record(name, observation_by_leaf, self._clock.now()),
        )

    def _apply(self, states: dict[str, LeafState]) -> None:
        now = self._clock.now()
        for host in self._hosts:
            contradicted = host.observations.states.replace(states, now)
            host.observations.observer.on_contradicted(contradicted, now)


def _leaf_id(service: int, replica: int) -> str:
    return f"leaf-{service}-{replica}"


def _call_seconds(draw: random.Random) -> float:
    return _USUAL_SECONDS * draw.uniform(0.7, 1.3)


def main() -> None:
    """Prints the figures with and without shared observations, and the processor time."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", default="8,68,127")
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=QUERIES_PER_SECOND)
    arguments = parser.parse_args()
    kinds: tuple[BadKind, ...] = ("failing", "slow")
    for hosts in map(int, arguments.hosts.split(",")):
        for kind in kinds:
            for is_shared in (False, True):
                run = Run(
                    hosts=hosts,
                    kind=kind,
                    is_shared=is_shared,
                    seed=arguments.seed,
                    queries_per_second=arguments.rate,
                )
                started_at = time.process_time()
                figures = run.run(arguments.seconds)
                line = {"hosts": hosts, "kind": kind, "shared": is_shared, **figures._asdict()}
                line["cpu_s"] = round(time.process_time() - started_at, 2)
                print(json.dumps(line), flush=True)


if __name__ == "__main__":
    main()
