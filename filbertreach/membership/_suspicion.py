"""When a silent host counts as gone."""

import math
from collections.abc import Collection, Mapping
from typing import NamedTuple

from filbertreach.membership._ring import MonitoringRings
from filbertreach.membership._table import HostTable, Version, version_of

LEAST_TIMEOUT_SECONDS = 0.5
"""Time for a refutation when all expected observers agree."""
LARGEST_TIMEOUT_SECONDS = 5.0
"""Time for a refutation when one observer alone suspects a host."""
_EXPECTED_CONFIRMATIONS = 3
"""Confirmations by further observers after which the least timeout applies."""
_LARGEST_HEALTH_FACTOR = 8.0


class LocalHealth:
    """How far this process can be trusted to notice that others are alive.

    Lifeguard's local health awareness: a process that was paused itself is slower to suspect others
    (Dadgar et al., "Lifeguard: local health awareness for more accurate failure detection", DSN-W
    2018).
    """

    def __init__(self) -> None:
        """Starts healthy."""
        self._penalty_until = -math.inf

    def record_pause(self, *, seconds: float, now: float) -> None:
        """Records that this process did not run.

        Args:
            seconds: Length of the pause.
            now: Time in seconds.
        """
        penalty = min(_LARGEST_HEALTH_FACTOR, 2.0 + seconds)
        self._penalty_until = max(self._penalty_until, now + penalty)

    def timeout_factor(self, now: float) -> float:
        """Returns the factor for the timeouts of this process, 1 if it is healthy.

        Args:
            now: Time in seconds.
        """
        return min(_LARGEST_HEALTH_FACTOR, 1.0 + max(0.0, self._penalty_until - now))

    def may_suspect(self, now: float) -> bool:
        """Returns whether a silence that this process sees counts.

        Args:
            now: Time in seconds.
        """
        return now >= self._penalty_until


class _Suspicion(NamedTuple):
    incarnation: int
    """Incarnation that is suspected."""
    since: float
    """Time since which no healthy observer has spoken for the host."""


class FailureDetector:
    """Decides which hosts are gone, from what all observers say.

    A host is suspected by the observers that do not hear it, and each says so in its own state (in
    place of SWIM's indirect probes; Das et al., "SWIM", DSN 2002). It is gone when no observer that
    is itself beyond suspicion still hears it, and this lasts for a timeout that shrinks with the
    number of observers that agree, as in Lifeguard. Two hosts that can't see each other are
    therefore not gone for the others, nor for each other, while a third observer hears both.
    """

    def __init__(self) -> None:
        """Starts without suspicions."""
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
            timeout_factor: Of `LocalHealth`.
            unregistered: Hosts whose lease on the platform has expired, by a recent reading; the
                least timeout applies to them.

        Returns:
            Names of hosts that stopped or that are confirmed silent.
        """
        suspects = suspecting_observers(table)
        found = set()
        for host, state in table.state_by_host.items():
            if state["state"] == "gone":
                found.add(host)
                continue
            version = version_of(state)
            if not self._is_unheard(host, suspects, rings):
                self._suspicion_by_host.pop(host, None)
                continue
            since = self._since(host, version, now)
            observers = rings.neighbours(host).observers
            timeout = _timeout(len(suspects[host]), len(observers))
            if host in unregistered:
                timeout = LEAST_TIMEOUT_SECONDS
            if now - since >= timeout * timeout_factor:
                found.add(host)
        return found

    def _is_unheard(
        self, host: str, suspects: Mapping[str, Collection[str]], rings: MonitoringRings
    ) -> bool:
        if host not in suspects:
            return False
        hearing = rings.neighbours(host).observers - set(suspects[host])
        return all(observer in suspects for observer in hearing)

    def _since(self, host: str, version: Version, now: float) -> float:
        known = self._suspicion_by_host.get(host)
        if known is None or known.incarnation != version.incarnation:
            known = self._suspicion_by_host[host] = _Suspicion(version.incarnation, now)
        return known.since


def suspecting_observers(table: HostTable) -> dict[str, set[str]]:
    """Returns the observers that suspect a host, by host.

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


def _timeout(suspecting: int, observers: int) -> float:
    expected = max(1, min(_EXPECTED_CONFIRMATIONS, observers - 1))
    share = math.log(suspecting) / math.log(expected + 1) if suspecting > 1 else 0.0
    span = LARGEST_TIMEOUT_SECONDS - LEAST_TIMEOUT_SECONDS
    return max(LEAST_TIMEOUT_SECONDS, LARGEST_TIMEOUT_SECONDS - span * share)
