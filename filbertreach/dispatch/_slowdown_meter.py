"""Measures the slowdown of each client of a service by a planned change against a baseline."""

import math
from collections import OrderedDict, deque

MAX_CLIENTS = 256
"""Maximum number of measured clients of one service; the least recently used one is dropped."""
MAX_BASELINE_SAMPLES = 500
"""Number of latest calls in a baseline."""
MIN_BASELINE_SAMPLES = 100
"""Minimum number of calls for a 99th percentile; below it, the service's baseline is used."""
MIN_SLOW_CALLS = 5
"""Minimum number of slow calls for a reported slowdown."""
_SLOW_SHARE = 0.01
"""Share of calls above the 99th percentile."""
_SIGNIFICANT_DEVIATIONS = 3.0
"""Standard deviations by which the number of slow calls must exceed the expected one."""


class _Baseline:
    def __init__(self) -> None:
        self._seconds: deque[float] = deque(maxlen=MAX_BASELINE_SAMPLES)

    def record(self, seconds: float) -> None:
        self._seconds.append(seconds)

    def p99(self) -> float | None:
        if len(self._seconds) < MIN_BASELINE_SAMPLES:
            return None
        return sorted(self._seconds)[math.ceil((1 - _SLOW_SHARE) * len(self._seconds)) - 1]


class _SlowCallCounter:
    def __init__(self, limit: float) -> None:
        self.limit = limit
        self.calls = 0
        self.slow = 0

    def exceeds_bound(self) -> bool:
        expected = _SLOW_SHARE * self.calls
        surplus = self.slow - expected
        return self.slow >= MIN_SLOW_CALLS and surplus > _SIGNIFICANT_DEVIATIONS * math.sqrt(
            expected
        )


class SlowdownMeter:
    """Counts calls that take longer than the bound times the baseline p99.

    If the p99 of a client is within the bound, at most 1% of its calls take longer than the bound
    times the baseline p99. A client counts as slowed once the number of such calls exceeds 1% by
    three standard deviations of the count, so that a few slow calls do not stop a change.
    """

    def __init__(self) -> None:
        """Creates a meter that records the baseline."""
        self._baseline_by_client: OrderedDict[str, _Baseline] = OrderedDict()
        self._service_baseline = _Baseline()
        self._counter_by_client: OrderedDict[str, _SlowCallCounter] = OrderedDict()
        self._bound: float | None = None

    def record(self, client: str, seconds: float) -> None:
        """Records the latency of one call.

        Args:
            client: Client of the call.
            seconds: Time from its arrival to its answer; infinity for a call without an answer.
        """
        if self._bound is None:
            baseline = self._baseline_by_client.setdefault(client, _Baseline())
            baseline.record(seconds)
            self._service_baseline.record(seconds)
            self._baseline_by_client.move_to_end(client)
            if len(self._baseline_by_client) > MAX_CLIENTS:
                self._baseline_by_client.popitem(last=False)
            return
        counter = self._counter_by_client.get(client)
        if counter is None:
            counter = _SlowCallCounter(self._limit_for(client))
            self._counter_by_client[client] = counter
            if len(self._counter_by_client) > MAX_CLIENTS:
                self._counter_by_client.popitem(last=False)
        self._counter_by_client.move_to_end(client)
        counter.calls += 1
        counter.slow += seconds > counter.limit

    def start_counting(self, bound: float) -> None:
        """Freezes the baseline and starts to count slow calls; does nothing if already counting.

        Args:
            bound: Largest allowed ratio of the p99 to the baseline p99.
        """
        if self._bound is None:
            self._bound = bound
            self._counter_by_client.clear()

    def stop_counting(self) -> None:
        """Stops counting; later calls are recorded in the baseline again."""
        self._bound = None
        self._counter_by_client.clear()

    def slowed_clients(self) -> list[str]:
        """Returns the clients that are slowed beyond the bound, sorted."""
        return sorted(
            client for client, counter in self._counter_by_client.items() if counter.exceeds_bound()
        )

    def _limit_for(self, client: str) -> float:
        """Returns the latency above which a call is slow; infinity without a baseline."""
        assert self._bound is not None
        own = self._baseline_by_client.get(client)
        p99 = None if own is None else own.p99()
        if p99 is None:
            p99 = self._service_baseline.p99()
        return math.inf if p99 is None else self._bound * p99
