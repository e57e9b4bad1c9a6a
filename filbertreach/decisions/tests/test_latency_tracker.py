"""Tests that quantiles are accurate and not based on too few or too old samples."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from filbertreach.decisions._latency import LatencyTracker


@settings(derandomize=True, deadline=None, max_examples=100)
@given(
    samples=st.lists(st.floats(1e-4, 60.0), min_size=20, max_size=200),
    q=st.floats(0.01, 1.0),
)
def test_quantile_is_near_a_sample_of_its_rank(samples, q):
    tracker = LatencyTracker()
    for seconds in samples:
        tracker.record(seconds, 0.0)
    ordered = sorted(samples)
    exact = ordered[max(1, -int(-q * len(ordered) // 1)) - 1]
    assert tracker.quantile(q) == pytest.approx(exact, rel=0.026)


def test_few_samples_give_no_quantile_and_old_ones_are_dropped():
    tracker = LatencyTracker(window_seconds=10.0, slices=5, min_samples=20)
    for number in range(19):
        tracker.record(1.0, number * 0.01)
    assert tracker.quantile(0.5) is None
    tracker.record(1.0, 0.2)
    assert tracker.quantile(0.5) == pytest.approx(1.0, rel=0.026)
    for number in range(200):
        tracker.record(0.1, 5.0 + number * 0.1)
    assert tracker.quantile(1.0) == pytest.approx(0.1, rel=0.026)
    assert tracker.count <= 120


def test_idle_service_keeps_its_last_samples():
    tracker = LatencyTracker(window_seconds=1.0, min_samples=20)
    for _ in range(30):
        tracker.record(1.0, 0.0)
    for number in range(10):
        tracker.record(1.0, 100.0 * (number + 1))
    assert tracker.quantile(0.5) is not None
