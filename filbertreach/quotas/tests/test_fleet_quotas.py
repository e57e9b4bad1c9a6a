"""Quotas of gateways over loopback: decisions, batches, returned credit, failing quota hosts."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import httpcore
import pytest

from filbertreach.document import AccountTable, ClientAccount, Quota
from filbertreach.gateway._change_log import ChangeLog
from filbertreach.gateway._neighbour_application import neighbour_application
from filbertreach.gateway._neighbours import Neighbours
from filbertreach.observability import HttpServer, Receive, Scope, Send
from filbertreach.quotas import FleetQuotas, QuotaBounds
from filbertreach.schema import KnownHost
from filbertreach.timing import FakeClock, SystemClock
from filbertreach_standins.ports import free_address

_QUOTA = Quota(50.0, 20.0)
_START_SECONDS = 3.0
"""Time after the start in which a host holds no part."""


class _Hosts:
    """Quota hosts in order; the last one is this host if there is no other."""

    def __init__(self, others: list[KnownHost], names: list[str]) -> None:
        self.others = others
        self.excluded: list[str] = []
        self._names = names

    def quota_host(self) -> KnownHost | None:
        usable = [host for host in self.others if host["name"] not in self.excluded]
        return usable[0] if usable else None

    def exclude_quota_host(self, name: str) -> None:
        self.excluded.append(name)

    def local_host_names(self) -> list[str]:
        return self._names

    def is_seed_heard(self) -> bool:
        return True


def _accounts(quota: Quota | None = _QUOTA) -> AccountTable:
    return AccountTable(keys_by_account=[(ClientAccount(name="acme", quota=quota), [b"key"])])


def _quotas(name: str, *, hosts: _Hosts | None, clock=None) -> FleetQuotas:
    return FleetQuotas(
        host=name,
        data_centre="minho-1",
        address=None,
        seeds=(),
        hosts=hosts,
        bounds=QuotaBounds(5.0, 0.1, 20.0, 1),
        clock=clock or SystemClock(),
    )


@contextlib.asynccontextmanager
async def _serve(quotas: FleetQuotas) -> AsyncIterator[str]:
    """Serves the messages about quotas as a gateway does."""
    address, clock = free_address(), SystemClock()
    neighbours = Neighbours(
        host="served", address=address, data_centre="minho-1", seeds=(), clock=clock
    )
    application = neighbour_application(neighbours, ChangeLog(clock=clock), quotas)
    async with _serve_application(address, application):
        yield address


@contextlib.asynccontextmanager
async def _serve_application(
    address: str, application: Callable[[Scope, Receive, Send], Awaitable[None]]
) -> AsyncIterator[None]:
    server = HttpServer(address=address, application=application, drain_seconds=1.0)
    async with anyio.create_task_group() as group:
        await group.start(server.run)
        try:
            yield
        finally:
            server.stop()
            group.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def _pair() -> AsyncIterator[tuple[FleetQuotas, FleetQuotas]]:
    """A quota host and a gateway that asks it, once the quota host holds both parts."""
    names = ["host-a", "host-b"]
    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        quota_host = await enter(_quotas("host-a", hosts=_Hosts([], names)))
        address = await enter(_serve(quota_host))
        other = KnownHost(name="host-a", address=address, data_centre="minho-1")
        gateway = await enter(_quotas("host-b", hosts=_Hosts([other], names)))
        quota_host.configure(_accounts())
        gateway.configure(_accounts())
        await anyio.sleep(_START_SECONDS + 0.8)
        yield quota_host, gateway


def _tasks_started_by(accounts: AccountTable | None) -> int:
    async def run() -> int:
        async with _quotas("host-a", hosts=None) as quotas:
            before = len(asyncio.all_tasks())
            quotas.configure(accounts)
            await anyio.sleep(0.01)
            return len(asyncio.all_tasks()) - before

    return anyio.run(run)


def test_without_quotas_no_task_runs() -> None:
    """Guards against tasks and messages in deployments that have no quotas."""
    assert _tasks_started_by(None) == 0
    assert _tasks_started_by(_accounts(None)) == 0
    assert _tasks_started_by(_accounts()) > 0


def test_tasks_end_with_the_last_quota() -> None:
    async def run() -> None:
        async with _quotas("host-a", hosts=None) as quotas:
            before = len(asyncio.all_tasks())
            quotas.configure(_accounts())
            await anyio.sleep(0.01)
            quotas.configure(_accounts(None))
            await anyio.sleep(0.01)
            assert len(asyncio.all_tasks()) == before
            assert (await quotas.acquire("acme")).is_granted

    anyio.run(run)


def test_a_gateway_without_neighbours_decides_alone() -> None:
    async def run() -> None:
        async with _quotas("host-a", hosts=None) as quotas:
            quotas.configure(_accounts())
            await anyio.sleep(0.01)
            assert (await quotas.acquire("acme")).outcome == "over_quota"
            await anyio.sleep(_START_SECONDS + 0.5)
            decisions = [await quotas.acquire("acme") for _ in range(200)]
            granted = sum(decision.is_granted for decision in decisions)
            # The first window has the rate since the start of the part and the initial extra burst.
            assert 1 <= granted <= 60
            assert all(d.is_granted or d.retry_after_seconds > 0.0 for d in decisions)

    anyio.run(run)


def test_requests_that_arrive_together_share_exchanges() -> None:
    """Guards against one exchange for each request, and against grants over the quota."""

    async def run() -> None:
        async with _pair() as (quota_host, gateway):
            requests: list[dict[str, int]] = []
            on_request = quota_host.on_request

            def count(request):
                requests.append(request["requested"])
                return on_request(request)

            quota_host.on_request = count  # type: ignore[method-assign]
            outcomes: list[str] = []

            async def acquire() -> None:
                outcomes.append((await gateway.acquire("acme")).outcome)

            async with anyio.create_task_group() as group:
                for _ in range(300):
                    group.start_soon(acquire)
            assert sum(request.get("acme", 0) for request in requests) == 300
            assert len([request for request in requests if request]) <= 3
            assert set(outcomes) == {"granted", "over_quota"}
            # Rate for at most a second, burst and extra burst of the whole quota.
            assert 10 <= outcomes.count("granted") <= 50 + 20 + 47

    anyio.run(run)


def test_returned_credit_is_granted_again() -> None:
    """Guards against refusals of an account whose requests found no leaf."""

    async def run() -> None:
        async with _pair() as (_, gateway):
            ledger_level = 0
            while (decision := await gateway.acquire("acme")).is_granted:
                ledger_level += 1
                last = decision
            for _ in range(ledger_level):
                gateway.release(last)
            again = 0
            while (await gateway.acquire("acme")).is_granted:
                again += 1
            assert again >= ledger_level - 1

    anyio.run(run)


def test_the_credit_of_a_caller_that_leaves_is_returned() -> None:
    """Guards against credit that is lost with each caller that does not wait."""

    async def run() -> None:
        async with _pair() as (quota_host, gateway):
            granted = returned = held = 0
            on_request = quota_host.on_request

            def count(request):
                nonlocal granted, returned
                reply = on_request(request)
                granted += sum(reply["granted"].values())
                returned += sum(request["returned"].values())
                return reply

            quota_host.on_request = count  # type: ignore[method-assign]
            for step in range(20):
                # The caller leaves before the exchange, during it, or just after it.
                with anyio.move_on_after(step * 0.0003):
                    held += (await gateway.acquire("acme")).is_granted
            await anyio.sleep(0.6)
            assert returned > 0
            assert granted - returned == held

    anyio.run(run)


async def _silent(scope: Scope, receive: Receive, send: Send) -> None:
    if scope["type"] == "http":
        await anyio.sleep(5.0)


def test_requests_are_refused_soon_if_no_quota_host_answers() -> None:
    """Guards against requests that are held while the quota hosts of a data centre hang."""

    async def run() -> None:
        addresses = [free_address(), free_address(), free_address()]
        others = [
            KnownHost(name=f"host-{n}", address=address, data_centre="minho-1")
            for n, address in enumerate(addresses)
        ]
        hosts = _Hosts(others, ["host-b"])
        async with contextlib.AsyncExitStack() as stack:
            for address in addresses:
                await stack.enter_async_context(_serve_application(address, _silent))
            gateway = await stack.enter_async_context(_quotas("host-b", hosts=hosts))
            gateway.configure(_accounts())
            await anyio.sleep(0.02)
            started_at = time.monotonic()
            decision = await gateway.acquire("acme")
            seconds = time.monotonic() - started_at
        assert decision.outcome == "no_quota_host"
        assert decision.retry_after_seconds > 0.0
        assert hosts.excluded[:2] == ["host-0", "host-1"]
        assert seconds < 1.0

    anyio.run(run)


def test_a_grant_from_before_a_pause_is_not_used() -> None:
    """Guards against requests that run after a pause with credit of the time before it."""

    async def run() -> None:
        clock = FakeClock(start=100.0)
        names = ["host-a", "host-b"]
        async with _quotas("host-a", hosts=_Hosts([], names)) as quota_host:

            def grant_then_pause(request):
                if request["requested"]:
                    clock.advance(2.0)
                granted = dict(request["requested"])
                return {"clock": 1.0, "granted": granted, "wait_seconds": {}}

            quota_host.on_request = grant_then_pause  # type: ignore[method-assign]
            async with _serve(quota_host) as address:
                other = KnownHost(name="host-a", address=address, data_centre="minho-1")
                hosts = _Hosts([other], names)
                async with _quotas("host-b", hosts=hosts, clock=clock) as gateway:
                    gateway.configure(_accounts())
                    await anyio.sleep(0.05)
                    decision = await gateway.acquire("acme")
        assert not decision.is_granted
        assert hosts.excluded == ["host-a"]

    anyio.run(run)


@pytest.mark.parametrize("path", ["/v1/quota", "/v1/quota-demand"])
@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{}",
        b'{"host": "x", "requested": {"acme": -1}, "returned": {}}',
        b'{"host": "x", "requested": {"acme": 1e99}, "returned": {}}',
        b'{"host": "x", "requested": {"acme": 1999, "other": 2}, "returned": {}}',
        b'{"sender": "x", "data_centre": "y", "number": -1}',
        b"[" * 100_000,
        b" " * (256 * 1024 + 1),
    ],
    ids=["empty", "object", "negative", "large", "many", "report", "nested", "long"],
)
def test_malformed_messages_are_refused(path: str, body: bytes) -> None:
    """Guards against a faulty neighbour that ends the process or grants itself requests."""

    async def run() -> None:
        async with _quotas("host-a", hosts=None) as quotas:
            quotas.configure(_accounts())
            async with _serve(quotas) as address, httpcore.AsyncConnectionPool() as pool:
                answer = await pool.request("POST", f"http://{address}{path}", content=body)
                assert answer.status == 400
                assert quotas.is_active

    anyio.run(run)


def test_a_host_without_quotas_grants_nothing() -> None:
    """Guards against grants of a host that does not know the limits yet."""

    async def run() -> None:
        body = b'{"host": "x", "requested": {"acme": 1}, "returned": {}}'
        async with (
            _quotas("host-a", hosts=None) as quotas,
            _serve(quotas) as address,
            httpcore.AsyncConnectionPool() as pool,
        ):
            answer = await pool.request("POST", f"http://{address}/v1/quota", content=body)
            assert answer.status == 503

    anyio.run(run)
