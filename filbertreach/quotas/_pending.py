"""Requests of a gateway that wait for a decision of its quota host."""

import collections
from typing import NamedTuple

import anyio


class QuotaDecision(NamedTuple):
    """Whether a request may be started."""

    account: str
    """Name of the account."""
    outcome: str
    """granted, over_quota, over_share, no_quota_host or paused."""
    decided_at: float
    """Clock when the request was granted, in seconds."""
    granted_by: str = ""
    """Quota host that granted the request; empty if it was refused."""
    retry_after_seconds: float = 0.0
    """Time after which the request may be granted if it was refused."""

    @property
    def is_granted(self) -> bool:
        """Whether the request may be started."""
        return self.outcome == "granted"


class Waiter:
    """A request that waits for its decision."""

    def __init__(self, account: str) -> None:
        """Creates a waiter without a decision.

        Args:
            account: Name of the account.
        """
        self.account = account
        """Name of the account."""
        self.decision: QuotaDecision | None = None
        """The decision, None while there is none."""
        self.is_abandoned = False
        """Whether its caller has left."""
        self._decided = anyio.Event()

    async def wait(self) -> QuotaDecision:
        """Waits for the decision."""
        await self._decided.wait()
        assert self.decision is not None
        return self.decision

    def decide(self, decision: QuotaDecision) -> None:
        """Ends the wait.

        Args:
            decision: The decision.
        """
        self.decision = decision
        self._decided.set()


def count_by_account(waiters: list[Waiter]) -> dict[str, int]:
    """Returns the number of waiters of each account.

    Args:
        waiters: Waiters.
    """
    return dict(collections.Counter(waiter.account for waiter in waiters))


class WaiterQueue:
    """Waiters in the order of their arrival."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._waiters: collections.deque[Waiter] = collections.deque()
        self._arrived = anyio.Event()

    def add(self, waiter: Waiter) -> None:
        """Appends a waiter.

        Args:
            waiter: The waiter.
        """
        self._waiters.append(waiter)
        self._arrived.set()

    async def wait_for_arrival(self, timeout_seconds: float) -> None:
        """Waits until a waiter is queued.

        Args:
            timeout_seconds: Longest wait, in seconds.
        """
        if not self._waiters:
            with anyio.move_on_after(timeout_seconds):
                await self._arrived.wait()

    def take(self, count: int) -> list[Waiter]:
        """Removes the oldest waiters whose callers have not left.

        Args:
            count: Largest number of waiters.
        """
        taken: list[Waiter] = []
        while self._waiters and len(taken) < count:
            waiter = self._waiters.popleft()
            if not waiter.is_abandoned:
                taken.append(waiter)
        if not self._waiters:
            self._arrived = anyio.Event()
        return taken
