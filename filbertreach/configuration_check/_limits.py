"""Checks of the platform's form for limits that contradict each other."""

import collections
import math
from collections.abc import Iterator

from filbertreach.configuration_check._findings import Remark
from filbertreach.configuration_check._registry import RoutesSubject, routes_check
from filbertreach.platform import field_path

_ROUNDING_TOLERANCE = 1e-9
"""Error of a share that is no binary fraction, such as 0.85 of 20, in shards."""
_MIN_SECONDS = 0.001
"""Shortest time-out and objective, as for the target of a rank in the document's schema."""
_MAX_SECONDS = 600.0
"""Longest time-out and objective, as for the target of a rank in the document's schema."""
_MAX_IDLE_SECONDS = 86_400.0
"""Longest idle time of a caller's connection; a larger value is taken for a wrong unit."""


@routes_check("objective-above-timeout")
def check_objectives(subject: RoutesSubject) -> Iterator[Remark]:
    """Finds objectives that no caller waits for."""
    for draft in subject.draft.routes:
        route = draft.route
        if route.objective_seconds > route.timeout_seconds:
            yield Remark(
                draft.field("objective_seconds"),
                f"the objective of {route.objective_seconds * 1000:g} ms is above the time-out of "
                f"{route.timeout_seconds * 1000:g} ms, after which nobody waits for the answer",
                "lower the objective, or raise the time-out",
            )


@routes_check("inexact-floor", severity="note")
def check_floors(subject: RoutesSubject) -> Iterator[Remark]:
    """Finds required shares of shards that no whole number of shards gives.

    The gateway requires the next larger number, which is what most such shares are meant to do.
    """
    for draft in subject.draft.routes:
        count, share = len(draft.route.shards), draft.route.least_coverage
        if not count:
            continue
        needed = math.ceil(share * count)
        if abs(share * count - round(share * count)) > _ROUNDING_TOLERANCE:
            yield Remark(
                draft.field("least_coverage"),
                f"{share:g} of {count} shards is {share * count:g}; an answer needs {needed} "
                f"shards, a share of {needed / count:.4g}",
                f"write {_exact_share(needed, count)!r} to state what applies",
            )


@routes_check("floor-rounding")
def check_floor_rounding(subject: RoutesSubject) -> Iterator[Remark]:
    """Finds shares whose product with the number of shards rounds up to one shard more.

    The gateway compares with the product in floating point: 0.07 of 100 shards requires 8.
    """
    for draft in subject.draft.routes:
        count, share = len(draft.route.shards), draft.route.least_coverage
        if not count:
            continue
        stated = round(share * count)
        if stated < share * count <= stated + _ROUNDING_TOLERANCE:
            yield Remark(
                draft.field("least_coverage"),
                f"{share:g} of {count} shards is {stated}, but is rounded up: an answer needs "
                f"{stated + 1} shards",
                f"write {_exact_share(stated, count)!r} to require {stated}",
            )


@routes_check("attempts-above-leaves")
def check_attempts(subject: RoutesSubject) -> Iterator[Remark]:
    """Finds routes with more attempts than a service has leaves."""
    if subject.options.leaves is None:
        return
    count_by_service = collections.Counter(leaf.service for leaf in subject.options.leaves)
    for draft in subject.draft.routes:
        services = draft.route.shards or tuple(draft.route.weight_by_service)
        scarce = {
            service: count_by_service[service]
            for service in services
            if count_by_service[service] < draft.route.max_attempts
        }
        if scarce:
            service = min(scarce, key=lambda name: scarce[name])
            others = len(scarce) - 1
            more = f", and {others} more services have too few" if others else ""
            yield Remark(
                draft.field("max_attempts"),
                f"{draft.route.max_attempts} attempts, but service {service!r} has "
                f"{scarce[service]} leaves{more}",
                "lower the attempts, or add leaves",
            )


@routes_check("small-burst")
def check_bursts(subject: RoutesSubject) -> Iterator[Remark]:
    """Finds quotas whose burst holds no request; unlike that of the rate, 0 is no missing limit."""
    for draft in subject.draft.accounts:
        quota = draft.account.quota
        if quota is not None and quota.burst < 1:
            yield Remark(
                draft.field("burst"),
                f"the burst of {quota.burst:g} holds no request, while the rate lets "
                f"{quota.per_second:g} through each second; without a burst, requests of even a "
                "low rate can be refused",
                f"write at least {max(1.0, quota.per_second):g}, the requests of one second",
            )


@routes_check("burst-below-rate", severity="note")
def check_bursts_below_rate(subject: RoutesSubject) -> Iterator[Remark]:
    """Finds bursts below the requests of one second, which a quota may well intend."""
    for draft in subject.draft.accounts:
        quota = draft.account.quota
        if quota is not None and 1 <= quota.burst < quota.per_second:
            yield Remark(
                draft.field("burst"),
                f"the burst of {quota.burst:g} requests is below the requests of one second, "
                f"{quota.per_second:g}; more than the burst at once are refused",
                f"write {quota.per_second:g} if the requests of one second may come at once",
            )


@routes_check("burst-without-rate")
def check_bursts_without_rate(subject: RoutesSubject) -> Iterator[Remark]:
    """Finds bursts of accounts that have no quota."""
    for draft in subject.draft.accounts:
        if draft.account.quota is None and draft.burst > 0:
            yield Remark(
                draft.field("burst"),
                f"account {draft.account.name!r} has a burst but no rate, so it has no quota",
                "add a rate, or remove the burst",
            )


@routes_check("few-connections")
def check_connections(subject: RoutesSubject) -> Iterator[Remark]:
    """Finds services whose leaves accept fewer connections than there are hosts."""
    hosts = subject.options.hosts
    for service in subject.draft.services:
        if hosts is not None and service.limits.connections < hosts:
            yield Remark(
                service.field("connections"),
                f"a leaf of {service.limits.service!r} accepts {service.limits.connections} "
                f"connections; {hosts} hosts share them, so some have none",
                f"write at least {hosts}",
            )


@routes_check("time-bounds")
def check_times(subject: RoutesSubject) -> Iterator[Remark]:
    """Finds times outside the range in which a value makes sense."""
    for draft in subject.draft.routes:
        route = draft.route
        if not _MIN_SECONDS <= route.timeout_seconds <= _MAX_SECONDS:
            path = draft.field("timeout_seconds")
            yield _time_remark(path, route.timeout_seconds, _MAX_SECONDS)
        if not _MIN_SECONDS <= route.objective_seconds <= _MAX_SECONDS:
            path = draft.field("objective_seconds")
            yield _time_remark(path, route.objective_seconds, _MAX_SECONDS)
    table = subject.draft.table
    if table is None:
        return
    limits = table.limits
    if not _MIN_SECONDS <= limits.header_timeout_seconds <= _MAX_SECONDS:
        path = field_path("limits", "header_timeout_seconds")
        yield _time_remark(path, limits.header_timeout_seconds, _MAX_SECONDS)
    if not _MIN_SECONDS <= limits.idle_timeout_seconds <= _MAX_IDLE_SECONDS:
        path = field_path("limits", "idle_timeout_seconds")
        yield _time_remark(path, limits.idle_timeout_seconds, _MAX_IDLE_SECONDS)


def _time_remark(path: str, seconds: float, longest: float) -> Remark:
    return Remark(
        path,
        f"{seconds * 1000:g} ms is outside {_MIN_SECONDS * 1000:g} to {longest * 1000:g} ms",
        "correct the value; the unit is milliseconds",
    )


@routes_check("size-bounds")
def check_sizes(subject: RoutesSubject) -> Iterator[Remark]:
    """Finds size limits that refuse every request."""
    table = subject.draft.table
    if table is None:
        return
    for attribute, least in (("max_header_bytes", 1), ("max_body_bytes", 0)):
        value = getattr(table.limits, attribute)
        if value < least:
            yield Remark(
                field_path("limits", attribute),
                f"{value} bytes: every request is larger",
                f"write at least {least}",
            )


def _exact_share(needed: int, count: int) -> float:
    """Returns the share that is reached by `needed` of `count` shards in floating point."""
    share = needed / count
    while share * count > needed:
        share = math.nextafter(share, 0.0)
    return share
