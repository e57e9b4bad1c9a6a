"""Tests that the limit neither overloads a leaf, exceeds its connections nor stays too low."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from filbertreach.decisions._limits import ConcurrencyLimit, connection_share
from filbertreach.document import Pool


@pytest.mark.parametrize(
    ("slots", "connections", "expected"),
    [(2, 25, 4), (2, 4, 2), (4, 100, 8), (4, 15, 5), (4, 9, 4)],
)
def test_connection_share(slots, connections, expected):
    assert connection_share(Pool("p", slots, connections, 1.0)) == expected


def record_answers(limit, count, latency, start, step=0.01):
    """Records answers at the limit with `latency(limit)`; returns the time of the last one."""
    now = start
    for _ in range(count):
        now += step
        limit.record_success(latency(limit.limit), limit.limit, now)
    return now


def test_refusals_lower_the_limit_and_answers_raise_it_to_the_slots():
    limit = ConcurrencyLimit(pool=Pool("p", 4, 12, 1.0))
    for now in range(20):
        limit.record_refusal(float(now))
    assert limit.limit == 1
    record_answers(limit, 30, lambda _: 0.01, 20.0)
    assert limit.limit < 4
    record_answers(limit, 300, lambda _: 0.01, 21.0)
    assert limit.limit == 4


def test_refusals_at_the_same_time_lower_the_limit_once():
    limit = ConcurrencyLimit(pool=Pool("p", 8, 24, 1.0))
    for _ in range(8):
        limit.record_refusal(1.0)
    assert limit.limit == 5


@pytest.mark.parametrize(
    ("real_slots", "network_seconds", "expected"),
    [(4, 0.0, 4), (4, 0.04, 8), (8, 0.0, 8)],
)
def test_limit_adapts_to_the_capacity_of_the_leaf(real_slots, network_seconds, expected):
    """A leaf in another region, or with more slots than configured, takes more calls at once."""
    limit = ConcurrencyLimit(pool=Pool("p", 4, 100, 1.0))

    def latency(in_flight):
        return max(0.01 + network_seconds, 0.01 * in_flight / real_slots)

    record_answers(limit, 40_000, latency, 0.0)
    assert limit.limit == expected


def test_slow_work_does_not_lower_the_limit_below_the_slots():
    limit = ConcurrencyLimit(pool=Pool("p", 4, 12, 1.0))
    now = record_answers(limit, 500, lambda _: 0.01, 0.0)
    record_answers(limit, 5000, lambda _: 0.1, now)
    assert limit.limit == 4


@settings(derandomize=True, deadline=None, max_examples=100)
@given(
    steps=st.lists(
        st.tuples(st.booleans(), st.floats(0.001, 1.0), st.integers(1, 10)), max_size=400
    )
)
def test_limit_stays_between_one_and_the_connection_share(steps):
    pool = Pool("p", 2, 12, 1.0)
    limit = ConcurrencyLimit(pool=pool)
    now = 0.0
    for refused, latency, in_flight in steps:
        now += 1.0
        if refused:
            limit.record_refusal(now)
        else:
            limit.record_success(latency, in_flight, now)
        assert 1 <= limit.limit <= connection_share(pool)
