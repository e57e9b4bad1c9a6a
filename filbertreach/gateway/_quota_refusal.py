"""Refusal of requests that the quota of their client account does not allow."""

from filbertreach.document import ClientAccount, Route
from filbertreach.observability import get_logger
from filbertreach.platform import CallerAnswer, CallerRequest, refuse
from filbertreach.quotas import QuotaDecision

_LOGGER = get_logger(__name__)


def refuse_quota(
    decision: QuotaDecision,
    request: CallerRequest,
    route: Route,
    account: ClientAccount,
    version: int,
) -> CallerAnswer:
    """Logs and creates the refusal of a request that its quota does not allow now."""
    status = 429 if decision.outcome == "over_quota" else 503
    _LOGGER.info(
        "refused",
        request=request.id,
        status=status,
        reason=decision.outcome,
        account=account.name,
        route=route.name,
        version=version,
    )
    reason = "the quota of the account is used up" if status == 429 else "the quota is not known"
    return refuse(status, reason, retry_after_seconds=decision.retry_after_seconds)
