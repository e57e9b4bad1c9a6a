"""Request limit of one leaf: the requests per second that it takes from all hosts together."""

import collections
import math

from filbertreach.gateway._metrics import LIMITED_LEAF_CALLS
from filbertreach.gateway._request_turns import RequestTurns, TurnSchedule
from filbertreach.gateway._token_bucket import TokenBucket
from filbertreach.observability import get_logger

_LOGGER = get_logger(__name__)

_LOGGED_CHANGE = 0.1
"""Relative change of a limit that is worth a log line."""
_UNKNOWN_FLEET_HOSTS = 16
"""Number of hosts assumed to share a limit until this host knows how many there are."""
_MIN_PER_SECOND = 0.5
"""A leaf that names less is still asked this often by all hosts together. Otherwise no answer would
show that its limit has ended."""
_MIN_BUCKET_PER_SECOND = 0.5
"""A smaller part is sent in turns. A bucket saves at least one request, and the requests saved by
many hosts would exceed what the leaf tolerates beyond its limit."""


class RequestLimit:
    """The limit that a leaf names in its answers, in force until it answers without one.

    Each host sends its part of the limit, by a token bucket, or in turns if the part is small.
    """

    def __init__(
        self, *, leaf: str, service: str, hosts: int | None, schedule: TurnSchedule
    ) -> None:
        """Creates the state of a leaf that has named no limit.

        Args:
            leaf: Id of the leaf.
            service: Its service.
            hosts: Number of hosts that share the limit, this one included; None if unknown.
            schedule: Turns of this host.
        """
        self.per_second: float | None = None
        """Requests per second from all hosts together; None while there is no limit."""
        self.hosts = hosts
        """Number of hosts that share the limit, this one included; None if unknown."""
        self.turns = RequestTurns(schedule=schedule)
        """Requests that this host sends while its part is small."""
        self._bucket = TokenBucket(now=0.0)
        self._leaf = leaf
        self._service = service
        self._named_at = -math.inf
        self._limited_since = math.inf
        self._count_by_kind: collections.Counter[str] = collections.Counter()

    def available_at(self, now: float, *, priority: int = 0) -> float:
        """Returns the clock from which a call may be sent; in the past if it may be sent now.

        Args:
            now: Current clock, in seconds.
            priority: Rank of the call, 0 for the most urgent ones.
        """
        if self.per_second is None:
            return -math.inf
        own_per_second = self._own_per_second
        if own_per_second < _MIN_BUCKET_PER_SECOND:
            return self.turns.available_at(now, per_second=own_per_second)
        return self._bucket.available_at(now, per_second=own_per_second, priority=priority)

    def is_unused(self, now: float) -> bool:
        """Returns whether this host has not used its part for a while, or there is no limit.

        Args:
            now: Current clock, in seconds.
        """
        if self.per_second is None:
            return True
        own_per_second = self._own_per_second
        return own_per_second >= _MIN_BUCKET_PER_SECOND and self._bucket.is_full(
            now, per_second=own_per_second
        )

    def count_call(self, kind: str, now: float) -> None:
        """Counts a call that is sent to the leaf.

        Args:
            kind: first, retry or hedge.
            now: Current clock, in seconds.
        """
        if self.per_second is None:
            return
        self._bucket.take(now, per_second=self._own_per_second)
        self.turns.take(now)
        self._count_by_kind[kind] += 1
        LIMITED_LEAF_CALLS.labels(kind).inc()

    def on_named(self, per_second: float, now: float) -> None:
        """Applies the limit that an answer names.

        Args:
            per_second: Requests per second from all hosts together.
            now: Current clock, in seconds.
        """
        old = self.per_second
        self.per_second, self._named_at = per_second, now
        if old is None:
            self._limited_since = now
            self._bucket = TokenBucket(now=now)
        if old is None or abs(per_second - old) > _LOGGED_CHANGE * old:
            _LOGGER.info(
                "leaf limits its requests",
                leaf=self._leaf,
                service=self._service,
                per_second=per_second,
                was=old,
                hosts=self.hosts,
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

    @property
    def _own_per_second(self) -> float:
        """Requests per second that this host may send."""
        assert self.per_second is not None
        hosts = _UNKNOWN_FLEET_HOSTS if self.hosts is None else self.hosts
        return max(self.per_second, _MIN_PER_SECOND) / hosts

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
