"""Kinds of faults that a run injects."""

import random
import signal
from collections.abc import Callable
from typing import Any, NamedTuple

from filbertreach.timing import SystemClock
from filbertreach_standins.gateways._checker import (
    ALL_LEAVES_FAULT,
    LEAF_FAULT,
    LEAF_LINK_FAULT,
)
from filbertreach_standins.gateways._deployment import Deployment
from filbertreach_standins.gateways._process import GatewayProcess
from filbertreach_standins.gateways._record import (
    AddedRoute,
    FaultInterval,
    LeafDrain,
    LeafLimit,
    PlannedStop,
    RunRecord,
)
from filbertreach_standins.relay import Relay

Wait = Callable[[float], None]


class FaultContext(NamedTuple):
    """What a fault has access to while it is injected."""

    deployment: Deployment
    """Deployment that the fault is injected into."""
    record: RunRecord
    """Takes fault intervals, planned stops, leaf drains and added routes."""
    rng: random.Random
    """Seeded source of random choices."""
    wait: Wait
    """Waits for a time in seconds, or until the injection of faults ends."""
    gateway: GatewayProcess
    """Target of a fault that affects one gateway."""


class FaultKind(NamedTuple):
    """A kind of fault."""

    name: str
    """Name in `RunOptions.kinds` and in fault intervals."""
    is_global: bool
    """Whether it affects all gateways at once."""
    is_fault: bool
    """Whether its interval is recorded, in which bounds need not hold; False for operations."""
    inject: Callable[[FaultContext], None]
    """Injects the fault, keeps it active for a while and ends it."""
    target: str = ""
    """Name that kinds with the same target hold, so that one of them is active at a time; by
    default its own name, or the gateway."""


fault_kinds_by_name: dict[str, FaultKind] = {}
"""All kinds, registered by the decorator `register_fault`."""
_CLOCK = SystemClock()


def register_fault(
    name: str,
    *,
    is_global: bool = False,
    is_fault: bool = True,
    target: str = "",
    kinds_by_name: dict[str, FaultKind] = fault_kinds_by_name,
) -> Callable[[Callable[[FaultContext], None]], Callable[[FaultContext], None]]:
    """Returns a decorator that registers a kind of fault.

    Args:
        name: Name of the kind.
        is_global: Whether it affects all gateways at once.
        is_fault: Whether its interval is recorded; False for operations.
        target: Name that kinds with the same target hold; empty for the default.
        kinds_by_name: Takes the kind.
    """

    def register(inject: Callable[[FaultContext], None]) -> Callable[[FaultContext], None]:
        kinds_by_name[name] = FaultKind(name, is_global, is_fault, inject, target)
        return inject

    return register


def inject_fault(kind: FaultKind, context: FaultContext) -> None:
    """Injects a fault, ends it and records its interval.

    Args:
        kind: Kind of fault.
        context: Target and surroundings of the fault.
    """
    started_at = _CLOCK.now()
    kind.inject(context)
    if kind.is_fault:
        gateway = "" if kind.is_global else context.gateway.name
        context.record.fault_intervals.append(
            FaultInterval(kind.name, gateway, started_at, _CLOCK.now())
        )


@register_fault("kill")
def _kill(context: FaultContext) -> None:
    context.gateway.kill()
    context.wait(context.rng.uniform(0.1, 1.5))
    context.gateway.start()
    context.gateway.wait_listening()


@register_fault("stop")
def _stop(context: FaultContext) -> None:
    gateway = context.gateway
    requested_at, incarnation = _CLOCK.now(), gateway.incarnation
    exit_code = gateway.stop()
    context.record.stops.append(PlannedStop(gateway.name, incarnation, requested_at, exit_code))
    gateway.start()
    gateway.wait_listening()


@register_fault("pause")
def _pause(context: FaultContext) -> None:
    context.gateway.signal(signal.SIGSTOP)
    context.wait(context.rng.uniform(0.3, 5.0))
    context.gateway.signal(signal.SIGCONT)


@register_fault("hangup", is_fault=False)
def _reload_settings(context: FaultContext) -> None:
    for _ in range(context.rng.randrange(1, 4)):
        context.gateway.signal(signal.SIGHUP)
        context.wait(0.2)


@register_fault("kill all", is_global=True)
def _kill_all(context: FaultContext) -> None:
    gateways = context.deployment.gateways
    for gateway in gateways:
        gateway.kill()
    context.wait(context.rng.uniform(0.1, 1.0))
    for gateway in gateways:
        gateway.start()
    for gateway in gateways:
        gateway.wait_listening()


@register_fault("store away", is_global=True)
def _store_unavailable(context: FaultContext) -> None:
    choices: list[dict[str, Any]] = [{"outage": True}, {"outage": "hang"}, {"down": True}]
    faults = context.rng.choice(choices)
    context.deployment.store.set_faults(**faults)
    context.wait(context.rng.uniform(0.5, 5.0))
    context.deployment.store.set_faults(**dict.fromkeys(faults))


@register_fault("store forgets", is_global=True)
def _store_loses_history(context: FaultContext) -> None:
    context.deployment.store.set_faults(no_history=True)
    context.wait(context.rng.uniform(0.2, 1.0))
    context.deployment.store.set_faults(no_history=None)


@register_fault("cut from the store")
def _store_link_degraded(context: FaultContext) -> None:
    relay = context.deployment.relay_by_gateway[context.gateway.name]
    _degrade_relay(context, relay, max_seconds=7.0, delay_seconds=0.4)


@register_fault("cut from the seed", is_global=True)
def _seed_link_degraded(context: FaultContext) -> None:
    assert context.deployment.seed_relay is not None
    _degrade_relay(context, context.deployment.seed_relay, max_seconds=7.0, delay_seconds=0.4)


@register_fault("connections to the store fail")
def _store_connections_fail(context: FaultContext) -> None:
    _break_connections(context, context.deployment.relay_by_gateway[context.gateway.name])


@register_fault(LEAF_LINK_FAULT, is_global=True)
def _leaf_connections_fail(context: FaultContext) -> None:
    leaf = context.rng.choice(context.deployment.leaves)
    relay = context.deployment.relay_by_leaf[leaf.id]
    if context.rng.random() < 0.5:
        _break_connections(context, relay)
    else:
        # Lost bytes cannot reach a draining leaf late; the delay is within the margin of draining.
        _degrade_relay(context, relay, max_seconds=3.0, delay_seconds=0.15)


def _degrade_relay(
    context: FaultContext, relay: Relay, *, max_seconds: float, delay_seconds: float
) -> None:
    """Makes a relay drop or delay data for a while."""
    mode = context.rng.choice(["both", "requests", "answers", "slow"])
    relay.drops_requests = mode in ("both", "requests")
    relay.drops_responses = mode in ("both", "answers")
    relay.delay_seconds = delay_seconds if mode == "slow" else 0.0
    context.wait(context.rng.uniform(min(1.0, max_seconds / 3.0), max_seconds))
    relay.drops_requests = relay.drops_responses = False
    relay.delay_seconds = 0.0


def _break_connections(context: FaultContext, relay: Relay) -> None:
    """Blackholes the open connections of a relay permanently, or closes them."""
    if context.rng.random() < 0.5:
        relay.blackhole_open_connections()
    else:
        context.deployment.close_connections(relay)


@register_fault(LEAF_FAULT, is_global=True)
def _leaf_fails(context: FaultContext) -> None:
    leaf = context.rng.choice(context.deployment.leaves)
    choices: list[dict[str, Any]] = [
        {"hang": True},
        {"grey": 0.4},
        {"work_ms": 300},
        {"down": True},
        {"silent_connections": True},
        {"black_hole": True},
    ]
    faults = context.rng.choice(choices)
    leaf.set_faults(**faults)
    context.wait(context.rng.uniform(0.5, 4.0))
    leaf.set_faults(**dict.fromkeys(faults))


@register_fault(ALL_LEAVES_FAULT, is_global=True)
def _all_leaves_fail(context: FaultContext) -> None:
    # Each failure calls for a retry, which in total is more than the retry budget allows.
    leaves = context.deployment.leaves
    for leaf in leaves:
        leaf.set_faults(grey=0.6)
    context.wait(context.rng.uniform(1.0, 4.0))
    for leaf in leaves:
        leaf.set_faults(grey=None)


@register_fault("leaf leaves", is_fault=False)
def _drain_leaf(context: FaultContext) -> None:
    # Always the last leaf, so that concurrent faults never drain both leaves of a shard.
    leaf = context.deployment.leaves[-1]
    if not context.record.leaf_drains or context.record.leaf_drains[-1].ended_at < _CLOCK.now():
        context.deployment.write_leaf_entry(leaf, "draining")
        started_at = _CLOCK.now()
        context.record.leaf_drains.append(LeafDrain(leaf.id, started_at, float("inf")))
        context.wait(context.record.bound_seconds + context.rng.uniform(1.0, 5.0))
        context.record.leaf_drains[-1] = LeafDrain(leaf.id, started_at, _CLOCK.now())
        context.deployment.write_leaf_entry(leaf)


@register_fault("leaf limits its requests", is_fault=False)
def _limit_leaf(context: FaultContext) -> None:
    leaf = context.rng.choice(context.deployment.leaves)
    per_second = round(context.rng.uniform(0.5, 20.0), 1)
    started_at = _CLOCK.now()
    leaf.set_faults(request_limit=per_second)
    context.wait(context.rng.uniform(8.0, 14.0))
    context.record.leaf_limits.append(LeafLimit(leaf.id, per_second, started_at, _CLOCK.now()))
    leaf.set_faults(request_limit=None)


@register_fault("new route", is_fault=False)
def _add_routes(context: FaultContext) -> None:
    for _ in range(context.rng.randrange(1, 4)):
        path = f"/v{len(context.record.routes) + 2}-{context.rng.randrange(10**6)}/"
        has_unrelated_keys = context.rng.random() < 0.3
        other_keys: dict[str, str | None] = {}
        if has_unrelated_keys:
            other_keys = {f"status/{number}": path for number in range(300)}
        context.deployment.add_route(path, other_keys=other_keys)
        context.record.routes.append(AddedRoute(path, _CLOCK.now()))
        context.wait(context.rng.uniform(0.1, 1.0))
