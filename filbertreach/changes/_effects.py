"""Effects of each kind of change on the services."""

import math
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from filbertreach.changes._capacity import slowdown_ratio
from filbertreach.document import Change, Environment, Service

ASSUMED_UTILISATION = 0.5
"""Share of a service's slots that is assumed to be in use if no measurement is given. At one half,
a service of two leaves that loses one has no spare slot, so that without a measurement its clients
count as slowed."""


class Effect(NamedTuple):
    """Effect of a change on the queries for some shards or of some ranks.

    If both shards and ranks are given, only queries that match both are affected.
    """

    shards: frozenset[str]
    """Affected shards; empty if the effect depends on the rank alone."""
    ranks: frozenset[str]
    """Affected ranks; empty if the effect depends on the shard alone."""
    ratio: float
    """p99 latency during the change divided by that without it; infinity if the load exceeds the
    capacity."""
    reason: str
    """Cause in one line, with figures."""
    last_leaf: bool
    """Whether the change would leave a service without leaves."""


class OperatingConditions(NamedTuple):
    """Measured state of the services, in addition to the document."""

    utilisation_by_service: Mapping[str, float] = {}
    """Measured share of slots in use, 0 to 1, by service name."""
    lost_leaves: frozenset[str] = frozenset()
    """Leaves that are currently unavailable without being part of a planned change."""


class InvalidChangeError(Exception):
    """The subject or the target of a change does not match the document."""


class _Context(NamedTuple):
    environment: Environment
    change: Change
    conditions: OperatingConditions

    def unavailable_leaves(self) -> set[str]:
        """Returns the lost leaves and those that overlapping changes drain."""
        lost = set(self.conditions.lost_leaves)
        for other in self.environment.changes_by_name.values():
            if other.name != self.change.name and _overlap(other, self.change):
                lost |= drained_leaves(self.environment, other)
        return lost

    def utilisation(self, service: Service) -> float:
        return self.conditions.utilisation_by_service.get(service.name, ASSUMED_UTILISATION)

    def load(self, service: Service) -> float:
        """Returns the offered load of a service, as the mean number of slots in use."""
        return self.utilisation(service) * len(service.leaf_by_id) * service.pool.slots

    def describe_utilisation(self, service: Service) -> str:
        measured = service.name in self.conditions.utilisation_by_service
        kind = "measured" if measured else "assumed"
        return f"{self.utilisation(service):.0%} of its slots in use ({kind})"


_EffectFunction = Callable[[_Context], Iterable[Effect]]
_effect_function_by_kind: dict[str, _EffectFunction] = {}


def register_effects(kind: str) -> Callable[[_EffectFunction], _EffectFunction]:
    """Returns a decorator that registers the function for the effects of a kind of change.

    Args:
        kind: Value of the option `kind` in a [change NAME] section.

    Returns:
        The decorator.
    """

    def register(function: _EffectFunction) -> _EffectFunction:
        _effect_function_by_kind[kind] = function
        return function

    return register


def change_effects(
    environment: Environment, change: Change, conditions: OperatingConditions | None = None
) -> list[Effect]:
    """Returns the effects of a change.

    Args:
        environment: The document that contains the change.
        change: One of its changes.
        conditions: Measured utilisation and lost leaves; by default none are known.

    Returns:
        One effect for each affected service or rank.

    Raises:
        InvalidChangeError: The subject or the target does not match the document.
    """
    context = _Context(environment, change, conditions or OperatingConditions())
    return list(_effect_function_by_kind[change.kind](context))


def shards_of(environment: Environment, service: str) -> frozenset[str]:
    """Returns the shards that a service owns in any snapshot that is not retired."""
    return frozenset(
        shard
        for map_name in _maps_in_use(environment)
        for shard, owner in environment.maps_by_name[map_name].items()
        if owner == service
    )


def _maps_in_use(environment: Environment) -> set[str]:
    snapshots = environment.snapshots_by_version.values()
    return {snapshot.map_name for snapshot in snapshots if snapshot.state != "retired"}


def _overlap(first: Change, second: Change) -> bool:
    return first.starts < second.ends and second.starts < first.ends


def drained_leaves(environment: Environment, change: Change) -> set[str]:
    """Returns the ids of the leaves that receive no new calls while a change is in force."""
    if change.kind in ("drain_leaf", "replace_leaf"):
        return {change.subject}
    if change.kind == "drain_host":
        return {leaf for _, leaf in _leaves_at(environment, change.subject)}
    return set()


def _leaves_at(environment: Environment, address: str) -> list[tuple[Service, str]]:
    return [
        (service, leaf.id)
        for service in environment.services_by_name.values()
        for leaf in service.leaf_by_id.values()
        if leaf.address.rsplit(":", 1)[0] == address
    ]


def _effect_of_missing_leaves(
    context: _Context, service: Service, removed: set[str], cause: str
) -> Effect:
    missing = {
        leaf for leaf in service.leaf_by_id if leaf in removed | context.unavailable_leaves()
    }
    remaining = len(service.leaf_by_id) - len(missing)
    load = context.load(service)
    ratio = slowdown_ratio(
        slots_before=len(service.leaf_by_id) * service.pool.slots,
        slots_after=remaining * service.pool.slots,
        load_before=load,
        load_after=load,
    )
    others = sorted(missing - removed)
    also_away = f", {', '.join(others)} also away" if others else ""
    reason = (
        f"{cause}: service {service.name} keeps {remaining} of {len(service.leaf_by_id)} leaves"
        f"{also_away}, {context.describe_utilisation(service)}"
    )
    shards = shards_of(context.environment, service.name)
    return Effect(shards, frozenset(), ratio, reason, remaining == 0)


def _service_of_leaf(context: _Context) -> Service:
    for service in context.environment.services_by_name.values():
        if context.change.subject in service.leaf_by_id:
            return service
    raise InvalidChangeError(f"no service has a leaf {context.change.subject}")


@register_effects("drain_leaf")
def _drain_leaf(context: _Context) -> Iterable[Effect]:
    leaf = context.change.subject
    yield _effect_of_missing_leaves(
        context, _service_of_leaf(context), {leaf}, f"{leaf} is drained"
    )


@register_effects("replace_leaf")
def _replace_leaf(context: _Context) -> Iterable[Effect]:
    # The new leaf starts with cold caches, so it counts as missing until the change ends.
    leaf = context.change.subject
    cause = f"{leaf} is replaced and starts cold"
    yield _effect_of_missing_leaves(context, _service_of_leaf(context), {leaf}, cause)


@register_effects("drain_host")
def _drain_host(context: _Context) -> Iterable[Effect]:
    host = context.change.subject
    leaves_at_host = _leaves_at(context.environment, host)
    if not leaves_at_host:
        yield from _effects_of_ownership_moves(context, host)
    removed = {leaf for _, leaf in leaves_at_host}
    for service in {service.name: service for service, _ in leaves_at_host}.values():
        yield _effect_of_missing_leaves(
            context, service, removed, f"host {host} with its leaves is drained"
        )


def _effects_of_ownership_moves(context: _Context, host: str) -> Iterable[Effect]:
    """Yields the effects of draining a host without leaves.

    Its services move to other owners, which open new connections to the leaves.
    """
    ranks = context.environment.ranks_by_name.values()
    for service in context.environment.services_by_name.values():
        cost = service.pool.connect_cost_ms
        for rank in ranks:
            reason = (
                f"host {host} is drained: service {service.name} may get a new owner, which "
                f"opens connections at {cost:g} ms, rank {rank.name} has {rank.target_ms:g} ms"
            )
            shards = shards_of(context.environment, service.name)
            ratio = 1 + cost / rank.target_ms
            yield Effect(shards, frozenset([rank.name]), ratio, reason, False)


def _service_of_shard(context: _Context, shard: str) -> Service:
    environment = context.environment
    for map_name in sorted(_maps_in_use(environment)):
        owner = environment.maps_by_name[map_name].get(shard)
        if owner is not None:
            return environment.services_by_name[owner]
    raise InvalidChangeError(f"no map of a loading or serving snapshot has a shard {shard}")


def _target_service(context: _Context) -> Service:
    target = context.change.target
    service = context.environment.services_by_name.get(target)
    if service is None:
        raise InvalidChangeError(f"target = {target or '(empty)'}: name the receiving service")
    return service


def _effect_of_added_load(context: _Context, service: Service, extra: float, cause: str) -> Effect:
    leaves = len(service.leaf_by_id) - len(context.unavailable_leaves() & service.leaf_by_id.keys())
    load = context.load(service)
    ratio = slowdown_ratio(
        slots_before=len(service.leaf_by_id) * service.pool.slots,
        slots_after=leaves * service.pool.slots,
        load_before=load,
        load_after=load + extra,
    )
    reason = (
        f"{cause}: service {service.name} gains {extra:.2g} slots of load, "
        f"{context.describe_utilisation(service)}"
    )
    shards = shards_of(context.environment, service.name) | {context.change.subject}
    return Effect(shards, frozenset(), ratio, reason, leaves == 0)


def _shard_load(context: _Context, source: Service) -> float:
    """Returns the mean load of one shard of a service, as the mean number of slots in use."""
    count = max(1, len(shards_of(context.environment, source.name)))
    return context.load(source) / count


@register_effects("move_shard")
def _move_shard(context: _Context) -> Iterable[Effect]:
    shard = context.change.subject
    source, target = _service_of_shard(context, shard), _target_service(context)
    cause = f"shard {shard} moves from {source.name}"
    yield _effect_of_added_load(context, target, _shard_load(context, source), cause)


@register_effects("split_shard")
def _split_shard(context: _Context) -> Iterable[Effect]:
    # The source serves the whole shard until the old snapshot is retired, so the receiving service
    # gains half of the load while the load of the source does not decrease.
    shard = context.change.subject
    source, target = _service_of_shard(context, shard), _target_service(context)
    extra = _shard_load(context, source) / 2
    yield _effect_of_added_load(context, target, extra, f"shard {shard} of {source.name} is split")


@register_effects("roll_snapshot")
def _roll_snapshot(context: _Context) -> Iterable[Effect]:
    # Leaves load a version one after another; each counts as missing while it loads.
    environment, subject = context.environment, context.change.subject
    versions = {str(version): item for version, item in environment.snapshots_by_version.items()}
    if subject not in versions:
        raise InvalidChangeError(f"no snapshot has version {subject}")
    owners = set(environment.maps_by_name[versions[subject].map_name].values())
    for name in sorted(owners):
        service = environment.services_by_name[name]
        present = [leaf for leaf in service.leaf_by_id if leaf not in context.unavailable_leaves()]
        cause = f"leaves load version {subject} one after another"
        yield _effect_of_missing_leaves(context, service, set(present[:1]), cause)


@register_effects("lower_share")
def _lower_share(context: _Context) -> Iterable[Effect]:
    rank = context.environment.ranks_by_name.get(context.change.subject)
    if rank is None:
        raise InvalidChangeError(f"no rank is named {context.change.subject}")
    share = _parse_number(context.change.target, "the new kept share", 0.0, 1.0)
    ratio = math.inf if share == 0 and rank.kept_share > 0 else 1.0
    if share > 0:
        ratio = max(1.0, rank.kept_share / share)
    reason = (
        f"rank {rank.name} keeps {share:g} instead of {rank.kept_share:g} of each leaf "
        "under a flood of other ranks"
    )
    yield Effect(frozenset(), frozenset([rank.name]), ratio, reason, False)


@register_effects("lower_limit")
def _lower_limit(context: _Context) -> Iterable[Effect]:
    pool = context.environment.pools_by_name.get(context.change.subject)
    if pool is None:
        raise InvalidChangeError(f"no pool is named {context.change.subject}")
    slots = int(_parse_number(context.change.target, "the new number of slots", 1, pool.slots))
    for service in context.environment.services_by_name.values():
        if service.pool.name != pool.name:
            continue
        leaves = len(service.leaf_by_id) - len(
            context.unavailable_leaves() & service.leaf_by_id.keys()
        )
        load = context.load(service)
        ratio = slowdown_ratio(
            slots_before=len(service.leaf_by_id) * pool.slots,
            slots_after=leaves * slots,
            load_before=load,
            load_after=load,
        )
        reason = (
            f"leaves of pool {pool.name} run {slots} instead of {pool.slots} calls at once: "
            f"service {service.name}, {context.describe_utilisation(service)}"
        )
        shards = shards_of(context.environment, service.name)
        yield Effect(shards, frozenset(), ratio, reason, leaves == 0)


def _parse_number(text: str, description: str, low: float, high: float) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not low <= value <= high:
        raise InvalidChangeError(
            f"target = {text or '(empty)'}: write {description}, from {low:g} to {high:g}"
        )
    return value
