"""Tests that answers are not sent too late, too early or with too few shards."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from filbertreach.decisions._waiting import LateShardLatencies, make_wait_policy


def latencies(slow_seconds):
    latency = LateShardLatencies()
    latency.record([slow_seconds] * 40)
    return latency


def policy_of(kind, *, answers, latency, failures=0, target=0.1, least=0.5, started=100.0):
    policy = make_wait_policy(
        kind=kind,
        shards_total=10,
        started=started,
        target_seconds=target,
        deadline=started + 1.0,
        least_coverage=least,
        latency=latency,
    )
    for _ in range(answers):
        policy.on_answer(100.02)
    for _ in range(failures):
        policy.on_failure(100.02)
    return policy


# 0.09 s is before the stop time of 0.095 s, 0.5 s is not.
@pytest.mark.parametrize(
    ("kind", "answers", "failures", "slow", "elapsed", "stops"),
    [
        ("complete", 9, 0, 0.5, 0.99, False),
        ("complete", 9, 0, 0.5, 1.0, True),
        ("complete", 9, 1, 0.5, 0.03, True),
        ("deadline", 10, 0, 0.5, 0.03, True),
        ("deadline", 9, 1, 0.5, 0.03, True),
        ("deadline", 9, 0, 0.5, 0.05, False),
        ("deadline", 9, 0, 0.5, 0.06, True),
        ("deadline", 9, 0, 0.09, 0.06, False),
        ("deadline", 9, 0, 0.09, 0.0951, True),
        ("deadline", 4, 0, 0.5, 0.99, False),
        ("deadline", 4, 6, 0.5, 0.03, True),
        ("deadline", 4, 0, 0.5, 1.0, True),
    ],
)
def test_when_the_wait_ends(kind, answers, failures, slow, elapsed, stops):
    policy = policy_of(kind, answers=answers, failures=failures, latency=latencies(slow))
    assert policy.stop_waiting(100.0 + elapsed) == stops


def test_deadline_policy_without_samples_waits_until_the_target():
    policy = policy_of("deadline", answers=9, latency=LateShardLatencies())
    assert not policy.stop_waiting(100.09)
    assert policy.stop_waiting(100.0951)


def test_exploring_queries_detect_a_slower_fleet():
    latency = latencies(math.inf)
    stops = []
    for _ in range(3000):
        policy = policy_of("deadline", answers=5, latency=latency)
        stopped = policy.stop_waiting(100.07)
        stops.append(stopped)
        if not stopped:
            for _ in range(5):
                policy.on_answer(100.08)
            assert policy.stop_waiting(100.08)
    assert stops[:200].count(False) == 1
    assert not any(stops[-100:])


def test_deadline_policy_stops_early_if_late_shards_never_answer():
    latency = LateShardLatencies()
    for _ in range(10):
        policy = policy_of("deadline", answers=5, latency=latency)
        policy.stop_waiting(100.07)
        assert policy.stop_waiting(100.096)
    assert policy_of("deadline", answers=5, latency=latency).stop_waiting(100.07)


@settings(derandomize=True, deadline=None)
@given(
    st.sampled_from(["deadline", "complete"]),
    st.lists(st.floats(0.0, 1.5), min_size=10, max_size=10),
    st.floats(0.0, 1.0),
    st.floats(0.01, 2.0),
    st.floats(0.0, 1e6),
    st.sampled_from([0.09, 0.5]),
)
def test_wait_ends_by_the_target_or_keeps_the_least_coverage(
    kind, answers, least, target, started, slow
):
    policy = policy_of(
        kind, answers=0, latency=latencies(slow), target=target, least=least, started=started
    )
    now, included, checks = started, 0, 0
    covered_at = started if least == 0.0 else math.inf
    answers = sorted(started + answer for answer in answers)
    while not policy.stop_waiting(now):
        check = policy.next_check(now)
        assert now < check <= started + 1.0
        if included < 10 and answers[included] <= check:
            now = max(now, answers[included])
            policy.on_answer(now)
            included += 1
            if included >= least * 10:
                covered_at = min(covered_at, now)
        else:
            now = check
            checks += 1
    assert checks <= 10
    assert now >= started + 1.0 or included >= least * 10
    if kind == "deadline":
        assert now <= max(started + 0.951 * target, covered_at)
    assert policy.next_check(now) is None


def test_unknown_kind_error_lists_the_allowed_kinds():
    with pytest.raises(ValueError, match="complete, deadline"):
        policy_of("never", answers=0, latency=LateShardLatencies())
