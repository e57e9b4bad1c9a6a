"""The admission policy in use: delay-regulated windows for each rank and fair shares of clients.

Sources: Breakwater (Cho et al., OSDI 2020) for delay-regulated admission by feedback, DAGOR (Zhou
et al., SoCC 2018) for refusing whole requests at the entrance by rank before any part runs,
core-stateless fair queueing (Stoica et al., SIGCOMM 1998) for the clients of a rank.
"""

from collections import OrderedDict
from typing import NamedTuple

from filbertreach.entry._admission_policy import (
    AdmissionSettings,
    Admit,
    Outcome,
    QueryFacts,
    Refuse,
    admission_policy,
)
from filbertreach.entry._fair_share import FairShare, Standing
from filbertreach.entry._query_window import QueryWindow
from filbertreach.schema import ServiceLoad

_MAX_REPORT_AGE_SECONDS = 2.0
"""A dispatch process that was not heard for this long counts as silent (design 5.6)."""
_CONTROL_SECONDS = 0.1
"""Time between two changes of a window."""
_REFRESH_SECONDS = 0.02
"""Time between two looks at the reports of a lane's services."""
_WANTED_DELAY_SHARE = 0.25
"""Share of a rank's target that its queries may spend in a queue under overload."""
_OVERDRAFT = 2.0
"""Multiple of a window that clients below their share may fill. Windows of a few queries are often
full; without it the other clients lost 80% of their queries to the flood of one."""
_MAX_LANES = 1024
"""Sets of services that are told apart; the one that was idle longest is forgotten first."""
_PRIORITY_STEP = 0.05
"""Share of the process's queries kept free for each more urgent rank."""
_MAX_PRIORITY_STEPS = 4
"""More ranks than this share the last step."""
_LEAST_RETRY_SECONDS = 0.1
_MOST_RETRY_SECONDS = 10.0
_BASE_GROWTH_PER_S = 0.02
"""Growth of the latency that counts as unloaded, for leaves that become slower for good."""

_RankKey = tuple[str, str]


class _Report(NamedTuple):
    """Queue of one service."""

    queue_seconds_by_rank: dict[str, float]
    """Time that a new call of the rank waits."""
    arrived: float
    """When the report arrived, in seconds."""


class _Delay(NamedTuple):
    """Longest queue among the services of a lane."""

    seconds: float
    """Time that a new call waits there."""
    arrived: float
    """When it was reported, in seconds."""


class _LocalDelay:
    """Queueing delay as seen in the latencies of this process's own queries."""

    def __init__(self) -> None:
        self.base: float | None = None
        self._base_at = 0.0
        self._sum = 0.0
        self._count = 0
        self._overloaded = 0
        self._late = 0

    def record(self, latency: float, outcome: Outcome, now: float) -> None:
        if outcome == "overloaded":
            self._overloaded += 1
        elif outcome == "late":
            self._late += 1
        elif outcome == "answered":
            self._sum += latency
            self._count += 1
            if self.base is not None:
                self.base *= 1.0 + _BASE_GROWTH_PER_S * min(now - self._base_at, 1.0)
            self._base_at = now
            self.base = latency if self.base is None else min(self.base, latency)

    def take(self) -> tuple[float | None, float, float]:
        """Returns mean delay, shares of late and of overloaded queries, and starts anew."""
        finished = self._count + self._late + self._overloaded
        delay = None
        if self._count and self.base is not None:
            delay = self._sum / self._count - self.base
        late = self._late / finished if finished else 0.0
        overloaded = self._overloaded / finished if finished else 0.0
        self._sum = 0.0
        self._count = self._late = self._overloaded = 0
        return delay, late, overloaded


class _RankLane:
    """Queries of one rank that need one set of services."""

    def __init__(self) -> None:
        self.window = QueryWindow()
        self.shares = FairShare()
        self.local = _LocalDelay()
        self.delay: _Delay | None = None
        self.refreshed = float("-inf")


class _RankUse:
    """Queries of one rank in this process."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.priority = 0
        self.kept_share = 0.0
        self.shares = FairShare()


@admission_policy("queue_estimate")
class QueueEstimate:
    """Refuses queries that would wait too long in the queues of the services that they need.

    A lane is a rank together with a set of services. Each lane has a window of queries in progress.
    The window is regulated by the longest queue that dispatch processes report for the rank at the
    lane's services, or, without a report of the last 2 s, by the latencies of the lane's own
    queries. While a window is full, its clients get weighted max-min shares of it.
    """

    def __init__(self, settings: AdmissionSettings) -> None:
        """Creates a policy without queries.

        Args:
            settings: Limit of the process.
        """
        self._max_queries = settings.max_queries
        self._in_flight = 0
        self._report_by_service: dict[tuple[str, str], _Report] = {}
        self._lanes: OrderedDict[tuple[str, str, tuple[str, ...]], _RankLane] = OrderedDict()
        self._use_by_rank: dict[_RankKey, _RankUse] = {}

    def decide(self, query: QueryFacts, now: float) -> Admit | Refuse:
        """Admits the query if its deadline, its lane and the process have room for it."""
        lane = self._lane(query)
        use = self._rank_use(query)
        self._control(lane, query, now)
        refusal = self._past_deadline(lane, query, now) or self._lane_refusal(lane, query, now)
        refusal = refusal or self._process_refusal(use, query, now)
        if refusal is not None:
            return refusal
        lane.window.enter()
        lane.shares.accept(now)
        use.shares.accept(now)
        use.in_flight += 1
        self._in_flight += 1
        return Admit(query)

    def on_load(self, load: ServiceLoad, now: float) -> None:
        """Keeps the newest report of a service."""
        queue_seconds = {rank: ms / 1000.0 for rank, ms in load["queue_ms_by_rank"].items()}
        self._report_by_service[load["environment"], load["service"]] = _Report(queue_seconds, now)

    def on_finished(
        self, admitted: Admit, latency_seconds: float, outcome: Outcome, now: float
    ) -> None:
        """Makes room and records what the query shows about the queues."""
        query = admitted.query
        lane = self._lane(query)
        lane.window.leave()
        lane.local.record(latency_seconds, outcome, now)
        self._rank_use(query).in_flight -= 1
        self._in_flight -= 1

    def _lane(self, query: QueryFacts) -> _RankLane:
        key = (query.environment, query.rank, tuple(query.services))
        lane = self._lanes.get(key)
        if lane is None:
            self._forget_lanes()
            lane = self._lanes[key] = _RankLane()
        else:
            self._lanes.move_to_end(key)
        return lane

    def _forget_lanes(self) -> None:
        if len(self._lanes) < _MAX_LANES:
            return
        for key, lane in self._lanes.items():
            if lane.window.in_flight == 0:
                del self._lanes[key]
                return

    def _rank_use(self, query: QueryFacts) -> _RankUse:
        key = (query.environment, query.rank)
        use = self._use_by_rank.get(key)
        if use is None:
            use = self._use_by_rank[key] = _RankUse()
        use.priority = query.priority
        use.kept_share = query.kept_share
        return use

    def _longest(self, query: QueryFacts, now: float) -> _Delay | None:
        longest: _Delay | None = None
        for service in query.services:
            report = self._report_by_service.get((query.environment, service))
            if report is None or now - report.arrived > _MAX_REPORT_AGE_SECONDS:
                continue
            seconds = report.queue_seconds_by_rank.get(query.rank, 0.0)
            if longest is None or seconds > longest.seconds:
                longest = _Delay(seconds, report.arrived)
        return longest

    def _control(self, lane: _RankLane, query: QueryFacts, now: float) -> None:
        if now - lane.refreshed < _REFRESH_SECONDS:
            return
        lane.refreshed = now
        lane.delay = self._longest(query, now)
        if now - lane.window.changed < _CONTROL_SECONDS:
            return
        # A report from before the last change does not show what the change did.
        if lane.delay is not None and lane.delay.arrived <= lane.window.changed:
            return
        wanted = _WANTED_DELAY_SHARE * query.target_seconds
        local_delay, late, overloaded = lane.local.take()
        delay = lane.delay.seconds if lane.delay is not None else local_delay
        if overloaded > 0.1 or (lane.delay is None and late > 0.1):
            delay = max(delay or 0.0, 2.0 * wanted)
        if delay is not None:
            lane.window.change(delay, wanted, now)

    def _past_deadline(self, lane: _RankLane, query: QueryFacts, now: float) -> Refuse | None:
        needed = lane.local.base or 0.0
        if lane.delay is not None:
            # The queue was shortened by at most its age since it was reported.
            needed += max(0.0, lane.delay.seconds - (now - lane.delay.arrived))
        if needed <= query.remaining_seconds:
            return None
        return Refuse("deadline", _retry_after(needed - query.remaining_seconds))

    def _lane_refusal(self, lane: _RankLane, query: QueryFacts, now: float) -> Refuse | None:
        window = lane.window
        shares = lane.shares
        standing = shares.arrive(query.client, query.client_share, window.occupancy, now)
        if standing is Standing.HELD_BACK:
            return Refuse("client_share", _retry_after(shares.retry_after(query.client)))
        if window.has_room(_OVERDRAFT if standing is Standing.BELOW_SHARE else 1.0):
            return None
        shares.full(now)
        delay = lane.delay.seconds if lane.delay is not None else lane.local.base or 0.0
        return Refuse("overloaded", _retry_after(delay))

    def _process_refusal(self, use: _RankUse, query: QueryFacts, now: float) -> Refuse | None:
        room = self._room(use)
        occupancy = use.in_flight / max(use.in_flight + room, 1.0)
        standing = use.shares.arrive(query.client, query.client_share, occupancy, now)
        retry_after = _retry_after(use.shares.retry_after(query.client))
        if standing is Standing.HELD_BACK:
            return Refuse("client_share", retry_after)
        if room >= 1.0:
            return None
        use.shares.full(now)
        return Refuse("too_many_queries", retry_after)

    def _room(self, use: _RankUse) -> float:
        """Returns how many more queries of the rank the process may start."""
        free = self._max_queries - self._in_flight
        own = use.kept_share * self._max_queries - use.in_flight
        if own >= 1.0:
            return float(free)
        others = [other for other in self._use_by_rank.values() if other is not use]
        reserved = sum(
            max(0.0, other.kept_share * self._max_queries - other.in_flight) for other in others
        )
        more_urgent = sum(other.priority < use.priority for other in others)
        steps = min(more_urgent, _MAX_PRIORITY_STEPS)
        return free - max(reserved, steps * _PRIORITY_STEP * self._max_queries)


def _retry_after(seconds: float) -> float:
    return min(max(seconds, _LEAST_RETRY_SECONDS), _MOST_RETRY_SECONDS)
