"""Reserve for the way of answers back to callers, and the observations that feed it."""

import math
from collections.abc import Callable

from filbertreach.decisions import CallerReserve, RequestArrival
from filbertreach.gateway._loop_probe import LoopProbe
from filbertreach.timing import TimerService

_MAX_PARSE_SECONDS = 0.05
"""Longest time between the first byte of a request and its arrival at the gateway that counts. A
longer one is the upload of a body, which does not shorten the objective."""


class ReturnPath:
    """Owns the reserve of one process; without it, the reserve of its queries is constant."""

    def __init__(
        self,
        *,
        enabled: bool,
        link_bytes_per_second: float | None,
        cores: float | None,
        timers: TimerService,
        in_progress: Callable[[], int],
    ) -> None:
        """Creates the return path without observations.

        Args:
            enabled: Whether the reserve follows what the host observes.
            link_bytes_per_second: Speed of the link of the host; None if unknown.
            cores: Processor cores that the process may use; None if unknown.
            timers: Timer service, already entered.
            in_progress: Returns the number of queries in progress.
        """
        self.reserve: CallerReserve | None = None
        """Reserve of the objectives; None for the constant one."""
        self._clock = timers.clock
        self._loop_probe: LoopProbe | None = None
        if enabled:
            self.reserve = CallerReserve(link_bytes_per_second=link_bytes_per_second, cores=cores)
            self._loop_probe = LoopProbe(
                reserve=self.reserve, timers=timers, in_progress=in_progress
            )

    def arrived_at(self, arrival: RequestArrival | None) -> float:
        """Returns the clock from which the objective of a request counts, in seconds.

        Args:
            arrival: How the request reached this host; None if unknown.
        """
        if self.reserve is None or arrival is None or arrival.received_at is None:
            return self._clock.now()
        now = self._clock.now()
        return min(now, max(arrival.received_at, now - _MAX_PARSE_SECONDS))

    def on_query(self) -> None:
        """Starts to observe the event loop; to be called when a query begins."""
        if self._loop_probe is not None:
            self._loop_probe.start()

    def on_answer_sent(self, decided_at: float) -> None:
        """Records that an answer was given to the network.

        Args:
            decided_at: Clock when its query stopped waiting for leaves, in seconds; infinite if
                there was no query.
        """
        if self.reserve is not None and decided_at < math.inf:
            now = self._clock.now()
            self.reserve.record_finish(now - decided_at, now)
