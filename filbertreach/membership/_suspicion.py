"""Failure detection: decides when a silent host counts as gone."""

import math
from collections.abc import Collection, Mapping
from typing import NamedTuple

from filbertreach.membership._ring import MonitoringRings
from filbertreach.membership._table import HostTable, Version, version_of

MIN_TIMEOUT_SECONDS = 0.5
"""Time allowed for a refutation when all expected observers suspect the host."""
MAX_TIMEOUT_SECONDS = 5.0
"""Time allowed for a refutation when a single observer suspects the host."""
_EXPECTED_CONFIRMATIONS = 3
"""Number of confirming observers at which the minimum timeout applies."""
_MAX_TIMEOUT_FACTOR = 8.0


class LocalHealth:
    """Local health of this process, which limits its suspicions after a pause.

    This is the local health awareness of Lifeguard: a process that was paused is slower to suspect
    others (Dadgar et al., "Lifeguard: local health awareness for more accurate failure detection",
    DSN-W 2018).
    """

    def __init__(self) -> None:
        """Creates the state of a healthy process."""
        self._penalty_until = -math.inf

    def record_pause(self, *, seconds: float, now: float) -> None:
        """Records a pause of this process.

        Args:
            seconds: Length of the pause.
            now: Time in seconds.
        """
        penalty = min(_MAX_TIMEOUT_FACTOR, 2.0 + seconds)
        self._penalty_until = max(self._penalty_until, now + penalty)

    def timeout_factor(self, now: float) -> float:
        """Returns the factor on the suspicion timeouts of this process, 1 if it is healthy.

        Args:
            now: Time in seconds.
        """
        return min(_MAX_TIMEOUT_FACTOR, 1.0 + max(0.0, self._penalty_until - now))

    def may_suspect(self, now: float) -> bool:
        """Returns whether this process may suspect a host that is silent.

        Args:
            now: Time in seconds.
        """
        return now >= self._penalty_until


class _Suspicion(NamedTuple):
    incarnation: int
    """Suspected incarnation of the host."""
    since: float
    """Time from which all unsuspected observers suspect the host."""


class FailureDetector:
    """Decides which hosts are gone, from the suspicions of all observers.

    An observer that does not hear a host lists it as a suspect in its own host state, which takes
    the place of SWIM's indirect probes (Das et al., "SWIM", DSN 2002). A host is gone when all of
    its observers that are not suspected themselves have suspected it for a timeout, which shrinks
    with the number of suspecting observers, as in Lifeguard. Two hosts that cannot reach each other
    are therefore not gone, neither for other hosts nor for each other, while a third observer hears
    both.
    """

    def __init__(self) -> None:
        """Creates a detector without suspicions."""
        self._suspicion_by_host: dict[str, _Suspicion] = {}

    def gone_hosts(
        self,
        *,
        table: HostTable,
        rings: MonitoringRings,
        now: float,
        timeout_factor: float,
        unregistered: Collection[str],
    ) -> set[str]:
        """Returns the hosts that are gone.

        Args:
            table: Host states with their suspicions.
            rings: Rings of the hosts in the table.
            now: Time in seconds.
            timeout_factor: Factor on timeouts; see `LocalHealth.timeout_factor`.
            unregistered: Hosts whose lease on the platform has expired, by a recent reading; the
                minimum timeout applies to them.

        Returns:
            Names of the hosts that have stopped or whose failure is confirmed.
        """
        suspects = suspecting_observers(table)
        found = set()
        for host, state in table.state_by_host.items():
            if state["state"] == "gone":
                found.add(host)
                continue
            version = version_of(state)
            if not self._is_suspected_by_all(host, suspects, rings):
                self._suspicion_by_host.pop(host, None)
                continue
            since = self._suspected_since(host, version, now)
            observers = rings.neighbours(host).observers
            timeout = _refutation_timeout(len(suspects[host]), len(observers))
            if host in unregistered:
                timeout = MIN_TIMEOUT_SECONDS
            if now - since >= timeout * timeout_factor:
                found.add(host)
        return found

    def _is_suspected_by_all(
        self, host: str, suspects: Mapping[str, Collection[str]], rings: MonitoringRings
    ) -> bool:
        """Returns whether all observers that are not suspected themselves suspect the host."""
        if host not in suspects:
            return False
        hearing = rings.neighbours(host).observers - set(suspects[host])
        return all(observer in suspects for observer in hearing)

    def _suspected_since(self, host: str, version: Version, now: float) -> float:
        known = self._suspicion_by_host.get(host)
        if known is None or known.incarnation != version.incarnation:
            known = self._suspicion_by_host[host] = _Suspicion(version.incarnation, now)
        return known.since


def suspecting_observers(table: HostTable) -> dict[str, set[str]]:
    """Returns the suspecting observers by suspected host.

    Args:
        table: Host states.
    """
    found: dict[str, set[str]] = {}
    for observer, state in table.state_by_host.items():
        if state["state"] == "gone":
            continue
        for host in state["suspects"]:
            found.setdefault(host, set()).add(observer)
    return found


def _refutation_timeout(suspecting: int, observers: int) -> float:
    expected = max(1, min(_EXPECTED_CONFIRMATIONS, observers - 1))
    share = math.log(suspecting) / math.log(expected + 1) if suspecting > 1 else 0.0
    span = MAX_TIMEOUT_SECONDS - MIN_TIMEOUT_SECONDS
    return max(MIN_TIMEOUT_SECONDS, MAX_TIMEOUT_SECONDS - span * share)
