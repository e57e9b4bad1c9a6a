"""Runs gateways, or hosts of the product's own interface, under faults and checks the promises."""

from __future__ import annotations

import argparse
import random
import signal
import sys
import time

from filbertreach_standins.faults import run as fault_run
from filbertreach_standins.gateways import run as gateway_run

_DEFAULT_SECONDS = 300.0
_EXIT_TERMINATED = 143


def main() -> int:
    """Runs the soak, one seed after another until the time is over.

    Returns:
        0 if every promise held, otherwise 1.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--of", choices=["gateways", "hosts"], default="gateways")
    parser.add_argument("--seconds", type=float, default=_DEFAULT_SECONDS, help="of each seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds, counted upwards")
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(10**6))
    parser.add_argument("--hosts", type=int, default=3)
    parser.add_argument("--kind", action="append", default=[], help="only this kind of fault")
    arguments = parser.parse_args()
    # The default action would leave the processes of the run behind.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(_EXIT_TERMINATED))
    broken = []
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        print(f"seed: {seed}", flush=True)
        started = time.monotonic()
        page, kept = _run(seed, arguments)
        print(page)
        print(f"seed: {seed}; took {time.monotonic() - started:.0f} s", flush=True)
        if not kept:
            broken.append(seed)
    print(f"{len(broken)} of {arguments.seeds} seeds broken: {broken}")
    return 1 if broken else 0


def _run(seed: int, arguments: argparse.Namespace) -> tuple[str, bool]:
    kinds = tuple(arguments.kind)
    if arguments.of == "gateways":
        played = gateway_run.run(
            gateway_run.RunOptions(
                seed=seed, seconds=arguments.seconds, gateways=arguments.hosts, kinds=kinds
            )
        )
        return gateway_run.summary(played), not played.violations
    result = fault_run.run(
        fault_run.FaultRunOptions(
            seed=seed, seconds=arguments.seconds, hosts=arguments.hosts, kinds=kinds
        )
    )
    return fault_run.summary(result), not result.violations


if __name__ == "__main__":
    sys.exit(main())
