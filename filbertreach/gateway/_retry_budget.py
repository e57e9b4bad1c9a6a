"""Retry budget of each service: this host's share of the extra calls allowed to all hosts.

An extra call is a retry or a hedge, that is any call beyond the first of a request.
"""

import math
from collections import deque
from typing import NamedTuple

from filbertreach.platform import Bounds

_WINDOW_SLICES = 40
_MIN_SLACK_HOSTS = 16
"""The slack is divided among at least this many hosts, because several hosts could use their whole
share at the same service."""
_RATIO_SAFETY_FACTOR = 0.97
"""Fraction of the allowed ratio that is used, because leaves count calls slightly later than the
gateway sends them."""
_MIN_STEADY_REQUESTS = 50.0
"""Requests of a window that count even if there were fewer in the window before, so that a service
that is rarely used is retried too."""
_MIN_KNOWN_FRACTION = 0.1
"""Fraction of the window before the current one that has to be known for a comparison."""


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
        self.reserve = 0.0
        """This host's share of the slack that is left over, for requests that are counted twice
        because their callers changed hosts."""
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
        # A host that knows no other may not know of those that take the rest of the slack.
        self.reserve = self._total_slack / host_count - self.slack if host_count > 1 else 0.0


class EventSlice(NamedTuple):
    """Events that happened within a slice of a window."""

    start: float
    """Clock, in seconds."""
    events: int
    """Number of events."""


class BudgetHistory(NamedTuple):
    """What the budget of a service depends on, of one host."""

    first_request_at: float
    """Clock of the first request, in seconds."""
    requests: tuple[EventSlice, ...]
    """Requests of the window and of the one before it, oldest first."""
    extra_calls: tuple[EventSlice, ...]
    """Extra calls of the window, oldest first."""


class _SlicedCount:
    """Number of events, kept by the slice of time in which they happened."""

    def __init__(self) -> None:
        self.total = 0
        """Events that were added and not removed."""
        self._slices: deque[EventSlice] = deque()
        """Oldest first."""

    @property
    def slices(self) -> tuple[EventSlice, ...]:
        """The slices, oldest first."""
        return tuple(self._slices)

    def add_event(self, now: float, *, slice_seconds: float) -> None:
        if not self._slices or now - self._slices[-1].start >= slice_seconds:
            self._slices.append(EventSlice(now, 0))
        newest = self._slices[-1]
        self._slices[-1] = EventSlice(newest.start, newest.events + 1)
        self.total += 1

    def add_slice(self, added: EventSlice) -> None:
        self._slices.append(added)
        self.total += added.events

    def merge(self, added: tuple[EventSlice, ...]) -> None:
        """Adds slices of any time."""
        self._slices = deque(sorted((*self._slices, *added)))
        self.total += sum(item.events for item in added)

    def remove_before(self, time: float) -> list[EventSlice]:
        """Removes the slices that start before a time, and returns them."""
        removed = []
        while self._slices and self._slices[0].start < time:
            removed.append(self._slices.popleft())
            self.total -= removed[-1].events
        return removed


class RetryBudget:
    """Counts requests and extra calls of one service in a sliding window.

    Each host applies the ratio to the requests that it received itself, so the sum over all hosts
    stays within the ratio as well.

    When callers change hosts, requests of the same callers would allow extra calls on the old host
    and, in the same window, on the new one. So requests beyond those of the window before allow no
    more extra calls than the reserve: a budget grows with its traffic one window later. A host that
    starts does not know the window before, and continues with the history of the process that
    stopped (`RetryHistoryBoard`).
    """

    def __init__(self, *, settings: RetryBudgetSettings) -> None:
        """Creates a budget with an empty window.

        Args:
            settings: Limits.
        """
        self._settings = settings
        self._requests = _SlicedCount()
        """Requests of the slices that lie in the window as a whole."""
        self._straddling_requests = _SlicedCount()
        """Requests of the slices that lie in this window and in the one before it."""
        self._earlier_requests = _SlicedCount()
        """Requests of the slices that lie in the window before it as a whole."""
        self._extra_calls = _SlicedCount()
        """Extra calls of the slices that lie in the window at least in part."""
        self._first_request_at = math.inf
        self._earlier_end = -math.inf
        """End of the last slice of `_earlier_requests`, in seconds."""

    def count_request(self, now: float) -> None:
        """Counts a request to the service.

        Args:
            now: Current clock, in seconds.
        """
        self._advance(now)
        self._first_request_at = min(self._first_request_at, now)
        self._requests.add_event(now, slice_seconds=self._slice_seconds)

    def try_acquire(self, now: float) -> bool:
        """Acquires one extra call if the window has room for it.

        Args:
            now: Current clock, in seconds.

        Returns:
            Whether the extra call may be sent.
        """
        self._advance(now)
        if self.remaining < 1.0:
            return False
        self._extra_calls.add_event(now, slice_seconds=self._slice_seconds)
        return True

    def history(self, now: float) -> BudgetHistory | None:
        """Returns what the next process of this host has to know; None if nothing was counted.

        Args:
            now: Current clock, in seconds.
        """
        self._advance(now)
        requests = (
            *self._earlier_requests.slices,
            *self._straddling_requests.slices,
            *self._requests.slices,
        )
        if not requests:
            return None
        return BudgetHistory(self._first_request_at, requests, self._extra_calls.slices)

    def restore(self, history: BudgetHistory, now: float) -> None:
        """Continues with the history of the process that ran on this host before.

        A history that ended more than a window ago says nothing about the current callers, and a
        process that has run for a window knows them itself; neither is changed.

        Args:
            history: The history.
            now: Current clock, in seconds.
        """
        self._advance(now)
        window = self._settings.window_seconds
        if now - self._first_request_at >= window or history.requests[-1].start < now - window:
            return
        self._first_request_at = min(self._first_request_at, history.first_request_at)
        self._requests.merge(history.requests)
        self._extra_calls.merge(history.extra_calls)
        self._advance(now)

    @property
    def remaining(self) -> float:
        """Extra calls that the window still has room for."""
        settings = self._settings
        from_requests = min(
            settings.ratio * self._requests.total,
            settings.ratio * self._steady_requests + settings.reserve,
        )
        return from_requests + settings.slack - self._extra_calls.total

    @property
    def _steady_requests(self) -> float:
        """Requests that a window has if the callers are those of the window before.

        Infinite if too little of the window before is known.
        """
        window = self._settings.window_seconds
        known_seconds = min(self._earlier_end - self._first_request_at, window)
        if known_seconds < _MIN_KNOWN_FRACTION * window:
            return math.inf
        return max(self._earlier_requests.total * window / known_seconds, _MIN_STEADY_REQUESTS)

    @property
    def _slice_seconds(self) -> float:
        return self._settings.window_seconds / _WINDOW_SLICES

    def _advance(self, now: float) -> None:
        """Moves the window to a time.

        A slice that lies partly in the window counts with its extra calls, but not with its
        requests: with both, more extra calls would fit into a window than its requests allow.
        """
        window = self._settings.window_seconds
        begin = now - window
        for removed in self._requests.remove_before(begin):
            self._straddling_requests.add_slice(removed)
        for removed in self._straddling_requests.remove_before(begin - self._slice_seconds):
            self._earlier_requests.add_slice(removed)
            self._earlier_end = removed.start + self._slice_seconds
        self._earlier_requests.remove_before(begin - window)
        self._extra_calls.remove_before(begin - self._slice_seconds)
