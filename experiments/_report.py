"""Formats the results of a run as a table and as plots."""

import pathlib
from collections.abc import Iterator
from typing import Any

_NAME_WIDTH = 72
_DETAIL_KEYS = frozenset({"outcomes", "scale", "targets"})


def table(report: dict[str, Any]) -> str:
    """Formats the results.

    Args:
        report: Contents of `build/experiment.json`.

    Returns:
        Text with the scale, the met and missed targets and the results of each experiment.
    """
    machine = report["machine"]
    lines = [
        f"{report['command']}: seed {report['seed']}, {report['scale']}, {machine['cores']} cores,"
        f" Python {machine['python']}, revision {machine['revision']}",
    ]
    for name, result in report["experiments"].items():
        lines += ["", f"{name}: {result['question']}"]
        busy = ", busy machine" if result["busy_machine"] else ""
        lines.append(
            f"  {result['seconds']} s, load average {result['load_average']}, CPU pressure "
            f"{result['cpu_pressure']}{busy}"
        )
        if "error" in result:
            lines.append("  error: " + result["error"].strip().splitlines()[-1])
            continue
        figures = result["figures"]
        if "scale" in figures:
            lines.append(f"  scale: {figures['scale']}")
        for target, met in figures.get("targets", {}).items():
            lines.append(f"  {'met   ' if met else 'MISSED'} {target}")
        lines += [f"  {key:<{_NAME_WIDTH}} {value}" for key, value in _flat(figures)]
    return "\n".join(lines)


def _flat(figures: dict[str, Any], prefix: str = "") -> Iterator[tuple[str, Any]]:
    for key, value in figures.items():
        if key in _DETAIL_KEYS:
            continue
        if isinstance(value, dict):
            yield from _flat(value, f"{prefix}{key}.")
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            for number, item in enumerate(value):
                yield from _flat(item, f"{prefix}{key}.{number}.")
        else:
            yield prefix + key, value


def write_plots(report: dict[str, Any], folder: pathlib.Path) -> None:
    """Draws bar charts of the experiments that have them.

    Args:
        report: Contents of `build/experiment.json`.
        folder: Where the PNG files are written.
    """
    # Imported here because the import takes a second; the Agg backend needs no display.
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as pyplot

    for name, bars in _charts(report).items():
        figure, axes = pyplot.subplots(figsize=(7, 4))
        axes.bar(list(bars), [value or 0.0 for value in bars.values()])
        axes.set_title(name)
        axes.tick_params(axis="x", labelrotation=20)
        figure.tight_layout()
        figure.savefig(folder / f"experiment-{name.split(' ')[0]}.png", dpi=100)
        pyplot.close(figure)


def _charts(report: dict[str, Any]) -> dict[str, dict[str, Any]]:
    figures_by_name = {
        name: result["figures"]
        for name, result in report["experiments"].items()
        if "figures" in result
    }
    charts: dict[str, dict[str, Any]] = {}
    if figures := figures_by_name.get("division"):
        charts["division p50, ratio to one process with one pool"] = {
            key: figures[key]["p50_ratio"] for key in figures if key.startswith("fan_out")
        }
    if figures := figures_by_name.get("stragglers"):
        charts["stragglers p99 in ms"] = {
            key: figures[key]["p99_ms"] for key in ("hedged_calm", "hedged", "no_hedge")
        }
    if figures := figures_by_name.get("flood_lowest"):
        charts["flood_lowest goodput of the highest rank in the flood"] = {
            key: figures[key]["booking_in_flood"]["goodput"]
            for key in ("ranked", "strict", "fifo")
            if key in figures
        }
    if figures := figures_by_name.get("degrading"):
        charts["degrading p99 in ms"] = {
            key: value["p99_ms"] for key, value in figures.items() if isinstance(value, dict)
        }
    if figures := figures_by_name.get("idle"):
        charts["idle CPU share per host by hosts"] = {
            key: value["cpu_share_per_host_total"]
            for key, value in figures.items()
            if key.startswith("hosts_")
        }
    return charts
