"""Tests that calls avoid replicas that are slow, stuck, failing or misreport their load."""

import pytest

from experiments.dispatch_decisions import replica_cases
from filbertreach.decisions._leaf import LeafOutcome, LeafTracker
from filbertreach.decisions._replicas import make_replica_policy
from filbertreach.document import Leaf, Pool

POOL = Pool("pool", 2, 12, 1.0)


def make_trackers(*latencies):
    trackers = []
    for number, latency in enumerate(latencies):
        tracker = LeafTracker(leaf=Leaf(str(number), "127.0.0.1:1", "r", "d"), pool=POOL)
        for _ in range(10):
            tracker.record_start(10.0 - latency)
            tracker.record_finish(LeafOutcome.OK, latency, 10.0)
        trackers.append(tracker)
    return trackers


def choose(trackers, now=10.0, waiting=1):
    chosen = make_replica_policy(name="least_expected_wait").choose(trackers, now, waiting=waiting)
    return None if chosen is None else chosen.leaf.id


def fill(tracker, now=10.0):
    while tracker.has_room(now):
        tracker.record_start(now)


def test_equal_leaves_share_the_calls():
    trackers = make_trackers(0.010, 0.011, 0.0105)
    for _ in range(3):
        next(t for t in trackers if t.leaf.id == choose(trackers)).record_start(10.0)
    assert [tracker.in_flight for tracker in trackers] == [1, 1, 1]


@pytest.mark.parametrize(
    ("latency", "waiting", "expected"),
    [(0.02, 1, "1"), (0.1, 1, None), (0.1, 50, "1")],
)
def test_waits_for_a_full_fast_leaf_only_if_that_is_sooner(latency, waiting, expected):
    trackers = make_trackers(0.01, latency)
    fill(trackers[0])
    assert choose(trackers, waiting=waiting) == expected


def test_does_not_wait_for_a_stuck_leaf():
    trackers = make_trackers(0.01, 0.1)
    fill(trackers[0])
    assert choose(trackers, now=10.05) is None
    assert choose(trackers, now=10.2) == "1"


def test_stuck_leaf_that_reports_idle_is_avoided():
    trackers = make_trackers(0.01, 0.01)
    trackers[0].record_start(10.0)
    trackers[0].record_load_report(0, 0, 10.2)
    trackers[1].record_load_report(2, 9, 10.2)
    trackers[1].record_start(10.19)
    assert choose(trackers, now=10.2) == "1"


def test_leaf_that_fails_fast_attracts_no_calls():
    trackers = make_trackers(0.01, 0.01)
    for _ in range(2):
        trackers[0].record_start(10.0)
        trackers[0].record_finish(LeafOutcome.ERROR, 0.0001, 10.0)
    trackers[1].record_start(10.0)
    assert trackers[0].state == "ready"
    assert choose(trackers) == "1"


def test_due_probe_has_priority_if_there_is_an_alternative_leaf():
    trackers = make_trackers(0.01, 0.01)
    for _ in range(3):
        trackers[0].record_start(10.0)
        trackers[0].record_finish(LeafOutcome.ERROR, 0.0001, 10.0)
    assert choose(trackers, now=10.1) == "1"
    assert choose(trackers, now=10.3) == "0"
    trackers[0].record_start(10.3)
    assert choose(trackers, now=10.3) == "1"


@pytest.mark.parametrize("name", ["least_expected_wait", "round_robin", "trust_report"])
def test_every_policy_skips_full_and_leaving_leaves(name):
    trackers = make_trackers(0.01, 0.01)
    trackers[0].leaving = True
    policy = make_replica_policy(name=name)
    assert policy.choose(trackers, 10.0).leaf.id == "1"
    fill(trackers[1])
    assert policy.choose(trackers, 10.0) is None
    assert policy.choose([], 10.0) is None


def test_unknown_policy_error_lists_the_allowed_names():
    with pytest.raises(ValueError, match="allowed: least_expected_wait, round_robin"):
        make_replica_policy(name="random")


def test_faulty_replica_under_load():
    """Runs a straggler and a cold leaf in the simulation; bounds are ratios within one run."""
    figures = replica_cases(seed=3, seconds=8.0, faults=["straggler", "cold_start"])
    straggler = figures["straggler"]
    assert straggler["least_expected_wait"]["p99_ms"] < straggler["round_robin"]["p99_ms"] / 3
    assert figures["cold_start"]["least_expected_wait"]["share_of_faulty"] > 0.2
