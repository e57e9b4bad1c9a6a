"""Group membership: known processes, owners of services, failure detection and process views."""

from filbertreach.membership._client import HELLO_SECONDS, ViewClient, ViewError
from filbertreach.membership._owner_table import OwnerTable
from filbertreach.membership._ownership import owner_candidates
from filbertreach.membership._ring import MonitoringRings, RingNeighbours
from filbertreach.membership._suspicion import FailureDetector, LocalHealth, suspecting_observers
from filbertreach.membership._table import BUCKET_COUNT, HostTable, Version, version_of

__all__ = [
    "BUCKET_COUNT",
    "HELLO_SECONDS",
    "FailureDetector",
    "HostTable",
    "LocalHealth",
    "MonitoringRings",
    "OwnerTable",
    "RingNeighbours",
    "Version",
    "ViewClient",
    "ViewError",
    "owner_candidates",
    "suspecting_observers",
    "version_of",
]
