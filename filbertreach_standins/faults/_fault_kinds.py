"""Kinds of faults that a fault run injects."""

import datetime
import json
import random
import re
import signal
import time
from collections.abc import Callable
from typing import NamedTuple

from filbertreach.timing import SystemClock
from filbertreach_standins._process import StandInControl
from filbertreach_standins.daemon_process import DaemonProcess
from filbertreach_standins.faults._record import (
    AcceptedGeneration,
    LeafDrain,
    PlannedStop,
    RunRecord,
)
from filbertreach_standins.fleet import Fleet

_APPLY_WAIT_SECONDS = "40"
_ACCEPTED_EXIT_CODES = (0, 6)
"""Exit codes of filbertreach-ctl for an accepted document."""

Undo = Callable[[], None]
"""Ends a fault and restores its target."""


class FaultContext(NamedTuple):
    """What a fault has access to while it is injected."""

    fleet: Fleet
    """Fleet with agents."""
    record: RunRecord
    """Takes leaf drains, planned stops and accepted generations."""
    rng: random.Random
    """Seeded source of random choices."""
    clock: SystemClock
    """Reads CLOCK_BOOTTIME."""


class Target(NamedTuple):
    """What a fault affects; it has at most one fault at a time."""

    name: str
    """Name of the process, leaf or service."""
    daemon: DaemonProcess | None = None
    """Set if the target is a daemon."""
    control: StandInControl | None = None
    """Set if the target is a stand-in."""


class FaultKind(NamedTuple):
    """A kind of fault."""

    name: str
    """Name in `FaultRunOptions.kinds` and in the summary."""
    targets: Callable[[Fleet], list[Target]]
    """Returns the possible targets."""
    start: Callable[[FaultContext, Target], Undo]
    """Injects the fault into a target; the returned function ends it."""
    max_seconds: float
    """Upper limit of its duration, which is at least half of this."""


fault_kinds_by_name: dict[str, FaultKind] = {}
"""All kinds, registered at the end of this module."""


def _register(
    name: str,
    targets: Callable[[Fleet], list[Target]],
    start: Callable[[FaultContext, Target], Undo],
    max_seconds: float = 3.0,
) -> None:
    fault_kinds_by_name[name] = FaultKind(name, targets, start, max_seconds)


def _daemon_targets(role: str) -> Callable[[Fleet], list[Target]]:
    def targets(fleet: Fleet) -> list[Target]:
        return [Target(daemon.name, daemon) for daemon in getattr(fleet, role)]

    return targets


def _leaf_targets(fleet: Fleet) -> list[Target]:
    return [Target(id, control=control) for id, control in fleet.leaves_by_id.items()]


def _store_target(fleet: Fleet) -> list[Target]:
    return [Target("key_value", control=fleet.key_value)]


def _version_target(fleet: Fleet) -> list[Target]:
    return [Target("versions")]


def _kill(context: FaultContext, target: Target) -> Undo:
    daemon = target.daemon
    assert daemon is not None
    daemon.kill()
    return daemon.start


def _pause(context: FaultContext, target: Target) -> Undo:
    daemon = target.daemon
    assert daemon is not None
    daemon.signal(signal.SIGSTOP)
    return lambda: daemon.signal(signal.SIGCONT)


def _stop(context: FaultContext, target: Target) -> Undo:
    daemon = target.daemon
    assert daemon is not None
    requested_at = context.clock.now()
    daemon.signal(signal.SIGTERM)

    def restart() -> None:
        exit_code = daemon.wait_stopped()
        context.record.stops.append(
            PlannedStop(daemon.name, requested_at, context.clock.now(), exit_code)
        )
        daemon.start()

    return restart


def _set_fault(name: str, value: object) -> Callable[[FaultContext, Target], Undo]:
    def start(context: FaultContext, target: Target) -> Undo:
        control = target.control
        assert control is not None
        control.set_faults(**{name: value})

        def end() -> None:
            control.set_faults(**{name: None})

        return end

    return start


def _drain_leaf(context: FaultContext, target: Target) -> Undo:
    control = target.control
    assert control is not None
    control.set_faults(draining="announce")
    reported_at = context.clock.now()

    def end() -> None:
        ended_at = context.clock.now()
        control.set_faults(draining=None)
        context.record.leaf_drains.append(LeafDrain(target.name, "health", reported_at, ended_at))

    return end


def _roll_snapshot(context: FaultContext, target: Target) -> Undo:
    """Loads the next version on all leaves and applies a document that retires the old one.

    Ending it removes the old version from the leaves.
    """
    fleet = context.fleet
    old_version = int(max(re.findall(r"\[snapshot (\d+)\]", fleet.document), key=int))
    for control in fleet.leaves_by_id.values():
        control.set_faults(versions=[old_version, old_version + 1])
    text = re.sub(r"\[snapshot \d+\]\nmap = one\nstate = \w+\n", "", fleet.document)
    text += f"[snapshot {old_version}]\nmap = one\nstate = retired\n"
    text += f"[snapshot {old_version + 1}]\nmap = one\nstate = serving\n"
    apply_document(context, text)

    def end() -> None:
        if fleet.document == text:
            for control in fleet.leaves_by_id.values():
                control.set_faults(versions=[old_version + 1])

    return end


def apply_document(context: FaultContext, text: str) -> bool:
    """Applies a document with filbertreach-ctl and records its acceptance or refusal.

    Args:
        context: Context with the fleet and the record.
        text: Text of the document.

    Returns:
        Whether it was accepted.
    """
    path = context.fleet.folder / "next.ini"
    path.write_text(text, encoding="utf-8")
    options = ("--reason", "fault run", "--wait", _APPLY_WAIT_SECONDS, "--json")
    completed = context.fleet.ctl("apply", str(path), *options, check=False)
    if completed.returncode not in _ACCEPTED_EXIT_CODES:
        context.record.injected_faults.append(
            f"filbertreach-ctl apply was refused with exit code {completed.returncode}"
        )
        return False
    outcome = json.loads(completed.stdout)
    age_seconds = time.time() - datetime.datetime.fromisoformat(outcome["accepted_at"]).timestamp()
    context.record.accepted_generations.append(
        AcceptedGeneration(outcome["generation"], context.clock.now() - age_seconds)
    )
    context.fleet.document = text
    return True


for _role, _program in (("entries", "entry"), ("dispatchers", "dispatch"), ("agents", "agent")):
    _register(f"kill {_program}", _daemon_targets(_role), _kill)
    _register(f"pause {_program}", _daemon_targets(_role), _pause, 4.0)
_register("stop entry", _daemon_targets("entries"), _stop)
_register("stop dispatch", _daemon_targets("dispatchers"), _stop)
for _name, _value in {
    "silent_connections": True,
    "stuck": 0.5,
    "slow_factor": 20.0,
    "fails_fast": 0.5,
    "sheds": 0.7,
    "sheds_unmarked": 0.3,
    "garbage_body": 0.5,
    "crossed_answer": 0.5,
    "wrong_version": 0.5,
    "wrong_shard": 0.5,
    "truncated_body": 0.5,
    "duplicate_rows": 0.5,
    "reset_before_reading": 0.5,
    "reset_after_executing": 0.5,
    "down": True,
}.items():
    _register(f"leaf {_name}", _leaf_targets, _set_fault(_name, _value))
_register("leaf draining", _leaf_targets, _drain_leaf, 8.0)
_register("store outage", _store_target, _set_fault("outage", True))
_register("store hang", _store_target, _set_fault("outage", "hang"))
_register("store slow", _store_target, _set_fault("delay_ms", 400))
_register("store lost answers", _store_target, _set_fault("lose_answers", 0.5))
_register("roll versions", _version_target, _roll_snapshot, 2.0)
