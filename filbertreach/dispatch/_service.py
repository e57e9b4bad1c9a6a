"""The owner of one service: its queue, hedges, retries and results."""

import itertools
import math
from collections.abc import Callable
from typing import NamedTuple

import anyio
import anyio.abc

from filbertreach.decisions import (
    HedgeBudget,
    HedgeDelay,
    LatencyTracker,
    may_hedge,
)
from filbertreach.dispatch._attempt_runner import AttemptRunner
from filbertreach.dispatch._errors import LeafError, LeafTimeoutError
from filbertreach.dispatch._exchange import SearchBody
from filbertreach.dispatch._leaf_link import LeafLink
from filbertreach.dispatch._leaf_set import LeafSet, LeavingLeaves
from filbertreach.dispatch._metrics import (
    CALL_RESULTS,
    LEAF_CALLS,
    QUEUE_SECONDS,
)
from filbertreach.dispatch._pending import Attempt, AttemptKind, PendingCall
from filbertreach.dispatch._queue import QueuedCall, make_queue
from filbertreach.dispatch._results import (
    make_answer,
    make_failure,
    reason_of,
)
from filbertreach.dispatch._slowdown_meter import SlowdownMeter
from filbertreach.document import Environment, Service
from filbertreach.observability import Tracing
from filbertreach.schema import Answer, DispatchSection, Failure, ServiceLoad
from filbertreach.timing import TimerService

_POLL_INTERVAL_SECONDS = 0.01
"""Polling interval while calls wait; no event announces that a probe or an expiry is due."""
_MAX_RETRY_LOOKUPS = 64
"""Unassigned calls for which replica selection is tried in one pass."""
_UNMEASURED_RESULTS = frozenset({"cancelled", "version_unavailable"})
"""Results that are not counted as latency samples of the client."""
_UNUSED_TIMEOUT_SECONDS = 30.0
"""The owner of a service that is neither owned here nor used is closed after this time."""

Reply = Callable[[PendingCall, Answer | Failure], None]


class ServiceSettings(NamedTuple):
    """Configuration of the owner of a service."""

    environment: Environment
    """Document in force."""
    service: Service
    """The service."""
    dispatch: DispatchSection
    """Settings of the process."""
    budget: HedgeBudget
    """Budget for hedges and retries, shared by all services of the environment in this process."""


class ServiceOwner:
    """Serves the calls of one service.

    Calls wait in the queue until a leaf has capacity and a connection is free; then the replica
    policy selects the leaf. All retries of calls to leaves are made here; hedges and retries share
    one budget.
    """

    def __init__(
        self,
        *,
        settings: ServiceSettings,
        timers: TimerService,
        tracing: Tracing,
        reply: Reply,
        is_owner: Callable[[], bool],
    ) -> None:
        """Prepares the owner; run it with `run`.

        Args:
            settings: Document, service and process settings.
            timers: Timer service of the process.
            tracing: Span exporter.
            reply: Called with the result of each call.
            is_owner: Returns whether this process owns the service in the current view.
        """
        self.environment = settings.environment
        self.service = settings.service
        self.last_used_at = timers.clock.now()
        self.slowdown_meter = SlowdownMeter()
        """Measures latency by client, from the arrival of a call to its answer."""
        self._dispatch = settings.dispatch
        self._timers = timers
        self._clock = timers.clock
        self._reply = reply
        self.is_owner = is_owner
        policy = settings.environment.policy
        self._queue = make_queue(
            policy=settings.dispatch["queue_policy"],
            ranks=settings.environment.ranks_by_name,
            max_length=settings.dispatch["max_queue"],
        )
        self._hedge_budget = settings.budget
        self._hedge_delay = HedgeDelay(quantile=policy.hedge_quantile)
        self._leaf_latency = LatencyTracker()
        """Latency of answered and timed-out attempts."""
        self._attempts = AttemptRunner(
            environment=settings.environment.name,
            listener=self,
            find_link=lambda leaf_id: self._leaves.link_by_id.get(leaf_id),
            tracing=tracing,
            clock=self._clock,
        )
        self._leaves = LeafSet(
            replica_policy=settings.dispatch["replica_policy"],
            health_seconds=settings.dispatch["health_interval_seconds"],
            serve=self._attempts.run,
            on_idle=self._dispatch_calls,
            is_owner=is_owner,
            clock=self._clock,
        )
        self._pending_by_key: dict[str, PendingCall] = {}
        self._unassigned: list[PendingCall] = []
        """Calls out of the queue that wait for a leaf with capacity, retries included."""
        self._attempt_ids = itertools.count(1)
        self._next_poll_at = math.inf
        self._group: anyio.abc.TaskGroup | None = None

    # Lifecycle.

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Keeps the connections of the service open until cancelled or closed.

        Args:
            task_status: Notified when calls can be accepted.
        """
        async with anyio.create_task_group() as group:
            self._group = group
            self._leaves.update_links(self.service, group)
            task_status.started()
            await anyio.sleep_forever()

    def close(self) -> None:
        """Cancels the tasks of the service."""
        if self._group is not None:
            self._group.cancel_scope.cancel()

    def is_unused(self, now: float) -> bool:
        """Returns whether another process owns the service and no calls arrived for 30 s.

        Args:
            now: Current clock time, in seconds.
        """
        idle = not self._pending_by_key and now - self.last_used_at > _UNUSED_TIMEOUT_SECONDS
        return idle and not self.is_owner()

    @property
    def is_idle(self) -> bool:
        """Whether no call is waiting or running."""
        return not self._pending_by_key

    def update(self, environment: Environment, budget: HedgeBudget) -> None:
        """Applies a newer generation of the document, which must contain the service.

        Args:
            environment: New document.
            budget: Hedge budget of the environment.
        """
        old = self.environment
        self.environment = environment
        self.service = environment.services_by_name[self.service.name]
        self._hedge_budget = budget
        if environment.policy.hedge_quantile != old.policy.hedge_quantile:
            self._hedge_delay = HedgeDelay(quantile=environment.policy.hedge_quantile)
        if environment.ranks_by_name != old.ranks_by_name:
            waiting = self._queue.drain()
            self._queue = make_queue(
                policy=self._dispatch["queue_policy"],
                ranks=environment.ranks_by_name,
                max_length=self._dispatch["max_queue"],
            )
            for queued in waiting:
                self._queue.push(queued)
        if self._group is not None:
            self._leaves.update_links(self.service, self._group)

    def set_leaving(self, leaving: LeavingLeaves) -> None:
        """Replaces the set of leaving leaves.

        Args:
            leaving: Leaving leaves according to the view and the document.
        """
        self._leaves.set_leaving(leaving)

    def announced_leaving(self) -> set[str]:
        """Returns the addresses of the leaves that reported that they are leaving."""
        return self._leaves.announced_leaving()

    # Calls.

    def accept(self, pending: PendingCall) -> None:
        """Accepts a call; `reply` is called exactly once with its result.

        Args:
            pending: The call.
        """
        self.last_used_at = self._clock.now()
        self._pending_by_key[pending.key] = pending
        refused = self._queue.push(self._queued(pending, pending.key))
        if refused is not None and not refused.payload.attempts:
            self._fail(refused.payload, "overloaded")
        self._dispatch_calls()

    def _queued(self, pending: PendingCall, key: str) -> QueuedCall:
        client = self.environment.clients_by_name.get(pending.call["client"])
        return QueuedCall(
            call_id=key,
            rank=pending.call["rank"],
            client=pending.call["client"],
            client_share=client.share if client and client.share > 0 else 1.0,
            enqueued_at=self._clock.now(),
            deadline_at=pending.deadline_at,
            payload=pending,
        )

    def cancel(self, key: str) -> None:
        """Cancels a call whose result is no longer needed.

        Args:
            key: `PendingCall.key`.
        """
        pending = self._pending_by_key.get(key)
        if pending is not None:
            self._fail(pending, "cancelled")

    def cancel_all_of(self, reply_to: str) -> None:
        """Cancels the calls of an entry process that was lost.

        Args:
            reply_to: ip:port of its inbox.
        """
        for key, pending in list(self._pending_by_key.items()):
            if pending.reply_to == reply_to:
                self.cancel(key)

    def load(self) -> ServiceLoad:
        """Returns the load of the service, as reported to entry processes."""
        now = self._clock.now()
        throughput = self._leaves.throughput()
        return ServiceLoad(
            environment=self.environment.name,
            service=self.service.name,
            queue_ms_by_rank={
                rank: 1000.0 * self._queue.estimate_wait_seconds(rank, throughput)
                for rank in self.environment.ranks_by_name
            },
            throughput_per_s=throughput,
            versions=sorted(self._leaves.versions(now)),
        )

    # Sending.

    def _dispatch_calls(self) -> None:
        """Sends waiting calls while leaves have capacity; unassigned calls go first."""
        now = self._clock.now()
        self._expire(now)
        self._send_unassigned(now)
        while len(self._queue):
            if not self._leaves.has_capacity(now, waiting=self._waiting()):
                break
            pacing_delay = self._pacing_delay_seconds(now)
            if pacing_delay > 0:
                self._poll_at(now + pacing_delay)
                break
            queued = self._queue.pop(now)
            if queued is None:
                break
            if queued.payload.attempts:
                self._send_extra(queued.payload, "hedge", now)
            else:
                self._send_first(queued.payload, now)
        if len(self._queue) or self._unassigned:
            self._poll_at(now + _POLL_INTERVAL_SECONDS)

    def _expire(self, now: float) -> None:
        """Fails calls that can't meet their deadline, which would use leaf capacity to no effect.

        While the queue is short, calls stay until the deadline itself: if all were dropped, no
        sample would show that the leaves have become faster.
        """
        overloaded = len(self._queue) > self._leaves.concurrency_limit()
        min_service_seconds = (self._leaf_latency.quantile(0.9) or 0.0) if overloaded else 0.0
        for queued in self._queue.expire(now, min_service_seconds):
            if not queued.payload.attempts:
                self._fail(queued.payload, "deadline")

    def _pacing_delay_seconds(self, now: float) -> float:
        return self._queue.pacing_delay_seconds(
            now,
            slots=self._leaves.concurrency_limit(),
            latency_seconds=self._leaf_latency.quantile(0.5) or 0.0,
        )

    def _waiting(self) -> int:
        return max(1, len(self._queue))

    def _poll_at(self, due: float) -> None:
        if due < self._next_poll_at:
            self._next_poll_at = due
            self._timers.call_at(due, self._poll)

    def _poll(self) -> None:
        if self._clock.now() >= self._next_poll_at:
            self._next_poll_at = math.inf
        self._dispatch_calls()

    def _send_unassigned(self, now: float) -> None:
        still_unassigned: list[PendingCall] = []
        for pending in self._unassigned:
            if pending.done:
                continue
            if now >= pending.deadline_at:
                self._fail(pending, "deadline")
                continue
            link = (
                self._leaves.choose_for(pending, now, waiting=self._waiting())
                if len(still_unassigned) < _MAX_RETRY_LOOKUPS
                else None
            )
            if link is None:
                still_unassigned.append(pending)
            else:
                self._send(pending, link, "retry" if pending.attempts else "first", now)
        self._unassigned = still_unassigned

    def _send_first(self, pending: PendingCall, now: float) -> None:
        rank = pending.call["rank"]
        QUEUE_SECONDS.labels(self.environment.name, rank).observe(now - pending.received_at)
        if not self._leaves.may_have_version(pending, now):
            self._fail(pending, "version_unavailable")
            return
        link = self._leaves.choose_for(pending, now, waiting=self._waiting())
        if link is None:
            self._unassigned.append(pending)
        else:
            self._send(pending, link, "first", now)

    def _send(self, pending: PendingCall, link: LeafLink, kind: AttemptKind, now: float) -> None:
        call_id = f"{pending.key}/{next(self._attempt_ids)}".replace("/", "-")
        attempt = Attempt(
            call_id=call_id, pending=pending, tracker=link.tracker, kind=kind, started_at=now
        )
        pending.attempt_by_id[call_id] = attempt
        pending.attempts += 1
        pending.tried_leaf_ids.add(link.leaf.id)
        link.tracker.record_start(now)
        LEAF_CALLS.labels(self.environment.name, kind).inc()
        if pending.first_sent_at is None:
            pending.first_sent_at = now
            self._hedge_budget.record_first_call(slow=self._hedge_delay.is_slow)
            self._hedge_delay.record_first_call()
        if kind != "hedge":
            self._plan_hedge(pending, now)
        link.assign(attempt)

    def _plan_hedge(self, pending: PendingCall, now: float) -> None:
        attempts = pending.attempts
        delay = self._hedge_delay.seconds(attempts)
        if delay is not None and pending.call["idempotent"] and self._dispatch["hedge"]:
            self._timers.call_at(now + delay, lambda: self._hedge(pending, attempts))

    def _hedge(self, pending: PendingCall, attempts: int) -> None:
        if pending.done or pending.attempts != attempts or not pending.attempt_by_id:
            return
        now = self._clock.now()
        allowed = may_hedge(
            idempotent=pending.call["idempotent"],
            attempts=attempts,
            max_attempts=self.environment.policy.max_attempts,
            remaining_seconds=pending.deadline_at - now,
            min_remaining_seconds=self._leaf_latency.quantile(0.5) or 0.0,
        )
        if not allowed or (attempts == 1 and not self._hedge_delay.record_overdue()):
            return
        if not self._send_extra(pending, "hedge", now) and self._hedge_budget.has_token:
            self._queue_hedge(pending)

    def _send_extra(self, pending: PendingCall, kind: AttemptKind, now: float) -> bool:
        """Sends a call to another leaf if one has capacity and the budget allows it."""
        if pending.done or not pending.attempt_by_id:
            return False
        link = self._leaves.choose_for(pending, now, waiting=self._waiting())
        if link is None or not self._hedge_budget.try_take():
            return False
        self._send(pending, link, kind, now)
        return True

    def _queue_hedge(self, pending: PendingCall) -> None:
        """Queues a hedge for which no leaf has capacity, in order with other calls."""
        refused = self._queue.push(self._queued(pending, pending.hedge_key))
        if refused is not None and not refused.payload.attempts:
            self._fail(refused.payload, "overloaded")

    # Attempts.

    def on_latency(self, attempt: Attempt, seconds: float) -> None:
        """Implements `AttemptListener`."""
        self._leaf_latency.record(seconds, self._clock.now())
        self._queue.record_service_time(attempt.pending.call["rank"], seconds)

    def on_answer(self, attempt: Attempt, body: SearchBody, *, seconds: float) -> None:
        """Implements `AttemptListener`."""
        pending = attempt.pending
        now = self._clock.now()
        assert pending.first_sent_at is not None
        self._hedge_delay.record(now - pending.first_sent_at, now)
        self._finish(pending, make_answer(attempt, body, seconds=seconds))

    def on_error(self, attempt: Attempt, error: LeafError) -> None:
        """Implements `AttemptListener`."""
        pending = attempt.pending
        if isinstance(error, LeafTimeoutError):
            self._fail(pending, "deadline")
            return
        pending.last_failure_reason = reason_of(error)
        self._retry_or_fail(pending, refused=not error.started)

    def on_expiry(self, pending: PendingCall) -> None:
        """Implements `AttemptListener`."""
        self._fail(pending, "deadline")

    def _retry_or_fail(self, pending: PendingCall, *, refused: bool) -> None:
        """Retries a call, or fails it if it may not be retried; no effect while an attempt runs.

        Args:
            pending: The call.
            refused: Whether it is certain that the last attempt did not start.
        """
        if pending.done or pending.attempt_by_id:
            return
        now = self._clock.now()
        may_run_again = pending.call["idempotent"] or not pending.may_have_started
        allowed = (
            may_run_again
            and pending.attempts < self.environment.policy.max_attempts
            and now < pending.deadline_at
            and self._leaves.may_have_version(pending, now)
            # A refused call costs the leaf almost nothing; its retry is not charged to the budget.
            and (refused or self._hedge_budget.try_take())
        )
        if not allowed:
            self._fail(pending, pending.last_failure_reason)
            return
        self._unassigned.append(pending)
        self._dispatch_calls()

    # Results.

    def _fail(self, pending: PendingCall, reason: str) -> None:
        if pending.done:
            return
        rank = pending.call["rank"]
        retry_after_ms = self._retry_after_ms(rank) if reason == "overloaded" else 0.0
        self._finish(pending, make_failure(pending, reason, retry_after_ms=retry_after_ms))

    def _retry_after_ms(self, rank: str) -> float:
        return 1000.0 * min(
            10.0, self._queue.estimate_wait_seconds(rank, self._leaves.throughput())
        )

    def _finish(self, pending: PendingCall, result: Answer | Failure) -> None:
        pending.done = True
        self._pending_by_key.pop(pending.key, None)
        self._queue.remove(pending.key)
        self._queue.remove(pending.hedge_key)
        for attempt in list(pending.attempt_by_id.values()):
            self._attempts.cancel(attempt)
        outcome = "answer" if result["kind"] == "answer" else result["reason"]
        CALL_RESULTS.labels(self.environment.name, pending.call["rank"], outcome).inc()
        if outcome not in _UNMEASURED_RESULTS:
            seconds = self._clock.now() - pending.received_at
            self.slowdown_meter.record(
                pending.call["client"], seconds if outcome == "answer" else math.inf
            )
        pending.span.set("result", outcome)
        pending.span.set("attempts", pending.attempts)
        pending.span.end()
        self._reply(pending, result)
