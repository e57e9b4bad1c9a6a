"""Routes: which services answer the requests for a host name and path."""

from typing import NamedTuple

from filbertreach.document._accounts import AccountTable, ClientAccount


class ServiceLimits(NamedTuple):
    """Limits that apply to each leaf of a service."""

    service: str
    """Service name."""
    connections: int
    """Connections that a leaf accepts from all hosts in total."""
    cold_requests_per_second: float | None = None
    """Requests per second that a leaf takes from all hosts in total soon after its start; None if
    there is no such limit."""


class Route(NamedTuple):
    """How the requests for a host name and path prefix are handled."""

    name: str
    """Route name."""
    host: str
    """Host name, in lower case."""
    prefix: str
    """Path prefix, with a slash at both ends."""
    idempotent: bool
    """Whether a request may run more than once."""
    timeout_seconds: float
    """Longest time that a caller waits for the answer."""
    objective_seconds: float
    """Latency objective: time within which an answer has its full value."""
    max_attempts: int
    """Largest number of leaves of one service to which a request is sent."""
    priority: int
    """0 is the most urgent."""
    weight_by_service: dict[str, float]
    """Services that divide the requests, with their weights; empty for a scatter route."""
    shards: tuple[str, ...]
    """Services that each receive the request on a scatter route; empty for other routes."""
    top: int
    """Most records in the answer of a scatter route."""
    least_coverage: float
    """Smallest share of the shards that an answer must include, 0 to 1."""
    public: bool = False
    """Whether requests need no API key."""
    home_regions: frozenset[str] | None = None
    """Regions whose leaves may run the requests; None for all."""

    def for_account(self, account: ClientAccount) -> "Route":
        """Returns the route as it applies to a client account.

        The rank of the account replaces that of the route. If both name home regions, a region has
        to be among those of both.

        Args:
            account: The account.
        """
        priority = self.priority if account.priority is None else account.priority
        regions = self.home_regions
        if account.home_regions is not None:
            regions = account.home_regions if regions is None else regions & account.home_regions
        return self._replace(priority=priority, home_regions=regions)


class CallerLimits(NamedTuple):
    """Limits on the requests and connections of callers."""

    max_header_bytes: int
    """Largest size of a request's headers."""
    max_body_bytes: int
    """Largest size of a request's body."""
    header_timeout_seconds: float
    """Time within which the headers must arrive."""
    idle_timeout_seconds: float
    """Time after which an idle connection is closed."""


class RouteTable(NamedTuple):
    """One version of the routes that operators configure."""

    version: int
    """Version number; increases with each change."""
    routes_by_host: dict[str, tuple[Route, ...]]
    """Routes of each host name, longest prefix first."""
    limits_by_service: dict[str, ServiceLimits]
    """Limits by service name."""
    limits: CallerLimits
    """Limits for callers."""
    accounts: AccountTable | None = None
    """Client accounts; None if requests need no API key."""

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix.

        Args:
            host: Value of the Host header, without a port.
            path: Path of the request, as received.

        Returns:
            The route, or None if no prefix matches.
        """
        for route in self.routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None
