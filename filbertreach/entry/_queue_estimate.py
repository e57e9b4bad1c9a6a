"""The admission policy in use: delay-regulated windows for each rank and fair shares of clients.

Sources: Breakwater (Cho et al., OSDI 2020) for delay-regulated admission by feedback, DAGOR (Zhou
et al., SoCC 2018) for refusing whole requests at the entrance by rank before any part runs,
core-stateless fair queueing (Stoica et al., SIGCOMM 1998) for the clients of a rank.
"""

from collections import OrderedDict

from filbertreach.entry._admission_policy import (
    AdmissionRequest,
    AdmissionSettings,
    Admit,
    Outcome,
    Refuse,
    admission_policy,
)
from filbertreach.entry._fair_share import FairShare, Standing
from filbertreach.entry._local_delay import LocalDelay, LocalEvidence
from filbertreach.entry._process_limit import ProcessLimit
from filbertreach.entry._query_window import QueryWindow
from filbertreach.schema import ServiceLoad

_MAX_REPORT_AGE_SECONDS = 2.0
"""A dispatch process that was not heard for this long counts as silent (design 5.6)."""
_CONTROL_SECONDS = 0.1
"""Time between two changes of a window."""
_REFRESH_SECONDS = 0.02
"""Time between two looks at the reports of a query's services."""
_WANTED_DELAY_SHARE = 0.3
"""Share of a rank's target that its queries may spend in a queue under overload. At 0.35 the p99 in
a flood was up to 1.1 of the target; at 0.25 more queries were refused below capacity."""
_OVERLOADED_SHARE = 0.1
"""Share of refused or late queries above which the queues count as too long."""
_OVERDRAFT = 2.0
"""Multiple of a window that clients below their share may fill. Windows of a few queries are often
full; without it the other clients lost 80% of their queries to the flood of one."""
_CONGESTED_OCCUPANCY = 0.5
"""Clients are compared only by queries whose windows are fuller than this, so that a client's work
at idle services does not count against it."""
_MAX_LANES = 1024
"""Sets of services whose windows are looked up at once; a set that is not found is set up again."""
_LEAST_RETRY_SECONDS = 0.1
_MOST_RETRY_SECONDS = 10.0


class _Service:
    """Newest report of one service's queue."""

    __slots__ = ("arrived", "queue_seconds_by_rank")

    def __init__(self) -> None:
        self.arrived = float("-inf")
        self.queue_seconds_by_rank: dict[str, float] = {}


class _Member:
    """Queries of one rank at one service."""

    __slots__ = ("rank", "service", "window")

    def __init__(self, service: _Service, rank: str) -> None:
        self.service = service
        self.rank = rank
        self.window = QueryWindow()

    def reported_delay(self, now: float) -> float | None:
        if now - self.service.arrived > _MAX_REPORT_AGE_SECONDS:
            return None
        return self.service.queue_seconds_by_rank.get(self.rank, 0.0)

    def expected_wait(self, now: float) -> float:
        """Returns the least wait that the last report leaves possible."""
        # The queue got shorter by at most the age of the report.
        return max(0.0, (self.reported_delay(now) or 0.0) - (now - self.service.arrived))

    def control(self, local_delay: float | None, wanted: float, now: float) -> None:
        if now - self.window.changed < _CONTROL_SECONDS:
            return
        delay = self.reported_delay(now)
        if delay is None:
            delay = local_delay
        elif self.service.arrived <= self.window.changed:
            # A report from before the last change does not show what the change did.
            return
        if delay is not None:
            self.window.change(delay, wanted, now)


class _Lane:
    """Queries of one rank that need the same services."""

    def __init__(self, members: list[_Member], shares: FairShare) -> None:
        self.members = members
        self.shares = shares
        self.local = LocalDelay()
        self.windows = [member.window for member in members]
        self.fullest = self.windows[0] if members else QueryWindow()
        self.expected_wait = 0.0
        self.refreshed = float("-inf")
        self.controlled = float("-inf")

    def find_fullest(self) -> QueryWindow:
        """Returns a window that is full, or else the fullest one."""
        # A window that was full is looked at first: in a flood, refusing must cost little.
        highest = self.fullest.occupancy_after
        if highest <= 1.0:
            for window in self.windows:
                occupancy = (window.in_flight + 1) / window.limit
                if occupancy > highest:
                    highest, self.fullest = occupancy, window
        return self.fullest


@admission_policy("queue_estimate")
class QueueEstimate:
    """Refuses queries that would wait too long in the queues of the services that they need.

    Each rank has at each service a window of queries in progress. It is regulated by the queueing
    delay that the service's dispatch process reports for the rank or, without a report of the last
    2 s, by the ends of this process's own queries. A query starts if it fits into the windows of
    all services that it needs. While windows are full, clients get weighted max-min shares.
    """

    def __init__(self, settings: AdmissionSettings) -> None:
        """Creates a policy without queries.

        Args:
            settings: Limit of the process.
        """
        self._process = ProcessLimit(max_queries=settings.max_queries)
        self._services: dict[tuple[str, str], _Service] = {}
        self._members: dict[tuple[str, str, str], _Member] = {}
        self._shares_by_rank: dict[tuple[str, str], FairShare] = {}
        self._lanes: OrderedDict[tuple[str, str, tuple[str, ...]], _Lane] = OrderedDict()

    def decide(self, query: AdmissionRequest, now: float) -> Admit | Refuse:
        """Admits the query if its deadline, its services and the process have room for it."""
        lane = self._lane(query)
        self._refresh(lane, query, now)
        refusal = self._past_deadline(lane, query) or self._window_refusal(lane, query, now)
        if refusal is not None:
            return refusal
        reason = self._process.refusal(query, now)
        if reason is not None:
            return Refuse(reason, _LEAST_RETRY_SECONDS)
        for window in lane.windows:
            window.enter()
        lane.shares.accept(now)
        self._process.enter(query, now)
        return Admit(query)

    def on_load(self, load: ServiceLoad, now: float) -> None:
        """Keeps the newest report of a service."""
        service = self._service(load["environment"], load["service"])
        service.arrived = now
        service.queue_seconds_by_rank = {
            rank: milliseconds / 1000.0 for rank, milliseconds in load["queue_ms_by_rank"].items()
        }

    def on_finished(
        self,
        admitted: Admit,
        latency_seconds: float,
        outcome: Outcome,
        now: float,
        queue_seconds: float | None = None,
    ) -> None:
        """Makes room and records what the query shows about the queues."""
        query = admitted.query
        lane = self._lane(query)
        for window in lane.windows:
            window.leave()
        # A caller's deadline below the target says nothing about the queues.
        if outcome != "late" or latency_seconds >= query.target_seconds:
            lane.local.record(latency_seconds, queue_seconds, outcome, now)
        self._process.leave(query)

    def _service(self, environment: str, name: str) -> _Service:
        service = self._services.get((environment, name))
        if service is None:
            service = self._services[environment, name] = _Service()
        return service

    def _lane(self, query: AdmissionRequest) -> _Lane:
        key = (query.environment, query.rank, tuple(query.services))
        lane = self._lanes.get(key)
        if lane is not None:
            self._lanes.move_to_end(key)
            return lane
        members = [self._member(query, name) for name in query.services]
        shares = self._shares_by_rank.setdefault((query.environment, query.rank), FairShare())
        lane = self._lanes[key] = _Lane(members, shares)
        if len(self._lanes) > _MAX_LANES:
            self._lanes.popitem(last=False)
        return lane

    def _member(self, query: AdmissionRequest, name: str) -> _Member:
        key = (query.environment, name, query.rank)
        member = self._members.get(key)
        if member is None:
            service = self._service(query.environment, name)
            member = self._members[key] = _Member(service, query.rank)
        return member

    def _refresh(self, lane: _Lane, query: AdmissionRequest, now: float) -> None:
        if now - lane.refreshed < _REFRESH_SECONDS:
            return
        lane.refreshed = now
        lane.expected_wait = max(
            (member.expected_wait(now) for member in lane.members), default=0.0
        )
        if now - lane.controlled < _CONTROL_SECONDS:
            return
        lane.controlled = now
        wanted = _WANTED_DELAY_SHARE * query.target_seconds
        local_delay = _local_delay(lane.local.take(), wanted)
        for member in lane.members:
            member.control(local_delay, wanted, now)

    def _past_deadline(self, lane: _Lane, query: AdmissionRequest) -> Refuse | None:
        needed = lane.local.base + lane.expected_wait
        if needed <= query.remaining_seconds:
            return None
        return Refuse("deadline", _retry_after(needed - query.remaining_seconds))

    def _window_refusal(self, lane: _Lane, query: AdmissionRequest, now: float) -> Refuse | None:
        fullest = lane.find_fullest()
        if fullest.occupancy_after <= _CONGESTED_OCCUPANCY:
            return None
        shares, occupancy = lane.shares, fullest.in_flight / fullest.limit
        standing = shares.arrive(query.client, query.client_share, occupancy, now)
        if standing is Standing.HELD_BACK:
            return Refuse("client_share", _retry_after(shares.retry_after(query.client)))
        if fullest.occupancy_after <= (_OVERDRAFT if standing is Standing.BELOW_SHARE else 1.0):
            return None
        shares.full(now)
        retry_after = max(lane.expected_wait, shares.retry_after(query.client))
        return Refuse("overloaded", _retry_after(retry_after))


def _local_delay(evidence: LocalEvidence, wanted: float) -> float | None:
    if max(evidence.late_share, evidence.overloaded_share) > _OVERLOADED_SHARE:
        return max(evidence.delay or 0.0, 2.0 * wanted)
    return evidence.delay


def _retry_after(seconds: float) -> float:
    return min(max(seconds, _LEAST_RETRY_SECONDS), _MOST_RETRY_SECONDS)
