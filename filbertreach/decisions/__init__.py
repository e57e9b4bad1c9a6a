"""Load-balancing decisions of several programs: leaf, hedging, limits, shares and wait time."""

from filbertreach.decisions._account_shares import (
    PRESSURE_SECONDS,
    AccountShares,
    MedianPressure,
    Pressure,
)
from filbertreach.decisions._admission_window import AdmissionWindow
from filbertreach.decisions._caller_reserve import (
    MIN_CALLER_RESERVE_SECONDS,
    CallerReserve,
    RequestArrival,
)
from filbertreach.decisions._fair_share import (
    FairShare,
    FairShareSettings,
    ShareDecision,
    fair_level,
)
from filbertreach.decisions._hedging import HedgeBudget, HedgeDelay, may_hedge
from filbertreach.decisions._latency import LatencyTracker
from filbertreach.decisions._leaf import LeafOutcome, LeafState, LeafTracker
from filbertreach.decisions._limits import ConcurrencyLimit, connection_share
from filbertreach.decisions._load_return import RETURN_SECONDS, LoadReturn
from filbertreach.decisions._replicas import ReplicaPolicy, make_replica_policy, replica_policy
from filbertreach.decisions._service_admission import (
    ServiceAdmission,
    WaitingCall,
    retry_after_seconds,
)
from filbertreach.decisions._spill_baselines import EqualWait, Threshold
from filbertreach.decisions._spill_over import (
    DISTANCES,
    CrossingCosts,
    DataCentreStatistics,
    Distance,
    LeafReport,
    SpillCandidate,
    SpillChoice,
    SpillPolicy,
    SpillReason,
    make_spill_policy,
    spill_policy,
)
from filbertreach.decisions._waiting import (
    LateShardLatencies,
    ObjectiveWait,
    WaitPolicy,
    WaitSettings,
    make_wait_policy,
    wait_policy,
)

__all__ = [
    "DISTANCES",
    "MIN_CALLER_RESERVE_SECONDS",
    "PRESSURE_SECONDS",
    "RETURN_SECONDS",
    "AccountShares",
    "AdmissionWindow",
    "CallerReserve",
    "ConcurrencyLimit",
    "CrossingCosts",
    "DataCentreStatistics",
    "Distance",
    "EqualWait",
    "FairShare",
    "FairShareSettings",
    "HedgeBudget",
    "HedgeDelay",
    "LateShardLatencies",
    "LatencyTracker",
    "LeafOutcome",
    "LeafReport",
    "LeafState",
    "LeafTracker",
    "LoadReturn",
    "MedianPressure",
    "ObjectiveWait",
    "Pressure",
    "ReplicaPolicy",
    "RequestArrival",
    "ServiceAdmission",
    "ShareDecision",
    "SpillCandidate",
    "SpillChoice",
    "SpillPolicy",
    "SpillReason",
    "Threshold",
    "WaitPolicy",
    "WaitSettings",
    "WaitingCall",
    "connection_share",
    "fair_level",
    "make_replica_policy",
    "make_spill_policy",
    "make_wait_policy",
    "may_hedge",
    "replica_policy",
    "retry_after_seconds",
    "spill_policy",
    "wait_policy",
]
