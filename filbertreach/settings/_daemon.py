"""Command-line options shared by all daemons."""

import argparse
import sys
from typing import cast

from returns.result import Success

from filbertreach import __version__
from filbertreach.schema import Settings
from filbertreach.settings._check import load

_EXIT_INVALID_SETTINGS = 2
"""Exit code for invalid settings."""


def add_settings_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds `--settings`, `--check-config` and `--version`.

    Args:
        parser: Argument parser of the daemon.
    """
    parser.add_argument("--settings", required=True, metavar="FILE", help="INI settings file")
    parser.add_argument(
        "--check-config",
        action="store_true",
        help="validate the settings, print the result and exit",
    )
    parser.add_argument("--version", action="version", version=f"%(prog)s {__version__}")


def settings_or_exit(arguments: argparse.Namespace) -> Settings:
    """Loads the settings file given on the command line, or ends the process.

    Args:
        arguments: Arguments from a parser that `add_settings_arguments` has extended.

    Returns:
        The validated settings.

    Raises:
        SystemExit: With code 2 for invalid settings, or 0 after a successful `--check-config`.
    """
    result = load(arguments.settings, "settings")
    if not isinstance(result, Success):
        print(result.failure(), file=sys.stderr)
        raise SystemExit(_EXIT_INVALID_SETTINGS)
    if arguments.check_config:
        print(f"{arguments.settings}: the settings are correct")
        raise SystemExit(0)
    return cast(Settings, result.unwrap())
