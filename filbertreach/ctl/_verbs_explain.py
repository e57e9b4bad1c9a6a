"""Verb that reconstructs a request from the logs of gateways."""

import argparse
import pathlib
import sys
from collections.abc import Iterator
from typing import Any

from filbertreach.ctl._context import Context
from filbertreach.ctl._errors import RefusedError, UsageError
from filbertreach.ctl._registry import verb
from filbertreach.ctl._report import Report
from filbertreach.ctl._request_timeline import (
    LogLine,
    RequestTimeline,
    build_timeline,
    format_line,
    parse_line,
)

_MEANING_BY_END = {
    "answered": "answered after an exception",
    "failed": "no usable answer; it may have run",
    "not_run": "ran nowhere",
    "pending": "no answer when the query ended",
}


def _arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("request", metavar="ID", help="id of the request")
    parser.add_argument(
        "logs", metavar="FILE", nargs="*", help="logs of any hosts; standard input by default"
    )


@verb("explain", help="what the logs say about one request", arguments=_arguments)
async def explain(context: Context) -> Report:
    """Reconstructs what happened to a request from the logs of gateways.

    Reads files or standard input, with the lines of as many hosts as there are. Text before the
    JSON object of a line is ignored, and so are lines of other programs. Times are those of the
    host that served the request, relative to its last line about it. Does not ask the platform.
    Exit code 0: found; 1: no line names the request.
    """
    request_id = context.arguments.request
    lines = [line for text in _read_logs(context.arguments.logs) if (line := parse_line(text))]
    timeline = build_timeline(request_id, lines)
    if not timeline.request_lines:
        hosts = len({line.host for line in lines})
        raise RefusedError(
            f"no line names request {request_id}",
            lines=[
                f"{len(lines)} lines of {hosts} hosts were read; {timeline.dropped} lines about "
                "requests had been left out of them under load",
                "the request may have reached another host, or none",
            ],
        )
    return Report(_timeline_lines(timeline), _timeline_data(timeline))


def _read_logs(files: list[str]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
        return
    for file in files:
        try:
            with pathlib.Path(file).open(encoding="utf-8", errors="replace") as log:
                yield from log
        except OSError as error:
            raise UsageError(f"can't read {file}: {error.strerror}") from error


def _timeline_lines(timeline: RequestTimeline) -> list[str]:
    last = timeline.request_lines[-1]
    text = [f"request {last.fields['request']} on {last.host}, by the clock of that host"]
    text.append("known before:")
    text += [f"  {format_line(line, at=last.at)}" for line in timeline.host_state_lines] or [
        "  no line"
    ]
    text.append("the request:")
    text += [f"  {format_line(line, at=last.at)}" for line in timeline.request_lines]
    for part in last.fields.get("exceptions", []):
        text.append(f"  {_format_part(part)}")
    text += _leaf_lines(timeline, last)
    if timeline.dropped:
        text.append(
            f"{timeline.dropped} lines about requests were left out of these logs under load"
        )
    return text


def _format_part(part: dict[str, Any]) -> str:
    asked = ", then ".join(part["leaves"]) or "no leaf"
    faults = f"; faults: {', '.join(part['faults'])}" if part["faults"] else ""
    pending = f"; still waiting for {part['pending']}" if part["pending"] else ""
    meaning = _MEANING_BY_END.get(part["end"], part["end"])
    return f"service {part['service']}: asked {asked}{faults}{pending}: {meaning}"


def _leaf_lines(timeline: RequestTimeline, last: LogLine) -> list[str]:
    text = []
    if timeline.failures_by_leaf:
        text.append("the leaves it was sent to:")
    for leaf, count in timeline.failures_by_leaf.items():
        text.append(f"  {leaf}: in {count} other requests with exceptions within 3 s, on all hosts")
        text += [
            f"    {format_line(line, at=last.at)}"
            for line in timeline.leaf_lines
            if line.fields.get("leaf") == leaf
        ]
    for host, seconds in timeline.clock_offset_by_host.items():
        if abs(seconds) > 1.0:
            text.append(f"the clock of {host} is about {seconds:+.1f} s ahead")
    return text


def _timeline_data(timeline: RequestTimeline) -> dict[str, Any]:
    return {
        "host": timeline.request_lines[-1].host,
        "lines": [line.fields for line in timeline.request_lines],
        "beliefs": [line.fields for line in timeline.host_state_lines],
        "leaves": timeline.failures_by_leaf,
        "dropped": timeline.dropped,
    }
