"""Gateways as processes before a stand-in deployment, under faults from outside.

`run` plays one seed; `violations` checks the promises from what callers and leaves saw.
"""

from filbertreach_standins.gateways._checker import violations
from filbertreach_standins.gateways._deployment import Deployment, DeploymentOptions, configuration
from filbertreach_standins.gateways._process import GRACE_SECONDS, Answer, GatewayProcess
from filbertreach_standins.gateways._record import (
    Execution,
    LeafDrain,
    PlannedStop,
    RouteWritten,
    RunRecord,
    Seen,
    Span,
)

__all__ = [
    "GRACE_SECONDS",
    "Answer",
    "Deployment",
    "DeploymentOptions",
    "Execution",
    "GatewayProcess",
    "LeafDrain",
    "PlannedStop",
    "RouteWritten",
    "RunRecord",
    "Seen",
    "Span",
    "configuration",
    "violations",
]
