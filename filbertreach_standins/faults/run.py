"""One seeded fault run: a whole fleet under load, with faults picked by the seed."""

import contextlib
import random
import re
import threading
from collections.abc import Collection, Iterator
from typing import Any, NamedTuple

from filbertreach.timing import SystemClock
from filbertreach_standins.faults._callers import Balancer, LoadGenerator
from filbertreach_standins.faults._checker import violations
from filbertreach_standins.faults._injection import FaultKind, Scene, Target, fault_kinds_by_name
from filbertreach_standins.faults._record import GenerationSeen, RunRecord
from filbertreach_standins.fleet import DaemonProcess, Fleet, FleetOptions

_LANES = 2
"""Faults at a time."""
_PAUSE_SECONDS = 0.7
"""Longest pause of a lane between two faults."""
_LOOK_SECONDS = 0.5
"""Time between two looks at the generations in force."""
_GENERATION = re.compile(r'^filbertreach_accepted_generation\{environment="local"\} (\S+)$', re.M)


class FaultRunOptions(NamedTuple):
    """Size of a fault run."""

    seed: int
    """Seed of the load and of the faults."""
    seconds: float = 20.0
    """How long faults are injected."""
    hosts: int = 3
    """Hosts, each with an agent, a dispatch and an entry process."""
    services: int = 4
    """Services; each serves one shard."""
    leaves_per_service: int = 3
    """Leaves of each service."""
    kinds: tuple[str, ...] = ()
    """Names of the kinds of faults to pick from; all if empty."""


class FaultRunResult(NamedTuple):
    """Result of a fault run."""

    record: RunRecord
    """What was seen."""
    violations: list[str]
    """Broken guarantees."""


def run(options: FaultRunOptions) -> FaultRunResult:
    """Runs a fleet under faults and checks the guarantees.

    Args:
        options: Size and seed.

    Returns:
        The record and the violations.
    """
    fleet_options = FleetOptions(
        hosts=options.hosts,
        services=options.services,
        leaves_per_service=options.leaves_per_service,
        service_ms=5,
        # Owners change often in a run, and each one holds connections.
        connections=24,
        leaf={"versions": [41], "queue": 16},
    )
    with Fleet(options=fleet_options) as fleet:
        record = RunRecord()
        load = LoadGenerator(
            balancer=Balancer(entries=fleet.entries),
            record=record,
            body=fleet.query_body("", deadline_ms=1500),
            shards=fleet.shards(),
            seed=options.seed,
        )
        with _watched_generations(fleet, record), load.running():
            _inject(options, fleet, record)
            for daemon in [*fleet.agents, *fleet.dispatchers, *fleet.entries]:
                daemon.wait_ready()
        collect_executions(fleet, record)
    return FaultRunResult(record, violations(record))


def collect_executions(
    fleet: Fleet, record: RunRecord, leaves: Collection[str] | None = None
) -> None:
    """Reads the executions of leaves into a record.

    Args:
        fleet: Running fleet.
        record: Where they are added.
        leaves: Leaf ids; all if None.
    """
    for leaf in fleet.leaves_by_id if leaves is None else leaves:
        control = fleet.leaves_by_id[leaf]
        for execution in control.executions():
            record.add_execution(leaf=leaf, execution=execution)
        record.executions_not_recorded += control.counters(totals=True)["executions_not_recorded"]


def summary(result: FaultRunResult) -> str:
    """Returns a page that says what was run and what came of it."""
    record = result.record
    outcomes: dict[str, int] = {}
    for request in record.requests:
        whole = request.status == 200 and not request.body["coverage"]["complete"]
        name = request.problem or request.error or ("partial" if whole else str(request.status))
        outcomes[name] = outcomes.get(name, 0) + 1
    lines = [
        f"faults: {', '.join(record.faults)}",
        f"requests: {len(record.requests)}; executions: {len(record.executions)}; "
        f"planned stops: {len(record.stops)}; leaving leaves: {len(record.leaf_drains)}; "
        f"accepted generations: {len(record.acceptances)}",
        "outcomes: " + ", ".join(f"{name} {count}" for name, count in sorted(outcomes.items())),
        *(f"VIOLATION {text}" for text in result.violations),
        f"violations: {len(result.violations)}",
    ]
    return "\n".join(lines)


class _Lane:
    """Injects one fault after the other."""

    def __init__(self, *, scene: Scene, kinds: list[FaultKind], busy: set[str]) -> None:
        self._scene = scene
        self._kinds = kinds
        self._busy = busy
        self.errors: list[BaseException] = []

    def run(self, until: float) -> None:
        """Injects faults until the given time, and ends the last one."""
        try:
            while self._scene.clock.now() < until:
                self._one()
        except Exception as error:
            self.errors.append(error)

    def _one(self) -> None:
        generator = self._scene.generator
        kind = generator.choice(self._kinds)
        target = generator.choice(kind.targets(self._scene.fleet))
        seconds = generator.uniform(0.5, 1.0) * kind.longest_seconds
        pause = generator.uniform(0.2, _PAUSE_SECONDS)
        if target.name in self._busy:
            return
        self._busy.add(target.name)
        self._scene.record.faults.append(f"{kind.name} of {target.name} for {seconds:.1f} s")
        undo = kind.start(self._scene, target)
        threading.Event().wait(seconds)
        undo()
        _recovered(target)
        self._busy.discard(target.name)
        threading.Event().wait(pause)


def _recovered(target: Target) -> None:
    if target.daemon is not None:
        target.daemon.wait_listening()


def _inject(options: FaultRunOptions, fleet: Fleet, record: RunRecord) -> None:
    names = options.kinds or tuple(fault_kinds_by_name)
    kinds = [fault_kinds_by_name[name] for name in names]
    clock = SystemClock()
    busy: set[str] = set()
    lanes = []
    for number in range(_LANES):
        generator = random.Random(f"{options.seed}/lane {number}")
        scene = Scene(fleet, record, generator, clock)
        lanes.append(_Lane(scene=scene, kinds=kinds, busy=busy))
    until = clock.now() + options.seconds
    threads = [threading.Thread(target=lane.run, args=(until,)) for lane in lanes]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for lane in lanes:
        for error in lane.errors:
            raise error


@contextlib.contextmanager
def _watched_generations(fleet: Fleet, record: RunRecord) -> Iterator[None]:
    """Records the generations that the agents show until the context ends."""
    stopped = threading.Event()

    def watch(agent: DaemonProcess) -> None:
        clock = SystemClock()
        while not stopped.wait(_LOOK_SECONDS):
            text = ""
            with contextlib.suppress(OSError):
                text = agent.get("/metrics")[1].decode()
            found: Any = _GENERATION.search(text)
            if found is not None:
                seen = GenerationSeen(agent.name, int(float(found.group(1))), clock.now())
                record.generations.append(seen)

    threads = [threading.Thread(target=watch, args=(agent,)) for agent in fleet.agents]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        stopped.set()
        for thread in threads:
            thread.join()
