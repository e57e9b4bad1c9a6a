"""Request limit of one leaf: the requests per second that it takes from all hosts together."""

import collections
import math

from filbertreach.gateway._metrics import LIMITED_LEAF_CALLS
from filbertreach.observability import get_logger

_LOGGER = get_logger(__name__)

_LOGGED_CHANGE = 0.1
"""Relative change of a limit that is worth a log line."""


class RequestLimit:
    """The limit that a leaf names in its answers, in force until it answers without one."""

    def __init__(self, *, leaf: str, service: str) -> None:
        """Creates the state of a leaf that has named no limit.

        Args:
            leaf: Id of the leaf.
            service: Its service.
        """
        self.per_second: float | None = None
        """Requests per second from all hosts together; None while there is no limit."""
        self._leaf = leaf
        self._service = service
        self._named_at = -math.inf
        self._limited_since = math.inf
        self._count_by_kind: collections.Counter[str] = collections.Counter()

    def count_call(self, kind: str) -> None:
        """Counts a call that is sent to the leaf.

        Args:
            kind: first, retry or hedge.
        """
        if self.per_second is not None:
            self._count_by_kind[kind] += 1
            LIMITED_LEAF_CALLS.labels(kind).inc()

    def on_named(self, per_second: float, now: float) -> None:
        """Applies the limit that an answer names.

        Args:
            per_second: Requests per second from all hosts together.
            now: Current clock, in seconds.
        """
        old, self.per_second, self._named_at = self.per_second, per_second, now
        if old is None:
            self._limited_since = now
        if old is None or abs(per_second - old) > _LOGGED_CHANGE * old:
            _LOGGER.info(
                "leaf limits its requests",
                leaf=self._leaf,
                service=self._service,
                per_second=per_second,
                was=old,
            )

    def on_success(self, sent_at: float, now: float) -> None:
        """Lifts the limit after a successful answer that names none.

        Args:
            sent_at: Clock when its request was sent, in seconds. An answer to a request that was
                sent before the limit was named may be older than the limit.
            now: Current clock, in seconds.
        """
        if self.per_second is not None and sent_at > self._named_at:
            self._lift("answered without limit", now)

    def on_removed(self, now: float) -> None:
        """Lifts the limit because the leaf is gone or has been restarted.

        Args:
            now: Current clock, in seconds.
        """
        if self.per_second is not None:
            self._lift("leaf removed", now)

    def _lift(self, reason: str, now: float) -> None:
        _LOGGER.info(
            "leaf no longer limits its requests",
            leaf=self._leaf,
            service=self._service,
            reason=reason,
            per_second=self.per_second,
            seconds=round(now - self._limited_since, 1),
            calls=dict(self._count_by_kind),
        )
        self.per_second = None
        self._count_by_kind.clear()
