"""Calls to leaves over HTTP, by the contract in docs/platform-contract.md."""

from typing import Any, NamedTuple, TypedDict

import httpcore
import msgspec

from filbertreach.dispatch._errors import (
    InvalidResponseError,
    LeafCancelledError,
    LeafError,
    LeafFailedError,
    LeafRefusedError,
    LeafReport,
    LeafTimeoutError,
    LeafUnreachableError,
    VersionUnavailableError,
)
from filbertreach.document import Leaf
from filbertreach.receive_limits import LimitedBackend, MemoryBudget, read_body
from filbertreach.schema import Call, Int64, InvalidMessageError, JsonDecoder, parse_count

_MAX_BODY_BYTES = 8 * 1024 * 1024
_MAX_RESPONSE_BYTES = 2 * _MAX_BODY_BYTES
"""Bytes of a response with its head and framing."""
_MAX_HELD_BYTES = 32 * 1024 * 1024
"""Bytes of the incomplete bodies of all leaves."""
_STATUS_OK = 200
_ERROR_BY_STATUS: dict[int, type[LeafError]] = {
    409: VersionUnavailableError,
    499: LeafCancelledError,
    503: LeafRefusedError,
    504: LeafTimeoutError,
}


class SearchBody(TypedDict):
    """Body of a leaf's answer."""

    call_id: str
    """Id of the call, as sent in the request."""
    shard: str
    """Shard that the rows come from."""
    version: Int64
    """Index version that the leaf read."""
    rows: list[dict[str, Any]]
    """Rows."""
    row_count: Int64
    """Number of rows; detects a truncated answer."""


class LeafResponse(NamedTuple):
    """A response with its complete body."""

    status: int
    """HTTP status."""
    not_started: bool
    """Whether the leaf states that the call did not start."""
    report: LeafReport
    """State of the leaf as reported in the headers."""
    body: bytes
    """Body."""


_RESPONSE_MEMORY = MemoryBudget(max_bytes=_MAX_HELD_BYTES)
_NETWORK = LimitedBackend(max_response_bytes=_MAX_RESPONSE_BYTES)
_BODY_DECODER = JsonDecoder(message=SearchBody, has_open_values=True)
_BODY_ENCODER = msgspec.json.Encoder()


def new_connection(leaf: Leaf) -> httpcore.AsyncHTTPConnection:
    """Creates a connection to a leaf; it is opened by the first request.

    Args:
        leaf: The leaf.
    """
    host, port = leaf.address.rsplit(":", 1)
    origin = httpcore.Origin(scheme=b"http", host=host.encode(), port=int(port))
    return httpcore.AsyncHTTPConnection(
        origin=origin, keepalive_expiry=None, network_backend=_NETWORK
    )


async def request(
    *,
    connection: httpcore.AsyncHTTPConnection,
    leaf: Leaf,
    method: str,
    path: str,
    headers: list[tuple[bytes, bytes]],
    content: bytes = b"",
) -> LeafResponse:
    """Sends one request and reads the complete response.

    Args:
        connection: Idle connection to the leaf.
        leaf: The leaf.
        method: HTTP method.
        path: Path with a leading slash.
        headers: Headers besides host and content-length.
        content: Body.

    Returns:
        The response.

    Raises:
        LeafUnreachableError: No connection could be opened; nothing was sent.
        LeafFailedError: The connection was lost after it had been opened.
        InvalidResponseError: The response violates HTTP or is too large.
    """
    host, port = leaf.address.rsplit(":", 1)
    outgoing = httpcore.Request(
        method=method,
        url=httpcore.URL(scheme=b"http", host=host.encode(), port=int(port), target=path.encode()),
        headers=[
            (b"host", leaf.address.encode()),
            (b"content-length", str(len(content)).encode()),
            *headers,
        ],
        content=content,
    )
    try:
        response = await connection.handle_async_request(outgoing)
        try:
            body = await read_body(
                response, max_bytes=_MAX_BODY_BYTES, memory=_RESPONSE_MEMORY, sender=leaf.id
            )
        finally:
            await response.aclose()
    except (
        httpcore.ConnectError,
        httpcore.ConnectTimeout,
        httpcore.ConnectionNotAvailable,
    ) as error:
        raise LeafUnreachableError(message=f"cannot connect to {leaf.id}: {error}") from error
    except (httpcore.RemoteProtocolError, httpcore.LocalProtocolError) as error:
        if "disconnected" in str(error):
            raise LeafFailedError(message=f"{leaf.id}: {error}", started=True) from error
        raise InvalidResponseError(message=f"{leaf.id}: {error}", started=True) from error
    except (httpcore.NetworkError, httpcore.TimeoutException, OSError) as error:
        raise LeafFailedError(message=f"{leaf.id}: {error!r}", started=True) from error
    header_by_name = {name.lower(): value for name, value in response.headers}
    return LeafResponse(
        status=response.status,
        not_started=header_by_name.get(b"x-not-started") == b"true",
        report=_report(header_by_name),
        body=body,
    )


async def search(
    *,
    connection: httpcore.AsyncHTTPConnection,
    leaf: Leaf,
    call: Call,
    call_id: str,
    remaining_seconds: float,
    trace_parent: str,
) -> tuple[SearchBody, LeafReport]:
    """Sends a search call and validates the response.

    Args:
        connection: Idle connection to the leaf.
        leaf: The leaf.
        call: The call.
        call_id: Id of this attempt at the leaf.
        remaining_seconds: Time until the deadline.
        trace_parent: W3C traceparent of the attempt's span, or an empty string.

    Returns:
        The validated body and the state that the leaf reports.

    Raises:
        LeafError: There is no usable answer; the subclass gives the cause.
    """
    headers = [
        (b"content-type", b"application/json"),
        (b"x-call-id", call_id.encode()),
        (b"x-deadline-ms", str(max(1, int(remaining_seconds * 1000))).encode()),
        (b"x-index-version", str(call["version"]).encode()),
        (b"x-shard", call["shard"].encode()),
        (b"x-rank", call["rank"].encode()),
    ]
    if trace_parent:
        headers.append((b"traceparent", trace_parent.encode()))
    response = await request(
        connection=connection,
        leaf=leaf,
        method="POST",
        path="/v1/search",
        headers=headers,
        content=_BODY_ENCODER.encode(call["body"]),
    )
    if response.status != _STATUS_OK:
        error = _status_error(leaf, response)
        error.report = response.report
        raise error
    return _checked_body(leaf, call, call_id, response.body), response.report


def _report(header_by_name: dict[bytes, bytes]) -> LeafReport:
    state = header_by_name.get(b"x-leaf-state", b"").decode("latin-1")
    in_flight, _, queued = header_by_name.get(b"x-load", b"").partition(b",")
    return LeafReport(state, parse_count(in_flight), parse_count(queued))


def _status_error(leaf: Leaf, response: LeafResponse) -> LeafError:
    error_class = _ERROR_BY_STATUS.get(response.status, LeafFailedError)
    return error_class(
        message=f"{leaf.id} answered with status {response.status}",
        started=not response.not_started,
    )


def _checked_body(leaf: Leaf, call: Call, call_id: str, body: bytes) -> SearchBody:
    try:
        answer = _BODY_DECODER.decode(body)
    except InvalidMessageError as error:
        raise InvalidResponseError(message=f"{leaf.id}: {error}", started=True) from error
    expected = {"call_id": call_id, "shard": call["shard"], "version": call["version"]}
    for name, value in expected.items():
        if answer[name] != value:  # type: ignore[literal-required]
            text = f"{leaf.id} answered with {name} {answer[name]!r}, not {value!r}"  # type: ignore[literal-required]
            raise InvalidResponseError(message=text, started=True)
    if answer["row_count"] != len(answer["rows"]):
        text = f"{leaf.id} sent {len(answer['rows'])} of {answer['row_count']} rows"
        raise InvalidResponseError(message=text, started=True)
    ids = [row["id"] for row in answer["rows"] if isinstance(row.get("id"), str | int)]
    if len(set(ids)) != len(ids):
        text = f"{leaf.id} sent {len(ids) - len(set(ids))} duplicate row ids"
        raise InvalidResponseError(message=text, started=True)
    return answer
