"""Runs attempts on the connections of their leaves."""

from collections.abc import Callable
from typing import Protocol

import anyio
import httpcore

from filbertreach.decisions import LeafOutcome
from filbertreach.dispatch._errors import (
    LeafError,
    LeafFailedError,
    LeafReport,
    VersionUnavailableError,
)
from filbertreach.dispatch._exchange import SearchBody, search
from filbertreach.dispatch._leaf_link import LeafLink
from filbertreach.dispatch._metrics import LEAF_OUTCOMES, LEAF_SECONDS
from filbertreach.dispatch._pending import Attempt, PendingCall
from filbertreach.dispatch._results import outcome_of
from filbertreach.observability import Tracing, get_logger
from filbertreach.timing import Clock

_CANCEL_GRACE_SECONDS = 0.25
"""Time for a leaf to end a cancelled attempt, after which its connection is closed."""
_DEADLINE_GRACE_SECONDS = 0.05
"""Time after the deadline for a leaf to report it, before the connection is closed."""

_LOGGER = get_logger(__name__)


class AttemptListener(Protocol):
    """Decides what follows from the end of an attempt."""

    def on_latency(self, attempt: Attempt, seconds: float) -> None:
        """Records the latency of an answer or a timeout.

        Args:
            attempt: The attempt.
            seconds: Time since it was sent.
        """

    def on_answer(self, attempt: Attempt, body: SearchBody, *, seconds: float) -> None:
        """Handles an answer.

        Args:
            attempt: The attempt.
            body: Body of the answer.
            seconds: Time since the attempt was sent.
        """

    def on_error(self, attempt: Attempt, error: LeafError) -> None:
        """Handles an attempt that failed or was refused.

        Args:
            attempt: The attempt.
            error: What the leaf reported, or what happened to the connection.
        """

    def on_expiry(self, pending: PendingCall) -> None:
        """Handles a call whose deadline passed before or while it ran.

        Args:
            pending: The call.
        """


class AttemptRunner:
    """Runs the attempts of one service and records what they show of the leaves.

    Each attempt is run by the task of its connection.
    """

    def __init__(
        self,
        *,
        environment: str,
        listener: AttemptListener,
        find_link: Callable[[str], LeafLink | None],
        tracing: Tracing,
        clock: Clock,
    ) -> None:
        """Creates a runner.

        Args:
            environment: Name of the environment, a label of metrics.
            listener: Told how each attempt ended.
            find_link: Returns the current link to the leaf with an id.
            tracing: Span exporter.
            clock: Source of time.
        """
        self._environment = environment
        self._listener = listener
        self._find_link = find_link
        self._tracing = tracing
        self._clock = clock

    async def run(self, http: httpcore.AsyncHTTPConnection, attempt: Attempt) -> bool:
        """Runs an attempt.

        Args:
            http: Idle connection to the leaf.
            attempt: The attempt.

        Returns:
            Whether the connection remains usable.
        """
        pending = attempt.pending
        remaining = pending.deadline_at - self._clock.now()
        if pending.done or remaining <= 0:
            self._end(attempt, LeafOutcome.CANCELLED)
            self._listener.on_expiry(pending)
            return True
        body: SearchBody | None = None
        error: LeafError | None = None
        report: LeafReport | None = None
        span = self._tracing.start(
            "leaf", trace_parent=pending.span.trace_parent or "-00", leaf=attempt.tracker.leaf.id
        )
        attempt.scope.deadline = anyio.current_time() + remaining + _DEADLINE_GRACE_SECONDS
        with span, attempt.scope:
            try:
                body, report = await search(
                    connection=http,
                    leaf=attempt.tracker.leaf,
                    call=pending.call,
                    call_id=attempt.call_id,
                    remaining_seconds=remaining,
                    trace_parent=span.trace_parent,
                )
            except LeafError as caught:
                error, report = caught, caught.report
                span.set("error", str(caught))
            except Exception as unexpected:
                # The tasks of the other connections and of the process go on.
                _LOGGER.error(
                    "attempt at leaf failed",
                    leaf=attempt.tracker.leaf.id,
                    error=repr(unexpected),
                    exc_info=True,
                )
                error = LeafFailedError(message=repr(unexpected), started=True)
                span.set("error", repr(unexpected))
        if report is not None:
            self._apply_report(attempt, report)
        if body is not None:
            self._handle_answer(attempt, body)
            return True
        if error is not None:
            self._handle_error(attempt, error)
            return report is not None
        self._handle_no_response(attempt)
        return False

    def cancel(self, attempt: Attempt) -> None:
        """Cancels an attempt; its connection is closed unless the leaf ends it soon.

        Args:
            attempt: The attempt.
        """
        attempt.cancelled = True
        attempt.scope.deadline = min(
            attempt.scope.deadline, anyio.current_time() + _CANCEL_GRACE_SECONDS
        )
        link = self._find_link(attempt.tracker.leaf.id)
        if link is not None:
            link.cancel(attempt)

    def _apply_report(self, attempt: Attempt, report: LeafReport) -> None:
        now = self._clock.now()
        link = self._find_link(attempt.tracker.leaf.id)
        if link is not None and report.state == "draining":
            link.record_leaving("response", now, leaving=True)
        if report.in_flight is not None and report.queued is not None:
            attempt.tracker.record_load_report(report.in_flight, report.queued, now)

    def _handle_answer(self, attempt: Attempt, body: SearchBody) -> None:
        seconds = self._end(attempt, LeafOutcome.OK)
        LEAF_SECONDS.labels(self._environment).observe(seconds)
        if not attempt.pending.done:
            self._listener.on_answer(attempt, body, seconds=seconds)

    def _handle_error(self, attempt: Attempt, error: LeafError) -> None:
        pending = attempt.pending
        pending.may_have_started |= error.started
        self._end(attempt, outcome_of(error))
        link = self._find_link(attempt.tracker.leaf.id)
        if isinstance(error, VersionUnavailableError) and link is not None:
            link.record_refused_version(pending.call["version"], self._clock.now())
        self._listener.on_error(attempt, error)

    def _handle_no_response(self, attempt: Attempt) -> None:
        attempt.pending.may_have_started = True
        link = self._find_link(attempt.tracker.leaf.id)
        if link is not None:
            link.record_silence()
        if attempt.cancelled:
            self._end(attempt, LeafOutcome.CANCELLED)
            return
        self._end(attempt, LeafOutcome.TIMEOUT)
        self._listener.on_expiry(attempt.pending)

    def _end(self, attempt: Attempt, outcome: LeafOutcome) -> float:
        """Records the end of an attempt and returns the time since it was sent, in seconds."""
        now = self._clock.now()
        seconds = now - attempt.started_at
        attempt.tracker.record_finish(outcome, seconds, now)
        attempt.pending.attempt_by_id.pop(attempt.call_id, None)
        LEAF_OUTCOMES.labels(self._environment, outcome.value).inc()
        if outcome in (LeafOutcome.OK, LeafOutcome.TIMEOUT):
            # Without timeouts, the quantiles would be biased towards fast calls.
            self._listener.on_latency(attempt, seconds)
        return seconds
