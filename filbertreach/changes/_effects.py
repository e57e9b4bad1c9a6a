"""What each kind of change does to the services."""

import math
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from filbertreach.changes._capacity import slowdown_ratio
from filbertreach.document import Change, Environment, Service

ASSUMED_UTILISATION = 0.5
"""Share of a service's slots in use where no measurement is given. At one half, losing one leaf of
two leaves no spare slot, so an unmeasured service counts as slowed."""


class Effect(NamedTuple):
    """What a change does to the callers of some shards or ranks."""

    shards: frozenset[str]
    """Shards whose callers it touches; empty if it touches ranks."""
    ranks: frozenset[str]
    """Ranks that it touches; empty if it touches shards."""
    ratio: float
    """p99 during the change divided by p99 without it; infinity if the load does not fit."""
    reason: str
    """Cause in one line, with the figures."""
    last_leaf: bool
    """Whether a service would be left without any leaf."""


class OperatingConditions(NamedTuple):
    """What is known beside the document."""

    utilisation_by_service: Mapping[str, float] = {}
    """Measured share of slots in use, 0 to 1, by service name."""
    lost_leaves: frozenset[str] = frozenset()
    """Leaves that are lost without a plan at the moment."""


class InvalidChangeError(Exception):
    """A change whose subject or target fits nothing in the document."""


class _Context(NamedTuple):
    environment: Environment
    change: Change
    conditions: OperatingConditions

    def lost(self) -> set[str]:
        """Leaves away for other reasons: lost ones, and those drained by overlapping changes."""
        lost = set(self.conditions.lost_leaves)
        for other in self.environment.changes_by_name.values():
            if other.name != self.change.name and _overlap(other, self.change):
                lost |= drained_leaves(self.environment, other)
        return lost

    def utilisation(self, service: Service) -> float:
        return self.conditions.utilisation_by_service.get(service.name, ASSUMED_UTILISATION)

    def load(self, service: Service) -> float:
        return self.utilisation(service) * len(service.leaf_by_id) * service.pool.slots

    def describe_load(self, service: Service) -> str:
        measured = service.name in self.conditions.utilisation_by_service
        kind = "measured" if measured else "assumed"
        return f"{self.utilisation(service):.0%} of its slots in use ({kind})"


_Work = Callable[[_Context], Iterable[Effect]]
_effects_by_kind: dict[str, _Work] = {}


def effect_kind(kind: str) -> Callable[[_Work], _Work]:
    """Registers the function that works out the effects of a kind of change.

    Args:
        kind: Value of the option `kind` in a [change NAME] section.

    Returns:
        The decorator.
    """

    def register(function: _Work) -> _Work:
        _effects_by_kind[kind] = function
        return function

    return register


def change_effects(
    environment: Environment, change: Change, conditions: OperatingConditions | None = None
) -> list[Effect]:
    """Works out what a change does.

    Args:
        environment: The document that holds the change.
        change: One of its changes.
        conditions: Measured utilisation and lost leaves; nothing is known by default.

    Returns:
        One effect for each service or rank that is touched.

    Raises:
        InvalidChangeError: The subject or the target fits nothing in the document.
    """
    context = _Context(environment, change, conditions or OperatingConditions())
    return list(_effects_by_kind[change.kind](context))


def shards_of(environment: Environment, service: str) -> frozenset[str]:
    """Returns the shards that a service holds in any snapshot that is not retired."""
    return frozenset(
        shard
        for map_name in _live_maps(environment)
        for shard, owner in environment.maps_by_name[map_name].items()
        if owner == service
    )


def _live_maps(environment: Environment) -> set[str]:
    snapshots = environment.snapshots_by_version.values()
    return {snapshot.map_name for snapshot in snapshots if snapshot.state != "retired"}


def _overlap(first: Change, second: Change) -> bool:
    return first.starts < second.ends and second.starts < first.ends


def drained_leaves(environment: Environment, change: Change) -> set[str]:
    """Returns the ids of the leaves that get no new work while a change is in force."""
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


def _without_leaves(context: _Context, service: Service, gone: set[str], cause: str) -> Effect:
    away = {leaf for leaf in service.leaf_by_id if leaf in gone | context.lost()}
    left = len(service.leaf_by_id) - len(away)
    load = context.load(service)
    ratio = slowdown_ratio(
        slots_before=len(service.leaf_by_id) * service.pool.slots,
        slots_after=left * service.pool.slots,
        load_before=load,
        load_after=load,
    )
    others = sorted(away - gone)
    beside = f", {', '.join(others)} also away" if others else ""
    reason = (
        f"{cause}: service {service.name} keeps {left} of {len(service.leaf_by_id)} leaves"
        f"{beside}, {context.describe_load(service)}"
    )
    shards = shards_of(context.environment, service.name)
    return Effect(shards, frozenset(), ratio, reason, left == 0)


def _service_of_leaf(context: _Context) -> Service:
    for service in context.environment.services_by_name.values():
        if context.change.subject in service.leaf_by_id:
            return service
    raise InvalidChangeError(f"no service has a leaf {context.change.subject}")


@effect_kind("drain_leaf")
def _drain_leaf(context: _Context) -> Iterable[Effect]:
    leaf = context.change.subject
    yield _without_leaves(context, _service_of_leaf(context), {leaf}, f"{leaf} is drained")


@effect_kind("replace_leaf")
def _replace_leaf(context: _Context) -> Iterable[Effect]:
    # The new leaf starts cold, so it counts as absent until the change ends.
    leaf = context.change.subject
    cause = f"{leaf} is replaced and starts cold"
    yield _without_leaves(context, _service_of_leaf(context), {leaf}, cause)


@effect_kind("drain_host")
def _drain_host(context: _Context) -> Iterable[Effect]:
    host = context.change.subject
    at_host = _leaves_at(context.environment, host)
    if not at_host:
        yield from _moved_ownership(context, host)
    gone = {leaf for _, leaf in at_host}
    for service in {service.name: service for service, _ in at_host}.values():
        yield _without_leaves(context, service, gone, f"host {host} with its leaves is drained")


def _moved_ownership(context: _Context, host: str) -> Iterable[Effect]:
    """An entry host: its services move to other owners, which open new connections."""
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
    for map_name in sorted(_live_maps(environment)):
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


def _more_load(context: _Context, service: Service, extra: float, cause: str) -> Effect:
    leaves = len(service.leaf_by_id) - len(context.lost() & service.leaf_by_id.keys())
    load = context.load(service)
    ratio = slowdown_ratio(
        slots_before=len(service.leaf_by_id) * service.pool.slots,
        slots_after=leaves * service.pool.slots,
        load_before=load,
        load_after=load + extra,
    )
    reason = (
        f"{cause}: service {service.name} gains {extra:.2g} slots of load, "
        f"{context.describe_load(service)}"
    )
    shards = shards_of(context.environment, service.name) | {context.change.subject}
    return Effect(shards, frozenset(), ratio, reason, leaves == 0)


def _shard_load(context: _Context, source: Service) -> float:
    count = max(1, len(shards_of(context.environment, source.name)))
    return context.load(source) / count


@effect_kind("move_shard")
def _move_shard(context: _Context) -> Iterable[Effect]:
    shard = context.change.subject
    source, target = _service_of_shard(context, shard), _target_service(context)
    cause = f"shard {shard} moves from {source.name}"
    yield _more_load(context, target, _shard_load(context, source), cause)


@effect_kind("split_shard")
def _split_shard(context: _Context) -> Iterable[Effect]:
    # Until the old snapshot is retired, the source also answers for the whole shard; so the
    # receiving service gains half of the load while the source loses nothing.
    shard = context.change.subject
    source, target = _service_of_shard(context, shard), _target_service(context)
    extra = _shard_load(context, source) / 2
    yield _more_load(context, target, extra, f"shard {shard} of {source.name} is split")


@effect_kind("roll_snapshot")
def _roll_snapshot(context: _Context) -> Iterable[Effect]:
    # Leaves load a version one after another; each counts as away while it loads.
    environment, subject = context.environment, context.change.subject
    versions = {str(version): item for version, item in environment.snapshots_by_version.items()}
    if subject not in versions:
        raise InvalidChangeError(f"no snapshot has version {subject}")
    owners = set(environment.maps_by_name[versions[subject].map_name].values())
    for name in sorted(owners):
        service = environment.services_by_name[name]
        present = [leaf for leaf in service.leaf_by_id if leaf not in context.lost()]
        cause = f"leaves load version {subject} one after another"
        yield _without_leaves(context, service, set(present[:1]), cause)


@effect_kind("lower_share")
def _lower_share(context: _Context) -> Iterable[Effect]:
    rank = context.environment.ranks_by_name.get(context.change.subject)
    if rank is None:
        raise InvalidChangeError(f"no rank is named {context.change.subject}")
    share = _number(context.change.target, "the new kept share", 0.0, 1.0)
    ratio = math.inf if share == 0 and rank.kept_share > 0 else 1.0
    if share > 0:
        ratio = max(1.0, rank.kept_share / share)
    reason = (
        f"rank {rank.name} keeps {share:g} instead of {rank.kept_share:g} of each leaf "
        "under a flood of other ranks"
    )
    yield Effect(frozenset(), frozenset([rank.name]), ratio, reason, False)


@effect_kind("lower_limit")
def _lower_limit(context: _Context) -> Iterable[Effect]:
    pool = context.environment.pools_by_name.get(context.change.subject)
    if pool is None:
        raise InvalidChangeError(f"no pool is named {context.change.subject}")
    slots = int(_number(context.change.target, "the new number of slots", 1, pool.slots))
    for service in context.environment.services_by_name.values():
        if service.pool.name != pool.name:
            continue
        leaves = len(service.leaf_by_id) - len(context.lost() & service.leaf_by_id.keys())
        load = context.load(service)
        ratio = slowdown_ratio(
            slots_before=len(service.leaf_by_id) * pool.slots,
            slots_after=leaves * slots,
            load_before=load,
            load_after=load,
        )
        reason = (
            f"leaves of pool {pool.name} run {slots} instead of {pool.slots} calls at once: "
            f"service {service.name}, {context.describe_load(service)}"
        )
        shards = shards_of(context.environment, service.name)
        yield Effect(shards, frozenset(), ratio, reason, leaves == 0)


def _number(text: str, what: str, low: float, high: float) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not low <= value <= high:
        raise InvalidChangeError(
            f"target = {text or '(empty)'}: write {what}, from {low:g} to {high:g}"
        )
    return value
