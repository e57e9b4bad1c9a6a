"""The leaves of one service: their links, their leaving state and replica selection."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

import anyio.abc

from filbertreach.decisions import LeafTracker, make_replica_policy
from filbertreach.dispatch._leaf_link import LeafLink, Serve
from filbertreach.dispatch._pending import PendingCall
from filbertreach.document import Service
from filbertreach.timing import Clock

_ASSUMED_LATENCY_SECONDS = 0.02
"""Assumed latency of a leaf without samples. With a throughput of 0, infinite queueing times would
be reported, and entry processes would refuse queries."""


class LeavingLeaves(NamedTuple):
    """Leaves that must get no new calls, by source."""

    host_list: frozenset[str] = frozenset()
    """ip:port or ip of leaving backend servers, from the platform's host list."""
    document: frozenset[str] = frozenset()
    """Ids of leaves that a planned change in force drains."""
    announced: frozenset[str] = frozenset()
    """ip:port of leaves that reported to another owner of the service that they are leaving."""


class LeafSet:
    """Links to the leaves of a service."""

    def __init__(
        self,
        *,
        replica_policy: str,
        health_seconds: float,
        serve: Serve,
        on_idle: Callable[[], None],
        is_owner: Callable[[], bool],
        clock: Clock,
    ) -> None:
        """Creates a set without links.

        Args:
            replica_policy: Name of the replica selection policy.
            health_seconds: Interval of health checks.
            serve: Serves an attempt on a connection; returns whether the connection stays usable.
            on_idle: Called when a connection becomes idle, and after each health check.
            is_owner: Returns whether this process owns the service now.
            clock: Source of time.
        """
        self.link_by_id: dict[str, LeafLink] = {}
        """Links by leaf id."""
        self._replica_policy = make_replica_policy(name=replica_policy)
        self._health_seconds = health_seconds
        self._serve = serve
        self._on_idle = on_idle
        self._is_owner = is_owner
        self._clock = clock
        self._leaving = LeavingLeaves()

    def update_links(self, service: Service, group: anyio.abc.TaskGroup) -> None:
        """Opens links to new leaves and closes those to changed or removed leaves.

        Args:
            service: Current definition of the service.
            group: Task group that runs the links.
        """
        for leaf_id, link in list(self.link_by_id.items()):
            new = service.leaf_by_id.get(leaf_id)
            if new != link.leaf or service.pool != link.tracker.pool:
                link.close()
                del self.link_by_id[leaf_id]
        for leaf in service.leaf_by_id.values():
            if leaf.id in self.link_by_id:
                continue
            link = LeafLink(
                tracker=LeafTracker(leaf=leaf, pool=service.pool),
                serve=self._serve,
                on_idle=self._on_idle,
                is_owner=self._is_owner,
                health_seconds=self._health_seconds,
                clock=self._clock,
            )
            self.link_by_id[leaf.id] = link
            # Before its first call: the leaf may have been reported as leaving while another
            # process owned the service.
            self._apply_leaving(link)
            group.start_soon(link.run_until_closed, name=f"leaf {leaf.id}")

    # Leaving.

    def set_leaving(self, leaving: LeavingLeaves) -> None:
        """Replaces the set of leaving leaves.

        Args:
            leaving: Leaving leaves according to the view and the document.
        """
        self._leaving = leaving
        for link in self.link_by_id.values():
            self._apply_leaving(link)

    def _apply_leaving(self, link: LeafLink) -> None:
        now = self._clock.now()
        address = link.leaf.address
        known = self._leaving
        listed = address in known.host_list or address.rsplit(":", 1)[0] in known.host_list
        link.record_leaving("host_list", now, leaving=listed)
        link.record_leaving("document", now, leaving=link.leaf.id in known.document)
        if address in known.announced:
            link.record_leaving("announced", now, leaving=True)

    def announced_leaving(self) -> set[str]:
        """Returns the addresses of the leaves that reported that they are leaving."""
        return {
            link.leaf.address for link in self.link_by_id.values() if link.has_announced_leaving
        }

    # Replica selection.

    def has_capacity(self, now: float, *, waiting: int) -> bool:
        """Returns whether any leaf can take a call.

        Args:
            now: Current clock time, in seconds.
            waiting: Number of waiting calls.
        """
        return self._choose(self.link_by_id.values(), now, waiting) is not None

    def choose_for(self, pending: PendingCall, now: float, *, waiting: int) -> LeafLink | None:
        """Chooses the leaf for an attempt.

        Args:
            pending: The call.
            now: Current clock time, in seconds.
            waiting: Number of waiting calls.

        Returns:
            Link of a leaf that the call was not sent to yet, None if no such leaf can take it.
        """
        version = pending.call["version"]
        links = [
            link
            for leaf_id, link in self.link_by_id.items()
            if leaf_id not in pending.tried_leaf_ids and link.may_have_version(version, now)
        ]
        if not pending.call["idempotent"]:
            # A call to a suspect leaf is a probe that may be lost, and this call can't be retried.
            links = [link for link in links if link.tracker.state != "suspect"] or links
        return self._choose(links, now, waiting)

    def _choose(self, links: Iterable[LeafLink], now: float, waiting: int) -> LeafLink | None:
        trackers = [link.tracker for link in links if link.has_connection]
        tracker = self._replica_policy.choose(trackers, now, waiting=waiting)
        return None if tracker is None else self.link_by_id[tracker.leaf.id]

    def may_have_version(self, pending: PendingCall, now: float) -> bool:
        """Returns whether an untried leaf may have the index version of a call.

        Args:
            pending: The call.
            now: Current clock time, in seconds.
        """
        version = pending.call["version"]
        return any(
            leaf_id not in pending.tried_leaf_ids and link.may_have_version(version, now)
            for leaf_id, link in self.link_by_id.items()
        )

    # Capacity.

    def concurrency_limit(self) -> int:
        """Returns the sum of the leaves' concurrency limits."""
        return sum(link.tracker.limit.limit for link in self.link_by_id.values())

    def throughput(self) -> float:
        """Returns the calls per second that the usable leaves complete at their limits."""
        total = 0.0
        for link in self.link_by_id.values():
            tracker = link.tracker
            if tracker.state in ("ready", "starting"):
                latency = tracker.mean_latency or _ASSUMED_LATENCY_SECONDS
                total += tracker.limit.limit / latency
        return total

    def versions(self, now: float) -> set[int]:
        """Returns the index versions in the leaves' current lists.

        Args:
            now: Current clock time, in seconds.
        """
        found: set[int] = set()
        for link in self.link_by_id.values():
            found |= link.known_versions(now) or frozenset()
        return found
