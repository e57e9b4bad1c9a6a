"""Membership of the fleet as seen by one agent: from peers, host records and the host list."""

import logging
import random
from typing import NamedTuple

from returns.result import Success

from filbertreach.agent._host_list import LatestHostList
from filbertreach.agent._values import parse_host_record
from filbertreach.membership import (
    FailureDetector,
    HostTable,
    LocalHealth,
    MonitoringRings,
    RingNeighbours,
    suspecting_observers,
)
from filbertreach.platform import KeyValueListing
from filbertreach.records import HOSTS_PREFIX, HostRecord
from filbertreach.schema import Member
from filbertreach.transport import Transport

_FORGET_SECONDS = 600.0
"""A host that is gone is removed from the table after it has had no host record for this long."""
_SETTLE_SECONDS = 1.0
"""The rings are rebuilt once the set of known hosts has not changed for this long, so that a
starting agent does not open connections that become unnecessary with the next message."""
_MAX_SETTLE_SECONDS = 3.0
"""The rings are rebuilt after this time even if the set of known hosts keeps changing."""
_MAX_UNKNOWN_CONTACTS = 3
"""Maximum number of registered hosts or seeds of unknown state that an agent contacts at a time."""

_LOGGER = logging.getLogger(__name__)


class RegisteredHosts(NamedTuple):
    """Host records of the key-value service as last listed."""

    record_by_host: dict[str, HostRecord]
    """Records whose lease had not expired."""
    read_at: float
    """Time at which the listing was requested, in seconds; -inf if there was none."""


class _PendingHosts(NamedTuple):
    hosts: frozenset[str]
    """Hosts that the rings do not reflect yet."""
    since: float
    """Time at which the hosts first differed from those of the rings, in seconds."""
    changed_at: float
    """Time of the last change of the hosts, in seconds."""


class Roster:
    """Combines the sources of membership information.

    Gossip decides whether a host is gone, because the platform's sources lag: a host record
    outlives its host by the lease duration, and the host list lags even more. An expired record
    only shortens the time that a suspected host has to refute the suspicion. The host list adds
    which hosts are leaving; learning this early or late is harmless.
    """

    def __init__(
        self, *, host: str, transport: Transport, latest_host_list: LatestHostList, seeds: list[str]
    ) -> None:
        """Creates a roster of this host alone.

        Args:
            host: Name of this host.
            transport: Transport of the agent.
            latest_host_list: Latest known host list.
            seeds: Addresses (ip:port) of agents to contact while no neighbour is reached.
        """
        self.table = HostTable()
        self.health = LocalHealth()
        self.gone: set[str] = set()
        """Hosts that have stopped or are confirmed to have failed."""
        self.registered = RegisteredHosts({}, float("-inf"))
        self._host = host
        self._transport = transport
        self._latest_host_list = latest_host_list
        self._seeds = seeds
        self._detector = FailureDetector()
        self._rings = MonitoringRings([host])
        self._ring_hosts = frozenset([host])
        self._unregistered_since: dict[str, float] = {}
        self._suspects: set[str] = set()
        self._pending: _PendingHosts | None = None

    @property
    def live_hosts(self) -> set[str]:
        """Hosts that are not gone, including this one."""
        return (set(self.table.state_by_host) - self.gone) | {self._host}

    def apply_host_records(self, *, listing: KeyValueListing, read_at: float) -> None:
        """Updates the registered hosts from a listing of the host records.

        Args:
            listing: All keys below `filbertreach/hosts/`.
            read_at: Time at which the listing was requested, in seconds.
        """
        records = {}
        for key, item in listing.items_by_key.items():
            parsed = parse_host_record(key=key, value=item.value)
            if isinstance(parsed, Success):
                records[key.removeprefix(HOSTS_PREFIX)] = parsed.unwrap()
            else:
                _LOGGER.warning("ignored invalid host record: %s", parsed.failure())
        self.registered = RegisteredHosts(records, read_at)
        for host in set(self.table.state_by_host) - {self._host}:
            if host in records:
                self._unregistered_since.pop(host, None)
            else:
                self._unregistered_since.setdefault(host, read_at)
        for host, since in list(self._unregistered_since.items()):
            if host in self.gone and read_at - since > _FORGET_SECONDS:
                self.table.forget(host)
                del self._unregistered_since[host]

    def refresh(self, *, now: float) -> None:
        """Re-evaluates which hosts are gone, and rebuilds the rings if necessary.

        Args:
            now: Time in seconds.
        """
        hosts = frozenset(
            host
            for host, state in self.table.state_by_host.items()
            if state["state"] != "gone" or host == self._host
        ) | {self._host}
        if self._has_settled(hosts, now):
            self._ring_hosts, self._rings = hosts, MonitoringRings(hosts)
        self.gone = self._detector.gone_hosts(
            table=self.table,
            rings=self._rings,
            now=now,
            timeout_factor=self.health.timeout_factor(now),
            unregistered=self._unregistered_since,
        ) - {self._host}

    def _has_settled(self, hosts: frozenset[str], now: float) -> bool:
        """Returns whether the rings should now be rebuilt for a changed set of hosts."""
        if hosts == self._ring_hosts:
            self._pending = None
            return False
        pending = self._pending
        if pending is None:
            pending = _PendingHosts(hosts, now, now)
        elif pending.hosts != hosts:
            pending = _PendingHosts(hosts, pending.since, now)
        self._pending = pending
        settled = now - pending.changed_at >= _SETTLE_SECONDS
        return settled or now - pending.since >= _MAX_SETTLE_SECONDS

    @property
    def neighbours(self) -> RingNeighbours:
        """Neighbours of this host in the rings; silent ones remain until they are removed."""
        return self._rings.neighbours(self._host)

    def addresses_of(self, hosts: frozenset[str]) -> set[str]:
        """Returns the addresses of the agents of some hosts."""
        states = self.table.state_by_host
        return {states[host]["agent_address"] for host in hosts if host in states}

    def unknown_contacts(self) -> set[str]:
        """Returns addresses of agents to contact although their state is unknown."""
        known = {state["agent_address"] for state in self.table.state_by_host.values()}
        listed = {
            record["agent_address"]
            for host, record in self.registered.record_by_host.items()
            if host not in self.table.state_by_host
        }
        reached = self.neighbours.all - self.gone
        candidates = sorted((listed | (set() if reached else set(self._seeds))) - known)
        return set(random.sample(candidates, min(_MAX_UNKNOWN_CONTACTS, len(candidates))))

    def suspects(self, *, now: float) -> list[str]:
        """Returns the observed hosts whose agents are silent.

        Args:
            now: Time in seconds.
        """
        observed = self.neighbours.observed
        if not self.health.may_suspect(now):
            # Earlier suspicions remain, and no new ones are added.
            self._suspects &= observed
        else:
            states = self.table.state_by_host
            self._suspects = {
                host for host in observed if self._is_silent(states[host]["agent_address"])
            }
        self._suspects = {host for host in self._suspects if host in self.table.state_by_host}
        return sorted(self._suspects)

    def _is_silent(self, address: str) -> bool:
        peer = self._transport.peer_by_address.get(address)
        return peer is not None and peer.state.value == "silent"

    def reaches_majority(self) -> bool:
        """Returns whether this host reaches more than half of the registered hosts.

        A neighbour counts as reached by the state of its connection, any other host if none of its
        observers suspects it.
        """
        hosts = (set(self.registered.record_by_host) | self._ring_hosts) | {self._host}
        suspected = set(suspecting_observers(self.table))
        reached = sum(1 for host in hosts if self._reaches(host, suspected))
        return 2 * reached > len(hosts)

    def _reaches(self, host: str, suspected: set[str]) -> bool:
        if host == self._host:
            return True
        state = self.table.state_by_host.get(host)
        if state is None or host in self.gone:
            return False
        if host in self.neighbours.all:
            return self._transport.is_reachable(state["agent_address"])
        return host not in suspected

    def announced_leaving(self) -> set[str]:
        """Returns the leaves that announced their leaving to a process of a live host."""
        states = self.table.state_by_host
        return {
            address
            for host in self.live_hosts
            if host in states
            for address in states[host].get("announced_leaving", [])
        }

    def members(self) -> list[Member]:
        """Returns the processes of all live hosts; those of a leaving host count as leaving."""
        members = []
        for host in self.live_hosts:
            state = self.table.state_by_host.get(host)
            if state is None:
                continue
            leaving = state["state"] == "leaving" or (
                host in self._latest_host_list.latest["leaving_hosts"]
            )
            for member in state["members"]:
                if leaving and member["state"] == "live":
                    member = Member(**{**member, "state": "leaving"})
                members.append(member)
        return members
