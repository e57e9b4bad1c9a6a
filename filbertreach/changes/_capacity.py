"""How much slower a service gets when it loses slots or gains load."""

import math

_QUANTILE = 0.99
"""Targets and the slowdown bound are written for the 99th percentile."""
_MOST_SERVICE_TIMES = 1e6
"""Upper end of the search for the quantile, in mean service times."""
_SEARCH_STEPS = 100
"""Halvings of that range; far below the precision of the load figures."""


def slowdown_ratio(
    *, slots_before: int, slots_after: int, load_before: float, load_after: float
) -> float:
    """Returns p99 of latency after a change divided by p99 before it.

    Waiting and service together in an M/M/c queue (Erlang C; A. K. Erlang, "Solution of some
    problems in the theory of probabilities of significance in automatic telephone exchanges",
    1917). One service is one queue with as many servers as its leaves have slots.

    Args:
        slots_before: Slots of the service without the change.
        slots_after: Slots while the change lasts.
        load_before: Offered load in slots, that is slots in use on average.
        load_after: Offered load while the change lasts.

    Returns:
        The ratio, at least 1; infinity if the load does not fit into the remaining slots.
    """
    after = _quantile(slots_after, load_after)
    before = _quantile(slots_before, load_before)
    if math.isinf(after) or math.isinf(before):
        return math.inf
    return max(1.0, after / before)


def _quantile(slots: int, load: float) -> float:
    """Latency quantile in mean service times."""
    if slots < 1 or load >= slots:
        return math.inf
    waiting = _erlang_c(slots, load)
    low, high = 0.0, _MOST_SERVICE_TIMES
    for _ in range(_SEARCH_STEPS):
        middle = (low + high) / 2
        if _longer_than(middle, slots, load, waiting) > 1 - _QUANTILE:
            low = middle
        else:
            high = middle
    return high


def _erlang_c(slots: int, load: float) -> float:
    """Probability that a call waits, by the stable recursion over Erlang B."""
    blocked = 1.0
    for count in range(1, slots + 1):
        blocked = load * blocked / (count + load * blocked)
    return blocked / (1 - load / slots * (1 - blocked))


def _longer_than(time: float, slots: int, load: float, waiting: float) -> float:
    """Probability that waiting and service together take longer than `time`."""
    spare = slots - load
    if math.isclose(spare, 1.0):
        return math.exp(-time) * (1 + waiting * time)
    both = (math.exp(-time) - math.exp(-spare * time)) / (spare - 1)
    return (1 - waiting) * math.exp(-time) + waiting * (math.exp(-spare * time) + both)
