"""Answers to other gateways about leaves."""

import msgspec

from filbertreach.gateway._neighbours import compress
from filbertreach.leaf_observations import REPORTS_PATH, ObservationError, SharedObservations
from filbertreach.observability import (
    ClientDisconnectedError,
    Receive,
    RequestTooLargeError,
    Send,
    read_request_body,
    respond,
)
from filbertreach.schema import JsonDecoder, LeafReports, parse_count

_MAX_REPORT_BYTES = 128 * 1024
"""Bytes of a report. One with 200 observations has about 25 KB."""
_MAX_WAIT_SECONDS = 10.0
"""Longest wait of a poll."""
_PROBLEM_TYPE = "application/problem+json"

_REPORTS_DECODER = JsonDecoder(message=LeafReports)


async def answer_about_leaves(
    observations: SharedObservations,
    path: str,
    query: dict[str, str],
    receive: Receive,
    send: Send,
) -> None:
    """Takes a report, or answers with the merged states.

    Args:
        observations: Merges the reports.
        path: `REPORTS_PATH` or `STATES_PATH`.
        query: Parameters of the request.
        receive: Receives the body.
        send: Sends the answer.
    """
    try:
        if path == REPORTS_PATH:
            body = await read_request_body(receive, max_bytes=_MAX_REPORT_BYTES)
            observations.on_reports(_REPORTS_DECODER.decode(body))
            await respond(send, 200, b"{}", "application/json")
            return
        after, wait_ms = _count(query, "after"), _count(query, "wait_ms")
        wait_seconds = min(_MAX_WAIT_SECONDS, wait_ms / 1000.0)
        states = await observations.states_since(after, wait_seconds=wait_seconds)
    except ClientDisconnectedError:
        return
    except (RequestTooLargeError, ObservationError, ValueError) as error:
        status = 503 if isinstance(error, ObservationError) else 400
        detail = msgspec.json.encode({"title": f"unusable message: {error!r}"})
        await respond(send, status, detail, _PROBLEM_TYPE)
        return
    await respond(send, 200, compress(msgspec.json.encode(states)), "application/zlib")


def _count(query: dict[str, str], name: str) -> int:
    count = parse_count(query.get(name, "").encode())
    if count is None:
        raise ValueError(f"{name} is no count")
    return count
