"""The part of the limit of a cold leaf that hosts use, by the bound that the settings state."""

import bisect
import random

import pytest

from filbertreach.gateway._cold_bound import ColdBound, cold_share
from filbertreach.gateway._request_limit import RequestLimit
from filbertreach.gateway._request_turns import TurnSchedule

_SECONDS = 30.0


@pytest.mark.parametrize("bound", [ColdBound(), ColdBound(1.5, 20.0), ColdBound(4.0, 5.0)])
def test_the_usual_bound_and_wider_ones_give_the_usual_share(bound: ColdBound) -> None:
    # Guards against deployments without the settings that send another number than before.
    assert {cold_share(bound, 0.1 * number) for number in range(1, 5000)} == {0.6}


def test_the_share_falls_with_the_bound() -> None:
    shares = [cold_share(ColdBound(1.0, slack), 10.0) for slack in (10.0, 5.0, 2.0, 0.0)]
    assert shares == sorted(shares, reverse=True) and 0.0 < shares[-1] < 0.3
    assert cold_share(ColdBound(0.5, 0.0), 1.9) == 0.0


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(
    ("bound", "per_second"),
    [
        (ColdBound(1.0, 0.0), 10.0),
        (ColdBound(1.0, 2.0), 5.0),
        (ColdBound(1.2, 0.0), 50.0),
        (ColdBound(1.0, 1.0), 2.0),
    ],
)
@pytest.mark.parametrize("hosts", [8, 195])
def test_a_cold_leaf_gets_no_more_than_a_narrow_bound_allows(
    hosts: int, bound: ColdBound, per_second: float, seed: int
) -> None:
    # Guards against the share of the usual bound where the settings state a narrower one.
    random.seed(seed)
    rng = random.Random(seed)
    times = []
    for _ in range(hosts):
        limit = RequestLimit(
            leaf="a", service="fleet", hosts=hosts, schedule=TurnSchedule(), cold_bound=bound
        )
        limit.cold_per_second = per_second
        limit.on_cold(_SECONDS, now=0.0)
        now = 0.0
        while (now := now + rng.expovariate(10.0)) < _SECONDS:
            if limit.available_at(now) <= now:
                limit.count_call("first", now)
                times.append(now)
    times.sort()
    most = max(bisect.bisect_left(times, at + 1.0) - n for n, at in enumerate(times or [0.0]))
    assert most <= bound.overrun * per_second + bound.slack
