"""Tests shares of accounts at a quota host: who is refused, what is returned, what is sent."""

import contextlib
import json
import subprocess
import sys
from collections.abc import AsyncIterator, Callable
from typing import Any

import anyio
import anyio.to_thread
import httpcore
import pytest

from filbertreach.decisions import AccountShares, Pressure
from filbertreach.document import AccountTable, ClientAccount, Quota
from filbertreach.gateway._change_log import ChangeLog
from filbertreach.gateway._neighbour_application import neighbour_application
from filbertreach.gateway._neighbours import Neighbours
from filbertreach.observability import HttpServer
from filbertreach.quotas import FleetQuotas, QuotaBounds, QuotaLedger
from filbertreach.quotas._granting import PressureSource, QuotaGrants
from filbertreach.schema import KnownHost, QuotaRequest
from filbertreach.timing import SystemClock
from filbertreach_standins.ports import free_address

_QUOTA = Quota(1000.0, 500.0)
_KEY = b"k-5a77e0c1"
_START_SECONDS = 3.8
"""Time after the start until a quota host holds the parts of its data centre."""
_HIGH, _LOW = Pressure(3.0, 0.0), Pressure(0.2, 0.0)


def _accounts(count: int = 1) -> AccountTable:
    names = ["flood", *(f"account-{n}" for n in range(1, count))]
    return AccountTable(
        keys_by_account=[
            (ClientAccount(name=name, quota=_QUOTA), [_KEY + name.encode()]) for name in names
        ]
    )


def _ledger() -> QuotaLedger:
    """Returns a ledger that holds all quotas from 105.0 on, while the part is renewed."""
    ledger = QuotaLedger(
        sender="a/1", data_centre="minho-1", bounds=QuotaBounds(5.0, 0.1, 20.0, 1), now=100.0
    )
    ledger.set_quotas({"flood": _QUOTA}, 100.0)
    ledger.parts.on_hosts(["a"], is_seed_heard=True, now=100.0)
    ledger.parts.on_seed_reply(105.0)
    return ledger


def _hold_part(ledger: QuotaLedger, now: float) -> None:
    ledger.parts.on_delegation("a", delegated_after=now, now=now)


@pytest.mark.parametrize("pressure", [_HIGH, _LOW, None])
def test_the_credit_of_refused_requests_goes_back(pressure: Pressure | None) -> None:
    """Guards against an account that loses its quota to requests which its share refused."""
    ledger, plain = _ledger(), _ledger()
    grants = QuotaGrants(ledger=ledger, shares=AccountShares())
    refused = 0
    for step in range(100):
        now = 105.0 + 0.1 * step
        _hold_part(ledger, now)
        _hold_part(plain, now)
        grants.on_pressure("a", pressure, now)
        grant = grants.grant("flood", 50, now)
        refused += grant.over_share
        assert grant.granted + grant.over_share == 50
        assert (grant.share_wait_seconds > 0.0) == (grant.over_share > 0)
        assert plain.take("flood", grant.granted, now) == grant.granted
    assert (refused > 500) == (pressure is _HIGH)
    assert refused == 0 or pressure is _HIGH
    assert ledger.take("flood", 10**6, now) == pytest.approx(plain.take("flood", 10**6, now), abs=1)


def test_requests_over_the_quota_are_told_so() -> None:
    """Guards against a 503 that callers repeat soon where the quota is used up."""
    ledger = _ledger()
    grants = QuotaGrants(ledger=ledger, shares=AccountShares())
    _hold_part(ledger, 105.0)
    grant = grants.grant("flood", 10**6, 105.0)
    assert 0 < grant.granted < 10**6
    assert grant.over_share == 0
    assert grant.quota_wait_seconds > 0.0
    reply = grants.on_request(
        QuotaRequest(host="b", requested={"flood": 1, "unknown": 2}, returned={}), 105.0
    )
    assert reply.keys() == {"clock", "granted", "wait_seconds"}
    assert reply["granted"] == {"flood": 0, "unknown": 0}


class _Hosts:
    """Knows the other host, if there is one."""

    def __init__(self, other: KnownHost | None) -> None:
        self._other = other

    def quota_host(self) -> KnownHost | None:
        return self._other

    def exclude_quota_host(self, name: str) -> None:
        raise AssertionError(name)

    def local_host_names(self) -> list[str]:
        return ["host-a", "host-b"]

    def is_seed_heard(self) -> bool:
        return True


def _quotas(name: str, other: KnownHost | None, pressure: PressureSource | None) -> FleetQuotas:
    return FleetQuotas(
        host=name,
        data_centre="minho-1",
        address=None,
        seeds=(),
        hosts=_Hosts(other),
        bounds=QuotaBounds(5.0, 0.1, 20.0, 1),
        clock=SystemClock(),
        pressure=pressure,
    )


@contextlib.asynccontextmanager
async def _serve(quotas: FleetQuotas) -> AsyncIterator[str]:
    address, clock = free_address(), SystemClock()
    neighbours = Neighbours(
        host="served", address=address, data_centre="minho-1", seeds=(), clock=clock
    )
    application = neighbour_application(neighbours, ChangeLog(clock=clock), quotas)
    server = HttpServer(address=address, application=application, drain_seconds=1.0)
    async with anyio.create_task_group() as group:
        await group.start(server.run)
        try:
            yield address
        finally:
            server.stop()
            group.cancel_scope.cancel()


class _Pair:
    """A quota host and a gateway that asks it, which see a pressure that can be changed."""

    def __init__(self, *, has_shares: bool, accounts: AccountTable) -> None:
        self.pressure: Pressure | None = _LOW
        self.requests: list[QuotaRequest] = []
        self.replies: list[Any] = []
        self._accounts = accounts
        self._source: PressureSource | None = (lambda: self.pressure) if has_shares else None
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "_Pair":
        enter = self._stack.enter_async_context
        self.quota_host = await enter(_quotas("host-a", None, self._source))
        self.address = await enter(_serve(self.quota_host))
        other = KnownHost(name="host-a", address=self.address, data_centre="minho-1")
        self.gateway = await enter(_quotas("host-b", other, self._source))
        self.gateway_address = await enter(_serve(self.gateway))
        on_request = self.quota_host.on_request

        def record(request: QuotaRequest) -> Any:
            self.requests.append(request)
            self.replies.append(on_request(request))
            return self.replies[-1]

        self.quota_host.on_request = record  # type: ignore[method-assign]
        self.quota_host.configure(self._accounts)
        self.gateway.configure(self._accounts)
        await anyio.sleep(_START_SECONDS)
        return self

    async def __aexit__(self, *error: Any) -> None:
        await self._stack.__aexit__(*error)

    async def outcomes(self, asked: FleetQuotas, seconds: float = 1.0) -> set[str]:
        """Sends requests of one account, and returns the outcomes."""
        outcomes = set()
        with anyio.move_on_after(seconds):
            while True:
                decision = await asked.acquire("flood")
                assert decision.is_granted or decision.retry_after_seconds >= 0.05
                outcomes.add(decision.outcome)
                await anyio.sleep(0.005)
        return outcomes


def _run(test: Callable[[_Pair], Any], *, has_shares: bool = True, accounts: int = 1) -> None:
    async def run() -> None:
        async with _Pair(has_shares=has_shares, accounts=_accounts(accounts)) as pair:
            await test(pair)

    anyio.run(run)


def test_requests_of_both_hosts_are_refused_only_under_pressure() -> None:
    """Guards against shares that the asking gateway does not learn of, or that never end."""

    async def test(pair: _Pair) -> None:
        for asked in (pair.gateway, pair.quota_host):
            pair.pressure = _LOW
            assert await pair.outcomes(asked) == {"granted"}
            pair.pressure = _HIGH
            assert await pair.outcomes(asked, 2.0) == {"granted", "over_share"}
            assert pair.quota_host.account_use()["applies_shares"]
            pair.pressure = None
            await anyio.sleep(1.3)
            assert await pair.outcomes(asked) == {"granted"}
        assert any("pressure" in request for request in pair.requests)

    _run(test)


def test_without_shares_the_messages_are_those_of_before() -> None:
    """Guards against decisions and messages that change where shares are not switched on."""

    async def test(pair: _Pair) -> None:
        pair.pressure = _HIGH
        assert await pair.outcomes(pair.gateway) == {"granted"}
        for request in pair.requests:
            assert request.keys() <= {"host", "requested", "returned", "delegated_after"}
        for reply in pair.replies:
            assert reply.keys() == {"clock", "granted", "wait_seconds"}

    _run(test, has_shares=False)


def test_invented_hosts_do_not_apply_shares() -> None:
    """Guards against one faulty neighbour that has requests refused without pressure."""
    grants = QuotaGrants(ledger=_ledger(), shares=AccountShares())
    grants.on_pressure("a", _LOW, 105.0)
    for n in range(100):
        grants.on_pressure(f"invented-{n}", _HIGH, 105.0)
    assert grants.shares is not None
    assert grants.shares.pressure.at(105.0) == _LOW.calls_per_slot
    assert not grants.shares.is_applied_at(105.0)


async def _ctl(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "filbertreach.ctl", "accounts", *arguments]

    def run() -> subprocess.CompletedProcess[str]:
        return subprocess.run(command, capture_output=True, text=True, check=False, timeout=60)

    return await anyio.to_thread.run_sync(run)


def test_operators_see_limit_use_and_data_centre_of_accounts() -> None:
    """Guards against a page that grows with the accounts, lacks their use, or shows keys."""

    async def test(pair: _Pair) -> None:
        pair.pressure = _HIGH
        for n in range(1, 40):
            await pair.gateway.acquire(f"account-{n}")
        await pair.outcomes(pair.gateway)
        # The gateway is not the quota host and names it.
        result = await _ctl("--gateway", pair.gateway_address, "--json")
        assert result.returncode == 0, result.stderr
        accounts = json.loads(result.stdout)["accounts"]
        assert len(accounts) == 20
        assert accounts[0]["name"] == "flood"
        assert (accounts[0]["rate_per_s"], accounts[0]["burst"]) == _QUOTA
        assert accounts[0]["used_per_s"]["minho-1"] > 1.0
        assert accounts[0]["demand_per_s"]["minho-1"] > 1.0

        result = await _ctl("account-7", "account-50", "--gateway", pair.address)
        assert result.returncode == 0, result.stderr
        assert "minho-1: quota host host-a, 60 accounts with a quota" in result.stdout
        lines = result.stdout.splitlines()
        assert sorted(line.partition(":")[0] for line in lines[1:]) == ["account-50", "account-7"]
        assert "used of 1000/s (burst 500)" in lines[1]

        result = await _ctl("other", "--gateway", pair.address)
        assert result.returncode == 1
        assert "accounts without a quota: other" in result.stderr
        result = await _ctl("--gateway", free_address())
        assert result.returncode == 4
        async with httpcore.AsyncConnectionPool() as pool:
            named = "&".join(["name=flood"] * 21)
            for query, status in (("name=%ff", 400), (named, 400), ("name=other", 200)):
                url = f"http://{pair.address}/v1/accounts?{query}"
                answer = await pool.request("GET", url)
                assert answer.status == status
                assert _KEY not in answer.content

    _run(test, accounts=60)
