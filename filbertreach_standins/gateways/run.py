"""Runs gateways under load with seeded random faults and checks the guarantees."""

import collections
import random
import threading
from typing import NamedTuple

from filbertreach.timing import SystemClock
from filbertreach_standins.deployment import KEY_PREFIX, records_of
from filbertreach_standins.gateways._account_fault_kinds import account_kinds_by_name
from filbertreach_standins.gateways._accounts import ACCOUNTS
from filbertreach_standins.gateways._callers import LoadGenerator
from filbertreach_standins.gateways._checker import STABLE_SECONDS, violations
from filbertreach_standins.gateways._deployment import FLOOR, TOP_K, Deployment, DeploymentOptions
from filbertreach_standins.gateways._fault_kinds import (
    FaultContext,
    FaultKind,
    fault_kinds_by_name,
    inject_fault,
)
from filbertreach_standins.gateways._record import (
    AddedRoute,
    Execution,
    FaultInterval,
    Refusal,
    RunRecord,
)
from filbertreach_standins.gateways._store_fault_kinds import store_kinds_by_name

_INJECTORS = 3
"""Largest number of faults at a time."""
_MAX_PAUSE_SECONDS = 1.5
"""Longest pause of an injector between two faults."""
_MIN_KINDS = 3
"""Least number of kinds of faults of a run without accounts."""
_MIN_ACCOUNT_KINDS = 2
"""Least number of kinds of a run with accounts that only such runs have."""
_MAX_KINDS_BESIDE_ACCOUNTS = 3
"""Largest number of other kinds of such a run. Faults of gateways suspend the checks of bounds."""
_CALLERS = 6
_RECOVERY_SECONDS = 8.0
"""Time after the last fault within which the deployment must recover."""
_RECOVERED_SECONDS = 3.0
"""Time after that in which requests are checked for success."""


class RunOptions(NamedTuple):
    """Size and seed of a run."""

    seed: int
    """Seed of the load and of the faults."""
    seconds: float = 20.0
    """How long faults are injected."""
    gateways: int = 3
    """Number of gateways."""
    kinds: tuple[str, ...] = ()
    """Names of the kinds of faults to choose from; if empty, the seed chooses a subset."""
    accounts: bool = False
    """Whether there are client accounts, two data centres and leaves that limit requests; the seed
    then chooses other faults than without."""


class RunResult(NamedTuple):
    """Result of a run."""

    record: RunRecord
    """What callers, leaves and fault injectors recorded."""
    violations: list[str]
    """Violated guarantees, one line each."""


def run(options: RunOptions) -> RunResult:
    """Runs gateways under faults and checks the guarantees.

    Args:
        options: Size and seed.

    Returns:
        The record and the violations.
    """
    deployment_options = DeploymentOptions(gateways=options.gateways, accounts=options.accounts)
    record = RunRecord(
        shards=deployment_options.shards,
        floor=FLOOR,
        top_k=TOP_K,
        bound_seconds=deployment_options.bound_seconds,
        slack=deployment_options.slack,
    )
    clock = SystemClock()
    with Deployment(options=deployment_options) as deployment:
        record.routes.append(AddedRoute(deployment.paths[0], clock.now()))
        # The start counts as a fault, so that bounds hold only once the gateways are stable.
        record.fault_intervals.append(FaultInterval("start", "", clock.now(), clock.now()))
        for leaf in deployment.leaves:
            record.shard_by_leaf[leaf.id] = deployment.shard_of(leaf)
            record.records_by_leaf[leaf.id] = records_of(leaf.id)
            record.data_centre_by_leaf[leaf.id] = deployment.data_centre_of(leaf)
        if options.accounts:
            record.allowed_by_account.update(
                {a.name: a.allowed_in_window for a in ACCOUNTS if a.rate_per_second}
            )
        load = LoadGenerator(
            deployment=deployment, record=record, seed=options.seed, callers=_CALLERS
        )
        with load.running():
            _FaultInjectors(deployment=deployment, record=record, options=options).run()
            record.recovered_by = clock.now() + _RECOVERY_SECONDS
            threading.Event().wait(_RECOVERY_SECONDS + _RECOVERED_SECONDS)
        for gateway in deployment.gateways:
            if not gateway.is_running:
                record.unexpected_exits.append(f"{gateway.name} exited: {gateway.log()[-500:]}")
            if KEY_PREFIX in gateway.log():
                record.logs_with_keys.append(gateway.name)
        for leaf in deployment.leaves:
            for execution in leaf.executions():
                record.executions.append(Execution(leaf.id, **execution))
            for refusal in leaf.request("GET", "/admin/refusals"):
                record.refusals.append(Refusal(leaf.id, **refusal))
    return RunResult(record, violations(record))


def choose_kinds(options: RunOptions) -> list[FaultKind]:
    """Returns the kinds of faults that a run injects.

    With all kinds in one run, gateways are hardly ever stable and bounds are not checked.

    Args:
        options: Seed of the choice, or names of the kinds.
    """
    rng = random.Random(f"{options.seed}-kinds")
    names = sorted(fault_kinds_by_name)
    if options.accounts:
        subset = rng.sample(names, rng.randrange(_MAX_KINDS_BESIDE_ACCOUNTS + 1))
        account_names = sorted(account_kinds_by_name)
        count = rng.randrange(_MIN_ACCOUNT_KINDS, len(account_names) + 1)
        subset += rng.sample(account_names, count)
    else:
        subset = rng.sample(names, rng.randrange(_MIN_KINDS, len(names) + 1))
    kinds_by_name = {**fault_kinds_by_name, **account_kinds_by_name, **store_kinds_by_name}
    return [kinds_by_name[name] for name in options.kinds or subset]


class _FaultInjectors:
    """Threads that each inject one fault after another."""

    def __init__(self, *, deployment: Deployment, record: RunRecord, options: RunOptions) -> None:
        self._deployment = deployment
        self._record = record
        self._options = options
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._busy_targets: set[str] = set()
        self._errors: list[BaseException] = []
        self._kinds = choose_kinds(options)

    def run(self) -> None:
        """Injects faults for the time of the options, then ends them.

        Raises:
            BaseException: The first error of an injector.
        """
        threads = [
            threading.Thread(target=self._run_injector, args=(number,))
            for number in range(_INJECTORS)
        ]
        for thread in threads:
            thread.start()
        try:
            self._stopped.wait(self._options.seconds)
        finally:
            self._stopped.set()
            for thread in threads:
                thread.join()
        if self._errors:
            raise self._errors[0]

    def _run_injector(self, number: int) -> None:
        rng = random.Random(f"{self._options.seed}-lane-{number}")
        try:
            while not self._stopped.wait(rng.uniform(0.0, _MAX_PAUSE_SECONDS)):
                kind = rng.choice(self._kinds)
                gateway = rng.choice(self._deployment.gateways)
                targets = self._targets(kind, gateway.name)
                if not self._acquire(targets):
                    continue
                try:
                    inject_fault(
                        kind,
                        FaultContext(self._deployment, self._record, rng, self._wait, gateway),
                    )
                finally:
                    self._release(targets)
        except BaseException as error:  # Ends the run, which must not continue without faults.
            self._errors.append(error)
            self._stopped.set()

    def _wait(self, seconds: float) -> None:
        self._stopped.wait(seconds)

    def _targets(self, kind: FaultKind, gateway: str) -> set[str]:
        """Returns the names that no other fault may hold while this one is active."""
        if kind.name == "kill all":
            return {item.name for item in self._deployment.gateways}
        if kind.name == "hangup":
            # SIGHUP kills a process while the interpreter is starting; see docs/guarantees.md.
            return {gateway}
        if kind.target:
            return {kind.target}
        return {kind.name} if kind.is_global or not kind.is_fault else {gateway}

    def _acquire(self, targets: set[str]) -> bool:
        with self._lock:
            if targets & self._busy_targets:
                return False
            self._busy_targets |= targets
            return True

    def _release(self, targets: set[str]) -> None:
        with self._lock:
            self._busy_targets -= targets


def summary(result: RunResult) -> str:
    """Returns a text with the outcomes of requests, the injected faults and the violations.

    Args:
        result: Result of a run.
    """
    record = result.record
    count_by_status = collections.Counter(request.status for request in record.requests)
    count_by_kind = collections.Counter(fault.kind for fault in record.fault_intervals)
    lines = [
        f"{len(record.requests)} requests: "
        + ", ".join(
            f"{count} x {status or 'no response'}"
            for status, count in sorted(count_by_status.items())
        ),
        f"{len(record.executions)} executions at leaves, {len(record.routes)} routes, "
        f"{len(record.leaf_drains)} leaf drains; bounds hold {STABLE_SECONDS:.0f} s after a fault",
        "faults: "
        + ", ".join(f"{count} x {kind}" for kind, count in sorted(count_by_kind.items())),
    ]
    if record.allowed_by_account:
        lines.append(
            f"{len(record.evacuations)} evacuations, {len(record.cold_phases)} cold phases, "
            f"{len(record.departures)} leaves that said they leave, "
            f"{len(record.refusals)} refusals of leaves"
        )
    lines += [f"VIOLATION {text}" for text in result.violations] or ["no violations"]
    return "\n".join(lines)
