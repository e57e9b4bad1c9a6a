"""What a simulated backend server executed."""

from typing import Any, NamedTuple

_RECORD_LIMIT = 100_000
"""Executions and call ids kept; the counters say how many more there were."""


class Execution(NamedTuple):
    """The start of one execution."""

    call_id: str
    """Call id of the request."""
    shard: str
    """Shard searched."""
    version: int
    """Index version searched."""
    rank: str
    """Rank of the request."""
    write: str | None
    """Id of the write that the query asked for, None for a search."""
    tag: str | None
    """Tag of the query, if it had one."""
    started_at: float
    """CLOCK_BOOTTIME, in seconds, comparable between processes of one machine."""


class Tally:
    """Executions of one call id or one query, or all of them."""

    __slots__ = ("cancelled", "finished", "started")

    def __init__(self) -> None:
        """Starts at 0."""
        self.started = 0
        self.finished = 0
        self.cancelled = 0

    def as_json(self) -> dict[str, int]:
        """Returns the counts."""
        return {"started": self.started, "finished": self.finished, "cancelled": self.cancelled}


class ExecutionRecord:
    """Counts executions by call id and by the write id or tag of the query."""

    def __init__(self) -> None:
        """Starts empty."""
        self.executions: list[Execution] = []
        self._total = Tally()
        self._by_call_id: dict[str, Tally] = {}
        self._by_query: dict[str, Tally] = {}

    def _tallies(self, execution: Execution) -> list[Tally]:
        tallies = [self._total]
        for key, group in (
            (execution.call_id, self._by_call_id),
            (execution.write, self._by_query),
            (execution.tag, self._by_query),
        ):
            if key is not None and (key in group or len(group) < _RECORD_LIMIT):
                tallies.append(group.setdefault(key, Tally()))
        return tallies

    def start(self, execution: Execution) -> list[Tally]:
        """Counts an execution that starts.

        Returns:
            Where to count its end.
        """
        if len(self.executions) < _RECORD_LIMIT:
            self.executions.append(execution)
        tallies = self._tallies(execution)
        for tally in tallies:
            tally.started += 1
        return tallies

    def counters(self, *, totals_only: bool) -> dict[str, Any]:
        """Returns the counts as JSON.

        Args:
            totals_only: Leaves out the counts by call id and by query.
        """
        totals: dict[str, Any] = {
            **self._total.as_json(),
            "executions_not_recorded": self._total.started - len(self.executions),
        }
        if not totals_only:
            totals["by_call_id"] = {key: t.as_json() for key, t in self._by_call_id.items()}
            totals["by_query"] = {key: t.as_json() for key, t in self._by_query.items()}
        return totals
