"""Calls to a simulated leaf and their refusals."""

from typing import Any, NamedTuple

import anyio
import msgspec

from filbertreach_standins._http import Header
from filbertreach_standins.leaf._record import Execution, Tally

NOT_STARTED: Header = (b"x-not-started", b"true")
"""Header that proves that a call was not executed and will not be."""


class Call:
    """A call in progress."""

    __slots__ = (
        "call_id",
        "cancelled",
        "execution",
        "query",
        "rank",
        "remaining_seconds",
        "scope",
        "shard",
        "tallies",
        "version",
    )

    def __init__(self, headers: dict[bytes, bytes], body: bytes) -> None:
        """Parses the headers and the body of a call.

        Raises:
            KeyError: A required header is missing.
            ValueError: A header or the body is malformed.
        """
        self.call_id = headers[b"x-call-id"].decode()
        self.shard = headers[b"x-shard"].decode()
        self.version = int(headers[b"x-index-version"])
        self.rank = headers.get(b"x-rank", b"").decode()
        deadline = headers.get(b"x-deadline-ms")
        self.remaining_seconds = None if deadline is None else float(deadline) / 1000
        self.query: dict[str, Any] = msgspec.json.decode(body) if len(body) > 2 else {}
        if not isinstance(self.query, dict):
            raise ValueError("the query is not a JSON object")
        self.execution: Execution | None = None
        self.tallies: list[Tally] = []
        self.scope: anyio.CancelScope | None = None
        self.cancelled = False

    def cancel(self) -> None:
        """Cancels the call on request of its caller or because its connection closed."""
        self.cancelled = True
        if self.scope is not None:
            self.scope.cancel()


class Refusal(NamedTuple):
    """A response to a call that is not executed, or not to its end."""

    status: int
    """HTTP status."""
    reason: str
    """Reason given in the body."""
    headers: tuple[Header, ...] = (NOT_STARTED,)
    """Further headers; by default `NOT_STARTED`."""
