"""Fair queue between the clients of one rank."""

import heapq
import itertools
from collections import OrderedDict

from filbertreach.dispatch._call_queue import QueuedCall

_LEAST_WEIGHT = 1e-6
"""Guards against a division by 0 when a client's weight is written as 0."""
_IDLE_CLIENTS_KEPT = 64
"""Slack before heaps are rebuilt and idle clients are swept, so that both are amortised."""


class _Flow:
    """Waiting calls of one client."""

    __slots__ = ("calls", "entry", "finish", "recorded", "start", "weight")

    def __init__(self) -> None:
        self.calls: OrderedDict[str, QueuedCall] = OrderedDict()
        self.weight = 1.0
        self.start = 0.0
        """Virtual start time of the first waiting call."""
        self.finish = 0.0
        """Virtual finish time of the last call that was served."""
        self.entry = -1
        """Number of the flow's valid entry in the start heap; -1 without one."""
        self.recorded = 0.0
        """Backlog of the flow's valid entry in the backlog heap."""

    def backlog(self) -> float:
        return len(self.calls) / self.weight


class ClientQueue:
    """Serves clients in proportion to their weights, each client's calls in order of arrival.

    Start-time fair queueing: P. Goyal, H. M. Vin, H. Cheng, "Start-time Fair Queueing", SIGCOMM
    1996, with every call of length 1. Only the first waiting call of a client holds a start tag, so
    that calls which are cancelled or expire cost their client nothing. A full queue drops from the
    client with the longest backlog: B. Suter et al., "Buffer Management Schemes for Supporting TCP
    in Gigabit Routers with Per-flow Queueing", IEEE JSAC 17(6), 1999.
    """

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._flows: dict[str, _Flow] = {}
        self._starts: list[tuple[float, int, str]] = []
        self._backlogs: list[tuple[float, str]] = []
        self._numbers = itertools.count()
        self._virtual_time = 0.0
        self._length = 0
        self._sweep_at = _IDLE_CLIENTS_KEPT

    def __len__(self) -> int:
        """Returns the number of waiting calls."""
        return self._length

    def push(self, call: QueuedCall) -> None:
        """Adds a call; its `client_share` becomes the weight of the client."""
        flow = self._flows.get(call.client)
        if flow is None:
            self._sweep()
            flow = self._flows[call.client] = _Flow()
        flow.weight = max(call.client_share, _LEAST_WEIGHT)
        flow.calls[call.call_id] = call
        self._length += 1
        if len(flow.calls) == 1:
            flow.start = max(self._virtual_time, flow.finish)
            self._enter(call.client, flow)
        if flow.backlog() > flow.recorded:
            flow.recorded = flow.backlog()
            heapq.heappush(self._backlogs, (-flow.recorded, call.client))
            if len(self._backlogs) > 2 * len(self._flows) + _IDLE_CLIENTS_KEPT:
                self._rebuild_backlogs()

    def pop(self) -> QueuedCall:
        """Takes the call with the earliest virtual start time; the queue is not empty."""
        while True:
            _, number, client = heapq.heappop(self._starts)
            flow = self._flows.get(client)
            if flow is not None and flow.entry == number:
                break
        _, call = flow.calls.popitem(last=False)
        self._length -= 1
        self._virtual_time = flow.start
        flow.finish = flow.start + 1.0 / flow.weight
        flow.entry = -1
        if flow.calls:
            flow.start = flow.finish
            self._enter(client, flow)
        elif self._length == 0:
            # An idle queue starts a new busy period in which nobody is behind or ahead.
            self._clear()
        return call

    def discard(self, call: QueuedCall) -> None:
        """Takes out a waiting call."""
        flow = self._flows[call.client]
        del flow.calls[call.call_id]
        self._length -= 1
        if not flow.calls:
            flow.entry = -1
            if self._length == 0:
                self._clear()

    def newest_of_longest(self) -> QueuedCall:
        """Returns the newest call of the client whose backlog by weight is longest."""
        while True:
            recorded, client = self._backlogs[0]
            flow = self._flows.get(client)
            if flow is not None and flow.recorded == -recorded:
                actual = flow.backlog()
                if actual == flow.recorded:
                    return next(reversed(flow.calls.values()))
                flow.recorded = actual
                if actual > 0:
                    heapq.heapreplace(self._backlogs, (-actual, client))
                    continue
            heapq.heappop(self._backlogs)

    def _enter(self, client: str, flow: _Flow) -> None:
        flow.entry = next(self._numbers)
        heapq.heappush(self._starts, (flow.start, flow.entry, client))
        if len(self._starts) > 2 * len(self._flows) + _IDLE_CLIENTS_KEPT:
            self._starts = [
                (item.start, item.entry, name)
                for name, item in self._flows.items()
                if item.entry >= 0
            ]
            heapq.heapify(self._starts)

    def _rebuild_backlogs(self) -> None:
        for flow in self._flows.values():
            flow.recorded = flow.backlog()
        self._backlogs = [
            (-flow.recorded, client) for client, flow in self._flows.items() if flow.calls
        ]
        heapq.heapify(self._backlogs)

    def _sweep(self) -> None:
        """Forgets idle clients whose past service no longer counts against them."""
        if len(self._flows) < self._sweep_at:
            return
        self._flows = {
            client: flow
            for client, flow in self._flows.items()
            if flow.calls or flow.finish > self._virtual_time
        }
        self._sweep_at = 2 * len(self._flows) + _IDLE_CLIENTS_KEPT

    def _clear(self) -> None:
        self._flows.clear()
        self._starts.clear()
        self._backlogs.clear()
        self._virtual_time = 0.0
