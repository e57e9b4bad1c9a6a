"""Errors of the command line and their exit codes."""

import enum
from collections.abc import Mapping, Sequence
from typing import Any


class ExitCode(enum.IntEnum):
    """Exit codes of filbertreach-ctl."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNKNOWN = 5
    NOT_IN_FORCE = 6


class CheckExitCode(enum.IntEnum):
    """Exit codes of `filbertreach-ctl check`."""

    CLEAN = 0
    WARNINGS = 1
    ERRORS = 2
    NOT_READ = 3


class CtlError(Exception):
    """A command failed; the message states the resulting state and what to do next."""

    exit_code: enum.IntEnum = ExitCode.REFUSED
    outcome = "refused"

    def __init__(
        self, message: str, *, lines: Sequence[str] = (), data: Mapping[str, Any] | None = None
    ) -> None:
        """Creates the error.

        Args:
            message: What failed and whether anything was accepted.
            lines: Further lines of the human-readable output.
            data: Further fields of the --json output.
        """
        super().__init__(message)
        self.lines = list(lines)
        self.data = dict(data or {})


class RefusedError(CtlError):
    """The command is not permitted or a precondition is not met; nothing was changed."""


class UsageError(CtlError):
    """Invalid arguments or settings."""

    exit_code = ExitCode.USAGE


class ConflictError(CtlError):
    """Another operator's document or proposal came first; this command changed nothing."""

    exit_code = ExitCode.CONFLICT


class UnavailableError(CtlError):
    """The platform does not answer; nothing of this command was accepted."""

    exit_code = ExitCode.UNAVAILABLE


class UnknownOutcomeError(CtlError):
    """A write may or may not have taken effect."""

    exit_code = ExitCode.UNKNOWN
    outcome = "unknown"


class NotInForceError(CtlError):
    """The document was accepted, but some hosts did not report it in force in time."""

    exit_code = ExitCode.NOT_IN_FORCE
    outcome = "accepted"


class NotReadError(CtlError):
    """A configuration, or the version in force, could not be read; nothing was checked."""

    exit_code = CheckExitCode.NOT_READ
    outcome = "not read"
