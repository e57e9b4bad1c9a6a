"""Tests that hedges keep to their budget, are few in a slow fleet and never repeat other work."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from experiments.dispatch_decisions import stragglers, whole_fleet_slow
from filbertreach.decisions._hedging import HedgeBudget, HedgeDelay, may_hedge


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    share=st.sampled_from([0.0, 0.01, 0.05, 0.3]),
    steps=st.lists(st.sampled_from(["first", "slow", "take"]), max_size=500),
)
def test_budget_is_never_exceeded(share, steps):
    budget = HedgeBudget(share=share)
    first, taken = 0, 0
    for step in steps:
        if step == "take":
            taken += budget.try_take()
        else:
            first += 1
            budget.record_first_call(slow=step == "slow")
        assert taken <= share * first + (2 if share else 0) + 1e-6


def test_first_calls_refill_the_budget():
    budget = HedgeBudget(share=0.05)
    assert [budget.try_take() for _ in range(3)] == [True, True, False]
    for _ in range(20):
        budget.record_first_call()
    assert budget.try_take() and not budget.try_take()


def record_calls(delay, latency, start, seconds, per_second=50):
    source = random.Random(1)
    for number in range(int(seconds * per_second)):
        delay.record_first_call()
        delay.record(latency * source.uniform(0.9, 1.1), start + number / per_second)
    return start + seconds


def test_delay_follows_the_latency_and_is_at_least_a_multiple_of_the_median():
    delay = HedgeDelay(quantile=0.95)
    assert delay.seconds() is None
    now = record_calls(delay, 0.01, 0.0, 10.0)
    assert delay.seconds() == pytest.approx(0.015, rel=0.05)
    assert delay.seconds(attempt=2) == pytest.approx(0.01, rel=0.05)
    record_calls(delay, 0.02, now, 10.0)
    assert delay.seconds() == pytest.approx(0.03, rel=0.1)


def test_slow_service_is_detected_until_latency_is_normal():
    delay = HedgeDelay(quantile=0.95)
    now = record_calls(delay, 0.01, 0.0, 10.0)
    assert not delay.is_slow
    now = record_calls(delay, 0.1, now, 60.0)
    assert delay.is_slow
    record_calls(delay, 0.01, now, 5.0)
    assert not delay.is_slow


def test_many_overdue_calls_stop_hedges_before_any_answer_shows_why():
    delay = HedgeDelay(quantile=0.95)
    record_calls(delay, 0.01, 0.0, 5.0)
    allowed = 0
    for _ in range(30):
        delay.record_first_call()
        allowed += delay.record_overdue()
    assert 0 < allowed <= 12
    for _ in range(100):
        delay.record_first_call()
    assert delay.record_overdue()


@pytest.mark.parametrize(
    ("idempotent", "attempts", "remaining", "expected"),
    [
        (True, 1, 1.0, True),
        (True, 2, 1.0, True),
        (True, 3, 1.0, False),
        (True, 1, 0.005, False),
        (False, 1, 1.0, False),
        (False, 0, 1.0, False),
    ],
)
def test_may_hedge(idempotent, attempts, remaining, expected):
    assert expected is may_hedge(
        idempotent=idempotent,
        attempts=attempts,
        max_attempts=3,
        remaining_seconds=remaining,
        min_remaining_seconds=0.01,
    )


def test_stragglers_at_fan_out_100():
    figures = stragglers(seed=3, queries=200)
    assert figures["p99_ratio"] <= 1 / 3
    assert figures["extra_share"] <= 0.05


@pytest.mark.parametrize("sigma", [0.15, 0.8])
def test_extra_calls_in_a_slow_fleet(sigma):
    assert whole_fleet_slow(seed=3, sigma=sigma)["extra_share_slow_time"] < 0.02
