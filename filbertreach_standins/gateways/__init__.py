"""Runs gateway processes in front of a stand-in deployment and injects faults from outside.

`run` runs one seed; `violations` checks the guarantees in what callers and leaves recorded.
"""

from filbertreach_standins.gateways._checker import violations
from filbertreach_standins.gateways._deployment import (
    Deployment,
    DeploymentOptions,
    configuration_json,
)
from filbertreach_standins.gateways._process import GRACE_SECONDS, GatewayProcess, Response
from filbertreach_standins.gateways._record import (
    AddedRoute,
    Execution,
    FaultInterval,
    LeafDrain,
    LeafLimit,
    PlannedStop,
    Request,
    RunRecord,
)

__all__ = [
    "GRACE_SECONDS",
    "AddedRoute",
    "Deployment",
    "DeploymentOptions",
    "Execution",
    "FaultInterval",
    "GatewayProcess",
    "LeafDrain",
    "LeafLimit",
    "PlannedStop",
    "Request",
    "Response",
    "RunRecord",
    "configuration_json",
    "violations",
]
