"""Token bucket of one client account at one quota host."""

from filbertreach.document import Quota

_ROUNDING_TOLERANCE = 1e-9


class QuotaBucket:
    """Requests that a quota host may still grant; rate and size follow its share of the quota."""

    __slots__ = ("_refilled_at", "_share", "deferred", "level")

    def __init__(self, *, level: float, deferred: float, share: float, now: float) -> None:
        """Creates a bucket.

        Args:
            level: Requests that may be granted at once.
            deferred: Requests that may be added once.
            share: Fraction of the quota that this host grants.
            now: Current clock, in seconds.
        """
        self.level = level
        """Requests that may be granted at once."""
        self.deferred = deferred
        """Requests that may be added once the hosts that held this part before have granted
        nothing for a window."""
        self._share = share
        self._refilled_at = now

    def refill(self, now: float, *, quota: Quota, share: float, extra: float) -> None:
        """Adds what has become available, and discards what no longer fits.

        The smaller of the old and the new share counts for the time between: a share that has
        expired in it was not this host's until now.

        Args:
            now: Current clock, in seconds.
            quota: Quota of the account over all hosts.
            share: Fraction of the quota that this host grants from now on.
            extra: Requests that are saved beyond this host's share of the burst.
        """
        elapsed, self._refilled_at = now - self._refilled_at, now
        added = elapsed * quota.per_second * min(share, self._share)
        self._share = share
        self.level = min(share * quota.burst + extra, self.level + added)

    def take(self, count: int) -> int:
        """Takes requests.

        Args:
            count: Number of requests that are wanted.

        Returns:
            Number of requests that are granted.
        """
        granted = max(0, min(count, int(self.level + _ROUNDING_TOLERANCE)))
        self.level -= granted
        return granted
