"""Runs a local fleet under injected faults and checks the guarantees of docs/design.md, 1.1."""

from filbertreach_standins.faults._callers import Balancer, LoadGenerator, submit
from filbertreach_standins.faults._checker import (
    IN_FORCE_SECONDS,
    LEAVING_SECONDS,
    checks_by_guarantee,
    violations,
)
from filbertreach_standins.faults._record import (
    AcceptedGeneration,
    Execution,
    GenerationSample,
    LeafDrain,
    PlannedStop,
    Request,
    RunRecord,
)
from filbertreach_standins.faults._relayed import RelayedFleet

__all__ = [
    "IN_FORCE_SECONDS",
    "LEAVING_SECONDS",
    "AcceptedGeneration",
    "Balancer",
    "Execution",
    "GenerationSample",
    "LeafDrain",
    "LoadGenerator",
    "PlannedStop",
    "RelayedFleet",
    "Request",
    "RunRecord",
    "checks_by_guarantee",
    "submit",
    "violations",
]
