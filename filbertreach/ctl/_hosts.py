"""Records of the registered hosts: the proposals they confirmed and the generations in force."""

from collections.abc import Callable
from typing import NamedTuple

import anyio

from filbertreach.ctl._errors import UnavailableError
from filbertreach.ctl._records import Accepted
from filbertreach.ctl._store import Store
from filbertreach.records import HOSTS_PREFIX, HostRecord, InForce
from filbertreach.timing import Clock


class Hosts(NamedTuple):
    """All host records, as of one read."""

    record_by_host: dict[str, HostRecord]
    """Record by host name."""
    live_without_record: frozenset[str] = frozenset()
    """Hosts that the platform lists as live but that have no record: partitioned, or without an
    agent."""

    def names(self) -> list[str]:
        """Returns every host that must confirm, sorted."""
        return sorted(self.record_by_host.keys() | self.live_without_record)

    def not_prepared(self, environment: str, digest: str) -> list[str]:
        """Returns the hosts that have not confirmed a proposal, sorted."""
        missing = {
            host
            for host, record in self.record_by_host.items()
            if record.get("prepared", {}).get(environment) != digest
        }
        return sorted(missing | self.live_without_record)

    def in_force(self, host: str, environment: str) -> InForce | None:
        """Returns the generation a host has in force, or None if it has reported none."""
        return self.record_by_host[host].get("in_force", {}).get(environment)

    def behind(self, environment: str, generation: int) -> list[str]:
        """Returns the hosts on which neither a generation nor a later one is in force, sorted."""
        found = set(self.live_without_record)
        for host in self.record_by_host:
            in_force = self.in_force(host, environment)
            if in_force is None or in_force["generation"] < generation:
                found.add(host)
        return sorted(found)

    def missing_records(self, accepted: Accepted) -> list[str]:
        """Returns the hosts without a record that had confirmed or are listed as live, sorted."""
        expected = self.live_without_record.union(accepted["hosts"])
        return sorted(expected - self.record_by_host.keys())


class InForceResult(NamedTuple):
    """Result of waiting for a generation to be in force."""

    hosts: Hosts | None
    """Last records read; None if the platform never answered."""
    behind: list[str]
    """Hosts on which the generation is not in force."""


async def read_hosts(store: Store, *, excluded_hosts: frozenset[str] = frozenset()) -> Hosts:
    """Reads all host records.

    Args:
        store: Access to the key-value service.
        excluded_hosts: Hosts that need no record, although the platform lists them as live.

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
    return Hosts(records, live - records.keys() - excluded_hosts)


async def wait_in_force(
    store: Store,
    *,
    record: Accepted,
    seconds: float,
    poll_seconds: float,
    clock: Clock,
    report_progress: Callable[[str], None],
    excluded_hosts: frozenset[str] = frozenset(),
) -> InForceResult:
    """Waits until every registered host has a generation in force.

    Args:
        store: Access to the key-value service.
        record: The accepted document.
        seconds: Longest wait; 0 reads the records once.
        poll_seconds: Interval between reads.
        clock: Source of elapsed time.
        report_progress: Called with each line of progress.
        excluded_hosts: Hosts that need no record.

    Returns:
        The state of the last read.
    """
    deadline = clock.now() + seconds
    hosts: Hosts | None = None
    behind: list[str] = []
    last_progress = ""
    while True:
        try:
            hosts = await read_hosts(store, excluded_hosts=excluded_hosts)
            behind = hosts.behind(record["environment"], record["generation"])
            total = len(hosts.names())
            progress = (
                f"generation {record['generation']} in force on "
                f"{total - len(behind)} of {total} hosts"
            )
        except UnavailableError as error:
            progress = str(error)
        if progress != last_progress:
            report_progress(progress)
            last_progress = progress
        if (hosts is not None and not behind) or clock.now() >= deadline:
            return InForceResult(hosts, behind)
        await anyio.sleep(poll_seconds)
