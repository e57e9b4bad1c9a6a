"""Quotas at one gateway: decisions for its requests, and its duties as quota host and seed."""

import contextlib
import random
import secrets
from types import TracebackType
from typing import Protocol, Self

import anyio
import anyio.abc

from filbertreach.decisions import AccountShares
from filbertreach.document import AccountTable, Quota
from filbertreach.observability import get_logger
from filbertreach.quotas._account_use import account_use_page
from filbertreach.quotas._board import ReportBoard
from filbertreach.quotas._bounds import QuotaBounds
from filbertreach.quotas._client import QuotaClient, QuotaError
from filbertreach.quotas._granting import PressureSource, QuotaGrants
from filbertreach.quotas._ledger import QuotaLedger
from filbertreach.quotas._metrics import QUOTA_DECISIONS, QUOTA_PART, QUOTA_RETURNS
from filbertreach.quotas._parts import PartDelegation
from filbertreach.quotas._pending import QuotaDecision, Waiter, WaiterQueue, count_by_account
from filbertreach.schema import (
    AccountUsePage,
    KnownHost,
    QuotaPeers,
    QuotaReply,
    QuotaReport,
    QuotaRequest,
)
from filbertreach.timing import Clock

_INTERVAL_SECONDS = 0.25
"""Interval of reports to the seeds, and longest interval of exchanges with the quota host."""
_CLEANING_SECONDS = 10.0
"""Interval at which the state of unused accounts is removed."""
_MAX_GRANT_AGE_SECONDS = 0.25
"""Age of a grant, including the exchange, from which it is not used: the process was paused."""
_MAX_BATCH_REQUESTS = 2000
"""Requests of one exchange, as a gateway asks for and a quota host accepts."""
_MAX_RETURNED_ACCOUNTS = 2000
"""Accounts whose credit one exchange returns; that of further ones is returned later."""
_MAX_REQUESTED_ACCOUNTS = _MAX_BATCH_REQUESTS + _MAX_RETURNED_ACCOUNTS
"""Accounts that a quota host accepts in one exchange."""
_UNAVAILABLE_RETRY_SECONDS = 0.5
"""Retry-After while no quota host answers."""
_MIN_RETRY_SECONDS = 0.05
"""Shortest Retry-After of a request over its quota."""
_MAX_RETRY_SECONDS = 30.0
"""Longest Retry-After before it is spread, whatever a quota host states."""
_MAX_RETRY_SPREAD_FACTOR = 2.0
"""Largest random factor on Retry-After, so that callers refused together do not return together."""

_LOGGER = get_logger(__name__)


class QuotaHosts(Protocol):
    """Knowledge of the other hosts, from which a gateway chooses its quota host."""

    def quota_host(self) -> KnownHost | None:
        """Returns the quota host of this data centre; None if it is this host."""

    def exclude_quota_host(self, name: str) -> None:
        """Excludes a host from the choice for some seconds."""

    def local_host_names(self) -> list[str]:
        """Returns the hosts of this data centre, this one included."""

    def is_seed_heard(self) -> bool:
        """Returns whether a seed has answered since the start."""


class FleetQuotas:
    """Grants requests of accounts with a quota; a context manager.

    Its tasks run only while the configuration in force has quotas.
    """

    def __init__(
        self,
        *,
        host: str,
        data_centre: str,
        address: str | None,
        seeds: tuple[str, ...],
        hosts: QuotaHosts | None,
        bounds: QuotaBounds,
        clock: Clock,
        pressure: PressureSource | None = None,
    ) -> None:
        """Creates a state without quotas.

        Args:
            host: Name of this host.
            data_centre: Data centre of this host.
            address: ip:port at which this host serves its neighbours; None for none.
            seeds: ip:port of the seeds, which may include this host.
            hosts: The other hosts; None if this host decides alone.
            bounds: Bounds of the deployment.
            clock: Source of time; it has to include suspension of the machine.
            pressure: Source of the pressure of leaves; None to apply no shares of accounts.
        """
        self._host = host
        self._data_centre = data_centre
        self._address = address
        self._seeds = seeds if hosts is not None else ()
        self._hosts = hosts
        self._clock = clock
        self._sender = f"{host}/{secrets.token_hex(8)}"
        self._ledger = QuotaLedger(
            sender=self._sender, data_centre=data_centre, bounds=bounds, now=clock.now()
        )
        self._pressure = pressure
        self._grants = QuotaGrants(
            ledger=self._ledger, shares=AccountShares() if pressure is not None else None
        )
        self._delegation = PartDelegation(now=clock.now())
        self._board = ReportBoard()
        self._client = QuotaClient()
        self._quota_host: KnownHost | None = None
        """Quota host of this data centre, None for this host."""
        self._answered_clock: tuple[str, float] | None = None
        """Name and clock of the quota host that has answered last."""
        self._queue = WaiterQueue()
        self._returned_by_account: dict[str, int] = {}
        """Credit for the quota host that has answered last."""
        self._reporting_seeds: set[str] = set()
        """Seeds to which a report is under way."""
        self._silent_seeds: set[str] = set()
        self._stack = contextlib.AsyncExitStack()
        self._group: anyio.abc.TaskGroup | None = None
        self._tasks: anyio.CancelScope | None = None

    async def __aenter__(self) -> Self:
        """Prepares the tasks; none runs before a configuration with quotas."""
        await self._stack.__aenter__()
        await self._stack.enter_async_context(self._client)
        self._group = await self._stack.enter_async_context(anyio.create_task_group())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        """Cancels the tasks and closes all connections."""
        assert self._group is not None
        self._group.cancel_scope.cancel()
        return await self._stack.__aexit__(kind, error, trace)

    @property
    def is_active(self) -> bool:
        """Whether the configuration in force has quotas."""
        return self._tasks is not None

    def configure(self, accounts: AccountTable | None) -> None:
        """Applies the accounts of a configuration, unless they are the ones in force.

        Args:
            accounts: The accounts; None for none.
        """
        if accounts is self._grants.accounts:
            return
        self._grants.accounts = accounts
        quota_by_account: dict[str, Quota] = {}
        if accounts is not None:
            for name, account in accounts.account_by_name.items():
                if account.quota is not None:
                    quota_by_account[name] = account.quota
        self._ledger.set_quotas(quota_by_account, self._clock.now())
        if quota_by_account and self._tasks is None:
            self._start()
        elif not quota_by_account and self._tasks is not None:
            self._stop()

    # Requests of this gateway.

    async def acquire(self, account: str) -> QuotaDecision:
        """Decides whether a request of an account with a quota may be started.

        Args:
            account: Name of the account.
        """
        decision = await self._decide(account)
        if decision.is_granted and self._is_outdated(decision.decided_at):
            self.release(decision)
            decision = self._refuse(account, "paused", _UNAVAILABLE_RETRY_SECONDS)
        QUOTA_DECISIONS.labels(decision.outcome).inc()
        return decision

    def release(self, decision: QuotaDecision) -> None:
        """Returns the credit of a request that has not run.

        Args:
            decision: The decision that granted the request.
        """
        QUOTA_RETURNS.inc()
        account = decision.account
        if decision.granted_by == self._host:
            self._ledger.give_back(account, 1, self._clock.now())
        elif self._answered_clock is not None and decision.granted_by == self._answered_clock[0]:
            self._returned_by_account[account] = self._returned_by_account.get(account, 0) + 1

    async def _decide(self, account: str) -> QuotaDecision:
        if self._tasks is None:
            # The configuration has changed since the account was looked up.
            return QuotaDecision(account, "granted", self._clock.now())
        if self._quota_host is None:
            return self._decide_here(account)
        waiter = Waiter(account)
        self._queue.add(waiter)
        try:
            return await waiter.wait()
        except BaseException:
            waiter.is_abandoned = True
            if waiter.decision is not None and waiter.decision.is_granted:
                self.release(waiter.decision)
            raise

    def _decide_here(self, account: str) -> QuotaDecision:
        now = self._clock.now()
        grant = self._grants.grant(account, 1, now)
        if grant.granted:
            return QuotaDecision(account, "granted", now, self._host)
        if grant.over_share:
            return self._refuse(account, "over_share", grant.share_wait_seconds)
        return self._refuse(account, "over_quota", grant.quota_wait_seconds)

    def _refuse(self, account: str, outcome: str, wait_seconds: float) -> QuotaDecision:
        seconds = min(max(_MIN_RETRY_SECONDS, wait_seconds), _MAX_RETRY_SECONDS) * random.uniform(
            1.0, _MAX_RETRY_SPREAD_FACTOR
        )
        return QuotaDecision(account, outcome, self._clock.now(), retry_after_seconds=seconds)

    def _is_outdated(self, since: float) -> bool:
        return self._clock.now() - since >= _MAX_GRANT_AGE_SECONDS

    # Exchanges with the quota host.

    async def _run_exchanges(self) -> None:
        while True:
            await self._queue.wait_for_arrival(_INTERVAL_SECONDS)
            self._choose_quota_host()
            await self._decide_batch(self._queue.take(_MAX_BATCH_REQUESTS))

    async def _decide_batch(self, waiters: list[Waiter]) -> None:
        """Decides for some requests, in the end without a quota host."""
        try:
            if await self._try_decide(waiters) or await self._try_decide(waiters):
                return
        finally:
            for waiter in waiters:
                if waiter.decision is None:
                    refusal = self._refuse(
                        waiter.account, "no_quota_host", _UNAVAILABLE_RETRY_SECONDS
                    )
                    waiter.decide(refusal)

    def _choose_quota_host(self) -> None:
        if self._hosts is not None:
            self._quota_host = self._hosts.quota_host()

    async def _try_decide(self, waiters: list[Waiter]) -> bool:
        """Decides for some requests; excludes the quota host and returns False if it fails."""
        if self._quota_host is None:
            self._delegate_here()
            for waiter in waiters:
                waiter.decide(self._decide_here(waiter.account))
            return True
        sent_at = self._clock.now()
        quota_host = self._quota_host
        request = self._make_request(quota_host, count_by_account(waiters), sent_at)
        try:
            reply = await self._client.request(quota_host["address"], request)
            if self._is_outdated(sent_at):
                raise QuotaError("the answer is too old; this process was paused")
        except QuotaError as error:
            _LOGGER.info("quota host did not answer", host=quota_host["name"], error=str(error))
            assert self._hosts is not None
            self._hosts.exclude_quota_host(quota_host["name"])
            self._choose_quota_host()
            return False
        self._answered_clock = (quota_host["name"], reply["clock"])
        self._distribute(waiters, reply, quota_host["name"], sent_at)
        return True

    def _make_request(
        self, quota_host: KnownHost, requested: dict[str, int], now: float
    ) -> QuotaRequest:
        request = QuotaRequest(host=self._host, requested=requested, returned={})
        if self._pressure is not None and (pressure := self._pressure()) is not None:
            request["pressure"] = pressure.calls_per_slot
            request["pressure_age_seconds"] = pressure.age_seconds
        if self._answered_clock is None or self._answered_clock[0] != quota_host["name"]:
            self._returned_by_account.clear()
            return request
        for account in list(self._returned_by_account)[:_MAX_RETURNED_ACCOUNTS]:
            request["returned"][account] = self._returned_by_account.pop(account)
        if self._delegation.try_delegate(quota_host["name"], now):
            request["delegated_after"] = self._answered_clock[1]
        return request

    def _distribute(
        self, waiters: list[Waiter], reply: QuotaReply, quota_host: str, sent_at: float
    ) -> None:
        granted = dict(reply["granted"])
        over_share = dict(reply.get("over_share", {}))
        for waiter in waiters:
            account = waiter.account
            if granted.get(account, 0) <= 0:
                outcome, waits = "over_quota", reply["wait_seconds"]
                if over_share.get(account, 0) > 0:
                    over_share[account] -= 1
                    outcome, waits = "over_share", reply.get("share_wait_seconds", {})
                wait = waits.get(account, _UNAVAILABLE_RETRY_SECONDS)
                waiter.decide(self._refuse(account, outcome, wait))
                continue
            granted[account] -= 1
            waiter.decide(QuotaDecision(account, "granted", sent_at, quota_host))
            if waiter.is_abandoned:
                self.release(QuotaDecision(account, "granted", sent_at, quota_host))

    def _delegate_here(self) -> None:
        now = self._clock.now()
        self._ledger.advance.on_asked(self._host, now)
        if self._pressure is not None:
            self._grants.on_pressure(self._host, self._pressure(), now)
        if self._delegation.try_delegate(self._host, now):
            self._ledger.parts.on_delegation(self._host, delegated_after=now, now=now)

    # Duties as quota host and as seed.

    def on_request(self, request: QuotaRequest) -> QuotaReply:
        """Grants requests of another gateway.

        Args:
            request: What the gateway asks.

        Raises:
            ValueError: The request names too many accounts or requests.
            QuotaError: This host has no quotas in force.
        """
        if self._tasks is None:
            raise QuotaError("this host has no quotas in force")
        if len(request["requested"]) + len(request["returned"]) > _MAX_REQUESTED_ACCOUNTS:
            raise ValueError(f"a request names more than {_MAX_REQUESTED_ACCOUNTS} accounts")
        if sum(request["requested"].values()) > _MAX_BATCH_REQUESTS:
            raise ValueError(f"a message wants more than {_MAX_BATCH_REQUESTS} requests")
        return self._grants.on_request(request, self._clock.now())

    def on_report(self, report: QuotaReport) -> QuotaPeers:
        """Keeps the report of a quota host, as a seed.

        Args:
            report: The report.

        Raises:
            ValueError: The report is not usable.
        """
        return self._board.exchange(report, self._clock.now())

    def account_use(self, names: tuple[str, ...] = ()) -> AccountUsePage:
        """Returns the use of client accounts as this host knows it; no keys.

        Args:
            names: Accounts that are wanted; empty for those with the most demand.
        """
        return account_use_page(
            self._grants,
            names,
            host=self._host,
            data_centre=self._data_centre,
            quota_host=self._quota_host,
            now=self._clock.now(),
        )

    async def _run_reports(self) -> None:
        while True:
            self._note_hosts()
            if self._seeds and self._ledger.has_activity(self._clock.now()):
                self._report()
            QUOTA_PART.set(self._ledger.parts.fraction(self._clock.now()))
            self._grants.report_shares(self._clock.now())
            await anyio.sleep(_INTERVAL_SECONDS)

    def _note_hosts(self) -> None:
        names, is_seed_heard = [self._host], True
        if self._hosts is not None:
            names, is_seed_heard = self._hosts.local_host_names(), self._hosts.is_seed_heard()
        now = self._clock.now()
        self._ledger.parts.on_hosts(names, is_seed_heard=is_seed_heard, now=now)
        if not self._seeds:
            self._ledger.parts.on_seed_reply(now)

    def _report(self) -> None:
        assert self._group is not None
        now = self._clock.now()
        report = self._ledger.make_report(now)
        for seed in self._seeds:
            if seed == self._address:
                self._ledger.on_peer_demand(self._board.exchange(report, now), now)
            elif seed not in self._reporting_seeds:
                self._reporting_seeds.add(seed)
                self._group.start_soon(self._report_to, seed, report, name="quota report")

    async def _report_to(self, seed: str, report: QuotaReport) -> None:
        try:
            peers = await self._client.report(seed, report)
        except QuotaError as error:
            if seed not in self._silent_seeds:
                _LOGGER.info("seed took no quota report", seed=seed, error=str(error))
            self._silent_seeds.add(seed)
        else:
            self._silent_seeds.discard(seed)
            self._ledger.on_peer_demand(peers, self._clock.now())
        finally:
            self._reporting_seeds.discard(seed)

    # Tasks.

    def _start(self) -> None:
        assert self._group is not None
        self._tasks = anyio.CancelScope()
        self._choose_quota_host()
        self._group.start_soon(self._run, self._tasks, name="quotas")
        _LOGGER.info("quotas in force", accounts=len(self._ledger.quota_by_account))

    def _stop(self) -> None:
        assert self._tasks is not None
        self._tasks.cancel()
        self._tasks = None
        while waiters := self._queue.take(_MAX_BATCH_REQUESTS):
            for waiter in waiters:
                waiter.decide(QuotaDecision(waiter.account, "granted", self._clock.now()))
        _LOGGER.info("no quotas in force")

    async def _run(self, scope: anyio.CancelScope) -> None:
        with scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self._run_exchanges)
                group.start_soon(self._run_reports)
                group.start_soon(self._run_cleaning)

    async def _run_cleaning(self) -> None:
        while True:
            await anyio.sleep(_CLEANING_SECONDS)
            self._ledger.remove_unused(self._clock.now())
