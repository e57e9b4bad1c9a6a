"""Runs the experiments on decision code under a fake clock.

The figures do not depend on the load of the machine, so they are computed in several processes at
once.
"""

import concurrent.futures
from collections.abc import Iterable
from typing import Any

from experiments import admission, dispatch_decisions
from experiments._registry import experiment

_PROCESSES = 4
_SHORT_DISPATCH = ("whole_fleet_slow", "client_flood", "highest_rank_flood")
_SHORT_ADMISSION = ("waiting",)


@experiment("dispatch_decisions", "What do queue, replica choice and hedges give under faults?")
def run_dispatch(seed: int, short: bool) -> dict[str, Any]:
    """Runs the experiments of `dispatch_decisions`.

    Args:
        seed: Seed of arrivals and service times.
        short: Whether to run only the quick ones.

    Returns:
        Figures by experiment.
    """
    names = _SHORT_DISPATCH if short else tuple(dispatch_decisions.EXPERIMENTS)
    return _run("dispatch_decisions", names, seed)


@experiment("admission_decisions", "What do admission and wait policies give under floods?")
def run_admission(seed: int, short: bool) -> dict[str, Any]:
    """Runs the experiments of `admission`.

    Args:
        seed: Seed of arrivals and service times.
        short: Whether to run only the quick ones.

    Returns:
        Figures by experiment.
    """
    names = _SHORT_ADMISSION if short else tuple(admission.EXPERIMENTS)
    return _run("admission", names, seed)


def _run(module: str, names: Iterable[str], seed: int) -> dict[str, Any]:
    result: dict[str, Any] = {"scale": "decision code under a fake clock, simulated leaves"}
    with concurrent.futures.ProcessPoolExecutor(_PROCESSES) as pool:
        future_by_name = {name: pool.submit(_run_one, module, name, seed) for name in names}
        result.update({name: future.result() for name, future in future_by_name.items()})
    return result


def _run_one(module: str, name: str, seed: int) -> dict[str, Any]:
    registered: dict[str, Any] = {
        "admission": admission.EXPERIMENTS,
        "dispatch_decisions": dispatch_decisions.EXPERIMENTS,
    }[module]
    run = registered[name]
    figures: dict[str, Any] = run(seed)
    return figures
