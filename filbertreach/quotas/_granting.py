"""Decisions of a quota host about requests: the quota of an account, then its share."""

from collections.abc import Callable
from typing import NamedTuple

from filbertreach.decisions import AccountShares, Pressure
from filbertreach.document import AccountTable
from filbertreach.observability import get_logger
from filbertreach.quotas._ledger import QuotaLedger
from filbertreach.quotas._metrics import LEAF_PRESSURE, SHARES_APPLIED
from filbertreach.schema import QuotaReply, QuotaRequest

PressureSource = Callable[[], Pressure | None]
"""Returns the pressure of the leaves that this host calls; None if no leaf has reported lately."""

_LOGGER = get_logger(__name__)


class Grant(NamedTuple):
    """Decision about some requests of one account."""

    granted: int
    """Requests that may be started."""
    over_share: int = 0
    """Requests that the quota allows and the share does not."""
    quota_wait_seconds: float = 0.0
    """Time until the quota may allow one more, if it has refused any, in seconds."""
    share_wait_seconds: float = 0.0
    """Time until the share may allow one more, if it has refused any, in seconds."""


class QuotaGrants:
    """Decides, as quota host, how many requests of an account may be started."""

    def __init__(self, *, ledger: QuotaLedger, shares: AccountShares | None) -> None:
        """Creates a state without accounts.

        Args:
            ledger: What this host may grant of each quota.
            shares: Shares of the accounts while leaves are under pressure; None for none.
        """
        self.accounts: AccountTable | None = None
        """Accounts of the configuration in force."""
        self.shares = shares
        """Shares of the accounts; None for none."""
        self.ledger = ledger
        """What this host may grant of each quota."""
        self._were_applied = False
        """Whether shares were applied when that was logged last."""

    def grant(self, account: str, count: int, now: float) -> Grant:
        """Decides about requests of an account.

        An account that the configuration names without a quota has no limit. The configuration of
        the asking gateway may be older. An account that it does not name is refused.

        Args:
            account: Name of the account.
            count: Number of requests that are wanted.
            now: Current clock, in seconds.
        """
        quota = self.ledger.quota_by_account.get(account)
        if quota is None:
            is_known = self.accounts is not None and account in self.accounts.account_by_name
            granted = count if is_known else 0
            return Grant(granted, quota_wait_seconds=self.ledger.expected_wait(account, now))
        by_quota = granted = self.ledger.take(account, count, now)
        share_wait_seconds = 0.0
        if self.shares is not None and by_quota:
            granted = self.shares.allow(account, by_quota, per_second=quota.per_second, now=now)
            if granted < by_quota:
                # A request that the share refuses does not use up the quota.
                self.ledger.give_back(account, by_quota - granted, now)
                share_wait_seconds = self.shares.retry_after(account)
        quota_wait_seconds = 0.0
        if by_quota < count:
            quota_wait_seconds = self.ledger.expected_wait(account, now)
        return Grant(granted, by_quota - granted, quota_wait_seconds, share_wait_seconds)

    def on_pressure(self, host: str, pressure: Pressure | None, now: float) -> None:
        """Records the pressure that a host observes, if it knows one.

        That of a host which nobody else has named does not count: a faulty neighbour may invent
        names, and so outvote all hosts.

        Args:
            host: Name of the host.
            pressure: Load of the leaves that it calls.
            now: Current clock, in seconds.
        """
        if self.shares is not None and pressure is not None and self.ledger.parts.is_known(host):
            self.shares.pressure.record(host, pressure, now)

    def on_request(self, request: QuotaRequest, now: float) -> QuotaReply:
        """Answers another gateway.

        Args:
            request: What the gateway asks.
            now: Current clock, in seconds.
        """
        ledger, host = self.ledger, request["host"]
        if "delegated_after" in request:
            ledger.parts.on_delegation(host, delegated_after=request["delegated_after"], now=now)
        ledger.advance.on_asked(host, now)
        if "pressure" in request:
            age_seconds = request.get("pressure_age_seconds", 0.0)
            self.on_pressure(host, Pressure(request["pressure"], age_seconds), now)
        for account, count in request["returned"].items():
            ledger.give_back(account, count, now)
        reply = QuotaReply(clock=now, granted={}, wait_seconds={})
        for account, count in request["requested"].items():
            grant = self.grant(account, count, now)
            reply["granted"][account] = grant.granted
            if grant.granted + grant.over_share < count:
                reply["wait_seconds"][account] = grant.quota_wait_seconds
            if grant.over_share:
                reply.setdefault("over_share", {})[account] = grant.over_share
                waits = reply.setdefault("share_wait_seconds", {})
                waits[account] = grant.share_wait_seconds
        return reply

    def report_shares(self, now: float) -> None:
        """Updates the metrics of shares, and logs whether they are applied if that has changed.

        Args:
            now: Current clock, in seconds.
        """
        if self.shares is None:
            return
        pressure = self.shares.pressure.at(now)
        LEAF_PRESSURE.set(0.0 if pressure is None else pressure)
        is_applied = self.shares.is_applied_at(now)
        SHARES_APPLIED.set(is_applied)
        if is_applied != self._were_applied:
            self._were_applied = is_applied
            _LOGGER.info(
                "account shares applied" if is_applied else "account shares no longer applied",
                calls_per_slot=None if pressure is None else round(pressure, 2),
                hosts=len(self.shares.pressure),
            )
