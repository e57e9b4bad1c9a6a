"""The call of a query to one service: its first attempt, retries and hedges."""

import enum
import math
from collections.abc import Callable
from typing import Literal, NamedTuple

from filbertreach.decisions import (
    AdmissionWindow,
    CallerReserve,
    LeafOutcome,
    LeafTracker,
    WaitingCall,
    may_hedge,
)
from filbertreach.document import Route
from filbertreach.gateway._exchange import Exchange, FaultKind, LeafFault
from filbertreach.gateway._leaf_connection import LeafConnection
from filbertreach.gateway._leaf_handle import LeafHandle
from filbertreach.gateway._metrics import (
    BUDGET_REFUSALS,
    HELD_HEDGES,
    LEAF_CALLS,
    LEAF_OUTCOMES,
    LEAF_SECONDS,
    WAIT_SECONDS,
    WAITING_CALLS,
    rank_label,
)
from filbertreach.gateway._route_latencies import RouteLatencies
from filbertreach.gateway._service_pool import ServicePool
from filbertreach.platform import CallerRequest, LeafAnswer, encode_leaf_request
from filbertreach.quarantine import RequestGuard
from filbertreach.timing import Clock

REASON_NO_PLACE = "no place in time"
"""A call was not sent because no leaf is expected to have a place for it before the deadline."""
REASON_DISPLACED = "displaced"
"""A call was not sent because more urgent calls wait for the leaves of its service."""
REASON_REQUEST_LIMIT = "request limit"
"""A call was not sent because the leaves of its service are at their request limits."""
REASON_RETRY_LATER = "retry later"
"""A call was not sent because the leaves of its service have asked to be called later."""
_REASON_NO_BUDGET = "no budget"
"""A retry or hedge was not sent because the retry budget was used up."""
_CALLS = {kind: LEAF_CALLS.labels(kind) for kind in ("first", "retry", "hedge")}
_OUTCOMES = {outcome: LEAF_OUTCOMES.labels(outcome.value) for outcome in LeafOutcome}
_CHOICE_RETRY_SECONDS = 0.02
"""Time after which the choice of a leaf is repeated if no leaf or no budget was available."""
_ORDER_CHECK_SECONDS = 0.2
"""The same for a call that others precede; it is woken when it becomes the first. With many waiting
calls, more frequent checks would take the processor time that queries need."""
_MAX_CONNECT_FAILURES = 6
"""Number of connections that may fail to open before the call fails."""
_LINGER_SECONDS = 0.3
"""Time in which a leaf may still answer an abandoned request, so that its connection can be reused;
longer than a pause of a leaf."""


class CallState(enum.Enum):
    """Whether a call has ended, and how."""

    PENDING = "pending"
    """The call has not ended."""
    ANSWERED = "answered"
    """A leaf answered successfully."""
    NOT_RUN = "not_run"
    """No leaf ran the request."""
    FAILED = "failed"
    """A leaf may have run the request, and there is no successful answer."""


class CallContext(NamedTuple):
    """State shared by the calls of one query."""

    request: CallerRequest
    """Request of the caller."""
    route: Route
    """Its route."""
    deadline_at: float
    """Clock at the caller's deadline, in seconds."""
    target_at: float
    """Clock at the latency target of the route, in seconds."""
    clock: Clock
    """Source of time."""
    attempt_latencies: RouteLatencies
    """Latencies of the attempts of the route."""
    on_change: Callable[["ServiceCall"], None]
    """Called when a call has ended or has to be advanced."""
    reserve: CallerReserve | None = None
    """Gets the sizes of requests and parts; None if it is not used."""
    window: AdmissionWindow | None = None
    """Gets the load that leaves report; None if it is not used."""
    arrived_at: float = 0.0
    """Clock when the request arrived, in seconds; orders the calls that wait for a leaf."""
    guard: RequestGuard | None = None
    """Decides whether calls may be sent after leaves were lost; None to send all."""


class _Attempt(NamedTuple):
    handle: LeafHandle
    exchange: Exchange
    connection: LeafConnection


class ServiceCall:
    """Sends a request to one leaf of a service, and to further leaves if that one fails or is slow.

    All requests are sent by `advance`, in the task of the query.
    """

    def __init__(self, *, pool: ServicePool, context: CallContext) -> None:
        """Creates a call that has not been sent.

        Args:
            pool: Leaves of the service.
            context: State shared with the other calls of the query.
        """
        self.pool = pool
        self.state = CallState.PENDING
        self.answer: LeafAnswer | None = None
        """The successful answer, or else the last signed error response of a leaf."""
        self.next_action_at = -math.inf
        """Clock at which `advance` is to be called next, in seconds."""
        self.tried_leaf_ids: list[str] = []
        """Ids of the leaves that the request was sent to, in order."""
        self.extra_attempts = 0
        """Number of retries and hedges, each of which used the retry budget."""
        self.fault_reasons: list[str] = []
        """Reasons why attempts failed or were not made, for the log."""
        self._context = context
        self._attempt_by_exchange: dict[Exchange, _Attempt] = {}
        self._first_sent_at = math.inf
        self._may_have_run = False
        self._connect_failures = 0
        self._unreachable_leaf_ids: set[str] = set()
        self._waiting: WaitingCall | None = None
        """Place in the order of the service, None while the call does not wait."""
        self._waiting_since = 0.0
        self.waited_seconds = 0.0
        """Time for which the call waited for a leaf with a place for its rank, in seconds."""

    @property
    def done(self) -> bool:
        """Whether the call has ended."""
        return self.state is not CallState.PENDING

    @property
    def may_have_been_sent(self) -> bool:
        """Whether any leaf may have received the request."""
        return bool(self.tried_leaf_ids) and (
            self._may_have_run or any(e.sent for e in self._attempt_by_exchange)
        )

    @property
    def pending_leaf_id(self) -> str | None:
        """Id of the leaf of the latest attempt that is still running, None if there is none."""
        return next((a.handle.leaf.id for a in reversed(self._attempt_by_exchange.values())), None)

    def advance(self, now: float) -> None:
        """Sends the first attempt, a retry or a hedge if one is due.

        Args:
            now: Current clock, in seconds.
        """
        if self.done or now < self.next_action_at:
            return
        guard = self._context.guard
        if guard is not None and not guard.may_send():
            self.next_action_at = now + _CHOICE_RETRY_SECONDS
            return
        if self._waiting is not None and self._waiting.is_displaced:
            self.refuse(REASON_DISPLACED)
        elif not self._attempt_by_exchange:
            self._send_attempt(now)
        else:
            self._send_hedge(now)

    def available_at(self, now: float) -> float:
        """Returns the clock from which the first attempt may be sent; see `ServicePool`.

        Args:
            now: Current clock, in seconds.
        """
        route = self._context.route
        return self.pool.available_at(now, priority=route.priority, regions=route.home_regions)

    def is_held(self, now: float) -> bool:
        """Returns whether all leaves have asked to be called later; see `ServicePool`.

        Args:
            now: Current clock, in seconds.
        """
        return self.pool.is_held(now, regions=self._context.route.home_regions)

    def expected_wait(self, now: float) -> float:
        """Returns a lower bound of the time until the call is sent; see `ServiceAdmission`.

        Args:
            now: Current clock, in seconds.
        """
        if self.pool.admission is None:
            return 0.0
        context = self._context
        return self.pool.admission.expected_wait(
            self._listed_trackers(),
            rank=context.route.priority,
            arrived_at=context.arrived_at,
            now=now,
            typical_seconds=context.attempt_latencies.typical_seconds,
        )

    def load(self, now: float) -> float | None:
        """Returns the reported calls per slot of the median leaf; None without a recent report.

        One slow leaf does not count; the others take its calls.

        Args:
            now: Current clock, in seconds.
        """
        known = (tracker.mean_load(now) for tracker in self._listed_trackers())
        loads = sorted(load for load in known if load is not None)
        return loads[(len(loads) - 1) // 2] if loads else None

    def refuse(self, reason: str) -> None:
        """Ends the call before anything was sent.

        Args:
            reason: Reason for the log.
        """
        self.fault_reasons.append(reason)
        self._end_without_answer()

    def _send_attempt(self, now: float) -> None:
        context = self._context
        if (
            len(self.tried_leaf_ids) >= context.route.max_attempts
            or self._connect_failures > _MAX_CONNECT_FAILURES
        ):
            self._end_without_answer()
            return
        full_leaf_ids = self._full_leaf_ids(now)
        handle = None
        if full_leaf_ids is not None:
            handle = self._choose_leaf(now, full=full_leaf_ids)
        if handle is None:
            self._wait_or_end(now)
            return
        if self.tried_leaf_ids:
            if not self.pool.budget.try_acquire(now):
                BUDGET_REFUSALS.inc()
                self.fault_reasons.append(_REASON_NO_BUDGET)
                self._end_without_answer()
                return
            self.extra_attempts += 1
        self._send(handle, now, kind="retry" if self.tried_leaf_ids else "first")

    def _wait_or_end(self, now: float) -> None:
        """Waits for a leaf; ends the call if waiting is unlikely to yield one."""
        regions = self._context.route.home_regions
        tried = self.tried_leaf_ids
        tried_all = bool(tried) and (
            self.pool.count_candidates(tried=tried, regions=regions) <= len(tried)
        )
        if tried_all or not self.pool.has_leaves(now, regions=regions):
            self._end_without_answer()
        else:
            self._wait_for_leaf(now)

    def _choose_leaf(
        self, now: float, *, full: list[str], hedge: bool = False
    ) -> LeafHandle | None:
        """Chooses a leaf that was not tried; see `ServicePool`."""
        context = self._context
        return self.pool.choose(
            tried=(*self.tried_leaf_ids, *self._unreachable_leaf_ids),
            now=now,
            full=full,
            repeatable=context.route.idempotent,
            priority=context.route.priority,
            hedge=hedge,
            typical_seconds=context.attempt_latencies.typical_seconds,
            regions=context.route.home_regions,
            remaining_seconds=context.target_at - now,
        )

    def _listed_trackers(self) -> list[LeafTracker]:
        """Returns the leaves that may get the call and are not leaving."""
        regions = self._context.route.home_regions
        return [
            handle.tracker
            for leaf_id, handle in self.pool.handle_by_id.items()
            if leaf_id not in self.tried_leaf_ids
            and handle.usable_until == math.inf
            and self.pool.is_permitted(handle, regions)
        ]

    def _full_leaf_ids(self, now: float) -> list[str] | None:
        """Returns the leaves without a place for the call; None if other calls precede it.

        Leaves that are leaving are a last resort and take calls of any rank.
        """
        admission = self.pool.admission
        trackers = self._listed_trackers() if admission is not None else []
        if admission is None or not trackers:
            return []
        context = self._context
        full = admission.full_leaves(
            trackers,
            rank=context.route.priority,
            arrived_at=context.arrived_at,
            now=now,
            typical_seconds=context.attempt_latencies.typical_seconds,
        )
        return None if full is None else [tracker.leaf.id for tracker in full]

    def _busy_leaf_ids(self, now: float) -> list[str]:
        """Returns the leaves at which a hedge would wait."""
        admission = self.pool.admission
        if admission is None:
            return []
        typical_seconds = self._context.attempt_latencies.typical_seconds
        return [
            tracker.leaf.id
            for tracker in self._listed_trackers()
            if admission.is_busy(tracker, now=now, typical_seconds=typical_seconds)
        ]

    def _enter_order(self, now: float) -> None:
        """Begins to wait for a place, in the order of the service."""
        admission = self.pool.admission
        if admission is None or self._waiting is not None:
            return
        context = self._context
        rank = context.route.priority
        self._waiting = WaitingCall(
            rank=rank,
            arrived_at=context.arrived_at,
            leaf_ids=frozenset(tracker.leaf.id for tracker in self._listed_trackers()),
            wake=self._on_place,
        )
        self._waiting_since = now
        WAITING_CALLS.labels(rank_label(rank)).inc()
        slots = sum(handle.entry.slots for handle in self.pool.handle_by_id.values())
        admission.enter(self._waiting, slots, now)

    def _leave_order(self, *, started: bool) -> None:
        waiting, self._waiting = self._waiting, None
        if waiting is None or self.pool.admission is None:
            return
        now = self._context.clock.now()
        self.pool.admission.leave(waiting, now, started=started)
        WAITING_CALLS.labels(rank_label(waiting.rank)).dec()
        waited_seconds = now - self._waiting_since
        self.waited_seconds += waited_seconds
        WAIT_SECONDS.labels(rank_label(waiting.rank)).observe(waited_seconds)

    def _on_place(self) -> None:
        self.next_action_at = -math.inf
        self._context.on_change(self)

    def _wait_for_leaf(self, now: float) -> None:
        """Schedules the next choice of a leaf; ends the call if request limits forbid it too long.

        A scatter query does not wait for a shard whose leaves are at their limit: later queries
        need what the limit allows then. No query waits for leaves that have asked to be called
        later.
        """
        context = self._context
        available_at = self.pool.available_at(
            now,
            tried=self.tried_leaf_ids,
            priority=context.route.priority,
            regions=context.route.home_regions,
        )
        is_limited = now < available_at < math.inf
        is_held = is_limited and self.pool.is_held(
            now, tried=self.tried_leaf_ids, regions=context.route.home_regions
        )
        if is_limited and (context.route.shards or is_held or available_at > context.target_at):
            self.fault_reasons.append(REASON_RETRY_LATER if is_held else REASON_REQUEST_LIMIT)
            self._end_without_answer()
            return
        wait_seconds = self.expected_wait(now)
        typical_seconds = context.attempt_latencies.typical_seconds or 0.0
        if wait_seconds > 0.0 and now + wait_seconds + typical_seconds > context.deadline_at:
            self.refuse(REASON_NO_PLACE)
            return
        self._unreachable_leaf_ids.clear()
        self.next_action_at = now + _CHOICE_RETRY_SECONDS
        self._enter_order(now)
        if self._waiting is not None and not self._waiting.is_displaced:
            admission = self.pool.admission
            if admission is not None and not admission.is_first(self._waiting):
                self.next_action_at = now + _ORDER_CHECK_SECONDS
        if is_limited:
            self.next_action_at = max(self.next_action_at, available_at)

    def _send_hedge(self, now: float) -> None:
        context = self._context
        self.next_action_at = math.inf
        allowed = may_hedge(
            idempotent=context.route.idempotent,
            attempts=len(self.tried_leaf_ids),
            max_attempts=context.route.max_attempts,
            remaining_seconds=context.deadline_at - now,
            min_remaining_seconds=0.0,
        )
        if not allowed:
            return
        busy_leaf_ids = self._busy_leaf_ids(now)
        handle = self._choose_leaf(now, full=busy_leaf_ids, hedge=True)
        if handle is None:
            if busy_leaf_ids:
                HELD_HEDGES.inc()
            self.next_action_at = now + _CHOICE_RETRY_SECONDS
            return
        if not self.pool.budget.try_acquire(now):
            BUDGET_REFUSALS.inc()
            if _REASON_NO_BUDGET not in self.fault_reasons:
                self.fault_reasons.append(_REASON_NO_BUDGET)
            self.next_action_at = now + _CHOICE_RETRY_SECONDS
            return
        self.extra_attempts += 1
        self._send(handle, now, kind="hedge")

    def _send(
        self, handle: LeafHandle, now: float, *, kind: Literal["first", "retry", "hedge"]
    ) -> None:
        self._leave_order(started=True)
        _CALLS[kind].inc()
        handle.request_limit.count_call(kind, now)
        context = self._context
        exchange = Exchange(
            request_id=context.request.id,
            method=context.request.method,
            encode=lambda: self._encode(handle),
            on_result=self._on_result,
            started_at=now,
            may_send=lambda: self._may_write(handle, exchange),
        )
        self.tried_leaf_ids.append(handle.leaf.id)
        self._first_sent_at = min(self._first_sent_at, now)
        self.next_action_at = math.inf
        if context.route.idempotent:
            self.next_action_at = now + context.attempt_latencies.hedge_delay_seconds(
                context.target_at - now
            )
        connection = self.pool.send(handle, exchange, service_class=context.route.name)
        if not exchange.is_complete:
            self._attempt_by_exchange[exchange] = _Attempt(handle, exchange, connection)

    def _may_write(self, handle: LeafHandle, exchange: Exchange) -> bool:
        """Returns whether a request may be written now; it may have waited for its connection."""
        context = self._context
        now = context.clock.now()
        if not handle.retry_hold.returns_at <= now < handle.usable_until:
            return False
        if not self.pool.is_permitted(handle, context.route.home_regions):
            return False
        if context.guard is not None:
            if not context.guard.may_send():
                # Counts as cancelled: the leaf has not failed, as the call was never written.
                exchange.abandoned = True
                return False
            context.guard.on_sent()
        return True

    def _report_to_guard(
        self, guard: RequestGuard, attempt: "_Attempt", result: LeafAnswer | LeafFault
    ) -> None:
        """Reports the result of a call that was sent to the guard of the request."""
        if isinstance(result, LeafAnswer):
            if not result.not_run:
                guard.on_answered()
        elif result.sent and not attempt.exchange.abandoned:
            if result.kind is FaultKind.CONNECTION_LOST:
                guard.on_connection_lost(attempt.handle.entry.process, attempt.handle.leaf.address)
            guard.on_failed()

    def _encode(self, handle: LeafHandle) -> bytes:
        context = self._context
        now = context.clock.now()
        encoded = encode_leaf_request(
            context.request,
            leaf_id=handle.leaf.id,
            remaining_seconds=context.deadline_at - now,
        )
        if context.reserve is not None:
            context.reserve.record_sent(len(encoded), now)
        return encoded

    # Results, reported by the connections.

    def _on_result(self, exchange: Exchange, result: LeafAnswer | LeafFault) -> None:
        attempt = self._attempt_by_exchange.pop(exchange, None)
        if attempt is not None and self._context.guard is not None:
            self._report_to_guard(self._context.guard, attempt, result)
        handle = attempt.handle if attempt else self.pool.handle_by_id.get(self.tried_leaf_ids[-1])
        now = self._context.clock.now()
        if isinstance(result, LeafFault):
            outcome = self._on_fault(handle, result)
        else:
            outcome = self._on_answer(exchange, result, now)
        if handle is not None:
            if isinstance(result, LeafAnswer):
                self._record_reports(handle, exchange, result, now)
            if exchange.abandoned and outcome is not LeafOutcome.OK:
                outcome = LeafOutcome.CANCELLED
            self.pool.record_finish(handle, exchange, outcome, self._context.attempt_latencies)
        _OUTCOMES[outcome].inc()
        if self.done:
            return
        if not self._attempt_by_exchange:
            self.next_action_at = now
        self._context.on_change(self)

    def _record_reports(
        self, handle: LeafHandle, exchange: Exchange, answer: LeafAnswer, now: float
    ) -> None:
        """Records what an answer says of its leaf."""
        if answer.misdirected:
            # The answer comes from another leaf.
            self.pool.on_misdirected(handle)
            return
        handle.unreadable_headers.record(answer.unreadable_headers, now)
        if answer.leaving:
            self.pool.on_leaving(handle)
        if answer.retry_after_seconds is not None:
            self.pool.on_retry_after(handle, answer.retry_after_seconds)
        self.pool.record_load(handle, exchange, answer, now)
        if answer.load is not None and self._context.window is not None:
            calls = answer.load.running + answer.load.queued
            self._context.window.record_load(calls / handle.entry.slots, now)
        if answer.is_success:
            handle.retry_hold.on_success(exchange.started_at)
        if answer.request_limit is not None:
            handle.request_limit.on_named(answer.request_limit, now)
        elif answer.is_success:
            handle.request_limit.on_success(exchange.started_at, now)

    def _on_fault(self, handle: LeafHandle | None, fault: LeafFault) -> LeafOutcome:
        self.fault_reasons.append(fault.kind.value)
        if fault.sent:
            self._may_have_run = True
        elif handle is not None:
            # The leaf received nothing, so this does not count as an attempt.
            self._connect_failures += 1
            self.tried_leaf_ids.remove(handle.leaf.id)
            self._unreachable_leaf_ids.add(handle.leaf.id)
        if fault.sent and not self._context.route.idempotent and not self.done:
            self._end_without_answer()
            self._context.on_change(self)
        if fault.kind is FaultKind.INVALID:
            return LeafOutcome.ERROR
        if fault.kind is FaultKind.SILENT:
            if handle is not None:
                # Connections to a leaf tend to go silent together, so close the idle ones too.
                handle.close_idle()
            return LeafOutcome.TIMEOUT
        return LeafOutcome.CONNECTION_LOST

    def _on_answer(self, exchange: Exchange, answer: LeafAnswer, now: float) -> LeafOutcome:
        context = self._context
        if answer.not_run:
            self.fault_reasons.append("other leaf" if answer.misdirected else "refused")
            return LeafOutcome.REFUSED
        if answer.is_success:
            seconds = now - exchange.started_at
            context.attempt_latencies.record(
                seconds, now, extra=exchange.started_at > self._first_sent_at
            )
            LEAF_SECONDS.observe(seconds)
            if context.reserve is not None:
                context.reserve.record_part(len(answer.body))
            if not self.done:
                self.answer = answer
                self.state = CallState.ANSWERED
                self._abandon_running()
                context.on_change(self)
            return LeafOutcome.OK
        self._may_have_run = True
        self.fault_reasons.append(f"status {answer.status}")
        if self.done:
            # Another attempt was faster and has already ended the call.
            return LeafOutcome.ERROR
        if answer.may_be_returned:
            self.answer = answer
        if not context.route.idempotent:
            self._end_without_answer()
            context.on_change(self)
        elif answer.may_be_returned and 400 <= answer.status < 500:
            # The request itself is invalid; another leaf would return the same error.
            self.state = CallState.FAILED
            self._abandon_running()
            context.on_change(self)
            return LeafOutcome.OK
        return LeafOutcome.ERROR

    def _end_without_answer(self) -> None:
        self._leave_order(started=False)
        self.state = CallState.FAILED if self._may_have_run else CallState.NOT_RUN

    def _abandon_running(self) -> None:
        for attempt in list(self._attempt_by_exchange.values()):
            attempt.connection.abandon(linger_seconds=_LINGER_SECONDS)

    def stop(self, *, cancel: bool) -> None:
        """Ends the call because the query has ended.

        Args:
            cancel: Whether leaves are to cancel the request at once, because the caller has
                disconnected or the query has failed.
        """
        self._leave_order(started=False)
        if not self.done:
            sent = self.may_have_been_sent
            self.state = CallState.FAILED if sent else CallState.NOT_RUN
            if not self.tried_leaf_ids and not self.fault_reasons:
                self.fault_reasons.append("no room")
        for attempt in list(self._attempt_by_exchange.values()):
            attempt.connection.abandon(linger_seconds=0.0 if cancel else _LINGER_SECONDS)
