"""Keeps a lease renewed and tracks whether it is still certain to be in force."""

from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Self

import anyio
import anyio.abc
from returns.result import Success

from filbertreach.platform._errors import LeaseExpiredError, PlatformError, RateLimitedError
from filbertreach.platform._key_value import KeyValueClient, Lease

_RENEWALS_PER_TTL = 3
"""Two renewals may fail before the lease lapses."""
_RETRIES_PER_TTL = 10
_REVOKE_TIMEOUT_SECONDS = 1.0
"""Time limit of the revocation on exit."""

LeaseCallback = Callable[[Lease], Awaitable[None]]


class LeaseKeeper:
    """Requests and renews a lease while entered as a context manager.

    A lease lapses when the service reports that it has expired, or when it may have expired by the
    clock of this process. Work that relies on the lease must read `lease` immediately before it
    acts, compare the id with that of the lease it began under, and stop if the id differs or the
    lease is None. `lease` reads the clock, so a process that was paused sees the lapse before any
    other code has run. `on_lapsed` completes before a new lease is requested.
    """

    def __init__(
        self,
        *,
        client: KeyValueClient,
        ttl_seconds: float,
        on_granted: LeaseCallback | None = None,
        on_lapsed: LeaseCallback | None = None,
        revoke_on_exit: bool = True,
    ) -> None:
        """Creates a keeper without a lease.

        Args:
            client: Client; its clock must be CLOCK_BOOTTIME except in tests.
            ttl_seconds: Time after which the lease expires unless renewed.
            on_granted: Called with each new lease, for example to write its keys; `wait_until_held`
                waits for its completion.
            on_lapsed: Called with each lease that has lapsed.
            revoke_on_exit: Whether to revoke the lease, which deletes its keys, on exit.
        """
        self._client = client
        self._clock = client.clock
        self._ttl_seconds = ttl_seconds
        self._on_granted = on_granted
        self._on_lapsed = on_lapsed
        self._revoke_on_exit = revoke_on_exit
        self._lease: Lease | None = None
        self._granted = anyio.Event()
        self._group: anyio.abc.TaskGroup | None = None
        self.lapses = 0
        """Number of leases that have lapsed."""
        self.last_error: PlatformError | None = None
        """Error of the last call; None if it succeeded."""

    @property
    def lease(self) -> Lease | None:
        """The lease if it is certain to be in force now, else None."""
        if self._lease is None or self._clock.now() >= self._lease.valid_until:
            return None
        return self._lease

    @property
    def remaining_seconds(self) -> float:
        """Time for which the lease is still certain to be in force; 0 without a lease."""
        lease = self._lease
        return 0.0 if lease is None else max(0.0, lease.valid_until - self._clock.now())

    async def wait_until_held(self) -> Lease:
        """Waits until a lease is held and `on_granted` has completed for it; returns the lease."""
        while True:
            await self._granted.wait()
            lease = self.lease
            if lease is not None:
                return lease
            # The lease has lapsed, but the background task has not processed that yet.
            await anyio.sleep(self._ttl_seconds / _RETRIES_PER_TTL)

    async def __aenter__(self) -> Self:
        """Starts to request a lease in the background, without waiting for it."""
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        self._group.start_soon(self._run_renewals, name="lease keeper")
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        """Stops renewing and, if `revoke_on_exit`, revokes the lease."""
        assert self._group is not None
        self._group.cancel_scope.cancel()
        suppressed = await self._group.__aexit__(kind, error, trace)
        lease, self._lease = self._lease, None
        if lease is not None and self._revoke_on_exit:
            with anyio.move_on_after(_REVOKE_TIMEOUT_SECONDS, shield=True):
                await self._client.revoke_lease(lease)
        return suppressed

    async def _run_renewals(self) -> None:
        while True:
            if self._lease is not None and self.lease is None:
                lapsed = self._lease
                await self._handle_lapse()
                # The service may still hold the lease, but its keys must not outlive `on_lapsed`.
                await self._client.revoke_lease(lapsed)
            if self._lease is None:
                await self._grant()
            else:
                await self._renew(self._lease)
            await anyio.sleep(self._delay_seconds())

    def _delay_seconds(self) -> float:
        if isinstance(self.last_error, RateLimitedError):
            return self.last_error.retry_after_seconds
        parts = _RENEWALS_PER_TTL if self.last_error is None else _RETRIES_PER_TTL
        return self._ttl_seconds / parts

    async def _grant(self) -> None:
        result = await self._client.grant_lease(self._ttl_seconds)
        if not isinstance(result, Success):
            self.last_error = result.failure()
            return
        self.last_error = None
        self._lease = result.unwrap()
        if self._on_granted is not None:
            await self._on_granted(self._lease)
        self._granted.set()

    async def _renew(self, lease: Lease) -> None:
        result = await self._client.renew_lease(lease)
        if isinstance(result, Success):
            self.last_error = None
            self._lease = result.unwrap()
            return
        self.last_error = result.failure()
        if isinstance(self.last_error, LeaseExpiredError):
            await self._handle_lapse()

    async def _handle_lapse(self) -> None:
        lease, self._lease = self._lease, None
        assert lease is not None
        self._granted = anyio.Event()
        self.lapses += 1
        if self._on_lapsed is not None:
            await self._on_lapsed(lease)
