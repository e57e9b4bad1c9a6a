"""State that a simulated leaf reports about itself, which may lag behind the true state."""

from collections import deque
from typing import NamedTuple


class Report(NamedTuple):
    """State of a leaf at one point in time."""

    at: float
    """Time of the state: CLOCK_BOOTTIME in seconds."""
    state: str
    """One of starting, ready and draining."""
    in_flight: int
    """Number of calls in slots."""
    queued: int
    """Number of calls that wait for a slot."""
    versions: tuple[int, ...]
    """Index versions served."""


class ReportHistory:
    """Past reports, kept while a lag of reports is configured."""

    def __init__(self) -> None:
        """Creates an empty history."""
        self._reports: deque[Report] = deque()

    def add(self, report: Report, lag_seconds: float) -> None:
        """Adds a report and discards those that `lagged_report` can no longer return.

        Args:
            report: The current state.
            lag_seconds: Lag of reports.
        """
        self._reports.append(report)
        cutoff = report.at - lag_seconds
        while len(self._reports) > 1 and self._reports[1].at <= cutoff:
            self._reports.popleft()

    def lagged_report(self, now: float, lag_seconds: float) -> Report | None:
        """Returns the newest report that is at least as old as the lag, or else the oldest.

        Args:
            now: CLOCK_BOOTTIME in seconds.
            lag_seconds: Lag of reports.
        """
        newest = None
        for report in self._reports:
            if newest is not None and report.at > now - lag_seconds:
                break
            newest = report
        return newest

    def clear(self) -> None:
        """Discards all reports."""
        self._reports.clear()
