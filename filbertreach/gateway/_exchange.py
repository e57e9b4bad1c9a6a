"""A request to one leaf and its result."""

import enum
from collections.abc import Callable
from typing import NamedTuple

from filbertreach.platform import LeafAnswer


class FaultKind(enum.Enum):
    """Reason why a request got no answer."""

    UNREACHABLE = "unreachable"
    """No connection could be opened, so nothing was sent."""
    CONNECTION_LOST = "connection_lost"
    """The connection ended before the answer was complete."""
    INVALID = "invalid"
    """The leaf sent bytes that are not a valid response."""
    SILENT = "silent"
    """No answer arrived within the time limit."""


class LeafFault(NamedTuple):
    """The result of a request without an answer."""

    kind: FaultKind
    """Reason."""
    sent: bool
    """Whether the leaf may have received the request."""


class Exchange:
    """A request to one leaf, from the choice of the leaf to its result."""

    def __init__(
        self,
        *,
        request_id: str,
        method: str,
        encode: Callable[[], bytes],
        on_result: Callable[["Exchange", LeafAnswer | LeafFault], None],
        started_at: float,
        may_send: Callable[[], bool] = lambda: True,
    ) -> None:
        """Creates an exchange that has not been sent.

        Args:
            request_id: Request id that the answer must echo.
            method: HTTP method.
            encode: Encodes the request. Called when it is sent, as it contains the time left then.
            on_result: Called once with the result.
            started_at: Clock when the leaf was chosen, in seconds.
            may_send: Returns whether the leaf may still be used. Called when the request is about
                to be written.
        """
        self.request_id = request_id
        self.method = method
        self.encode = encode
        self.started_at = started_at
        self.may_send = may_send
        self.sent = False
        """Whether the request was written to the connection."""
        self.abandoned = False
        """Whether no caller waits for the result any longer."""
        self._on_result = on_result
        self._is_complete = False

    @property
    def is_complete(self) -> bool:
        """Whether the result is known."""
        return self._is_complete

    def complete(self, result: LeafAnswer | LeafFault) -> None:
        """Reports the result; all calls after the first one are ignored.

        Args:
            result: The result.
        """
        if self._is_complete:
            return
        self._is_complete = True
        self._on_result(self, result)
