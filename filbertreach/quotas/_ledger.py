"""Ledger of a quota host: what it may grant of each quota. No input or output."""

import math
from collections.abc import Mapping

from filbertreach.document import Quota
from filbertreach.quotas._advance import QuotaAdvance
from filbertreach.quotas._bounds import QuotaBounds
from filbertreach.quotas._bucket import QuotaBucket
from filbertreach.quotas._demand import DemandMeter, GrantedRates
from filbertreach.quotas._loans import Peers
from filbertreach.quotas._parts import LOAN_SECONDS, DelegatedParts
from filbertreach.quotas._sharing import allowed_loans, desired_loans
from filbertreach.schema import QuotaPeer, QuotaPeers, QuotaReport

_MAX_REPORTED_ACCOUNTS = 500
"""Accounts of a report, those with the most demand. Of the others, each quota host keeps its part.
With 21 quota hosts, a reply then has at most some hundred kilobytes before compression."""
_MAX_REPORTED_LOANS = 4000
"""Loans of a report; the rest of the part stays with the lender."""
_KEPT_FRACTION = 0.02
"""Fraction of its part that a host keeps of a quota even without demand; it fills the bucket."""
_FIRST_REQUEST = 1.02
"""Size that a bucket keeps if the part allows it; one request and what rounding takes away."""
_MIN_LOAN = 1e-4
"""Smallest share that is lent, to keep reports short."""
_FULL_AGAIN_SECONDS = 60.0
"""Time after which a larger part counts as if it had always been held."""
_NEW_PART_FRACTION = 0.5
"""Fraction of a part below which the first level of a bucket is low."""
_REFILL_SECONDS = 5.0
"""Time in which a host wants its bucket to be full again."""
_LEAST_MISSING_FRACTION = 0.05
"""Fraction of a bucket that has to be missing for its account to be reported."""
_DEFAULT_WAIT_SECONDS = 1.0
"""Expected wait while this host has no share of a quota; loans arrive within about a second."""
_MAX_WAIT_SECONDS = 30.0
"""Longest expected wait that is stated."""
_SHARE_DIGITS = 6
"""Decimal places of shares and demands in reports."""


class QuotaLedger:
    """Grants requests of accounts out of this host's share of their quotas.

    The share of a quota is the part that gateways have delegated to this host, without what it
    lends to other quota hosts, and with what they lend to it.
    """

    def __init__(self, *, sender: str, data_centre: str, bounds: QuotaBounds, now: float) -> None:
        """Creates a ledger that holds no part of any quota.

        Args:
            sender: Name of this host with an id of its process.
            data_centre: Data centre of this host.
            bounds: Bounds of the deployment.
            now: Current clock, in seconds.
        """
        self.parts = DelegatedParts(data_centres=bounds.data_centres, now=now)
        """Parts that gateways have delegated to this host."""
        self.advance = QuotaAdvance(bounds=bounds)
        """Grants until the delegated parts yield enough."""
        self.quota_by_account: dict[str, Quota] = {}
        """Quotas in force."""
        self.granted_rates = GrantedRates()
        """Requests per second that this host has granted lately."""
        self._sender = sender
        self._data_centre = data_centre
        self._bounds = bounds
        self._peers = Peers()
        self._bucket_by_account: dict[str, QuotaBucket] = {}
        self._meter_by_account: dict[str, DemandMeter] = {}
        self._lent_by_account: dict[str, float] = {}
        """Shares that peers may be using, as of the last report; less may be in use by now."""
        self._asked_at = -math.inf
        """Clock when a request was last taken, in seconds."""
        self._lowest_part = 0.0
        """Smallest part that was held lately."""
        self._lowest_part_at = now

    # Configuration.

    def set_quotas(self, quota_by_account: Mapping[str, Quota], now: float) -> None:
        """Applies the quotas of a configuration.

        Args:
            quota_by_account: Quotas of all accounts that have one.
            now: Current clock, in seconds.
        """
        for account in list(self._bucket_by_account):
            self._refill(account, now)
        self.quota_by_account = dict(quota_by_account)
        for accounts in (self._bucket_by_account, self._meter_by_account):
            for account in accounts.keys() - quota_by_account.keys():
                del accounts[account]
        for account in self._bucket_by_account:
            self._refill(account, now)

    # Requests.

    def take(self, account: str, count: int, now: float) -> int:
        """Grants requests of an account.

        Args:
            account: Name of the account.
            count: Number of requests that are wanted.
            now: Current clock, in seconds.

        Returns:
            Number of requests that may be started; 0 if the account has no quota.
        """
        if account not in self.quota_by_account or count <= 0:
            return 0
        if self.parts.are_hosts_known:
            self._asked_at = now
        self._meter_by_account.setdefault(account, DemandMeter()).add(count, now)
        granted = self._refill(account, now).take(count)
        if granted < count and self.parts.are_hosts_known and self._has_new_part(now):
            granted += self.advance.take(
                account,
                self.quota_by_account[account],
                count - granted,
                hosts=self.parts.known_hosts,
                now=now,
            )
        self.granted_rates.add(account, granted, now)
        return granted

    def give_back(self, account: str, count: int, now: float) -> None:
        """Takes back requests that were granted by this host and have not run.

        Args:
            account: Name of the account.
            count: Number of requests.
            now: Current clock, in seconds.
        """
        if account not in self.quota_by_account or count <= 0:
            return
        self.granted_rates.add(account, -count, now)
        if self._has_new_part(now):
            # The advance is used after the bucket, so it gets its credit back first.
            count -= self.advance.give_back(account, count)
        if count > 0 and account in self._bucket_by_account:
            self._refill(account, now).level += count
            self._refill(account, now)

    def expected_wait(self, account: str, now: float) -> float:
        """Returns the time until a request of an account can be granted, in seconds.

        Args:
            account: Name of the account.
            now: Current clock, in seconds.
        """
        quota = self.quota_by_account.get(account)
        if quota is None:
            return _MAX_WAIT_SECONDS
        level = self._refill(account, now).level
        per_second = quota.per_second * self.share(account, now)
        if per_second <= 0.0:
            return _DEFAULT_WAIT_SECONDS
        return min(_MAX_WAIT_SECONDS, max(0.0, 1.0 - level) / per_second)

    # Shares.

    def share(self, account: str, now: float) -> float:
        """Returns the fraction of a quota that this host grants.

        Args:
            account: Name of the account.
            now: Current clock, in seconds.
        """
        own = self._part(now) - self._lent_by_account.get(account, 0.0)
        return max(0.0, own) + self._peers.borrowed(account, now)

    def demand(self, now: float) -> dict[str, float]:
        """Returns the demand at this host in requests per second, by account.

        An account counts at most with its quota, so that one flood does not move all shares.

        Args:
            now: Current clock, in seconds.
        """
        demand = {
            account: min(per_second, self.quota_by_account[account].per_second)
            for account in self._meter_by_account
            if (per_second := self._wanted_per_second(account, now)) > 0.0
        }
        if len(demand) > _MAX_REPORTED_ACCOUNTS:
            largest = sorted(demand, key=demand.__getitem__, reverse=True)
            demand = {account: demand[account] for account in largest[:_MAX_REPORTED_ACCOUNTS]}
        return demand

    def demand_by_data_centre(self, account: str, now: float) -> dict[str, float]:
        """Returns the requests per second of an account that quota hosts count.

        Args:
            account: Name of the account.
            now: Current clock, in seconds.

        Returns:
            Requests per second by data centre. Those of other data centres are as reported and
            include what would fill the buckets there.
        """
        by_data_centre: dict[str, float] = {}
        meter = self._meter_by_account.get(account)
        if meter is not None and (per_second := meter.per_second(now)) > 0.0:
            by_data_centre[self._data_centre] = per_second
        for peer in self._peers.by_sender.values():
            if account in peer.demand and not peer.is_expired(now):
                before = by_data_centre.get(peer.data_centre, 0.0)
                by_data_centre[peer.data_centre] = before + peer.demand[account]
        return by_data_centre

    def total_demand(self, now: float) -> dict[str, float]:
        """Returns the requests per second of all accounts that quota hosts count, by account.

        Args:
            now: Current clock, in seconds.
        """
        total_by_account = {
            account: meter.per_second(now) for account, meter in self._meter_by_account.items()
        }
        for peer in self._peers.by_sender.values():
            if peer.is_expired(now):
                continue
            for account, per_second in peer.demand.items():
                total_by_account[account] = total_by_account.get(account, 0.0) + per_second
        return {
            account: per_second
            for account, per_second in total_by_account.items()
            if account in self.quota_by_account and per_second > 0.0
        }

    def on_peer_demand(self, peers: QuotaPeers, now: float) -> None:
        """Applies a seed's reply: the demand of other quota hosts and what they lend.

        Args:
            peers: The reply.
            now: Current clock, in seconds.
        """
        self.parts.on_seed_reply(now)
        for report in peers["peers"]:
            if report["sender"] == self._sender or not self._is_plausible(report):
                continue
            self.parts.on_hosts(report["delegating_hosts"], is_seed_heard=True, now=now)
            changed = self._peers.on_report(report, now)
            if changed is not None:
                for account in changed[0].keys() | changed[1].keys():
                    self._refill_if_kept(account, now)

    def make_report(self, now: float) -> QuotaReport:
        """Decides what to lend, and returns the report to the seeds.

        Args:
            now: Current clock, in seconds.
        """
        self._peers.remove_expired(now)
        number = self._peers.next_report_number(now)
        demand = self.demand(now)
        loans_by_peer = self._decide_loans(demand, number, now)
        return QuotaReport(
            sender=self._sender,
            data_centre=self._data_centre,
            number=number,
            delegating_hosts=self.parts.delegating_hosts(now),
            demand={account: round(value, _SHARE_DIGITS) for account, value in demand.items()},
            lent=loans_by_peer,
            heard={sender: peer.number for sender, peer in self._peers.by_sender.items()},
        )

    def has_activity(self, now: float) -> bool:
        """Returns whether this host has to report: it is quota host, or was until lately.

        Until hosts know each other after a start, each acts as quota host for itself. Reports of
        all of them would overload the seeds.

        Args:
            now: Current clock, in seconds.
        """
        if not self.parts.are_hosts_known:
            return False
        is_asked = now - self._asked_at < LOAN_SECONDS
        return is_asked or self._part(now) > 0.0 or bool(self._lent_by_account)

    def remove_unused(self, now: float) -> None:
        """Removes the state of accounts that equals that of an account seen for the first time.

        Args:
            now: Current clock, in seconds.
        """
        for account in list(self._meter_by_account):
            if self._wanted_per_second(account, now) == 0.0:
                del self._meter_by_account[account]
        self.granted_rates.remove_unused(now)
        for account in list(self._bucket_by_account):
            if account in self._meter_by_account or account in self._lent_by_account:
                continue
            quota, share = self.quota_by_account[account], self.share(account, now)
            bucket = self._refill(account, now)
            if bucket.level >= self._first_level(quota, share, now) and share <= self._part(now):
                del self._bucket_by_account[account]

    def _wanted_per_second(self, account: str, now: float) -> float:
        """Returns the requests per second that come, and those that would fill the bucket again.

        Without the second term, an account of a low rate could only use what the rate yields at
        this host between two of its requests, while the buckets of other hosts are full.
        """
        per_second = self._meter_by_account[account].per_second(now)
        quota = self.quota_by_account[account]
        part = self._part(now)
        # The size that the bucket has even if all is lent that may be.
        capacity = quota.burst * self._unlent_share(account, part)
        capacity += self._bounds.extra_burst(quota) * part
        missing = capacity - self._refill(account, now).level
        if missing >= _LEAST_MISSING_FRACTION * capacity:
            per_second += missing / _REFILL_SECONDS
        return per_second

    def _is_plausible(self, report: QuotaPeer) -> bool:
        shares, demands = report["lent"].values(), report["demand"].values()
        equal_part = 1.0 / self._bounds.data_centres
        return all(0.0 <= share <= equal_part for share in shares) and all(
            0.0 <= demand < math.inf for demand in demands
        )

    def _decide_loans(
        self, own_demand: dict[str, float], number: int, now: float
    ) -> dict[str, dict[str, float]]:
        """Lends to all peers; returns the shares by peer and account."""
        peers = self._peers.by_sender
        lent_by_peer = {sender: peer.lent(now) for sender, peer in peers.items()}
        loans_by_peer: dict[str, dict[str, float]] = {sender: {} for sender in peers}
        held = self._part(now)
        demand_by_account: dict[str, dict[str, float]] = {}
        for sender, peer in peers.items():
            if peer.can_borrow(now):
                for account, demand in peer.demand.items():
                    if account in self.quota_by_account:
                        demand_by_account.setdefault(account, {})[sender] = demand
        loan_count, scale = 0, 10**_SHARE_DIGITS
        for account, demand_by_peer in demand_by_account.items():
            if loan_count >= _MAX_REPORTED_LOANS:
                break
            self._refill(account, now)
            kept = self._unlent_share(account, held)
            desired = desired_loans(
                own_demand=own_demand.get(account, 0.0),
                demand_by_peer=demand_by_peer,
                held=held,
                kept=kept,
                equal_part=1.0 / self._bounds.data_centres,
            )
            lent = {s: by[account] for s, by in lent_by_peer.items() if account in by}
            for sender, share in allowed_loans(
                desired=desired, lent=lent, available=held - kept
            ).items():
                # Rounded down, so that the loans stay within what is held.
                if share >= _MIN_LOAN:
                    loan_count += 1
                    loans_by_peer[sender][account] = math.floor(share * scale) / scale
        for sender, loans in loans_by_peer.items():
            peers[sender].lend(number, loans, now)
        self._update_lent(now)
        return {sender: loans for sender, loans in loans_by_peer.items() if loans}

    def _unlent_share(self, account: str, held: float) -> float:
        """Returns the share that is not lent, so that a first request finds a place to be saved."""
        quota = self.quota_by_account[account]
        lacking = _FIRST_REQUEST - self._bounds.extra_burst(quota) * held
        kept = lacking / quota.burst if quota.burst > 0.0 else 0.0
        return min(held, max(kept, _KEPT_FRACTION * held))

    def _update_lent(self, now: float) -> None:
        total_by_account: dict[str, float] = {}
        for peer in self._peers.by_sender.values():
            for account, share in peer.lent(now).items():
                total_by_account[account] = total_by_account.get(account, 0.0) + share
        changed = total_by_account.keys() | self._lent_by_account.keys()
        for account in changed:
            self._refill_if_kept(account, now)
        self._lent_by_account = total_by_account
        for account in changed:
            self._refill_if_kept(account, now)

    # Buckets.

    def _part(self, now: float) -> float:
        """Returns the fraction of all quotas that this host holds, and tracks its low values."""
        part = self.parts.fraction(now)
        if part <= self._lowest_part or now - self._lowest_part_at >= _FULL_AGAIN_SECONDS:
            self._lowest_part, self._lowest_part_at = part, now
        return part

    def _has_new_part(self, now: float) -> bool:
        """Returns whether this host holds no part, or held little of it until recently."""
        part = self._part(now)
        is_recent = now - self._lowest_part_at < self._bounds.window_seconds
        return part == 0.0 or (is_recent and self._lowest_part < _NEW_PART_FRACTION * part)

    def _refill_if_kept(self, account: str, now: float) -> None:
        if account in self._bucket_by_account:
            self._refill(account, now)

    def _refill(self, account: str, now: float) -> QuotaBucket:
        """Returns the bucket of an account with a quota as of now."""
        quota, share = self.quota_by_account[account], self.share(account, now)
        bucket = self._bucket_by_account.get(account)
        if bucket is None:
            level = self._first_level(quota, share, now)
            deferred = self._deferred_level(quota, now)
            bucket = QuotaBucket(level=level, deferred=deferred, share=share, now=now)
            if share > 0.0:
                # Until a host holds a part, an account gets no bucket. It would start empty, and
                # the extra burst would have to be filled by the rate.
                self._bucket_by_account[account] = bucket
        extra = self._bounds.extra_burst(quota) * self._part(now)
        if bucket.deferred and now - self._lowest_part_at >= self._bounds.window_seconds:
            bucket.level += bucket.deferred
            bucket.deferred = 0.0
        bucket.refill(now, quota=quota, share=share, extra=extra)
        return bucket

    def _first_level(self, quota: Quota, share: float, now: float) -> float:
        """Returns what is saved for an account of which this host has granted nothing lately.

        Of a part that was larger than now at other hosts until lately, those may have granted the
        burst; then only what the rate has yielded since is saved, and the initial extra burst.
        """
        part = self._part(now)
        lowest, since = min(self._lowest_part, part), now - self._lowest_part_at
        burst = min(share * quota.burst, lowest * quota.burst + since * quota.per_second * share)
        return burst + self._bounds.extra_burst(quota) * part - self._deferred_level(quota, now)

    def _deferred_level(self, quota: Quota, now: float) -> float:
        """Returns the part of the extra burst that other hosts may have granted in this window."""
        part = self._part(now)
        if now - self._lowest_part_at >= self._bounds.window_seconds:
            return 0.0
        extra = self._bounds.extra_burst(quota)
        initial = min(extra, self._bounds.initial_extra_burst(quota))
        return (extra - initial) * max(0.0, part - self._lowest_part)
