"""Weighted max-min fair shares of clients.

Follows core-stateless fair queueing (Stoica, Shenker and Zhang, SIGCOMM 1998): each client's
arrival rate is estimated by exponential averaging, and while the resource is congested a query
passes with the probability min(1, weight * level / rate). Using one level for all clients gives
weighted max-min shares: a client below its share loses nothing, and the capacity that it does not
use goes to the others. The level is controlled by the occupancy of the resource.
"""

import enum
import math
from collections import OrderedDict

_RATE_AVERAGING_SECONDS = 0.3
"""Time constant of the arrival rates; several times the interval between an overloading client's
queries."""
_CLIENT_IDLE_TIMEOUT_SECONDS = 5.0
"""The state of a client without queries for this long is removed."""
_MAX_CLIENTS = 1024
"""Clients of one rank with a state of their own; beyond that the least recently active client is
removed."""
_LEVEL_UPDATE_INTERVAL_SECONDS = 0.05
"""Time between two updates of the level."""
_TARGET_OCCUPANCY = 0.85
"""Occupancy that the level is controlled to. The rest is headroom for clients below their share."""
_LEVEL_GAIN = 0.5
"""Relative change of the level per update at an occupancy error of 100%."""
_LEVEL_STALE_SECONDS = 1.0
"""A level without an update for this long is discarded: no query met congestion meanwhile."""
_RELEASE_FACTOR = 2.0
"""Limiting ends when the level exceeds the highest weighted rate by this factor, because then no
client is throttled."""
_MIN_WEIGHT = 0.001
"""Weight of a client whose share is 0, so that it does not starve."""
_BASE_RETRY_SECONDS = 0.1
"""Retry delay of a client at its share; grows with the excess over the share."""
_MAX_CREDIT = 2.0
"""Queries that a client may send in a burst after it was below its share."""


class ShareDecision(enum.Enum):
    """Result of comparing a client's arrival rate with its share of a resource."""

    THROTTLED = enum.auto()
    """The client has used up its share; the query is refused."""
    ALLOWED = enum.auto()
    """The query may use the resource as far as it is free."""
    BELOW_SHARE = enum.auto()
    """The client is below its share, so the query may also exceed the limit of the resource."""


class _ClientRate:
    """Arrival rate of one client."""

    __slots__ = ("credit", "last_arrival", "rate", "weight")

    def __init__(self, now: float, weight: float) -> None:
        self.rate = 0.0
        self.weight = weight
        self.last_arrival = now
        self.credit = 1.0

    def record_arrival(self, now: float) -> None:
        gap = max(now - self.last_arrival, 1e-6)
        decay = math.exp(-gap / _RATE_AVERAGING_SECONDS)
        self.rate = (1.0 - decay) / gap + decay * self.rate
        self.last_arrival = now


def fair_level(demands: list[tuple[float, float]], capacity: float) -> float:
    """Finds the level at which the clients' limited demands use the capacity (water filling).

    Args:
        demands: Arrival rate and weight of each client; weights above 0.
        capacity: Rate to divide, in the unit of the arrival rates.

    Returns:
        The level L with sum(min(rate, weight * L)) = capacity, or infinity if all demands fit.
    """
    remaining_weight = sum(weight for _, weight in demands)
    remaining_capacity = capacity
    for rate, weight in sorted(demands, key=lambda demand: demand[0] / demand[1]):
        level = remaining_capacity / remaining_weight
        if rate / weight > level:
            return max(level, 0.0)
        remaining_capacity -= rate
        remaining_weight -= weight
    return math.inf


class FairShare:
    """Allows or throttles the queries of clients that share one congested resource."""

    def __init__(self) -> None:
        """Creates an instance without clients; limiting is off."""
        self._clients: OrderedDict[str, _ClientRate] = OrderedDict()
        self._level = math.inf
        self._level_updated_at = 0.0
        self._admitted_rate = 0.0
        self._admitted_at = 0.0

    @property
    def limiting(self) -> bool:
        """Whether clients above their share are throttled."""
        return self._level != math.inf

    def record_arrival(
        self, client: str, weight: float, occupancy: float, now: float
    ) -> ShareDecision:
        """Counts a query and compares its client's rate with the client's share.

        Args:
            client: Client name.
            weight: Weight of the client.
            occupancy: Used part of the resource, 0 to 1.
            now: Time in seconds.

        Returns:
            Whether the query is throttled, allowed, or from a client below its share.
        """
        state = self._clients.get(client)
        if state is None:
            state = self._clients[client] = _ClientRate(now, weight)
            if len(self._clients) > _MAX_CLIENTS:
                self._clients.popitem(last=False)
        else:
            self._clients.move_to_end(client)
        state.weight = max(weight, _MIN_WEIGHT)
        state.record_arrival(now)
        if self._level == math.inf:
            return ShareDecision.ALLOWED
        self._update_level(occupancy, now)
        pass_probability = min(1.0, state.weight * self._level / state.rate)
        state.credit = min(state.credit + pass_probability, _MAX_CREDIT)
        if state.credit < 1.0:
            return ShareDecision.THROTTLED
        state.credit -= 1.0
        return ShareDecision.BELOW_SHARE if pass_probability == 1.0 else ShareDecision.ALLOWED

    def record_admission(self, now: float) -> None:
        """Counts a query that was admitted.

        Args:
            now: Time in seconds.
        """
        self._admitted_rate = self._admitted_rate_at(now) + 1.0 / _RATE_AVERAGING_SECONDS
        self._admitted_at = now

    def record_full(self, now: float) -> None:
        """Starts limiting because a query was refused at a full resource.

        Args:
            now: Time in seconds.
        """
        if self._level == math.inf:
            self._remove_idle_clients(now)
            demands = [(state.rate, state.weight) for state in self._clients.values()]
            self._level = fair_level(demands, self._admitted_rate_at(now))
            self._level_updated_at = now

    def retry_after(self, client: str) -> float:
        """Returns a delay in seconds after which a retry adds little to a client's excess."""
        state = self._clients.get(client)
        if state is None or not self.limiting:
            return 0.0
        return _BASE_RETRY_SECONDS * state.rate / max(state.weight * self._level, 1e-6)

    def _admitted_rate_at(self, now: float) -> float:
        return self._admitted_rate * math.exp(-(now - self._admitted_at) / _RATE_AVERAGING_SECONDS)

    def _remove_idle_clients(self, now: float) -> None:
        while self._clients:
            client, state = next(iter(self._clients.items()))
            if now - state.last_arrival < _CLIENT_IDLE_TIMEOUT_SECONDS:
                return
            del self._clients[client]

    def _update_level(self, occupancy: float, now: float) -> None:
        elapsed = now - self._level_updated_at
        if elapsed < _LEVEL_UPDATE_INTERVAL_SECONDS:
            return
        if elapsed > _LEVEL_STALE_SECONDS:
            self._level = math.inf
            return
        steps = elapsed / _LEVEL_UPDATE_INTERVAL_SECONDS
        self._level_updated_at = now
        error = (_TARGET_OCCUPANCY - occupancy) / _TARGET_OCCUPANCY
        self._level *= (1.0 + _LEVEL_GAIN * max(error, -1.0)) ** steps
        self._remove_idle_clients(now)
        highest_rate = max(state.rate / state.weight for state in self._clients.values())
        if self._level > _RELEASE_FACTOR * highest_rate:
            self._level = math.inf
