"""State of one query: its calls to dispatch processes, their results and the merged rows."""

from collections.abc import Callable
from typing import NamedTuple

import anyio

from filbertreach.decisions import WaitPolicy
from filbertreach.document import Snapshot
from filbertreach.entry._coverage import Coverage, CoverageStatement, FailureReason
from filbertreach.entry._merging import MergeError, Merger, Row
from filbertreach.entry._request import Query
from filbertreach.observability import Span
from filbertreach.schema import Answer, Failure


class OutstandingCall(NamedTuple):
    """A call without a result so far."""

    call_id: str
    """Call id."""
    shard: str
    """Shard that is queried."""
    service: str
    """Service of the shard."""
    address: str
    """ip:port of the dispatch process's inbox."""
    resent: bool
    """Whether the call was first sent to another dispatch process."""


class GatherResult(NamedTuple):
    """Result of one query."""

    rows: list[Row]
    """Merged rows of the included shards."""
    coverage: CoverageStatement
    """Which shards are included."""
    included: int
    """Number of included shards."""
    not_run: bool
    """Whether it is certain that no part of the query ran on a leaf."""
    overloaded: bool
    """Whether every lacking shard was refused as overloaded."""
    retry_after_seconds: float
    """Longest retry delay that a dispatch process suggested."""


class Gather:
    """Collects the results of one query.

    Each shard is decided once. A late or repeated result is ignored; a result for another query or
    from another snapshot marks the shard as lacking.
    """

    def __init__(
        self,
        *,
        query: Query,
        snapshot: Snapshot,
        shards: tuple[str, ...],
        merger: Merger,
        wait: WaitPolicy,
        deadline_at: float,
        span: Span,
    ) -> None:
        """Creates a state in which every shard is undecided.

        Args:
            query: The query.
            snapshot: Snapshot that the whole query reads.
            shards: Shards of the query.
            merger: Merges the rows.
            wait: Decides when to stop waiting for shards.
            deadline_at: Clock time of the deadline, in seconds.
            span: Trace span of this process.
        """
        self.query = query
        self.snapshot = snapshot
        self.shards = shards
        self.deadline_at = deadline_at
        self.span = span
        self.outstanding_by_id: dict[str, OutstandingCall] = {}
        self.cancelled = False
        self.queue_ms: float | None = None
        """Longest `queue_ms` of the answers so far."""
        self._coverage = Coverage(shards=shards)
        self._merger = merger
        self._wait = wait
        self._state_changed = anyio.Event()
        self._may_have_run = False
        self._all_overloaded = True
        self._retry_after_ms = 0.0

    def record_sent(self, call: OutstandingCall) -> None:
        """Records a call that was passed to the transport.

        Args:
            call: The call.
        """
        self.outstanding_by_id[call.call_id] = call

    def on_answer(self, answer: Answer, now: float) -> None:
        """Merges the answer of one shard.

        Args:
            answer: Answer from a dispatch process.
            now: Time in seconds.
        """
        call = self.outstanding_by_id.pop(answer["call_id"], None)
        if call is None:
            return
        self._may_have_run = True
        self.queue_ms = max(self.queue_ms or 0.0, answer["queue_ms"])
        if answer["query_id"] != self.query.request_id or answer["shard"] != call.shard:
            self._mark_lacking(call.shard, "invalid_response", now)
            return
        if answer["version"] != self.snapshot.version:
            self._mark_lacking(call.shard, "invalid_response", now)
            return
        try:
            self._merger.add(call.shard, answer["version"], answer["rows"])
        except MergeError:
            self._mark_lacking(call.shard, "invalid_response", now)
            return
        self._coverage.mark_included(call.shard)
        self._wait.on_answer(now)
        self._state_changed.set()

    def on_failure(self, failure: Failure, now: float) -> None:
        """Marks a shard as lacking because its call failed.

        Args:
            failure: Failure from a dispatch process.
            now: Time in seconds.
        """
        call = self.outstanding_by_id.pop(failure["call_id"], None)
        if call is None:
            return
        self._may_have_run |= failure["started"] != "no"
        self._retry_after_ms = max(self._retry_after_ms, failure["retry_after_ms"])
        self._mark_lacking(call.shard, failure["reason"], now)

    def on_owner_lost(self, call: OutstandingCall, now: float) -> None:
        """Marks a shard as lacking after its dispatch process was lost and the call is not resent.

        Args:
            call: The call.
            now: Time in seconds.
        """
        if self.outstanding_by_id.pop(call.call_id, None) is not None:
            self._may_have_run = True
            self._mark_lacking(call.shard, "owner_lost", now)

    def record_resend(self, call: OutstandingCall) -> None:
        """Removes a call that will be resent because its dispatch process was lost.

        The lost process may have sent the call to a leaf, so the query may have run.

        Args:
            call: The call.
        """
        if self.outstanding_by_id.pop(call.call_id, None) is not None:
            self._may_have_run = True

    def record_not_sent(self, shard: str, now: float) -> None:
        """Marks a shard as lacking because no dispatch process was reachable; nothing was sent.

        Args:
            shard: The shard.
            now: Time in seconds.
        """
        self._mark_lacking(shard, "owner_lost", now)

    def cancel(self) -> None:
        """Ends the wait because the caller disconnected."""
        self.cancelled = True
        self._state_changed.set()

    async def wait(self, clock_now: Callable[[], float]) -> None:
        """Waits until the wait policy decides to stop waiting.

        Args:
            clock_now: Returns the clock time in seconds.
        """
        while not self.cancelled:
            now = clock_now()
            if self._wait.stop_waiting(now):
                return
            check_at = self._wait.next_check(now)
            if check_at is None:
                return
            self._state_changed = anyio.Event()
            with anyio.move_on_after(max(0.0, check_at - now)):
                await self._state_changed.wait()

    def finish(self) -> GatherResult:
        """Returns the result; undecided shards are lacking with the reason `deadline`."""
        if self.outstanding_by_id:
            self._may_have_run = True
            self._all_overloaded = False
        coverage = self._coverage.finish("deadline")
        return GatherResult(
            rows=self._merger.result(),
            coverage=coverage,
            included=len(coverage["included"]),
            not_run=not self._may_have_run,
            overloaded=self._all_overloaded,
            retry_after_seconds=self._retry_after_ms / 1000.0,
        )

    def _mark_lacking(self, shard: str, reason: FailureReason, now: float) -> None:
        self._all_overloaded &= reason == "overloaded"
        self._coverage.mark_lacking(shard, reason)
        self._wait.on_failure(now)
        self._state_changed.set()
