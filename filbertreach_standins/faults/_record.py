"""What callers, leaves and operators saw in one run."""

import threading
from typing import Any, NamedTuple


class Request(NamedTuple):
    """One submission of a request by a caller."""

    request_id: str
    """Caller's id; a repeated submission has the same one."""
    tag: str
    """Unique for each submission, and counted by leaves."""
    entry: str
    """Entry process that it was sent to."""
    idempotent: bool
    """False if it must run at most once; its write id is then `request_id`."""
    shards: tuple[str, ...]
    """Shards that were asked for."""
    rows: int
    """Rows that each shard returns."""
    sent_at: float
    """CLOCK_BOOTTIME before it was sent, in seconds."""
    ended_at: float
    """CLOCK_BOOTTIME after the answer, in seconds."""
    status: int
    """HTTP status; 0 if there was no whole answer."""
    body: dict[str, Any]
    """Decoded body; empty without an answer."""
    error: str = ""
    """Why there was no answer; `refused` if no connection was opened."""

    @property
    def problem(self) -> str:
        """Type of the problem document without its prefix, or an empty string."""
        return str(self.body.get("type", "")).rsplit("/", 1)[-1]


class Execution(NamedTuple):
    """The start of an execution at a leaf."""

    leaf: str
    """Leaf id."""
    shard: str
    """Shard searched."""
    version: int
    """Index version searched."""
    write: str | None
    """Id of the write, None for a search."""
    tag: str | None
    """Tag of the submission."""
    started_at: float
    """CLOCK_BOOTTIME, in seconds."""


class LeafDrain(NamedTuple):
    """A backend server that was leaving."""

    leaf: str
    """Leaf id."""
    source: str
    """First source that reported it."""
    reported_at: float
    """CLOCK_BOOTTIME when that source reported it, in seconds."""
    until: float
    """CLOCK_BOOTTIME when it no longer left, in seconds."""


class PlannedStop(NamedTuple):
    """A graceful shutdown of one process."""

    process: str
    """Process name."""
    requested_at: float
    """CLOCK_BOOTTIME of SIGTERM, in seconds."""
    ended_at: float
    """CLOCK_BOOTTIME when the process had ended, in seconds."""
    exit_code: int
    """Exit code."""


class Acceptance(NamedTuple):
    """An accepted generation of the document."""

    generation: int
    """Generation."""
    accepted_at: float
    """CLOCK_BOOTTIME when the operator learned of it, in seconds."""


class GenerationSeen(NamedTuple):
    """The generation that an agent showed at one moment."""

    process: str
    """Process name, the same after a restart."""
    generation: int
    """Generation in force; 0 for a process that holds none yet."""
    seen_at: float
    """CLOCK_BOOTTIME, in seconds."""


class RunRecord:
    """Everything that was seen; safe for many writing threads."""

    def __init__(self) -> None:
        """Starts empty."""
        self.requests: list[Request] = []
        self.executions: list[Execution] = []
        self.executions_not_recorded = 0
        self.leaf_drains: list[LeafDrain] = []
        self.stops: list[PlannedStop] = []
        self.only_planned_stops = False
        """Whether no other fault was injected, so that no loss is excused."""
        self.acceptances: list[Acceptance] = []
        self.generations: list[GenerationSeen] = []
        self.faults: list[str] = []
        """Injected faults, for the report."""
        self._lock = threading.Lock()

    def add_request(self, request: Request) -> None:
        """Adds a submission."""
        with self._lock:
            self.requests.append(request)

    def add_execution(self, *, leaf: str, execution: dict[str, Any]) -> None:
        """Adds an execution as `/admin/executions` gives it.

        Args:
            leaf: Leaf id.
            execution: JSON of one execution.
        """
        fields = {name: execution[name] for name in Execution._fields if name != "leaf"}
        self.executions.append(Execution(leaf=leaf, **fields))
