"""Use of the quarantine of requests in the gateway."""

import random

from filbertreach.document import ClientAccount, Route
from filbertreach.gateway._leaf_handle import LeafHandle
from filbertreach.gateway._neighbours import Neighbours
from filbertreach.observability import get_logger
from filbertreach.platform import CallerAnswer, CallerRequest, HostSettings, refuse
from filbertreach.quarantine import FleetQuarantine, RequestContent, RequestGuard
from filbertreach.timing import Clock

_LOGGER = get_logger(__name__)

_MIN_RETRY_SECONDS = 0.05
"""Shortest time after which a caller should repeat a refused request."""
_RETRY_SPREAD_FACTOR = 1.25
"""Largest factor applied to that time at random, so that callers do not return together."""


class QuarantineGate:
    """Admits requests by their content; passes all if the quarantine is not enabled."""

    def __init__(
        self, *, enabled: bool, settings: HostSettings, neighbours: Neighbours | None, clock: Clock
    ) -> None:
        """Creates a gate.

        Args:
            enabled: Whether requests that crash leaves are stopped and refused.
            settings: Name and data centre of this host.
            neighbours: Other hosts; None if the settings have no neighbour address.
            clock: Source of time.
        """
        self.quarantine: FleetQuarantine | None = None
        """The quarantine; None if it is not enabled."""
        if enabled:
            self.quarantine = FleetQuarantine(
                host=settings.host,
                data_centre=settings.data_centre,
                hosts=neighbours,
                clock=clock,
            )

    def admit(
        self, request: CallerRequest, route: Route, account: ClientAccount | None, version: int
    ) -> RequestGuard | CallerAnswer | None:
        """Decides about a request before anything is sent for it.

        Args:
            request: The request.
            route: Its route.
            account: Its client account; None if it has none.
            version: Version of the routes, for the log.

        Returns:
            The guard of the request, to be released at its end; the refusal; or None without a
            quarantine.
        """
        if self.quarantine is None:
            return None
        content = RequestContent(
            method=request.method,
            target=request.target,
            body=request.body,
            account=None if account is None else account.name,
        )
        guard = self.quarantine.admit(content, route=route.name, shards=len(route.shards))
        if guard.verdict.kind != "refuse":
            return guard
        _LOGGER.info(
            "refused",
            request=request.id,
            status=503,
            reason="quarantined",
            fingerprint=guard.fingerprint.hex(),
            route=route.name,
            version=version,
        )
        seconds = max(_MIN_RETRY_SECONDS, guard.verdict.retry_after_seconds)
        return refuse(
            503,
            "leaves end while they run this request",
            retry_after_seconds=seconds * random.uniform(1.0, _RETRY_SPREAD_FACTOR),
        )

    def release(self, guard: RequestGuard | None) -> None:
        """Ends the guard of a request that has been answered.

        Args:
            guard: The guard; None for none.
        """
        if self.quarantine is not None and guard is not None:
            self.quarantine.release(guard)

    def on_idle_closed(self, handle: LeafHandle) -> None:
        """Records that a leaf has closed a connection without a request.

        Args:
            handle: The leaf.
        """
        if self.quarantine is not None:
            self.quarantine.on_idle_closed(handle.entry.process, handle.leaf.address)

    def remove_expired(self) -> None:
        """Removes entries whose time is over; to be called about every second."""
        if self.quarantine is not None:
            self.quarantine.remove_expired()
