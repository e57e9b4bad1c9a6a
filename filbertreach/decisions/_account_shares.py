"""Fair shares of client accounts while leaves are under pressure. No input or output."""

import math
import statistics
from typing import NamedTuple

from filbertreach.decisions._fair_share import FairShare, FairShareSettings, ShareDecision

PRESSURE_SECONDS = 1.0
"""Age from which an observed pressure counts as unknown."""
_PRESSURE_LIMIT = 1.0
"""Calls per slot above which shares are applied: more calls than the leaves can run at once."""
_PRESSURE_RELEASE = 0.5
"""Calls per slot below which shares are no longer applied. While shares are applied, the pressure
crosses the limit several times a second. With the limit itself, the whole flood passed each time,
and other accounts of the model lost up to 11% of their requests."""
_MAX_HOSTS = 1024
"""Hosts whose pressure is kept; a data centre of the design size has 57."""
_UPDATE_SECONDS = 0.25
"""Time between two updates of the level; hosts report their pressure at this interval."""
_AVERAGING_SECONDS = 20.0
"""Time constant of the average of admitted requests. What leaves serve shows only over several
periods in which their queue grows and drains."""
_LEAST_OBSERVED_SECONDS = 2.0
"""Time for which requests have to be observed before shares are applied."""
_MAX_GAP_SECONDS = 5.0
"""Time without requests after which the average starts again: another host may have been quota host
meanwhile."""
_CORRECTION = 0.1
"""Relative decrease of what is admitted for each call per slot above the limit; below the limit, an
increase. With 0.3, other accounts lost up to 2% of their requests while queues drained."""
_LEAST_FACTOR = 0.6
"""Smallest factor by which it is decreased. With 0.8, queues of calls of 250 ms never drained."""
_LEAST_ADMITTED = 0.25
"""Fraction of the requests within quotas that is admitted at least. Traffic of accounts without a
quota or of other data centres may keep the pressure high, whatever is refused here."""
_MAX_PRESSURE = 8.0
"""Calls per slot above which a pressure counts as this one; it may be wrong."""

_SETTINGS = FairShareSettings(
    averaging_seconds=2.0,
    averaging_queries=10.0,
    # An account of which nothing is known is not refused for that reason.
    first_rate=0.1,
    # An account that sends a request only every few seconds keeps its estimated rate.
    idle_seconds=30.0,
    max_clients=10_000,
    # The level is set by AccountShares.
    update_seconds=1.0,
    level_gain=0.0,
    target_occupancy=_PRESSURE_LIMIT,
)


class Pressure(NamedTuple):
    """Load of the leaves that a host calls, as they report it."""

    calls_per_slot: float
    """Running and waiting calls for each slot."""
    age_seconds: float
    """Time since the newest of the reports, in seconds."""


class _Observation(NamedTuple):
    calls_per_slot: float
    valid_until: float
    """Clock until which it counts, in seconds."""


class MedianPressure:
    """Median of the pressure that hosts report."""

    def __init__(self) -> None:
        """Creates a state without reports."""
        self._observation_by_host: dict[str, _Observation] = {}
        self._median: float | None = None
        self._first_expiry = math.inf
        """Clock until which the median holds if no host reports, in seconds."""

    def __len__(self) -> int:
        """Returns the number of hosts whose report is kept."""
        return len(self._observation_by_host)

    def record(self, host: str, pressure: Pressure, now: float) -> None:
        """Records the report of a host; one that is too old or impossible is ignored.

        Args:
            host: Name of the host.
            pressure: The pressure that it observes.
            now: Current clock, in seconds.
        """
        calls_per_slot, age_seconds = pressure
        if not (0.0 <= calls_per_slot < math.inf and 0.0 <= age_seconds < PRESSURE_SECONDS):
            return
        self._remove_expired(now)
        if host not in self._observation_by_host and len(self._observation_by_host) >= _MAX_HOSTS:
            return
        valid_until = now - age_seconds + PRESSURE_SECONDS
        self._observation_by_host[host] = _Observation(
            min(calls_per_slot, _MAX_PRESSURE), valid_until
        )
        self._update_median()

    def at(self, now: float) -> float | None:
        """Returns the median in calls per slot; None if no host has reported lately.

        Args:
            now: Current clock, in seconds.
        """
        if now >= self._first_expiry:
            self._remove_expired(now)
            self._update_median()
        return self._median

    def _remove_expired(self, now: float) -> None:
        if now >= self._first_expiry:
            self._observation_by_host = {
                host: observation
                for host, observation in self._observation_by_host.items()
                if now < observation.valid_until
            }

    def _update_median(self) -> None:
        observations = self._observation_by_host.values()
        self._first_expiry = min((o.valid_until for o in observations), default=math.inf)
        self._median = None
        if observations:
            self._median = statistics.median(o.calls_per_slot for o in observations)


class _MeanRate:
    """Requests per second, averaged exponentially since the first request or the last long gap."""

    def __init__(self) -> None:
        self._count = 0.0
        self._seconds = 0.0
        self._updated_at: float | None = None

    def add(self, count: int, now: float) -> None:
        self._advance(now)
        self._count += count

    def per_second(self, now: float) -> float | None:
        """Returns the mean; None if requests were observed for too short a time."""
        self._advance(now)
        if self._seconds < _LEAST_OBSERVED_SECONDS:
            return None
        return self._count / self._seconds

    def _advance(self, now: float) -> None:
        elapsed = 0.0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        if elapsed >= _MAX_GAP_SECONDS:
            self._count = self._seconds = 0.0
            return
        decay = math.exp(-elapsed / _AVERAGING_SECONDS)
        self._count *= decay
        self._seconds = self._seconds * decay + _AVERAGING_SECONDS * (1.0 - decay)


class AccountShares:
    """Divides what leaves can serve among client accounts while there is too much for them.

    Each account gets a share by the rate of its quota. An account below its share loses nothing,
    and what it does not use goes to the others. Without pressure, or while no host knows it, all
    requests are allowed.
    """

    def __init__(self) -> None:
        """Creates a state without accounts; all requests are allowed."""
        self.pressure = MedianPressure()
        """Pressure that hosts report."""
        self._is_applied = False
        self._fair_share = FairShare(settings=_SETTINGS)
        self._offered = _MeanRate()
        self._admitted = _MeanRate()
        self._updated_at = -math.inf

    def allow(self, account: str, count: int, *, per_second: float, now: float) -> int:
        """Counts requests that the quota of an account allows, and applies the account's share.

        Args:
            account: Name of the account.
            count: Number of requests.
            per_second: Rate of the account's quota, its weight.
            now: Current clock, in seconds.

        Returns:
            Number of requests that may be started.
        """
        is_applied, pressure = self.is_applied_at(now), self.pressure.at(now)
        if is_applied and pressure is not None and now - self._updated_at >= _UPDATE_SECONDS:
            self._update_level(pressure, now)
        allowed = 0
        for _ in range(count):
            decision = self._fair_share.record_arrival(account, per_second, pressure or 0.0, now)
            if is_applied and decision is ShareDecision.THROTTLED:
                continue
            allowed += 1
        self._offered.add(count, now)
        self._admitted.add(allowed, now)
        return allowed

    def retry_after(self, account: str) -> float:
        """Returns the time after which a refused request may be repeated, in seconds.

        Args:
            account: Name of the account.
        """
        return self._fair_share.retry_after(account)

    def is_applied_at(self, now: float) -> bool:
        """Returns whether requests of accounts above their share are refused.

        Args:
            now: Current clock, in seconds.
        """
        pressure = self.pressure.at(now)
        limit = _PRESSURE_RELEASE if self._is_applied else _PRESSURE_LIMIT
        self._is_applied = pressure is not None and pressure > limit
        if not self._is_applied:
            self._fair_share.stop_limiting()
        return self._is_applied

    def _update_level(self, pressure: float, now: float) -> None:
        """Sets the level so that the queue of the leaves tends to one call per slot.

        On average, leaves serve what is admitted to them while their queue neither grows nor is
        empty.
        """
        self._updated_at = now
        offered, admitted = self._offered.per_second(now), self._admitted.per_second(now)
        if offered is None or admitted is None:
            return
        factor = max(_LEAST_FACTOR, 1.0 - _CORRECTION * (pressure - _PRESSURE_LIMIT))
        capacity = max(factor * admitted, _LEAST_ADMITTED * offered)
        self._fair_share.limit_to(capacity, now)
        if not self._fair_share.limiting and pressure <= _PRESSURE_LIMIT:
            self._is_applied = False
