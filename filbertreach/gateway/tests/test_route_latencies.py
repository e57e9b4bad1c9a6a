"""Hedging delay: hedges must be neither too late nor sent long before they are needed."""

import pytest

from filbertreach.gateway._route_latencies import RouteLatencies

_TARGET_IN_SECONDS = 0.23
"""Time to the target when the first attempt is sent, in seconds."""


def _latencies(attempts: dict[float, int], extras: dict[float, int]) -> RouteLatencies:
    latencies = RouteLatencies()
    for extra, count_by_seconds in ((False, attempts), (True, extras)):
        for seconds, count in count_by_seconds.items():
            for _ in range(count):
                latencies.record(seconds, 1.0, extra=extra)
    return latencies


@pytest.mark.parametrize(
    ("attempts", "extras", "target_in_seconds", "min_delay", "max_delay"),
    [
        # No latencies are known yet.
        ({}, {}, _TARGET_IN_SECONDS, 0.06, 0.08),
        # Normal operation: as late as another leaf still answers in time, after most pauses.
        ({0.04: 1000}, {0.08: 30}, _TARGET_IN_SECONDS, 0.14, 0.16),
        # The same while no extra attempt has been answered.
        ({0.04: 1000}, {}, _TARGET_IN_SECONDS, 0.18, 0.2),
        # A third of the leaves are slow: a hedge at 0.6 of the objective would be too late.
        ({0.04: 700, 0.34: 300}, {0.1: 20, 0.34: 20}, _TARGET_IN_SECONDS, 0.05, 0.07),
        # The hedge went to a slow leaf as well, or the target has passed.
        ({0.04: 700, 0.34: 300}, {0.1: 40}, 0.1, 0.05, 0.07),
        ({0.04: 700, 0.34: 300}, {0.1: 40}, -0.5, 0.05, 0.07),
        # All leaves are slow: more calls do not help.
        ({0.3: 1000}, {0.34: 40}, _TARGET_IN_SECONDS, 0.4, 0.5),
    ],
)
def test_hedge_delay(
    attempts: dict[float, int],
    extras: dict[float, int],
    target_in_seconds: float,
    min_delay: float,
    max_delay: float,
) -> None:
    assert (
        min_delay
        <= _latencies(attempts, extras).hedge_delay_seconds(target_in_seconds)
        <= max_delay
    )
