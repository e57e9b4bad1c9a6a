"""The registered hosts and what they have confirmed and in force."""

from collections.abc import Callable
from typing import NamedTuple

import anyio

from filbertreach.ctl._errors import UnavailableError
from filbertreach.ctl._records import Accepted
from filbertreach.ctl._store import Store
from filbertreach.records import HOSTS_PREFIX, HostRecord, InForce
from filbertreach.timing import Clock


class Hosts(NamedTuple):
    """All host records, read at one moment."""

    record_by_host: dict[str, HostRecord]
    """Record by host name."""
    without_record: frozenset[str] = frozenset()
    """Hosts that the platform lists as live but that have no record: cut off, or without agent."""

    def names(self) -> list[str]:
        """Returns every host that must confirm, in order."""
        return sorted(self.record_by_host.keys() | self.without_record)

    def not_prepared(self, environment: str, digest: str) -> list[str]:
        """Returns the hosts that have not confirmed a proposal, in order."""
        missing = {
            host
            for host, record in self.record_by_host.items()
            if record.get("prepared", {}).get(environment) != digest
        }
        return sorted(missing | self.without_record)

    def in_force(self, host: str, environment: str) -> InForce | None:
        """Returns what a host has in force, or None if it has not said."""
        return self.record_by_host[host].get("in_force", {}).get(environment)

    def behind(self, environment: str, generation: int) -> list[str]:
        """Returns the hosts that do not have a generation or a later one in force, in order."""
        found = set(self.without_record)
        for host in self.record_by_host:
            in_force = self.in_force(host, environment)
            if in_force is None or in_force["generation"] < generation:
                found.add(host)
        return sorted(found)

    def not_heard(self, accepted: Accepted) -> list[str]:
        """Returns the hosts without a record that had confirmed or are listed as live, in order."""
        expected = self.without_record.union(accepted["hosts"])
        return sorted(expected - self.record_by_host.keys())


class InForceWait(NamedTuple):
    """How a wait for a generation ended."""

    hosts: Hosts | None
    """Last records read; None if the platform did not answer once."""
    behind: list[str]
    """Hosts without the generation; empty if it is in force on every registered host."""


async def read_hosts(store: Store, *, excused: frozenset[str] = frozenset()) -> Hosts:
    """Reads all host records.

    Args:
        store: Access to the key-value service.
        excused: Hosts that need no record, although the platform lists them as live.

    Returns:
        The records.

    Raises:
        UnavailableError: The platform does not answer.
    """
    found = await store.read_all(HOSTS_PREFIX)
    records: dict[str, HostRecord] = {
        key.removeprefix(HOSTS_PREFIX): stored.value  # type: ignore[misc]
        for key, stored in found.items()
    }
    live = await store.live_hosts()
    return Hosts(records, live - records.keys() - excused)


async def wait_in_force(
    store: Store,
    *,
    record: Accepted,
    seconds: float,
    poll_seconds: float,
    clock: Clock,
    report: Callable[[str], None],
    excused: frozenset[str] = frozenset(),
) -> InForceWait:
    """Waits until every registered host has a generation in force.

    Args:
        store: Access to the key-value service.
        record: The accepted document.
        seconds: Longest wait; 0 looks once.
        poll_seconds: Time between two looks.
        clock: Source of elapsed time.
        report: Receives lines of progress.
        excused: Hosts that need no record.

    Returns:
        The last state seen.
    """
    give_up = clock.now() + seconds
    hosts: Hosts | None = None
    behind: list[str] = []
    shown = ""
    while True:
        try:
            hosts = await read_hosts(store, excused=excused)
            behind = hosts.behind(record["environment"], record["generation"])
            total = len(hosts.names())
            progress = (
                f"generation {record['generation']} in force on "
                f"{total - len(behind)} of {total} hosts"
            )
        except UnavailableError as error:
            progress = str(error)
        if progress != shown:
            report(progress)
            shown = progress
        if (hosts is not None and not behind) or clock.now() >= give_up:
            return InForceWait(hosts, behind)
        await anyio.sleep(poll_seconds)
