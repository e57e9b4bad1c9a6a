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
from typing import NamedTuple

_LEVEL_STALE_SECONDS = 1.0
"""A level without an update for this long is discarded: no query met congestion meanwhile."""
_RELEASE_FACTOR = 2.0
"""Limiting ends when the level exceeds the highest weighted rate by this factor, because then no
client is throttled."""
_MIN_WEIGHT = 0.001
"""Weight of a client whose share is 0, so that it does not starve."""
_BASE_RETRY_SECONDS = 0.1
"""Retry delay of a client at its share; grows with the excess over the share."""
_FIRST_GAP_SECONDS = 1e-6
"""Least time between two queries that counts."""


class FairShareSettings(NamedTuple):
    """Properties of a resource and of the queries for it."""

    averaging_seconds: float = 0.3
    """Shortest time constant of the arrival rates, in seconds; several times the interval between
    an overloading client's queries."""
    averaging_queries: float = 0.0
    """Queries of a client over which its arrival rate is averaged at least. With a constant time
    alone, two queries that follow each other by chance make a client of a low rate seem to be over
    its share."""
    first_rate: float | None = None
    """Arrival rate that is assumed with the first query of a client, as a multiple of its weight;
    None to estimate it from that query alone."""
    idle_seconds: float = 5.0
    """Time without queries after which the state of a client is removed, in seconds."""
    max_clients: int = 1024
    """Clients with a state of their own; beyond that the least recently active one is removed."""
    update_seconds: float = 0.05
    """Time between two updates of the level, in seconds."""
    target_occupancy: float = 0.85
    """Occupancy that the level is controlled to. The rest is headroom for clients below their
    share."""
    level_gain: float = 0.5
    """Relative change of the level per update at an occupancy error of 100%."""
    max_credit: float = 2.0
    """Queries that a client may send in a burst after it was below its share."""


_DEFAULT_SETTINGS = FairShareSettings()


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

    def __init__(self, now: float, weight: float, rate: float) -> None:
        self.rate = rate
        self.weight = weight
        self.last_arrival = now
        self.credit = 1.0

    def record_arrival(self, now: float, settings: FairShareSettings) -> None:
        gap = max(now - self.last_arrival, _FIRST_GAP_SECONDS)
        averaging_seconds = settings.averaging_seconds
        if settings.averaging_queries and self.rate:
            averaging_seconds = max(averaging_seconds, settings.averaging_queries / self.rate)
        decay = math.exp(-gap / averaging_seconds)
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

    def __init__(self, *, settings: FairShareSettings = _DEFAULT_SETTINGS) -> None:
        """Creates an instance without clients; limiting is off.

        Args:
            settings: Properties of the resource.
        """
        self._settings = settings
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
            occupancy: Used part of the resource, 0 to 1; more if queries wait for it.
            now: Time in seconds.

        Returns:
            Whether the query is throttled, allowed, or from a client below its share.
        """
        state = self._clients.get(client)
        if state is None:
            first_rate = (self._settings.first_rate or 0.0) * max(weight, _MIN_WEIGHT)
            state = self._clients[client] = _ClientRate(now, weight, first_rate)
            if len(self._clients) > self._settings.max_clients:
                self._clients.popitem(last=False)
        else:
            self._clients.move_to_end(client)
        state.weight = max(weight, _MIN_WEIGHT)
        state.record_arrival(now, self._settings)
        if self._level == math.inf:
            return ShareDecision.ALLOWED
        self._update_level(occupancy, now)
        pass_probability = min(1.0, state.weight * self._level / state.rate)
        state.credit = min(state.credit + pass_probability, self._settings.max_credit)
        if state.credit < 1.0:
            return ShareDecision.THROTTLED
        state.credit -= 1.0
        return ShareDecision.BELOW_SHARE if pass_probability == 1.0 else ShareDecision.ALLOWED

    def record_admission(self, now: float) -> None:
        """Counts a query that was admitted.

        Args:
            now: Time in seconds.
        """
        added = 1.0 / self._settings.averaging_seconds
        self._admitted_rate = self.admitted_rate(now) + added
        self._admitted_at = now

    def record_full(self, now: float) -> None:
        """Starts limiting because a query was refused at a full resource.

        Args:
            now: Time in seconds.
        """
        if self._level == math.inf:
            self.limit_to(self.admitted_rate(now), now)

    def limit_to(self, capacity: float, now: float) -> None:
        """Sets the level at which clients together use a capacity.

        Args:
            capacity: Queries per second.
            now: Time in seconds.
        """
        self._remove_idle_clients(now)
        demands = [(state.rate, state.weight) for state in self._clients.values()]
        self._level = fair_level(demands, capacity)
        self._level_updated_at = now

    def admitted_rate(self, now: float) -> float:
        """Returns the queries per second that were admitted lately.

        Args:
            now: Time in seconds.
        """
        elapsed = now - self._admitted_at
        return self._admitted_rate * math.exp(-elapsed / self._settings.averaging_seconds)

    def stop_limiting(self) -> None:
        """Ends limiting, for example because the occupancy is no longer known."""
        self._level = math.inf

    def retry_after(self, client: str) -> float:
        """Returns a delay in seconds after which a retry adds little to a client's excess."""
        state = self._clients.get(client)
        if state is None or not self.limiting:
            return 0.0
        return _BASE_RETRY_SECONDS * state.rate / max(state.weight * self._level, 1e-6)

    def _remove_idle_clients(self, now: float) -> None:
        while self._clients:
            client, state = next(iter(self._clients.items()))
            if now - state.last_arrival < self._settings.idle_seconds:
                return
            del self._clients[client]

    def _update_level(self, occupancy: float, now: float) -> None:
        settings = self._settings
        elapsed = now - self._level_updated_at
        if elapsed < settings.update_seconds:
            return
        if elapsed > _LEVEL_STALE_SECONDS:
            self._level = math.inf
            return
        steps = elapsed / settings.update_seconds
        self._level_updated_at = now
        error = (settings.target_occupancy - occupancy) / settings.target_occupancy
        self._level *= (1.0 + settings.level_gain * max(error, -1.0)) ** steps
        self._remove_idle_clients(now)
        highest_rate = max(state.rate / state.weight for state in self._clients.values())
        if self._level > _RELEASE_FACTOR * highest_rate:
            self._level = math.inf
