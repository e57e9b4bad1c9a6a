"""Tests fair shares of accounts: a flood of one account must not cost the requests of others.

The model has leaves with one queue, hosts that learn of its length from their own answers and
report it four times a second, and a quota host that decides about each request.
"""

import collections
import heapq
import random
from typing import NamedTuple

import pytest

from filbertreach.decisions import AccountShares, Pressure

_SLOTS = 10
_REPORT_SECONDS = 0.25
_OBJECTIVE_CALLS = 10.0
"""Time to the objective, in times that a call takes."""
_ACCOUNTS = 76
_USUAL_LOAD = 0.76
"""Part of the capacity that all accounts use at their usual rates."""


class _Flow(NamedTuple):
    account: str
    usual: float
    """Requests per second."""
    quota: float
    """Requests per second."""


def _flows(call_seconds: float) -> list[_Flow]:
    sizes = [1.0 / (n + 1) for n in range(_ACCOUNTS)]
    scale = _USUAL_LOAD * _SLOTS / call_seconds / sum(sizes)
    # Accounts use between 0.3 and 0.6 of their quotas.
    return [
        _Flow(f"account-{n}", scale * size, scale * size / (0.3 + 0.1 * (n % 4)))
        for n, size in enumerate(sizes)
    ]


class _Model:
    """Requests of accounts, hosts that report pressure, and leaves with one queue."""

    def __init__(self, *, hosts: int, call_seconds: float, shares: AccountShares | None) -> None:
        self.random = random.Random(7)
        self.shares = shares
        self.call_seconds = call_seconds
        self.sent: collections.Counter[str] = collections.Counter()
        self.refused: collections.Counter[str] = collections.Counter()
        self.late: collections.Counter[str] = collections.Counter()
        self.pressures: list[float] = []
        self._ends: collections.deque[float] = collections.deque()
        self._observed: list[tuple[float, float]] = [(-9.0, 0.0)] * hosts
        """Time of the last answer of each host, in seconds, and the calls per slot in it."""
        self._host_by_end: dict[float, int] = {}

    def run(self, start: float, seconds: float, per_second: dict[str, float], flows: list[_Flow]):
        quota_by_account = {flow.account: flow.quota for flow in flows}
        hosts = len(self._observed)
        events: list[tuple[float, str, int]] = [
            (start + self.random.expovariate(rate), account, -1)
            for account, rate in per_second.items()
        ]
        events += [(start + _REPORT_SECONDS * n / hosts, "", n) for n in range(hosts)]
        heapq.heapify(events)
        while events[0][0] < start + seconds:
            now, account, host = heapq.heappop(events)
            self._finish(now)
            if account:
                heapq.heappush(
                    events, (now + self.random.expovariate(per_second[account]), account, -1)
                )
                self._arrive(account, quota_by_account[account], now)
                continue
            heapq.heappush(events, (now + _REPORT_SECONDS, "", host))
            seen_at, calls_per_slot = self._observed[host]
            if self.shares is not None:
                pressure = Pressure(calls_per_slot, now - seen_at)
                self.shares.pressure.record(f"host-{host}", pressure, now)

    def _finish(self, now: float) -> None:
        while self._ends and self._ends[0] <= now:
            end = self._ends.popleft()
            self._observed[self._host_by_end.pop(end)] = (end, (len(self._ends) + 1) / _SLOTS)

    def _arrive(self, account: str, quota: float, now: float) -> None:
        self.sent[account] += 1
        self.pressures.append(len(self._ends) / _SLOTS)
        if self.shares is not None and not self.shares.allow(account, 1, per_second=quota, now=now):
            self.refused[account] += 1
            return
        # A call starts when the one that many places before it has ended.
        free_at = self._ends[-_SLOTS] if len(self._ends) >= _SLOTS else now
        end = max(free_at, now) + self.call_seconds
        self._ends.append(end)
        self._host_by_end[end] = self.random.randrange(len(self._observed))
        if end - now > _OBJECTIVE_CALLS * self.call_seconds:
            self.late[account] += 1

    def answered_fraction(self, seconds: float) -> float:
        """Returns the requests that were not lost, as a fraction of what leaves can serve."""
        answered = sum(self.sent.values()) - sum(self.refused.values()) - sum(self.late.values())
        return answered / (seconds * _SLOTS / self.call_seconds)

    def lost(self, accounts: list[str]) -> float:
        """Returns the fraction of requests that were refused or late."""
        sent = sum(self.sent[account] for account in accounts)
        return sum(self.refused[a] + self.late[a] for a in accounts) / max(1, sent)


def _run(
    *, hosts: int, call_seconds: float, factors: dict[str, float], has_shares: bool = True
) -> _Model:
    flows = _flows(call_seconds)
    shares = AccountShares() if has_shares else None
    model = _Model(hosts=hosts, call_seconds=call_seconds, shares=shares)
    usual = {flow.account: flow.usual for flow in flows}
    model.run(0.0, 5.0, usual, flows)
    model.sent.clear()
    model.refused.clear()
    model.late.clear()
    flood = {account: rate * factors.get(account, 1.0) for account, rate in usual.items()}
    model.run(5.0, 60.0, flood, flows)
    return model


_FLOODS = {"one": {"account-1": 7.5}, "two": {"account-1": 7.5, "account-4": 7.5}}


@pytest.mark.parametrize("call_seconds", [0.02, 0.25])
@pytest.mark.parametrize("hosts", [8, 68])
@pytest.mark.parametrize("flood", ["one", "two"])
def test_only_accounts_that_flood_lose_requests(
    hosts: int, flood: str, call_seconds: float
) -> None:
    """Guards against a flood that costs other accounts, large or small, their requests."""
    options = {"hosts": hosts, "call_seconds": call_seconds, "factors": _FLOODS[flood]}
    model = _run(**options)
    accounts = [flow.account for flow in _flows(call_seconds)]
    calm = [account for account in accounts if account not in _FLOODS[flood]]
    smallest = accounts[-_ACCOUNTS // 10 :]
    flooding = list(_FLOODS[flood])
    print(
        f"{hosts} hosts, {flood}: flooding {model.lost(flooding):.3f} calm {model.lost(calm):.4f} "
        f"smallest {model.lost(smallest):.4f} of {sum(model.sent[a] for a in smallest)}, late "
        f"{sum(model.late.values())}, answered {model.answered_fraction(60.0):.3f} of capacity"
    )
    assert model.lost(flooding) > 0.2
    assert model.lost(calm) < 0.01
    assert model.lost(smallest) < 0.01
    assert model.answered_fraction(60.0) > 0.85
    # Without shares, the queue grows until the flood ends.
    without = _run(**options, has_shares=False)
    assert without.lost(calm) > 0.5


def test_shares_follow_a_pressure_that_rises_and_falls() -> None:
    """Guards against refusals after a flood, and against a second flood that is not limited."""
    flows = _flows(0.02)
    model = _Model(hosts=8, call_seconds=0.02, shares=AccountShares())
    # At 0.53 of the capacity, no queue comes about by chance.
    usual = {flow.account: 0.7 * flow.usual for flow in flows}
    flood = {**usual, "account-1": 15.0 * usual["account-1"]}
    for start in (0.0, 20.0):
        model.run(start, 5.0, usual, flows)
        model.refused.clear()
        model.run(start + 5.0, 10.0, flood, flows)
        assert model.refused["account-1"] > 0.2 * 10.0 * flood["account-1"]
        model.run(start + 15.0, 3.0, usual, flows)
        model.refused.clear()
        model.run(start + 18.0, 2.0, usual, flows)
        assert not model.refused


def _allowed(shares: AccountShares, *, seconds: float = 3.0, start: float = 0.0) -> int:
    """Sends 100 requests per second of an account whose quota is 1 per second."""
    steps = [start + 0.01 * n for n in range(round(100 * seconds))]
    return sum(shares.allow("flood", 1, per_second=1.0, now=now) for now in steps)


def test_nothing_is_refused_without_pressure_or_without_knowledge() -> None:
    """Guards against refusals of a host that lacks information."""
    shares = AccountShares()
    assert _allowed(shares) == 300
    shares.pressure.record("a", Pressure(0.9, 0.0), 3.0)
    assert _allowed(shares, start=3.0, seconds=0.9) == 90
    # Reports that are too old, or impossible.
    for pressure in ((5.0, 1.0), (5.0, -1.0), (-5.0, 0.0), (float("inf"), 0.0), (float("nan"), 0)):
        shares.pressure.record("a", Pressure(*pressure), 4.0)
    assert _allowed(shares, start=4.0) == 300
    # One host of three that sees pressure is not the median.
    for host, calls in (("a", 5.0), ("b", 0.5), ("c", 0.5)):
        shares.pressure.record(host, Pressure(calls, 0.0), 7.0)
    assert _allowed(shares, start=7.0, seconds=0.9) == 90


def test_pressure_of_other_traffic_does_not_stop_all_accounts() -> None:
    """Guards against shares that shrink for as long as refusals do not end the pressure."""
    shares = AccountShares()
    allowed: collections.Counter[str] = collections.Counter()
    for step in range(12_000):
        now = 0.05 * step
        shares.pressure.record("a", Pressure(3.0, 0.0), now)
        account = f"account-{step % 5}"
        granted = shares.allow(account, 1, per_second=8.0, now=now)
        if now >= 540.0:
            allowed[account] += granted
    # Each sends 4 requests per second, half of its quota.
    assert all(allowed[f"account-{n}"] > 0.2 * 240 for n in range(5))


def test_pressure_counts_for_a_second() -> None:
    """Guards against shares that stay in force after the reports have ended."""
    shares = AccountShares()
    _allowed(shares, start=7.0, seconds=3.0)
    shares.pressure.record("a", Pressure(6.0, 0.4), 10.0)
    assert _allowed(shares, start=10.0, seconds=0.6) < 50
    assert shares.retry_after("flood") > 0.0
    assert _allowed(shares, start=10.61, seconds=1.0) == 100


def test_invented_hosts_take_a_bounded_memory() -> None:
    """Guards against a faulty neighbour whose reports take memory without end."""
    shares = AccountShares()
    for n in range(5000):
        shares.pressure.record(f"host-{n}", Pressure(2.0, 0.0), 1.0)
    assert len(shares.pressure) <= 1024
    shares.pressure.record("host-a", Pressure(2.0, 0.0), 3.0)
    assert len(shares.pressure) == 1


def test_a_new_quota_host_starts_without_shares() -> None:
    """Guards against refusals of a host that has been quota host before, or never."""
    shares = AccountShares()
    for start in (0.0, 60.0):
        for step in range(18):
            now = start + 0.1 * step
            shares.pressure.record("a", Pressure(5.0, 0.0), now)
            assert _allowed(shares, start=now, seconds=0.1) == 10
        for step in range(18, 60):
            shares.pressure.record("a", Pressure(5.0, 0.0), start + 0.1 * step)
            allowed = _allowed(shares, start=start + 0.1 * step, seconds=0.1)
        assert allowed < 10
