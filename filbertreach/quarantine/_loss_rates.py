"""Rate at which leaves are lost for reasons other than the request that they run."""

import collections
import math
from collections.abc import Collection
from typing import NamedTuple

from filbertreach.quarantine._loss_count import LeafProcess

_WINDOW_SECONDS = 10.0
"""Time over which calls and losses are counted; leaves that end for another reason mostly do so
together, within seconds."""
_MAX_LOSSES = 2_000
"""Losses that are kept. If there are more, leaves clearly end for other reasons."""
_ASSUMED_LOSSES = 1.0
"""Losses counted in addition to those observed; see `_ASSUMED_CALLS`."""
_ASSUMED_CALLS = 100.0
"""Calls counted in addition to those observed. A host that has just started, or that serves
few requests, must not take the first losses for unusual: it assumes 1 loss in 100 calls."""
_EXCESS_FACTOR = 3.0
"""Multiple of the general rate which losses have to exceed beyond chance. Leaves that end by
themselves do so unevenly: the data centre or the service of a request may have more than others."""
_MAX_FALSE_POSITIVES = 0.1
"""Largest expected number of requests in the window that reach as many losses by chance, with
which losses count as excessive."""


class _Second(NamedTuple):
    """Calls and requests of one second."""

    number: int
    """Clock at its start, in whole seconds."""
    calls: int
    """Calls sent."""
    requests: int
    """Requests begun."""


class _Loss(NamedTuple):
    """A leaf lost for another reason than the request."""

    until: float
    """Clock until which the loss counts, in seconds."""
    process: LeafProcess
    """The leaf."""


class LossRates:
    """Calls, and losses that have nothing to do with the request, of the last seconds."""

    def __init__(self) -> None:
        """Creates rates without observations."""
        self._seconds: collections.deque[_Second] = collections.deque()
        self._losses: collections.deque[_Loss] = collections.deque(maxlen=_MAX_LOSSES)

    def count_calls(self, calls: int, now: float, *, requests: int = 0) -> None:
        """Counts calls and new requests.

        Args:
            calls: Number of calls.
            now: Current clock, in seconds.
            requests: Number of requests that begin with these calls.
        """
        number = math.floor(now)
        last = self._seconds[-1] if self._seconds else None
        if last is not None and last.number == number:
            self._seconds[-1] = _Second(number, last.calls + calls, last.requests + requests)
        else:
            self._seconds.append(_Second(number, calls, requests))
            self._remove_expired(now)

    def record_loss(
        self, process: LeafProcess, now: float, *, seconds: float = _WINDOW_SECONDS
    ) -> None:
        """Records the loss of a leaf under a request that other leaves have run, or under none.

        Args:
            process: The leaf.
            now: Clock of the loss, in seconds.
            seconds: Time for which it counts, in seconds.
        """
        self._losses.append(_Loss(now + seconds, process))

    def count_losses(self, *, explained: Collection[LeafProcess], now: float) -> int:
        """Returns the number of losses that count now.

        Args:
            explained: Leaves whose losses don't count.
            now: Current clock, in seconds.
        """
        return sum(loss.until > now and loss.process not in explained for loss in self._losses)

    def is_excessive(
        self, losses: int, attempts: int, *, explained: Collection[LeafProcess], now: float
    ) -> bool:
        """Returns whether losses under a request are far above what happens to any request.

        Args:
            losses: Leaves lost under the request.
            attempts: Calls sent for it.
            explained: Leaves whose end has a known cause; their losses are no sign of a general
                rate.
            now: Current clock, in seconds.
        """
        self._remove_expired(now)
        general = self.count_losses(explained=explained, now=now)
        calls = max(0, sum(second.calls for second in self._seconds) - attempts)
        requests = sum(second.requests for second in self._seconds)
        rate = (general + _ASSUMED_LOSSES) / (calls + general + _ASSUMED_CALLS)
        chance = _poisson_tail(losses, _EXCESS_FACTOR * max(attempts, losses) * rate)
        return max(1, requests) * chance < _MAX_FALSE_POSITIVES

    def _remove_expired(self, now: float) -> None:
        while self._seconds and self._seconds[0].number < now - _WINDOW_SECONDS:
            self._seconds.popleft()


def _poisson_tail(count: int, mean: float) -> float:
    """Returns the probability of at least `count` events where `mean` are expected."""
    if count <= mean:
        return 1.0
    # Sums the tail itself: the complement of the other terms would lose all digits.
    log_term = count * math.log(mean) - mean - math.lgamma(count + 1)
    term = total = math.exp(log_term)
    while term > total * 1e-9:
        count += 1
        term *= mean / count
        total += term
    return total
