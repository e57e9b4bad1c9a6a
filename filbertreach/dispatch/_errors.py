"""Errors of the dispatch layer."""

from typing import NamedTuple


class LeafReport(NamedTuple):
    """State of a leaf as reported in the headers of a response."""

    state: str
    """starting, ready, draining, or an empty string if the header is absent."""
    in_flight: int | None
    """Calls running at the leaf; None if not reported."""
    queued: int | None
    """Calls queued at the leaf; None if not reported."""


class LeafError(Exception):
    """A call to a leaf got no usable answer."""

    def __init__(self, *, message: str, started: bool) -> None:
        """Creates the error.

        Args:
            message: Description for logs and spans.
            started: False only if it is certain that the call did not start.
        """
        super().__init__(message)
        self.started = started
        self.report: LeafReport | None = None


class LeafUnreachableError(LeafError):
    """No connection could be opened; nothing was sent."""

    def __init__(self, *, message: str) -> None:
        """Creates the error.

        Args:
            message: Description for logs and spans.
        """
        super().__init__(message=message, started=False)


class LeafRefusedError(LeafError):
    """The leaf refused the call."""


class VersionUnavailableError(LeafRefusedError):
    """The leaf does not serve the index version or the shard."""


class LeafCancelledError(LeafError):
    """The leaf confirmed the cancellation."""


class LeafTimeoutError(LeafError):
    """The leaf reported that the deadline passed."""


class LeafFailedError(LeafError):
    """The leaf answered with an error, or the connection was lost after the request was sent."""


class InvalidResponseError(LeafError):
    """The response is malformed, truncated or not the answer to this call."""
