"""Loans of quota shares between quota hosts, by way of reports that seeds pass on.

A lender counts a loan as lent until the borrower has confirmed a later report with a smaller one,
or until the loan has expired. A borrower uses a loan for LOAN_SECONDS from its own last report that
the lender had received before it lent. So no share is used twice, whatever reports are lost or
delayed, and no clocks are compared between hosts.
"""

import collections
import math
from typing import NamedTuple

from filbertreach.quotas._parts import LOAN_SECONDS
from filbertreach.schema import QuotaPeer

_PEER_EXPIRY_SECONDS = 10.0
"""Time without a new report after which a peer is forgotten; longer than any loan."""
_MAX_PEERS = 128
"""Peers that are kept; further ones are ignored, and their parts stay with them."""


class _Statement(NamedTuple):
    number: int
    """Number of the report."""
    made_at: float
    """Clock when the report was made, in seconds."""
    share_by_account: dict[str, float]
    """Shares that it lends to the peer."""


class Peer:
    """What is known of another quota host, and the loans to it and from it."""

    def __init__(self) -> None:
        """Creates the state of a peer that has not reported."""
        self.demand: dict[str, float] = {}
        """Requests per second by account."""
        self.data_centre = ""
        """Data centre of the peer."""
        self._number = -1
        self._confirmed_number = 0
        self._heard_at = -math.inf
        self._borrowed: dict[str, float] = {}
        self._borrowed_until = -math.inf
        self._statements: collections.deque[_Statement] = collections.deque()

    def can_borrow(self, now: float) -> bool:
        """Returns whether each host has a recent report of the other, so that it can use a loan.

        Args:
            now: Current clock, in seconds.
        """
        return now - self._heard_at < LOAN_SECONDS and now < self._borrowed_until

    def is_expired(self, now: float) -> bool:
        """Returns whether it may be forgotten.

        Args:
            now: Current clock, in seconds.
        """
        return now - self._heard_at >= _PEER_EXPIRY_SECONDS

    def on_report(
        self, report: QuotaPeer, *, own_report_at: float, now: float
    ) -> tuple[dict[str, float], dict[str, float]] | None:
        """Applies a report of the peer unless a newer one was applied.

        Args:
            report: The report.
            own_report_at: Clock when the own report was made that the peer had received, in
                seconds.
            now: Current clock, in seconds.

        Returns:
            The borrowed shares before and after; None if the report is not new.
        """
        if report["number"] <= self._number:
            return None
        self._number = report["number"]
        self._heard_at = now - max(0.0, report["age_seconds"])
        self._confirmed_number = max(self._confirmed_number, report["heard"])
        self.demand = report["demand"]
        self.data_centre = report["data_centre"]
        before, self._borrowed = self._borrowed, report["lent"]
        self._borrowed_until = own_report_at + LOAN_SECONDS
        return before, self._borrowed

    def borrowed(self, account: str, now: float) -> float:
        """Returns the share of a quota that the peer lends to this host.

        Args:
            account: Name of the account.
            now: Current clock, in seconds.
        """
        return self._borrowed.get(account, 0.0) if now < self._borrowed_until else 0.0

    def lent(self, now: float) -> dict[str, float]:
        """Returns the shares that the peer may be using, by account.

        Args:
            now: Current clock, in seconds.
        """
        statements = self._statements
        while statements and (
            statements[0].number < self._confirmed_number
            or now - statements[0].made_at >= LOAN_SECONDS
        ):
            statements.popleft()
        lent: dict[str, float] = {}
        for statement in statements:
            for account, share in statement.share_by_account.items():
                if share > lent.get(account, 0.0):
                    lent[account] = share
        return lent

    def lend(self, number: int, share_by_account: dict[str, float], now: float) -> None:
        """Records what a report lends to the peer.

        Args:
            number: Number of the report.
            share_by_account: Shares of quotas.
            now: Current clock, in seconds.
        """
        self._statements.append(_Statement(number, now, share_by_account))

    @property
    def number(self) -> int:
        """Number of the newest report that was applied; -1 if there was none."""
        return self._number


class Peers:
    """The other quota hosts, by the sender of their reports."""

    def __init__(self) -> None:
        """Creates a state without peers."""
        self.by_sender: dict[str, Peer] = {}
        """Peers that are not expired."""
        self._made_at_by_number: dict[int, float] = {}
        """Clock at which the own reports of the last seconds were made."""
        self._newest_number = 0

    def next_report_number(self, now: float) -> int:
        """Returns the number of a report that is made now.

        Args:
            now: Current clock, in seconds.
        """
        self._newest_number += 1
        self._made_at_by_number[self._newest_number] = now
        for number, made_at in list(self._made_at_by_number.items()):
            if now - made_at < LOAN_SECONDS:
                break
            del self._made_at_by_number[number]
        return self._newest_number

    def on_report(
        self, report: QuotaPeer, now: float
    ) -> tuple[dict[str, float], dict[str, float]] | None:
        """Applies a report that a seed passed on.

        Args:
            report: The report.
            now: Current clock, in seconds.

        Returns:
            The shares that its sender lends, before and after; None if the report is not new.
        """
        if report["heard"] > self._newest_number:
            return None  # The report confirms what this host has never sent.
        peer = self.by_sender.get(report["sender"])
        if peer is None:
            if len(self.by_sender) >= _MAX_PEERS:
                return None
            peer = self.by_sender[report["sender"]] = Peer()
        own_report_at = self._made_at_by_number.get(report["heard"], -math.inf)
        return peer.on_report(report, own_report_at=own_report_at, now=now)

    def remove_expired(self, now: float) -> None:
        """Forgets peers that have not reported for long.

        Args:
            now: Current clock, in seconds.
        """
        for sender, peer in list(self.by_sender.items()):
            if peer.is_expired(now):
                del self.by_sender[sender]

    def borrowed(self, account: str, now: float) -> float:
        """Returns the share of a quota that all peers lend to this host.

        Args:
            account: Name of the account.
            now: Current clock, in seconds.
        """
        return sum(peer.borrowed(account, now) for peer in self.by_sender.values())
