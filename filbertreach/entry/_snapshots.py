"""Chooses the snapshot that a query reads."""

from collections.abc import Callable, Collection
from typing import NamedTuple

from filbertreach.document import Environment, Snapshot
from filbertreach.schema import ServiceLoad

DEFAULT_MAX_AGE_SECONDS = 5.0
"""Age above which a load report is ignored. Reports come at least every 0.5 s, so that at least ten
in a row were missed."""
DEFAULT_HOLD_SECONDS = 3.0
"""How long a version counts as missing after the last report without it. Longer than the 2 s after
which a silent owner is replaced, so that two owners with different views cause only one change of
the snapshot."""

_REFRESH_INTERVAL_SECONDS = 0.1
"""Time for which the evaluation of unchanged load reports is cached."""
_MAX_MISSING_RECORDS = 10_000
"""Number of missing-version records above which the expired ones are removed."""

_ServiceKey = tuple[str, str]
_VersionKey = tuple[str, str, int]


class _VersionReport(NamedTuple):
    """Contents of a service's latest load report."""

    versions: frozenset[int]
    """Versions that at least one usable leaf serves; empty if not known."""
    reported_at: float
    """When the report was received, in seconds."""


class _MissingServices(NamedTuple):
    """Cached result: the services that lack a version."""

    services: frozenset[str]
    """Service names."""
    computed_at: float
    """When the load reports were evaluated, in seconds."""


class SnapshotChooser:
    """Chooses the newest serving snapshot that no needed service is known to lack.

    A service without a recent report is assumed to serve every version, because a leaf that does
    not serve the version refuses the call before it starts. A version that a service lacked is
    chosen again only after `hold_seconds` without a report or refusal to that effect. The choice
    therefore falls back to an older version immediately, and returns to the newer one at most once
    per `hold_seconds`.
    """

    def __init__(
        self,
        *,
        max_age_seconds: float = DEFAULT_MAX_AGE_SECONDS,
        hold_seconds: float = DEFAULT_HOLD_SECONDS,
    ) -> None:
        """Creates a chooser without load reports.

        Args:
            max_age_seconds: Age above which a report is ignored.
            hold_seconds: How long a version counts as missing after the last report or refusal
                that says so.
        """
        self._max_age_seconds = max_age_seconds
        self._hold_seconds = hold_seconds
        self._report_by_service: dict[_ServiceKey, _VersionReport] = {}
        self._last_missing_at: dict[_VersionKey, float] = {}
        self._missing_services_by_version: dict[tuple[str, int], _MissingServices] = {}

    def on_load(self, load: ServiceLoad, now: float) -> None:
        """Stores the versions of one service from a load report.

        Args:
            load: Report of a dispatch process; its versions are empty if they are not known.
            now: Time in seconds.
        """
        key = (load["environment"], load["service"])
        versions = frozenset(load["versions"])
        before = self._report_by_service.get(key)
        if before is None or before.versions != versions:
            self._missing_services_by_version.clear()
        self._report_by_service[key] = _VersionReport(versions, now)

    def on_version_unavailable(
        self, environment: str, service: str, version: int, now: float
    ) -> None:
        """Records that a call was refused because no leaf of the service serves the version.

        Args:
            environment: Environment name.
            service: Service name.
            version: Requested version.
            now: Time in seconds.
        """
        self._last_missing_at[environment, service, version] = now
        self._missing_services_by_version.clear()
        if len(self._last_missing_at) > _MAX_MISSING_RECORDS:
            self._last_missing_at = {
                key: missing_at
                for key, missing_at in self._last_missing_at.items()
                if now - missing_at < self._hold_seconds
            }

    def choose(
        self,
        *,
        environment: Environment,
        services_of: Callable[[Snapshot], Collection[str]],
        now: float,
    ) -> Snapshot | None:
        """Chooses the snapshot for a query.

        Args:
            environment: Document in force.
            services_of: Returns the services that the query needs for a snapshot; they depend on
                the snapshot's map.
            now: Time in seconds.

        Returns:
            The newest serving snapshot that no needed service lacks; if there is none, the newest
            of those that the fewest needed services lack; None if the document has no serving
            snapshot.
        """
        serving = [
            snapshot
            for snapshot in environment.snapshots_by_version.values()
            if snapshot.state == "serving"
        ]
        best: Snapshot | None = None
        best_count = 0
        for snapshot in sorted(serving, key=lambda item: item.version, reverse=True):
            missing = self._missing_services(environment, snapshot.version, now)
            count = len(missing.intersection(services_of(snapshot))) if missing else 0
            if count == 0:
                return snapshot
            if best is None or count < best_count:
                best, best_count = snapshot, count
        return best

    def _missing_services(
        self, environment: Environment, version: int, now: float
    ) -> frozenset[str]:
        """Returns the services that lack the version."""
        key = (environment.name, version)
        cached = self._missing_services_by_version.get(key)
        if cached is None or now - cached.computed_at >= _REFRESH_INTERVAL_SECONDS:
            services = frozenset(
                service
                for service in environment.services_by_name
                if self._is_missing(environment.name, service, version, now)
            )
            cached = self._missing_services_by_version[key] = _MissingServices(services, now)
        return cached.services

    def _is_missing(self, environment: str, service: str, version: int, now: float) -> bool:
        report = self._report_by_service.get((environment, service))
        key = (environment, service, version)
        if report is not None and report.versions and version not in report.versions:
            missing_at = max(report.reported_at, self._last_missing_at.get(key, report.reported_at))
            if now - report.reported_at <= self._max_age_seconds:
                self._last_missing_at[key] = missing_at
                return True
        elapsed = now - self._last_missing_at.get(key, float("-inf"))
        if elapsed < self._hold_seconds:
            return True
        self._last_missing_at.pop(key, None)
        return False
