"""Interface of a service's queue, and the registry of queue policies."""

import abc
import heapq
import math
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, TypeVar

from filbertreach.document import Rank

_MAX_STALE_DEADLINES = 64
"""Entries of removed calls beyond which the deadline heap is rebuilt."""


class QueuedCall(NamedTuple):
    """A call that waits to be sent to a leaf."""

    call_id: str
    """Unique among the queued calls."""
    rank: str
    """Name of the rank."""
    client: str
    """Client on whose behalf the call is made."""
    client_share: float
    """Weight of the client inside its rank, more than 0."""
    enqueued_at: float
    """Time of acceptance, in seconds of the dispatch clock."""
    deadline_at: float
    """Deadline of the answer, in seconds of the dispatch clock."""
    payload: Any
    """Opaque to the queue; returned with the call."""


class CallQueue(abc.ABC):
    """Queue of the calls of one service that wait to be sent to a leaf.

    Every pushed call is returned exactly once: by `push` (refused), `pop`, `remove`, `expire` or
    `drain`. Operations take O(log n) time, except `drain` and `length_by_rank`.
    """

    def __init__(self, *, ranks: Mapping[str, Rank], max_length: int) -> None:
        """Creates an empty queue.

        Args:
            ranks: Ranks by name. A call of an unknown rank has the lowest priority and no
                guaranteed share.
            max_length: Maximum number of queued calls.

        Raises:
            ValueError: `max_length` is below 1.
        """
        if max_length < 1:
            raise ValueError(f"max_length is {max_length}; allowed: 1 or more")
        self._ranks = dict(ranks)
        self._max_length = max_length
        self._call_by_id: dict[str, QueuedCall] = {}
        self._deadlines: list[tuple[float, str]] = []

    def __len__(self) -> int:
        """Returns the number of waiting calls."""
        return len(self._call_by_id)

    def push(self, call: QueuedCall) -> QueuedCall | None:
        """Adds a call; evicts one if the queue is full.

        Args:
            call: The call.

        Returns:
            The call to refuse if the queue was full: `call` itself or a queued call that was
            evicted for it. None if the queue had room.

        Raises:
            ValueError: A call with this id is already queued.
        """
        if call.call_id in self._call_by_id:
            raise ValueError(f"call {call.call_id!r} is already queued")
        self._call_by_id[call.call_id] = call
        self._add(call)
        heapq.heappush(self._deadlines, (call.deadline_at, call.call_id))
        if len(self) <= self._max_length:
            return None
        return self.remove(self._victim(call).call_id)

    def pop(self, now: float) -> QueuedCall | None:
        """Removes and returns the call to send next.

        Does not check deadlines; call `expire` first.

        Args:
            now: Seconds of the dispatch clock.

        Returns:
            The call, or None if the queue is empty.
        """
        if not self._call_by_id:
            return None
        call = self._pop_next(now)
        self._unregister(call)
        return call

    def remove(self, call_id: str) -> QueuedCall | None:
        """Removes one call, for example because it was cancelled.

        Args:
            call_id: Id of the call.

        Returns:
            The call, or None if it is not queued.
        """
        call = self._call_by_id.get(call_id)
        if call is not None:
            self._discard(call)
            self._unregister(call)
        return call

    def expire(self, now: float, min_service_seconds: float) -> list[QueuedCall]:
        """Removes the calls that can no longer meet their deadline.

        Args:
            now: Seconds of the dispatch clock.
            min_service_seconds: Time that a leaf is expected to need for an answer.

        Returns:
            The calls whose deadline is before `now + min_service_seconds`, earliest deadline first.
        """
        expired = []
        while self._deadlines and self._deadlines[0][0] < now + min_service_seconds:
            deadline_at, call_id = heapq.heappop(self._deadlines)
            call = self._call_by_id.get(call_id)
            if call is not None and call.deadline_at == deadline_at:
                self.remove(call_id)
                expired.append(call)
        return expired

    def drain(self) -> list[QueuedCall]:
        """Removes every call, for example to move them to a queue with different ranks.

        Returns:
            The calls in order of arrival.
        """
        calls = list(self._call_by_id.values())
        for call in calls:
            self.remove(call.call_id)
        return calls

    def length_by_rank(self) -> dict[str, int]:
        """Returns the number of waiting calls by rank name; known ranks without calls have 0."""
        lengths = dict.fromkeys(self._ranks, 0)
        for call in self._call_by_id.values():
            lengths[call.rank] = lengths.get(call.rank, 0) + 1
        return lengths

    def record_service_time(self, rank: str, seconds: float) -> None:
        """Records the service time of a call, for policies that divide leaf time between ranks.

        Args:
            rank: Rank name of the call.
            seconds: Time from sending the call to the leaf to its answer.
        """
        del rank, seconds  # Used only by policies that account for service time.

    def pacing_delay_seconds(self, now: float, *, slots: int, latency_seconds: float) -> float:
        """Returns how long to keep a free slot empty before the next `pop`.

        Args:
            now: Seconds of the dispatch clock.
            slots: Concurrency limit of the service's leaves together.
            latency_seconds: Median latency of a leaf.

        Returns:
            Seconds; 0 to pop now, always 0 for policies without pacing.
        """
        del now, slots, latency_seconds
        return 0.0

    def estimate_wait_seconds(self, rank: str, throughput_per_second: float) -> float:
        """Estimates the queueing time of a call that arrives now.

        Args:
            rank: Rank name of the call.
            throughput_per_second: Calls per second that the service completes at full load.

        Returns:
            Seconds; 0 if no call is ahead of it, infinity if the throughput is 0.
        """
        ahead = self._calls_ahead(rank)
        if ahead <= 0:
            return 0.0
        return ahead / throughput_per_second if throughput_per_second > 0 else math.inf

    @abc.abstractmethod
    def _add(self, call: QueuedCall) -> None:
        """Adds a call to the data structure of the policy."""

    @abc.abstractmethod
    def _pop_next(self, now: float) -> QueuedCall:
        """Removes and returns the next call of the policy's data structure, which is not empty."""

    @abc.abstractmethod
    def _discard(self, call: QueuedCall) -> None:
        """Removes a queued call from the policy's data structure."""

    @abc.abstractmethod
    def _victim(self, pushed: QueuedCall) -> QueuedCall:
        """Returns the call to evict when `pushed` exceeds the maximum length."""

    @abc.abstractmethod
    def _calls_ahead(self, rank: str) -> float:
        """Returns how many calls are served before a call of this rank that arrives now."""

    def _unregister(self, call: QueuedCall) -> None:
        del self._call_by_id[call.call_id]
        if len(self._deadlines) > 2 * len(self._call_by_id) + _MAX_STALE_DEADLINES:
            self._deadlines = [(item.deadline_at, key) for key, item in self._call_by_id.items()]
            heapq.heapify(self._deadlines)


_QueueType = TypeVar("_QueueType", bound=type[CallQueue])

queue_policies_by_name: dict[str, type[CallQueue]] = {}
"""Queue classes by policy name; filled by the decorator `queue_policy`."""


def queue_policy(name: str) -> Callable[[_QueueType], _QueueType]:
    """Registers a queue class under a policy name.

    Args:
        name: Policy name.

    Returns:
        The class decorator.
    """

    def register(queue_class: _QueueType) -> _QueueType:
        queue_policies_by_name[name] = queue_class
        return queue_class

    return register
