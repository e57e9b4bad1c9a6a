"""Leaves that are cold after their start, and that many hosts call, without a network."""

import bisect
import json
import math
import random
from typing import Any

import pytest

from filbertreach.document import Leaf
from filbertreach.gateway._cold_bound import ColdBound
from filbertreach.gateway._directory import Directory
from filbertreach.gateway._leaf_handle import Location
from filbertreach.gateway._request_limit import RequestLimit
from filbertreach.gateway._request_turns import TurnSchedule
from filbertreach.gateway._retry_budget import RetryBudgetSettings
from filbertreach.gateway._service_pool import ServicePool
from filbertreach.platform import LeafEntry, StoredItem
from filbertreach.timing import FakeClock

_COLD_OVERRUN = 1.5
_COLD_SLACK = 5.0
_COLD_SECONDS = 30.0
_SEEDS = range(3)


def _allowed_in_a_second(per_second: float) -> float:
    return per_second * _COLD_OVERRUN + _COLD_SLACK


def _most_in_a_second(times: list[float]) -> int:
    times = sorted(times)
    return max((bisect.bisect_left(times, at + 1.0) - n for n, at in enumerate(times)), default=0)


class _Hosts:
    """Hosts that want to send more to one cold leaf than it can take."""

    def __init__(self, *, hosts: int, per_second: float, seed: int) -> None:
        random.seed(seed)
        self._rng = random.Random(seed)
        self._limits = []
        for _ in range(hosts):
            limit = RequestLimit(leaf="a", service="fleet", hosts=hosts, schedule=TurnSchedule())
            limit.cold_per_second = per_second
            limit.on_cold(_COLD_SECONDS, now=0.0)
            self._limits.append(limit)
        self.sent_at: list[float] = []

    def run(self, *, demand_by_host: list[float], begin: float, end: float) -> None:
        """Sends requests at the given rates, in requests per second, as far as it is allowed."""
        for limit, demand in zip(self._limits, demand_by_host, strict=True):
            now = begin
            while demand > 0.0 and (now := now + self._rng.expovariate(demand)) < end:
                # Most hosts may send nothing for most of the time.
                if (available_at := limit.available_at(now)) > now:
                    now = available_at
                    if now >= end:
                        break
                    if limit.available_at(now) > now:
                        continue
                limit.count_call("first", now)
                self.sent_at.append(now)


@pytest.mark.parametrize("seed", _SEEDS)
@pytest.mark.parametrize("per_second", [1.0, 2.0, 5.0, 10.0, 20.0, 50.0])
@pytest.mark.parametrize("hosts", [8, 68, 195])
def test_a_cold_leaf_gets_no_more_than_its_limit_allows(
    hosts: int, per_second: float, seed: int
) -> None:
    # Guards against a leaf that is overrun after its start. The parts of the hosts are so small
    # that requests which they have saved exceed the limit by themselves.
    fleet = _Hosts(hosts=hosts, per_second=per_second, seed=seed)
    fleet.run(demand_by_host=[10.0] * hosts, begin=0.0, end=_COLD_SECONDS)
    assert _most_in_a_second(fleet.sent_at) <= _allowed_in_a_second(per_second)
    # Hosts use 0.6 of what the leaf offers, on average.
    assert len(fleet.sent_at) >= 0.4 * per_second * _COLD_SECONDS


@pytest.mark.parametrize("seed", _SEEDS)
@pytest.mark.parametrize("per_second", [2.0, 5.0, 20.0])
@pytest.mark.parametrize("hosts", [8, 68, 195])
def test_a_burst_after_a_lull_stays_within_the_limit(
    hosts: int, per_second: float, seed: int
) -> None:
    # Guards against hosts that have saved a request each, and send them all at once.
    fleet = _Hosts(hosts=hosts, per_second=per_second, seed=seed)
    fleet.run(demand_by_host=[0.02] * hosts, begin=0.0, end=20.0)
    fleet.run(demand_by_host=[100.0] * hosts, begin=20.0, end=_COLD_SECONDS)
    assert _most_in_a_second(fleet.sent_at) <= _allowed_in_a_second(per_second)


def test_callers_at_a_few_hosts_stay_within_the_limit() -> None:
    fleet = _Hosts(hosts=68, per_second=5.0, seed=7)
    fleet.run(demand_by_host=[100.0] * 6 + [0.0] * 62, begin=0.0, end=_COLD_SECONDS)
    assert _most_in_a_second(fleet.sent_at) <= _allowed_in_a_second(5.0)


def test_the_smaller_of_both_limits_is_in_force() -> None:
    random.seed(7)
    limit = RequestLimit(leaf="a", service="fleet", hosts=1, schedule=TurnSchedule())
    limit.cold_per_second = 50.0
    limit.on_cold(10.0, now=100.0)
    limit.on_named(0.5, now=100.0)
    sent = 0
    for step in range(500):
        now = 100.0 + 0.02 * step
        if limit.available_at(now) <= now:
            limit.count_call("first", now)
            sent += 1
    assert sent <= 7
    limit.on_removed(now=110.0)
    assert limit.available_at(110.0) == -math.inf


def _entry(leaf_id: str, *, cold_seconds: float, sequence: int, born: int = 1) -> LeafEntry:
    leaf = Leaf(leaf_id, "10.0.0.1:80", "minho", "minho-1")
    return LeafEntry(leaf, "fleet", 2, False, born, cold_seconds, sequence)


def _is_limited(pool: ServicePool, now: float) -> bool:
    handle = pool.handle_by_id["a"]
    return not handle.request_limit.is_unused(now)


def test_a_leaf_is_cold_for_the_time_that_its_entry_states() -> None:
    clock = FakeClock(start=100.0)
    pool = ServicePool(
        service="fleet",
        location=Location("minho", "minho-1"),
        budget=RetryBudgetSettings(),
        drain_seconds=3.0,
        schedule=TurnSchedule(),
        clock=clock,
        spawn=lambda run, name: None,
    )
    pool.set_host_count(1_000_000_000)
    pool.update_leaf(_entry("a", cold_seconds=20.0, sequence=1), since=0.0)
    # Without a limit of the service, a cold leaf is treated like any other.
    assert pool.choose(tried=(), now=clock.now()) is not None
    pool.set_cold_limit(5.0)
    assert pool.choose(tried=(), now=clock.now()) is None
    assert clock.now() < pool.available_at(clock.now()) <= 120.0
    pool.update_leaf(_entry("warm", cold_seconds=0.0, sequence=1), since=0.0)
    handle = pool.choose(tried=(), now=clock.now())
    assert handle is not None and handle.leaf.id == "warm"
    clock.advance(19.0)
    # The same entry, listed again, says nothing new.
    pool.update_leaf(_entry("a", cold_seconds=20.0, sequence=1), since=0.0)
    assert _is_limited(pool, clock.now())
    clock.advance(1.0)
    assert not _is_limited(pool, clock.now())
    assert pool.choose(tried=("warm",), now=clock.now()) is not None
    # Another entry says that the leaf is cold again, and a further one that it is not.
    pool.update_leaf(_entry("a", cold_seconds=8.0, sequence=2), since=0.0)
    assert pool.choose(tried=("warm",), now=clock.now()) is None
    pool.update_leaf(_entry("a", cold_seconds=0.0, sequence=3), since=0.0)
    assert pool.choose(tried=("warm",), now=clock.now()) is not None
    # So does the first entry of another process.
    pool.update_leaf(_entry("a", cold_seconds=8.0, sequence=3, born=2), since=0.0)
    assert pool.choose(tried=("warm",), now=clock.now()) is None
    pool.set_cold_limit(None)
    assert pool.choose(tried=("warm",), now=clock.now()) is not None


def _configuration(version: int, **service: Any) -> StoredItem:
    limits = {
        "max_header_bytes": 8192,
        "max_body_bytes": 65536,
        "header_timeout_ms": 5000,
        "idle_timeout_ms": 60000,
    }
    services = [{"name": "fleet", "max_conns": 20, **service}] if service else []
    body = {"version": version, "routes": [], "services": services, "limits": limits}
    return StoredItem("op/config", json.dumps(body).encode(), version)


def test_the_limit_comes_from_the_configuration_in_force() -> None:
    directory = Directory(
        clock=FakeClock(start=100.0),
        location=Location("minho", "minho-1"),
        region_by_data_centre={"minho-1": "minho"},
        budget=RetryBudgetSettings(),
        drain_seconds=3.0,
        spawn=lambda run, name: None,
        on_change=lambda: None,
        cold_bound=ColdBound(1.0, 0.0),
    )
    entry = {
        "service": "fleet",
        "address": "127.0.0.1:9",
        "zone": "minho-1",
        "version": "1",
        "slots": 2,
        "state": "ready",
        "cold_left_ms": 12_500,
        "sequence": 1,
        "born": 1_000,
    }
    directory.on_change("servers/a", StoredItem("servers/a", json.dumps(entry).encode(), 1), 0.0)
    limit = directory.pool("fleet").handle_by_id["a"].request_limit
    assert (limit.cold_per_second, limit.cold_until) == (None, 112.5)
    assert limit.cold_bound == ColdBound(1.0, 0.0)
    directory.on_change("op/config", _configuration(1, cold_per_s=4.5, cold_s=20), 0.0)
    assert limit.cold_per_second == 4.5
    directory.on_change("op/config", _configuration(2, cold_per_s=0), 0.0)
    assert limit.cold_per_second is None
    directory.on_change("op/config", _configuration(3, cold_per_s=4.5), 0.0)
    directory.on_change("op/config", _configuration(4), 0.0)
    assert limit.cold_per_second is None
