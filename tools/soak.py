"""Runs gateways, or hosts with the native API, under injected faults and checks the guarantees."""

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
    """Runs the soak test once for each seed.

    Returns:
        0 if no guarantee was violated, otherwise 1.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--of", choices=["gateways", "hosts"], default="gateways")
    parser.add_argument(
        "--seconds", type=float, default=_DEFAULT_SECONDS, help="duration for each seed"
    )
    parser.add_argument("--seeds", type=int, default=1, help="number of consecutive seeds")
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(10**6))
    parser.add_argument("--hosts", type=int, default=3)
    parser.add_argument(
        "--kind", action="append", default=[], help="inject only this kind of fault; repeatable"
    )
    parser.add_argument(
        "--accounts",
        action="store_true",
        help="gateways only: client accounts, quotas, evacuations, cold and leaving leaves",
    )
    arguments = parser.parse_args()
    # The default action would end this process without stopping the processes of the run.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(_EXIT_TERMINATED))
    failed_seeds = []
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        print(f"seed: {seed}", flush=True)
        started = time.monotonic()
        report, passed = _run(seed, arguments)
        print(report)
        print(f"seed: {seed}; took {time.monotonic() - started:.0f} s", flush=True)
        if not passed:
            failed_seeds.append(seed)
    print(f"{len(failed_seeds)} of {arguments.seeds} seeds violated a guarantee: {failed_seeds}")
    return 1 if failed_seeds else 0


def _run(seed: int, arguments: argparse.Namespace) -> tuple[str, bool]:
    kinds = tuple(arguments.kind)
    if arguments.of == "gateways":
        gateway_result = gateway_run.run(
            gateway_run.RunOptions(
                seed=seed,
                seconds=arguments.seconds,
                gateways=arguments.hosts,
                kinds=kinds,
                accounts=arguments.accounts,
            )
        )
        return gateway_run.summary(gateway_result), not gateway_result.violations
    result = fault_run.run(
        fault_run.FaultRunOptions(
            seed=seed, seconds=arguments.seconds, hosts=arguments.hosts, kinds=kinds
        )
    )
    return fault_run.summary(result), not result.violations


if __name__ == "__main__":
    sys.exit(main())
