"""Latency of each client of a service during a planned change, against the time before it."""

import math
from collections import OrderedDict, deque

MOST_CLIENTS = 256
"""Clients of one service that are measured; the one unused for longest is dropped."""
MOST_SAMPLES = 500
"""Latest calls that make up a client's normal."""
FEWEST_SAMPLES = 100
"""Calls below which a 99th percentile says nothing; the service's normal is used instead."""
FEWEST_SLOW = 5
"""Slow calls below which no slowdown is reported."""
_SLOW_SHARE = 0.01
"""Share of calls above the 99th percentile, by its definition."""
_DEVIATIONS = 3.0
"""Standard deviations by which slow calls must exceed their expected number."""


class _Normal:
    def __init__(self) -> None:
        self._seconds: deque[float] = deque(maxlen=MOST_SAMPLES)

    def record(self, seconds: float) -> None:
        self._seconds.append(seconds)

    def p99(self) -> float | None:
        if len(self._seconds) < FEWEST_SAMPLES:
            return None
        return sorted(self._seconds)[math.ceil((1 - _SLOW_SHARE) * len(self._seconds)) - 1]


class _Count:
    def __init__(self, limit: float) -> None:
        self.limit = limit
        self.calls = 0
        self.slow = 0

    def is_beyond(self) -> bool:
        expected = _SLOW_SHARE * self.calls
        surplus = self.slow - expected
        return self.slow >= FEWEST_SLOW and surplus > _DEVIATIONS * math.sqrt(expected)


class SlowdownMeter:
    """Counts calls that take longer than the bound times the normal p99.

    If the p99 of a client is within the bound, at most 1% of its calls take longer than the bound
    times the normal p99. A client counts as slowed once the number of such calls exceeds this share
    by three standard deviations of its count, so a few slow calls do not stop a change.
    """

    def __init__(self) -> None:
        """Starts without a change."""
        self._normal_by_client: OrderedDict[str, _Normal] = OrderedDict()
        self._normal_of_all = _Normal()
        self._count_by_client: OrderedDict[str, _Count] = OrderedDict()
        self._bound: float | None = None

    def record(self, client: str, seconds: float) -> None:
        """Takes the latency of one call.

        Args:
            client: Client of the call.
            seconds: Time from its arrival to its answer; infinity for a call without an answer.
        """
        if self._bound is None:
            normal = self._normal_by_client.setdefault(client, _Normal())
            normal.record(seconds)
            self._normal_of_all.record(seconds)
            self._normal_by_client.move_to_end(client)
            if len(self._normal_by_client) > MOST_CLIENTS:
                self._normal_by_client.popitem(last=False)
            return
        count = self._count_by_client.get(client)
        if count is None:
            count = _Count(self._limit_of(client))
            self._count_by_client[client] = count
            if len(self._count_by_client) > MOST_CLIENTS:
                self._count_by_client.popitem(last=False)
        self._count_by_client.move_to_end(client)
        count.calls += 1
        count.slow += seconds > count.limit

    def begin(self, bound: float) -> None:
        """Keeps the normal and starts to count, unless it counts already.

        Args:
            bound: Largest allowed ratio of p99 to the normal p99.
        """
        if self._bound is None:
            self._bound = bound
            self._count_by_client.clear()

    def end(self) -> None:
        """Stops counting; what follows is normal again."""
        self._bound = None
        self._count_by_client.clear()

    def slowed(self) -> list[str]:
        """Returns the clients that are slowed beyond the bound, in order."""
        return sorted(
            client for client, count in self._count_by_client.items() if count.is_beyond()
        )

    def _limit_of(self, client: str) -> float:
        """Returns infinity without enough calls before the change to know the normal."""
        assert self._bound is not None
        own = self._normal_by_client.get(client)
        p99 = None if own is None else own.p99()
        if p99 is None:
            p99 = self._normal_of_all.p99()
        return math.inf if p99 is None else self._bound * p99
