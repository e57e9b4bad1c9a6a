"""One seeded run: gateways under load, with faults picked by the seed."""

import collections
import random
import threading
from typing import NamedTuple

from filbertreach.timing import SystemClock
from filbertreach_standins.deployment import records_of
from filbertreach_standins.gateways._callers import Callers
from filbertreach_standins.gateways._checker import STABLE_SECONDS, violations
from filbertreach_standins.gateways._deployment import FLOOR, TOP, Deployment, DeploymentOptions
from filbertreach_standins.gateways._faults import FaultKind, Scene, kind_by_name, strike
from filbertreach_standins.gateways._record import Execution, RouteWritten, RunRecord, Span

_LANES = 3
"""Faults at a time."""
_PAUSE_SECONDS = 1.5
"""Longest pause of a lane between two faults."""
_LEAST_KINDS = 3
_CALLERS = 6
_RECOVERY_SECONDS = 8.0
"""Time after the last fault from which on all requests must be served."""
_AFTER_SECONDS = 3.0
"""Time in which that is looked at."""


class RunOptions(NamedTuple):
    """Size of a run."""

    seed: int
    """Seed of the load and of the faults."""
    seconds: float = 20.0
    """How long faults are injected."""
    gateways: int = 3
    """Gateways."""
    kinds: tuple[str, ...] = ()
    """Names of the kinds of faults to pick from; if empty, the seed picks some of all kinds."""


class RunResult(NamedTuple):
    """Result of a run."""

    record: RunRecord
    """What was seen."""
    violations: list[str]
    """Broken promises."""


def run(options: RunOptions) -> RunResult:
    """Runs gateways under faults and checks the promises.

    Args:
        options: Size and seed.

    Returns:
        The record and the violations.
    """
    size = DeploymentOptions(gateways=options.gateways)
    record = RunRecord(
        shards=size.shards,
        floor=FLOOR,
        top=TOP,
        bound_seconds=size.bound_seconds,
        slack=size.slack,
    )
    clock = SystemClock()
    with Deployment(options=size) as deployment:
        record.routes.append(RouteWritten(deployment.paths[0], clock.now()))
        # The start is no time in which bounds hold.
        record.spans.append(Span("start", "", clock.now(), clock.now()))
        for leaf in deployment.leaves:
            record.shard_by_leaf[leaf.id] = deployment.shard_of(leaf)
            record.records_by_leaf[leaf.id] = records_of(leaf.id)
        callers = Callers(deployment=deployment, record=record, seed=options.seed, callers=_CALLERS)
        with callers.running():
            _Lanes(deployment=deployment, record=record, options=options).run()
            record.calm_from = clock.now() + _RECOVERY_SECONDS
            threading.Event().wait(_RECOVERY_SECONDS + _AFTER_SECONDS)
        for gateway in deployment.gateways:
            if not gateway.is_running:
                record.own_ends.append(f"{gateway.name} ended: {gateway.log()[-500:]}")
        for leaf in deployment.leaves:
            for execution in leaf.executions():
                record.executions.append(Execution(leaf.id, execution["id"], execution["at"]))
    return RunResult(record, violations(record))


class _Lanes:
    """Threads that inject one fault after another."""

    def __init__(self, *, deployment: Deployment, record: RunRecord, options: RunOptions) -> None:
        self._deployment = deployment
        self._record = record
        self._options = options
        self._ending = threading.Event()
        self._lock = threading.Lock()
        self._busy: set[str] = set()
        self._errors: list[BaseException] = []
        # With all kinds at once there is hardly a calm moment in which bounds hold.
        picks = random.Random(f"{options.seed}-kinds")
        names = sorted(kind_by_name)
        some = picks.sample(names, picks.randrange(_LEAST_KINDS, len(names) + 1))
        self._kinds = [kind_by_name[name] for name in options.kinds or some]

    def run(self) -> None:
        threads = [threading.Thread(target=self._run_lane, args=(n,)) for n in range(_LANES)]
        for thread in threads:
            thread.start()
        try:
            self._ending.wait(self._options.seconds)
        finally:
            self._ending.set()
            for thread in threads:
                thread.join()
        if self._errors:
            raise self._errors[0]

    def _run_lane(self, lane: int) -> None:
        choices = random.Random(f"{self._options.seed}-lane-{lane}")
        try:
            while not self._ending.wait(choices.uniform(0.0, _PAUSE_SECONDS)):
                kind = choices.choice(self._kinds)
                gateway = choices.choice(self._deployment.gateways)
                wanted = self._things(kind, gateway.name)
                if not self._take(wanted):
                    continue
                try:
                    strike(
                        kind,
                        Scene(self._deployment, self._record, choices, self._pause, gateway),
                    )
                finally:
                    self._give_back(wanted)
        except BaseException as error:  # The run must not go on without its faults.
            self._errors.append(error)
            self._ending.set()

    def _pause(self, seconds: float) -> None:
        self._ending.wait(seconds)

    def _things(self, kind: FaultKind, gateway: str) -> set[str]:
        if kind.name == "kill all":
            return {item.name for item in self._deployment.gateways}
        if kind.name == "hangup":
            # SIGHUP ends a process in which Python itself still starts; see docs/guarantees.md.
            return {gateway}
        return {kind.name} if kind.is_global or not kind.is_fault else {gateway}

    def _take(self, wanted: set[str]) -> bool:
        with self._lock:
            if wanted & self._busy:
                return False
            self._busy |= wanted
            return True

    def _give_back(self, wanted: set[str]) -> None:
        with self._lock:
            self._busy -= wanted


def summary(result: RunResult) -> str:
    """Returns a page about a run.

    Args:
        result: The run.
    """
    record = result.record
    statuses = collections.Counter(seen.status for seen in record.seen)
    kinds = collections.Counter(span.kind for span in record.spans)
    lines = [
        f"{len(record.seen)} requests: "
        + ", ".join(f"{count} x {status or 'cut'}" for status, count in sorted(statuses.items())),
        f"{len(record.executions)} runs at leaves, {len(record.routes)} routes, "
        f"{len(record.drained)} leaves left, bounds hold {STABLE_SECONDS:.0f} s after a fault",
        "faults: " + ", ".join(f"{count} x {kind}" for kind, count in sorted(kinds.items())),
    ]
    lines += [f"BROKEN {text}" for text in result.violations] or ["every promise was kept"]
    return "\n".join(lines)
