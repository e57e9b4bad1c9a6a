"""Claims request ids in the platform's key-value service, for requests that run at most once."""

import secrets
from types import TracebackType
from typing import Self
from urllib.parse import quote

from returns.result import Failure, Result, Success

from filbertreach.platform import (
    ConflictError,
    KeyValueClient,
    Lease,
    PlatformError,
    put_checked,
)
from filbertreach.timing import Clock

_MIN_CLAIM_SECONDS = 15 * 60.0
"""Minimum time for which a request id stays claimed."""
_LEASE_REUSE_SECONDS = 5 * 60.0
"""Claims made within this time share a lease, so that a claim costs one write."""


class ClaimTakenError(Exception):
    """The request id was claimed before, in this or another entry process."""


class ClaimUnavailableError(Exception):
    """The key-value service did not confirm the claim; the request was not run."""


class PlatformClaims:
    """Claims request ids with one write to the key-value service each."""

    def __init__(self, *, client: KeyValueClient, clock: Clock, process: str) -> None:
        """Creates an instance without a lease.

        Args:
            client: Client of the key-value service.
            clock: Source of time.
            process: Process name, stored in the claim for operators.
        """
        self._client = client
        self._clock = clock
        self._process = process
        self._lease: Lease | None = None
        self._lease_granted_at = 0.0

    async def __aenter__(self) -> Self:
        """Enters the client."""
        await self._client.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Closes the client; claims remain until their leases expire."""
        await self._client.__aexit__(kind, error, trace)

    async def claim(
        self, *, environment: str, request_id: str
    ) -> Result[str, ClaimTakenError | ClaimUnavailableError]:
        """Claims a request id.

        Args:
            environment: Environment name.
            request_id: Request id from the caller.

        Returns:
            The key of the claim, or the reason why the request must not run.
        """
        lease = await self._current_lease()
        if not isinstance(lease, Success):
            return Failure(ClaimUnavailableError(str(lease.failure())))
        key = f"filbertreach/requests/{quote(environment, safe='')}/{quote(request_id, safe='')}"
        value = f"{self._process} {secrets.token_hex(16)}"
        put = await put_checked(
            client=self._client,
            key=key,
            value=value,
            expected_revision=0,
            lease=lease.unwrap().id,
            took_effect=lambda item: item.value == value,
        )
        if isinstance(put, Success):
            return Success(key)
        error = put.failure()
        if isinstance(error, ConflictError):
            return Failure(ClaimTakenError(request_id))
        # The lease may have expired, for example in a long outage.
        self._lease = None
        return Failure(ClaimUnavailableError(str(error)))

    async def release(self, key: str) -> None:
        """Releases the claim of a request that was not run; best effort.

        Args:
            key: Key that `claim` returned.
        """
        await self._client.delete(key)

    async def _current_lease(self) -> Result[Lease, PlatformError]:
        now = self._clock.now()
        if self._lease is not None and now - self._lease_granted_at < _LEASE_REUSE_SECONDS:
            return Success(self._lease)
        granted = await self._client.grant_lease(_MIN_CLAIM_SECONDS + _LEASE_REUSE_SECONDS)
        if isinstance(granted, Success):
            self._lease, self._lease_granted_at = granted.unwrap(), now
        return granted
