"""Estimate of the slowdown of a service that loses slots or gains load."""

import math

_QUANTILE = 0.99
"""Latency targets and the slowdown bound apply to the 99th percentile."""
_MAX_SERVICE_TIMES = 1e6
"""Upper bound of the search for the quantile, in mean service times."""
_BISECTION_STEPS = 100
"""Bisections of that range; the resulting error is far below that of the load figures."""


def slowdown_ratio(
    *, slots_before: int, slots_after: int, load_before: float, load_after: float
) -> float:
    """Returns the p99 latency after a change divided by the p99 latency before it.

    The latency is the sum of waiting and service time in an M/M/c queue (Erlang C; A. K. Erlang,
    "Solution of some problems in the theory of probabilities of significance in automatic telephone
    exchanges", 1917). A service is modelled as one queue; its servers are the slots of its leaves.

    Args:
        slots_before: Slots of the service without the change.
        slots_after: Slots of the service during the change.
        load_before: Offered load without the change, as the mean number of slots in use.
        load_after: Offered load during the change, in the same unit.

    Returns:
        The ratio, at least 1; infinity if the load exceeds the capacity before or after the change.
    """
    after = _latency_quantile(slots_after, load_after)
    before = _latency_quantile(slots_before, load_before)
    if math.isinf(after) or math.isinf(before):
        return math.inf
    return max(1.0, after / before)


def _latency_quantile(slots: int, load: float) -> float:
    """Returns the latency quantile, in mean service times; infinity if the queue is unstable."""
    if slots < 1 or load >= slots:
        return math.inf
    waiting = _erlang_c(slots, load)
    low, high = 0.0, _MAX_SERVICE_TIMES
    for _ in range(_BISECTION_STEPS):
        middle = (low + high) / 2
        if _probability_longer_than(middle, slots, load, waiting) > 1 - _QUANTILE:
            low = middle
        else:
            high = middle
    return high


def _erlang_c(slots: int, load: float) -> float:
    """Returns the probability that a call waits (Erlang C).

    Computed from the recursion for Erlang B, which is numerically stable.
    """
    blocked = 1.0
    for count in range(1, slots + 1):
        blocked = load * blocked / (count + load * blocked)
    return blocked / (1 - load / slots * (1 - blocked))


def _probability_longer_than(time: float, slots: int, load: float, waiting: float) -> float:
    """Returns the probability that waiting and service together exceed `time`.

    Args:
        time: Latency in mean service times.
        slots: Number of servers.
        load: Mean number of servers in use.
        waiting: Probability that a call waits.
    """
    spare = slots - load
    if math.isclose(spare, 1.0):
        return math.exp(-time) * (1 + waiting * time)
    both = (math.exp(-time) - math.exp(-spare * time)) / (spare - 1)
    return (1 - waiting) * math.exp(-time) + waiting * (math.exp(-spare * time) + both)
