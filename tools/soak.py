"""Runs the fleet under injected faults for minutes and checks the guarantees."""

from __future__ import annotations

import argparse
import random
import sys
import time

from filbertreach_standins.faults import run as fault_run

_DEFAULT_SECONDS = 300.0


def main() -> int:
    """Runs the soak.

    Returns:
        0 if every guarantee held, otherwise 1.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=_DEFAULT_SECONDS)
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(10**6))
    parser.add_argument("--hosts", type=int, default=3)
    parser.add_argument("--kind", action="append", default=[], help="only this kind of fault")
    arguments = parser.parse_args()
    print(f"seed: {arguments.seed}", flush=True)
    started = time.monotonic()
    result = fault_run.run(
        fault_run.FaultRunOptions(
            seed=arguments.seed,
            seconds=arguments.seconds,
            hosts=arguments.hosts,
            kinds=tuple(arguments.kind),
        )
    )
    print(fault_run.summary(result))
    print(f"seed: {arguments.seed}; took {time.monotonic() - started:.0f} s")
    return 1 if result.violations else 0


if __name__ == "__main__":
    sys.exit(main())
