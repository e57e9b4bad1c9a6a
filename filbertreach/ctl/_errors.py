"""Errors of the command line and the exit codes that stand for them."""

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


class CtlError(Exception):
    """A command that did not do what was asked; says what is true and what to do next."""

    exit_code = ExitCode.REFUSED
    outcome = "refused"

    def __init__(
        self, message: str, *, lines: Sequence[str] = (), data: Mapping[str, Any] | None = None
    ) -> None:
        """Keeps the message.

        Args:
            message: What happened and whether anything was accepted.
            lines: More lines for a person.
            data: More fields for --json.
        """
        super().__init__(message)
        self.lines = list(lines)
        self.data = dict(data or {})


class RefusedError(CtlError):
    """The command is not allowed, or its precondition is not met; nothing was changed."""


class UsageError(CtlError):
    """Arguments or settings that can't be used."""

    exit_code = ExitCode.USAGE


class ConflictError(CtlError):
    """Another operator was first; nothing of this command was accepted."""

    exit_code = ExitCode.CONFLICT


class UnavailableError(CtlError):
    """The platform does not answer; nothing of this command was accepted."""

    exit_code = ExitCode.UNAVAILABLE


class UnknownOutcomeError(CtlError):
    """The platform may or may not have carried out a write."""

    exit_code = ExitCode.UNKNOWN
    outcome = "unknown"


class NotInForceError(CtlError):
    """Accepted, but some hosts did not report it in force in time."""

    exit_code = ExitCode.NOT_IN_FORCE
    outcome = "accepted"
