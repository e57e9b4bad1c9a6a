"""Reports of quota hosts at a seed, which passes them on to the other quota hosts."""

from typing import NamedTuple

from filbertreach.quotas._parts import LOAN_SECONDS
from filbertreach.schema import QuotaPeer, QuotaPeers, QuotaReport

_MAX_SENDERS = 128
"""Quota hosts whose reports are kept; a data centre normally has one."""
_MAX_NAME_CHARACTERS = 255
"""Characters of the name of a sender or data centre."""


class _ReceivedReport(NamedTuple):
    report: QuotaReport
    received_at: float
    """Clock of this host, in seconds."""


class ReportBoard:
    """The newest report of each quota host."""

    def __init__(self) -> None:
        """Creates an empty board."""
        self._received_by_sender: dict[str, _ReceivedReport] = {}

    def exchange(self, report: QuotaReport, now: float) -> QuotaPeers:
        """Keeps a report, and returns those of the other quota hosts.

        Args:
            report: Report of a quota host.
            now: Current clock, in seconds.

        Raises:
            ValueError: A name is too long, or too many quota hosts report.
        """
        sender = report["sender"]
        if max(len(sender), len(report["data_centre"])) > _MAX_NAME_CHARACTERS:
            raise ValueError(f"names in a report have more than {_MAX_NAME_CHARACTERS} characters")
        self._remove_expired(now)
        known = self._received_by_sender.get(sender)
        if known is None and len(self._received_by_sender) >= _MAX_SENDERS:
            raise ValueError(f"more than {_MAX_SENDERS} quota hosts report")
        if known is None or report["number"] > known.report["number"]:
            self._received_by_sender[sender] = _ReceivedReport(report, now)
        return QuotaPeers(
            peers=[
                _for_receiver(received, report, now)
                for other, received in self._received_by_sender.items()
                if other != sender
            ]
        )

    def _remove_expired(self, now: float) -> None:
        """Removes the reports whose loans have expired."""
        for sender, received in list(self._received_by_sender.items()):
            if now - received.received_at >= LOAN_SECONDS:
                del self._received_by_sender[sender]


def _for_receiver(received: _ReceivedReport, own: QuotaReport, now: float) -> QuotaPeer:
    """Returns a report as far as it concerns the quota host that has sent another one."""
    report, receiver = received.report, own["sender"]
    is_local = report["data_centre"] == own["data_centre"]
    return QuotaPeer(
        sender=report["sender"],
        data_centre=report["data_centre"],
        number=report["number"],
        delegating_hosts=report["delegating_hosts"] if is_local else [],
        age_seconds=now - received.received_at,
        demand=report["demand"],
        lent=report["lent"].get(receiver, {}),
        heard=report["heard"].get(receiver, 0),
    )
