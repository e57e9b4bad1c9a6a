"""Registry of the verbs (subcommands) of the command line."""

import argparse
import inspect
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from filbertreach.ctl._context import Context
from filbertreach.ctl._report import Report

_Run = Callable[[Context], Awaitable[Report]]
_AddArguments = Callable[[argparse.ArgumentParser], None]


class Verb(NamedTuple):
    """A verb of the command line."""

    name: str
    """Name on the command line."""
    help: str
    """One line for the list of verbs."""
    description: str
    """Text of `filbertreach-ctl VERB --help`."""
    add_arguments: _AddArguments
    """Adds the verb's arguments to its parser."""
    run: _Run
    """Executes the verb."""
    writes: bool
    """Whether its purpose is to change records in the key-value service."""
    reads_settings: bool
    """Whether it reads the settings file."""


verb_by_name: dict[str, Verb] = {}
"""All verbs, in the order of the help text."""


def verb(
    name: str,
    *,
    help: str,
    arguments: _AddArguments,
    writes: bool = False,
    reads_settings: bool = True,
) -> Callable[[_Run], _Run]:
    """Registers a function as a verb; its docstring is the description in the help text.

    Args:
        name: Name on the command line.
        help: One line for the list of verbs.
        arguments: Adds the verb's arguments to its parser.
        writes: Whether its purpose is to change records in the key-value service.
        reads_settings: Whether it reads the settings file.

    Returns:
        The decorator.
    """

    def register(run: _Run) -> _Run:
        description = inspect.cleandoc(run.__doc__ or help)
        verb_by_name[name] = Verb(name, help, description, arguments, run, writes, reads_settings)
        return run

    return register
