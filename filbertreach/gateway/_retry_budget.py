"""Retry budget of each service: this host's share of the extra calls allowed to all hosts.

An extra call is a retry or a hedge, that is any call beyond the first of a request.
"""

from collections import deque

from filbertreach.platform import Bounds

_WINDOW_SLICES = 20
_MIN_SLACK_HOSTS = 16
"""The slack is divided among at least this many hosts, because several hosts could use their whole
share at the same service."""
_RATIO_SAFETY_FACTOR = 0.97
"""Fraction of the allowed ratio that is used, because leaves count calls slightly later than the
gateway sends them."""


class RetryBudgetSettings:
    """Limits of extra calls, shared by the budgets of all services."""

    def __init__(self) -> None:
        """Creates limits that allow no extra calls until `update` sets the bounds."""
        self.ratio = 0.0
        """Extra calls allowed per request."""
        self.window_seconds = 1.0
        """Length of the sliding window, in seconds."""
        self.slack = 0.0
        """Extra calls that this host may send in a window in addition to the ratio."""
        self._total_slack = 0.0
        self._host_count = 1

    def update(self, bounds: Bounds) -> None:
        """Applies the bounds of the deployment.

        Args:
            bounds: Bounds; the slack is for all hosts together.
        """
        self.ratio = bounds.retry_ratio * _RATIO_SAFETY_FACTOR
        self.window_seconds = bounds.retry_window_seconds
        self._total_slack = bounds.retry_slack
        self.set_host_count(self._host_count)

    def set_host_count(self, host_count: int) -> None:
        """Sets the number of hosts that share the slack.

        Args:
            host_count: Number of known hosts, this one included.
        """
        self._host_count = host_count
        self.slack = self._total_slack / max(_MIN_SLACK_HOSTS, host_count)


class RetryBudget:
    """Counts requests and extra calls of one service in a sliding window.

    Hosts do not coordinate their budgets. Each host applies the ratio to the requests that it
    received itself, so the sum over all hosts stays within the ratio as well.
    """

    def __init__(self, *, settings: RetryBudgetSettings) -> None:
        """Creates a budget with an empty window.

        Args:
            settings: Limits.
        """
        self._settings = settings
        self._slices: deque[list[float]] = deque()
        """Start of each slice in seconds, its requests and its extra calls; oldest first."""
        self._request_count = 0.0
        self._extra_count = 0.0

    def count_request(self, now: float) -> None:
        """Counts a request to the service.

        Args:
            now: Current clock, in seconds.
        """
        self._current_slice(now)[1] += 1
        self._request_count += 1

    def try_acquire(self, now: float) -> bool:
        """Acquires one extra call if the window has room for it.

        Args:
            now: Current clock, in seconds.

        Returns:
            Whether the extra call may be sent.
        """
        current = self._current_slice(now)
        if self.remaining < 1.0:
            return False
        current[2] += 1
        self._extra_count += 1
        return True

    @property
    def remaining(self) -> float:
        """Extra calls that the window still has room for."""
        settings = self._settings
        return settings.ratio * self._request_count + settings.slack - self._extra_count

    def _current_slice(self, now: float) -> list[float]:
        """Removes expired slices and returns the slice of the current time.

        A slice that lies partly in the window counts with its extra calls, but not with its
        requests: with both, more extra calls would fit into a window than its requests allow.
        """
        width = self._settings.window_seconds / _WINDOW_SLICES
        begin = now - self._settings.window_seconds
        while self._slices and self._slices[0][0] < begin - width:
            _, requests, extras = self._slices.popleft()
            self._request_count -= requests
            self._extra_count -= extras
        for old in self._slices:
            if old[0] >= begin:
                break
            self._request_count -= old[1]
            old[1] = 0.0
        if not self._slices or now - self._slices[-1][0] >= width:
            self._slices.append([now, 0.0, 0.0])
        return self._slices[-1]
