"""Use of client accounts as a quota host knows it, for operators."""

import heapq
from collections.abc import Sequence

from filbertreach.quotas._granting import QuotaGrants
from filbertreach.quotas._ledger import QuotaLedger
from filbertreach.schema import AccountUse, AccountUsePage, KnownHost

MAX_SHOWN_ACCOUNTS = 20
"""Accounts of a page, whatever their number."""
_RATE_DIGITS = 4
"""Decimal places of rates and shares."""
_PRESSURE_DIGITS = 2
"""Decimal places of the pressure."""


def account_use_page(
    grants: QuotaGrants,
    names: Sequence[str],
    *,
    host: str,
    data_centre: str,
    quota_host: KnownHost | None,
    now: float,
) -> AccountUsePage:
    """Returns the use of at most MAX_SHOWN_ACCOUNTS accounts, without keys.

    Args:
        grants: Decisions of this host.
        names: Accounts that are wanted; empty for those with the most demand. Names without a
            quota are left out.
        host: Name of this host.
        data_centre: Data centre of this host.
        quota_host: Quota host of the data centre; None if it is this host.
        now: Current clock, in seconds.
    """
    ledger, shares = grants.ledger, grants.shares
    if names:
        shown = [name for name in dict.fromkeys(names) if name in ledger.quota_by_account]
    else:
        demand = ledger.total_demand(now)
        shown = heapq.nlargest(MAX_SHOWN_ACCOUNTS, demand, key=demand.__getitem__)
    page = AccountUsePage(
        host=host,
        data_centre=data_centre,
        is_active=bool(ledger.quota_by_account),
        applies_shares=shares is not None and shares.is_applied_at(now),
        total_accounts=len(ledger.quota_by_account),
        accounts=[_account_use(ledger, name, now) for name in shown[:MAX_SHOWN_ACCOUNTS]],
    )
    if shares is not None and (pressure := shares.pressure.at(now)) is not None:
        page["pressure"] = round(pressure, _PRESSURE_DIGITS)
    if quota_host is not None:
        page["quota_host"] = quota_host
    return page


def _account_use(ledger: QuotaLedger, name: str, now: float) -> AccountUse:
    quota = ledger.quota_by_account[name]
    return AccountUse(
        name=name,
        rate_per_s=quota.per_second,
        burst=quota.burst,
        granted_per_s=round(ledger.granted_rates.per_second(name, now), _RATE_DIGITS),
        share=round(ledger.share(name, now), _RATE_DIGITS),
        demand_by_data_centre={
            data_centre: round(per_second, _RATE_DIGITS)
            for data_centre, per_second in ledger.demand_by_data_centre(name, now).items()
        },
    )
