"""Metrics and the log line of a request that was answered."""

from filbertreach.document import ClientAccount
from filbertreach.gateway._metrics import MISSING_SHARDS, REQUEST_SECONDS, REQUESTS
from filbertreach.gateway._query import Query, QueryResult
from filbertreach.observability import get_logger

_OUTCOMES_OF_ALL_CALLS = frozenset({"overloaded", "leaves_lost"})
"""Outcomes that end all calls of a query for the same reason."""

_LOGGER = get_logger(__name__)


def record_request(query: Query, result: QueryResult, seconds: float) -> None:
    """Counts a request in the metrics.

    Args:
        query: Its query.
        result: Result of the query.
        seconds: Time from the arrival of the request to its answer.
    """
    kind = "scatter" if query.route.shards else "single"
    REQUESTS.labels(kind, result.outcome, str(result.answer.status)).inc()
    REQUEST_SECONDS.labels(kind).observe(seconds)
    if result.answer.status == 200 and query.route.shards:
        MISSING_SHARDS.inc(len(result.calls) - result.included)


def log_request(
    query: Query,
    result: QueryResult,
    account: ClientAccount | None,
    version: int,
    seconds: float,
) -> None:
    """Writes the log line of a request.

    Args:
        query: Its query.
        result: Result of the query.
        account: Its client account; None if the request has none.
        version: Version of the routes.
        seconds: Time from the arrival of the request to its answer.
    """
    _LOGGER.info(
        "request",
        kind="request ok" if result.outcome == "answered" else "request failed",
        request=query.request.id,
        route=query.route.name,
        version=version,
        outcome=result.outcome,
        status=result.answer.status,
        ms=round(seconds * 1000, 1),
        included=result.included,
        shards=len(result.calls),
        **({} if account is None else {"account": account.name}),
        **query.log_fields(),
        exceptions=[
            {
                "service": call.pool.service,
                "leaves": call.tried_leaf_ids,
                "faults": call.fault_reasons,
                "end": call.state.value,
                "pending": call.pending_leaf_id,
            }
            for call in result.calls
            if call.fault_reasons or call.extra_attempts or (call.answer is None and call.done)
            # Calls that were not sent as the whole query ended would all have the same entry.
            if call.tried_leaf_ids or result.outcome not in _OUTCOMES_OF_ALL_CALLS
        ],
    )
