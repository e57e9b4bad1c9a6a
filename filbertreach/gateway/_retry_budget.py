"""Extra calls to a service, within this host's part of what all hosts may add together."""

import math
from collections import deque
from collections.abc import Callable

from filbertreach.platform import Bounds

_WINDOW_SLICES = 20
_LEAST_SLACK_HOSTS = 16
"""Hosts among which the extra calls besides the ratio are divided if fewer are known: several could
use all of their part at the same service."""
_SHARED_PART = 0.7
"""Part of a data centre's slack that its hosts use together: they learn of each other's use a
little later, and of some of it never."""
_HOST_PART = 0.35
"""Part of a data centre's slack that one host may use, whatever it hears of the others."""
_RATIO_PART = 0.97
"""Part of the allowed ratio that is used; leaves count calls a little later than they are sent."""


class BudgetSettings:
    """What all services of a process share."""

    def __init__(self) -> None:
        """Allows nothing until the bounds are known."""
        self.ratio = 0.0
        """Extra calls for each request."""
        self.window_seconds = 1.0
        """Window in which both are counted."""
        self.slack = 0.0
        """Extra calls of this host in a window besides the ratio."""
        self.shared_slack = math.inf
        """The same of all hosts of the data centre; infinite while they tell each other nothing."""
        self._fleet_slack = 0.0
        self._hosts = 1
        self._data_centres: int | None = None

    def update(self, bounds: Bounds) -> None:
        """Takes over the bounds of the deployment.

        Args:
            bounds: Bounds for all hosts together.
        """
        self.ratio = bounds.retry_ratio * _RATIO_PART
        self.window_seconds = bounds.retry_window_seconds
        self._fleet_slack = bounds.retry_slack
        self.divide(self._hosts, data_centres=self._data_centres)

    def divide(self, hosts: int, *, data_centres: int | None = None) -> None:
        """Takes over how many hosts share the extra calls.

        Callers keep their connections, so a few hosts have most of the load: hosts of a data centre
        that hear of each other's extra calls share what it may use, and the others divide.

        Args:
            hosts: Hosts, as far as this host knows.
            data_centres: Data centres of the fleet if the hosts of this one hear of each other.
        """
        self._hosts = hosts
        self._data_centres = data_centres
        self.slack = self._fleet_slack / max(_LEAST_SLACK_HOSTS, hosts)
        self.shared_slack = math.inf
        if data_centres is not None:
            of_data_centre = self._fleet_slack / data_centres
            self.slack = max(self.slack, _HOST_PART * of_data_centre)
            self.shared_slack = _SHARED_PART * of_data_centre


class RetryBudget:
    """Requests and extra calls of one service in a sliding window.

    Each host keeps the ratio for the requests that it received itself, so the sum over all hosts
    keeps it too. What goes beyond the ratio is slack, of which hosts of a data centre may tell each
    other.
    """

    def __init__(
        self, *, settings: BudgetSettings, on_slack: Callable[[], None] | None = None
    ) -> None:
        """Starts with an empty window.

        Args:
            settings: Limits.
            on_slack: Called for each extra call that goes beyond the ratio.
        """
        self._settings = settings
        self._on_slack = on_slack
        self._slices: deque[_Slice] = deque()
        self._requests = 0
        self._extras = 0
        self._heard = 0

    def count_request(self, now: float) -> None:
        """Counts a request for the service.

        Args:
            now: Clock now, in seconds.
        """
        self._slice(now).requests += 1
        self._requests += 1

    def heard_slack(self, count: int, now: float) -> None:
        """Counts extra calls beyond the ratio that other hosts of the data centre made.

        Args:
            count: Number of calls.
            now: Clock now, in seconds.
        """
        self._slice(now).heard += count
        self._heard += count

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
        current.extras += 1
        self._extras += 1
        if self._on_slack is not None and self._extras > self._settings.ratio * self._requests:
            self._on_slack()
        return True

    @property
    def left(self) -> float:
        """Extra calls that the window has room for."""
        settings = self._settings
        # What others took beyond the slack does not take away what the own requests allow.
        slack = max(0.0, min(settings.slack, settings.shared_slack - self._heard))
        return settings.ratio * self._requests + slack - self._extras

    def _slice(self, now: float) -> "_Slice":
        width = self._settings.window_seconds / _WINDOW_SLICES
        oldest = now - self._settings.window_seconds - width
        while self._slices and self._slices[0].began < oldest:
            gone = self._slices.popleft()
            self._requests -= gone.requests
            self._extras -= gone.extras
            self._heard -= gone.heard
        if not self._slices or now - self._slices[-1].began >= width:
            self._slices.append(_Slice(now))
        return self._slices[-1]


class _Slice:
    """Counts of a part of the window."""

    __slots__ = ("began", "extras", "heard", "requests")

    def __init__(self, began: float) -> None:
        self.began = began
        self.requests = 0
        self.extras = 0
        self.heard = 0
