"""Leaves that end without a request of this host, as a sign that leaves end for other reasons."""

import collections
import math
from collections.abc import Callable
from typing import NamedTuple

from filbertreach.quarantine._loss_count import LeafProcess
from filbertreach.quarantine._request_guard import LeafCheck

_NEAR_SECONDS = 0.1
"""Time before and after a lost request within which leaves that close idle connections are checked.
At other times, a closed idle connection is nothing unusual."""
_MAX_CLOSED = 64
"""Closed connections that are kept, and checks that follow one lost request."""


class _Closed(NamedTuple):
    """An idle connection that its leaf has closed."""

    at: float
    """Clock at which it was closed, in seconds."""
    process: LeafProcess
    """The leaf."""
    address: str
    """ip:port of the leaf."""


class IdleEnds:
    """Checks leaves that close idle connections at nearly the moment at which a request is lost."""

    def __init__(
        self, *, check_leaf: LeafCheck, on_ended: Callable[[LeafProcess, float], None]
    ) -> None:
        """Creates a record without closed connections.

        Args:
            check_leaf: Finds out whether a leaf has ended.
            on_ended: Called with each leaf that has, and the clock at which its connection closed.
        """
        self._check_leaf = check_leaf
        self._on_ended = on_ended
        self._closed: collections.deque[_Closed] = collections.deque(maxlen=_MAX_CLOSED)
        self._window_ends_at = -math.inf
        """Clock until which leaves that close connections are checked at once, in seconds."""
        self._checks_left = 0

    def on_closed(self, process: LeafProcess, address: str, now: float) -> None:
        """Records that a leaf has closed an idle connection.

        Args:
            process: The leaf.
            address: ip:port of the leaf.
            now: Current clock, in seconds.
        """
        closed = _Closed(now, process, address)
        if now < self._window_ends_at:
            self._check(closed)
        else:
            self._closed.append(closed)

    def on_request_lost(self, now: float) -> None:
        """Checks the leaves that closed connections just before, and those that do so next.

        Args:
            now: Current clock, in seconds.
        """
        if now >= self._window_ends_at:
            self._checks_left = _MAX_CLOSED
        self._window_ends_at = now + _NEAR_SECONDS
        closed, self._closed = self._closed, collections.deque(maxlen=_MAX_CLOSED)
        for one in closed:
            if now - one.at < _NEAR_SECONDS:
                self._check(one)

    def _check(self, closed: _Closed) -> None:
        if self._checks_left <= 0:
            return
        self._checks_left -= 1

        def on_checked(ended: bool) -> None:
            if ended:
                self._on_ended(closed.process, closed.at)

        self._check_leaf(closed.process, closed.address, on_checked)
