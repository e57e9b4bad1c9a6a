"""Runs a whole fleet under load with seeded random faults and checks the guarantees."""

import contextlib
import random
import re
import threading
from collections.abc import Collection, Iterator
from typing import Any, NamedTuple

from filbertreach.timing import SystemClock
from filbertreach_standins.daemon_process import DaemonProcess
from filbertreach_standins.faults._callers import Balancer, LoadGenerator
from filbertreach_standins.faults._checker import violations
from filbertreach_standins.faults._fault_kinds import (
    FaultContext,
    FaultKind,
    Target,
    fault_kinds_by_name,
)
from filbertreach_standins.faults._record import GenerationSample, RunRecord
from filbertreach_standins.fleet import Fleet, FleetOptions

_INJECTORS = 2
"""Largest number of faults at a time."""
_MAX_PAUSE_SECONDS = 0.7
"""Longest pause of an injector between two faults."""
_SAMPLE_SECONDS = 0.5
"""Interval at which the generation in force of each agent is read."""
_GENERATION = re.compile(r'^filbertreach_accepted_generation\{environment="local"\} (\S+)$', re.M)


class FaultRunOptions(NamedTuple):
    """Size and seed of a fault run."""

    seed: int
    """Seed of the load and of the faults."""
    seconds: float = 20.0
    """How long faults are injected."""
    hosts: int = 3
    """Number of hosts, each with an agent, a dispatch process and an entry process."""
    services: int = 4
    """Number of services; each serves one shard."""
    leaves_per_service: int = 3
    """Leaves of each service."""
    kinds: tuple[str, ...] = ()
    """Names of the kinds of faults to choose from; all if empty."""


class FaultRunResult(NamedTuple):
    """Result of a fault run."""

    record: RunRecord
    """What callers, leaves and operators recorded."""
    violations: list[str]
    """Violated guarantees, one line each."""


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
        with _sampled_generations(fleet, record), load.running():
            _inject_faults(options, fleet, record)
            for daemon in [*fleet.agents, *fleet.dispatchers, *fleet.entries]:
                daemon.wait_ready()
        collect_executions(fleet, record)
    return FaultRunResult(record, violations(record))


def collect_executions(
    fleet: Fleet, record: RunRecord, leaves: Collection[str] | None = None
) -> None:
    """Adds the executions of leaves to a record.

    Args:
        fleet: Running fleet.
        record: Record that they are added to.
        leaves: Leaf ids; all if None.
    """
    for leaf in fleet.leaves_by_id if leaves is None else leaves:
        control = fleet.leaves_by_id[leaf]
        for execution in control.executions():
            record.add_execution(leaf=leaf, execution=execution)
        record.executions_not_recorded += control.counters(totals=True)["executions_not_recorded"]


def summary(result: FaultRunResult) -> str:
    """Returns a text with the injected faults, the outcomes of requests and the violations."""
    record = result.record
    count_by_outcome: dict[str, int] = {}
    for request in record.requests:
        is_partial = request.status == 200 and not request.body["coverage"]["complete"]
        outcome = (
            request.problem or request.error or ("partial" if is_partial else str(request.status))
        )
        count_by_outcome[outcome] = count_by_outcome.get(outcome, 0) + 1
    lines = [
        f"faults: {', '.join(record.injected_faults)}",
        f"requests: {len(record.requests)}; executions: {len(record.executions)}; "
        f"planned stops: {len(record.stops)}; leaving leaves: {len(record.leaf_drains)}; "
        f"accepted generations: {len(record.accepted_generations)}",
        "outcomes: "
        + ", ".join(f"{outcome} {count}" for outcome, count in sorted(count_by_outcome.items())),
        *(f"VIOLATION {text}" for text in result.violations),
        f"violations: {len(result.violations)}",
    ]
    return "\n".join(lines)


class _FaultInjector:
    """Injects one fault after another; several injectors share the set of busy targets."""

    def __init__(
        self, *, context: FaultContext, kinds: list[FaultKind], busy_targets: set[str]
    ) -> None:
        self._context = context
        self._kinds = kinds
        self._busy_targets = busy_targets
        self.errors: list[BaseException] = []

    def run(self, until: float) -> None:
        """Injects faults until the given CLOCK_BOOTTIME in seconds, and ends the last one."""
        try:
            while self._context.clock.now() < until:
                self._inject_one()
        except Exception as error:
            self.errors.append(error)

    def _inject_one(self) -> None:
        rng = self._context.rng
        kind = rng.choice(self._kinds)
        target = rng.choice(kind.targets(self._context.fleet))
        seconds = rng.uniform(0.5, 1.0) * kind.max_seconds
        pause_seconds = rng.uniform(0.2, _MAX_PAUSE_SECONDS)
        if target.name in self._busy_targets:
            return
        self._busy_targets.add(target.name)
        self._context.record.injected_faults.append(
            f"{kind.name} of {target.name} for {seconds:.1f} s"
        )
        undo = kind.start(self._context, target)
        threading.Event().wait(seconds)
        undo()
        _wait_recovered(target)
        self._busy_targets.discard(target.name)
        threading.Event().wait(pause_seconds)


def _wait_recovered(target: Target) -> None:
    if target.daemon is not None:
        target.daemon.wait_listening()


def _inject_faults(options: FaultRunOptions, fleet: Fleet, record: RunRecord) -> None:
    names = options.kinds or tuple(fault_kinds_by_name)
    kinds = [fault_kinds_by_name[name] for name in names]
    clock = SystemClock()
    busy_targets: set[str] = set()
    injectors = []
    for number in range(_INJECTORS):
        rng = random.Random(f"{options.seed}/lane {number}")
        context = FaultContext(fleet, record, rng, clock)
        injectors.append(_FaultInjector(context=context, kinds=kinds, busy_targets=busy_targets))
    until = clock.now() + options.seconds
    threads = [threading.Thread(target=injector.run, args=(until,)) for injector in injectors]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for injector in injectors:
        for error in injector.errors:
            raise error


@contextlib.contextmanager
def _sampled_generations(fleet: Fleet, record: RunRecord) -> Iterator[None]:
    """Records the generation in force of each agent until the context exits."""
    stopped = threading.Event()

    def sample(agent: DaemonProcess) -> None:
        clock = SystemClock()
        while not stopped.wait(_SAMPLE_SECONDS):
            metrics = ""
            with contextlib.suppress(OSError):
                metrics = agent.get("/metrics")[1].decode()
            found: Any = _GENERATION.search(metrics)
            if found is not None:
                generation = GenerationSample(agent.name, int(float(found.group(1))), clock.now())
                record.generation_samples.append(generation)

    threads = [threading.Thread(target=sample, args=(agent,)) for agent in fleet.agents]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        stopped.set()
        for thread in threads:
            thread.join()
