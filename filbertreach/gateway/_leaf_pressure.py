"""Pressure of the leaves that this host calls, from the load that they report in their answers."""

import math
import statistics
from collections.abc import Mapping

from filbertreach.decisions import PRESSURE_SECONDS, Pressure
from filbertreach.gateway._service_pool import ServicePool
from filbertreach.timing import Clock

_REFRESH_SECONDS = 0.25
"""Time for which a value is reused; the interval at which shares are updated. A value takes about
4 ms of processor time at 6,100 leaves; under load a gateway asks its quota host far more often."""


class LeafPressure:
    """Median of the calls per slot that leaves have reported to this host lately.

    Only leaves that this host has called have reported, so the median follows what its requests
    meet. One slow leaf does not count.
    """

    def __init__(self, *, pool_by_service: Mapping[str, ServicePool], clock: Clock) -> None:
        """Creates a reader of the state of leaves.

        Args:
            pool_by_service: Leaves of all services, updated by the caller.
            clock: Source of time.
        """
        self._pool_by_service = pool_by_service
        self._clock = clock
        self._read_at = -math.inf
        self._calls_per_slot: float | None = None
        self._reported_at = -math.inf
        """Clock of the newest report, in seconds."""

    def __call__(self) -> Pressure | None:
        """Returns the pressure; None if no leaf has reported within PRESSURE_SECONDS."""
        now = self._clock.now()
        if now - self._read_at >= _REFRESH_SECONDS:
            self._read(now)
        age_seconds = max(0.0, now - self._reported_at)
        if self._calls_per_slot is None or age_seconds >= PRESSURE_SECONDS:
            return None
        return Pressure(self._calls_per_slot, age_seconds)

    def _read(self, now: float) -> None:
        self._read_at = now
        reports = [
            (tracker.reported_at, tracker.reported_load / tracker.pool.slots)
            for pool in self._pool_by_service.values()
            for handle in pool.handle_by_id.values()
            if now - (tracker := handle.tracker).reported_at < PRESSURE_SECONDS
        ]
        self._calls_per_slot = statistics.median(load for _, load in reports) if reports else None
        self._reported_at = max((reported_at for reported_at, _ in reports), default=-math.inf)
