"""Baseline queues: arrival order, and strict priority."""

from collections import OrderedDict
from collections.abc import Mapping

from filbertreach.dispatch._call_queue import CallQueue, QueuedCall, queue_policy
from filbertreach.document import Rank


@queue_policy("fifo")
class FifoQueue(CallQueue):
    """Serves calls in the order of their arrival and refuses the newest."""

    def __init__(self, *, ranks: Mapping[str, Rank], max_length: int) -> None:
        """Creates an empty queue; see `CallQueue`."""
        super().__init__(ranks=ranks, max_length=max_length)
        self._waiting: OrderedDict[str, QueuedCall] = OrderedDict()

    def _add(self, call: QueuedCall) -> None:
        self._waiting[call.call_id] = call

    def _take(self, now: float) -> QueuedCall:
        return self._waiting.popitem(last=False)[1]

    def _discard(self, call: QueuedCall) -> None:
        del self._waiting[call.call_id]

    def _victim(self, pushed: QueuedCall) -> QueuedCall:
        return pushed

    def _service_ahead(self, rank: str) -> float:
        return len(self._waiting)


@queue_policy("strict")
class StrictPriorityQueue(CallQueue):
    """Serves the most urgent rank first, always; refuses the newest call of the least urgent."""

    def __init__(self, *, ranks: Mapping[str, Rank], max_length: int) -> None:
        """Creates an empty queue; see `CallQueue`."""
        super().__init__(ranks=ranks, max_length=max_length)
        priorities = {rank.priority for rank in ranks.values()}
        self._unknown = max(priorities, default=0) + 1
        self._lanes: dict[int, OrderedDict[str, QueuedCall]] = {
            priority: OrderedDict() for priority in sorted({*priorities, self._unknown})
        }

    def _priority(self, rank: str) -> int:
        known = self._ranks.get(rank)
        return self._unknown if known is None else known.priority

    def _add(self, call: QueuedCall) -> None:
        self._lanes[self._priority(call.rank)][call.call_id] = call

    def _take(self, now: float) -> QueuedCall:
        lane = next(lane for lane in self._lanes.values() if lane)
        return lane.popitem(last=False)[1]

    def _discard(self, call: QueuedCall) -> None:
        del self._lanes[self._priority(call.rank)][call.call_id]

    def _victim(self, pushed: QueuedCall) -> QueuedCall:
        lane = next(lane for lane in reversed(self._lanes.values()) if lane)
        return next(reversed(lane.values()))

    def _service_ahead(self, rank: str) -> float:
        priority = self._priority(rank)
        return sum(len(lane) for key, lane in self._lanes.items() if key <= priority)
