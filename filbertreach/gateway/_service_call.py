"""One request at one service: which leaves it is sent to, and when a second one gets it too."""

import enum
import math
from collections.abc import Callable
from typing import NamedTuple

from filbertreach.decisions import LeafOutcome, may_hedge
from filbertreach.document import Route
from filbertreach.gateway._exchange import Exchange, FaultKind, LeafFault
from filbertreach.gateway._leaf_connection import LeafConnection
from filbertreach.gateway._metrics import (
    BUDGET_REFUSALS,
    LEAF_CALLS,
    LEAF_OUTCOMES,
    LEAF_SECONDS,
)
from filbertreach.gateway._route_latencies import RouteLatencies
from filbertreach.gateway._service_pool import LeafHandle, ServicePool
from filbertreach.platform import CallerRequest, LeafAnswer, encode_leaf_request
from filbertreach.timing import Clock

_FIRST_CALLS = LEAF_CALLS.labels("first")
_RETRIES = LEAF_CALLS.labels("retry")
_HEDGES = LEAF_CALLS.labels("hedge")
_OUTCOMES = {outcome: LEAF_OUTCOMES.labels(outcome.value) for outcome in LeafOutcome}
_POLL_SECONDS = 0.02
"""Time after which a request without a leaf is looked at again."""
_MOST_UNREACHABLE = 6
"""Connections that may fail to open before a request is given up."""
_LINGER_SECONDS = 0.3
"""Time in which a leaf may still answer a request that nobody waits for; a pause is shorter."""


class CallEnd(enum.Enum):
    """How a call ended without an answer that can be used."""

    PENDING = "pending"
    """It has not ended."""
    ANSWERED = "answered"
    """A leaf answered with a success, or with a failure that is the final answer."""
    NOT_RUN = "not_run"
    """No leaf ran it."""
    FAILED = "failed"
    """It may have run and there is no answer."""


class CallContext(NamedTuple):
    """What the calls of one query share."""

    request: CallerRequest
    """Request of the caller."""
    route: Route
    """Its route."""
    deadline_at: float
    """Clock at the caller's deadline, in seconds."""
    target_at: float
    """Clock at which an answer is worth most for the last time, in seconds."""
    clock: Clock
    """Source of time."""
    latencies: RouteLatencies
    """Latencies of the route."""
    changed: Callable[["ServiceCall"], None]
    """Called when a call has news."""


class _Attempt(NamedTuple):
    handle: LeafHandle
    exchange: Exchange
    connection: LeafConnection


class ServiceCall:
    """Sends one request to one leaf of a service, and to others when that fails or is slow.

    All sends are made by `advance`, in the task of the query.
    """

    def __init__(self, *, pool: ServicePool, context: CallContext) -> None:
        """Creates a call that was not sent.

        Args:
            pool: Leaves of the service.
            context: The query.
        """
        self.pool = pool
        self.end = CallEnd.PENDING
        self.answer: LeafAnswer | None = None
        """Answer, or the last failure that a leaf signed."""
        self.next_at = -math.inf
        """Clock when `advance` has something to do, in seconds."""
        self.leaves: list[str] = []
        """Leaves that the request was sent to, in order."""
        self.extras = 0
        """Attempts beyond the first that the budget paid for."""
        self.faults: list[str] = []
        """Why attempts ended without an answer."""
        self._context = context
        self._running: dict[Exchange, _Attempt] = {}
        self._first_sent_at = math.inf
        self._may_have_run = False
        self._unreachable = 0
        self._avoid: set[str] = set()

    @property
    def done(self) -> bool:
        """Whether the result is known."""
        return self.end is not CallEnd.PENDING

    @property
    def was_sent(self) -> bool:
        """Whether any leaf may have received the request."""
        return bool(self.leaves) and (self._may_have_run or any(e.sent for e in self._running))

    @property
    def pending_leaf(self) -> str | None:
        """The leaf that was asked last and has not answered."""
        return next((a.handle.leaf.id for a in reversed(self._running.values())), None)

    def advance(self, now: float) -> None:
        """Sends the request if it is due.

        Args:
            now: Clock now, in seconds.
        """
        if self.done or now < self.next_at:
            return
        if not self._running:
            self._send_next(now)
        else:
            self._hedge(now)

    def _send_next(self, now: float) -> None:
        context = self._context
        if len(self.leaves) >= context.route.max_attempts or self._unreachable > _MOST_UNREACHABLE:
            self._fail()
            return
        handle = self.pool.choose(
            tried=(*self.leaves, *self._avoid),
            now=now,
            repeatable=context.route.idempotent,
            typical_seconds=context.latencies.typical_seconds,
        )
        if handle is None:
            # With every leaf tried, or none listed, a wait would hardly bring a better one.
            tried_all = bool(self.leaves) and len(self.pool.handle_by_id) <= len(self.leaves)
            if tried_all or not self.pool.has_leaves(now):
                self._fail()
            else:
                self._avoid.clear()
                self.next_at = now + _POLL_SECONDS
            return
        if self.leaves:
            if not self.pool.budget.try_take(now):
                BUDGET_REFUSALS.inc()
                self.faults.append("no budget")
                self._fail()
                return
            self.extras += 1
        (_RETRIES if self.leaves else _FIRST_CALLS).inc()
        self._send(handle, now)

    def _hedge(self, now: float) -> None:
        context = self._context
        self.next_at = math.inf
        allowed = may_hedge(
            idempotent=context.route.idempotent,
            attempts=len(self.leaves),
            max_attempts=context.route.max_attempts,
            remaining_seconds=context.deadline_at - now,
            min_remaining_seconds=0.0,
        )
        if not allowed:
            return
        handle = self.pool.choose(
            tried=(*self.leaves, *self._avoid),
            now=now,
            typical_seconds=context.latencies.typical_seconds,
        )
        if handle is None:
            self.next_at = now + _POLL_SECONDS
            return
        if not self.pool.budget.try_take(now):
            BUDGET_REFUSALS.inc()
            if "no budget" not in self.faults:
                self.faults.append("no budget")
            self.next_at = now + _POLL_SECONDS
            return
        self.extras += 1
        _HEDGES.inc()
        self._send(handle, now)

    def _send(self, handle: LeafHandle, now: float) -> None:
        context = self._context
        clock = context.clock
        exchange = Exchange(
            request_id=context.request.id,
            method=context.request.method,
            encode=lambda: encode_leaf_request(
                context.request,
                leaf_id=handle.leaf.id,
                remaining_seconds=context.deadline_at - clock.now(),
            ),
            on_end=self._on_end,
            started_at=now,
        )
        self.leaves.append(handle.leaf.id)
        self._first_sent_at = min(self._first_sent_at, now)
        self.next_at = math.inf
        if context.route.idempotent:
            self.next_at = now + context.latencies.hedge_seconds(context.target_at - now)
        connection = self.pool.send(handle, exchange)
        if not exchange.ended:
            self._running[exchange] = _Attempt(handle, exchange, connection)

    # Results, reported by the tasks of connections.

    def _on_end(self, exchange: Exchange, result: LeafAnswer | LeafFault) -> None:
        attempt = self._running.pop(exchange, None)
        handle = attempt.handle if attempt else self.pool.handle_by_id.get(self.leaves[-1])
        now = self._context.clock.now()
        if isinstance(result, LeafFault):
            outcome = self._on_fault(handle, result)
        else:
            outcome = self._on_answer(exchange, result, now)
        if handle is not None:
            if isinstance(result, LeafAnswer) and result.load is not None:
                handle.tracker.record_load_report(result.load.running, result.load.queued, now)
            if isinstance(result, LeafAnswer) and result.misdirected:
                self.pool.on_other_leaf(handle)
            if exchange.abandoned and outcome is not LeafOutcome.OK:
                outcome = LeafOutcome.CANCELLED
            self.pool.finished(handle, exchange, outcome)
        _OUTCOMES[outcome].inc()
        if self.done:
            return
        if not self._running:
            self.next_at = now
        self._context.changed(self)

    def _on_fault(self, handle: LeafHandle | None, fault: LeafFault) -> LeafOutcome:
        self.faults.append(fault.kind.value)
        if fault.sent:
            self._may_have_run = True
        elif handle is not None:
            # Nothing arrived there, so this does not count as an attempt.
            self._unreachable += 1
            self.leaves.remove(handle.leaf.id)
            self._avoid.add(handle.leaf.id)
        if fault.sent and not self._context.route.idempotent and not self.done:
            self._fail()
            self._context.changed(self)
        if fault.kind is FaultKind.INVALID:
            return LeafOutcome.ERROR
        if fault.kind is FaultKind.SILENT:
            if handle is not None:
                # Connections go silent together; those that are idle may be silent too.
                handle.close_idle()
            return LeafOutcome.TIMEOUT
        return LeafOutcome.CONNECTION_LOST

    def _on_answer(self, exchange: Exchange, answer: LeafAnswer, now: float) -> LeafOutcome:
        context = self._context
        if answer.not_run:
            self.faults.append("other leaf" if answer.misdirected else "refused")
            return LeafOutcome.REFUSED
        if answer.is_success:
            seconds = now - exchange.started_at
            context.latencies.record(seconds, now, extra=exchange.started_at > self._first_sent_at)
            LEAF_SECONDS.observe(seconds)
            if not self.done:
                self.answer = answer
                self.end = CallEnd.ANSWERED
                self._abandon_others()
                context.changed(self)
            return LeafOutcome.OK
        self._may_have_run = True
        self.faults.append(f"status {answer.status}")
        if self.done:
            # A leaf that was overtaken by its hedge; the answer of the call is known.
            return LeafOutcome.ERROR
        if answer.may_be_returned:
            self.answer = answer
        if not context.route.idempotent:
            self._fail()
            context.changed(self)
        elif answer.may_be_returned and 400 <= answer.status < 500:
            # The request itself is at fault; another leaf would say the same.
            self.end = CallEnd.FAILED
            self._abandon_others()
            context.changed(self)
            return LeafOutcome.OK
        return LeafOutcome.ERROR

    def _fail(self) -> None:
        self.end = CallEnd.FAILED if self._may_have_run else CallEnd.NOT_RUN

    def _abandon_others(self) -> None:
        for attempt in list(self._running.values()):
            attempt.connection.abandon(linger_seconds=_LINGER_SECONDS)

    def stop(self, *, cancel: bool) -> None:
        """Ends the call because the query has ended.

        Args:
            cancel: Whether leaves are to drop the request at once, because the caller has left.
        """
        if not self.done:
            sent = self.was_sent
            self.end = CallEnd.FAILED if sent else CallEnd.NOT_RUN
        for attempt in list(self._running.values()):
            attempt.connection.abandon(linger_seconds=0.0 if cancel else _LINGER_SECONDS)
