"""Time for which one leaf has asked not to be called, and the return to it."""

import math
import random

from filbertreach.observability import get_logger

_LOGGER = get_logger(__name__)

_SPREAD_SHARE = 0.25
"""Part of the time that a leaf names, within which the hosts return to it at random."""
_MAX_SPREAD_SECONDS = 1.0
"""Longest time within which the hosts return."""
_FIRST_CALLS = 1
"""Calls that may be in flight at the end of the time, until the first of them succeeds."""
_UNRESTRICTED_CALLS = 8
"""Calls in flight from which on their number is no longer restricted; the queues of leaves are
about as long."""


class RetryHold:
    """The time that a leaf names in its answers with status 503, by the header Retry-After.

    The leaf is passed over for that time. Then the calls in flight to it are restricted to one, and
    to one more for each success.
    """

    def __init__(self, *, leaf: str, service: str) -> None:
        """Creates the state of a leaf that has named no time.

        Args:
            leaf: Id of the leaf.
            service: Its service.
        """
        self.returns_at = -math.inf
        """Clock from which this host calls the leaf, in seconds."""
        self._leaf = leaf
        self._service = service
        self._named_until = -math.inf
        """Clock at the end of the longest time that the leaf has named, in seconds."""
        self._max_calls: int | None = None
        """Calls that may be in flight; None if their number is not restricted."""

    def has_room(self, in_flight: int) -> bool:
        """Returns whether the return to the leaf allows another call.

        Args:
            in_flight: Calls of this host in flight to the leaf.
        """
        return self._max_calls is None or in_flight < self._max_calls

    def on_named(self, seconds: float, now: float) -> None:
        """Applies the time that an answer names; the longest of several is in force.

        Args:
            seconds: Time from now on, in seconds.
            now: Current clock, in seconds.
        """
        if now >= self.returns_at:
            _LOGGER.info(
                "leaf asks to be called later",
                leaf=self._leaf,
                service=self._service,
                seconds=seconds,
            )
        self._max_calls = _FIRST_CALLS
        if now + seconds <= self._named_until:
            return
        self._named_until = now + seconds
        spread_seconds = min(_MAX_SPREAD_SECONDS, _SPREAD_SHARE * seconds)
        self.returns_at = self._named_until + random.uniform(0.0, spread_seconds)

    def on_success(self, sent_at: float) -> None:
        """Allows another call in flight after a successful answer.

        Args:
            sent_at: Clock when its request was sent, in seconds. An answer to a request that was
                sent before the end of the time says nothing about the return.
        """
        if self._max_calls is None or sent_at < self.returns_at:
            return
        self._max_calls += 1
        if self._max_calls >= _UNRESTRICTED_CALLS:
            self._max_calls = None
