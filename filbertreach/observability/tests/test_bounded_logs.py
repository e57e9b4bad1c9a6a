"""Guards against unbounded log volume, and against blocking on a reader that does not read."""

import json
import subprocess
import sys

import pytest
import structlog

from filbertreach.observability import LogLimiter, LogRate
from filbertreach.timing import FakeClock

_PROGRAM = """
import time
from filbertreach.observability import (
    DROPPED_LINES, LogLimiter, LogRate, configure_bounded_logs, get_logger,
)
limiter = LogLimiter(rate_by_kind={{}}, other=LogRate(1e9, 1e9))
writer = configure_bounded_logs(level="info", process="test", limiter=limiter)
with writer:
    started = time.monotonic()
    for number in range(20_000):
        get_logger("test").info("line", number=number, text="x" * 100)
    seconds = time.monotonic() - started
    dropped = DROPPED_LINES.labels("reader")._value.get()
    open({report!r}, "w").write(f"{{seconds}} {{dropped}}")
"""


def _passes(limiter: LogLimiter, kind: str) -> bool:
    try:
        limiter(None, "info", {"event": "request", "kind": kind})
    except structlog.DropEvent:
        return False
    return True


@pytest.mark.parametrize(
    ("kind", "seconds", "calls", "max_lines"),
    [
        ("good", 10.0, 1000, 4 + 2 * 10),
        # Ten times as many calls write no more lines.
        ("good", 10.0, 10_000, 4 + 2 * 10),
        ("unknown", 10.0, 1000, 1 + 1 * 10),
    ],
)
def test_lines_stay_within_their_rate(
    kind: str, seconds: float, calls: int, max_lines: int
) -> None:
    clock = FakeClock()
    limiter = LogLimiter(
        rate_by_kind={"good": LogRate(2.0, 4.0)}, other=LogRate(1.0, 1.0), clock=clock
    )
    passed = 0
    for _ in range(calls):
        passed += _passes(limiter, kind)
        clock.advance(seconds / calls)
    assert max_lines - 2 <= passed <= max_lines


def test_lines_of_one_kind_do_not_displace_those_of_another() -> None:
    limiter = LogLimiter(
        rate_by_kind={"good": LogRate(1.0, 1.0), "bad": LogRate(1.0, 1.0)},
        other=LogRate(1.0, 1.0),
        clock=FakeClock(),
    )
    for _ in range(100):
        _passes(limiter, "good")
    assert _passes(limiter, "bad")


def test_the_next_line_states_how_many_were_dropped() -> None:
    clock = FakeClock()
    limiter = LogLimiter(rate_by_kind={}, other=LogRate(1.0, 1.0), clock=clock)
    for _ in range(5):
        _passes(limiter, "good")
    clock.advance(1.0)
    event = limiter(None, "info", {"event": "request", "kind": "good"})
    assert event["dropped_before"] == 4


def test_a_reader_that_does_not_read_does_not_block_the_process(tmp_path: object) -> None:
    # Guards against requests that block on a full pipe.
    report = f"{tmp_path}/report"
    process = subprocess.Popen(
        [sys.executable, "-c", _PROGRAM.format(report=report)], stdout=subprocess.PIPE
    )
    try:
        assert process.wait(timeout=60) == 0
    finally:
        process.kill()
    with open(report) as file:
        dropped = float(file.read().split()[1])
    assert dropped > 0


def test_lines_are_json_objects() -> None:
    program = _PROGRAM.format(report="/dev/null").replace("20_000", "3")
    output = subprocess.run(
        [sys.executable, "-c", program], stdout=subprocess.PIPE, check=True, text=True
    ).stdout
    assert [json.loads(line)["number"] for line in output.splitlines()] == [0, 1, 2]
