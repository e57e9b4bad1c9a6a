"""Command-line options that every daemon shares."""

import argparse
import sys
from typing import cast

from returns.result import Success

from filbertreach import __version__
from filbertreach.schema import Settings
from filbertreach.settings._check import load

EXIT_BAD_SETTINGS = 2
"""Exit code for settings that can't be used."""


def add_settings_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds `--settings`, `--check-config` and `--version`.

    Args:
        parser: Parser of the daemon.
    """
    parser.add_argument("--settings", required=True, metavar="FILE", help="INI settings file")
    parser.add_argument(
        "--check-config", action="store_true", help="check the settings, print the result and exit"
    )
    parser.add_argument("--version", action="version", version=f"%(prog)s {__version__}")


def settings_or_exit(arguments: argparse.Namespace) -> Settings:
    """Loads the settings named on the command line, or ends the process.

    Args:
        arguments: Result of a parser with `add_settings_arguments`.

    Returns:
        The checked settings.

    Raises:
        SystemExit: 2 if the settings can't be used; 0 after `--check-config`.
    """
    result = load(arguments.settings, "settings")
    if not isinstance(result, Success):
        print(result.failure(), file=sys.stderr)
        raise SystemExit(EXIT_BAD_SETTINGS)
    if arguments.check_config:
        print(f"{arguments.settings}: the settings are correct")
        raise SystemExit(0)
    return cast(Settings, result.unwrap())
