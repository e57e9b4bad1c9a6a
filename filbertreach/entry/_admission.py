"""Admission control: decides which queries an entry process starts."""

from filbertreach.entry._admission_baselines import AdmitAll, StaticLimit
from filbertreach.entry._admission_policy import (
    POLICY_BY_NAME,
    AdmissionController,
    AdmissionRequest,
    AdmissionSettings,
    Admit,
    Outcome,
    RefusalReason,
    Refuse,
    register_admission_policy,
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
    "RefusalReason",
    "Refuse",
    "StaticLimit",
    "make_admission",
    "register_admission_policy",
]


def make_admission(*, policy: str, max_queries: int, clock: Clock) -> AdmissionController:
    """Creates the admission controller of one entry process.

    Args:
        policy: A registered name: queue_estimate, none or static_limit.
        max_queries: Most queries in progress in this process; ignored by `none`.
        clock: Clock that also supplies the `now` arguments of the controller.

    Returns:
        A controller without queries in progress.

    Raises:
        ValueError: No policy is registered under this name.
    """
    if policy not in POLICY_BY_NAME:
        names = ", ".join(sorted(POLICY_BY_NAME))
        raise ValueError(f"unknown admission policy {policy!r}; allowed: {names}")
    return POLICY_BY_NAME[policy](AdmissionSettings(max_queries, clock.now()))
