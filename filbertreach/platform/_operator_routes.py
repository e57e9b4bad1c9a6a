"""Decoder of the operators' route configuration in the platform's store."""

import collections
import math
from collections.abc import Iterable
from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from filbertreach.document import (
    AccountTable,
    CallerLimits,
    ClientAccount,
    Quota,
    Route,
    RouteTable,
    ServiceLimits,
)
from filbertreach.schema import (
    Int64,
    InvalidMessageError,
    JsonDecoder,
    NonNegativeInt64,
    PositiveInt64,
)

OPERATOR_PREFIX = "op/"
"""Prefix of the keys that operators write."""
ROUTES_KEY = "op/config"
"""Key of the current configuration."""
EVACUATIONS_PREFIX = "op/evacuate/"
"""Prefix of the keys that exist while a data centre is evacuated; the rest of the key names it."""


class RoutesError(Exception):
    """A configuration that can't be decoded or is invalid."""


_Positive = Annotated[float, msgspec.Meta(gt=0)]
_NonNegative = Annotated[float, msgspec.Meta(ge=0)]


class _Part(msgspec.Struct):
    service: str
    weight: Annotated[float, msgspec.Meta(ge=0)]


class RouteBody(msgspec.Struct):
    """A route as operators write it."""

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
    public: bool = False
    home_regions: list[str] | None = None


class ServiceBody(msgspec.Struct):
    """Limits of a service as operators write them."""

    name: str
    max_conns: PositiveInt64
    # Requests per second that a leaf takes from all hosts together while cold; 0 states no limit.
    cold_per_s: _NonNegative = 0.0


class AccountBody(msgspec.Struct):
    """A client account as operators write it."""

    name: Annotated[str, msgspec.Meta(min_length=1)]
    api_keys: list[str] = []
    priority: NonNegativeInt64 | None = None
    # 0 states no quota.
    rate_per_s: _NonNegative = 0.0
    burst: _NonNegative = 0.0
    home_regions: list[str] | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: Int64
    max_body_bytes: Int64
    header_timeout_ms: float
    idle_timeout_ms: float


class ConfigurationBody(msgspec.Struct):
    """A configuration as operators write it."""

    version: Int64
    routes: list[RouteBody]
    services: list[ServiceBody]
    limits: _Limits
    tenants: list[AccountBody] | None = None


CONFIGURATION_DECODER = JsonDecoder(message=ConfigurationBody)
"""Decoder of the value under ROUTES_KEY."""


def decode_routes(value: bytes | None) -> Result[RouteTable, RoutesError]:
    """Decodes the value under ROUTES_KEY.

    Args:
        value: Value; None if it could not be decoded from base64.

    Returns:
        The route table, or an error with the reason.
    """
    try:
        body = CONFIGURATION_DECODER.decode(value or b"")
        return Success(to_route_table(body, [to_route(route) for route in body.routes]))
    except (InvalidMessageError, RoutesError) as error:
        return Failure(RoutesError(f"configuration can't be read: {error}"))


def to_route_table(body: ConfigurationBody, routes: Iterable[Route]) -> RouteTable:
    """Returns the table of a configuration.

    Args:
        body: The configuration as written.
        routes: Its routes, in the same order.

    Raises:
        RoutesError: An account is not usable.
    """
    by_host: dict[str, list[Route]] = collections.defaultdict(list)
    for route in routes:
        by_host[route.host].append(route)
    limits = body.limits
    return RouteTable(
        version=body.version,
        routes_by_host={
            host: tuple(sorted(items, key=lambda r: -len(r.prefix)))
            for host, items in by_host.items()
        },
        limits_by_service={s.name: to_service_limits(s) for s in body.services},
        limits=CallerLimits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_timeout_seconds=limits.header_timeout_ms / 1000.0,
            idle_timeout_seconds=limits.idle_timeout_ms / 1000.0,
        ),
        accounts=_to_accounts(body.tenants) if body.tenants else None,
    )


def _to_accounts(tenants: list[AccountBody]) -> AccountTable:
    return AccountTable(
        keys_by_account=[
            (to_account(tenant), [key.encode() for key in tenant.api_keys]) for tenant in tenants
        ]
    )


def to_account(tenant: AccountBody) -> ClientAccount:
    """Returns a client account without its keys.

    Args:
        tenant: The account as written.

    Raises:
        RoutesError: The name has characters that are not allowed in a header.
    """
    return ClientAccount(
        name=_check_header_value(tenant.name),
        priority=tenant.priority,
        quota=Quota(tenant.rate_per_s, tenant.burst) if tenant.rate_per_s else None,
        home_regions=_to_regions(tenant.home_regions),
    )


def to_service_limits(service: ServiceBody) -> ServiceLimits:
    """Returns the limits of a service.

    Args:
        service: The limits as written.
    """
    return ServiceLimits(service.name, service.max_conns, service.cold_per_s or None)


def _check_header_value(name: str) -> str:
    """Returns the name of an account, which is sent to leaves in a header.

    Raises:
        RoutesError: The name has characters that are not allowed in a header.
    """
    if not name.isascii() or not name.isprintable() or name != name.strip():
        raise RoutesError(f"account name {name!r} must consist of printable ASCII characters")
    return name


def _to_regions(regions: list[str] | None) -> frozenset[str] | None:
    return frozenset(regions) if regions else None


def to_route(route: RouteBody) -> Route:
    """Returns a route.

    Args:
        route: The route as written.

    Raises:
        RoutesError: The route leads to no service.
    """
    if route.service is not None:
        weights = {route.service: 1.0}
    else:
        weights = {part.service: part.weight for part in route.split or ()}
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
        public=route.public,
        home_regions=_to_regions(route.home_regions),
    )
