"""Runs gateway processes in front of a stand-in deployment and injects faults from outside.

`run` runs one seed; `violations` checks the guarantees in what callers and leaves recorded.
"""

from filbertreach_standins.gateways._account_checks import (
    MAX_REQUESTS_IN_HOLD,
    RETRY_LEARN_SECONDS,
)
from filbertreach_standins.gateways._checker import violations
from filbertreach_standins.gateways._deployment import (
    Deployment,
    DeploymentOptions,
    configuration_json,
)
from filbertreach_standins.gateways._process import GRACE_SECONDS, GatewayProcess, Response
from filbertreach_standins.gateways._record import (
    AddedRoute,
    ColdPhase,
    Evacuation,
    Execution,
    FaultInterval,
    LeafDeparture,
    LeafDrain,
    LeafLimit,
    PlannedStop,
    Refusal,
    Request,
    RunRecord,
)

__all__ = [
    "GRACE_SECONDS",
    "MAX_REQUESTS_IN_HOLD",
    "RETRY_LEARN_SECONDS",
    "AddedRoute",
    "ColdPhase",
    "Deployment",
    "DeploymentOptions",
    "Evacuation",
    "Execution",
    "FaultInterval",
    "GatewayProcess",
    "LeafDeparture",
    "LeafDrain",
    "LeafLimit",
    "PlannedStop",
    "Refusal",
    "Request",
    "Response",
    "RunRecord",
    "configuration_json",
    "violations",
]
