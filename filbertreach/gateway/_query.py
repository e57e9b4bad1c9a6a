"""One request of a caller, from its arrival to its answer."""

import heapq
import itertools
import math
import random
from typing import NamedTuple

import anyio

from filbertreach.decisions import LateShardLatencies, ObjectiveWait, WaitSettings
from filbertreach.document import Route
from filbertreach.gateway._route_latencies import RouteLatencies
from filbertreach.gateway._service_call import CallContext, CallEnd, ServiceCall
from filbertreach.gateway._service_pool import ServicePool
from filbertreach.platform import (
    CallerAnswer,
    CallerRequest,
    LeafAnswer,
    forward_answer,
    merge_answers,
    refuse,
)
from filbertreach.timing import Clock

_CALLER_RESERVE_SECONDS = 0.016
"""Part of the objective that is left for the way from and to the caller."""
_DEADLINE_RESERVE_SECONDS = 0.02
"""Part of the deadline that is left for the answer; leaves get it as their deadline too."""
_SENDS_AT_ONCE = 10
"""Calls that are sent before other tasks run."""
_RETRY_AFTER_SECONDS = 0.05
"""When a caller should try again after a request that no leaf could take."""


class QueryResult(NamedTuple):
    """The answer of a query and what it was made from."""

    answer: CallerAnswer
    """Answer to the caller."""
    outcome: str
    """answered, partial, leaf_answer, not_run, timeout or failed."""
    included: int
    """Shards in the answer."""
    calls: tuple[ServiceCall, ...]
    """The calls of the query."""


class Query:
    """Runs the calls of one request and makes the answer.

    A scatter route has a call for each shard; any other route has one.
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
    ) -> None:
        """Prepares the calls.

        Args:
            request: Request of the caller.
            route: Its route; its version of the configuration is kept for the whole query.
            pools: A pool for each shard, or the one of the service that answers.
            attempt_latencies: Latencies of the route's attempts.
            late_shard_latencies: Late shards of the route.
            clock: Source of time.
            arrived_at: Clock when the request arrived, in seconds.
        """
        wait_seconds = route.timeout_seconds
        if request.remaining_seconds is not None:
            wait_seconds = min(wait_seconds, request.remaining_seconds)
        self.route = route
        self.request = request
        self.deadline_at = arrived_at + max(0.0, wait_seconds - _DEADLINE_RESERVE_SECONDS)
        self._clock = clock
        target_seconds = max(0.0, route.objective_seconds - _CALLER_RESERVE_SECONDS)
        context = CallContext(
            request=request,
            route=route,
            deadline_at=self.deadline_at,
            target_at=arrived_at + target_seconds,
            clock=clock,
            latencies=attempt_latencies,
            changed=self._on_change,
        )
        self.calls = tuple(ServiceCall(pool=pool, context=context) for pool in pools)
        self._wait = ObjectiveWait(
            WaitSettings(
                shards_total=len(pools),
                started=arrived_at,
                target_seconds=target_seconds,
                deadline=self.deadline_at,
                least_coverage=route.least_coverage if route.shards else 1.0,
                latency=late_shard_latencies,
            )
        )
        self._counted: set[ServiceCall] = set()
        self._changed: list[ServiceCall] = []
        self._due: list[tuple[float, int, ServiceCall]] = []
        """Heap of the clocks at which calls have something to do; some are out of date."""
        self._numbers = itertools.count()
        self._woken = anyio.Event()

    async def run(self) -> QueryResult:
        """Sends the request and waits for as many shards as are worth it."""
        for number, call in enumerate(self.calls, start=1):
            now = self._clock.now()
            call.pool.budget.count_request(now)
            self._advance(call, now)
            if number % _SENDS_AT_ONCE == 0:
                # Answers to the first calls arrive meanwhile.
                await anyio.sleep(0)
        while True:
            now = self._clock.now()
            # Only calls with news are looked at: going through all of them at each answer took a
            # quarter of the processor time of a query over 90 shards.
            for call in self._take_changed():
                self._advance(call, now)
            while self._due and self._due[0][0] <= now:
                self._advance(heapq.heappop(self._due)[2], now)
            if self._wait.stop_waiting(now):
                return self._finish()
            if not self._changed:
                await self._sleep(now)

    def _advance(self, call: ServiceCall, now: float) -> None:
        """Counts the end of a call, or lets it send what is due."""
        if not call.done:
            call.advance(now)
        if call.done:
            self._count_end(call, now)
        elif call.next_at < math.inf:
            heapq.heappush(self._due, (call.next_at, next(self._numbers), call))

    def stop(self, *, cancel: bool) -> None:
        """Ends all calls.

        Args:
            cancel: Whether the caller has left.
        """
        for call in self.calls:
            call.stop(cancel=cancel)

    def _on_change(self, call: ServiceCall) -> None:
        self._changed.append(call)
        self._woken.set()

    def _take_changed(self) -> list[ServiceCall]:
        changed, self._changed = self._changed, []
        self._woken = anyio.Event()
        return changed

    def _count_end(self, call: ServiceCall, now: float) -> None:
        if call in self._counted:
            return
        self._counted.add(call)
        if call.end is CallEnd.ANSWERED:
            self._wait.on_answer(now)
        else:
            self._wait.on_failure(now)

    async def _sleep(self, now: float) -> None:
        check_at = self._wait.next_check(now) or now
        if self._due:
            check_at = min(check_at, self._due[0][0])
        if check_at > now:
            with anyio.move_on_after(check_at - now):
                await self._woken.wait()

    def _finish(self) -> QueryResult:
        now = self._clock.now()
        for call in self._take_changed():
            if call.end is CallEnd.ANSWERED:
                self._count_end(call, now)
        self.stop(cancel=False)
        answers = [call.answer for call in self.calls if call.end is CallEnd.ANSWERED]
        usable = [answer for answer in answers if answer is not None]
        if not self.route.shards:
            return self._finish_single(usable[0] if usable else None)
        if not self._wait.covered:
            return self._finish_failed(len(usable))
        missing = len(self.calls) - len(usable)
        answer = merge_answers(usable, missing=missing, top=self.route.top, request=self.request)
        return QueryResult(answer, "partial" if missing else "answered", len(usable), self.calls)

    def _finish_single(self, answer: LeafAnswer | None) -> QueryResult:
        call = self.calls[0]
        if call.answer is not None and call.end in (CallEnd.ANSWERED, CallEnd.FAILED):
            outcome = "answered" if answer is not None else "leaf_answer"
            return QueryResult(forward_answer(call.answer), outcome, 1, self.calls)
        return self._finish_failed(0)

    def _finish_failed(self, included: int) -> QueryResult:
        if all(call.end is CallEnd.NOT_RUN for call in self.calls):
            seconds = _RETRY_AFTER_SECONDS * (1.0 + random.random())
            answer = refuse(503, "no leaf could take it", retry_after_seconds=seconds)
            return QueryResult(answer, "not_run", included, self.calls)
        if self._clock.now() >= self.deadline_at:
            return QueryResult(refuse(504, "no answer in time"), "timeout", included, self.calls)
        answer = refuse(502, "the leaves did not answer")
        return QueryResult(answer, "failed", included, self.calls)
