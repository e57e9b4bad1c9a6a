"""Errors of the platform layer."""


class PlatformError(Exception):
    """A call to the platform that did not succeed."""


class PlatformUnavailableError(PlatformError):
    """The platform gave no usable response. A write that fails with this error had no effect."""


class OutcomeUnknownError(PlatformError):
    """A write was sent but its response was lost: it may have taken effect or may still do so."""


class ConflictError(PlatformError):
    """The key does not have the expected revision; nothing was written."""

    def __init__(self, *, key: str, current_revision: int) -> None:
        """Creates an error.

        Args:
            key: Key.
            current_revision: Revision of the key, 0 if it does not exist.
        """
        super().__init__(f"key {key!r} has revision {current_revision}")
        self.current_revision = current_revision


class KeyNotFoundError(PlatformError):
    """The key does not exist."""


class RateLimitedError(PlatformError):
    """The platform refused the call because of a rate limit; it had no effect."""

    def __init__(self, *, retry_after_seconds: float) -> None:
        """Creates an error.

        Args:
            retry_after_seconds: Time to wait before the next call.
        """
        super().__init__(f"rate limit reached; retry after {retry_after_seconds:g} s")
        self.retry_after_seconds = retry_after_seconds


class TooLargeError(PlatformError):
    """The value exceeds the size limit of the platform; nothing was written."""


class LeaseExpiredError(PlatformError):
    """The lease does not exist or has expired; the call had no effect."""


class InvalidCallError(PlatformError):
    """The platform rejected the call as invalid, which is a bug in this program."""


class HistoryLostError(PlatformError):
    """The platform no longer has the changes after a revision; list the keys again."""
