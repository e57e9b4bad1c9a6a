"""Queries under which leaves end, without a network."""

import math
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

import anyio
import pytest

from filbertreach.decisions import LateShardLatencies
from filbertreach.document import Leaf, Route
from filbertreach.gateway._exchange import Exchange, FaultKind, LeafFault
from filbertreach.gateway._leaf_handle import Location
from filbertreach.gateway._query import Query, QueryResult
from filbertreach.gateway._request_turns import TurnSchedule
from filbertreach.gateway._retry_budget import RetryBudgetSettings
from filbertreach.gateway._route_latencies import RouteLatencies
from filbertreach.gateway._service_pool import ServicePool
from filbertreach.platform import Bounds, LeafEntry, read_leaf_answer, read_request_head
from filbertreach.quarantine import GuardContext, RecentCrashes, RequestGuard, RequestQuarantine
from filbertreach.timing import SystemClock

_SHARDS = 24
_KEY = b"k" * 16
_TIMEOUT_SECONDS = 10.0
"""Of a test; one that passes takes less than a second."""


class _Call(NamedTuple):
    leaf: str
    exchange: Exchange


class _Fleet:
    """Leaves whose connections the test opens and ends."""

    def __init__(self) -> None:
        self.clock = SystemClock()
        self.opened: list[_Call] = []
        """Calls whose connections are being opened."""
        self.written: list[_Call] = []
        self.quarantine = RequestQuarantine(host="a")
        self.crashes = RecentCrashes()
        self.context = GuardContext(
            quarantine=self.quarantine,
            crashes=self.crashes,
            check_leaf=lambda process, address, on_checked: on_checked(True),
            on_loss=lambda key, route: None,
            now=self.clock.now,
        )
        budget = RetryBudgetSettings()
        budget.update(Bounds(3.0, 3.0, 6.0, 0.2, 10.0, 160.0))
        self.pools = [self._make_pool(f"shard-{number}", budget) for number in range(_SHARDS)]

    def _make_pool(self, service: str, budget: RetryBudgetSettings) -> ServicePool:
        def spawn(run: Callable[[], Coroutine[Any, Any, None]], name: str) -> None:
            connection = run.__self__  # type: ignore[attr-defined]
            self.opened.append(_Call(connection.leaf.id, connection.exchange))

        pool = ServicePool(
            service=service,
            location=Location("minho", "minho-1"),
            budget=budget,
            drain_seconds=3.0,
            schedule=TurnSchedule(),
            clock=self.clock,
            spawn=spawn,
        )
        for number in range(3):
            leaf = Leaf(f"{service}/{number}", "127.0.0.1:1", "minho", "minho-1")
            pool.update_leaf(LeafEntry(leaf, service, 2, False, 1), since=0.0)
        return pool

    def query(self, *, guarded: bool = True) -> Query:
        route = Route(
            name="r",
            host="h",
            prefix="/",
            idempotent=True,
            timeout_seconds=2.0,
            objective_seconds=1.0,
            max_attempts=3,
            priority=0,
            weight_by_service={},
            shards=tuple(pool.service for pool in self.pools),
            top=3,
            least_coverage=0.9,
        )
        headers = [(b"host", b"h"), (b"x-request-id", b"id-1")]
        request = read_request_head(method="GET", target=b"/x", headers=headers, body=b"")
        now = self.clock.now()
        guard = RequestGuard(
            fingerprint=_KEY,
            route="r",
            shards=_SHARDS,
            verdict=self.quarantine.verdict(_KEY, now),
            context=self.context,
        )
        return Query(
            request=request,
            route=route,
            pools=self.pools,
            attempt_latencies=RouteLatencies(),
            late_shard_latencies=LateShardLatencies(),
            clock=self.clock,
            arrived_at=now,
            guard=guard if guarded else None,
        )

    def write(self, calls: int = 1_000) -> list[_Call]:
        """Opens connections; their requests are written if they still may be."""
        opening, self.opened = self.opened[:calls], self.opened[calls:]
        written = []
        for call in opening:
            if call.exchange.is_complete:
                continue
            if call.exchange.may_send():
                call.exchange.sent = True
                written.append(call)
            else:
                call.exchange.complete(LeafFault(FaultKind.UNREACHABLE, False))
        self.written += written
        return written


def _lose(call: _Call) -> None:
    call.exchange.complete(LeafFault(FaultKind.CONNECTION_LOST, True))


def _answer(call: _Call) -> None:
    headers = [(b"x-request-id", b"id-1"), (b"x-server-stamp", b"s")]
    call.exchange.complete(read_leaf_answer(status=200, headers=headers, body=b"r" * 16))


def _run(query: Query, play: Callable[[], Coroutine[Any, Any, None]]) -> tuple[QueryResult, float]:
    """Runs a query while the test plays the leaves; returns its result and its seconds."""
    results: list[QueryResult] = []
    clock = SystemClock()

    async def run_query() -> None:
        results.append(await query.run())

    async def run_all() -> float:
        began_at = clock.now()
        with anyio.fail_after(_TIMEOUT_SECONDS):
            async with anyio.create_task_group() as group:
                group.start_soon(run_query)
                await play()
        return clock.now() - began_at

    seconds = anyio.run(run_all)
    return results[0], seconds


async def _settle() -> None:
    await anyio.sleep(0.05)


def test_after_two_lost_leaves_nothing_is_written_and_the_answer_is_immediate() -> None:
    # Guards against retries at the second replicas, and against calls that wait for connections.
    fleet = _Fleet()
    query = fleet.query()

    async def play() -> None:
        await _settle()
        first, second, *rest = fleet.write(6)
        _lose(first)
        _lose(second)
        await _settle()
        assert fleet.write() == []
        assert all(call.exchange.abandoned for call in rest)
        await _settle()
        assert fleet.write() == []

    result, seconds = _run(query, play)
    assert (result.answer.status, result.outcome) == (502, "leaves_lost")
    assert len(fleet.written) == 6
    assert seconds < 0.5


def test_without_a_guard_all_shards_and_replicas_are_called() -> None:
    # Shows the losses that the guard prevents.
    fleet = _Fleet()
    query = fleet.query(guarded=False)

    async def play() -> None:
        await _settle()
        for _ in range(4):
            for call in fleet.write():
                _lose(call)
            await _settle()

    result, _seconds = _run(query, play)
    assert result.answer.status == 502
    assert len(fleet.written) >= 2 * _SHARDS


def test_one_lost_leaf_is_retried_as_usual() -> None:
    # Guards against requests that fail because one leaf has ended under them.
    fleet = _Fleet()
    query = fleet.query()

    async def play() -> None:
        await _settle()
        lost, *rest = fleet.write()
        _lose(lost)
        for call in rest:
            _answer(call)
        await _settle()
        (retry,) = fleet.write()
        _answer(retry)

    result, _seconds = _run(query, play)
    assert (result.answer.status, result.outcome) == (200, "answered")


def test_an_answer_with_enough_shards_is_returned_although_leaves_were_lost() -> None:
    # Guards against a 502 for a query that has what its answer needs.
    fleet = _Fleet()
    query = fleet.query()

    async def play() -> None:
        await _settle()
        first, second, *rest = fleet.write()
        for call in rest:
            _answer(call)
        _lose(first)
        _lose(second)

    result, seconds = _run(query, play)
    assert (result.answer.status, result.outcome) == (200, "partial")
    assert seconds < 0.5


@pytest.mark.parametrize("end", ["answer", "lose"])
def test_after_a_recent_crash_a_few_shards_are_called_first(end: str) -> None:
    # Guards against a request that ends the leaves of all shards in the first milliseconds.
    fleet = _Fleet()
    fleet.crashes.on_lost("r", fleet.clock.now())
    query = fleet.query()

    async def play() -> None:
        await _settle()
        first, second = fleet.write()
        if end == "lose":
            _lose(first)
            _lose(second)
            return
        _answer(first)
        await _settle()
        assert len(fleet.opened) == _SHARDS - 2
        for call in [second, *fleet.write()]:
            _answer(call)

    result, seconds = _run(query, play)
    assert result.answer.status == (200 if end == "answer" else 502)
    assert len(fleet.written) == (_SHARDS if end == "answer" else 2)
    assert seconds < 0.5


def test_slow_first_shards_hold_the_others_only_for_a_while() -> None:
    # Guards against a query that misses its objective because its first leaves are stuck.
    fleet = _Fleet()
    fleet.crashes.on_lost("r", fleet.clock.now())
    query = fleet.query()

    async def play() -> None:
        await _settle()
        stuck = fleet.write()
        while len(fleet.written) < _SHARDS:
            for call in fleet.write():
                _answer(call)
            await anyio.sleep(0.01)
        for call in stuck:
            _answer(call)

    result, seconds = _run(query, play)
    assert result.answer.status == 200
    assert 0.3 < seconds < 0.9


def test_a_copy_in_progress_ends_when_its_content_is_quarantined() -> None:
    # Guards against copies that were sent before the quarantine and end further leaves.
    fleet = _Fleet()
    query = fleet.query()

    async def play() -> None:
        await _settle()
        fleet.write(3)
        now = fleet.clock.now()
        for leaf in ("x", "y"):
            fleet.quarantine.on_lost(_KEY, (leaf, 1), attempts=1, now=now)
        await _settle()
        assert fleet.write() == []

    result, seconds = _run(query, play)
    assert (result.answer.status, result.outcome) == (502, "leaves_lost")
    assert seconds < math.inf
