"""Data recorded by callers, leaves and operators during one fault run."""

import threading
from typing import Any, NamedTuple


class Request(NamedTuple):
    """One submission of a request by a caller, and its outcome."""

    request_id: str
    """Id chosen by the caller; retries of the request reuse it."""
    tag: str
    """Unique per submission; leaves report it with each execution."""
    entry: str
    """Name of the entry process that it was sent to."""
    idempotent: bool
    """False if it must run at most once; its write id is then `request_id`."""
    shards: tuple[str, ...]
    """Requested shards."""
    rows: int
    """Number of rows that each shard returns."""
    sent_at: float
    """CLOCK_BOOTTIME before it was sent, in seconds."""
    ended_at: float
    """CLOCK_BOOTTIME after the response or the error, in seconds."""
    status: int
    """HTTP status; 0 if no complete response was received."""
    body: dict[str, Any]
    """Decoded response body; empty without a response."""
    error: str = ""
    """Why there was no response; `refused` if no connection could be opened."""

    @property
    def problem(self) -> str:
        """Type of the problem document without its prefix, or an empty string."""
        return str(self.body.get("type", "")).rsplit("/", 1)[-1]


class Execution(NamedTuple):
    """The start of an execution at a leaf."""

    leaf: str
    """Leaf id."""
    shard: str
    """Shard that was searched."""
    version: int
    """Index version that was searched."""
    write: str | None
    """Id of the write, None for a search."""
    tag: str | None
    """Tag of the submission."""
    started_at: float
    """CLOCK_BOOTTIME, in seconds."""


class LeafDrain(NamedTuple):
    """A period in which a leaf was reported as leaving."""

    leaf: str
    """Leaf id."""
    source: str
    """First source that reported it."""
    reported_at: float
    """CLOCK_BOOTTIME of that first report, in seconds."""
    ended_at: float
    """CLOCK_BOOTTIME when the leaf was no longer leaving, in seconds."""


class PlannedStop(NamedTuple):
    """A graceful shutdown of one process."""

    process: str
    """Process name."""
    requested_at: float
    """CLOCK_BOOTTIME of SIGTERM, in seconds."""
    ended_at: float
    """CLOCK_BOOTTIME when the process had exited, in seconds."""
    exit_code: int
    """Exit code."""


class AcceptedGeneration(NamedTuple):
    """An accepted generation of the document."""

    generation: int
    """Number of the generation."""
    accepted_at: float
    """CLOCK_BOOTTIME of the acceptance, in seconds."""


class GenerationSample(NamedTuple):
    """The generation in force at an agent when its metrics were read."""

    process: str
    """Process name, which stays the same across restarts."""
    generation: int
    """Generation in force; 0 for a process that holds none yet."""
    sampled_at: float
    """CLOCK_BOOTTIME, in seconds."""


class RunRecord:
    """Everything recorded during a run; several threads may add requests at the same time."""

    def __init__(self) -> None:
        """Creates an empty record."""
        self.requests: list[Request] = []
        self.executions: list[Execution] = []
        self.executions_not_recorded = 0
        """Executions that leaves counted but did not keep for `/admin/executions`."""
        self.leaf_drains: list[LeafDrain] = []
        self.stops: list[PlannedStop] = []
        self.only_planned_stops = False
        """Whether planned stops were the only faults, so that no lost part is tolerated."""
        self.accepted_generations: list[AcceptedGeneration] = []
        self.generation_samples: list[GenerationSample] = []
        self.injected_faults: list[str] = []
        """Descriptions of the injected faults, for the summary."""
        self._lock = threading.Lock()

    def add_request(self, request: Request) -> None:
        """Adds a submission; may be called from any thread."""
        with self._lock:
            self.requests.append(request)

    def add_execution(self, *, leaf: str, execution: dict[str, Any]) -> None:
        """Adds an execution in the form of `/admin/executions`.

        Args:
            leaf: Leaf id.
            execution: Decoded JSON object of one execution.
        """
        fields = {name: execution[name] for name in Execution._fields if name != "leaf"}
        self.executions.append(Execution(leaf=leaf, **fields))
