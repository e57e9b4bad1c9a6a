"""Limit on one process's queries in progress, divided among ranks and clients."""

from filbertreach.decisions import FairShare, ShareDecision
from filbertreach.entry._admission_policy import AdmissionRequest, RefusalReason

_PRIORITY_STEP = 0.05
"""Share of the process's queries that stays free for each more urgent rank."""
_MAX_PRIORITY_STEPS = 4
"""Largest number of more urgent ranks that are counted."""

_RankKey = tuple[str, str]


class _RankUse:
    """Queries of one rank in this process."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.priority = 0
        self.kept_share = 0.0
        self.fair_share = FairShare()


class ProcessLimit:
    """Limits the queries in progress in this process.

    Each rank that has sent a query keeps its share of the limit. The remainder is open to all
    ranks, except for a margin that only more urgent ranks may use, so that the most urgent rank is
    refused last.
    """

    def __init__(self, *, max_queries: int) -> None:
        """Creates a limit without queries in progress.

        Args:
            max_queries: Most queries in progress.
        """
        self._max_queries = max_queries
        self._in_flight = 0
        self._use_by_rank: dict[_RankKey, _RankUse] = {}

    def refusal(self, query: AdmissionRequest, now: float) -> RefusalReason | None:
        """Counts a query and checks whether the process has room for it.

        Args:
            query: The query.
            now: Time in seconds.

        Returns:
            The reason for a refusal, or None if there is room.
        """
        use = self._use(query)
        room = self._room(use)
        occupancy = use.in_flight / max(use.in_flight + room, 1.0)
        decision = use.fair_share.record_arrival(query.client, query.client_share, occupancy, now)
        if decision is ShareDecision.THROTTLED:
            return "client_share"
        if room >= 1.0:
            return None
        use.fair_share.record_full(now)
        return "too_many_queries"

    def enter(self, query: AdmissionRequest, now: float) -> None:
        """Counts a query that starts.

        Args:
            query: The query.
            now: Time in seconds.
        """
        use = self._use(query)
        use.fair_share.record_admission(now)
        use.in_flight += 1
        self._in_flight += 1

    def leave(self, query: AdmissionRequest) -> None:
        """Counts a query that ended.

        Args:
            query: The query.
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
