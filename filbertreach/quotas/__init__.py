"""Quotas of client accounts over all hosts."""

from filbertreach.quotas._account_use import MAX_SHOWN_ACCOUNTS
from filbertreach.quotas._board import ReportBoard
from filbertreach.quotas._bounds import QuotaBounds
from filbertreach.quotas._client import ACCOUNTS_PATH, DEMAND_PATH, QUOTA_PATH, QuotaError
from filbertreach.quotas._fleet import FleetQuotas, QuotaHosts
from filbertreach.quotas._ledger import QuotaLedger
from filbertreach.quotas._parts import PartDelegation
from filbertreach.quotas._pending import QuotaDecision

__all__ = [
    "ACCOUNTS_PATH",
    "DEMAND_PATH",
    "MAX_SHOWN_ACCOUNTS",
    "QUOTA_PATH",
    "FleetQuotas",
    "PartDelegation",
    "QuotaBounds",
    "QuotaDecision",
    "QuotaError",
    "QuotaHosts",
    "QuotaLedger",
    "ReportBoard",
]
