"""Execution of one request of a caller: calls to the services and the merged answer."""

import heapq
import itertools
import math
import random
from typing import Any, NamedTuple

import anyio

from filbertreach.decisions import (
    MIN_CALLER_RESERVE_SECONDS,
    AdmissionWindow,
    CallerReserve,
    LateShardLatencies,
    ObjectiveWait,
    RequestArrival,
    WaitSettings,
    retry_after_seconds,
)
from filbertreach.document import Route
from filbertreach.gateway._metrics import REFUSED_BY_ADMISSION, rank_label
from filbertreach.gateway._route_latencies import RouteLatencies
from filbertreach.gateway._service_call import (
    REASON_DISPLACED,
    REASON_NO_PLACE,
    REASON_REQUEST_LIMIT,
    REASON_RETRY_LATER,
    CallContext,
    CallState,
    ServiceCall,
)
from filbertreach.gateway._service_pool import ServicePool
from filbertreach.platform import (
    CallerAnswer,
    CallerRequest,
    LeafAnswer,
    forward_answer,
    merge_answers,
    refuse,
)
from filbertreach.quarantine import STOPPED_REQUESTS, RequestGuard
from filbertreach.timing import Clock

_DEADLINE_RESERVE_SECONDS = 0.02
"""Part of the deadline reserved for sending the answer; also subtracted from the deadline that is
sent to leaves."""
_MAX_WAIT_SHARE = 0.5
"""Part of the time until the target for which a query may be expected to wait for leaves."""
_WINDOW_RETRY_SECONDS = 0.01
"""Time after which a query that found no room among those of its route tries again."""
_SENDS_PER_YIELD = 10
"""Number of calls that are sent before control is given to other tasks."""
_MAX_HOLD_SHARE = 0.5
"""Part of the time until the target for which calls are held until one of the first shards has
answered, on a route under which leaves have ended lately."""
_MIN_RETRY_SECONDS = 0.05
"""Shortest time after which a caller should repeat a request that no leaf ran."""


class QueryResult(NamedTuple):
    """The answer of a query, its outcome and its calls."""

    answer: CallerAnswer
    """Answer to the caller."""
    outcome: str
    """answered, partial, leaf_answer, not_run, limited, overloaded, timeout, leaves_lost or
    failed."""
    included: int
    """Number of shards included in the answer."""
    calls: tuple[ServiceCall, ...]
    """The calls of the query."""


class Query:
    """Runs the calls of one request and builds the answer.

    A request of a scatter route makes one call per shard; any other request makes a single call.
    """

    def __init__(
        self,
        *,
        request: CallerRequest,
        route: Route,
        pools: list[ServicePool],
        attempt_latencies: RouteLatencies,
        late_shard_latencies: LateShardLatencies,
        clock: Clock,
        arrived_at: float,
        reserve: CallerReserve | None = None,
        window: AdmissionWindow | None = None,
        arrival: RequestArrival | None = None,
        guard: RequestGuard | None = None,
    ) -> None:
        """Creates the calls; `run` sends them.

        Args:
            request: Request of the caller.
            route: Route of the request, used for the whole query even if the configuration changes.
            pools: The pool of each shard, or the pool of the single service.
            attempt_latencies: Latencies of the attempts of the route.
            late_shard_latencies: Latencies of the late shards of the route.
            clock: Source of time.
            arrived_at: Clock when the request arrived, in seconds.
            reserve: Part of the objective that is reserved for the way back to the caller; None for
                a constant one.
            window: Limit on the requests of the route in progress; None to admit all.
            arrival: How the request reached this host; None if unknown.
            guard: Decides what is sent after leaves were lost under the request; None to send all.
        """
        wait_seconds = route.timeout_seconds
        if request.remaining_seconds is not None:
            wait_seconds = min(wait_seconds, request.remaining_seconds)
        self.route = route
        self.request = request
        self.guard = guard
        """Decides what is sent after leaves were lost under the request."""
        self.deadline_at = arrived_at + max(0.0, wait_seconds - _DEADLINE_RESERVE_SECONDS)
        """Clock at which the answer is sent at the latest, in seconds."""
        self._clock = clock
        self._attempt_latencies = attempt_latencies
        self._window = window
        self._has_entered = False
        """Whether the request counts as in progress in the window."""
        self._arrived_at = arrived_at
        self._reserve = reserve
        self._arrival = arrival or RequestArrival()
        self.decided_at = math.inf
        """Clock when the query stopped waiting for answers, in seconds; infinite before."""
        self._reserve_seconds = MIN_CALLER_RESERVE_SECONDS
        self._arrival_seconds = 0.0
        """Time for which the request may have waited behind arriving parts, in seconds."""
        self._expected_parts = 0
        """Parts of this query that have not arrived, as counted in the reserve."""
        if reserve is not None:
            self._arrival_seconds = reserve.arrival_seconds()
        self._target_at = self._compute_target(arrived_at)
        context = CallContext(
            request=request,
            arrived_at=arrived_at,
            route=route,
            deadline_at=self.deadline_at,
            target_at=self._target_at,
            clock=clock,
            attempt_latencies=attempt_latencies,
            on_change=self._on_change,
            reserve=reserve,
            window=window,
            guard=guard,
        )
        self.calls = tuple(ServiceCall(pool=pool, context=context) for pool in pools)
        self._wait = ObjectiveWait(
            WaitSettings(
                shards_total=len(pools),
                started=arrived_at,
                target_seconds=max(0.0, route.objective_seconds - self._reserve_seconds),
                deadline=self.deadline_at,
                least_coverage=route.least_coverage if route.shards else 1.0,
                latency=late_shard_latencies,
            )
        )
        self._admission = any(pool.admission is not None for pool in pools)
        self._expected_wait_seconds = 0.0
        """Expected wait at the last of the shards that an answer needs, when the request came."""
        self._refused_because = ""
        self._counted_calls: set[ServiceCall] = set()
        self._changed_calls: list[ServiceCall] = []
        self._due_calls: list[tuple[float, int, ServiceCall]] = []
        """Heap of the clocks at which calls are to be advanced; entries may be out of date."""
        self._tie_breaker = itertools.count()
        self._wakeup = anyio.Event()
        self._first_calls = self.calls
        """Calls that are sent at once."""
        self._held_calls: list[ServiceCall] = []
        """Calls that are sent once one of the first shards has answered."""
        self._hold_ends_at = math.inf
        """Clock at which they are sent without an answer, in seconds."""
        if guard is not None:
            guard.on_change = self._on_guard_change

    async def run(self) -> QueryResult:
        """Sends the calls and waits until the wait policy ends the query.

        Returns:
            The answer and its outcome.
        """
        now = self._clock.now()
        for call in self.calls:
            if call.pool.admission is not None:
                call.pool.admission.record_request(self.route.priority, now)
        refusal = (
            self._refuse_if_unavailable(now)
            or await self._enter_window()
            or self._refuse_if_overloaded(self._clock.now())
        )
        if refusal is not None:
            return refusal
        self._expect_parts(len(self.calls))
        await self._send_calls(self._hold_calls())
        while True:
            now = self._clock.now()
            # Only changed calls are advanced: advancing all calls at each answer took a quarter of
            # the processor time of a query over 90 shards.
            for call in self._take_changed():
                self._advance(call, now)
            while self._due_calls and self._due_calls[0][0] <= now:
                self._advance(heapq.heappop(self._due_calls)[2], now)
            if self._reserve is not None:
                self._target_at = self._compute_target(now)
                self._wait.move_target(self._target_at)
            if self._is_stopped() or self._wait.stop_waiting(now):
                return self._build_result()
            if self._held_calls and self._may_send_held(now):
                held, self._held_calls = self._held_calls, []
                await self._send_calls(held)
                continue
            if not self._changed_calls:
                await self._wait_for_event(now)

    async def _send_calls(self, calls: list[ServiceCall]) -> None:
        for number, call in enumerate(calls, start=1):
            if self._is_stopped():
                return
            now = self._clock.now()
            call.pool.budget.count_request(now)
            self._advance(call, now)
            if number % _SENDS_PER_YIELD == 0:
                # Lets answers to the first calls be processed.
                await anyio.sleep(0)

    def _hold_calls(self) -> list[ServiceCall]:
        """Holds the calls that wait for an answer to others; returns those that are sent now."""
        first = None if self.guard is None else self.guard.first_shards
        if first is None:
            return list(self.calls)
        now = self._clock.now()
        self._hold_ends_at = now + _MAX_HOLD_SHARE * (self._target_at - now)
        self._held_calls = [call for n, call in enumerate(self.calls) if n not in first]
        self._first_calls = tuple(self.calls[number] for number in first)
        return list(self._first_calls)

    def _may_send_held(self, now: float) -> bool:
        guard = self.guard
        if guard is None or not guard.may_send():
            return False
        if guard.is_answered:
            return True
        return not guard.is_trial and (now >= self._hold_ends_at or self._are_first_done())

    def _are_first_done(self) -> bool:
        return all(call.done for call in self._first_calls)

    def _is_stopped(self) -> bool:
        """Returns whether the query ends because of leaves lost under requests with its content."""
        guard = self.guard
        if guard is None:
            return False
        if guard.is_stopped():
            return True
        # A trial whose first shard has not answered is not sent to the others.
        has_failed = guard.is_trial and not guard.is_answered and bool(self._held_calls)
        return has_failed and self._are_first_done()

    def _on_guard_change(self) -> None:
        self._wakeup.set()

    def _refuse_if_unavailable(self, now: float) -> QueryResult | None:
        """Refuses a query for which too few shards have a leaf that may be called.

        Nothing is sent, so that what the request limits of the leaves allow is left for queries
        that can be answered. A request to a single service may wait until its target, but not for
        leaves that have asked to be called later.
        """
        available_at = self._available_at(now)
        if available_at <= now:
            return None
        may_wait = not self.route.shards and not self.calls[0].is_held(now)
        if may_wait and available_at <= self._target_at:
            return None
        for call in self.calls:
            if (call_available_at := call.available_at(now)) > now:
                limit = REASON_RETRY_LATER if call.is_held(now) else REASON_REQUEST_LIMIT
                call.refuse(limit if call_available_at < math.inf else "no leaf")
        if available_at == math.inf:
            return QueryResult(_refuse_not_run(), "not_run", 0, self.calls)
        return QueryResult(_refuse_not_run(available_at - now), "limited", 0, self.calls)

    def _available_at(self, now: float) -> float:
        """Returns the clock from which enough calls have a leaf that may be called."""
        return sorted(call.available_at(now) for call in self.calls)[self._wait.needed - 1]

    def _refuse_if_overloaded(self, now: float) -> QueryResult | None:
        """Refuses a query that can't be answered in time as its calls would wait too long.

        Only calls that find no place count. A query that would have to wait and then miss its
        target is refused too: otherwise, requests that come faster than leaves serve them all wait
        until just before their deadline, and each answer is late.
        """
        if not self._admission:
            return None
        waits = sorted(call.expected_wait(now) for call in self.calls)
        self._expected_wait_seconds = wait = waits[self._wait.needed - 1]
        if wait <= 0.0:
            return None
        if now + wait + (self._attempt_latencies.typical_seconds or 0.0) > self.deadline_at:
            return self._refuse_overloaded("deadline", wait)
        if wait > _MAX_WAIT_SHARE * (self._target_at - now):
            return self._refuse_overloaded("objective", wait)
        return None

    def _load(self, now: float) -> float | None:
        """Returns the mean load over the shards; None if no leaf has reported lately."""
        loads = [load for call in self.calls if (load := call.load(now)) is not None]
        return sum(loads) / len(loads) if loads else None

    async def _enter_window(self) -> QueryResult | None:
        """Waits for room among the requests of the route; refuses the query if leaves are busy."""
        window = self._window
        if window is None:
            return None
        began_at = self._clock.now()
        self._update_window(window, began_at)
        if not window.admit():
            return self._refuse_overloaded("load", window.full_share_in_seconds(began_at))
        refusal = await self._wait_for_room(window, began_at)
        self._has_entered = refusal is None
        return refusal

    def _update_window(self, window: AdmissionWindow, now: float) -> None:
        """Updates the window by the load of the leaves if an update is due."""
        if not window.is_due(now):
            return
        rank = self.route.priority
        admissions = [c.pool.admission for c in self.calls if c.pool.admission is not None]
        window.update(
            self._load(now),
            preceding_ranks=max((a.preceding_ranks(rank, now) for a in admissions), default=0),
            now=now,
        )

    async def _wait_for_room(self, window: AdmissionWindow, began_at: float) -> QueryResult | None:
        """Enters the window; refuses the query if there is no room in time and the load is known.

        Args:
            window: The window.
            began_at: Clock when the wait began, in seconds.
        """
        now = began_at
        waits_until = began_at + _MAX_WAIT_SHARE * (
            min(self._target_at, self.deadline_at) - began_at
        )
        while not window.try_enter():
            if now >= waits_until:
                if window.is_load_known(self._load(now), now):
                    return self._refuse_overloaded("window", window.full_share_in_seconds(now))
                window.try_enter(beyond_limit=True)
                break
            await anyio.sleep(_WINDOW_RETRY_SECONDS)
            now = self._clock.now()
        return None

    def _refuse_overloaded(self, reason: str, available_in_seconds: float) -> QueryResult:
        """Refuses a query of which nothing was sent."""
        now = self._clock.now()
        for call in self.calls:
            if call.pool.admission is not None:
                call.pool.admission.record_shortage(self.route.priority, now)
            if not call.done:
                call.refuse(REASON_NO_PLACE)
        self.stop(cancel=False)
        rank = self.route.priority
        self._refused_because = reason
        REFUSED_BY_ADMISSION.labels(rank_label(rank), reason).inc()
        answer = refuse(
            503,
            "the leaves are busy",
            retry_after_seconds=retry_after_seconds(available_in_seconds, rank),
        )
        return QueryResult(answer, "overloaded", 0, self.calls)

    def _advance(self, call: ServiceCall, now: float) -> None:
        """Advances a call, then counts it if it has ended or schedules its next action."""
        if not call.done:
            call.advance(now)
        if call.done:
            self._count_end(call, now)
        elif call.next_action_at < math.inf:
            heapq.heappush(self._due_calls, (call.next_action_at, next(self._tie_breaker), call))

    def stop(self, *, cancel: bool) -> None:
        """Ends all calls.

        Args:
            cancel: Whether leaves should cancel the calls, because the caller has disconnected or
                the query has failed.
        """
        self._expect_parts(0)
        if self._window is not None and self._has_entered:
            self._window.leave()
            self._has_entered = False
        for call in self.calls:
            call.stop(cancel=cancel)

    def log_fields(self) -> dict[str, Any]:
        """Returns the fields of the log line for the reserve, admission and lost leaves."""
        fields: dict[str, Any] = {}
        if self._reserve is not None:
            fields["reserve_ms"] = round(self._reserve_seconds * 1000, 1)
        if self._admission:
            fields["rank"] = self.route.priority
        waited_seconds = max(call.waited_seconds for call in self.calls)
        if waited_seconds:
            fields["waited_ms"] = round(waited_seconds * 1000, 1)
        if self.guard is not None and self.guard.losses.ended:
            fields["leaves_lost"] = sorted(leaf for leaf, _ in self.guard.losses.ended)
            fields["fingerprint"] = self.guard.fingerprint.hex()
        if self._refused_because:
            fields["refused_because"] = self._refused_because
            fields["expected_wait_ms"] = round(self._expected_wait_seconds * 1000, 1)
            if self._window is not None:
                fields["admitted_share"] = round(min(1.0, self._window.share), 2)
        return fields

    def _expect_parts(self, parts: int) -> None:
        """Sets the number of parts of this query that have not arrived."""
        if self._reserve is not None:
            self._reserve.expected_parts += parts - self._expected_parts
            self._expected_parts = parts

    def _compute_target(self, now: float) -> float:
        """Returns the clock at which an answer has to be sent to reach the caller in time.

        It moves with what other queries have put on the link and the event loop.
        """
        objective_seconds = self.route.objective_seconds
        if self._reserve is not None:
            self._reserve_seconds = self._reserve.seconds(
                now,
                objective_seconds=objective_seconds,
                arrival_seconds=self._arrival_seconds,
                own_parts=self._expected_parts,
                arrival=self._arrival,
            )
        return self._arrived_at + max(0.0, objective_seconds - self._reserve_seconds)

    def _on_change(self, call: ServiceCall) -> None:
        self._changed_calls.append(call)
        self._wakeup.set()

    def _take_changed(self) -> list[ServiceCall]:
        changed, self._changed_calls = self._changed_calls, []
        self._wakeup = anyio.Event()
        return changed

    def _longest_expected_wait(self, now: float) -> float:
        return max(call.expected_wait(now) for call in self.calls)

    def _count_end(self, call: ServiceCall, now: float) -> None:
        if call in self._counted_calls:
            return
        self._counted_calls.add(call)
        if self._expected_parts:
            self._expect_parts(self._expected_parts - 1)
        if call.state is CallState.ANSWERED:
            self._wait.on_answer(now)
        else:
            self._wait.on_failure(now)

    async def _wait_for_event(self, now: float) -> None:
        check_at = self._wait.next_check(now) or now
        if self._due_calls:
            check_at = min(check_at, self._due_calls[0][0])
        if self._held_calls and self._hold_ends_at > now:
            check_at = min(check_at, self._hold_ends_at)
        if check_at > now:
            with anyio.move_on_after(check_at - now):
                await self._wakeup.wait()

    def _build_result(self) -> QueryResult:
        now = self.decided_at = self._clock.now()
        for call in self._take_changed():
            if call.state is CallState.ANSWERED:
                self._count_end(call, now)
        # Without enough shards, what still runs is of no use.
        is_stopped = self._is_stopped()
        if is_stopped:
            STOPPED_REQUESTS.inc()
        self.stop(cancel=is_stopped or (self._admission and not self._wait.covered))
        answers = [call.answer for call in self.calls if call.state is CallState.ANSWERED]
        usable = [answer for answer in answers if answer is not None]
        if not self.route.shards:
            return self._build_single_result(usable[0] if usable else None)
        if not self._wait.covered:
            return self._build_failure(len(usable))
        missing = len(self.calls) - len(usable)
        answer = merge_answers(usable, missing=missing, top=self.route.top, request=self.request)
        if self._reserve is not None:
            size = len(answer.body) + sum(len(name) + len(value) for name, value in answer.headers)
            self._reserve.record_answer(size, now)
        return QueryResult(answer, "partial" if missing else "answered", len(usable), self.calls)

    def _build_single_result(self, answer: LeafAnswer | None) -> QueryResult:
        call = self.calls[0]
        if call.answer is not None and call.state in (CallState.ANSWERED, CallState.FAILED):
            outcome = "answered" if answer is not None else "leaf_answer"
            return QueryResult(forward_answer(call.answer), outcome, 1, self.calls)
        return self._build_failure(0)

    def _build_failure(self, included: int) -> QueryResult:
        now = self._clock.now()
        if all(call.state is CallState.NOT_RUN for call in self.calls):
            return self._build_not_run(included, now)
        if self._is_stopped():
            answer = refuse(502, "leaves have ended while they ran the request")
            return QueryResult(answer, "leaves_lost", included, self.calls)
        if now >= self.deadline_at:
            return QueryResult(refuse(504, "no answer in time"), "timeout", included, self.calls)
        answer = refuse(502, "the leaves did not answer")
        return QueryResult(answer, "failed", included, self.calls)

    def _build_not_run(self, included: int, now: float) -> QueryResult:
        available_at = self._available_at(now)
        if now < available_at < math.inf:
            # The leaves have refused the request and named the time.
            refusal = _refuse_not_run(available_at - now)
            return QueryResult(refusal, "limited", included, self.calls)
        reasons = {reason for call in self.calls for reason in call.fault_reasons}
        if REASON_DISPLACED in reasons:
            return self._refuse_overloaded("displaced", self._longest_expected_wait(now))
        if REASON_NO_PLACE in reasons:
            return self._refuse_overloaded("deadline", self._longest_expected_wait(now))
        return QueryResult(_refuse_not_run(), "not_run", included, self.calls)


def _refuse_not_run(available_in_seconds: float = 0.0) -> CallerAnswer:
    """Creates the refusal of a request that no leaf has run.

    Args:
        available_in_seconds: Time until leaves may be called.
    """
    # Spread, so that callers which were refused together do not return together.
    seconds = max(_MIN_RETRY_SECONDS, available_in_seconds) * (1.0 + random.random())
    return refuse(503, "no leaf could take it", retry_after_seconds=seconds)
