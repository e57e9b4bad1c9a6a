"""Routes: which services answer the requests of a host name and path."""

from typing import NamedTuple


class ServiceLimits(NamedTuple):
    """Limits that the leaves of a service share."""

    service: str
    """Service name."""
    connections: int
    """Connections that a leaf accepts from all hosts together."""


class Route(NamedTuple):
    """Requests that are handled alike."""

    name: str
    """Route name."""
    host: str
    """Host name, in lower case."""
    prefix: str
    """Beginning of the path, with a slash at both ends."""
    idempotent: bool
    """Whether a request may run more than once."""
    timeout_seconds: float
    """Longest time that a caller is kept waiting."""
    objective_seconds: float
    """Time within which an answer is worth most."""
    max_attempts: int
    """Most leaves of one service that a request is sent to."""
    priority: int
    """0 is the most urgent."""
    weight_by_service: dict[str, float]
    """Services that share the requests, with their weights; empty for a scatter route."""
    shards: tuple[str, ...]
    """Services that all get the request; empty if one service answers."""
    top: int
    """Records in the answer of a scatter route."""
    least_coverage: float
    """Smallest share of the shards that makes an answer, 0 to 1."""


class CallerLimits(NamedTuple):
    """What callers may send."""

    max_header_bytes: int
    """Size of a request's headers."""
    max_body_bytes: int
    """Size of a request's body."""
    header_timeout_seconds: float
    """Time to send the headers."""
    idle_timeout_seconds: float
    """Time that a connection may stay idle."""


class RouteTable(NamedTuple):
    """One version of the operators' routes."""

    version: int
    """Grows with each change."""
    routes_by_host: dict[str, tuple[Route, ...]]
    """Routes of each host name, longest prefix first."""
    limits_by_service: dict[str, ServiceLimits]
    """Limits of each service."""
    limits: CallerLimits
    """What callers may send."""

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix.

        Args:
            host: Value of the Host header, without a port.
            path: Path of the request, as sent.
        """
        for route in self.routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None
