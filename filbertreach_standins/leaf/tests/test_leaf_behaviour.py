"""Guards against a leaf stand-in with unrealistic slots, queue, connections or cancellation."""

import time

import anyio
import httpcore
import pytest

from filbertreach_standins import StandInProcess
from filbertreach_standins.leaf import Leaf, LeafDefinition

ARGUMENTS = ["--shards=s", "--versions=1", "--connect-cost-ms=0", "--slots=1", "--queue=2"]
LIMITED_CONNECTIONS = [*ARGUMENTS, "--connections=3"]
SLOW = b'{"service_ms": 150}'
FOREVER = b'{"service_ms": 60000}'


async def search(pool, control, call_id, body=b"{}"):
    headers = [("x-call-id", call_id), ("x-shard", "s"), ("x-index-version", "1")]
    url = f"{control.base_url}/v1/search"
    response = await pool.request("POST", url, headers=headers, content=body)
    return response.status


async def counters(control):
    return await anyio.to_thread.run_sync(control.counters)


async def wait_for(control, **expected):
    """Waits until the counters have the expected values; fails after 10 s."""
    with anyio.fail_after(10):
        while True:
            counted = await counters(control)
            if expected.items() <= counted.items():
                return counted
            await anyio.sleep(0.01)


def run(arguments, body):
    with StandInProcess(module="leaf", arguments=arguments) as process:

        async def main():
            async with httpcore.AsyncConnectionPool() as pool:
                await body(pool, process.control)

        anyio.run(main)


def test_calls_queue_in_order_and_excess_calls_are_shed():
    async def body(pool, control):
        statuses = {}

        async def call(call_id, body=b"{}"):
            statuses[call_id] = await search(pool, control, call_id, body)

        async with anyio.create_task_group() as group:
            group.start_soon(call, "0", SLOW)
            await wait_for(control, in_flight=1)
            for number in (1, 2):
                group.start_soon(call, str(number))
                await wait_for(control, queued=number)
            group.start_soon(call, "shed")
        assert statuses == {"0": 200, "1": 200, "2": 200, "shed": 503}
        executions = await anyio.to_thread.run_sync(control.executions)
        assert [execution["call_id"] for execution in executions] == ["0", "1", "2"]
        assert (await counters(control))["in_flight_peak"] == 1

    run(ARGUMENTS, body)


@pytest.mark.parametrize("cancellation", ["delete", "disconnect"])
@pytest.mark.parametrize("position", ["slot", "queue"])
def test_cancellation_frees_the_slot_or_the_queue_position(cancellation, position):
    async def body(pool, control):
        statuses = []
        scope_by_id = {"first": anyio.CancelScope(), "cancelled": anyio.CancelScope()}

        async def call(call_id):
            with scope_by_id[call_id]:
                statuses.append(await search(pool, control, call_id, FOREVER))

        async with anyio.create_task_group() as group:
            if position == "queue":
                group.start_soon(call, "first")
                await wait_for(control, in_flight=1)
            group.start_soon(call, "cancelled")
            await wait_for(control, in_flight=1, queued=int(position == "queue"))
            if cancellation == "delete":
                url = f"{control.base_url}/v1/calls/cancelled"
                assert (await pool.request("DELETE", url)).status == 200
            else:
                scope_by_id["cancelled"].cancel()
            started = int(position == "slot")
            counted = await wait_for(control, in_flight=1 - started, queued=0)
            scope_by_id["first"].cancel()
        assert statuses == ([499] if cancellation == "delete" else [])
        assert counted["cancelled"] == started
        assert ("cancelled" in counted["by_call_id"]) == (position == "slot")

    run(ARGUMENTS, body)


def test_connections_above_the_limit_are_refused_except_administration():
    async def body(pool, control):
        host, port = control.address.split(":")
        streams = [await anyio.connect_tcp(host, int(port)) for _ in range(3)]
        await wait_for(control, connections={"opened": 3, "now": 3, "peak": 3, "refused": 0})
        excess = await anyio.connect_tcp(host, int(port))
        with anyio.fail_after(5), pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            await excess.receive()
        await wait_for(control, connections={"opened": 3, "now": 3, "peak": 3, "refused": 1})
        for stream in [*streams, excess]:
            await stream.aclose()
        await wait_for(control, connections={"opened": 3, "now": 0, "peak": 3, "refused": 1})

    run(LIMITED_CONNECTIONS, body)


@pytest.mark.parametrize(
    ("arguments", "faults", "expected_slow"),
    [
        (["--connect-cost-ms=600"], {}, [True, False]),
        (["--service-ms=10"], {"slow_factor": 50}, [True, True]),
        (["--service-ms=10"], {"silently_slow_factor": 50}, [True, True]),
        (["--service-ms=10"], {"straggler_share": 1, "straggler_factor": 50}, [True, True]),
        (["--service-ms=10", "--cold-seconds=60", "--cold-factor=50"], {}, [True, True]),
    ],
)
def test_slowness_delays_the_expected_calls(arguments, faults, expected_slow):
    async def body(pool, control):
        await anyio.to_thread.run_sync(lambda: control.set_faults(**faults))
        slow = []
        for number in range(2):
            started_at = time.monotonic()
            assert await search(pool, control, str(number)) == 200
            slow.append(time.monotonic() - started_at >= 0.49)
        assert slow == expected_slow

    run([*ARGUMENTS, *arguments], body)


def test_a_starting_leaf_refuses_until_it_is_ready():
    async def body(pool, control):
        assert await search(pool, control, "early") == 503
        with anyio.fail_after(10):
            while await search(pool, control, "later") != 200:
                await anyio.sleep(0.05)
        assert "early" not in (await counters(control))["by_call_id"]

    run([*ARGUMENTS, "--starting-seconds=1"], body)


def test_stragglers_are_the_same_calls_for_the_same_seed():
    def stragglers(seed):
        leaf = Leaf(LeafDefinition(seed=seed, service_ms=1))
        leaf.faults.update({"straggler_share": 0.3})
        return [leaf.service_seconds({}) > 0.005 for _ in range(100)]

    assert 10 < sum(stragglers(7)) < 60
    assert stragglers(7) == stragglers(7) != stragglers(8)


def test_a_call_whose_body_never_arrives_is_not_executed():
    async def body(pool, control):
        host, port = control.address.split(":")
        head = "POST /v1/search HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n"
        call = "x-call-id: half\r\nx-shard: s\r\nx-index-version: 1\r\n\r\n"
        stream = await anyio.connect_tcp(host, int(port))
        await stream.send((head + call).encode())
        await wait_for(control, connections={"opened": 1, "now": 1, "peak": 1, "refused": 0})
        await stream.aclose()
        await wait_for(control, connections={"opened": 1, "now": 0, "peak": 1, "refused": 0})
        assert await search(pool, control, "whole") == 200
        assert list((await counters(control))["by_call_id"]) == ["whole"]

    run(ARGUMENTS, body)
