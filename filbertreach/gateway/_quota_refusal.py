"""Refusals of requests that the quota or the share of their account does not allow."""

from filbertreach.document import ClientAccount, Route
from filbertreach.gateway._metrics import QUOTA_REFUSALS, rank_label
from filbertreach.observability import get_logger
from filbertreach.platform import CallerAnswer, CallerRequest, refuse
from filbertreach.quotas import QuotaDecision

_UNKNOWN_TEXT = "the quota is not known"
_TEXT_BY_OUTCOME = {
    "over_quota": "the quota of the account is used up",
    "over_share": "the account is over its share while capacity is short",
}
"""What the answer says, by outcome; of other outcomes, _UNKNOWN_TEXT."""

_LOGGER = get_logger(__name__)


def refuse_quota(
    decision: QuotaDecision,
    request: CallerRequest,
    route: Route,
    account: ClientAccount,
    version: int,
) -> CallerAnswer:
    """Logs, counts and creates the refusal of a request that may not be started now.

    Args:
        decision: The decision.
        request: The request.
        route: Its route as it applies to the account.
        account: Its client account.
        version: Version of the routes.
    """
    status = 429 if decision.outcome == "over_quota" else 503
    QUOTA_REFUSALS.labels(rank_label(route.priority), decision.outcome).inc()
    _LOGGER.info(
        "refused",
        request=request.id,
        status=status,
        reason=decision.outcome,
        account=account.name,
        rank=route.priority,
        route=route.name,
        version=version,
    )
    text = _TEXT_BY_OUTCOME.get(decision.outcome, _UNKNOWN_TEXT)
    return refuse(status, text, retry_after_seconds=decision.retry_after_seconds)
