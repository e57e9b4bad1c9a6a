"""HTTP requests and responses exchanged with callers and leaves."""

import re
from typing import NamedTuple

from filbertreach.document import digest_api_key

Headers = tuple[tuple[bytes, bytes], ...]

READY_PATH = "/-/ready"
"""Path at which the load balancer checks whether to open new connections."""

_REQUEST_ID = b"x-request-id"
_DEADLINE = b"x-deadline-ms"
_SIGNATURE = b"x-server-stamp"
_EXPECTED_LEAF = b"x-expect-instance"
_API_KEY = b"x-api-key"
_ACCOUNT = b"x-tenant"
_LOAD = b"x-server-load"
_REQUEST_LIMIT = b"server-limit"
_LEAVING = b"server-leaving"
_RETRY_AFTER = b"retry-after"
_NOT_RUN = b"x-not-executed"
_PART_SIGNATURES = b"X-Part-Stamps"
_MISSING_PARTS = b"X-Missing-Parts"

_RECORD_BYTES = 16
"""Size of one record in the response body of a shard."""
_LOAD_REPORT = re.compile(rb",".join([rb"\s*(\d{1,18})\s*"] * 3) + rb"(?:,\s*(\d{1,18})\s*)?")
"""Three counts and an optional percentage, each with so few digits that it fits into 64 bits."""
_DECIMAL_NUMBER = re.compile(rb"\d+(\.\d*)?|\.\d+")
_MAX_REQUEST_LIMIT = 1e9
"""Largest limit that a leaf may name, in requests per second."""
_MAX_RETRY_AFTER_SECONDS = 1e9
"""Largest time after which a leaf may ask to be called again, in seconds."""
_MAX_UNREADABLE_BYTES = 80
"""Bytes that are kept of the value of an unreadable header, for the log."""
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses by which a caller concludes that its request has not run."""
_HOP_BY_HOP_HEADERS = frozenset(
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
"""Headers that are not forwarded: they apply to one connection or are set by each sender."""
_INTERNAL_REQUEST_HEADERS = frozenset({_DEADLINE, _EXPECTED_LEAF, b"x-server-stamp"})
_INTERNAL_RESPONSE_HEADERS = frozenset(
    {_LOAD, _REQUEST_LIMIT, _LEAVING, _NOT_RUN, b"x-instance-id"}
)
_DROPPED_RESPONSE_HEADERS = _HOP_BY_HOP_HEADERS | _INTERNAL_RESPONSE_HEADERS


class CallerRequest(NamedTuple):
    """A complete request of a caller."""

    id: str
    """Id of this attempt; empty if the caller did not send one."""
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
    """Time until the caller's deadline; None if it did not send one."""
    api_key_digest: bytes | None = None
    """Digest of the API key; None if the request has no key, an unusable one or several."""


class LeafLoad(NamedTuple):
    """Load reported by a leaf."""

    running: int
    """Number of running requests."""
    queued: int
    """Number of waiting requests."""
    slots: int
    """Number of requests that can run at once."""
    slowdown: float = 1.0
    """How long work takes on the leaf's machine at this moment, as a multiple of the usual time."""


class UnreadableHeader(NamedTuple):
    """A header of a leaf whose value could not be parsed, and which is ignored."""

    name: str
    """Name of the header."""
    value: str
    """Beginning of its value."""


class LeafAnswer(NamedTuple):
    """A complete response of a leaf."""

    request_id: str
    """Id of the request as echoed by the leaf; empty if it did not echo one."""
    status: int
    """HTTP status."""
    headers: Headers
    """Headers that are forwarded."""
    body: bytes
    """Body."""
    signature: bytes
    """Signature of the leaf; empty if there is none."""
    not_run: bool
    """Whether the leaf states that it did not run the request."""
    misdirected: bool
    """Whether a leaf other than the expected one responded (HTTP status 421)."""
    load: LeafLoad | None
    """Load report; None if there is no valid one."""
    request_limit: float | None
    """Requests per second that the leaf takes from all hosts together; None if it names no valid
    limit."""
    leaving: bool = False
    """Whether the leaf states that it is leaving."""
    retry_after_seconds: float | None = None
    """Time from now on for which the leaf asks not to be called, in seconds; None if it names no
    valid time or the status is not 503."""
    unreadable_headers: tuple[UnreadableHeader, ...] = ()
    """Headers with a load report, a limit, a time or a statement that could not be parsed, each
    once."""

    @property
    def is_success(self) -> bool:
        """Whether this is a signed response with a success status."""
        return 200 <= self.status < 300 and bool(self.signature)

    @property
    def may_be_returned(self) -> bool:
        """Whether it is signed and its status does not imply that the request did not run."""
        return bool(self.signature) and self.status not in _NOT_RUN_STATUSES and self.status >= 200


class CallerAnswer(NamedTuple):
    """A response to a caller."""

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
    """Parses the request of a caller.

    Args:
        method: HTTP method.
        target: Path and query.
        headers: Headers, names in lower case.
        body: Body.
    """
    dropped = set(_HOP_BY_HOP_HEADERS)
    request_id = host = ""
    remaining: float | None = None
    api_keys: list[bytes] = []
    for name, value in headers:
        if name == b"connection":
            dropped.update(token.strip().lower() for token in value.split(b","))
        elif name == _REQUEST_ID:
            request_id = value.decode("latin-1")
        elif name == b"host":
            host = _parse_host_name(value)
        elif name == _DEADLINE and value.isdigit():
            # A number of any length; as an integer, a long one could not be divided.
            remaining = float(value) / 1000.0
        elif name == _API_KEY:
            api_keys.append(value)
    dropped -= {b"host", _REQUEST_ID}
    dropped |= _INTERNAL_REQUEST_HEADERS
    return CallerRequest(
        id=request_id,
        method=method,
        host=host,
        path=target.partition(b"?")[0].decode("latin-1"),
        target=target,
        headers=tuple((n, v) for n, v in headers if n not in dropped),
        body=body,
        remaining_seconds=remaining,
        api_key_digest=digest_api_key(api_keys[0]) if len(api_keys) == 1 else None,
    )


def attach_account(request: CallerRequest, account: str | None) -> CallerRequest:
    """Returns a request as leaves receive it where client accounts are configured.

    It has no API key, and names the account instead of what the caller may have sent as its name.

    Args:
        request: Request of the caller.
        account: Name of the client account; None on a public route without a known key.
    """
    headers = tuple((n, v) for n, v in request.headers if n not in (_API_KEY, _ACCOUNT))
    if account is not None:
        headers = (*headers, (_ACCOUNT, account.encode("ascii")))
    return request._replace(headers=headers)


def _parse_host_name(value: bytes) -> str:
    text = value.decode("latin-1").strip().lower()
    name, separator, port = text.rpartition(":")
    return name if separator and port.isdigit() else text


def encode_leaf_request(request: CallerRequest, *, leaf_id: str, remaining_seconds: float) -> bytes:
    """Encodes the request to a leaf.

    Args:
        request: Request of the caller.
        leaf_id: Leaf that is to run the request; another leaf at the same address refuses it.
        remaining_seconds: Time until the deadline, after which the leaf stops working on it.
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
    """Parses a complete response of a leaf.

    Args:
        status: HTTP status.
        headers: Headers, names in lower case.
        body: Body.
    """
    values = dict(headers)
    # The signature does not cover a body that was encoded on the way from the leaf.
    encoded = b"content-encoding" in values
    unreadable: dict[str, str] = {}
    load = _parse_load(values.get(_LOAD), unreadable)
    request_limit = _parse_request_limit(values.get(_REQUEST_LIMIT), unreadable)
    leaving = _parse_leaving(values.get(_LEAVING), unreadable)
    retry_after_seconds = _parse_retry_after(headers, unreadable) if status == 503 else None
    return LeafAnswer(
        request_id=values.get(_REQUEST_ID, b"").decode("latin-1"),
        status=status,
        headers=tuple((n, v) for n, v in headers if n not in _DROPPED_RESPONSE_HEADERS),
        body=body,
        signature=b"" if encoded else values.get(_SIGNATURE, b"").strip(),
        not_run=_NOT_RUN in values or status == 421,
        misdirected=status == 421,
        load=load,
        request_limit=request_limit,
        leaving=leaving,
        retry_after_seconds=retry_after_seconds,
        unreadable_headers=tuple(UnreadableHeader(*item) for item in unreadable.items()),
    )


def _parse_load(value: bytes | None, unreadable: dict[str, str]) -> LeafLoad | None:
    if value is None:
        return None
    match = _LOAD_REPORT.fullmatch(value)
    if match is None:
        _add_unreadable(_LOAD, value, unreadable)
        return None
    running, queued, slots, slowdown_percent = match.groups()
    slowdown = int(slowdown_percent) / 100.0 if slowdown_percent else 1.0
    return LeafLoad(int(running), int(queued), int(slots), slowdown)


def _parse_request_limit(value: bytes | None, unreadable: dict[str, str]) -> float | None:
    if value is None:
        return None
    if _DECIMAL_NUMBER.fullmatch(value.strip()) and float(value) <= _MAX_REQUEST_LIMIT:
        return float(value)
    _add_unreadable(_REQUEST_LIMIT, value, unreadable)
    return None


def _parse_leaving(value: bytes | None, unreadable: dict[str, str]) -> bool:
    if value is None:
        return False
    if value.strip() == b"1":
        return True
    _add_unreadable(_LEAVING, value, unreadable)
    return False


def _parse_retry_after(
    headers: list[tuple[bytes, bytes]], unreadable: dict[str, str]
) -> float | None:
    """Returns the longest time that a header names."""
    seconds: float | None = None
    for name, value in headers:
        if name != _RETRY_AFTER:
            continue
        text = value.strip()
        if _DECIMAL_NUMBER.fullmatch(text) and float(text) <= _MAX_RETRY_AFTER_SECONDS:
            seconds = max(float(text), seconds or 0.0)
        else:
            _add_unreadable(_RETRY_AFTER, value, unreadable)
    return seconds


def _add_unreadable(header: bytes, value: bytes, unreadable: dict[str, str]) -> None:
    unreadable[header.decode()] = value[:_MAX_UNREADABLE_BYTES].decode("latin-1")


def forward_answer(answer: LeafAnswer) -> CallerAnswer:
    """Creates the response to a caller from the response of the leaf that ran its request.

    Args:
        answer: Response of the leaf.
    """
    return CallerAnswer(answer.status, answer.headers, answer.body)


def merge_answers(
    answers: list[LeafAnswer], *, missing: int, top: int, request: CallerRequest
) -> CallerAnswer:
    """Creates the response to a caller from the responses of several shards.

    Args:
        answers: Signed successful responses, one per shard.
        missing: Number of shards that are not included.
        top: Largest number of records in the response.
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
        (_PART_SIGNATURES, b", ".join(answer.signature for answer in answers)),
        (_MISSING_PARTS, str(missing).encode()),
    )
    return CallerAnswer(200, headers, b"".join(records[:top]))


def refuse(status: int, reason: str, *, retry_after_seconds: float | None = None) -> CallerAnswer:
    """Creates a response of the tier itself, which has no signature of a leaf.

    Args:
        status: HTTP status.
        reason: Human-readable reason.
        retry_after_seconds: Time after which the caller should retry; None to send no header.
    """
    headers: list[tuple[bytes, bytes]] = [(b"content-type", b"text/plain; charset=utf-8")]
    if retry_after_seconds is not None:
        headers.append((_RETRY_AFTER, f"{retry_after_seconds:.3f}".encode()))
    return CallerAnswer(status, tuple(headers), f"{reason}\n".encode())
