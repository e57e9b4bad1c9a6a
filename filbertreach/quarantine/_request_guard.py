"""Decides what is sent for one request, and records the leaves that are lost under it."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from filbertreach.quarantine._loss_count import MAX_LOSSES, LeafProcess, LossCount
from filbertreach.quarantine._recent_crashes import FIRST_SHARDS, RecentCrashes, first_shards
from filbertreach.quarantine._request_quarantine import RequestQuarantine, Verdict


class LeafCheck(Protocol):
    """Finds out whether a leaf has ended."""

    def __call__(
        self, process: LeafProcess, address: str, on_checked: Callable[[bool], None]
    ) -> None:
        """Starts the check.

        Args:
            process: The leaf.
            address: ip:port of the leaf.
            on_checked: Called once with whether it has ended.
        """


class GuardContext(NamedTuple):
    """What the guards of all requests share."""

    quarantine: RequestQuarantine
    """Losses by fingerprint."""
    crashes: RecentCrashes
    """Routes under which leaves have ended lately."""
    check_leaf: LeafCheck
    """Finds out whether a leaf has ended."""
    on_loss: Callable[[bytes, str], None]
    """Called with fingerprint and route after a loss was recorded."""
    now: Callable[[], float]
    """Returns the current clock, in seconds."""


class RequestGuard:
    """Decides what is sent for one request; shared by its calls to all shards."""

    def __init__(
        self,
        *,
        fingerprint: bytes,
        route: str,
        shards: int,
        verdict: Verdict,
        context: GuardContext,
    ) -> None:
        """Creates the guard of a request for which nothing was sent.

        Args:
            fingerprint: Fingerprint of the request.
            route: Name of its route.
            shards: Number of shards that it is sent to; 0 for a request to a single service.
            verdict: Decision about the fingerprint.
            context: What all guards share.
        """
        self.fingerprint = fingerprint
        """Fingerprint of the request."""
        self.verdict = verdict
        """Decision before anything was sent."""
        self.losses = LossCount(max_losses=1 if self.is_trial else MAX_LOSSES)
        """Leaves lost under the request."""
        self.on_change: Callable[[], None] = lambda: None
        """Called when the request may have to end, or may send again."""
        self.route = route
        """Name of the route."""
        self._shards = shards
        self._context = context
        self._is_answered = False
        self._has_failed = False
        """Whether a trial has sent a call that got no answer."""
        self._first_shards: list[int] | None = None
        if shards and (self.is_trial or context.crashes.is_recent(route, context.now())):
            count = 1 if self.is_trial else FIRST_SHARDS
            self._first_shards = first_shards(fingerprint, shards=shards, count=count)

    @property
    def is_trial(self) -> bool:
        """Whether the request tries a fingerprint whose time in quarantine has ended."""
        return self.verdict.kind == "trial"

    @property
    def first_shards(self) -> list[int] | None:
        """Positions of the shards that are called first; None to call all at once."""
        return self._first_shards

    @property
    def is_answered(self) -> bool:
        """Whether a leaf has run the request and lives."""
        return self._is_answered

    def is_stopped(self) -> bool:
        """Returns whether the request ends: nothing more is sent, and its calls are cancelled."""
        if self.losses.is_exhausted or (self._has_failed and not self._is_answered):
            return True
        quarantine, now = self._context.quarantine, self._context.now()
        return quarantine.standing(self.fingerprint, now, trial=self.is_trial) == "stopped"

    def may_send(self) -> bool:
        """Returns whether a call may be sent now."""
        if not self.losses.may_send:
            return False
        if self.is_trial and self.losses.attempts and not self._is_answered:
            return False
        quarantine, now = self._context.quarantine, self._context.now()
        return quarantine.standing(self.fingerprint, now, trial=self.is_trial) == "free"

    def on_sent(self) -> None:
        """Records that the request is written to a leaf."""
        self.losses.on_sent()
        self._context.quarantine.on_sent(self.fingerprint, self._context.now())

    def on_answered(self) -> None:
        """Records that a leaf has run the request."""
        self._is_answered = True
        self._context.quarantine.on_answered(self.fingerprint, self._context.now())
        if self._first_shards is not None:
            self.on_change()

    def on_failed(self) -> None:
        """Records that a call was sent and has got no answer; a trial ends with that."""
        if self.is_trial:
            self._has_failed = True
            self.on_change()

    def on_connection_lost(self, process: LeafProcess, address: str) -> None:
        """Records that a connection was lost while the leaf ran the request.

        Args:
            process: The leaf.
            address: ip:port of the leaf.
        """
        self.losses.on_connection_lost(process)
        lost_at = self._context.now()
        self._context.check_leaf(
            process, address, lambda ended: self._on_checked(process, lost_at, ended=ended)
        )

    def _on_checked(self, process: LeafProcess, lost_at: float, *, ended: bool) -> None:
        # The request may have ended meanwhile; the loss counts for its content nevertheless.
        self.losses.on_checked(process, ended=ended)
        if ended:
            context = self._context
            if self._shards:
                context.crashes.on_lost(self.route, lost_at)
            context.quarantine.on_lost(
                self.fingerprint, process, attempts=self.losses.attempts, now=context.now()
            )
            context.on_loss(self.fingerprint, self.route)
        self.on_change()
