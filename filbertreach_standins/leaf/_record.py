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


class _Tally:
    """Executions of one call id or one query."""

    __slots__ = ("cancelled", "finished", "started")

    def __init__(self) -> None:
        self.started = 0
        self.finished = 0
        self.cancelled = 0

    def as_json(self) -> dict[str, int]:
        return {"started": self.started, "finished": self.finished, "cancelled": self.cancelled}


class ExecutionRecord:
    """Counts executions by call id and by the write id or tag of the query."""

    def __init__(self) -> None:
        """Starts empty."""
        self.executions: list[Execution] = []
        self._total = _Tally()
        self._by_call_id: dict[str, _Tally] = {}
        self._by_query: dict[str, _Tally] = {}

    def _tallies(self, execution: Execution) -> list[_Tally]:
        tallies = [self._total]
        for key, group in (
            (execution.call_id, self._by_call_id),
            (execution.write, self._by_query),
            (execution.tag, self._by_query),
        ):
            if key is not None and (key in group or len(group) < _RECORD_LIMIT):
                tallies.append(group.setdefault(key, _Tally()))
        return tallies

    def start(self, execution: Execution) -> None:
        """Counts an execution that starts."""
        if len(self.executions) < _RECORD_LIMIT:
            self.executions.append(execution)
        for tally in self._tallies(execution):
            tally.started += 1

    def finish(self, execution: Execution) -> None:
        """Counts an execution that came to its end, whether or not it could be answered."""
        for tally in self._tallies(execution):
            tally.finished += 1

    def cancel(self, execution: Execution) -> None:
        """Counts an execution that was stopped by a cancellation, disconnect or deadline."""
        for tally in self._tallies(execution):
            tally.cancelled += 1

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
