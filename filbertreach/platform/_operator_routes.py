"""Decoder of the operators' route configuration in the platform's store."""

import collections
import math
from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from filbertreach.document import CallerLimits, Route, RouteTable, ServiceLimits
from filbertreach.schema import (
    Int64,
    InvalidMessageError,
    JsonDecoder,
    NonNegativeInt64,
    PositiveInt64,
)

ROUTES_KEY = "op/config"
"""Key of the current configuration."""


class RoutesError(Exception):
    """A configuration that can't be decoded or is invalid."""


_Positive = Annotated[float, msgspec.Meta(gt=0)]


class _Part(msgspec.Struct):
    service: str
    weight: Annotated[float, msgspec.Meta(ge=0)]


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    route_kind: str
    timeout_ms: _Positive
    objective_ms: _Positive
    attempts: PositiveInt64 = 1
    priority: NonNegativeInt64 = 0
    service: str | None = None
    split: list[_Part] | None = None
    gather: list[str] | None = None
    top_k: NonNegativeInt64 = 0
    # Smallest share of shards that a response must include.
    floor: Annotated[float, msgspec.Meta(ge=0, le=1)] = 1.0


class _Service(msgspec.Struct):
    name: str
    max_conns: PositiveInt64


class _Limits(msgspec.Struct):
    max_header_bytes: Int64
    max_body_bytes: Int64
    header_timeout_ms: float
    idle_timeout_ms: float


class _Configuration(msgspec.Struct):
    version: Int64
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits


_DECODER = JsonDecoder(message=_Configuration)


def decode_routes(value: bytes | None) -> Result[RouteTable, RoutesError]:
    """Decodes the value under ROUTES_KEY.

    Args:
        value: Value; None if it could not be decoded from base64.

    Returns:
        The route table, or an error with the reason.
    """
    by_host: dict[str, list[Route]] = collections.defaultdict(list)
    try:
        body = _DECODER.decode(value or b"")
        for route in body.routes:
            by_host[route.host.lower()].append(_to_route(route))
    except (InvalidMessageError, RoutesError) as error:
        return Failure(RoutesError(f"configuration can't be read: {error}"))
    limits = body.limits
    return Success(
        RouteTable(
            version=body.version,
            routes_by_host={
                host: tuple(sorted(routes, key=lambda r: -len(r.prefix)))
                for host, routes in by_host.items()
            },
            limits_by_service={s.name: ServiceLimits(s.name, s.max_conns) for s in body.services},
            limits=CallerLimits(
                max_header_bytes=limits.max_header_bytes,
                max_body_bytes=limits.max_body_bytes,
                header_timeout_seconds=limits.header_timeout_ms / 1000.0,
                idle_timeout_seconds=limits.idle_timeout_ms / 1000.0,
            ),
        )
    )


def _to_route(route: _Route) -> Route:
    weights = {part.service: part.weight for part in route.split or ()}
    if route.service is not None:
        weights = {route.service: 1.0}
    if not route.gather and not 0.0 < sum(weights.values()) < math.inf:
        raise RoutesError(
            f"route {route.name!r} leads to no service: name a service, shards to gather from, or "
            "a split whose weights have a sum above 0"
        )
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        # Routes of an unknown kind are never retried: treated as not idempotent.
        idempotent=route.route_kind == "idempotent",
        timeout_seconds=route.timeout_ms / 1000.0,
        objective_seconds=route.objective_ms / 1000.0,
        max_attempts=route.attempts,
        priority=route.priority,
        weight_by_service=weights,
        shards=tuple(route.gather or ()),
        top=route.top_k,
        least_coverage=route.floor,
    )
