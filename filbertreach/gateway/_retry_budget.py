"""Extra calls to a service, within this host's part of what all hosts may add together."""

from collections import deque

from filbertreach.platform import Bounds

_WINDOW_SLICES = 20
_LEAST_SLACK_HOSTS = 16
"""Hosts among which the extra calls besides the ratio are divided if fewer are known: several could
use all of their part at the same service."""
_RATIO_PART = 0.97
"""Part of the allowed ratio that is used; leaves count calls a little later than they are sent."""


class RetryBudgetSettings:
    """What all services of a process share."""

    def __init__(self) -> None:
        """Allows nothing until the bounds are known."""
        self.ratio = 0.0
        """Extra calls for each request."""
        self.window_seconds = 1.0
        """Window in which both are counted."""
        self.slack = 0.0
        """Extra calls of this host in a window besides the ratio."""
        self._fleet_slack = 0.0
        self._hosts = 1

    def update(self, bounds: Bounds) -> None:
        """Takes over the bounds of the deployment.

        Args:
            bounds: Bounds for all hosts together.
        """
        self.ratio = bounds.retry_ratio * _RATIO_PART
        self.window_seconds = bounds.retry_window_seconds
        self._fleet_slack = bounds.retry_slack
        self.divide(self._hosts)

    def divide(self, hosts: int) -> None:
        """Takes over how many hosts share the extra calls.

        Args:
            hosts: Hosts, as far as this host knows.
        """
        self._hosts = hosts
        self.slack = self._fleet_slack / max(_LEAST_SLACK_HOSTS, hosts)


class RetryBudget:
    """Requests and extra calls of one service in a sliding window.

    Hosts do not talk about their budgets: each keeps the ratio for the requests that it received
    itself, so the sum over all hosts keeps it too.
    """

    def __init__(self, *, settings: RetryBudgetSettings) -> None:
        """Starts with an empty window.

        Args:
            settings: Limits.
        """
        self._settings = settings
        self._slices: deque[list[float]] = deque()
        self._requests = 0.0
        self._extras = 0.0

    def count_request(self, now: float) -> None:
        """Counts a request for the service.

        Args:
            now: Clock now, in seconds.
        """
        self._slice(now)[1] += 1
        self._requests += 1

    def try_take(self, now: float) -> bool:
        """Takes one extra call if the window has room for it.

        Args:
            now: Clock now, in seconds.

        Returns:
            Whether the extra call may be sent.
        """
        current = self._slice(now)
        if self.left < 1.0:
            return False
        current[2] += 1
        self._extras += 1
        return True

    @property
    def left(self) -> float:
        """Extra calls that the window has room for."""
        settings = self._settings
        return settings.ratio * self._requests + settings.slack - self._extras

    def _slice(self, now: float) -> list[float]:
        width = self._settings.window_seconds / _WINDOW_SLICES
        oldest = now - self._settings.window_seconds - width
        while self._slices and self._slices[0][0] < oldest:
            _, requests, extras = self._slices.popleft()
            self._requests -= requests
            self._extras -= extras
        if not self._slices or now - self._slices[-1][0] >= width:
            self._slices.append([now, 0.0, 0.0])
        return self._slices[-1]
