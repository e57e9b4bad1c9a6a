"""A short seeded run of gateways under faults, and the seeds that once failed."""

import pathlib
import signal
import subprocess
import sys
import time

import pytest

from filbertreach_standins.gateways import run as gateway_run

_REGRESSIONS: dict[int, str] = {}
"""Seeds that broke a promise, with the cause."""


@pytest.mark.parametrize("seed", [7, *_REGRESSIONS])
def test_a_short_run_keeps_every_promise(seed: int) -> None:
    result = gateway_run.run(gateway_run.RunOptions(seed=seed, seconds=20.0))
    page = gateway_run.summary(result)
    assert result.violations == [], page
    served = sum(seen.status == 200 for seen in result.record.seen)
    assert served > 500, page


def _children(process_id: int) -> list[int]:
    tasks = pathlib.Path(f"/proc/{process_id}/task")
    return [
        int(child) for task in tasks.iterdir() for child in (task / "children").read_text().split()
    ]


def test_a_soak_that_is_terminated_leaves_no_process_behind() -> None:
    # SIGTERM ended the soak at once, and its gateways went on for ever.
    soak = pathlib.Path(__file__).parent.parent / "tools" / "soak.py"
    process = subprocess.Popen(
        [sys.executable, str(soak), "--seconds", "60", "--seed", "1", "--kind", "new route"],
        stdout=subprocess.DEVNULL,
    )
    try:
        deadline = time.monotonic() + 60.0
        # The stand-ins and three gateways.
        while len(children := _children(process.pid)) < 4:
            assert time.monotonic() < deadline and process.poll() is None
            time.sleep(0.1)
        time.sleep(2.0)
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=60) == 143
    finally:
        process.kill()
    assert not [child for child in children if pathlib.Path(f"/proc/{child}").exists()]
