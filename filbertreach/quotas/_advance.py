"""What a quota host grants until the parts that gateways delegate to it have filled its buckets."""

from typing import NamedTuple

from filbertreach.document import Quota
from filbertreach.quotas._bounds import QuotaBounds
from filbertreach.quotas._parts import LOAN_SECONDS

_ASKED_SECONDS = 1.0
"""Time since its last request for which a gateway counts as asking this host; gateways ask at least
every 0.25 s."""
_LEAST_ASKING_SECONDS = 0.3
"""Time for which a gateway has to ask before it counts. One that asks only once, after a pause or a
failed exchange, may return to the quota host that holds its part."""
_REPEAT_SECONDS = 10.0
"""Time after which an advance is granted again; longer than the window of a quota."""
_ADVANCED_EXCESS = 0.5
"""Fraction of what may exceed a quota in a window up to which it is granted in advance. Quota hosts
may still use what was lent to them of the parts."""
_MAX_ASKING_HOSTS = 1024
"""Gateways that are kept; further ones do not count. A data centre of the design size has 57."""
_ROUNDING_TOLERANCE = 1e-9


class _Asking(NamedTuple):
    began_at: float
    """Clock since when a gateway asks this host, in seconds."""
    last_at: float
    """Clock when it asked last, in seconds."""


class QuotaAdvance:
    """Grants a little of each quota until the parts that are delegated to this host yield enough.

    After a start, and after a quota host was lost, gateways delegate to nobody for HOLD_SECONDS.
    The former quota host may hold their parts for the first of these seconds; the advance is at
    most what the rate yields in the others. Without it, all requests are refused for that time
    after a restart of all hosts.
    """

    def __init__(self, *, bounds: QuotaBounds) -> None:
        """Creates a state in which nothing was granted.

        Args:
            bounds: Bounds of the deployment.
        """
        self._bounds = bounds
        self._asking_by_host: dict[str, _Asking] = {}
        self._next_removal_at = 0.0
        """Clock from which gateways that no longer ask are removed, in seconds."""
        self._granted_by_account: dict[str, int] = {}
        self._repeats_at = 0.0

    @property
    def kept_hosts(self) -> int:
        """Number of gateways of which something is kept."""
        return len(self._asking_by_host)

    def on_asked(self, host: str, now: float) -> None:
        """Records that a gateway asks this host.

        Args:
            host: The gateway.
            now: Current clock, in seconds.
        """
        if now >= self._next_removal_at:
            self._remove_expired(now)
        asking = self._asking_by_host.get(host)
        if asking is None and len(self._asking_by_host) >= _MAX_ASKING_HOSTS:
            return
        began_at = now
        if asking is not None and now - asking.last_at < _ASKED_SECONDS:
            began_at = asking.began_at
        self._asking_by_host[host] = _Asking(began_at, now)

    def take(self, account: str, quota: Quota, count: int, *, hosts: int, now: float) -> int:
        """Grants requests of an account.

        Args:
            account: Name of the account.
            quota: Its quota over all hosts.
            count: Number of requests that are wanted.
            hosts: Number of known hosts of the data centre.
            now: Current clock, in seconds.

        Returns:
            Number of requests that are granted.
        """
        if now >= self._repeats_at:
            self._granted_by_account.clear()
            self._repeats_at = now + _REPEAT_SECONDS
        allowed = self._advance(quota) * self._asking_fraction(hosts, now)
        before = self._granted_by_account.get(account, 0)
        granted = max(0, min(count, int(allowed - before + _ROUNDING_TOLERANCE)))
        if granted:
            self._granted_by_account[account] = before + granted
        return granted

    def give_back(self, account: str, count: int) -> int:
        """Takes back granted requests that have not run.

        Args:
            account: Name of the account.
            count: Number of requests, at least 0.

        Returns:
            Number of requests that are taken back; the others were not granted in advance.
        """
        returned = min(count, self._granted_by_account.get(account, 0))
        if returned:
            self._granted_by_account[account] -= returned
        return returned

    def _advance(self, quota: Quota) -> float:
        """Returns the requests that all quota hosts together grant in advance."""
        excess = _ADVANCED_EXCESS * self._bounds.excess(quota)
        return min(LOAN_SECONDS * quota.per_second, excess)

    def _asking_fraction(self, hosts: int, now: float) -> float:
        """Returns the fraction of the deployment whose gateways ask this host.

        A gateway asks one host at a time, so the fractions of all quota hosts add up to at most 1.
        """
        self._remove_expired(now)
        asking_hosts = sum(
            now - asking.began_at >= _LEAST_ASKING_SECONDS
            for asking in self._asking_by_host.values()
        )
        return asking_hosts / (max(hosts, asking_hosts, 1) * self._bounds.data_centres)

    def _remove_expired(self, now: float) -> None:
        self._next_removal_at = now + _ASKED_SECONDS
        self._asking_by_host = {
            host: asking
            for host, asking in self._asking_by_host.items()
            if now - asking.last_at < _ASKED_SECONDS
        }
