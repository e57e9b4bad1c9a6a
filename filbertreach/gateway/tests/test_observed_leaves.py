"""Choice of leaves with observations of other hosts, with a fake clock and without connections."""

import collections
import random
from typing import Literal

import pytest

from filbertreach.decisions import (
    CrossingCosts,
    DataCentreStatistics,
    LeafOutcome,
    make_spill_policy,
)
from filbertreach.document import Leaf
from filbertreach.gateway._exchange import Exchange
from filbertreach.gateway._leaf_handle import Location
from filbertreach.gateway._observed_leaves import ObservedLeaves
from filbertreach.gateway._request_turns import TurnSchedule
from filbertreach.gateway._retry_budget import RetryBudgetSettings
from filbertreach.gateway._service_pool import ServicePool
from filbertreach.leaf_observations import HostObservations, LeafState
from filbertreach.platform import LeafEntry
from filbertreach.timing import FakeClock

_TYPICAL_SECONDS = 0.02


class _Host:
    """A host that calls one service with the leaves a, b and c in its data centre."""

    def __init__(
        self,
        clock: FakeClock,
        *,
        leaf_ids: str = "abc",
        spill_over: bool = False,
        draw: float | None = None,
    ) -> None:
        self.clock = clock
        self.observations = HostObservations(clock=clock)
        self.observations.host_count = 68
        self.evacuated: set[str] = set()
        self.random = random.Random(7)
        costs = CrossingCosts(0.0, 0.0)
        statistics = DataCentreStatistics()
        self.pool = ServicePool(
            service="fleet",
            location=Location("minho", "minho-1"),
            budget=RetryBudgetSettings(),
            drain_seconds=3.0,
            schedule=TurnSchedule(),
            clock=clock,
            spawn=lambda run, name: None,
            evacuated=self.evacuated,
            spill_over=make_spill_policy(name="marginal_cost", costs=costs, statistics=statistics)
            if spill_over
            else None,
            observed=ObservedLeaves(
                observations=self.observations,
                draw=self.random.random if draw is None else lambda: draw,
            ),
        )
        for leaf_id in leaf_ids:
            self.list_leaf(leaf_id)

    def list_leaf(self, leaf_id: str, region: str = "minho", *, born: int = 1) -> None:
        leaf = Leaf(leaf_id, "10.0.0.1:8000", region, f"{region}-1")
        self.pool.update_leaf(LeafEntry(leaf, "fleet", 4, False, born), since=0.0)

    def observe(self, kind: Literal["failing", "slow"], *leaf_ids: str) -> None:
        """Applies an exception that other hosts have observed just now."""
        state = LeafState(kind, 5.0, self.clock.now(), 2)
        self.observations.states.replace(dict.fromkeys(leaf_ids, state), self.clock.now())

    def choose(self, *tried: str, **options: bool) -> str | None:
        handle = self.pool.choose(
            tried=tried, now=self.clock.now(), typical_seconds=_TYPICAL_SECONDS, **options
        )
        return None if handle is None else handle.leaf.id

    def call(self, leaf_id: str, outcome: LeafOutcome = LeafOutcome.OK) -> None:
        handle = self.pool.handle_by_id[leaf_id]
        exchange = Exchange(
            request_id="r",
            method="GET",
            encode=lambda: b"",
            on_result=lambda exchange, result: None,
            started_at=self.clock.now() - _TYPICAL_SECONDS,
        )
        exchange.sent = True
        handle.tracker.record_start(exchange.started_at)
        self.pool.record_finish(handle, exchange, outcome)

    def share(self, calls: int) -> collections.Counter[str]:
        """Returns how many of some calls, a second apart, each leaf gets; all are answered."""
        count_by_leaf: collections.Counter[str] = collections.Counter()
        for _ in range(calls):
            leaf_id = self.choose()
            assert leaf_id is not None
            count_by_leaf[leaf_id] += 1
            self.call(leaf_id)
            self.clock.advance(0.01)
        return count_by_leaf


@pytest.mark.parametrize("spill_over", [False, True])
def test_a_failing_leaf_is_avoided_by_a_host_that_has_not_called_it(spill_over: bool) -> None:
    # Guards against each host that learns of a failing leaf by a call of its own.
    host = _Host(FakeClock(start=100.0), spill_over=spill_over, draw=0.9)
    host.observe("failing", "a")
    assert host.share(100)["a"] == 0
    # For retries and hedges too, and for requests that may not be sent again.
    assert host.choose("b") == "c"
    assert host.choose("b", hedge=True) == "c"
    assert host.choose(repeatable=False) != "a"
    host.clock.advance(2.0)
    host.observations.states.remove_expired(host.clock.now())
    assert host.share(99)["a"] == 33


@pytest.mark.parametrize("spill_over", [False, True])
def test_a_failing_leaf_is_used_if_no_other_one_can_take_the_call(spill_over: bool) -> None:
    # Guards against requests that are lost because reports concern all leaves of a service.
    host = _Host(FakeClock(start=100.0), spill_over=spill_over, draw=0.9)
    host.observe("failing", "a", "b", "c")
    assert host.choose() is not None
    host.observe("failing", "a")
    assert host.choose("b", "c") == "a"


def test_the_hosts_together_probe_about_as_often_as_one_calls() -> None:
    # Guards against a failing leaf that no host ever calls, and against one that all hosts probe.
    hosts, calls = 20, 600
    clock = FakeClock(start=100.0)
    all_hosts = [_Host(clock) for _ in range(hosts)]
    probes = 0
    for number, host in enumerate(all_hosts):
        host.random.seed(number)
        host.observations.host_count = hosts
        for _ in range(calls):
            host.observe("failing", "a")
            leaf_id = host.choose()
            assert leaf_id is not None
            probes += leaf_id == "a"
            host.call(leaf_id)
            clock.advance(0.02)
    # One host alone would have sent it a third of its calls.
    assert 0.6 * calls / 3 < probes < 1.6 * calls / 3


def test_retries_and_hedges_are_no_probes() -> None:
    # Guards against calls that have failed once and are sent to a failing leaf.
    host = _Host(FakeClock(start=100.0), draw=0.0)
    host.observe("failing", "a")
    assert host.choose() == "a"
    for options in ({"hedge": True}, {"repeatable": False}):
        assert host.choose(**options) != "a"
    assert host.choose("b") == "c"


def test_a_good_answer_to_this_host_overrides_a_report() -> None:
    # Guards against wrong reports that take a good leaf out of use.
    host = _Host(FakeClock(start=100.0), draw=0.9)
    host.observe("failing", "a")
    host.clock.advance(0.1)
    host.call("a")
    assert host.share(99)["a"] == 33


def test_a_restarted_leaf_is_used_at_once() -> None:
    # Guards against a new process that is avoided because of the one before.
    host = _Host(FakeClock(start=100.0), leaf_ids="ab", draw=0.9)
    host.observe("failing", "a")
    assert host.choose() == "b"
    host.clock.advance(0.1)
    host.list_leaf("a", born=2)
    assert host.share(10)["a"] == 5


@pytest.mark.parametrize("spill_over", [False, True])
def test_a_slow_leaf_gets_calls_only_if_the_others_are_busy(spill_over: bool) -> None:
    host = _Host(FakeClock(start=100.0), leaf_ids="ab", spill_over=spill_over)
    for leaf_id in "ab":
        for _ in range(5):
            host.call(leaf_id)
    host.observe("slow", "a")
    assert host.share(20)["a"] == 0
    for _ in range(30):
        host.pool.handle_by_id["b"].tracker.record_start(host.clock.now())
    assert host.choose() == "a"
    # It ends by itself.
    host = _Host(FakeClock(start=100.0), leaf_ids="ab", spill_over=spill_over)
    host.observe("slow", "a")
    host.clock.advance(2.0)
    host.observations.states.remove_expired(host.clock.now())
    assert host.share(20)["a"] == 10


def test_evacuation_takes_precedence() -> None:
    # Guards against calls to an evacuated data centre because the leaves elsewhere fail.
    host = _Host(FakeClock(start=100.0), leaf_ids="a", draw=0.9)
    host.list_leaf("far", "alentejo")
    host.observe("failing", "a")
    assert host.choose() == "far"
    host.evacuated.add("alentejo-1")
    assert host.choose() == "a"


def test_hosts_do_not_all_choose_the_same_leaf() -> None:
    # Guards against herds: after a report, and after a long failure has ended.
    hosts, clock = 40, FakeClock(start=100.0)
    all_hosts = [_Host(clock) for _ in range(hosts)]
    for number, host in enumerate(all_hosts):
        host.random.seed(number)
        host.observations.host_count = hosts
        # Hosts have called the leaves in different orders.
        for _ in range(number % 3 + 3):
            leaf_id = host.choose()
            assert leaf_id is not None
            host.call(leaf_id)
            clock.advance(0.01)

    def round_of_calls(outcome_of_a: LeafOutcome) -> collections.Counter[str]:
        count_by_leaf: collections.Counter[str] = collections.Counter()
        for host in all_hosts:
            leaf_id = host.choose()
            assert leaf_id is not None
            count_by_leaf[leaf_id] += 1
            host.call(leaf_id, outcome_of_a if leaf_id == "a" else LeafOutcome.OK)
            clock.advance(0.01)
        return count_by_leaf

    for _ in range(6):
        for host in all_hosts:
            host.observe("failing", "a")
        count_by_leaf = round_of_calls(LeafOutcome.ERROR)
        assert count_by_leaf["a"] <= 6
        assert max(count_by_leaf["b"], count_by_leaf["c"]) <= 0.7 * hosts
    clock.advance(2.0)
    for host in all_hosts:
        host.observations.states.remove_expired(clock.now())
    # The leaf has recovered. Without the turns that passed over it, all hosts would call it first.
    count_by_leaf = round_of_calls(LeafOutcome.OK)
    assert 0.15 * hosts <= count_by_leaf["a"] <= 0.6 * hosts


def test_load_is_sent_out_if_the_near_leaf_is_observed_as_slow() -> None:
    # Guards against a spill-over policy that knows only the answers of its own host.
    host = _Host(FakeClock(start=100.0), leaf_ids="a", spill_over=True)
    host.list_leaf("far", "alentejo")
    assert host.choose() == "a"
    host.observe("slow", "a")
    assert host.choose() == "far"


def test_calls_to_a_replaced_process_are_not_reported() -> None:
    # Guards against a new process that is listed as failing, as calls to the one before time out.
    host = _Host(FakeClock(start=100.0), leaf_ids="ab")
    before = host.pool.handle_by_id["a"]
    host.list_leaf("a", born=2)
    after = host.pool.handle_by_id["a"]
    for handle, is_reported in ((before, False), (after, True)):
        exchange = Exchange(
            request_id="r",
            method="GET",
            encode=lambda: b"",
            on_result=lambda exchange, result: None,
            started_at=host.clock.now(),
        )
        exchange.sent = True
        handle.tracker.record_start(exchange.started_at)
        host.pool.record_finish(handle, exchange, LeafOutcome.CONNECTION_LOST)
        assert host.observations.observer.has_news is is_reported
