"""Decides which queries an entry process starts, before any part of them is sent."""

from filbertreach.entry._admission_baselines import AdmitAll, StaticLimit
from filbertreach.entry._admission_policy import (
    POLICY_BY_NAME,
    AdmissionController,
    AdmissionRequest,
    AdmissionSettings,
    Admit,
    Outcome,
    Refuse,
    RefuseReason,
    admission_policy,
)
from filbertreach.entry._queue_estimate import QueueEstimate
from filbertreach.timing import Clock

__all__ = [
    "AdmissionController",
    "AdmissionRequest",
    "AdmissionSettings",
    "Admit",
    "AdmitAll",
    "Outcome",
    "QueueEstimate",
    "Refuse",
    "RefuseReason",
    "StaticLimit",
    "admission_policy",
    "make_admission",
]


def make_admission(*, policy: str, max_queries: int, clock: Clock) -> AdmissionController:
    """Makes the admission state of one entry process.

    Args:
        policy: A registered name: queue_estimate, none or static_limit.
        max_queries: Most queries in progress in this process; `none` ignores it.
        clock: Clock whose time is passed to the controller as `now`.

    Returns:
        A controller without queries.

    Raises:
        ValueError: The policy is not registered.
    """
    if policy not in POLICY_BY_NAME:
        names = ", ".join(sorted(POLICY_BY_NAME))
        raise ValueError(f"no admission policy {policy!r}; there is: {names}")
    return POLICY_BY_NAME[policy](AdmissionSettings(max_queries, clock.now()))
