"""Metric and log of the calls that are sent to other data centres."""

from filbertreach.decisions import SpillReason
from filbertreach.gateway._metrics import CALLS_SENT_OUT
from filbertreach.observability import get_logger

_LOGGER = get_logger(__name__)

_PERIOD_SECONDS = 1.0
"""Shortest time over which a share is computed, and between two lines of a class."""
_MIN_CALLS = 20
"""Fewest calls from which a share is computed; with fewer it changes by chance."""
_LOGGED_CHANGE = 0.1
"""Change of the share that is worth a log line."""
_RETENTION_SECONDS = 300.0
"""Time for which a class without calls is remembered."""


class _Period:
    """Calls of one class since the beginning of a period."""

    def __init__(self, started_at: float, logged_share: float) -> None:
        self.started_at = started_at
        """Clock, in seconds."""
        self.logged_share = logged_share
        """Share in the last line about the class."""
        self.calls = 0
        """Calls of the class."""
        self.count_by_reason: dict[str, int] = {}
        """Calls sent out."""


class SpillOverLog:
    """Counts the calls sent out by reason, and logs notable changes of their share by class."""

    def __init__(self) -> None:
        """Creates a log without calls."""
        self._period_by_class: dict[str, _Period] = {}

    def record(self, service_class: str, reason: SpillReason | None, now: float) -> None:
        """Records a call.

        Args:
            service_class: Name of the route.
            reason: Why the call was sent out; None if it was not.
            now: Current clock, in seconds.
        """
        period = self._period_by_class.get(service_class)
        if period is None:
            self._remove_idle(now)
            period = self._period_by_class[service_class] = _Period(now, 0.0)
        period.calls += 1
        if reason is not None:
            CALLS_SENT_OUT.labels(reason).inc()
            period.count_by_reason[reason] = period.count_by_reason.get(reason, 0) + 1
        if now - period.started_at >= _PERIOD_SECONDS and period.calls >= _MIN_CALLS:
            self._end_period(service_class, period, now)

    def _end_period(self, service_class: str, period: _Period, now: float) -> None:
        share = sum(period.count_by_reason.values()) / period.calls
        logged = period.logged_share
        if abs(share - logged) >= _LOGGED_CHANGE:
            _LOGGER.info(
                "share sent to other data centres",
                service_class=service_class,
                share=round(share, 2),
                was=round(logged, 2),
                calls=period.calls,
                reasons=period.count_by_reason,
                seconds=round(now - period.started_at, 1),
            )
            logged = share
        self._period_by_class[service_class] = _Period(now, logged)

    def _remove_idle(self, now: float) -> None:
        for name, period in list(self._period_by_class.items()):
            if now - period.started_at > _RETENTION_SECONDS:
                del self._period_by_class[name]
