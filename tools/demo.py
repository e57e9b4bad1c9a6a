"""Starts every daemon and stand-in on loopback, sends queries and prints the answers."""

from __future__ import annotations

import argparse
import json
import signal
import sys
import threading
from typing import Any

from filbertreach_standins.fleet import Fleet, FleetOptions

_HOSTS = 2
_QUERIES = 3
_ROWS_SHOWN = 5


def main() -> int:
    """Runs the demonstration.

    Returns:
        0 if all answers were complete and correct, otherwise 1.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--once", action="store_true", help="stop after the queries")
    arguments = parser.parse_args()
    print("starting stand-ins and daemons on loopback ...", flush=True)
    with Fleet(options=FleetOptions(hosts=_HOSTS)) as fleet:
        results = [_run_query(fleet, number) for number in range(_QUERIES)]
        correct = all(results)
        print(
            "all answers were complete and correct"
            if correct
            else "an answer was incomplete or wrong"
        )
        if not arguments.once:
            _wait_for_signal(fleet)
    print("all processes stopped")
    return 0 if correct else 1


def _run_query(fleet: Fleet, number: int) -> bool:
    entry = fleet.entries[number % len(fleet.entries)]
    body = fleet.query_body(
        f"demo-{number}", merge={"kind": "top", "order_by": "score", "limit": _ROWS_SHOWN}
    )
    status, answer = entry.query(body)
    print(f"\nPOST http://{entry.http}/v1/query -> {status}")
    print(json.dumps(answer, indent=2))
    return status == 200 and _is_correct(fleet, answer)


def _is_correct(fleet: Fleet, answer: dict[str, Any]) -> bool:
    scores = [row["score"] for row in answer["rows"]]
    versions = {row["version"] for row in answer["rows"]}
    return (
        answer["coverage"]["complete"]
        and sorted(answer["coverage"]["included"]) == sorted(fleet.shards())
        and versions == {answer["snapshot_version"]}
        and scores == sorted(scores, reverse=True)
        and len(scores) == _ROWS_SHOWN
    )


def _wait_for_signal(fleet: Fleet) -> None:
    print("\nThe fleet is running; stop it with Ctrl-C. Try:")
    body = json.dumps(fleet.query_body("my-first-query", shards=["fleet-0"]))
    print(f"  curl -s http://{fleet.entries[0].http}/readyz")
    print(
        f"  curl -s -H 'content-type: application/json' -d '{body}' "
        f"http://{fleet.entries[0].http}/v1/query"
    )
    print(f"  curl -s http://{fleet.dispatchers[0].http}/metrics")
    settings = fleet.ctl_settings()
    print(f"  .venv/bin/filbertreach-ctl status --settings {settings}", flush=True)
    stopped = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: stopped.set())
    stopped.wait()


if __name__ == "__main__":
    sys.exit(main())
