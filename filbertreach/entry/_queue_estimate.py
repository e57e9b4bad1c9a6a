"""The admission policy `queue_estimate`: delay-controlled windows per rank, fair shares of clients.

Sources: Breakwater (Cho et al., OSDI 2020) for admission controlled by measured delay, DAGOR (Zhou
et al., SoCC 2018) for refusing whole requests by rank at the entrance before any part runs, and
core-stateless fair queueing (Stoica et al., SIGCOMM 1998) for the clients of a rank.
"""

from collections import OrderedDict

from filbertreach.decisions import FairShare, ShareDecision
from filbertreach.entry._admission_policy import (
    AdmissionRequest,
    AdmissionSettings,
    Admit,
    Outcome,
    Refuse,
    register_admission_policy,
)
from filbertreach.entry._local_delay import LocalDelayEstimator, LocalDelaySample
from filbertreach.entry._process_limit import ProcessLimit
from filbertreach.entry._query_window import QueryWindow
from filbertreach.schema import ServiceLoad

_MAX_REPORT_AGE_SECONDS = 2.0
"""Age above which a service's load report is ignored; a dispatch process that was silent for this
long counts as failed (design 5.6)."""
_WINDOW_UPDATE_INTERVAL_SECONDS = 0.1
"""Time between two updates of a window."""
_REFRESH_INTERVAL_SECONDS = 0.02
"""Time between two evaluations of the load reports for a query class."""
_TARGET_DELAY_SHARE = 0.3
"""Share of a rank's latency target that its queries may queue under overload. At 0.35 the p99 under
overload was up to 1.1 times the target; at 0.25 more queries were refused below capacity."""
_OVERLOADED_SHARE = 0.1
"""Share of refused or late queries above which the delay counts as twice the target delay."""
_BELOW_SHARE_WINDOW_FACTOR = 2.0
"""Multiple of a window that clients below their share may fill. Windows of a few queries are often
full; without this allowance, one overloading client cost the other clients 80% of their queries."""
_CONGESTED_OCCUPANCY = 0.5
"""Window occupancy above which a query counts against its client's share, so that a client's work
at idle services does not."""
_MAX_QUERY_CLASSES = 1024
"""Query classes that are kept; the least recently used one is removed and rebuilt when needed."""
_MIN_RETRY_SECONDS = 0.1
_MAX_RETRY_SECONDS = 10.0


class _ServiceReport:
    """The latest load report of one service."""

    __slots__ = ("queue_seconds_by_rank", "received_at")

    def __init__(self) -> None:
        self.received_at = float("-inf")
        self.queue_seconds_by_rank: dict[str, float] = {}


class _ServiceRank:
    """Queries of one rank at one service."""

    __slots__ = ("rank", "report", "window")

    def __init__(self, report: _ServiceReport, rank: str) -> None:
        self.report = report
        self.rank = rank
        self.window = QueryWindow()

    def reported_delay(self, now: float) -> float | None:
        if now - self.report.received_at > _MAX_REPORT_AGE_SECONDS:
            return None
        return self.report.queue_seconds_by_rank.get(self.rank, 0.0)

    def expected_wait(self, now: float) -> float:
        """Returns a lower bound of the wait, in seconds, according to the latest report."""
        # The delay has decreased by at most the age of the report.
        return max(0.0, (self.reported_delay(now) or 0.0) - (now - self.report.received_at))

    def update_window(self, local_delay: float | None, target_delay: float, now: float) -> None:
        if now - self.window.updated_at < _WINDOW_UPDATE_INTERVAL_SECONDS:
            return
        delay = self.reported_delay(now)
        if delay is None:
            delay = local_delay
        elif self.report.received_at <= self.window.updated_at:
            # A report from before the last update does not show the effect of that update.
            return
        if delay is not None:
            self.window.update(delay, target_delay, now)


class _QueryClass:
    """Queries of one rank that need the same services."""

    def __init__(self, service_ranks: list[_ServiceRank], fair_share: FairShare) -> None:
        self.service_ranks = service_ranks
        self.fair_share = fair_share
        self.local_delay = LocalDelayEstimator()
        self.windows = [service_rank.window for service_rank in service_ranks]
        self.fullest = self.windows[0] if service_ranks else QueryWindow()
        self.expected_wait = 0.0
        self.refreshed_at = float("-inf")
        self.windows_updated_at = float("-inf")

    def find_fullest(self) -> QueryWindow:
        """Returns a window that is full, or else the fullest one."""
        # The previous result is checked first, so that refusals under overload are cheap.
        highest = self.fullest.occupancy_after
        if highest <= 1.0:
            for window in self.windows:
                occupancy = (window.in_flight + 1) / window.limit
                if occupancy > highest:
                    highest, self.fullest = occupancy, window
        return self.fullest


@register_admission_policy("queue_estimate")
class QueueEstimate:
    """Refuses queries that would wait too long in the queues of the services that they need.

    Each rank has a window of queries in progress at each service. The window is controlled by the
    queueing delay that the service's dispatch process reports for the rank or, without a report in
    the last 2 s, by the outcomes of this process's own queries. A query starts if it fits into the
    windows of all services that it needs. While windows are full, clients get weighted max-min
    shares.
    """

    def __init__(self, settings: AdmissionSettings) -> None:
        """Creates a policy without queries.

        Args:
            settings: Gives the process limit.
        """
        self._process = ProcessLimit(max_queries=settings.max_queries)
        self._report_by_service: dict[tuple[str, str], _ServiceReport] = {}
        self._service_ranks: dict[tuple[str, str, str], _ServiceRank] = {}
        self._fair_share_by_rank: dict[tuple[str, str], FairShare] = {}
        self._query_classes: OrderedDict[tuple[str, str, tuple[str, ...]], _QueryClass] = (
            OrderedDict()
        )

    def decide(self, query: AdmissionRequest, now: float) -> Admit | Refuse:
        """Admits the query if its deadline, its services and the process have room for it."""
        query_class = self._query_class(query)
        self._refresh(query_class, query, now)
        refusal = self._deadline_refusal(query_class, query) or self._window_refusal(
            query_class, query, now
        )
        if refusal is not None:
            return refusal
        reason = self._process.refusal(query, now)
        if reason is not None:
            return Refuse(reason, _MIN_RETRY_SECONDS)
        for window in query_class.windows:
            window.enter()
        query_class.fair_share.record_admission(now)
        self._process.enter(query, now)
        return Admit(query)

    def on_load(self, load: ServiceLoad, now: float) -> None:
        """Stores the latest report of a service."""
        report = self._report(load["environment"], load["service"])
        report.received_at = now
        report.queue_seconds_by_rank = {
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
        """Frees the query's places in the windows and records its delay."""
        query = admitted.query
        query_class = self._query_class(query)
        for window in query_class.windows:
            window.leave()
        # A query that misses a deadline shorter than the target gives no information on the queues.
        if outcome != "late" or latency_seconds >= query.target_seconds:
            query_class.local_delay.record(latency_seconds, queue_seconds, outcome, now)
        self._process.leave(query)

    def _report(self, environment: str, service: str) -> _ServiceReport:
        report = self._report_by_service.get((environment, service))
        if report is None:
            report = self._report_by_service[environment, service] = _ServiceReport()
        return report

    def _query_class(self, query: AdmissionRequest) -> _QueryClass:
        key = (query.environment, query.rank, tuple(query.services))
        query_class = self._query_classes.get(key)
        if query_class is not None:
            self._query_classes.move_to_end(key)
            return query_class
        service_ranks = [self._service_rank(query, service) for service in query.services]
        fair_share = self._fair_share_by_rank.setdefault(
            (query.environment, query.rank), FairShare()
        )
        query_class = self._query_classes[key] = _QueryClass(service_ranks, fair_share)
        if len(self._query_classes) > _MAX_QUERY_CLASSES:
            self._query_classes.popitem(last=False)
        return query_class

    def _service_rank(self, query: AdmissionRequest, service: str) -> _ServiceRank:
        key = (query.environment, service, query.rank)
        service_rank = self._service_ranks.get(key)
        if service_rank is None:
            report = self._report(query.environment, service)
            service_rank = self._service_ranks[key] = _ServiceRank(report, query.rank)
        return service_rank

    def _refresh(self, query_class: _QueryClass, query: AdmissionRequest, now: float) -> None:
        if now - query_class.refreshed_at < _REFRESH_INTERVAL_SECONDS:
            return
        query_class.refreshed_at = now
        query_class.expected_wait = max(
            (service_rank.expected_wait(now) for service_rank in query_class.service_ranks),
            default=0.0,
        )
        if now - query_class.windows_updated_at < _WINDOW_UPDATE_INTERVAL_SECONDS:
            return
        query_class.windows_updated_at = now
        target_delay = _TARGET_DELAY_SHARE * query.target_seconds
        local_delay = _local_delay(query_class.local_delay.take_sample(), target_delay)
        for service_rank in query_class.service_ranks:
            service_rank.update_window(local_delay, target_delay, now)

    def _deadline_refusal(self, query_class: _QueryClass, query: AdmissionRequest) -> Refuse | None:
        needed = query_class.local_delay.unloaded_latency + query_class.expected_wait
        if needed <= query.remaining_seconds:
            return None
        return Refuse("deadline", _retry_after(needed - query.remaining_seconds))

    def _window_refusal(
        self, query_class: _QueryClass, query: AdmissionRequest, now: float
    ) -> Refuse | None:
        fullest = query_class.find_fullest()
        if fullest.occupancy_after <= _CONGESTED_OCCUPANCY:
            return None
        fair_share, occupancy = query_class.fair_share, fullest.in_flight / fullest.limit
        decision = fair_share.record_arrival(query.client, query.client_share, occupancy, now)
        if decision is ShareDecision.THROTTLED:
            return Refuse("client_share", _retry_after(fair_share.retry_after(query.client)))
        if fullest.occupancy_after <= (
            _BELOW_SHARE_WINDOW_FACTOR if decision is ShareDecision.BELOW_SHARE else 1.0
        ):
            return None
        fair_share.record_full(now)
        retry_after = max(query_class.expected_wait, fair_share.retry_after(query.client))
        return Refuse("overloaded", _retry_after(retry_after))


def _local_delay(sample: LocalDelaySample, target_delay: float) -> float | None:
    if max(sample.late_share, sample.overloaded_share) > _OVERLOADED_SHARE:
        return max(sample.delay or 0.0, 2.0 * target_delay)
    return sample.delay


def _retry_after(seconds: float) -> float:
    return min(max(seconds, _MIN_RETRY_SECONDS), _MAX_RETRY_SECONDS)
