"""Kinds of faults, picked by the seed."""

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
    LeafDrain,
    PlannedStop,
    RouteWritten,
    RunRecord,
    Span,
)
from filbertreach_standins.relay import Relay

Pause = Callable[[float], None]


class Scene(NamedTuple):
    """What a fault acts on."""

    deployment: Deployment
    """The deployment."""
    record: RunRecord
    """Takes what was done."""
    choices: random.Random
    """Choices of the lane."""
    pause: Pause
    """Waits, shorter if the run ends."""
    gateway: GatewayProcess
    """The gateway that no other lane acts on now."""


class FaultKind(NamedTuple):
    """A kind of fault."""

    name: str
    """Name, as in spans."""
    is_global: bool
    """Whether it strikes all gateways at once."""
    is_fault: bool
    """Whether bounds do not hold meanwhile."""
    strike: Callable[[Scene], None]
    """Does it, and ends it."""


kind_by_name: dict[str, FaultKind] = {}
"""All kinds."""
_CLOCK = SystemClock()


def _kind(
    name: str, *, is_global: bool = False, is_fault: bool = True
) -> Callable[[Callable[[Scene], None]], Callable[[Scene], None]]:
    def register(strike: Callable[[Scene], None]) -> Callable[[Scene], None]:
        kind_by_name[name] = FaultKind(name, is_global, is_fault, strike)
        return strike

    return register


def strike(kind: FaultKind, scene: Scene) -> None:
    """Carries a fault out and records when it was.

    Args:
        kind: What to do.
        scene: What it acts on.
    """
    began = _CLOCK.now()
    kind.strike(scene)
    if kind.is_fault:
        gateway = "" if kind.is_global else scene.gateway.name
        scene.record.spans.append(Span(kind.name, gateway, began, _CLOCK.now()))


@_kind("kill")
def _kill(scene: Scene) -> None:
    scene.gateway.kill()
    scene.pause(scene.choices.uniform(0.1, 1.5))
    scene.gateway.start()
    scene.gateway.wait_listening()


@_kind("stop")
def _stop(scene: Scene) -> None:
    gateway = scene.gateway
    requested_at, incarnation = _CLOCK.now(), gateway.incarnation
    code = gateway.stop()
    scene.record.stops.append(PlannedStop(gateway.name, incarnation, requested_at, code))
    gateway.start()
    gateway.wait_listening()


@_kind("pause")
def _pause(scene: Scene) -> None:
    scene.gateway.signal(signal.SIGSTOP)
    scene.pause(scene.choices.uniform(0.3, 5.0))
    scene.gateway.signal(signal.SIGCONT)


@_kind("hangup", is_fault=False)
def _hangup(scene: Scene) -> None:
    for _ in range(scene.choices.randrange(1, 4)):
        scene.gateway.signal(signal.SIGHUP)
        scene.pause(0.2)


@_kind("kill all", is_global=True)
def _kill_all(scene: Scene) -> None:
    gateways = scene.deployment.gateways
    for gateway in gateways:
        gateway.kill()
    scene.pause(scene.choices.uniform(0.1, 1.0))
    for gateway in gateways:
        gateway.start()
    for gateway in gateways:
        gateway.wait_listening()


@_kind("store away", is_global=True)
def _store_away(scene: Scene) -> None:
    hows: list[dict[str, Any]] = [{"outage": True}, {"outage": "hang"}, {"down": True}]
    how = scene.choices.choice(hows)
    scene.deployment.store.set_faults(**how)
    scene.pause(scene.choices.uniform(0.5, 5.0))
    scene.deployment.store.set_faults(**dict.fromkeys(how))


@_kind("store forgets", is_global=True)
def _store_forgets(scene: Scene) -> None:
    scene.deployment.store.set_faults(no_history=True)
    scene.pause(scene.choices.uniform(0.2, 1.0))
    scene.deployment.store.set_faults(no_history=None)


@_kind("cut from the store")
def _cut(scene: Scene) -> None:
    relay = scene.deployment.relay_by_gateway[scene.gateway.name]
    _harm(scene, relay, longest_seconds=7.0, delay_seconds=0.4)


@_kind("cut from the seed", is_global=True)
def _cut_seed(scene: Scene) -> None:
    assert scene.deployment.seed_relay is not None
    _harm(scene, scene.deployment.seed_relay, longest_seconds=7.0, delay_seconds=0.4)


@_kind("connections to the store fail")
def _connections(scene: Scene) -> None:
    _break(scene, scene.deployment.relay_by_gateway[scene.gateway.name])


@_kind(LEAF_LINK_FAULT, is_global=True)
def _leaf_connections(scene: Scene) -> None:
    leaf = scene.choices.choice(scene.deployment.leaves)
    relay = scene.deployment.relay_by_leaf[leaf.id]
    if scene.choices.random() < 0.5:
        _break(scene, relay)
    else:
        # Bytes that are lost arrive nowhere late, and a delay is within the margin of draining.
        _harm(scene, relay, longest_seconds=3.0, delay_seconds=0.15)


def _harm(scene: Scene, relay: Relay, *, longest_seconds: float, delay_seconds: float) -> None:
    """Lets a relay lose or delay what it carries for a while."""
    how = scene.choices.choice(["both", "requests", "answers", "slow"])
    relay.drops_requests = how in ("both", "requests")
    relay.drops_responses = how in ("both", "answers")
    relay.delay_seconds = delay_seconds if how == "slow" else 0.0
    scene.pause(scene.choices.uniform(min(1.0, longest_seconds / 3.0), longest_seconds))
    relay.drops_requests = relay.drops_responses = False
    relay.delay_seconds = 0.0


def _break(scene: Scene, relay: Relay) -> None:
    """Lets the connections of a relay go silent for good, or ends them."""
    if scene.choices.random() < 0.5:
        relay.blackhole_open_connections()
    else:
        scene.deployment.cut_connections(relay)


@_kind(LEAF_FAULT, is_global=True)
def _leaf_fails(scene: Scene) -> None:
    leaf = scene.choices.choice(scene.deployment.leaves)
    hows: list[dict[str, Any]] = [
        {"hang": True},
        {"grey": 0.4},
        {"work_ms": 300},
        {"down": True},
        {"silent_connections": True},
        {"black_hole": True},
    ]
    how = scene.choices.choice(hows)
    leaf.set_faults(**how)
    scene.pause(scene.choices.uniform(0.5, 4.0))
    leaf.set_faults(**dict.fromkeys(how))


@_kind(ALL_LEAVES_FAULT, is_global=True)
def _all_leaves_fail(scene: Scene) -> None:
    # Each failure asks for a second call, more than the retry budget allows.
    leaves = scene.deployment.leaves
    for leaf in leaves:
        leaf.set_faults(grey=0.6)
    scene.pause(scene.choices.uniform(1.0, 4.0))
    for leaf in leaves:
        leaf.set_faults(grey=None)


@_kind("leaf leaves", is_fault=False)
def _leaf_leaves(scene: Scene) -> None:
    # The last leaf of the last shard, so that lanes never drain both leaves of one.
    leaf = scene.deployment.leaves[-1]
    if not scene.record.drained or scene.record.drained[-1].ended < _CLOCK.now():
        scene.deployment.list_leaf(leaf, "draining")
        began = _CLOCK.now()
        scene.record.drained.append(LeafDrain(leaf.id, began, float("inf")))
        scene.pause(scene.record.bound_seconds + scene.choices.uniform(1.0, 5.0))
        scene.record.drained[-1] = LeafDrain(leaf.id, began, _CLOCK.now())
        scene.deployment.list_leaf(leaf)


@_kind("new route", is_fault=False)
def _new_route(scene: Scene) -> None:
    for _ in range(scene.choices.randrange(1, 4)):
        path = f"/v{len(scene.record.routes) + 2}-{scene.choices.randrange(10**6)}/"
        many = scene.choices.random() < 0.3
        others: dict[str, str | None] = {}
        if many:
            others = {f"status/{number}": path for number in range(300)}
        scene.deployment.add_route(path, others=others)
        scene.record.routes.append(RouteWritten(path, _CLOCK.now()))
        scene.pause(scene.choices.uniform(0.1, 1.0))
