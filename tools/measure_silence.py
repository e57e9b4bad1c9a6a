"""Measures the latency of calls sent on a connection that has stopped passing data."""

from __future__ import annotations

import argparse
import statistics
import sys
from collections.abc import Callable

from filbertreach_standins.faults import RelayedFleet, RunRecord, submit
from filbertreach_standins.fleet import FleetOptions

_WARM_UP_CALLS = 40
_DEADLINE_MS = 8000


def main() -> int:
    """Prints the median and the largest latency for each kind of connection.

    Returns:
        0 if every call was answered, otherwise 1.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    rounds = parser.parse_args().rounds
    answered = True
    with RelayedFleet(options=FleetOptions(services=1, dispatchers=2, wait="complete")) as fleet:

        def silence_leaf() -> None:
            fleet.leaves_by_id["fleet-0-a"].set_faults(silent_connections=True)

        def silence_dispatchers() -> None:
            for dispatcher in fleet.dispatchers:
                fleet.silence(dispatcher.name)

        faults: dict[str, Callable[[], None]] = {
            "none": lambda: None,
            "entry to dispatch": silence_dispatchers,
            "dispatch to entry": lambda: fleet.silence("entry-0"),
            "dispatch to one leaf of two": silence_leaf,
        }
        for name, silence in faults.items():
            times = [_measure(fleet, f"{name} {number}", silence) for number in range(rounds)]
            answered &= all(time is not None for time in times)
            latencies_ms = [time for time in times if time is not None]
            print(
                f"{name}: answered {len(latencies_ms)} of {rounds}, median "
                f"{statistics.median(latencies_ms):.0f} ms, largest {max(latencies_ms):.0f} ms",
                flush=True,
            )
    return 0 if answered else 1


def _measure(fleet: RelayedFleet, name: str, silence: Callable[[], None]) -> float | None:
    record = RunRecord()

    def send(tag: str) -> float | None:
        tag = tag.replace(" ", "-")
        body = fleet.query_body(
            tag, shards=["fleet-0"], deadline_ms=_DEADLINE_MS, query={"rows": 3}
        )
        request = submit(entry=fleet.entries[0], body=body, tag=tag, record=record)
        return float(request.body["took_ms"]) if request.status == 200 else None

    for number in range(_WARM_UP_CALLS):
        send(f"warm {name} {number}")
    silence()
    # Calls alternate between the leaves, so the slowest of four went to the silent one.
    times = [send(f"{name} {number}") for number in range(4)]
    return None if None in times else max(time for time in times if time is not None)


if __name__ == "__main__":
    sys.exit(main())
