"""CPU time that a gateway takes for one scatter query."""

import time
from collections.abc import Callable, Coroutine
from typing import Any

import anyio

from experiments._registry import experiment
from filbertreach.document import Leaf, Route
from filbertreach.gateway._directory import RouteStatistics
from filbertreach.gateway._leaf_handle import Location
from filbertreach.gateway._query import Query
from filbertreach.gateway._request_turns import TurnSchedule
from filbertreach.gateway._retry_budget import RetryBudgetSettings
from filbertreach.gateway._service_pool import ServicePool
from filbertreach.platform import Bounds, LeafEntry, read_request_head
from filbertreach.timing import SystemClock
from filbertreach_standins._process import StandInProcess

_SHARDS = (25, 90, 135)
_WORK_MS = 20
_BOUNDS = Bounds(5.0, 5.0, 6.0, 0.2, 10.0, 1000.0)
_SETTLE_SECONDS = 0.05
"""Pause after a query in which connections are closed; its CPU time is included."""


@experiment("query_cost", "What processor time does a scatter query take, and how does it grow?")
def run(seed: int, short: bool) -> dict[str, Any]:
    """Measures queries over one leaf process, which answers for every shard.

    Args:
        seed: Not used; the inputs are fixed.
        short: Whether to repeat less often.

    Returns:
        Milliseconds per query and microseconds per call, by number of shards and connection reuse.
    """
    queries = 15 if short else 60
    figures: dict[str, Any] = {}
    with StandInProcess(module="deployment", arguments=["--leaves", "1"]) as process:
        _, leaf = process.controls
        leaf.set_faults(work_ms=_WORK_MS)
        for shards in _SHARDS:
            for keep_connections in (True, False):
                seconds = anyio.run(
                    _measure,
                    Leaf(leaf.id, leaf.address, "minho", "minho-1"),
                    shards,
                    queries,
                    keep_connections,
                    backend_options={"use_uvloop": True},
                )
                figures[f"{shards} shards, {'kept' if keep_connections else 'new'} connections"] = {
                    "ms_per_query": round(seconds * 1e3, 1),
                    "us_per_call": round(seconds / shards * 1e6),
                }
    return figures


async def _measure(leaf: Leaf, shards: int, queries: int, keep_connections: bool) -> float:
    """Returns the CPU time of a query, in seconds."""
    clock = SystemClock()
    budget = RetryBudgetSettings()
    budget.update(_BOUNDS)
    async with anyio.create_task_group() as group:

        def spawn(run: Callable[[], Coroutine[Any, Any, None]], name: str) -> None:
            group.start_soon(run, name=name)

        pools = []
        for number in range(shards):
            pool = ServicePool(
                service=f"shard-{number}",
                location=Location(leaf.region, leaf.data_centre),
                budget=budget,
                drain_seconds=5.0,
                schedule=TurnSchedule(),
                clock=clock,
                spawn=spawn,
            )
            pool.update_leaf(LeafEntry(leaf, pool.service, 2, False, 1), since=0.0)
            pools.append(pool)
        statistics = RouteStatistics()
        route = _route(tuple(pool.service for pool in pools))

        async def run_query(number: int) -> None:
            headers = [(b"host", b"h"), (b"x-request-id", b"q%d" % number)]
            request = read_request_head(method="GET", target=b"/x", headers=headers, body=b"")
            result = await Query(
                request=request,
                route=route,
                pools=pools,
                attempt_latencies=statistics.attempt_latencies,
                late_shard_latencies=statistics.late_shard_latencies,
                clock=clock,
                arrived_at=clock.now(),
            ).run()
            assert result.included == shards, result.outcome
            if not keep_connections:
                for pool in pools:
                    for handle in pool.handle_by_id.values():
                        handle.close_idle()
            await anyio.sleep(_SETTLE_SECONDS)

        for number in range(5):
            await run_query(number)
        cpu_start = time.process_time()
        for number in range(queries):
            await run_query(5 + number)
        seconds = (time.process_time() - cpu_start) / queries
        group.cancel_scope.cancel()
    return seconds


def _route(shards: tuple[str, ...]) -> Route:
    return Route(
        name="r",
        host="h",
        prefix="/",
        idempotent=True,
        timeout_seconds=10.0,
        objective_seconds=5.0,
        max_attempts=2,
        priority=0,
        weight_by_service={},
        shards=shards,
        top=20,
        least_coverage=1.0,
    )
