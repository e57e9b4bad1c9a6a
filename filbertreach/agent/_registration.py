"""Registration of this host in the key-value service."""

import logging
import random
from collections.abc import Callable
from types import TracebackType
from typing import NamedTuple, Self

import anyio
import anyio.abc
import msgspec
from returns.result import Success

from filbertreach.agent._values import parse_host_record
from filbertreach.platform import (
    ConflictError,
    KeyNotFoundError,
    KeyValueClient,
    Lease,
    LeaseKeeper,
    PlatformError,
    RateLimitedError,
)
from filbertreach.records import HOSTS_PREFIX, HostRecord

MAX_WRITES_PER_SECOND = 150
"""Limit on the writes per second that one change causes in the whole fleet. The service allows
several hundred per second; leases, request claims and operators need the rest."""
_RENEWING_HOSTS_PER_SECOND = 20
"""Number of hosts per second of lease duration in a large fleet. A lease is renewed three times
within its duration, so that the fleet makes at most 60 renewals per second."""
_MIN_WRITE_INTERVAL_SECONDS = 0.1
_RETRY_SECONDS = 0.3
_MAX_RETRY_SECONDS = 3.0

_LOGGER = logging.getLogger(__name__)


class RegistrationOptions(NamedTuple):
    """Collaborators and settings of a registration."""

    client: KeyValueClient
    """Client of the key-value service."""
    host: str
    """Host name."""
    incarnation: int
    """Incarnation of the agent."""
    lease_seconds: float
    """Lease duration of the record in a small fleet."""
    record: Callable[[], HostRecord]
    """Returns the record that should be stored."""
    fleet_size: Callable[[], int]
    """Returns the number of hosts that this agent considers live."""


class HostRegistration:
    """Writes the host record whenever it changes; a context manager that holds the lease.

    Every write is a compare-and-swap on the revision of the previous write, so that a delayed write
    whose response was lost can't replace a newer record.
    """

    def __init__(self, options: RegistrationOptions) -> None:
        """Creates a registration that is not running.

        Args:
            options: Collaborators and settings.
        """
        self._options = options
        self._key = HOSTS_PREFIX + options.host
        self._revision: int | None = None
        self._conflicting_revision = 0
        self._written: tuple[str, str] | None = None
        self._written_at = 0.0
        self._changed = anyio.Event()
        self._random = random.Random()
        self._urgent = False
        self._group: anyio.abc.TaskGroup | None = None
        self._keeper: LeaseKeeper | None = None

    async def __aenter__(self) -> Self:
        """Starts to acquire a lease and to write the record."""
        options = self._options
        ttl = max(options.lease_seconds, options.fleet_size() / _RENEWING_HOSTS_PER_SECOND)
        self._keeper = LeaseKeeper(
            client=options.client, ttl_seconds=ttl, on_granted=self._on_granted
        )
        await self._keeper.__aenter__()
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        self._group.start_soon(self._run, name="host record")
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stops writing and revokes the lease, which removes the record."""
        assert self._group is not None and self._keeper is not None
        self._group.cancel_scope.cancel()
        try:
            await self._group.__aexit__(None, None, None)
        finally:
            await self._keeper.__aexit__(None, None, None)

    @property
    def is_written(self) -> bool:
        """Whether the current record has been written under the current lease."""
        return self._written is not None and self._written == self._desired()

    def mark_changed(self, *, urgent: bool = False) -> None:
        """Schedules a write unless the current record is already written.

        Args:
            urgent: Whether to skip the random delay that spreads the writes of the fleet;
                for changes that do not happen on all hosts at the same time.
        """
        if not self.is_written:
            self._urgent = self._urgent or urgent
            self._changed.set()

    def check_listing(self, present: str | None, read_at: float) -> None:
        """Compares a listed record with the written one, and schedules a write if they differ.

        Args:
            present: Value of the record in a listing; None if it does not exist.
            read_at: Time at which the listing was requested, in seconds.
        """
        written = self._written
        if written is not None and read_at > self._written_at and present != written[1]:
            self._written = None
            self.mark_changed()

    async def _on_granted(self, _lease: Lease) -> None:
        self._written = None
        self.mark_changed(urgent=True)

    def _desired(self) -> tuple[str, str] | None:
        assert self._keeper is not None
        lease = self._keeper.lease
        if lease is None:
            return None
        return lease.id, msgspec.json.encode(self._options.record(), order="sorted").decode()

    async def _run(self) -> None:
        assert self._keeper is not None
        delay = _RETRY_SECONDS
        while True:
            await self._changed.wait()
            self._changed = anyio.Event()
            if not self._urgent:
                spread = self._options.fleet_size() / MAX_WRITES_PER_SECOND
                await anyio.sleep(self._random.uniform(0, spread))
            self._urgent = False
            await self._keeper.wait_until_held()
            desired = self._desired()
            if desired is None or desired == self._written:
                continue
            error = await self._write(*desired)
            if error is None:
                delay = _RETRY_SECONDS
                self._written, self._written_at = desired, self._options.client.clock.now()
                self.mark_changed()
                await anyio.sleep(_MIN_WRITE_INTERVAL_SECONDS)
                continue
            _LOGGER.info("failed to write host record: %s", error)
            if isinstance(error, RateLimitedError):
                delay = max(delay, error.retry_after_seconds)
            await anyio.sleep(delay * self._random.uniform(0.5, 1.0))
            delay = min(2 * delay, _MAX_RETRY_SECONDS)
            self._changed.set()

    async def _write(self, lease: str, value: str) -> PlatformError | None:
        if self._revision is None:
            error = await self._read_revision()
            if error is not None:
                return error
        result = await self._options.client.put(self._key, value, self._revision, lease)
        if isinstance(result, Success):
            self._revision = result.unwrap()
            return None
        error = result.failure()
        if isinstance(error, ConflictError):
            # Either the lease expired, which removed the record, or an earlier write took effect
            # but its response was lost. The read before the next write rejects a newer agent's
            # record.
            self._conflicting_revision = error.current_revision
            self._revision = 0 if error.current_revision == 0 else None
        else:
            self._revision = None
        return error

    async def _read_revision(self) -> PlatformError | None:
        result = await self._options.client.get(self._key)
        if not isinstance(result, Success):
            error = result.failure()
            if isinstance(error, KeyNotFoundError):
                self._revision = self._conflicting_revision
                return None
            return error
        item = result.unwrap()
        record = parse_host_record(key=self._key, value=item.value)
        if isinstance(record, Success):
            incarnation = record.unwrap()["incarnation"]
            if incarnation > self._options.incarnation:
                return PlatformError(
                    f"{self._key} belongs to a newer agent (incarnation {incarnation}); "
                    "stop one of the two agents of this host"
                )
        # A stale read may return an older revision than the conflict did.
        self._revision = max(item.revision, self._conflicting_revision)
        return None
