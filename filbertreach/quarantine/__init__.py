"""Quarantine of requests that crash leaves; see docs/design/quarantine.md."""

from filbertreach.quarantine._fingerprint import fingerprint
from filbertreach.quarantine._fleet_quarantine import FleetQuarantine, RequestContent
from filbertreach.quarantine._loss_count import LeafProcess, LossCount
from filbertreach.quarantine._metrics import STOPPED_REQUESTS
from filbertreach.quarantine._notice_sender import NOTICE_PATH
from filbertreach.quarantine._notices import NoticeError
from filbertreach.quarantine._recent_crashes import RecentCrashes
from filbertreach.quarantine._request_guard import GuardContext, RequestGuard
from filbertreach.quarantine._request_quarantine import (
    QuarantineEvidence,
    RequestQuarantine,
    Verdict,
)

__all__ = [
    "NOTICE_PATH",
    "STOPPED_REQUESTS",
    "FleetQuarantine",
    "GuardContext",
    "LeafProcess",
    "LossCount",
    "NoticeError",
    "QuarantineEvidence",
    "RecentCrashes",
    "RequestContent",
    "RequestGuard",
    "RequestQuarantine",
    "Verdict",
    "fingerprint",
]
