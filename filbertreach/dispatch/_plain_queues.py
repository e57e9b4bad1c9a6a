"""Baseline queue policies: first-in first-out and strict priority."""

from collections import OrderedDict
from collections.abc import Mapping

from filbertreach.dispatch._call_queue import CallQueue, QueuedCall, queue_policy
from filbertreach.document import Rank


@queue_policy("fifo")
class FifoQueue(CallQueue):
    """Serves calls in order of arrival; refuses new calls when full."""

    def __init__(self, *, ranks: Mapping[str, Rank], max_length: int) -> None:
        """Creates an empty queue; see `CallQueue`."""
        super().__init__(ranks=ranks, max_length=max_length)
        self._waiting: OrderedDict[str, QueuedCall] = OrderedDict()

    def _add(self, call: QueuedCall) -> None:
        self._waiting[call.call_id] = call

    def _pop_next(self, now: float) -> QueuedCall:
        return self._waiting.popitem(last=False)[1]

    def _discard(self, call: QueuedCall) -> None:
        del self._waiting[call.call_id]

    def _victim(self, pushed: QueuedCall) -> QueuedCall:
        return pushed

    def _calls_ahead(self, rank: str) -> float:
        return len(self._waiting)


@queue_policy("strict")
class StrictPriorityQueue(CallQueue):
    """Always serves the highest priority first; evicts the newest call of the lowest priority."""

    def __init__(self, *, ranks: Mapping[str, Rank], max_length: int) -> None:
        """Creates an empty queue; see `CallQueue`."""
        super().__init__(ranks=ranks, max_length=max_length)
        priorities = {rank.priority for rank in ranks.values()}
        self._unknown_priority = max(priorities, default=0) + 1
        self._queue_by_priority: dict[int, OrderedDict[str, QueuedCall]] = {
            priority: OrderedDict() for priority in sorted({*priorities, self._unknown_priority})
        }

    def _priority(self, rank: str) -> int:
        known = self._ranks.get(rank)
        return self._unknown_priority if known is None else known.priority

    def _add(self, call: QueuedCall) -> None:
        self._queue_by_priority[self._priority(call.rank)][call.call_id] = call

    def _pop_next(self, now: float) -> QueuedCall:
        queue = next(queue for queue in self._queue_by_priority.values() if queue)
        return queue.popitem(last=False)[1]

    def _discard(self, call: QueuedCall) -> None:
        del self._queue_by_priority[self._priority(call.rank)][call.call_id]

    def _victim(self, pushed: QueuedCall) -> QueuedCall:
        queue = next(queue for queue in reversed(self._queue_by_priority.values()) if queue)
        return next(reversed(queue.values()))

    def _calls_ahead(self, rank: str) -> float:
        priority = self._priority(rank)
        return sum(len(queue) for key, queue in self._queue_by_priority.items() if key <= priority)
