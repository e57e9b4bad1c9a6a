"""Planned changes: the clients they may slow, calls to these clients, and changes in force."""

from filbertreach.changes._calls import (
    OVERRIDE,
    CallRecord,
    active_changes,
    clients_to_call,
    held_changes,
    was_overridden,
)
from filbertreach.changes._capacity import slowdown_ratio
from filbertreach.changes._effects import (
    ASSUMED_UTILISATION,
    Effect,
    InvalidChangeError,
    OperatingConditions,
    change_effects,
    drained_leaves,
    register_effects,
)
from filbertreach.changes._slowdowns import Slowdown, check_changes, slowed_clients

__all__ = [
    "ASSUMED_UTILISATION",
    "OVERRIDE",
    "CallRecord",
    "Effect",
    "InvalidChangeError",
    "OperatingConditions",
    "Slowdown",
    "active_changes",
    "change_effects",
    "check_changes",
    "clients_to_call",
    "drained_leaves",
    "held_changes",
    "register_effects",
    "slowdown_ratio",
    "slowed_clients",
    "was_overridden",
]
