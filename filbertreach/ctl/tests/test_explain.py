"""Tests of `explain` on incomplete logs of hosts whose clocks differ."""

import datetime
import json
import subprocess
import sys
from typing import Any

import pytest

from filbertreach.ctl._request_timeline import build_timeline, parse_line

_START = datetime.datetime(2026, 12, 4, 10, 0, tzinfo=datetime.UTC)


def _line(host: str, seconds: float, event: str, **fields: Any) -> str:
    at = (_START + datetime.timedelta(seconds=seconds)).isoformat()
    return json.dumps({**fields, "event": event, "timestamp": at, "process": host})


def _request(host: str, seconds: float, request_id: str, *leaves: str, **fields: Any) -> str:
    part = {
        "service": "stock",
        "leaves": list(leaves),
        "faults": ["silent"],
        "end": "failed",
        "pending": leaves[-1] if leaves else None,
    }
    exceptions = [part] if leaves else []
    return _line(host, seconds, "request", request=request_id, exceptions=exceptions, **fields)


_LOGS = [
    # The clock of host b is 100 s ahead.
    _line("a", 0.0, "configuration in force", version=3),
    _line("b", 100.0, "configuration in force", version=3),
    _line("a", 1.0, "leaf listed", leaf="leaf-1", service="stock"),
    _line("a", 50.0, "store lost", error="status 503"),
    _request("b", 160.5, "other", "leaf-1", "leaf-2"),
    _request("b", 60.0, "far away", "leaf-1"),
    _request("a", 60.0, "wanted", "leaf-1", dropped_before=7),
    _line("a", 61.0, "leaf unlisted", leaf="leaf-1", reason="removed"),
    _line("a", 62.0, "store regained"),
]


def _timeline(request_id: str, lines: list[str]) -> Any:
    return build_timeline(request_id, [line for text in lines if (line := parse_line(text))])


def test_timeline_has_host_state_and_failures_of_the_leaf_on_other_hosts() -> None:
    timeline = _timeline("wanted", _LOGS)
    assert [line.event for line in timeline.request_lines] == ["request"]
    assert [line.event for line in timeline.host_state_lines] == [
        "configuration in force",
        "store lost",
    ]
    assert [line.event for line in timeline.leaf_lines] == ["leaf unlisted"]
    # After clock correction, one request of the other host is within the window and one is not.
    assert timeline.failures_by_leaf == {"leaf-1": 1}
    assert timeline.clock_offset_by_host == {"b": pytest.approx(100.0)}
    assert timeline.dropped == 7


def test_a_refused_request_shows_the_limits_in_force_of_its_leaves() -> None:
    part = {
        "service": "stock",
        "leaves": [],
        "faults": ["request limit"],
        "end": "not_run",
        "pending": None,
    }
    lines = [
        _line("a", 0.0, "leaf limits its requests", leaf="leaf-1", service="stock", per_second=9.0),
        _line("a", 1.0, "leaf limits its requests", leaf="leaf-1", service="stock", per_second=7.0),
        _line("a", 2.0, "leaf limits its requests", leaf="leaf-2", service="stock", per_second=5.0),
        _line("a", 3.0, "leaf no longer limits its requests", leaf="leaf-2", service="stock"),
        _line("a", 4.0, "leaf limits its requests", leaf="leaf-3", service="other", per_second=1.0),
        _line("a", 90.0, "request", request="wanted", outcome="limited", exceptions=[part]),
    ]
    timeline = _timeline("wanted", lines)
    assert [line.fields["per_second"] for line in timeline.host_state_lines] == [7.0]


def test_a_clock_that_jumps_does_not_reorder_the_lines_of_a_host() -> None:
    lines = [
        _line("a", 500.0, "configuration in force", version=2),
        _line("a", 0.0, "store lost", error="x"),
        _request("a", 1.0, "wanted"),
        _line("a", 0.5, "store followed", through="b"),
    ]
    timeline = _timeline("wanted", lines)
    assert [line.event for line in timeline.host_state_lines] == [
        "configuration in force",
        "store lost",
    ]


@pytest.mark.parametrize(
    "text",
    [
        "",
        "no object",
        "{",
        "{}",
        '{"event": "x"}',
        "[1]",
        '{"event": "request", "timestamp": "yesterday", "process": "a"}',
        '12.3 a {"event": "request", "timestamp": 7, "process": "a"}',
    ],
)
def test_lines_of_other_programs_are_ignored(text: str) -> None:
    assert parse_line(text) is None


def test_text_before_the_object_is_ignored() -> None:
    line = parse_line(f"  12.3 host-a {_LOGS[0]}")
    assert line is not None and line.host == "a"


@pytest.mark.parametrize(
    ("request_id", "code", "expected"),
    [
        ("wanted", 0, "service stock: asked leaf-1; faults: silent; still waiting for leaf-1"),
        ("absent", 1, "no line names request absent"),
    ],
)
def test_the_command_reads_standard_input(request_id: str, code: int, expected: str) -> None:
    result = subprocess.run(
        [sys.executable, "-m", "filbertreach.ctl", "explain", request_id],
        input="\n".join(_LOGS),
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    assert result.returncode == code
    assert expected in result.stdout + result.stderr


def test_unreadable_log_file_is_named() -> None:
    command = [sys.executable, "-m", "filbertreach.ctl", "explain", "x", "/nowhere/front.log"]
    result = subprocess.run(command, capture_output=True, text=True, check=False, timeout=60)
    assert result.returncode == 2
    assert "can't read /nowhere/front.log" in result.stderr
