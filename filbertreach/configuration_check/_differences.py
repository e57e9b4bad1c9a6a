"""Differences in meaning between two versions of a configuration."""

import collections
import math
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple

from filbertreach.changes import InvalidChangeError, slowed_clients
from filbertreach.configuration_check._documents import MAX_CHECKED_CHANGES
from filbertreach.configuration_check._findings import (
    DifferenceKind,
    MeaningDifference,
    counted,
)
from filbertreach.document import (
    ClientAccount,
    Difference,
    Environment,
    Route,
    RouteTable,
    ServiceLimits,
    diff_documents,
)
from filbertreach.platform import (
    KEY_LABEL_DIGITS,
    ConfigurationDraft,
    DraftAccount,
    DraftRoute,
    field_path,
)

_EVERY_CALLER = ("every caller",)
"""Stands for the accounts where a configuration has none."""
_MOVING_ATTRIBUTES = frozenset({"host", "prefix", "weight_by_service", "shards"})
"""Attributes of a route that decide which requests it takes and where they go."""
_SLOWING_BY_ATTRIBUTE = {
    "timeout_seconds": "lowered",
    "objective_seconds": "raised",
    "max_attempts": "lowered",
    "priority": "raised",
    "least_coverage": "raised",
    "connections": "lowered",
    "cold_requests_per_second": "lowered",
    "per_second": "lowered",
    "burst": "lowered",
    "max_header_bytes": "lowered",
    "max_body_bytes": "lowered",
    "header_timeout_seconds": "lowered",
    "idle_timeout_seconds": "lowered",
}
"""Direction in which a limit has to change to slow or refuse requests."""


class _Slowed(NamedTuple):
    """Accounts of the new version that a change of a shared part can slow."""

    all: tuple[str, ...]
    """All accounts."""
    with_rank_of_route: tuple[str, ...]
    """Accounts without a rank of their own."""


def diff_routes(
    before: ConfigurationDraft, after: ConfigurationDraft
) -> Iterator[MeaningDifference]:
    """Compares two configurations in the platform's form.

    Args:
        before: Version in force.
        after: New version.

    Returns:
        The differences; API keys are only counted and named by a short digest.
    """
    slowed = _slowed_accounts(after)
    if before.table and after.table:
        yield from _diff_access(before.table, after.table)
        yield from _compare_values(
            "configuration", "", "version", before.table.version, after.table.version, ()
        )
        first, second = before.table.limits._asdict(), after.table.limits._asdict()
        for attribute, value in first.items():
            yield from _compare_values(
                "limits", "", attribute, value, second[attribute], slowed.all
            )
    yield from _diff_routes_by_key(_routes_by_key(before), _routes_by_key(after), slowed)
    yield from _diff_services(
        {item.limits.service: item.limits for item in before.services},
        {item.limits.service: item.limits for item in after.services},
        slowed,
    )
    yield from _diff_accounts(
        {item.account.name: item for item in before.accounts},
        {item.account.name: item for item in after.accounts},
    )


def _diff_access(before: RouteTable, after: RouteTable) -> Iterator[MeaningDifference]:
    """Compares whether callers need an API key, which they do as soon as there is an account."""
    needs_key = {False: "not needed", True: "needed except on public routes"}
    first, second = before.accounts is not None, after.accounts is not None
    if first != second:
        yield MeaningDifference(
            "changed",
            "configuration",
            "",
            "API key",
            needs_key[first],
            needs_key[second],
            _EVERY_CALLER if second else (),
        )


def diff_environments(before: Environment, after: Environment) -> Iterator[MeaningDifference]:
    """Compares two environment documents.

    Args:
        before: Version in force.
        after: New version.

    Returns:
        The differences; a new or altered planned change names the clients that it can slow.
    """
    knows_effects = len(after.changes_by_name) <= MAX_CHECKED_CHANGES
    for difference in diff_documents(before, after):
        slowed: tuple[str, ...] = ()
        if difference.part == "change" and difference.what != "removed" and knows_effects:
            change = after.changes_by_name[difference.name]
            try:
                slowed = tuple(slowed_clients(after, change))
            except InvalidChangeError:
                # The check of planned changes reports it.
                slowed = ()
        what = _direction(difference) if difference.what == "changed" else difference.what
        yield MeaningDifference(
            what,
            difference.part,
            difference.name,
            difference.field,
            _shorten_digest(difference.field, difference.before),
            _shorten_digest(difference.field, difference.after),
            slowed,
        )


def _shorten_digest(field: str, value: str) -> str:
    """Shortens the digest of a token, which in full would confirm a guessed token."""
    return value[:KEY_LABEL_DIGITS] if field == "token_sha256" else value


def _direction(difference: Difference) -> DifferenceKind:
    """Returns whether a number was raised or lowered; other values have changed."""
    try:
        before, after = float(difference.before), float(difference.after)
    except ValueError:
        return "changed"
    return "raised" if after > before else "lowered"


def _slowed_accounts(draft: ConfigurationDraft) -> _Slowed:
    accounts = [item.account for item in draft.accounts]
    if not accounts:
        return _Slowed(_EVERY_CALLER, _EVERY_CALLER)
    return _Slowed(
        tuple(sorted(account.name for account in accounts)),
        tuple(sorted(account.name for account in accounts if account.priority is None)),
    )


def _routes_by_key(draft: ConfigurationDraft) -> dict[tuple[str, int], DraftRoute]:
    """Returns the routes by name and number among the routes of that name."""
    counts: collections.Counter[str] = collections.Counter()
    by_key = {}
    for item in draft.routes:
        by_key[item.route.name, counts[item.route.name]] = item
        counts[item.route.name] += 1
    return by_key


def _diff_routes_by_key(
    before: Mapping[tuple[str, int], DraftRoute],
    after: Mapping[tuple[str, int], DraftRoute],
    slowed: _Slowed,
) -> Iterator[MeaningDifference]:
    for key in sorted(before.keys() | after.keys()):
        name = key[0]
        if key not in before:
            yield MeaningDifference("added", "route", name, "", "", _describe(after[key]))
        elif key not in after:
            yield MeaningDifference(
                "removed", "route", name, "", _describe(before[key]), "", slowed.all
            )
        elif before[key].route != after[key].route or before[key].kind != after[key].kind:
            yield from _diff_route(name, before[key], after[key], slowed)


def _diff_route(
    name: str, before: DraftRoute, after: DraftRoute, slowed: _Slowed
) -> Iterator[MeaningDifference]:
    """Compares two routes; those that the gateway treats equally have no difference.

    Records of shards are sorted when they are merged, and only the shares of the weights count.
    """
    attributes: tuple[str, ...] = Route._fields
    values: Iterable[tuple[Any, Any]] = zip(before.route, after.route, strict=True)
    for attribute, (first, second) in zip(attributes, values, strict=True):
        if attribute == "idempotent":
            yield from _compare_values(
                "route", name, attribute, before.kind, after.kind, slowed.all
            )
        elif first == second:
            continue
        elif attribute == "shards":
            yield from _compare_values(
                "route", name, attribute, tuple(sorted(first)), tuple(sorted(second)), slowed.all
            )
        elif attribute == "weight_by_service":
            yield from _compare_values(
                "route", name, attribute, _shares(first), _shares(second), slowed.all
            )
        else:
            accounts = slowed.with_rank_of_route if attribute == "priority" else slowed.all
            yield from _compare_values("route", name, attribute, first, second, accounts)


def _shares(weight_by_service: Mapping[str, float]) -> dict[str, float]:
    """Returns the share of each service that gets requests, 0 to 1."""
    total = sum(weight_by_service.values())
    return {name: round(weight / total, 9) for name, weight in weight_by_service.items() if weight}


def _describe(draft: DraftRoute) -> str:
    return f"{draft.route.host}{draft.route.prefix}"


def _diff_services(
    before: Mapping[str, ServiceLimits], after: Mapping[str, ServiceLimits], slowed: _Slowed
) -> Iterator[MeaningDifference]:
    for name in sorted(before.keys() | after.keys()):
        if name not in before or name not in after:
            what: DifferenceKind = "added" if name in after else "removed"
            yield MeaningDifference(what, "service", name, "", "", "")
            continue
        for attribute in ("connections", "cold_requests_per_second"):
            first, second = getattr(before[name], attribute), getattr(after[name], attribute)
            yield from _compare_values("service", name, attribute, first, second, slowed.all)


def _diff_accounts(
    before: Mapping[str, DraftAccount], after: Mapping[str, DraftAccount]
) -> Iterator[MeaningDifference]:
    for name in sorted(before.keys() | after.keys()):
        if name not in before:
            count = len(after[name].keys)
            yield MeaningDifference("added", "account", name, "", "", counted(count, "key"))
            continue
        if name not in after:
            count = len(before[name].keys)
            yield MeaningDifference(
                "removed", "account", name, "", counted(count, "key"), "", (name,)
            )
            continue
        first, second = _account_values(before[name].account), _account_values(after[name].account)
        for attribute, value in first.items():
            yield from _compare_values(
                "account", name, attribute, value, second[attribute], (name,)
            )
        yield from _diff_keys(name, before[name], after[name])


def _account_values(account: ClientAccount) -> dict[str, Any]:
    quota = account.quota
    return {
        "priority": account.priority,
        "per_second": quota.per_second if quota else None,
        "burst": quota.burst if quota else None,
        "home_regions": account.home_regions,
    }


def _diff_keys(name: str, before: DraftAccount, after: DraftAccount) -> Iterator[MeaningDifference]:
    first = {key.digest: key.label for key in before.keys if key.digest}
    second = {key.digest: key.label for key in after.keys if key.digest}
    field = field_path("", "keys")
    added = sorted(second[digest] for digest in second.keys() - first.keys())
    removed = sorted(first[digest] for digest in first.keys() - second.keys())
    if added:
        text = f"{counted(len(added), 'key')} (digest {' '.join(added)})"
        yield MeaningDifference("added", "account", name, field, "", text)
    if removed:
        text = f"{counted(len(removed), 'key')} (digest {' '.join(removed)})"
        yield MeaningDifference("removed", "account", name, field, text, "", (name,))


def _compare_values(
    part: str, name: str, attribute: str, before: Any, after: Any, accounts: tuple[str, ...]
) -> Iterator[MeaningDifference]:
    if before == after:
        return
    what: DifferenceKind = "changed"
    if attribute in _MOVING_ATTRIBUTES:
        what = "moved"
    elif attribute in _SLOWING_BY_ATTRIBUTE:
        # No limit is above every limit, except for a rank: its absence is neither above nor below.
        missing = None if attribute == "priority" else math.inf
        first = missing if before is None else before
        second = missing if after is None else after
        if first is not None and second is not None:
            what = "raised" if second > first else "lowered"
    can_slow = what == _SLOWING_BY_ATTRIBUTE.get(attribute) or what == "moved"
    if attribute == "home_regions":
        can_slow = after is not None and (before is None or not before <= after)
    if attribute == "public":
        can_slow = not after
    yield MeaningDifference(
        what,
        part,
        name,
        field_path("", attribute),
        _format(attribute, before),
        _format(attribute, after),
        accounts if can_slow else (),
    )


def _format(attribute: str, value: Any) -> str:
    if value is None:
        return ""
    if attribute.endswith("_seconds"):
        return f"{value * 1000:g}"
    if isinstance(value, dict):
        return " ".join(f"{name}={weight:g}" for name, weight in sorted(value.items()))
    if isinstance(value, frozenset | tuple):
        return " ".join(sorted(value))
    return f"{value:g}" if isinstance(value, float) else str(value)
