"""What a run has seen, for the checker."""

from typing import NamedTuple


class Seen(NamedTuple):
    """One request of a caller and its end."""

    id: str
    """Request id, new for each request."""
    gateway: str
    """Name of the gateway."""
    incarnation: int
    """Process of the gateway, counted from 1."""
    path: str
    """Path."""
    repeatable: bool
    """Whether its route is idempotent."""
    sent_at: float
    """CLOCK_BOOTTIME when it was sent, in seconds."""
    ended_at: float
    """CLOCK_BOOTTIME when the answer was read or the connection ended, in seconds."""
    status: int
    """Status, 0 without a whole answer."""
    stamps: tuple[str, ...] = ()
    """Signatures of the parts, or the one of the leaf."""
    missing: int = 0
    """Shards that the answer says are left out."""
    body: bytes = b""
    """Body."""
    error: str = ""
    """Why there was no answer."""


class Execution(NamedTuple):
    """A request that a leaf began."""

    leaf: str
    """Id of the leaf."""
    id: str
    """Request id."""
    at: float
    """CLOCK_BOOTTIME, in seconds."""


class Span(NamedTuple):
    """A fault while it lasted, with the time in which its effects may be felt."""

    kind: str
    """Kind of fault."""
    gateway: str
    """Gateway that it struck, empty for all."""
    began: float
    """CLOCK_BOOTTIME, in seconds."""
    ended: float
    """CLOCK_BOOTTIME, in seconds."""


class RouteWritten(NamedTuple):
    """A route that a version of the configuration added; later versions keep it."""

    path: str
    """Path of the route."""
    at: float
    """CLOCK_BOOTTIME when the store had accepted it, in seconds."""


class LeafDrain(NamedTuple):
    """A leaf that was listed as leaving."""

    leaf: str
    """Id of the leaf."""
    began: float
    """CLOCK_BOOTTIME when the store had accepted it, in seconds."""
    ended: float
    """CLOCK_BOOTTIME when it was about to be listed as ready again, in seconds."""


class PlannedStop(NamedTuple):
    """A planned stop of a gateway."""

    gateway: str
    """Name of the gateway."""
    incarnation: int
    """Process that was stopped."""
    requested_at: float
    """CLOCK_BOOTTIME of SIGTERM, in seconds."""
    exit_code: int
    """Exit code of the process."""


class RunRecord:
    """Everything that a run has seen; filled by several threads, read afterwards."""

    def __init__(
        self, *, shards: int, floor: float, top: int, bound_seconds: float, slack: float
    ) -> None:
        """Starts an empty record.

        Args:
            shards: Shards of the scatter routes.
            floor: Least share of shards in an answer.
            top: Records of an answer.
            bound_seconds: Bound of configuration and draining.
            slack: Extra calls that a service may get in a window besides the ratio.
        """
        self.shards = shards
        self.floor = floor
        self.top = top
        self.bound_seconds = bound_seconds
        self.slack = slack
        self.seen: list[Seen] = []
        self.executions: list[Execution] = []
        self.spans: list[Span] = []
        self.routes: list[RouteWritten] = []
        self.drained: list[LeafDrain] = []
        self.stops: list[PlannedStop] = []
        self.own_ends: list[str] = []
        """Gateways that ended by themselves, with the end of their log."""
        self.calm_from = float("inf")
        """CLOCK_BOOTTIME from which on every request must be answered, in seconds."""
        self.shard_by_leaf: dict[str, str] = {}
        self.records_by_leaf: dict[str, bytes] = {}
