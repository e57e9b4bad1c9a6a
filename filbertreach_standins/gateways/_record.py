"""Data recorded during one run of gateways, as input of the checker."""

from typing import NamedTuple


class Request(NamedTuple):
    """One request of a caller, and its outcome."""

    request_id: str
    """Id, unique per request."""
    gateway: str
    """Name of the gateway."""
    incarnation: int
    """Incarnation of the gateway process, counted from 1."""
    path: str
    """Path prefix of the route."""
    idempotent: bool
    """Whether its route is idempotent."""
    sent_at: float
    """CLOCK_BOOTTIME when it was sent, in seconds."""
    ended_at: float
    """CLOCK_BOOTTIME when the response was read or the connection failed, in seconds."""
    status: int
    """HTTP status; 0 if no complete response was received."""
    stamps: tuple[str, ...] = ()
    """Signatures of the parts of a gathered response, or the one of the answering leaf."""
    missing: int = 0
    """Number of shards that the response states as missing."""
    body: bytes = b""
    """Response body."""
    error: str = ""
    """Why there was no response."""
    account: str | None = None
    """Name of the account of its key, empty if it has none; None in a run without accounts."""
    allowed_refusal: int | None = None
    """Status with which it may be refused although nothing is wrong; None for none."""


class Execution(NamedTuple):
    """The start of a request at a leaf."""

    leaf: str
    """Leaf id."""
    id: str
    """Request id."""
    at: float
    """CLOCK_BOOTTIME, in seconds."""
    account: str = ""
    """Name of the account that the request named."""
    has_key: bool = False
    """Whether the request contained a key."""


class Refusal(NamedTuple):
    """A request that a leaf refused with a time."""

    leaf: str
    """Leaf id."""
    id: str
    """Request id."""
    at: float
    """CLOCK_BOOTTIME, in seconds."""
    seconds: float
    """Time that the refusal names, in seconds."""
    account: str = ""
    """Name of the account that the request named."""
    has_key: bool = False
    """Whether the request contained a key."""


class FaultInterval(NamedTuple):
    """The time during which a fault was active."""

    kind: str
    """Kind of fault."""
    gateway: str
    """Name of the affected gateway; empty if all are affected."""
    started_at: float
    """CLOCK_BOOTTIME, in seconds."""
    ended_at: float
    """CLOCK_BOOTTIME, in seconds."""


class AddedRoute(NamedTuple):
    """A route that a version of the configuration added; later versions keep it."""

    path: str
    """Path prefix of the route."""
    added_at: float
    """CLOCK_BOOTTIME when the store had accepted the version, in seconds."""


class LeafDrain(NamedTuple):
    """A period in which the store listed a leaf as draining."""

    leaf: str
    """Leaf id."""
    started_at: float
    """CLOCK_BOOTTIME when the store had accepted the entry, in seconds."""
    ended_at: float
    """CLOCK_BOOTTIME just before the leaf was listed as ready again, in seconds."""


class LeafLimit(NamedTuple):
    """A period in which the answers of a leaf named a request limit."""

    leaf: str
    """Leaf id."""
    per_second: float
    """Requests per second from all gateways together."""
    started_at: float
    """CLOCK_BOOTTIME just before the first answer that named it, in seconds."""
    ended_at: float
    """CLOCK_BOOTTIME just before the last answer that named it, in seconds."""


class Evacuation(NamedTuple):
    """A period in which a data centre was evacuated."""

    data_centre: str
    """Data centre."""
    started_at: float
    """CLOCK_BOOTTIME when the store had accepted the evacuation, in seconds."""
    ended_at: float
    """CLOCK_BOOTTIME just before it was withdrawn, in seconds."""


class ColdPhase(NamedTuple):
    """A period in which the entry of a leaf stated that it is cold."""

    leaf: str
    """Leaf id."""
    per_second: float
    """Requests per second that it takes from all gateways together."""
    started_at: float
    """CLOCK_BOOTTIME when the store had accepted the entry, in seconds."""
    ended_at: float
    """CLOCK_BOOTTIME until which the leaf is cold, in seconds."""


class LeafDeparture(NamedTuple):
    """A period in which the answers of a leaf said that it is leaving."""

    leaf: str
    """Leaf id."""
    started_at: float
    """CLOCK_BOOTTIME just before the first such answer, in seconds."""
    ended_at: float
    """CLOCK_BOOTTIME just before the last such answer, in seconds."""


class PlannedStop(NamedTuple):
    """A graceful shutdown of one gateway process."""

    gateway: str
    """Name of the gateway."""
    incarnation: int
    """Incarnation of the process that was stopped."""
    requested_at: float
    """CLOCK_BOOTTIME of SIGTERM, in seconds."""
    exit_code: int
    """Exit code."""


class RunRecord:
    """Everything recorded during a run; written by several threads and read afterwards."""

    def __init__(
        self, *, shards: int, floor: float, top_k: int, bound_seconds: float, slack: float
    ) -> None:
        """Creates an empty record.

        Args:
            shards: Number of shards of the scatter routes.
            floor: Smallest share of shards that a successful response may cover.
            top_k: Number of records in a response.
            bound_seconds: Time within which configuration and draining must take effect.
            slack: Retries and hedges that a service may get per window in addition to the ratio.
        """
        self.shards = shards
        self.floor = floor
        self.top_k = top_k
        self.bound_seconds = bound_seconds
        self.slack = slack
        self.requests: list[Request] = []
        self.executions: list[Execution] = []
        self.fault_intervals: list[FaultInterval] = []
        self.routes: list[AddedRoute] = []
        self.leaf_drains: list[LeafDrain] = []
        self.leaf_limits: list[LeafLimit] = []
        self.refusals: list[Refusal] = []
        self.evacuations: list[Evacuation] = []
        self.cold_phases: list[ColdPhase] = []
        self.departures: list[LeafDeparture] = []
        self.stops: list[PlannedStop] = []
        self.unexpected_exits: list[str] = []
        """Gateways that exited without a signal, with the end of their logs."""
        self.recovered_by = float("inf")
        """CLOCK_BOOTTIME from which on requests must succeed again, in seconds."""
        self.shard_by_leaf: dict[str, str] = {}
        self.records_by_leaf: dict[str, bytes] = {}
        self.data_centre_by_leaf: dict[str, str] = {}
        self.allowed_by_account: dict[str, float] = {}
        """Requests of each account with a quota that may run in a window."""
        self.logs_with_keys: list[str] = []
        """Gateways whose logs contain a key."""
