"""What a simulated backend server tells about itself, which may lag."""

from collections import deque
from typing import NamedTuple


class Report(NamedTuple):
    """State at one moment."""

    at: float
    """CLOCK_BOOTTIME, in seconds."""
    state: str
    """starting, ready or draining."""
    in_flight: int
    """Calls in slots."""
    queued: int
    """Calls that wait."""
    versions: tuple[int, ...]
    """Index versions served."""


class ReportHistory:
    """Past reports, kept while reports lag."""

    def __init__(self) -> None:
        """Starts empty."""
        self._reports: deque[Report] = deque()

    def add(self, report: Report, lag_seconds: float) -> None:
        """Adds a report and drops those that are no longer needed."""
        self._reports.append(report)
        shown_at = report.at - lag_seconds
        while len(self._reports) > 1 and self._reports[1].at <= shown_at:
            self._reports.popleft()

    def shown(self, now: float, lag_seconds: float) -> Report | None:
        """Returns the newest report that is old enough, or else the oldest."""
        found = None
        for report in self._reports:
            if found is not None and report.at > now - lag_seconds:
                break
            found = report
        return found

    def clear(self) -> None:
        """Forgets all reports."""
        self._reports.clear()
