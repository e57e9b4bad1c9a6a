"""Division of one process's queries in progress over ranks and clients."""

from filbertreach.entry._admission_policy import AdmissionRequest, RefuseReason
from filbertreach.entry._fair_share import FairShare, Standing

_PRIORITY_STEP = 0.05
"""Share of the process's queries kept free for each more urgent rank."""
_MAX_PRIORITY_STEPS = 4
"""More ranks than this share the last step."""

_RankKey = tuple[str, str]


class _RankUse:
    """Queries of one rank in this process."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.priority = 0
        self.kept_share = 0.0
        self.shares = FairShare()


class ProcessLimit:
    """Bounds the queries in progress in this process.

    Each rank that was seen keeps its share of the limit. What no rank keeps is open to all, but for
    a margin that only more urgent ranks may use, so that the most urgent rank is refused last.
    """

    def __init__(self, *, max_queries: int) -> None:
        """Creates an empty process.

        Args:
            max_queries: Most queries in progress.
        """
        self._max_queries = max_queries
        self._in_flight = 0
        self._use_by_rank: dict[_RankKey, _RankUse] = {}

    def refusal(self, query: AdmissionRequest, now: float) -> RefuseReason | None:
        """Says why the process has no room for a query, or None if it has.

        Args:
            query: Facts of the query.
            now: Time in seconds.

        Returns:
            A reason, or None.
        """
        use = self._use(query)
        room = self._room(use)
        occupancy = use.in_flight / max(use.in_flight + room, 1.0)
        standing = use.shares.arrive(query.client, query.client_share, occupancy, now)
        if standing is Standing.HELD_BACK:
            return "client_share"
        if room >= 1.0:
            return None
        use.shares.full(now)
        return "too_many_queries"

    def enter(self, query: AdmissionRequest, now: float) -> None:
        """Counts a query that starts.

        Args:
            query: Facts of the query.
            now: Time in seconds.
        """
        use = self._use(query)
        use.shares.accept(now)
        use.in_flight += 1
        self._in_flight += 1

    def leave(self, query: AdmissionRequest) -> None:
        """Counts a query that ended.

        Args:
            query: Facts of the query.
        """
        self._use(query).in_flight -= 1
        self._in_flight -= 1

    def _use(self, query: AdmissionRequest) -> _RankUse:
        use = self._use_by_rank.setdefault((query.environment, query.rank), _RankUse())
        use.priority = query.priority
        use.kept_share = query.kept_share
        return use

    def _room(self, use: _RankUse) -> float:
        """Returns how many more queries of the rank the process may start."""
        free = float(self._max_queries - self._in_flight)
        if use.kept_share * self._max_queries - use.in_flight >= 1.0:
            return free
        others = [other for other in self._use_by_rank.values() if other is not use]
        reserved = sum(
            max(0.0, other.kept_share * self._max_queries - other.in_flight) for other in others
        )
        more_urgent = sum(other.priority < use.priority for other in others)
        margin = min(more_urgent, _MAX_PRIORITY_STEPS) * _PRIORITY_STEP * self._max_queries
        return free - max(reserved, margin)
