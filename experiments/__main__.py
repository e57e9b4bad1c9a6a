"""Runs the registered experiments in sequence and writes their results."""

import argparse
import importlib
import json
import math
import os
import pathlib
import platform
import subprocess
import sys
import time
import traceback
from typing import Any

from experiments._registry import EXPERIMENTS_BY_NAME
from experiments._report import table, write_plots

_ROOT = pathlib.Path(__file__).parent.parent
_BUILD = _ROOT / "build"
_MODULES = (
    "division",
    "stragglers",
    "flood",
    "connections",
    "recovery",
    "configuration",
    "idle",
    "simulated",
    "query_cost",
)
_SKIPPED_IN_SHORT_RUNS = (
    "degrading",
    "flood_highest",
    "flood_client",
    "idle",
)
"""Experiments whose fleets would extend a short run beyond 3 minutes; `--only` runs them."""


def _revision() -> str:
    command = ["git", "describe", "--always", "--dirty"]
    done = subprocess.run(command, cwd=_ROOT, capture_output=True, text=True, check=False)
    return done.stdout.strip() or "unknown"


def _machine() -> dict[str, Any]:
    return {
        "cores": os.cpu_count(),
        "load_average": [round(load, 2) for load in os.getloadavg()],
        "python": platform.python_version(),
        "revision": _revision(),
    }


def _cpu_stall_seconds() -> float:
    """Returns the seconds since boot in which at least one task waited for a core."""
    path = pathlib.Path("/proc/pressure/cpu")
    if not path.exists():
        return 0.0
    return int(path.read_text().split("total=")[1].split()[0]) / 1e6


def _replace_non_finite(value: Any) -> Any:
    """Replaces NaN and infinities, which JSON cannot represent, by None."""
    if isinstance(value, dict):
        return {key: _replace_non_finite(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [_replace_non_finite(item) for item in value]
    return None if isinstance(value, float) and not math.isfinite(value) else value


def _run_experiment(name: str, seed: int, short: bool) -> dict[str, Any]:
    """Runs one experiment; an exception is recorded in the result.

    Returns:
        Question, duration, load and CPU pressure of the machine, and figures or error.
    """
    item = EXPERIMENTS_BY_NAME[name]
    load_before = os.getloadavg()[0]
    started, stalled_before = time.monotonic(), _cpu_stall_seconds()
    result: dict[str, Any] = {"question": item.question}
    try:
        result["figures"] = _replace_non_finite(item.run(seed, short))
    except Exception:
        result["error"] = traceback.format_exc()
    result["seconds"] = round(time.monotonic() - started, 1)
    load_after = os.getloadavg()[0]
    result["load_average"] = [round(load_before, 2), round(load_after, 2)]
    cpu_pressure = (_cpu_stall_seconds() - stalled_before) / max(0.1, time.monotonic() - started)
    result["cpu_pressure"] = round(cpu_pressure, 3)
    # A fleet needs about half of the cores; competing processes distort latencies.
    result["busy_machine"] = load_before > 0.5 * (os.cpu_count() or 1)
    return result


def _selected_names(arguments: argparse.Namespace) -> list[str]:
    if arguments.only:
        return list(arguments.only)
    skipped = _SKIPPED_IN_SHORT_RUNS if arguments.short else ()
    return [name for name in EXPERIMENTS_BY_NAME if name not in skipped]


def main() -> int:
    """Runs the chosen experiments.

    Returns:
        1 if an experiment ended with an error, else 0. A missed target is not an error.
    """
    for module in _MODULES:
        importlib.import_module(f"experiments.{module}")
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--short", action="store_true", help="under 3 minutes, smaller fleets")
    parser.add_argument("--only", choices=sorted(EXPERIMENTS_BY_NAME), action="append")
    arguments = parser.parse_args()
    print(f"seed {arguments.seed}", flush=True)
    report: dict[str, Any] = {
        "seed": arguments.seed,
        "scale": "short" if arguments.short else "full",
        "command": " ".join(["python -m experiments", *sys.argv[1:]]),
        "machine": _machine(),
        "experiments": {},
    }
    _BUILD.mkdir(exist_ok=True)
    for name in _selected_names(arguments):
        print(f"{name} ...", end=" ", flush=True)
        result = report["experiments"][name] = _run_experiment(
            name, arguments.seed, arguments.short
        )
        print("error" if "error" in result else f"{result['seconds']} s", flush=True)
        # Written after each experiment, so that an interrupted run keeps its results.
        (_BUILD / "experiment.json").write_text(json.dumps(report, indent=1), encoding="utf-8")
    text = table(report)
    print(text)
    (_BUILD / "experiment.txt").write_text(text + "\n", encoding="utf-8")
    write_plots(report, _BUILD)
    return int(any("error" in result for result in report["experiments"].values()))


if __name__ == "__main__":
    sys.exit(main())
