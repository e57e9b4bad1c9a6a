"""Registry of the verbs."""

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
    """As typed."""
    help: str
    """One line for the list of verbs."""
    description: str
    """Text of `filbertreach-ctl VERB --help`."""
    add_arguments: _AddArguments
    """Adds its arguments."""
    run: _Run
    """Carries it out."""
    writes: bool
    """Whether it changes what the platform holds."""


verb_by_name: dict[str, Verb] = {}
"""All verbs, in the order in which they are listed."""


def verb(
    name: str, *, help: str, arguments: _AddArguments, writes: bool = False
) -> Callable[[_Run], _Run]:
    """Registers a verb; its description is the docstring of the function.

    Args:
        name: As typed.
        help: One line for the list of verbs.
        arguments: Adds its arguments to a parser.
        writes: Whether it changes what the platform holds.

    Returns:
        The decorator.
    """

    def register(run: _Run) -> _Run:
        description = inspect.cleandoc(run.__doc__ or help)
        verb_by_name[name] = Verb(name, help, description, arguments, run, writes)
        return run

    return register
