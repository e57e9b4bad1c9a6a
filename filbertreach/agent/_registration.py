"""Keeps this host's record in the key-value service."""

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

WRITES_PER_SECOND = 150
"""Writes that a change may cause in the whole fleet in a second; the service allows several
hundred, and leases, request claims and operators need the rest."""
_RENEWING_HOSTS_PER_SECOND = 20
"""Hosts of a large fleet whose leases cost three renewals in a second: 60 writes."""
_LEAST_INTERVAL_SECONDS = 0.1
_RETRY_SECONDS = 0.3
_LONGEST_RETRY_SECONDS = 3.0

_LOGGER = logging.getLogger(__name__)


class RegistrationOptions(NamedTuple):
    """What a registration works with."""

    client: KeyValueClient
    """Client of the key-value service."""
    host: str
    """Host name."""
    incarnation: int
    """Incarnation of the agent."""
    lease_seconds: float
    """Time to live of the record in a small fleet."""
    record: Callable[[], HostRecord]
    """Returns the record as it should be."""
    fleet_size: Callable[[], int]
    """Returns the number of hosts that this agent believes to be alive."""


class HostRegistration:
    """Writes the host record when it changes; a context manager that holds the lease.

    Every write is a compare-and-swap on the revision of the write before, so that a delayed write
    whose answer was lost can't replace a newer record.
    """

    def __init__(self, options: RegistrationOptions) -> None:
        """Prepares a registration.

        Args:
            options: What it works with.
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
        """Starts to ask for a lease and to write."""
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
        """Whether the present record is in the service under the present lease."""
        return self._written is not None and self._written == self._wanted()

    def mark_changed(self, *, urgent: bool = False) -> None:
        """Asks for a write unless the record is already as it should be.

        Args:
            urgent: Without the delay that spreads the writes of a fleet; for changes that do not
                happen on all hosts at once.
        """
        if not self.is_written:
            self._urgent = self._urgent or urgent
            self._changed.set()

    def note_listing(self, present: str | None, read_at: float) -> None:
        """Compares a reading of the record with what was written, and repairs it.

        Args:
            present: Value of the record in a listing, None if it does not exist.
            read_at: Time before the listing, in seconds.
        """
        written = self._written
        if written is not None and read_at > self._written_at and present != written[1]:
            self._written = None
            self.mark_changed()

    async def _on_granted(self, _lease: Lease) -> None:
        self._written = None
        self.mark_changed(urgent=True)

    def _wanted(self) -> tuple[str, str] | None:
        assert self._keeper is not None
        lease = self._keeper.lease
        if lease is None:
            return None
        return lease.id, msgspec.json.encode(self._options.record(), order="sorted").decode()

    async def _run(self) -> None:
        assert self._keeper is not None
        pause = _RETRY_SECONDS
        while True:
            await self._changed.wait()
            self._changed = anyio.Event()
            if not self._urgent:
                spread = self._options.fleet_size() / WRITES_PER_SECOND
                await anyio.sleep(self._random.uniform(0, spread))
            self._urgent = False
            await self._keeper.wait_until_held()
            wanted = self._wanted()
            if wanted is None or wanted == self._written:
                continue
            error = await self._write(*wanted)
            if error is None:
                pause = _RETRY_SECONDS
                self._written, self._written_at = wanted, self._options.client.clock.now()
                self.mark_changed()
                await anyio.sleep(_LEAST_INTERVAL_SECONDS)
                continue
            _LOGGER.info("host record not written: %s", error)
            if isinstance(error, RateLimitedError):
                pause = max(pause, error.retry_after_seconds)
            await anyio.sleep(pause * self._random.uniform(0.5, 1.0))
            pause = min(2 * pause, _LONGEST_RETRY_SECONDS)
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
            # The lease expired and took the record along, or a write took effect whose answer was
            # lost. The read that follows refuses to replace a newer agent's record.
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
        # A stale reading shows an older revision than the conflict did.
        self._revision = max(item.revision, self._conflicting_revision)
        return None
