"""Observations of failing and slow leaves that the hosts of a data centre share."""

from filbertreach.leaf_observations._board import ObservationBoard, StateChange
from filbertreach.leaf_observations._client import REPORTS_PATH, STATES_PATH, ObservationError
from filbertreach.leaf_observations._host import HostObservations
from filbertreach.leaf_observations._log import StateChangeLog
from filbertreach.leaf_observations._metrics import OBSERVED_CHOICES
from filbertreach.leaf_observations._observer import LeafObserver, Observation
from filbertreach.leaf_observations._pauses import PauseDetector
from filbertreach.leaf_observations._sharing import ObservationHosts, SharedObservations
from filbertreach.leaf_observations._states import STATE_SECONDS, LeafState, LeafStates

__all__ = [
    "OBSERVED_CHOICES",
    "REPORTS_PATH",
    "STATES_PATH",
    "STATE_SECONDS",
    "HostObservations",
    "LeafObserver",
    "LeafState",
    "LeafStates",
    "Observation",
    "ObservationBoard",
    "ObservationError",
    "ObservationHosts",
    "PauseDetector",
    "SharedObservations",
    "StateChange",
    "StateChangeLog",
]
