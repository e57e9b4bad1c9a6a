"""Experiments, registered by name."""

from collections.abc import Callable
from typing import Any, NamedTuple


class Experiment(NamedTuple):
    """A benchmark of a policy against its baselines."""

    name: str
    """Name in the results."""
    question: str
    """What the figures answer."""
    run: Callable[[int, bool], dict[str, Any]]
    """Called with the seed and whether the run is short; returns results by name."""


EXPERIMENTS_BY_NAME: dict[str, Experiment] = {}
"""Filled by `experiment`."""

_Run = Callable[[int, bool], dict[str, Any]]


def experiment(name: str, question: str) -> Callable[[_Run], _Run]:
    """Registers a function as an experiment.

    Args:
        name: Name in the results.
        question: What the figures answer.

    Returns:
        The decorator.
    """

    def register(run: _Run) -> _Run:
        EXPERIMENTS_BY_NAME[name] = Experiment(name, question, run)
        return run

    return register
