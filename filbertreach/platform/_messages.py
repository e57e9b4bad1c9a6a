"""Requests and answers as callers and leaves exchange them over HTTP."""

from typing import NamedTuple

Headers = tuple[tuple[bytes, bytes], ...]

READY_PATH = "/-/ready"
"""Path of the balancer's question whether new connections are wanted."""

_REQUEST_ID = b"x-request-id"
_DEADLINE = b"x-deadline-ms"
_STAMP = b"x-server-stamp"
_EXPECTED_LEAF = b"x-expect-instance"
_LOAD = b"x-server-load"
_NOT_RUN = b"x-not-executed"
_PART_STAMPS = b"X-Part-Stamps"
_MISSING_PARTS = b"X-Missing-Parts"

_RECORD_BYTES = 16
"""Size of one record of a shard's answer."""
_PROMISE_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request has not run."""
_CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
"""Headers that concern one connection, or that the sender of a message sets itself."""
_OWN_REQUEST_HEADERS = frozenset({_DEADLINE, _EXPECTED_LEAF, b"x-server-stamp"})
_OWN_RESPONSE_HEADERS = frozenset({_LOAD, _NOT_RUN, b"x-instance-id"})


class CallerRequest(NamedTuple):
    """A request of a caller, with its body read whole."""

    id: str
    """Id of this attempt; empty if the caller sent none."""
    method: str
    """HTTP method."""
    host: str
    """Host name without a port, in lower case."""
    path: str
    """Path, as sent."""
    target: bytes
    """Path and query, as sent."""
    headers: Headers
    """Headers that are forwarded."""
    body: bytes
    """Body."""
    remaining_seconds: float | None
    """Time that the caller still waits; None if it did not say."""


class LeafLoad(NamedTuple):
    """Load that a leaf reports of itself."""

    running: int
    """Requests that run."""
    queued: int
    """Requests that wait."""
    slots: int
    """Requests that can run at once."""


class LeafAnswer(NamedTuple):
    """A whole answer of a leaf."""

    request_id: str
    """Id of the request that is answered; empty if the leaf did not echo one."""
    status: int
    """HTTP status."""
    headers: Headers
    """Headers that are forwarded."""
    body: bytes
    """Body."""
    stamp: bytes
    """The leaf's signature; empty if there is none."""
    not_run: bool
    """Whether the leaf states that it did not run the request."""
    misdirected: bool
    """Whether another leaf than the expected one answered."""
    load: LeafLoad | None
    """Reported load."""

    @property
    def is_success(self) -> bool:
        """Whether the answer is a signed success."""
        return 200 <= self.status < 300 and bool(self.stamp)

    @property
    def may_be_returned(self) -> bool:
        """Whether a caller would understand this answer of a request that ran."""
        return bool(self.stamp) and self.status not in _PROMISE_STATUSES and self.status >= 200


class CallerAnswer(NamedTuple):
    """An answer to a caller."""

    status: int
    """HTTP status."""
    headers: Headers
    """Headers."""
    body: bytes
    """Body."""


def read_request_head(
    *,
    method: str,
    target: bytes,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
) -> CallerRequest:
    """Reads the parts of a caller's request that decide how it is handled.

    Args:
        method: HTTP method.
        target: Path and query.
        headers: Headers, names in lower case.
        body: Body.
    """
    dropped = set(_CONNECTION_HEADERS)
    request_id = host = ""
    remaining: float | None = None
    for name, value in headers:
        if name == b"connection":
            dropped.update(token.strip().lower() for token in value.split(b","))
        elif name == _REQUEST_ID:
            request_id = value.decode("latin-1")
        elif name == b"host":
            host = _host_name(value)
        elif name == _DEADLINE and value.isdigit():
            remaining = int(value) / 1000.0
    dropped -= {b"host", _REQUEST_ID}
    dropped |= _OWN_REQUEST_HEADERS
    return CallerRequest(
        id=request_id,
        method=method,
        host=host,
        path=target.partition(b"?")[0].decode("latin-1"),
        target=target,
        headers=tuple((n, v) for n, v in headers if n not in dropped),
        body=body,
        remaining_seconds=remaining,
    )


def _host_name(value: bytes) -> str:
    text = value.decode("latin-1").strip().lower()
    name, separator, port = text.rpartition(":")
    return name if separator and port.isdigit() else text


def encode_leaf_request(request: CallerRequest, *, leaf_id: str, remaining_seconds: float) -> bytes:
    """Encodes a request for a leaf.

    Args:
        request: Request of the caller.
        leaf_id: Leaf that is to run it; another one at the same address refuses it.
        remaining_seconds: Time after which the leaf stops work.
    """
    lines = [request.method.encode() + b" " + request.target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in request.headers]
    milliseconds = max(1, int(remaining_seconds * 1000))
    lines.append(_DEADLINE + b": " + str(milliseconds).encode())
    lines.append(_EXPECTED_LEAF + b": " + leaf_id.encode())
    if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(b"content-length: " + str(len(request.body)).encode())
    return b"\r\n".join(lines) + b"\r\n\r\n" + request.body


def read_leaf_answer(*, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> LeafAnswer:
    """Reads a whole response of a leaf.

    Args:
        status: HTTP status.
        headers: Headers, names in lower case.
        body: Body.
    """
    values = dict(headers)
    dropped = _CONNECTION_HEADERS | _OWN_RESPONSE_HEADERS
    # An encoded body is not the leaf's own, so its signature does not cover it.
    encoded = b"content-encoding" in values
    return LeafAnswer(
        request_id=values.get(_REQUEST_ID, b"").decode("latin-1"),
        status=status,
        headers=tuple((n, v) for n, v in headers if n not in dropped),
        body=body,
        stamp=b"" if encoded else values.get(_STAMP, b"").strip(),
        not_run=_NOT_RUN in values or status == 421,
        misdirected=status == 421,
        load=_load(values.get(_LOAD)),
    )


def _load(value: bytes | None) -> LeafLoad | None:
    if value is None:
        return None
    parts = value.split(b",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    return LeafLoad(*(int(part) for part in parts))


def forward_answer(answer: LeafAnswer) -> CallerAnswer:
    """Makes the answer to a caller from the answer of the one leaf that ran its request.

    Args:
        answer: Answer of the leaf.
    """
    return CallerAnswer(answer.status, answer.headers, answer.body)


def merge_answers(
    answers: list[LeafAnswer], *, missing: int, top: int, request: CallerRequest
) -> CallerAnswer:
    """Makes the answer to a caller from the answers of many shards.

    Args:
        answers: Signed successes, one a shard.
        missing: Shards that are not included.
        top: Most records in the answer.
        request: Request of the caller.
    """
    records: list[bytes] = []
    for answer in answers:
        body = answer.body
        end = len(body) - len(body) % _RECORD_BYTES
        records += [body[i : i + _RECORD_BYTES] for i in range(0, end, _RECORD_BYTES)]
    records.sort(reverse=True)
    headers = (
        (b"content-type", b"application/octet-stream"),
        (_REQUEST_ID, request.id.encode("latin-1")),
        (_PART_STAMPS, b", ".join(answer.stamp for answer in answers)),
        (_MISSING_PARTS, str(missing).encode()),
    )
    return CallerAnswer(200, headers, b"".join(records[:top]))


def refuse(status: int, reason: str, *, retry_after_seconds: float | None = None) -> CallerAnswer:
    """Makes an answer of the tier itself, which bears no leaf's signature.

    Args:
        status: HTTP status.
        reason: Reason for a person.
        retry_after_seconds: When the caller should try again.
    """
    headers: list[tuple[bytes, bytes]] = [(b"content-type", b"text/plain; charset=utf-8")]
    if retry_after_seconds is not None:
        headers.append((b"retry-after", f"{retry_after_seconds:.3f}".encode()))
    return CallerAnswer(status, tuple(headers), f"{reason}\n".encode())
