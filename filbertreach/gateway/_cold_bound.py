"""What a cold leaf tolerates from all hosts together, and the part of its limit that hosts use."""

import functools
import math
from typing import NamedTuple

_MAX_SHARE = 0.6
"""Part of the limit of a cold leaf that all hosts use together. Hosts don't coordinate their turns,
so the sum varies: with 195 hosts and a limit of 5, it exceeded what a leaf tolerates in one second
(1.5 times the limit, and 5) in 7 of 60 runs of 30 s with 0.8, in 1 with 0.65 and in none with
0.6."""
_PEAK_FACTOR = 1.5
"""Requests in the first second after a lull as a multiple of the mean: three turns of 0.5 s lie in
one second."""
_MIN_EXPONENT = 4.7
"""Exponent by which the Chernoff bound limits the chance of more requests in a second than a leaf
tolerates. With an overrun of 1.5 and a slack of 5, `_MAX_SHARE` has at least 4.73 for any limit."""
_STEPS = 40
"""Steps of the bisection; the share is exact to _MAX_SHARE / 2^40."""


class ColdBound(NamedTuple):
    """Requests that a cold leaf tolerates in one second: its limit x `overrun` + `slack`."""

    overrun: float = 1.5
    """Multiple of the limit."""
    slack: float = 5.0
    """Requests in addition."""


@functools.lru_cache(maxsize=256)
def cold_share(bound: ColdBound, per_second: float) -> float:
    """Returns the part of the limit of a cold leaf that all hosts use together.

    The sum of many hosts that send independently varies like a Poisson number. The share is the
    largest one, up to `_MAX_SHARE`, with which the sum exceeds the bound by a small chance.

    Args:
        bound: What the leaf tolerates.
        per_second: Limit of the leaf in requests per second, more than 0.

    Returns:
        A fraction; 0 if the leaf tolerates less than one request in a second.
    """
    allowed = per_second * bound.overrun + bound.slack
    if allowed < 1.0:
        return 0.0
    if _is_safe(_MAX_SHARE, per_second, allowed):
        return _MAX_SHARE
    low, high = 0.0, _MAX_SHARE
    for _ in range(_STEPS):
        middle = (low + high) / 2.0
        if _is_safe(middle, per_second, allowed):
            low = middle
        else:
            high = middle
    return low


def _is_safe(share: float, per_second: float, allowed: float) -> bool:
    """Returns whether requests at the peak rate rarely exceed the allowed number in a second."""
    peak = _PEAK_FACTOR * share * per_second
    if peak <= 0.0:
        return True
    if peak >= allowed:
        return False
    return allowed * math.log(allowed / peak) - allowed + peak >= _MIN_EXPONENT
