"""Merging of what the hosts of a data centre observe, at the host that they report to."""

import collections
import math
import random
from collections.abc import Callable, Mapping
from typing import NamedTuple

from filbertreach.leaf_observations._observer import Observation, ObservationKind
from filbertreach.leaf_observations._states import (
    MAX_FACTOR,
    MIN_FACTOR,
    STATE_SECONDS,
    LeafState,
)

_MIN_CALLS_OF_ONE_HOST = 3
"""Calls within `STATE_SECONDS` by which one host alone shows an exception."""
_MIN_HOSTS = 2
"""Hosts that together show an exception, and that together show its end. More are needed while
single hosts observe exceptions at many leaves."""
_CHANCE_DEVIATIONS = 5.0
"""Standard deviations above the number of hosts expected by chance from which on an exception is
none. In a model of 127 hosts, 25 queries a second and 180 healthy leaves with exponential times,
two hosts listed 12 leaves a second by chance, and with this rule 0.3 are listed."""
_ONE_HOST_FRACTION = 0.1
"""Largest fraction of the leaves that count as exceptions by the report of one host each."""
_MAX_LISTED_FRACTION = 1.0 / 3.0
"""Fraction of the leaves beyond which none is listed: all are busy, or the network fails. In a
model of a sudden overload, all leaves were listed, and a single one got all calls of its service
for a second."""
_MIN_LISTED = 2
"""Leaves that may always be listed, as a host that has just started knows few."""
_DISTRUST_SECONDS = 30.0
"""Time for which a host is not believed alone after another host had a good answer in the middle of
its observations of an exception."""
_MIN_CONFIRMATION_SECONDS = 0.5
"""A state is sent again once its newest observation is this much newer than the one sent. Shorter
intervals would send a message to all hosts for each observation."""
_MAX_LEAVES = 2000
"""Leaves with observations; those of further leaves are ignored."""
_MAX_HOST_REPORTS = 10_000
"""Reports of hosts about leaves; further ones are ignored. Under an overload each host observes
most leaves, and the reports of 57 hosts about 1,000 leaves took 23 MB and 0.11 s at each update."""
_MAX_OBSERVATIONS_OF_REPORT = 16
"""Newest observations of a report that are kept; a host reports at most 8 times in 2 s."""
_MAX_REVISION = 2**48
"""Revisions begin at a random number, so that a host that has followed another board, or this one
before a restart, does not take its revision for this one's."""


class _HostReport(NamedTuple):
    """What one host says of one leaf."""

    kind: ObservationKind
    """The exception, or that the leaf is healthy."""
    factor: float
    """Slowness in its last observation."""
    calls_by_time: tuple[tuple[float, int], ...]
    """Clock and number of calls of the observations of this kind that count, oldest first."""

    @property
    def first_at(self) -> float:
        """Clock of the oldest observation, in seconds."""
        return self.calls_by_time[0][0]

    @property
    def at(self) -> float:
        """Clock of the newest observation, in seconds."""
        return self.calls_by_time[-1][0]

    @property
    def calls(self) -> int:
        """Number of calls observed."""
        return sum(calls for _, calls in self.calls_by_time)


class StateChange(NamedTuple):
    """A change of the merged state of a leaf."""

    leaf_id: str
    """Id of the leaf."""
    old: LeafState | None
    """State before, None for a healthy leaf."""
    new: LeafState | None
    """State after, None for a healthy leaf."""


class ObservationBoard:
    """Merges the observations of the hosts of a data centre; without I/O.

    A leaf is listed once two hosts observe an exception within 2 s, or one host in three calls;
    more than two are needed while single hosts observe exceptions at many leaves. The report of one
    host counts only until another host has had a good answer, and only for some leaves.
    """

    def __init__(
        self,
        *,
        leaf_count: Callable[[], int],
        draw: Callable[[], float] = random.random,
    ) -> None:
        """Creates a board without observations.

        Args:
            leaf_count: Returns the number of leaves in use.
            draw: Returns random numbers, at least 0 and below 1.
        """
        self.revision = 1 + int(draw() * _MAX_REVISION)
        """Number of the states as they were published last; never 0."""
        self.state_by_leaf: dict[str, LeafState] = {}
        """States as they were published last, by leaf id."""
        self.is_general = False
        """Whether none is listed because so many leaves are observed that overload is likely."""
        self._leaf_count = leaf_count
        self._reports_by_leaf: dict[str, dict[str, _HostReport]] = {}
        """Reports of the hosts, by leaf id and host."""
        self._report_count = 0
        self._distrusted_until_by_host: dict[str, float] = {}
        self._one_host_since_by_leaf: dict[str, float] = {}
        """Clock since which a leaf is listed by the report of one host."""

    @property
    def is_empty(self) -> bool:
        """Whether no observation counts."""
        return not self._reports_by_leaf and not self.state_by_leaf

    def record(self, host: str, observation_by_leaf: Mapping[str, Observation], now: float) -> None:
        """Records a report; `update` applies it.

        Args:
            host: Host that observed.
            observation_by_leaf: Its observations, by leaf id.
            now: Current clock, in seconds.
        """
        for leaf_id, observation in observation_by_leaf.items():
            at = min(observation.at, now)
            if now - at >= STATE_SECONDS:
                continue
            reports = self._reports_by_leaf.get(leaf_id, {})
            known = reports.get(host)
            if known is None:
                if self._report_count >= _MAX_HOST_REPORTS:
                    continue
                if not reports and len(self._reports_by_leaf) >= _MAX_LEAVES:
                    continue
                self._reports_by_leaf[leaf_id] = reports
                self._report_count += 1
            entry = (at, max(1, observation.calls))
            if known is not None and known.kind == observation.kind and known.at <= at:
                recent = [(t, n) for t, n in known.calls_by_time if now - t < STATE_SECONDS]
                recent = recent[1 - _MAX_OBSERVATIONS_OF_REPORT :]
                reports[host] = _HostReport(observation.kind, observation.factor, (*recent, entry))
            elif known is None or known.at <= at:
                reports[host] = _HostReport(observation.kind, observation.factor, (entry,))

    def update(self, now: float) -> list[StateChange]:
        """Merges the observations, and publishes states that have changed.

        Args:
            now: Current clock, in seconds.

        Returns:
            The leaves that were listed, have changed their kind, or are no longer listed.
        """
        self._remove_expired(now)
        merged = self._merge(now)
        old = self.state_by_leaf
        changes = [
            StateChange(leaf_id, old.get(leaf_id), merged.get(leaf_id))
            for leaf_id in old.keys() | merged.keys()
            if _kind(old.get(leaf_id)) != _kind(merged.get(leaf_id))
        ]
        # Hosts that follow the board know by themselves when a state ends without a confirmation.
        is_news = any(
            c.new is not None or (c.old is not None and now < c.old.ends_at) for c in changes
        )
        is_confirmed = any(
            leaf_id in old
            and state.confirmed_at - old[leaf_id].confirmed_at >= _MIN_CONFIRMATION_SECONDS
            for leaf_id, state in merged.items()
        )
        if is_news or is_confirmed:
            self.revision += 1
            self.state_by_leaf = merged
        elif changes:
            self.state_by_leaf = {k: s for k, s in old.items() if k in merged}
        return changes

    def _remove_expired(self, now: float) -> None:
        for leaf_id, reports in list(self._reports_by_leaf.items()):
            for host, report in list(reports.items()):
                if now - report.at >= STATE_SECONDS:
                    del reports[host]
                    self._report_count -= 1
                elif now - report.first_at >= STATE_SECONDS:
                    recent = tuple(
                        (t, n) for t, n in report.calls_by_time if now - t < STATE_SECONDS
                    )
                    reports[host] = report._replace(calls_by_time=recent)
            if not reports:
                del self._reports_by_leaf[leaf_id]
        for host, until in list(self._distrusted_until_by_host.items()):
            if now >= until:
                del self._distrusted_until_by_host[host]

    def _merge(self, now: float) -> dict[str, LeafState]:
        merged: dict[str, LeafState] = {}
        of_one_host: dict[str, LeafState] = {}
        min_hosts = self._min_hosts()
        for leaf_id, reports in self._reports_by_leaf.items():
            exceptions = {host: r for host, r in reports.items() if r.kind != "healthy"}
            healthy = [r for r in reports.values() if r.kind == "healthy"]
            if len(exceptions) >= min_hosts:
                newest_at = max(report.at for report in exceptions.values())
                if sum(report.at > newest_at for report in healthy) < _MIN_HOSTS:
                    merged[leaf_id] = _merge_reports(list(exceptions.values()))
            elif exceptions:
                believed = [
                    report
                    for host, report in exceptions.items()
                    if self._is_believed_alone(
                        host, report, healthy, now, is_only=len(exceptions) == 1
                    )
                ]
                if believed:
                    of_one_host[leaf_id] = _merge_reports(believed)
        merged.update(self._limit_reports_of_one_host(of_one_host, now))
        most = max(_MIN_LISTED, int(_MAX_LISTED_FRACTION * self._leaf_count()))
        self.is_general = len(merged) > most
        return {} if self.is_general else merged

    def _min_hosts(self) -> int:
        """Returns how many hosts show an exception together.

        A few calls to healthy leaves are slow by chance, and more of them in a data centre with
        many calls. The number of hosts that observe a leaf by chance has a Poisson distribution,
        whose mean is the ratio of leaves observed by one host to those observed by none. Leaves
        observed by more hosts, which may be at fault, don't affect it. With a few hosts that is no
        good approximation, so half of those that observe an exception are always enough.
        """
        observed_count = 0
        observing_hosts: set[str] = set()
        count_by_host: collections.Counter[str] = collections.Counter()
        for reports in self._reports_by_leaf.values():
            hosts = [host for host, report in reports.items() if report.kind != "healthy"]
            observed_count += bool(hosts)
            observing_hosts.update(hosts)
            if len(hosts) == 1:
                count_by_host[hosts[0]] += 1
        # One faulty host must not raise the number.
        single_count = count_by_host.total() - max(count_by_host.values(), default=0)
        leaf_count = max(self._leaf_count(), len(self._reports_by_leaf))
        by_chance = single_count / max(1, leaf_count - observed_count)
        min_hosts = int(_MIN_HOSTS + by_chance + _CHANCE_DEVIATIONS * math.sqrt(by_chance))
        return min(min_hosts, max(_MIN_HOSTS, len(observing_hosts) // 2))

    def _is_believed_alone(
        self,
        host: str,
        report: _HostReport,
        healthy: list[_HostReport],
        now: float,
        *,
        is_only: bool,
    ) -> bool:
        contradictions = [other.at for other in healthy if other.at > report.first_at]
        if is_only and any(at < report.at for at in contradictions):
            # Only this host observes the exception: it or its link is at fault.
            self._distrusted_until_by_host[host] = now + _DISTRUST_SECONDS
        return (
            not contradictions
            and report.calls >= _MIN_CALLS_OF_ONE_HOST
            and host not in self._distrusted_until_by_host
        )

    def _limit_reports_of_one_host(
        self, states: dict[str, LeafState], now: float
    ) -> dict[str, LeafState]:
        """Returns as many of these states as may count, those that were listed first."""
        since_by_leaf = {
            leaf_id: self._one_host_since_by_leaf.get(leaf_id, now) for leaf_id in states
        }
        most = max(1, int(_ONE_HOST_FRACTION * self._leaf_count()))
        listed = sorted(states, key=lambda leaf_id: (since_by_leaf[leaf_id], leaf_id))[:most]
        self._one_host_since_by_leaf = {leaf_id: since_by_leaf[leaf_id] for leaf_id in listed}
        return {leaf_id: states[leaf_id] for leaf_id in listed}


def _merge_reports(reports: list[_HostReport]) -> LeafState:
    """Returns the state that reports of exceptions show together."""
    confirmed_at = max(report.at for report in reports)
    slow = sorted(report.factor for report in reports if report.kind == "slow")
    failing_count = len(reports) - len(slow)
    if not slow or failing_count >= _MIN_HOSTS:
        return LeafState("failing", 1.0, confirmed_at, len(reports))
    factor = slow[(len(slow) - 1) // 2]
    factor = min(max(factor, MIN_FACTOR), MAX_FACTOR)
    return LeafState("slow", factor, confirmed_at, len(reports))


def _kind(state: LeafState | None) -> str | None:
    return None if state is None else state.kind
