"""Record of the calls that a simulated leaf executed."""

from typing import Any, NamedTuple

_MAX_RECORDED = 100_000
"""Limit of executions, call ids and queries kept; executions beyond it are only counted."""


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
    """Id of the write that the query requested, None for a search."""
    tag: str | None
    """Tag of the query, if it had one."""
    started_at: float
    """CLOCK_BOOTTIME in seconds, comparable between processes of one machine."""


class Tally:
    """Execution counters of one call id, of one query or of the whole leaf."""

    __slots__ = ("cancelled", "finished", "started")

    def __init__(self) -> None:
        """Creates counters at 0."""
        self.started = 0
        self.finished = 0
        self.cancelled = 0

    def as_json(self) -> dict[str, int]:
        """Returns the counters as JSON."""
        return {"started": self.started, "finished": self.finished, "cancelled": self.cancelled}


class ExecutionRecord:
    """Counts executions by call id and by the write id or tag of the query."""

    def __init__(self) -> None:
        """Creates an empty record."""
        self.executions: list[Execution] = []
        self._total = Tally()
        self._tally_by_call_id: dict[str, Tally] = {}
        self._tally_by_query: dict[str, Tally] = {}

    def _tallies_of(self, execution: Execution) -> list[Tally]:
        tallies = [self._total]
        for key, tally_by_key in (
            (execution.call_id, self._tally_by_call_id),
            (execution.write, self._tally_by_query),
            (execution.tag, self._tally_by_query),
        ):
            if key is not None and (key in tally_by_key or len(tally_by_key) < _MAX_RECORDED):
                tallies.append(tally_by_key.setdefault(key, Tally()))
        return tallies

    def start(self, execution: Execution) -> list[Tally]:
        """Records the start of an execution.

        Returns:
            The tallies in which its end is to be counted.
        """
        if len(self.executions) < _MAX_RECORDED:
            self.executions.append(execution)
        tallies = self._tallies_of(execution)
        for tally in tallies:
            tally.started += 1
        return tallies

    def counters(self, *, totals_only: bool) -> dict[str, Any]:
        """Returns the counters as JSON.

        Args:
            totals_only: Whether to leave out the counters by call id and by query.
        """
        totals: dict[str, Any] = {
            **self._total.as_json(),
            "executions_not_recorded": self._total.started - len(self.executions),
        }
        if not totals_only:
            totals["by_call_id"] = {
                key: tally.as_json() for key, tally in self._tally_by_call_id.items()
            }
            totals["by_query"] = {
                key: tally.as_json() for key, tally in self._tally_by_query.items()
            }
        return totals
