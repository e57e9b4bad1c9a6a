"""Merges the rows of many shards into one answer.

The result depends only on the rows that were added, not on the order in which shards answered.
"""

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple, Protocol, TypeVar

Row = dict[str, Any]

_NUMBER_CLASS = 0
_STRING_CLASS = 1
"""The classes of numbers and strings are swapped if the order is descending."""
_MISSING_CLASS = 2


class MergeError(Exception):
    """Rows that must not be part of the answer, or an invalid merge specification."""


class Merger(Protocol):
    """Merges the rows of one query."""

    def add(self, shard: str, version: int, rows: Sequence[Row]) -> None:
        """Adds the rows of one shard.

        Args:
            shard: Shard name.
            version: Index version that the rows were read from.
            rows: Rows in the order in which the shard returned them.

        Raises:
            MergeError: The shard was added before, or the version differs from that of the first
                shard. The rows added so far are unchanged.
        """

    def result(self) -> list[Row]:
        """Returns the merged rows of the shards added so far."""


class MergeSettings(NamedTuple):
    """Merge specification of a query."""

    order_by: str
    """Column that the rows are ordered by; empty for a merge without ordering."""
    descending: bool
    """Whether the largest value comes first."""
    limit: int
    """Most rows in the result, at least 1."""


_MergerT = TypeVar("_MergerT", bound=type)
_MERGER_BY_KIND: dict[str, Callable[[MergeSettings], Merger]] = {}


def register_merger(kind: str) -> Callable[[_MergerT], _MergerT]:
    """Registers a class that takes MergeSettings as the merger of a kind.

    Args:
        kind: Value of `merge.kind` in a query.

    Returns:
        A class decorator.
    """

    def register(merger_class: _MergerT) -> _MergerT:
        _MERGER_BY_KIND[kind] = merger_class
        return merger_class

    return register


def make_merger(
    *, kind: str, order_by: str | None, descending: bool, limit: int, max_rows: int
) -> Merger:
    """Creates the merger of one query.

    Args:
        kind: A registered kind: top or concatenate.
        order_by: Column that top orders by; not used by concatenate.
        descending: Whether top puts the largest value first.
        limit: Most rows in the result.
        max_rows: Largest allowed limit; bounds the rows that one query holds in memory.

    Returns:
        A merger without rows.

    Raises:
        MergeError: An argument is not allowed; the message lists the allowed values.
    """
    if kind not in _MERGER_BY_KIND:
        kinds = ", ".join(sorted(_MERGER_BY_KIND))
        raise MergeError(f"no merge kind {kind!r}; there is: {kinds}")
    if not 1 <= limit <= max_rows:
        raise MergeError(f"merge limit is {limit}; allowed: 1 to {max_rows}")
    if kind == "top" and not order_by:
        raise MergeError("merge kind 'top' needs order_by, the name of a column")
    return _MERGER_BY_KIND[kind](MergeSettings(order_by or "", descending, limit))


class _ShardValidator:
    """Rejects a shard that was added before and rows of another version."""

    def __init__(self) -> None:
        self._shards: set[str] = set()
        self._version: int | None = None

    def validate(self, shard: str, version: int) -> None:
        if shard in self._shards:
            raise MergeError(f"shard {shard} was already merged")
        if self._version is not None and version != self._version:
            raise MergeError(
                f"shard {shard} answered from version {version}; the query reads {self._version}"
            )
        self._shards.add(shard)
        self._version = version


class _ReversedString(str):
    """A string that sorts in reverse order."""

    __slots__ = ()

    def __lt__(self, other: str) -> bool:
        return str.__gt__(self, other)

    def __gt__(self, other: str) -> bool:
        return str.__lt__(self, other)


_Candidate = tuple[int, Any, str, int, Row]
"""Class and value of the sort key, shard, position and row. Shard and position together are unique,
so that a comparison never reaches the row."""


@register_merger("top")
class TopMerger:
    """Keeps the first `limit` rows in the order of one column.

    Numbers come before strings (after them if descending). In both directions, rows come last if
    their value is missing, null, NaN or neither a number nor a string. Ties are broken by shard
    name and then by position. At most `2 * limit` rows are held between two calls.
    """

    def __init__(self, settings: MergeSettings) -> None:
        """Creates a merger without rows.

        Args:
            settings: Order and limit.
        """
        self._order_by = settings.order_by
        self._descending = settings.descending
        self._limit = settings.limit
        self._validator = _ShardValidator()
        self._candidates: list[_Candidate] = []
        self._last_key: tuple[int, Any] | None = None

    def add(self, shard: str, version: int, rows: Sequence[Row]) -> None:
        """Adds the rows of one shard; see Merger."""
        self._validator.validate(shard, version)
        last_key = self._last_key
        for position, row in enumerate(rows):
            key = self._key(row.get(self._order_by))
            # Equal keys are kept, because a shard that answers later may come first by name.
            if last_key is None or not key > last_key:
                self._candidates.append((*key, shard, position, row))
        if len(self._candidates) > 2 * self._limit:
            self._drop_excess()

    def result(self) -> list[Row]:
        """Returns the first `limit` rows of the shards added so far."""
        self._drop_excess()
        return [candidate[4] for candidate in self._candidates]

    def _key(self, value: object) -> tuple[int, Any]:
        """Returns a key whose ascending order is the requested order."""
        if isinstance(value, (int, float)) and value == value:
            return (_STRING_CLASS, -value) if self._descending else (_NUMBER_CLASS, value)
        if isinstance(value, str):
            if self._descending:
                return (_NUMBER_CLASS, _ReversedString(value))
            return (_STRING_CLASS, value)
        return (_MISSING_CLASS, 0)

    def _drop_excess(self) -> None:
        self._candidates.sort()
        del self._candidates[self._limit :]
        if len(self._candidates) == self._limit:
            self._last_key = self._candidates[-1][:2]


@register_merger("concatenate")
class ConcatenateMerger:
    """Keeps the first `limit` rows in the order of shard names.

    Rows that can no longer be among the first `limit` are dropped immediately, so that at most
    `limit` rows are held between two calls.
    """

    def __init__(self, settings: MergeSettings) -> None:
        """Creates a merger without rows.

        Args:
            settings: Limit; the column and direction are not used.
        """
        self._limit = settings.limit
        self._validator = _ShardValidator()
        self._rows_by_shard: dict[str, list[Row]] = {}
        self._row_count = 0

    def add(self, shard: str, version: int, rows: Sequence[Row]) -> None:
        """Adds the rows of one shard; see Merger."""
        self._validator.validate(shard, version)
        if not rows:
            return
        self._rows_by_shard[shard] = list(rows[: self._limit])
        self._row_count += len(self._rows_by_shard[shard])
        while self._row_count > self._limit:
            self._drop_excess(max(self._rows_by_shard))

    def result(self) -> list[Row]:
        """Returns the rows of the shards added so far, in the order of shard names."""
        return [row for shard in sorted(self._rows_by_shard) for row in self._rows_by_shard[shard]]

    def _drop_excess(self, last_shard: str) -> None:
        rows = self._rows_by_shard[last_shard]
        dropped = min(len(rows), self._row_count - self._limit)
        del rows[len(rows) - dropped :]
        if not rows:
            del self._rows_by_shard[last_shard]
        self._row_count -= dropped
