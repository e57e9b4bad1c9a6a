"""Demand of client accounts: requests per second, averaged over the last seconds."""

import math

AVERAGING_SECONDS = 3.0
"""Time constant of the average. A longer one moves shares too late when demand moves; a shorter one
makes shares follow chance."""
_LEAST_RECENT_REQUESTS = 0.05
"""Weight of recent requests below which an account has no demand: one request counts for 9 s."""


class DemandMeter:
    """Exponentially decaying count of requests."""

    __slots__ = ("_count", "_counted_at")

    def __init__(self) -> None:
        """Creates a meter without requests."""
        self._count = 0.0
        self._counted_at = 0.0

    def add(self, count: int, now: float) -> None:
        """Counts requests.

        Args:
            count: Number of requests; below 0 for those that are no longer counted.
            now: Current clock, in seconds.
        """
        self._count = max(0.0, self._recent(now) + count)
        self._counted_at = now

    def per_second(self, now: float) -> float:
        """Returns the requests per second; 0 if there were none lately.

        Args:
            now: Current clock, in seconds.
        """
        recent = self._recent(now)
        return recent / AVERAGING_SECONDS if recent >= _LEAST_RECENT_REQUESTS else 0.0

    def _recent(self, now: float) -> float:
        return self._count * math.exp((self._counted_at - now) / AVERAGING_SECONDS)


class GrantedRates:
    """Requests per second that were granted, by account."""

    def __init__(self) -> None:
        """Creates a state without requests."""
        self._meter_by_account: dict[str, DemandMeter] = {}

    def add(self, account: str, count: int, now: float) -> None:
        """Counts requests.

        Args:
            account: Name of the account.
            count: Number of requests that were granted; below 0 for those that came back.
            now: Current clock, in seconds.
        """
        if count > 0 or account in self._meter_by_account:
            self._meter_by_account.setdefault(account, DemandMeter()).add(count, now)

    def per_second(self, account: str, now: float) -> float:
        """Returns the requests per second of an account; 0 if there were none lately.

        Args:
            account: Name of the account.
            now: Current clock, in seconds.
        """
        meter = self._meter_by_account.get(account)
        return 0.0 if meter is None else meter.per_second(now)

    def remove_unused(self, now: float) -> None:
        """Removes accounts without requests lately.

        Args:
            now: Current clock, in seconds.
        """
        for account, meter in list(self._meter_by_account.items()):
            if meter.per_second(now) == 0.0:
                del self._meter_by_account[account]
