"""Guards against decision modules that cannot be created or that answer nonsense when idle."""

import pytest

from filbertreach.entry._admission import Admit, QueryFacts, Refuse, make_admission
from filbertreach.timing import FakeClock

QUERY = QueryFacts("shop", "booking", 0, "hotel", 1.0, ("fleet",), 1.0, 0.1)


@pytest.mark.parametrize("policy", ["queue_estimate", "static_limit", "none"])
def test_idle_process_admits(policy):
    admission = make_admission(policy=policy, max_queries=10, clock=FakeClock())
    admitted = admission.decide(QUERY, 0.0)
    assert isinstance(admitted, Admit)
    admission.on_finished(admitted, 0.01, "answered", 0.01)


def test_unknown_policy_names_the_known_ones():
    with pytest.raises(ValueError, match="none, queue_estimate, static_limit"):
        make_admission(policy="best", max_queries=10, clock=FakeClock())


@pytest.mark.parametrize("policy", ["queue_estimate", "static_limit"])
def test_full_process_refuses(policy):
    admission = make_admission(policy=policy, max_queries=10, clock=FakeClock())
    decisions = [admission.decide(QUERY, 0.0) for _ in range(11)]
    assert isinstance(decisions[-1], Refuse)
    assert decisions[-1].retry_after_seconds > 0
