"""Interface of a service's queue, and the registry of queue policies."""

import abc
import heapq
import math
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, TypeVar

from filbertreach.document import Rank

_STALE_ENTRIES_KEPT = 64
"""Entries of removed calls that the deadline heap holds before it is rebuilt."""


class QueuedCall(NamedTuple):
    """A call that waits for a leaf."""

    call_id: str
    """Unique among the queued calls."""
    rank: str
    """Name of its rank."""
    client: str
    """Client on whose behalf it is made."""
    client_share: float
    """Weight of the client inside its rank, more than 0."""
    enqueued_at: float
    """When it was accepted, in seconds of the dispatch clock."""
    deadline_at: float
    """When its answer is due, in seconds of the dispatch clock."""
    payload: Any
    """Passed through untouched."""


class CallQueue(abc.ABC):
    """Calls of one service that wait for a leaf.

    Every call that is pushed leaves exactly once: by `push` (refused), `pop`, `remove`, `expire` or
    `drain`. Operations take O(log n) time, `drain` and `length_by_rank` excepted.
    """

    def __init__(self, *, ranks: Mapping[str, Rank], max_length: int) -> None:
        """Creates an empty queue.

        Args:
            ranks: Ranks by name. A call of an unknown rank is the least urgent and keeps no share.
            max_length: Most calls held.

        Raises:
            ValueError: `max_length` is below 1.
        """
        if max_length < 1:
            raise ValueError(f"max_length is {max_length}; a queue holds at least 1 call")
        self._ranks = dict(ranks)
        self._max_length = max_length
        self._call_by_id: dict[str, QueuedCall] = {}
        self._deadlines: list[tuple[float, str]] = []

    def __len__(self) -> int:
        """Returns the number of waiting calls."""
        return len(self._call_by_id)

    def push(self, call: QueuedCall) -> QueuedCall | None:
        """Adds a call.

        Args:
            call: The call.

        Returns:
            The call to refuse if the queue was full: `call` itself or a queued one that it
            displaced. None if all fit.

        Raises:
            ValueError: A call of this id is queued already.
        """
        if call.call_id in self._call_by_id:
            raise ValueError(f"call {call.call_id!r} is queued already")
        self._call_by_id[call.call_id] = call
        self._add(call)
        heapq.heappush(self._deadlines, (call.deadline_at, call.call_id))
        if len(self) <= self._max_length:
            return None
        return self.remove(self._victim(call).call_id)

    def pop(self, now: float) -> QueuedCall | None:
        """Takes the call to send next.

        Does not look at deadlines; call `expire` first.

        Args:
            now: Seconds of the dispatch clock.

        Returns:
            The call, or None if the queue is empty.
        """
        if not self._call_by_id:
            return None
        call = self._take(now)
        self._forget(call)
        return call

    def remove(self, call_id: str) -> QueuedCall | None:
        """Takes out one call, for example because it was cancelled.

        Args:
            call_id: Id of the call.

        Returns:
            The call, or None if it is not queued.
        """
        call = self._call_by_id.get(call_id)
        if call is not None:
            self._discard(call)
            self._forget(call)
        return call

    def expire(self, now: float, least_seconds: float) -> list[QueuedCall]:
        """Takes out the calls that can no longer meet their deadline.

        Args:
            now: Seconds of the dispatch clock.
            least_seconds: Time that a leaf needs to answer.

        Returns:
            The calls whose deadline is before `now + least_seconds`, earliest deadline first.
        """
        expired = []
        while self._deadlines and self._deadlines[0][0] < now + least_seconds:
            deadline_at, call_id = heapq.heappop(self._deadlines)
            call = self._call_by_id.get(call_id)
            if call is not None and call.deadline_at == deadline_at:
                self.remove(call_id)
                expired.append(call)
        return expired

    def drain(self) -> list[QueuedCall]:
        """Takes out every call, for example to move them to a queue with other ranks.

        Returns:
            The calls in the order of their arrival.
        """
        calls = list(self._call_by_id.values())
        for call in calls:
            self.remove(call.call_id)
        return calls

    def length_by_rank(self) -> dict[str, int]:
        """Returns the number of waiting calls by rank name, with 0 for the known empty ranks."""
        lengths = dict.fromkeys(self._ranks, 0)
        for call in self._call_by_id.values():
            lengths[call.rank] = lengths.get(call.rank, 0) + 1
        return lengths

    def record_service_time(self, rank: str, seconds: float) -> None:
        """Tells how long a leaf worked on a call, for policies that divide time between ranks.

        Args:
            rank: Rank name of the call.
            seconds: Time at the leaf.
        """
        del rank, seconds  # Only some policies use it.

    def pacing_delay_seconds(self, now: float, *, slots: int, latency_seconds: float) -> float:
        """Returns how long to leave a free slot empty before the next `pop`.

        Args:
            now: Seconds of the dispatch clock.
            slots: Calls that the service's leaves run at once.
            latency_seconds: Median time at a leaf.

        Returns:
            Seconds; 0 to pop now, always 0 for policies that do not space their calls.
        """
        del now, slots, latency_seconds
        return 0.0

    def estimate_wait_seconds(self, rank: str, throughput_per_second: float) -> float:
        """Estimates how long a call that arrives now waits.

        Args:
            rank: Rank name of the call.
            throughput_per_second: Calls that the service completes per second at full load.

        Returns:
            Seconds; 0 with nothing ahead of it, infinity if the service completes none.
        """
        ahead = self._service_ahead(rank)
        if ahead <= 0:
            return 0.0
        return ahead / throughput_per_second if throughput_per_second > 0 else math.inf

    @abc.abstractmethod
    def _add(self, call: QueuedCall) -> None:
        """Adds to the policy's structure."""

    @abc.abstractmethod
    def _take(self, now: float) -> QueuedCall:
        """Takes the next call out of the policy's structure, which is not empty."""

    @abc.abstractmethod
    def _discard(self, call: QueuedCall) -> None:
        """Takes a queued call out of the policy's structure."""

    @abc.abstractmethod
    def _victim(self, pushed: QueuedCall) -> QueuedCall:
        """Returns the call to refuse when `pushed` is one too many."""

    @abc.abstractmethod
    def _service_ahead(self, rank: str) -> float:
        """Returns how many calls are served before one of this rank that arrives now."""

    def _forget(self, call: QueuedCall) -> None:
        del self._call_by_id[call.call_id]
        if len(self._deadlines) > 2 * len(self._call_by_id) + _STALE_ENTRIES_KEPT:
            self._deadlines = [(item.deadline_at, key) for key, item in self._call_by_id.items()]
            heapq.heapify(self._deadlines)


_QueueType = TypeVar("_QueueType", bound=type[CallQueue])

queue_policies_by_name: dict[str, type[CallQueue]] = {}
"""Filled by `queue_policy`."""


def queue_policy(name: str) -> Callable[[_QueueType], _QueueType]:
    """Registers a queue class under a policy name.

    Args:
        name: Policy name.

    Returns:
        The decorator.
    """

    def register(queue_class: _QueueType) -> _QueueType:
        queue_policies_by_name[name] = queue_class
        return queue_class

    return register
