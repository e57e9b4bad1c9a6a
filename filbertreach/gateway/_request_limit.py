"""Request limits of one leaf: the requests per second that it takes from all hosts together."""

import collections
import math

from filbertreach.gateway._cold_bound import ColdBound, cold_share
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
_COLD_TURN_SECONDS = 0.5
"""Duration of a turn in which this host calls cold leaves, however large its part is. What a cold
leaf tolerates beyond its limit is counted in one second (`ColdBound`), and a longer turn lets more
hosts use theirs together after a lull."""


class RequestLimit:
    """The limits of a leaf: the one that it names in its answers, and the one while it is cold.

    A limit that the leaf names is in force until it answers without one. Each host sends its part,
    by a token bucket, or in turns if the part is small. While the leaf is cold, each host sends its
    part of the limit of the service, in short turns. If both limits are in force, both hold.
    """

    def __init__(
        self,
        *,
        leaf: str,
        service: str,
        hosts: int | None,
        schedule: TurnSchedule,
        cold_bound: ColdBound | None = None,
    ) -> None:
        """Creates the state of a leaf that has named no limit.

        Args:
            leaf: Id of the leaf.
            service: Its service.
            hosts: Number of hosts that share the limit, this one included; None if unknown.
            schedule: Turns of this host.
            cold_bound: What the leaf tolerates while it is cold; None for the usual bound.
        """
        self.per_second: float | None = None
        """Requests per second from all hosts together; None while there is no limit."""
        self.hosts = hosts
        """Number of hosts that share the limit, this one included; None if unknown."""
        self.turns = RequestTurns(schedule=schedule)
        """Requests that this host sends while its part is small."""
        self.cold_turns = RequestTurns(schedule=schedule.with_turns_of(_COLD_TURN_SECONDS))
        """Requests that this host sends while the leaf is cold."""
        self.cold_per_second: float | None = None
        """Requests per second from all hosts together while the leaf is cold; None for no limit."""
        self.cold_until = -math.inf
        """Clock until which the leaf is cold, in seconds."""
        self._bucket = TokenBucket(now=0.0)
        self.cold_bound = cold_bound or ColdBound()
        """What the leaf tolerates while it is cold."""
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
        available_at = -math.inf
        if self.per_second is not None:
            own_per_second = self._own_per_second
            if own_per_second < _MIN_BUCKET_PER_SECOND:
                available_at = self.turns.available_at(now, per_second=own_per_second)
            else:
                available_at = self._bucket.available_at(
                    now, per_second=own_per_second, priority=priority
                )
        if self.is_cold(now):
            assert self.cold_per_second is not None
            share = cold_share(self.cold_bound, self.cold_per_second)
            cold_at = self.cold_turns.available_at(
                now, per_second=share * self.cold_per_second / self._sharing_hosts
            )
            available_at = max(available_at, min(cold_at, self.cold_until))
        return available_at

    def is_unused(self, now: float) -> bool:
        """Returns whether this host has not used its part for a while, or there is no limit.

        Args:
            now: Current clock, in seconds.
        """
        if self.is_cold(now):
            return False
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
        if self.is_cold(now):
            self.cold_turns.take(now)
        if self.per_second is None:
            return
        self._bucket.take(now, per_second=self._own_per_second)
        self.turns.take(now)
        self._count_by_kind[kind] += 1
        LIMITED_LEAF_CALLS.labels(kind).inc()

    def on_cold(self, seconds: float, now: float) -> None:
        """Applies the time for which an entry states that the leaf stays cold.

        Args:
            seconds: Time from now on, in seconds; 0 if the leaf is not cold.
            now: Current clock, in seconds.
        """
        if seconds > 0.0 and now >= self.cold_until and self.cold_per_second is not None:
            _LOGGER.info(
                "leaf is cold",
                leaf=self._leaf,
                service=self._service,
                seconds=seconds,
                per_second=self.cold_per_second,
                hosts=self.hosts,
            )
        self.cold_until = now + seconds

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
        return max(self.per_second, _MIN_PER_SECOND) / self._sharing_hosts

    def is_cold(self, now: float) -> bool:
        """Returns whether the limit of a cold leaf is in force.

        Args:
            now: Current clock, in seconds.
        """
        return now < self.cold_until and self.cold_per_second is not None

    @property
    def _sharing_hosts(self) -> int:
        return _UNKNOWN_FLEET_HOSTS if self.hosts is None else self.hosts

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
