"""Parses a caller's request and validates it against the environment document."""

import hashlib
import hmac
from typing import Annotated, Any, Literal, NamedTuple, NotRequired, TypedDict

import msgspec

from filbertreach.document import Application, Environment, Rank
from filbertreach.entry._problems import ProblemError
from filbertreach.observability import is_trace_parent
from filbertreach.schema import InvalidMessageError, JsonDecoder, PositiveInt64

_NAME_PATTERN = r"^[A-Za-z0-9._:@-]{1,128}$"
_SINGLE_HEADERS = (
    b"authorization",
    b"content-length",
    b"content-type",
    b"host",
    b"traceparent",
)

Name = Annotated[str, msgspec.Meta(pattern=_NAME_PATTERN)]


class MergeBody(TypedDict):
    """How the rows of the shards are merged."""

    kind: Literal["top", "concatenate"]
    """top: the first `limit` rows, ordered by a column; concatenate: rows ordered by shard name."""
    order_by: NotRequired[str]
    """Column that `top` orders by."""
    descending: NotRequired[bool]
    """Whether the largest value comes first; true by default."""
    limit: NotRequired[PositiveInt64]
    """Most rows in the answer; by default the limit of the process."""


class QueryBody(TypedDict):
    """Body of `POST /v1/query`."""

    environment: Name
    """Environment name."""
    application: Name
    """Application name."""
    client: Name
    """Client for which the query is sent."""
    rank: Name
    """Rank name."""
    deadline_ms: Annotated[float, msgspec.Meta(gt=0)]
    """Time within which the answer is needed, in milliseconds."""
    idempotent: NotRequired[bool]
    """False if the request must run at most once; true by default."""
    request_id: Name
    """Request id chosen by the caller, unique within the environment."""
    query: dict[str, Any]
    """Query passed on to the leaves."""
    shards: NotRequired[list[Name]]
    """Shards to query; by default all shards that the application may query."""
    merge: NotRequired[MergeBody]
    """How rows are merged; `concatenate` by default."""


class Query(NamedTuple):
    """A valid request, linked to the parts of the environment document that it names."""

    environment: Environment
    """Document in force when the request arrived."""
    application: Application
    """Application that sent the request."""
    rank: Rank
    """Rank of the query."""
    client: str
    """Client for which the query is sent."""
    request_id: str
    """Request id chosen by the caller."""
    idempotent: bool
    """False if the request must run at most once."""
    deadline_seconds: float
    """Time from the arrival of the request within which the answer is needed."""
    body: dict[str, Any]
    """Query passed on to the leaves."""
    shards: tuple[str, ...] | None
    """Shards that the caller named, or None for all that the application may query."""
    merge: MergeBody
    """How rows are merged."""
    trace_parent: str
    """W3C traceparent of the caller, or an empty string."""


class Headers(NamedTuple):
    """Request headers that the entry process evaluates."""

    trace_parent: str
    """Valid W3C traceparent, or an empty string."""
    bearer_token: str
    """Token of an `authorization: Bearer` header, or an empty string."""


_DECODER = JsonDecoder(message=QueryBody, has_open_values=True)


def parse_headers(raw: list[tuple[bytes, bytes]]) -> Headers:
    """Parses and validates the headers of a request.

    Args:
        raw: ASGI headers, names in lower case.

    Returns:
        The headers that the entry process evaluates.

    Raises:
        ProblemError: A header that may occur only once is repeated, or the content type is wrong.
    """
    value_by_name: dict[bytes, bytes] = {}
    for name, value in raw:
        if name in _SINGLE_HEADERS and name in value_by_name:
            raise ProblemError("bad-request", f"the header {name.decode()} is sent twice")
        value_by_name[name] = value
    content_type = value_by_name.get(b"content-type", b"application/json")
    if content_type.split(b";")[0].strip().lower() != b"application/json":
        raise ProblemError("bad-request", "send content-type: application/json", status=415)
    authorization = value_by_name.get(b"authorization", b"").decode("latin-1")
    token = authorization[7:].strip() if authorization.lower().startswith("bearer ") else ""
    # W3C Trace Context, 2.2: an invalid traceparent is ignored, and a new trace starts.
    trace_parent = value_by_name.get(b"traceparent", b"").decode("latin-1").strip()
    return Headers(trace_parent if is_trace_parent(trace_parent) else "", token)


def parse_body(content: bytes) -> QueryBody:
    """Parses the body of a request.

    Args:
        content: The complete body.

    Returns:
        The body; the types of its fields are validated.

    Raises:
        ProblemError: The body is not JSON, or a field is missing or has an invalid value.
    """
    try:
        return _DECODER.decode(content)
    except InvalidMessageError as error:
        raise ProblemError("bad-request", f"the body is not a query: {error}") from error


def check_query(
    *, body: QueryBody, headers: Headers, environment: Environment, max_deadline_ms: float
) -> Query:
    """Validates a request against the environment document.

    Args:
        body: Parsed body.
        headers: Parsed headers.
        environment: Document in force.
        max_deadline_ms: Largest allowed deadline, in milliseconds.

    Returns:
        The query.

    Raises:
        ProblemError: The request names something that the document does not define or allow.
    """
    application = environment.applications_by_name.get(body["application"])
    if application is None:
        detail = f"environment {environment.name} has no application {body['application']}"
        raise ProblemError("unknown-application", detail)
    _check_token(application, headers.bearer_token)
    rank = environment.ranks_by_name.get(body["rank"])
    if rank is None:
        allowed = ", ".join(application.ranks)
        raise ProblemError("bad-request", f"unknown rank {body['rank']}; allowed: {allowed}")
    if rank.name not in application.ranks:
        allowed = ", ".join(application.ranks)
        detail = f"{application.name} may not use rank {rank.name}; allowed: {allowed}"
        raise ProblemError("forbidden", detail)
    if not application.may_query_for(body["client"]):
        detail = f"{application.name} may not query for client {body['client']}"
        raise ProblemError("forbidden", detail)
    if not body["deadline_ms"] <= max_deadline_ms:
        detail = f"deadline_ms is {body['deadline_ms']:g}; allowed: up to {max_deadline_ms:g}"
        raise ProblemError("bad-request", detail)
    shards = body.get("shards")
    if shards is not None and len(set(shards)) != len(shards):
        raise ProblemError("bad-request", "a shard is named twice")
    return Query(
        environment=environment,
        application=application,
        rank=rank,
        client=body["client"],
        request_id=body["request_id"],
        idempotent=body.get("idempotent", True),
        deadline_seconds=body["deadline_ms"] / 1000.0,
        body=body["query"],
        shards=None if shards is None else tuple(shards),
        merge=body.get("merge", MergeBody(kind="concatenate")),
        trace_parent=headers.trace_parent,
    )


def select_shards(query: Query, service_by_shard: dict[str, str]) -> tuple[str, ...]:
    """Returns the shards of a query in one partition map.

    Args:
        query: The query.
        service_by_shard: Partition map of the snapshot that the query reads.

    Returns:
        Shard names in the order of the map, at least one.

    Raises:
        ProblemError: A requested shard is not in the map or not allowed, or no shard is left.
    """
    application = query.application
    if query.shards is None:
        shards = tuple(s for s in service_by_shard if application.may_query_shard(s))
        if not shards:
            raise ProblemError("forbidden", f"{application.name} may query no shard of the map")
        return shards
    for shard in query.shards:
        if not application.may_query_shard(shard):
            raise ProblemError("forbidden", f"{application.name} may not query shard {shard}")
        if shard not in service_by_shard:
            raise ProblemError("bad-request", f"the index has no shard {shard}")
    if not query.shards:
        raise ProblemError("bad-request", "shards is empty; name a shard or leave it out")
    return query.shards


def _check_token(application: Application, token: str) -> None:
    if not application.token_sha256:
        return
    digest = hashlib.sha256(token.encode()).hexdigest()
    if not hmac.compare_digest(digest, application.token_sha256):
        detail = f"send the token of application {application.name} as authorization: Bearer"
        raise ProblemError("forbidden", detail)
