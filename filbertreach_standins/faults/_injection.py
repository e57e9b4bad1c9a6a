"""The faults that a fault run picks from."""

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
from filbertreach_standins.faults._record import Acceptance, LeafDrain, PlannedStop, RunRecord
from filbertreach_standins.fleet import DaemonProcess, Fleet

_ROLL_WAIT_SECONDS = "40"
_CTL_DONE = (0, 6)
"""Exit codes of filbertreach-ctl with which the document was accepted."""

Undo = Callable[[], None]


class Scene(NamedTuple):
    """What a fault acts on."""

    fleet: Fleet
    """The fleet, with agents."""
    record: RunRecord
    """Where leaving leaves, planned stops and acceptances are recorded."""
    generator: random.Random
    """Seeded."""
    clock: SystemClock
    """CLOCK_BOOTTIME."""


class Target(NamedTuple):
    """What one fault strikes; two faults never strike the same target at once."""

    name: str
    """Name of the process, leaf or service."""
    daemon: DaemonProcess | None = None
    """The daemon, if it is one."""
    control: StandInControl | None = None
    """The stand-in, if it is one."""


class FaultKind(NamedTuple):
    """A kind of fault."""

    name: str
    """Name in the plan."""
    targets: Callable[[Fleet], list[Target]]
    """What it can strike."""
    start: Callable[[Scene, Target], Undo]
    """Injects it; the result ends it."""
    longest_seconds: float
    """It lasts from half of this to this."""


fault_kinds_by_name: dict[str, FaultKind] = {}
"""Filled below."""


def _register(
    name: str,
    targets: Callable[[Fleet], list[Target]],
    start: Callable[[Scene, Target], Undo],
    longest_seconds: float = 3.0,
) -> None:
    fault_kinds_by_name[name] = FaultKind(name, targets, start, longest_seconds)


def _daemons(role: str) -> Callable[[Fleet], list[Target]]:
    def targets(fleet: Fleet) -> list[Target]:
        return [Target(daemon.name, daemon) for daemon in getattr(fleet, role)]

    return targets


def _leaves(fleet: Fleet) -> list[Target]:
    return [Target(id, control=control) for id, control in fleet.leaves_by_id.items()]


def _store(fleet: Fleet) -> list[Target]:
    return [Target("key_value", control=fleet.key_value)]


def _versions(fleet: Fleet) -> list[Target]:
    return [Target("versions")]


def _kill(scene: Scene, target: Target) -> Undo:
    daemon = target.daemon
    assert daemon is not None
    daemon.kill()
    return daemon.start


def _pause(scene: Scene, target: Target) -> Undo:
    daemon = target.daemon
    assert daemon is not None
    daemon.signal(signal.SIGSTOP)
    return lambda: daemon.signal(signal.SIGCONT)


def _stop(scene: Scene, target: Target) -> Undo:
    daemon = target.daemon
    assert daemon is not None
    requested_at = scene.clock.now()
    daemon.signal(signal.SIGTERM)

    def start_again() -> None:
        code = daemon.wait_stopped()
        scene.record.stops.append(PlannedStop(daemon.name, requested_at, scene.clock.now(), code))
        daemon.start()

    return start_again


def _set_fault(name: str, value: object) -> Callable[[Scene, Target], Undo]:
    def start(scene: Scene, target: Target) -> Undo:
        control = target.control
        assert control is not None
        control.set_faults(**{name: value})

        def end() -> None:
            control.set_faults(**{name: None})

        return end

    return start


def _drain(scene: Scene, target: Target) -> Undo:
    control = target.control
    assert control is not None
    control.set_faults(draining="announce")
    reported_at = scene.clock.now()

    def end() -> None:
        until = scene.clock.now()
        control.set_faults(draining=None)
        scene.record.leaf_drains.append(LeafDrain(target.name, "health", reported_at, until))

    return end


def _roll(scene: Scene, target: Target) -> Undo:
    """Loads the next version on all leaves, accepts it, and lets the old one be retired."""
    fleet = scene.fleet
    old = int(max(re.findall(r"\[snapshot (\d+)\]", fleet.document), key=int))
    for control in fleet.leaves_by_id.values():
        control.set_faults(versions=[old, old + 1])
    text = re.sub(r"\[snapshot \d+\]\nmap = one\nstate = \w+\n", "", fleet.document)
    text += f"[snapshot {old}]\nmap = one\nstate = retired\n"
    text += f"[snapshot {old + 1}]\nmap = one\nstate = serving\n"
    apply_document(scene, text)

    def end() -> None:
        if fleet.document == text:
            for control in fleet.leaves_by_id.values():
                control.set_faults(versions=[old + 1])

    return end


def apply_document(scene: Scene, text: str) -> bool:
    """Applies a document with filbertreach-ctl, as an operator does, and records the outcome.

    Args:
        scene: The scene.
        text: Document.

    Returns:
        Whether it was accepted.
    """
    path = scene.fleet.folder / "next.ini"
    path.write_text(text, encoding="utf-8")
    options = ("--reason", "fault run", "--wait", _ROLL_WAIT_SECONDS, "--json")
    done = scene.fleet.ctl("apply", str(path), *options, check=False)
    if done.returncode not in _CTL_DONE:
        scene.record.faults.append(f"apply was refused with exit code {done.returncode}")
        return False
    outcome = json.loads(done.stdout)
    since = time.time() - datetime.datetime.fromisoformat(outcome["accepted_at"]).timestamp()
    scene.record.acceptances.append(Acceptance(outcome["generation"], scene.clock.now() - since))
    scene.fleet.document = text
    return True


for _role, _program in (("entries", "entry"), ("dispatchers", "dispatch"), ("agents", "agent")):
    _register(f"kill {_program}", _daemons(_role), _kill)
    _register(f"pause {_program}", _daemons(_role), _pause, 4.0)
_register("stop entry", _daemons("entries"), _stop)
_register("stop dispatch", _daemons("dispatchers"), _stop)
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
    _register(f"leaf {_name}", _leaves, _set_fault(_name, _value))
_register("leaf draining", _leaves, _drain, 8.0)
_register("store outage", _store, _set_fault("outage", True))
_register("store hang", _store, _set_fault("outage", "hang"))
_register("store slow", _store, _set_fault("delay_ms", 400))
_register("store lost answers", _store, _set_fault("lose_answers", 0.5))
_register("roll versions", _versions, _roll, 2.0)
