"""State of a call from an entry process between its arrival and its result."""

from typing import Literal

import anyio

from filbertreach.decisions import LeafTracker
from filbertreach.observability import Span
from filbertreach.schema import Call

AttemptKind = Literal["first", "hedge", "retry"]


class Attempt:
    """One sending of a call to a leaf."""

    def __init__(
        self,
        *,
        call_id: str,
        pending: "PendingCall",
        tracker: LeafTracker,
        kind: AttemptKind,
        started_at: float,
    ) -> None:
        """Records the start of an attempt.

        Args:
            call_id: Call id that the leaf sees, unique for each attempt.
            pending: Call that the attempt belongs to.
            tracker: Tracker of the leaf.
            kind: Reason for the attempt.
            started_at: Current clock time, in seconds.
        """
        self.call_id = call_id
        self.pending = pending
        self.tracker = tracker
        self.kind = kind
        self.started_at = started_at
        self.cancelled = False
        self.scope = anyio.CancelScope()


class PendingCall:
    """A call that has no result yet."""

    def __init__(
        self,
        *,
        call: Call,
        reply_to: str,
        incarnation: int,
        received_at: float,
        deadline_at: float,
        span: Span,
    ) -> None:
        """Records a call.

        Args:
            call: The message.
            reply_to: ip:port of the entry process's inbox.
            incarnation: Incarnation of the entry process.
            received_at: Estimated time of sending, in seconds of the clock of this process.
            deadline_at: Deadline, in seconds of the clock of this process.
            span: Span of the call in this process.
        """
        self.call = call
        self.reply_to = reply_to
        self.incarnation = incarnation
        self.received_at = received_at
        self.deadline_at = deadline_at
        self.span = span
        self.first_sent_at: float | None = None
        self.attempts = 0
        self.attempt_by_id: dict[str, Attempt] = {}
        self.tried_leaf_ids: set[str] = set()
        self.may_have_started = False
        self.last_failure_reason = "leaf_failed"
        self.done = False

    @property
    def key(self) -> str:
        """Key of the call, unique across entry processes."""
        return f"{self.reply_to}/{self.incarnation}/{self.call['call_id']}"

    @property
    def hedge_key(self) -> str:
        """Queue key of a hedge of this call."""
        return f"{self.key}#hedge"
