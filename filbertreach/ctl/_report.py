"""Output of a command."""

import enum
import json
import sys
from typing import Any, NamedTuple

from filbertreach.ctl._errors import CtlError, ExitCode


class Report(NamedTuple):
    """Result of a command."""

    lines: list[str]
    """Human-readable output."""
    data: dict[str, Any]
    """Fields of the --json output."""
    exit_code: enum.IntEnum = ExitCode.DONE
    """Exit code of the process."""


def print_report(report: Report, *, as_json: bool) -> None:
    """Prints a result on standard output.

    Args:
        report: The result.
        as_json: Whether to print one JSON object.
    """
    if as_json:
        _print_json({"exit_code": int(report.exit_code), **report.data})
        return
    for line in report.lines:
        print(line)


def print_error(error: CtlError, *, as_json: bool) -> None:
    """Prints an error as lines on standard error or as one JSON object on standard output.

    Args:
        error: The error.
        as_json: Whether to print one JSON object.
    """
    if as_json:
        fields = {"exit_code": int(error.exit_code), "outcome": error.outcome, "error": str(error)}
        _print_json({**fields, "details": error.lines, **error.data})
        return
    for line in [str(error), *error.lines]:
        print(line, file=sys.stderr)


def progress(line: str) -> None:
    """Prints a line of progress on standard error."""
    print(line, file=sys.stderr, flush=True)


def _print_json(value: dict[str, Any]) -> None:
    print(json.dumps(value, indent=2, ensure_ascii=False, default=str))
