"""Response bodies of a simulated leaf, correct and corrupted."""

import zlib
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from filbertreach_standins._faults import Fault, Trigger

_MAX_CACHED_BODIES = 10_000
"""Bodies cached per writer, keyed by shard, version and number of rows."""


class AnswerParts(NamedTuple):
    """Values that determine an answer."""

    call_id: str
    """Call id of the request."""
    shard: str
    """Name of the shard searched."""
    version: int
    """Index version searched."""
    rows: int
    """Number of rows."""


class AnswerWriter:
    """Encodes response bodies and caches all of a body but its call id."""

    def __init__(self) -> None:
        """Creates a writer with an empty cache."""
        self._tail_by_key: dict[tuple[str, int, int], bytes] = {}

    def body(self, parts: AnswerParts) -> bytes:
        """Returns the correct body for a call, as JSON."""
        key = parts[1:]
        tail = self._tail_by_key.get(key)
        if tail is None:
            encoded = msgspec.json.encode(answer(parts))
            tail = encoded[encoded.index(b',"shard"') :]
            if len(self._tail_by_key) < _MAX_CACHED_BODIES:
                self._tail_by_key[key] = tail
        return b'{"call_id":' + msgspec.json.encode(parts.call_id) + tail


def answer(parts: AnswerParts) -> dict[str, Any]:
    """Returns the correct answer to a call, with an empty call id.

    Rows depend only on shard, version and number of rows, so that a test can compute them.
    """
    shard, version = parts.shard, parts.version
    rows = [
        {
            "id": f"{shard}-{index}",
            "shard": shard,
            "version": version,
            "score": zlib.crc32(f"{shard}/{version}/{index}".encode()) % 10_000 / 10_000,
        }
        for index in range(parts.rows)
    ]
    return {"call_id": "", "shard": shard, "version": version, "rows": rows, "row_count": len(rows)}


Corruption = Callable[[AnswerParts], bytes]

_corruption_by_fault: dict[str, Corruption] = {}
_meaning_by_fault: dict[str, str] = {}


def _register_corruption(name: str, meaning: str) -> Callable[[Corruption], Corruption]:
    def register(function: Corruption) -> Corruption:
        _corruption_by_fault[name] = function
        _meaning_by_fault[name] = f"trigger: {meaning}"
        return function

    return register


def _encode_with(parts: AnswerParts, **changes: Any) -> bytes:
    return msgspec.json.encode({**answer(parts), "call_id": parts.call_id, **changes})


@_register_corruption("garbage_body", "status 200 with a body that is not JSON")
def _garbage_body(parts: AnswerParts) -> bytes:
    return b"\x00\xff<html>" + parts.call_id.encode()


@_register_corruption("wrong_call_id", "the body names another call id")
def _wrong_call_id(parts: AnswerParts) -> bytes:
    return _encode_with(parts, call_id=f"not-{parts.call_id}")


@_register_corruption("wrong_version", "body and rows are of the next index version")
def _wrong_version(parts: AnswerParts) -> bytes:
    return _encode_with(parts._replace(version=parts.version + 1))


@_register_corruption("wrong_shard", "body and rows are of another shard")
def _wrong_shard(parts: AnswerParts) -> bytes:
    return _encode_with(parts._replace(shard=f"not-{parts.shard}"))


@_register_corruption("wrong_row_count", "row_count is one more than the number of rows")
def _wrong_row_count(parts: AnswerParts) -> bytes:
    return _encode_with(parts, row_count=parts.rows + 1)


@_register_corruption("duplicate_rows", "every row comes twice, and row_count counts both")
def _duplicate_rows(parts: AnswerParts) -> bytes:
    rows = answer(parts)["rows"] * 2
    return _encode_with(parts, rows=rows, row_count=len(rows))


@_register_corruption("large_number", "each row has an integer of 400 digits")
def _large_number(parts: AnswerParts) -> bytes:
    number = b"9" * 400
    rows = [{**row, "number": "NUMBER"} for row in answer(parts)["rows"]]
    return _encode_with(parts, rows=rows).replace(b'"NUMBER"', number)


@_register_corruption("nested_rows", "each row has a value that is nested 300 times")
def _nested_rows(parts: AnswerParts) -> bytes:
    nested = b"[" * 300 + b"]" * 300
    rows = [{**row, "nested": "NESTED"} for row in answer(parts)["rows"]]
    return _encode_with(parts, rows=rows).replace(b'"NESTED"', nested)


CORRUPTION_FAULTS = tuple(
    Fault(name, False, Trigger, meaning) for name, meaning in _meaning_by_fault.items()
)
"""Faults that corrupt the body of an answer."""


def corrupted_body(name: str, parts: AnswerParts) -> bytes:
    """Returns the body that a fault of `CORRUPTION_FAULTS` produces.

    Args:
        name: Name of the fault.
        parts: Values of the correct answer.
    """
    return _corruption_by_fault[name](parts)
