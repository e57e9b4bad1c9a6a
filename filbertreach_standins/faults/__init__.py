"""Runs a local fleet under injected faults and checks the guarantees of docs/design.md, 1.1."""

from filbertreach_standins.faults._callers import Balancer, Load, submit
from filbertreach_standins.faults._checker import (
    IN_FORCE_SECONDS,
    LEAVING_SECONDS,
    checks_by_guarantee,
    violations,
)
from filbertreach_standins.faults._record import (
    Acceptance,
    Execution,
    GenerationSeen,
    Leaving,
    PlannedStop,
    Record,
    Request,
)

__all__ = [
    "IN_FORCE_SECONDS",
    "LEAVING_SECONDS",
    "Acceptance",
    "Balancer",
    "Execution",
    "GenerationSeen",
    "Leaving",
    "Load",
    "PlannedStop",
    "Record",
    "Request",
    "checks_by_guarantee",
    "submit",
    "violations",
]
