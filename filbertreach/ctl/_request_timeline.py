"""Timeline of one request, built from the log lines of gateways."""

import datetime
import json
import statistics
from collections.abc import Iterable
from typing import Any, NamedTuple

_HOST_STATE_WINDOW_SECONDS = 30.0
"""Changes of the host's state and of its listed leaves are included within this time."""
_FAILURE_WINDOW_SECONDS = 3.0
"""Other requests with exceptions at the same leaf are counted within this time."""
_REQUEST_EVENTS = frozenset({"request", "refused", "caller left"})
_HOST_STATE_EVENTS = frozenset(
    {
        "configuration in force",
        "configuration ignored",
        "history lost",
        "process was paused",
        "settings reloaded",
        "started",
        "stopping",
        "store followed",
        "store lost",
        "store regained",
    }
)
_LEAF_EVENTS = frozenset({"leaf listed", "leaf unlisted"})
_LIMIT_BEGINS, _LIMIT_ENDS = "leaf limits its requests", "leaf no longer limits its requests"
_LIMIT_FAULT = "request limit"
"""Fault of a service whose leaves were all at their request limits."""
_HIDDEN_FIELDS = frozenset({"event", "level", "logger", "process", "timestamp", "kind"})


class LogLine(NamedTuple):
    """One line of a gateway's log."""

    host: str
    """Host that wrote the line."""
    at: float
    """Unix time by the clock of that host, in seconds."""
    event: str
    """Log event."""
    fields: dict[str, Any]
    """All fields, including the event and the time."""


class RequestTimeline(NamedTuple):
    """Everything in the logs that concerns one request."""

    request_lines: list[LogLine]
    """Lines about the request, in the order written; empty if the logs have none."""
    host_state_lines: list[LogLine]
    """Changes of the host's state before the request, oldest first, and the request limits in force
    that kept it from leaves."""
    leaf_lines: list[LogLine]
    """Lines of the host that list or unlist a leaf to which the request was sent."""
    failures_by_leaf: dict[str, int]
    """Number of other requests on all hosts that had an exception at a leaf around that time."""
    dropped: int
    """Lines about requests that the hosts dropped from their logs under load."""
    clock_offset_by_host: dict[str, float]
    """Estimated seconds by which the clock of each other host is ahead of the request's host."""


def parse_line(line: str) -> LogLine | None:
    """Parses a log line; text before the JSON object, such as a time and a host, is ignored.

    Args:
        line: Line of a log file.

    Returns:
        The parsed line; None if it was not written by a gateway.
    """
    start = line.find("{")
    if start < 0:
        return None
    try:
        fields: dict[str, Any] = json.loads(line[start:])
        at = datetime.datetime.fromisoformat(fields["timestamp"]).timestamp()
        return LogLine(str(fields["process"]), at, str(fields["event"]), fields)
    except (KeyError, TypeError, ValueError):
        return None


def build_timeline(request_id: str, lines: Iterable[LogLine]) -> RequestTimeline:
    """Collects the log lines that concern a request.

    Lines of one host keep the order in which they were written, because its clock may jump. Times
    of different hosts are compared after correction by the estimated offsets of their clocks.

    Args:
        request_id: Id of the request.
        lines: Lines of any number of hosts, those of each host in the order written.

    Returns:
        The timeline; without request lines if the request is not in the logs.
    """
    lines_by_host: dict[str, list[LogLine]] = {}
    for line in lines:
        lines_by_host.setdefault(line.host, []).append(line)
    matches = [
        (host, position, line)
        for host, written in lines_by_host.items()
        for position, line in enumerate(written)
        if line.event in _REQUEST_EVENTS and line.fields.get("request") == request_id
    ]
    dropped = sum(
        line.fields.get("dropped_before", 0)
        for written in lines_by_host.values()
        for line in written
        if line.event in _REQUEST_EVENTS
    )
    if not matches:
        return RequestTimeline([], [], [], {}, dropped, {})
    host, position, line = matches[-1]
    before = lines_by_host[host][:position]
    leaves = _leaves_of(line)
    clock_offset_by_host = {
        other: _estimate_clock_offset(lines_by_host[host], written)
        for other, written in lines_by_host.items()
        if other != host
    }
    return RequestTimeline(
        request_lines=[line for _, _, line in matches],
        host_state_lines=_latest_host_state(before, line.at) + _limits_in_force(before, line),
        leaf_lines=[
            other
            for other in lines_by_host[host]
            if other.event in _LEAF_EVENTS
            and other.fields.get("leaf") in leaves
            and abs(other.at - line.at) < _HOST_STATE_WINDOW_SECONDS
        ],
        failures_by_leaf=_count_failures(line, leaves, lines_by_host, clock_offset_by_host),
        dropped=dropped,
        clock_offset_by_host=clock_offset_by_host,
    )


def _leaves_of(line: LogLine) -> set[str]:
    return {leaf for part in line.fields.get("exceptions", []) for leaf in part["leaves"]}


def _latest_host_state(before: list[LogLine], at: float) -> list[LogLine]:
    """Returns the latest recent line of each state event; that of the configuration at any age."""
    last_by_event = {line.event: line for line in before if line.event in _HOST_STATE_EVENTS}
    kept = [
        line
        for line in last_by_event.values()
        if line.event == "configuration in force" or at - line.at < _HOST_STATE_WINDOW_SECONDS
    ]
    return sorted(kept, key=before.index)


def _limits_in_force(before: list[LogLine], line: LogLine) -> list[LogLine]:
    """Returns the latest limit of each leaf whose limit kept the request from its service."""
    services = {
        part["service"]
        for part in line.fields.get("exceptions", [])
        if _LIMIT_FAULT in part["faults"]
    }
    line_by_leaf: dict[str, LogLine] = {}
    for other in before:
        if other.event == _LIMIT_BEGINS and other.fields.get("service") in services:
            line_by_leaf[other.fields["leaf"]] = other
        elif other.event == _LIMIT_ENDS:
            line_by_leaf.pop(other.fields.get("leaf", ""), None)
    return list(line_by_leaf.values())


def _estimate_clock_offset(reference: list[LogLine], other: list[LogLine]) -> float:
    """Estimates how far another clock is ahead, from the versions that both hosts put in force."""
    at_by_version = {
        line.fields.get("version"): line.at
        for line in reference
        if line.event == "configuration in force"
    }
    differences = [
        line.at - at_by_version[line.fields.get("version")]
        for line in other
        if line.event == "configuration in force" and line.fields.get("version") in at_by_version
    ]
    return statistics.median(differences) if differences else 0.0


def _count_failures(
    line: LogLine,
    leaves: set[str],
    lines_by_host: dict[str, list[LogLine]],
    clock_offset_by_host: dict[str, float],
) -> dict[str, int]:
    counts = dict.fromkeys(sorted(leaves), 0)
    for host, written in lines_by_host.items():
        for other in written:
            if other.event != "request" or other.fields.get("request") == line.fields["request"]:
                continue
            if (
                abs(other.at - clock_offset_by_host.get(host, 0.0) - line.at)
                > _FAILURE_WINDOW_SECONDS
            ):
                continue
            for part in other.fields.get("exceptions", []):
                if part["end"] != "answered" or part["faults"]:
                    for leaf in leaves.intersection(part["leaves"]):
                        counts[leaf] += 1
    return counts


def format_line(line: LogLine, *, at: float) -> str:
    """Formats a line for display.

    Args:
        line: The log line.
        at: Reference time, in seconds; the time of the line is shown relative to it.

    Returns:
        Relative time, host, event and fields.
    """
    fields = " ".join(
        f"{name}={json.dumps(value) if isinstance(value, list) else value}"
        for name, value in line.fields.items()
        if name not in _HIDDEN_FIELDS and name != "exceptions"
    )
    return f"{line.at - at:+9.3f} s {line.host}: {line.event} {fields}".rstrip()
