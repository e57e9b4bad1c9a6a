"""Weighted max-min shares of clients.

Follows core-stateless fair queueing (Stoica, Shenker and Zhang, SIGCOMM 1998): each client's
offered rate is estimated by exponential averaging, and while the resource is congested a query is
passed with the probability min(1, weight * level / rate). One level for all clients gives weighted
max-min shares: a client below its share loses nothing, and what it leaves goes to the others. The
level is regulated by how full the resource is.
"""

import enum
import math
from collections import OrderedDict

_RATE_SECONDS = 0.3
"""Averaging time of the offered rates; several intervals between a flooding client's queries."""
_IDLE_SECONDS = 5.0
"""A client without queries for this long is forgotten."""
_MAX_CLIENTS = 1024
"""Clients of one rank that are told apart; the one that was idle longest is forgotten first."""
_LEVEL_SECONDS = 0.05
"""Time between two adjustments of the level."""
_OCCUPANCY = 0.85
"""Occupancy that the level aims at. The rest is room for clients below their share."""
_GAIN = 0.5
"""Relative change of the level for one adjustment at an occupancy error of 100%."""
_STALE_SECONDS = 1.0
"""A level that was not adjusted for this long says nothing; no query met congestion meanwhile."""
_RELEASE_FACTOR = 2.0
"""Shares end when the level is this many times the highest rate, so that no client is held back."""
_LEAST_WEIGHT = 0.001
"""Weight of a client whose share is 0; it must not starve."""
_RETRY_SECONDS = 0.1
"""Delay before a new try of a client at its share; grows with the excess over the share."""
_MOST_CREDIT = 2.0
"""Queries that a client may send at once after it was below its share."""


class Standing(enum.Enum):
    """How a query's client stands to its share of a resource."""

    HELD_BACK = enum.auto()
    """The client has used its share."""
    PASSED = enum.auto()
    """The query may use the resource as far as it is free."""
    BELOW_SHARE = enum.auto()
    """Others are held back for this client; the resource makes room for it."""


class _ClientRate:
    """Offered rate of one client."""

    __slots__ = ("credit", "last", "rate", "weight")

    def __init__(self, now: float, weight: float) -> None:
        self.rate = 0.0
        self.weight = weight
        self.last = now
        self.credit = 1.0

    def arrive(self, now: float) -> None:
        gap = max(now - self.last, 1e-6)
        decay = math.exp(-gap / _RATE_SECONDS)
        self.rate = (1.0 - decay) / gap + decay * self.rate
        self.last = now


def fair_level(demands: list[tuple[float, float]], capacity: float) -> float:
    """Finds the level at which the clients' limited demands use the capacity (water filling).

    Args:
        demands: Offered rate and weight of each client; weights above 0.
        capacity: Rate to share out, in the unit of the offered rates.

    Returns:
        The level L with sum(min(rate, weight * L)) = capacity, or infinity if all demands fit.
    """
    weight_left = sum(weight for _, weight in demands)
    left = capacity
    for rate, weight in sorted(demands, key=lambda demand: demand[0] / demand[1]):
        level = left / weight_left
        if rate / weight > level:
            return max(level, 0.0)
        left -= rate
        weight_left -= weight
    return math.inf


class FairShare:
    """Passes or holds back the queries of clients that use one congested resource."""

    def __init__(self) -> None:
        """Starts without clients and without congestion."""
        self._clients: OrderedDict[str, _ClientRate] = OrderedDict()
        self._level = math.inf
        self._adjusted = 0.0
        self._accepted = 0.0
        self._accepted_at = 0.0

    @property
    def limiting(self) -> bool:
        """Whether clients above their share are held back."""
        return self._level != math.inf

    def arrive(self, client: str, weight: float, occupancy: float, now: float) -> Standing:
        """Counts a query and compares its client with the client's share.

        Args:
            client: Client name.
            weight: Weight of the client.
            occupancy: Used part of the resource, 0 to 1.
            now: Time in seconds.

        Returns:
            Whether the query is to be held back, passes, or is of a client below its share.
        """
        state = self._clients.get(client)
        if state is None:
            state = self._clients[client] = _ClientRate(now, weight)
            if len(self._clients) > _MAX_CLIENTS:
                self._clients.popitem(last=False)
        else:
            self._clients.move_to_end(client)
        state.weight = max(weight, _LEAST_WEIGHT)
        state.arrive(now)
        if self._level == math.inf:
            return Standing.PASSED
        self._adjust(occupancy, now)
        chance = min(1.0, state.weight * self._level / state.rate)
        state.credit = min(state.credit + chance, _MOST_CREDIT)
        if state.credit < 1.0:
            return Standing.HELD_BACK
        state.credit -= 1.0
        return Standing.BELOW_SHARE if chance == 1.0 else Standing.PASSED

    def accept(self, now: float) -> None:
        """Counts a query that was admitted.

        Args:
            now: Time in seconds.
        """
        self._accepted = self._accepted_rate(now) + 1.0 / _RATE_SECONDS
        self._accepted_at = now

    def full(self, now: float) -> None:
        """Notes that a query was refused because the resource is full.

        Args:
            now: Time in seconds.
        """
        if self._level == math.inf:
            self._forget_idle(now)
            demands = [(state.rate, state.weight) for state in self._clients.values()]
            self._level = fair_level(demands, self._accepted_rate(now))
            self._adjusted = now

    def retry_after(self, client: str) -> float:
        """Returns a delay in seconds after which a new try adds little to a client's excess."""
        state = self._clients.get(client)
        if state is None or not self.limiting:
            return 0.0
        return _RETRY_SECONDS * state.rate / max(state.weight * self._level, 1e-6)

    def _accepted_rate(self, now: float) -> float:
        return self._accepted * math.exp(-(now - self._accepted_at) / _RATE_SECONDS)

    def _forget_idle(self, now: float) -> None:
        while self._clients:
            client, state = next(iter(self._clients.items()))
            if now - state.last < _IDLE_SECONDS:
                return
            del self._clients[client]

    def _adjust(self, occupancy: float, now: float) -> None:
        since = now - self._adjusted
        if since < _LEVEL_SECONDS:
            return
        if since > _STALE_SECONDS:
            self._level = math.inf
            return
        steps = since / _LEVEL_SECONDS
        self._adjusted = now
        error = (_OCCUPANCY - occupancy) / _OCCUPANCY
        self._level *= (1.0 + _GAIN * max(error, -1.0)) ** steps
        self._forget_idle(now)
        highest = max(state.rate / state.weight for state in self._clients.values())
        if self._level > _RELEASE_FACTOR * highest:
            self._level = math.inf
