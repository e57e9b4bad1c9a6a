"""Chooses the snapshot that a query reads."""

from collections.abc import Callable, Collection
from typing import NamedTuple

from filbertreach.document import Environment, Snapshot
from filbertreach.schema import ServiceLoad

DEFAULT_MAX_AGE_SECONDS = 5.0
"""Load reports come at least every 0.5 s; after ten missed ones nothing is known."""
DEFAULT_HOLD_SECONDS = 3.0
"""How long a version counts as missing after the last report without it. Longer than the 2 s after
which a silent owner is replaced, so that two owners with different views cause one change."""

_REFRESH_SECONDS = 0.1
"""Time between two looks at unchanged reports; choosing looks at no service in between."""
_MAX_MISSING = 10_000
"""Notes of missing versions above which the outdated ones are dropped."""

_ServiceKey = tuple[str, str]
_VersionKey = tuple[str, str, int]


class _KnownVersions(NamedTuple):
    """Versions that a service reported."""

    versions: frozenset[int]
    """Versions that at least one usable leaf serves."""
    reported: float
    """When the report arrived, in seconds."""


class _Missing(NamedTuple):
    """Services that lack a version."""

    services: frozenset[str]
    """Service names."""
    computed: float
    """When the reports were looked at, in seconds."""


class SnapshotChooser:
    """Prefers the newest serving snapshot that no needed service is known to lack.

    A service without a recent report is assumed to serve every version: a leaf that does not,
    refuses the call before it starts. A version that a service was known to lack is preferred again
    only after no report or refusal has said so for `hold_seconds`; a choice therefore goes back to
    an older version at once and forward at most once per hold.
    """

    def __init__(
        self,
        *,
        max_age_seconds: float = DEFAULT_MAX_AGE_SECONDS,
        hold_seconds: float = DEFAULT_HOLD_SECONDS,
    ) -> None:
        """Creates a chooser that knows no versions.

        Args:
            max_age_seconds: Age above which a report counts as not known.
            hold_seconds: How long a version counts as missing after the last sign of it.
        """
        self._max_age_seconds = max_age_seconds
        self._hold_seconds = hold_seconds
        self._known_by_service: dict[_ServiceKey, _KnownVersions] = {}
        self._missing_at: dict[_VersionKey, float] = {}
        self._missing_by_version: dict[tuple[str, int], _Missing] = {}

    def on_load(self, load: ServiceLoad, now: float) -> None:
        """Takes the versions of one service from a load report.

        Args:
            load: Report of a dispatch process; an empty list of versions means not known.
            now: Time in seconds.
        """
        key = (load["environment"], load["service"])
        versions = frozenset(load["versions"])
        before = self._known_by_service.get(key)
        if before is None or before.versions != versions:
            self._missing_by_version.clear()
        self._known_by_service[key] = _KnownVersions(versions, now)

    def on_version_unavailable(
        self, environment: str, service: str, version: int, now: float
    ) -> None:
        """Notes that a call was refused because no leaf of the service serves the version.

        Args:
            environment: Environment name.
            service: Service name.
            version: Version that was asked for.
            now: Time in seconds.
        """
        self._missing_at[environment, service, version] = now
        self._missing_by_version.clear()
        if len(self._missing_at) > _MAX_MISSING:
            self._missing_at = {
                key: missing_at
                for key, missing_at in self._missing_at.items()
                if now - missing_at < self._hold_seconds
            }

    def choose(
        self,
        *,
        environment: Environment,
        services_of: Callable[[Snapshot], Collection[str]],
        now: float,
    ) -> Snapshot | None:
        """Chooses a snapshot.

        Args:
            environment: Document in force.
            services_of: Gives the services that the query needs if it reads the snapshot; they
                depend on its map.
            now: Time in seconds.

        Returns:
            The newest serving snapshot that no needed service lacks, or else the one that the
            fewest services lack (the newest of these), or None if the document has no serving
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
            missing = self._missing(environment, snapshot.version, now)
            count = len(missing.intersection(services_of(snapshot))) if missing else 0
            if count == 0:
                return snapshot
            if best is None or count < best_count:
                best, best_count = snapshot, count
        return best

    def _missing(self, environment: Environment, version: int, now: float) -> frozenset[str]:
        """Returns the services that lack the version."""
        key = (environment.name, version)
        known = self._missing_by_version.get(key)
        if known is None or now - known.computed >= _REFRESH_SECONDS:
            services = frozenset(
                service
                for service in environment.services_by_name
                if self._lacks(environment.name, service, version, now)
            )
            known = self._missing_by_version[key] = _Missing(services, now)
        return known.services

    def _lacks(self, environment: str, service: str, version: int, now: float) -> bool:
        known = self._known_by_service.get((environment, service))
        key = (environment, service, version)
        if known is not None and known.versions and version not in known.versions:
            missing_at = max(known.reported, self._missing_at.get(key, known.reported))
            if now - known.reported <= self._max_age_seconds:
                self._missing_at[key] = missing_at
                return True
        since = now - self._missing_at.get(key, float("-inf"))
        if since < self._hold_seconds:
            return True
        self._missing_at.pop(key, None)
        return False
