"""Part of the latency objective reserved for the way of an answer back to the caller."""

import math
from typing import NamedTuple

from filbertreach.decisions._latency import LatencyTracker

MIN_CALLER_RESERVE_SECONDS = 0.016
"""Smallest reserve; enough for hosts with a fast link and little work."""
_DEFAULT_ROUND_TRIP_SECONDS = 0.006
"""Round trip to a caller of the same region, assumed where the kernel does not state it."""
_MARGIN_SECONDS = 0.002
"""Variation of the network delay."""
_TRANSMISSION_FACTOR = 2.0
"""Multiple of the time that the answer needs alone on the link of the host, which it shares
with what else the host sends meanwhile."""
_DEFAULT_LOOP_DELAY_SECONDS = 0.008
"""Delay of the event loop that is reserved until it has been observed."""
_MAX_OBJECTIVE_SHARE = 0.5
"""Largest share of the objective that is reserved. An answer with few shards is worth little."""
_DELAY_QUANTILE = 0.9
"""Quantile that is reserved of the delay of the event loop and of the time to finish an answer."""
_MAX_FINISH_SECONDS = 0.05
"""Longest time to finish an answer that counts. A longer one is due to a caller that takes no
bytes, which says nothing about the answers to others."""
_HEADER_BYTES = 300
"""Bytes of the headers of a part, including those of TCP and IP."""
_DEFAULT_PART_BYTES = 650.0
"""Size of the body of a part until one has arrived; parts have 100 to 1,200 bytes."""
_SMOOTHING = 0.05
"""Weight of a new part in the mean size of parts."""
_ANSWER_SMOOTHING = 0.3
"""Weight of a new answer in the mean size of answers."""
_WORK_SMOOTHING = 0.3
"""Weight of a new sample in the mean work per part."""
_MIN_WORK_PARTS = 20
"""Parts in a sample of the work per part; work that is not due to parts counts less in it."""
_TOGETHER_SHARE = 0.5
"""Share of the expected parts of other queries that is taken to arrive just before the request or
the answer. Reserving too much costs some coverage, too little the whole answer."""


class RequestArrival(NamedTuple):
    """How a request reached this host, as its connection shows it."""

    is_first_on_connection: bool = False
    """Whether the caller opened the connection for the request, which then waited for the
    handshake before the gateway saw it."""
    round_trip_seconds: float | None = None
    """Round trip that the kernel has measured, in seconds; None if unknown."""
    received_at: float | None = None
    """Clock when the first bytes of the request were read, in seconds; None if unknown."""


_UNKNOWN_ARRIVAL = RequestArrival()


class CallerReserve:
    """Derives the reserve from the delays that this host observes and expects.

    An answer that is sent late in the objective waits for the event loop, and then on the link of
    the host behind the requests of other queries. The request was itself delayed by parts that
    arrived before it, which the gateway can't measure, as it sees the request only afterwards.
    """

    def __init__(
        self, *, link_bytes_per_second: float | None = None, cores: float | None = None
    ) -> None:
        """Creates a reserve without observations.

        Args:
            link_bytes_per_second: Speed of the link of the host; None if unknown.
            cores: Processor cores that the process may use; None if unknown.
        """
        self.expected_parts = 0
        """Parts of all queries in progress that have not arrived."""
        self._link_bytes_per_second = link_bytes_per_second or math.inf
        # One thread runs the event loop, so more than one core does not speed it up.
        self._usable_cores = min(1.0, cores) if cores else 1.0
        self._loop_delays = LatencyTracker()
        self._finish_times = LatencyTracker()
        self._part_bytes = _DEFAULT_PART_BYTES
        self._work_seconds_per_part = 0.0
        self._parts_since_work = 0
        """Parts that arrived since the last sample of the work per part."""
        self._work_seconds = 0.0
        """Processor time since that sample."""
        self._answer_bytes = 0.0
        """Mean size of answers."""
        self._leaving_bytes = 0.0
        """Bytes that had been sent at `_leaving_at` and had not left over the link."""
        self._leaving_at = -math.inf
        """Clock when bytes were last sent, in seconds."""

    def record_loop_delay(self, seconds: float, now: float) -> None:
        """Records by how much the event loop ran a timer too late.

        Args:
            seconds: Delay. Samples are to be taken while queries are in progress, as an idle event
                loop says nothing about the moments at which answers are sent.
            now: Current clock, in seconds.
        """
        self._loop_delays.record(max(0.0, seconds), now)

    def record_finish(self, seconds: float, now: float) -> None:
        """Records the time from the decision to answer until the answer was given to the network.

        A time that is longer than any work on an answer is ignored.

        Args:
            seconds: Time for merging the parts, the log and the encoding of the response.
            now: Current clock, in seconds.
        """
        if seconds <= _MAX_FINISH_SECONDS:
            self._finish_times.record(seconds, now)

    def record_work(self, cpu_seconds: float) -> None:
        """Records processor time that the process used while queries were in progress.

        Args:
            cpu_seconds: Processor time since the previous call.
        """
        self._work_seconds += cpu_seconds
        if self._parts_since_work >= _MIN_WORK_PARTS:
            sample = self._work_seconds / self._parts_since_work
            self._work_seconds_per_part += _WORK_SMOOTHING * (sample - self._work_seconds_per_part)
            self._parts_since_work = 0
            self._work_seconds = 0.0

    def record_sent(self, size: int, now: float) -> None:
        """Records bytes that were given to the network.

        Args:
            size: Number of bytes.
            now: Current clock, in seconds.
        """
        self._leaving_bytes = self._leaving(now) + size
        self._leaving_at = now

    def record_answer(self, size: int, now: float) -> None:
        """Records an answer that was given to the network; the next one is expected to be as large.

        Args:
            size: Bytes of its headers and body.
            now: Current clock, in seconds.
        """
        self._answer_bytes += _ANSWER_SMOOTHING * (size - self._answer_bytes)
        self.record_sent(size, now)

    def record_part(self, size: int) -> None:
        """Records a part that arrived.

        Args:
            size: Bytes of its body.
        """
        self._part_bytes += _SMOOTHING * (size - self._part_bytes)
        self._parts_since_work += 1

    def arrival_seconds(self) -> float:
        """Returns how long a request that was just read may have waited behind arriving parts.

        To be called before the parts of the request itself are counted as expected.
        """
        size = self._part_bytes + _HEADER_BYTES
        return _TOGETHER_SHARE * self.expected_parts * size / self._link_bytes_per_second

    def seconds(
        self,
        now: float,
        *,
        objective_seconds: float,
        arrival_seconds: float = 0.0,
        own_parts: int = 0,
        arrival: RequestArrival = _UNKNOWN_ARRIVAL,
    ) -> float:
        """Returns the reserve for an answer that would be sent now.

        Args:
            now: Current clock, in seconds.
            objective_seconds: Latency objective of the request.
            arrival_seconds: `arrival_seconds` when the request was read.
            own_parts: Parts of the query itself that have not arrived. The answer does not wait for
                them.
            arrival: How the request reached this host.
        """
        leaving = self._leaving(now) + self._answer_bytes
        parts = _TOGETHER_SHARE * max(0, self.expected_parts - own_parts)
        work = parts * self._work_seconds_per_part / self._usable_cores
        observed = self._loop_delays.quantile(_DELAY_QUANTILE)
        if observed is None:
            observed = _DEFAULT_LOOP_DELAY_SECONDS
        round_trip = arrival.round_trip_seconds or _DEFAULT_ROUND_TRIP_SECONDS
        reserve = (
            (2.0 if arrival.is_first_on_connection else 1.0) * round_trip
            + _MARGIN_SECONDS
            + max(observed, work)
            + (self._finish_times.quantile(_DELAY_QUANTILE) or 0.0)
            + arrival_seconds
            + _TRANSMISSION_FACTOR * leaving / self._link_bytes_per_second
        )
        largest = _MAX_OBJECTIVE_SHARE * objective_seconds
        return max(MIN_CALLER_RESERVE_SECONDS, min(reserve, largest))

    def _leaving(self, now: float) -> float:
        """Returns the bytes that were sent and have not left over the link."""
        if self._link_bytes_per_second == math.inf or self._leaving_at == -math.inf:
            return 0.0
        drained = (now - self._leaving_at) * self._link_bytes_per_second
        return max(0.0, self._leaving_bytes - drained)
