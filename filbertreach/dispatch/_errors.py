"""Errors of the dispatch layer."""

from typing import NamedTuple


class LeafReport(NamedTuple):
    """What the headers of a response say about the leaf."""

    state: str
    """starting, ready, draining, or an empty string if not stated."""
    in_flight: int | None
    """Calls that the leaf says it runs."""
    queued: int | None
    """Calls that the leaf says wait in it."""


class LeafError(Exception):
    """A call to a leaf has no usable answer."""

    def __init__(self, *, message: str, started: bool) -> None:
        """Keeps what is known.

        Args:
            message: What happened.
            started: False only if the call was proved not to have started.
        """
        super().__init__(message)
        self.started = started
        self.report: LeafReport | None = None


class LeafUnreachableError(LeafError):
    """No connection could be opened; nothing was sent."""

    def __init__(self, *, message: str) -> None:
        """Keeps what is known.

        Args:
            message: What happened.
        """
        super().__init__(message=message, started=False)


class LeafRefusedError(LeafError):
    """The leaf refused the call."""


class VersionUnavailableError(LeafRefusedError):
    """The leaf does not serve the index version or the shard."""


class LeafCancelledError(LeafError):
    """The leaf confirmed the cancellation."""


class LeafTimeoutError(LeafError):
    """The leaf gave up at the deadline."""


class LeafFailedError(LeafError):
    """The leaf answered with an error, or the connection was lost after sending."""


class InvalidResponseError(LeafError):
    """The response is not a whole answer to this call."""
