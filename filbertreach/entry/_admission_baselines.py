"""Baseline admission policies, for comparison with `queue_estimate`."""

from filbertreach.entry._admission_policy import (
    AdmissionRequest,
    AdmissionSettings,
    Admit,
    Outcome,
    Refuse,
    register_admission_policy,
)
from filbertreach.schema import ServiceLoad


@register_admission_policy("none")
class AdmitAll:
    """Baseline: admits every query."""

    def __init__(self, settings: AdmissionSettings) -> None:
        """Creates the policy.

        Args:
            settings: Not used.
        """

    def decide(self, query: AdmissionRequest, now: float) -> Admit | Refuse:
        """Admits the query."""
        return Admit(query)

    def on_load(self, load: ServiceLoad, now: float) -> None:
        """Ignores the report."""

    def on_finished(
        self,
        admitted: Admit,
        latency_seconds: float,
        outcome: Outcome,
        now: float,
        queue_seconds: float | None = None,
    ) -> None:
        """Ignores the end of a query."""


@register_admission_policy("static_limit")
class StaticLimit:
    """Baseline: limits the queries in progress, regardless of rank and client."""

    _RETRY_AFTER_SECONDS = 1.0

    def __init__(self, settings: AdmissionSettings) -> None:
        """Creates the policy.

        Args:
            settings: Gives the most queries in progress.
        """
        self._max_queries = settings.max_queries
        self._in_flight = 0

    def decide(self, query: AdmissionRequest, now: float) -> Admit | Refuse:
        """Admits the query if fewer than the limit are in progress."""
        if self._in_flight >= self._max_queries:
            return Refuse("too_many_queries", self._RETRY_AFTER_SECONDS)
        self._in_flight += 1
        return Admit(query)

    def on_load(self, load: ServiceLoad, now: float) -> None:
        """Ignores the report."""

    def on_finished(
        self,
        admitted: Admit,
        latency_seconds: float,
        outcome: Outcome,
        now: float,
        queue_seconds: float | None = None,
    ) -> None:
        """Counts the end of a query."""
        self._in_flight -= 1
