"""Tests fair shares of clients: one that sends more than its share must not take that of others."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from filbertreach.decisions import FairShare, ShareDecision, fair_level


def test_level_of_an_earlier_overload_is_discarded():
    fair_share = FairShare()
    for step in range(100):
        fair_share.record_arrival("flood", 1.0, 1.0, step * 0.001)
    fair_share.record_full(0.1)
    decisions = [
        fair_share.record_arrival("flood", 1.0, 1.0, 0.1 + step * 0.001) for step in range(1, 5)
    ]
    assert decisions[1:] == [ShareDecision.THROTTLED] * 3
    assert fair_share.record_arrival("flood", 1.0, 1.0, 2.0) is not ShareDecision.THROTTLED
    assert not fair_share.limiting


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.tuples(st.floats(0.1, 100), st.floats(0.1, 10)), min_size=1, max_size=10),
    st.floats(0.1, 500),
)
def test_fair_level_uses_the_capacity(demands, capacity):
    level = fair_level(demands, capacity)
    used = sum(min(rate, weight * level) for rate, weight in demands)
    if math.isinf(level):
        assert used <= capacity * (1 + 1e-9)
    else:
        assert used == pytest.approx(capacity)
