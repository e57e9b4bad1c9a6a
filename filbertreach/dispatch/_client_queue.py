"""Fair queueing between the clients of one rank."""

import heapq
import itertools
from collections import OrderedDict

from filbertreach.dispatch._call_queue import QueuedCall

_MIN_WEIGHT = 1e-6
"""Lower bound of weights, which prevents a division by 0 for a client with a share of 0."""
_REBUILD_SLACK = 64
"""Stale entries allowed before heaps are rebuilt and idle flows removed; amortises the cost."""


class _Flow:
    """Waiting calls of one client, and its tags of start-time fair queueing."""

    __slots__ = ("calls", "entry_number", "finish_tag", "recorded_backlog", "start_tag", "weight")

    def __init__(self) -> None:
        self.calls: OrderedDict[str, QueuedCall] = OrderedDict()
        self.weight = 1.0
        self.start_tag = 0.0
        """Virtual start time of the first waiting call."""
        self.finish_tag = 0.0
        """Virtual finish time of the last call that was served."""
        self.entry_number = -1
        """Number of the flow's valid entry in the start heap; -1 if there is none."""
        self.recorded_backlog = 0.0
        """Backlog in the flow's valid entry of the backlog heap."""

    def backlog(self) -> float:
        return len(self.calls) / self.weight


class ClientQueue:
    """Serves clients in proportion to their weights, each client's calls in order of arrival.

    Start-time fair queueing: P. Goyal, H. M. Vin, H. Cheng, "Start-time Fair Queueing", SIGCOMM
    1996, with every call of length 1. Only the first waiting call of a client has a start tag, so
    that cancelled and expired calls do not count against the share of their client. When the queue
    is full, the client with the longest backlog loses a call: B. Suter et al., "Buffer Management
    Schemes for Supporting TCP in Gigabit Routers with Per-flow Queueing", IEEE JSAC 17(6), 1999.
    """

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._flow_by_client: dict[str, _Flow] = {}
        self._start_heap: list[tuple[float, int, str]] = []
        self._backlog_heap: list[tuple[float, str]] = []
        self._entry_numbers = itertools.count()
        self._virtual_time = 0.0
        self._length = 0
        self._idle_sweep_threshold = _REBUILD_SLACK

    def __len__(self) -> int:
        """Returns the number of waiting calls."""
        return self._length

    def push(self, call: QueuedCall) -> None:
        """Adds a call; its `client_share` becomes the weight of the client."""
        flow = self._flow_by_client.get(call.client)
        if flow is None:
            self._remove_idle_flows()
            flow = self._flow_by_client[call.client] = _Flow()
        flow.weight = max(call.client_share, _MIN_WEIGHT)
        flow.calls[call.call_id] = call
        self._length += 1
        if len(flow.calls) == 1:
            flow.start_tag = max(self._virtual_time, flow.finish_tag)
            self._push_start_tag(call.client, flow)
        if flow.backlog() > flow.recorded_backlog:
            flow.recorded_backlog = flow.backlog()
            heapq.heappush(self._backlog_heap, (-flow.recorded_backlog, call.client))
            if len(self._backlog_heap) > 2 * len(self._flow_by_client) + _REBUILD_SLACK:
                self._rebuild_backlogs()

    def pop(self) -> QueuedCall:
        """Removes and returns the call with the earliest start tag; the queue must not be empty."""
        while True:
            _, number, client = heapq.heappop(self._start_heap)
            flow = self._flow_by_client.get(client)
            if flow is not None and flow.entry_number == number:
                break
        _, call = flow.calls.popitem(last=False)
        self._length -= 1
        self._virtual_time = flow.start_tag
        flow.finish_tag = flow.start_tag + 1.0 / flow.weight
        flow.entry_number = -1
        if flow.calls:
            flow.start_tag = flow.finish_tag
            self._push_start_tag(client, flow)
        elif self._length == 0:
            # An empty queue ends the busy period, and earlier service no longer counts.
            self._reset()
        return call

    def discard(self, call: QueuedCall) -> None:
        """Removes a waiting call."""
        flow = self._flow_by_client[call.client]
        del flow.calls[call.call_id]
        self._length -= 1
        if not flow.calls:
            flow.entry_number = -1
            if self._length == 0:
                self._reset()

    def newest_call_of_longest_backlog(self) -> QueuedCall:
        """Returns the newest call of the client with the longest backlog divided by its weight."""
        while True:
            negative_backlog, client = self._backlog_heap[0]
            flow = self._flow_by_client.get(client)
            if flow is not None and flow.recorded_backlog == -negative_backlog:
                actual = flow.backlog()
                if actual == flow.recorded_backlog:
                    return next(reversed(flow.calls.values()))
                flow.recorded_backlog = actual
                if actual > 0:
                    heapq.heapreplace(self._backlog_heap, (-actual, client))
                    continue
            heapq.heappop(self._backlog_heap)

    def _push_start_tag(self, client: str, flow: _Flow) -> None:
        flow.entry_number = next(self._entry_numbers)
        heapq.heappush(self._start_heap, (flow.start_tag, flow.entry_number, client))
        if len(self._start_heap) > 2 * len(self._flow_by_client) + _REBUILD_SLACK:
            self._start_heap = [
                (item.start_tag, item.entry_number, name)
                for name, item in self._flow_by_client.items()
                if item.entry_number >= 0
            ]
            heapq.heapify(self._start_heap)

    def _rebuild_backlogs(self) -> None:
        for flow in self._flow_by_client.values():
            flow.recorded_backlog = flow.backlog()
        self._backlog_heap = [
            (-flow.recorded_backlog, client)
            for client, flow in self._flow_by_client.items()
            if flow.calls
        ]
        heapq.heapify(self._backlog_heap)

    def _remove_idle_flows(self) -> None:
        """Removes clients without calls whose finish tag is no longer ahead of the virtual time."""
        if len(self._flow_by_client) < self._idle_sweep_threshold:
            return
        self._flow_by_client = {
            client: flow
            for client, flow in self._flow_by_client.items()
            if flow.calls or flow.finish_tag > self._virtual_time
        }
        self._idle_sweep_threshold = 2 * len(self._flow_by_client) + _REBUILD_SLACK

    def _reset(self) -> None:
        self._flow_by_client.clear()
        self._start_heap.clear()
        self._backlog_heap.clear()
        self._virtual_time = 0.0
