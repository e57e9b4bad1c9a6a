"""Guards against hedges that come too late, or long before they are needed."""

import pytest

from filbertreach.gateway._route_latencies import RouteLatencies

_LEFT = 0.23
"""Time to the target when the first attempt is sent, in seconds."""


def _latencies(attempts: dict[float, int], extras: dict[float, int]) -> RouteLatencies:
    latencies = RouteLatencies()
    for extra, count_by_seconds in ((False, attempts), (True, extras)):
        for seconds, count in count_by_seconds.items():
            for _ in range(count):
                latencies.record(seconds, 1.0, extra=extra)
    return latencies


@pytest.mark.parametrize(
    ("attempts", "extras", "left", "least", "most"),
    [
        # Nothing is known yet.
        ({}, {}, _LEFT, 0.06, 0.08),
        # Calm: as late as a second leaf still answers, after most pauses have ended.
        ({0.04: 1000}, {0.08: 30}, _LEFT, 0.14, 0.16),
        # The same while no second leaf has answered.
        ({0.04: 1000}, {}, _LEFT, 0.18, 0.2),
        # A third of the leaves are slow: a hedge at 0.6 of the objective came too late.
        ({0.04: 700, 0.34: 300}, {0.1: 20, 0.34: 20}, _LEFT, 0.05, 0.07),
        # The hedge was sent to a slow leaf as well, or the target has passed.
        ({0.04: 700, 0.34: 300}, {0.1: 40}, 0.1, 0.05, 0.07),
        ({0.04: 700, 0.34: 300}, {0.1: 40}, -0.5, 0.05, 0.07),
        # All leaves are slow: more calls would not help.
        ({0.3: 1000}, {0.34: 40}, _LEFT, 0.4, 0.5),
    ],
)
def test_when_a_hedge_is_sent(
    attempts: dict[float, int],
    extras: dict[float, int],
    left: float,
    least: float,
    most: float,
) -> None:
    assert least <= _latencies(attempts, extras).hedge_seconds(left) <= most
