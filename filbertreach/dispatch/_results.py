"""Creates results of calls and classifies errors of leaves."""

from filbertreach.decisions import LeafOutcome
from filbertreach.dispatch._errors import (
    InvalidResponseError,
    LeafCancelledError,
    LeafError,
    LeafRefusedError,
    LeafTimeoutError,
    LeafUnreachableError,
    VersionUnavailableError,
)
from filbertreach.dispatch._exchange import SearchBody
from filbertreach.dispatch._pending import Attempt, PendingCall
from filbertreach.schema import Answer, Failure


def make_answer(attempt: Attempt, body: SearchBody, *, seconds: float) -> Answer:
    """Creates the answer of a call.

    Args:
        attempt: Attempt that was answered.
        body: Validated body of the leaf's response.
        seconds: Latency of the attempt.

    Returns:
        The message to the entry process.
    """
    pending = attempt.pending
    call = pending.call
    assert pending.first_sent_at is not None
    return Answer(
        kind="answer",
        call_id=call["call_id"],
        query_id=call["query_id"],
        shard=call["shard"],
        version=call["version"],
        rows=body["rows"],
        leaf=attempt.tracker.leaf.id,
        queue_ms=1000.0 * (pending.first_sent_at - pending.received_at),
        leaf_ms=1000.0 * seconds,
        attempts=pending.attempts,
    )


def make_failure(pending: PendingCall, reason: str, *, retry_after_ms: float = 0.0) -> Failure:
    """Creates the failure of a call; with an attempt still running, the call may have started.

    Args:
        pending: The call.
        reason: Reason for the lacking shard, as in the schema.
        retry_after_ms: Suggested delay before a retry, in milliseconds.

    Returns:
        The message to the entry process.
    """
    call = pending.call
    started = pending.may_have_started or bool(pending.attempt_by_id)
    return Failure(
        kind="failure",
        call_id=call["call_id"],
        query_id=call["query_id"],
        shard=call["shard"],
        reason=reason,  # type: ignore[typeddict-item]
        started="unknown" if started else "no",
        retry_after_ms=retry_after_ms,
        attempts=pending.attempts,
    )


def outcome_of(error: LeafError) -> LeafOutcome:
    """Returns the outcome of an attempt, for the tracker of its leaf."""
    if isinstance(error, LeafUnreachableError):
        return LeafOutcome.CONNECTION_LOST
    if isinstance(error, LeafCancelledError):
        return LeafOutcome.CANCELLED
    if isinstance(error, LeafTimeoutError):
        return LeafOutcome.TIMEOUT
    if isinstance(error, LeafRefusedError) and not error.started:
        return LeafOutcome.REFUSED
    return LeafOutcome.ERROR


def reason_of(error: LeafError) -> str:
    """Returns the reason for a lacking shard."""
    if isinstance(error, VersionUnavailableError):
        return "version_unavailable"
    if isinstance(error, InvalidResponseError):
        return "invalid_response"
    if isinstance(error, LeafRefusedError):
        return "overloaded"
    return "leaf_failed"
