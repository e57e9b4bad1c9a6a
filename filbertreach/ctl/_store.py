"""Access to the key-value service: JSON values, retries and the errors of this package."""

import json
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple, TypeVar

import anyio
from returns.result import Result, Success

from filbertreach.ctl._errors import RefusedError, UnavailableError
from filbertreach.ctl._records import encode
from filbertreach.platform import (
    ConflictError,
    HostListClient,
    KeyNotFoundError,
    KeyValueClient,
    Lease,
    LeaseExpiredError,
    OutcomeUnknownError,
    RateLimitedError,
    TooLargeError,
)

_MAX_ATTEMPTS = 3
"""Attempts of a call that is safe to repeat."""
_RETRY_DELAY_SECONDS = 0.2
"""Delay before a retry; the platform normally answers within milliseconds."""
_Value = TypeVar("_Value")


class StoredValue(NamedTuple):
    """Value of a key with its revision."""

    value: dict[str, Any]
    """Decoded JSON object."""
    revision: int
    """Revision to expect in a compare-and-swap."""


class RevisionChangedError(Exception):
    """A compare-and-swap found another revision than expected."""


class ResponseLostError(Exception):
    """The response to a write was lost; the write may have taken effect."""


class LeaseLostError(Exception):
    """A lease has expired."""


class Store:
    """Typed access to the key-value service; reads are retried, writes are sent once."""

    def __init__(
        self,
        *,
        client: KeyValueClient,
        timeout_seconds: float,
        host_list: HostListClient | None = None,
    ) -> None:
        """Creates the store.

        Args:
            client: Open client of the key-value service.
            timeout_seconds: Time-out of one call of the client.
            host_list: Open client of the host list; None if it is not used.
        """
        self._client = client
        self._host_list = host_list
        self.timeout_seconds = timeout_seconds

    async def read(self, key: str) -> StoredValue | None:
        """Reads a key.

        Args:
            key: The key.

        Returns:
            The stored value; None if the key does not exist.

        Raises:
            UnavailableError: The platform does not answer.
        """
        result = await self._call_with_retries(lambda: self._client.get(key))
        if isinstance(result, Success):
            entry = result.unwrap()
            return StoredValue(_decode(key, entry.value), entry.revision)
        if isinstance(result.failure(), KeyNotFoundError):
            return None
        raise _unavailable(result.failure())

    async def read_all(self, prefix: str) -> dict[str, StoredValue]:
        """Reads every key with a prefix.

        Args:
            prefix: The prefix.

        Returns:
            Value by key.

        Raises:
            UnavailableError: The platform does not answer.
        """
        result = await self._call_with_retries(lambda: self._client.list_prefix(prefix))
        if not isinstance(result, Success):
            raise _unavailable(result.failure())
        return {
            entry.key: StoredValue(_decode(entry.key, entry.value), entry.revision)
            for entry in result.unwrap().items_by_key.values()
        }

    async def live_hosts(self) -> frozenset[str]:
        """Reads the names of the entry hosts that the platform lists as live.

        Returns:
            Host names; empty if the host list is not used.

        Raises:
            UnavailableError: The platform does not answer.
        """
        if self._host_list is None:
            return frozenset()
        result = await self._call_with_retries(self._host_list.list_hosts)
        if not isinstance(result, Success):
            raise UnavailableError(f"the host list does not answer: {result.failure()}")
        hosts = result.unwrap().hosts_by_name.values()
        return frozenset(h.host for h in hosts if h.kind == "entry" and h.state == "live")

    async def write(
        self,
        key: str,
        value: Mapping[str, Any],
        *,
        expected: int | None,
        lease: Lease | None = None,
    ) -> int:
        """Writes a key.

        Args:
            key: The key.
            value: Encoded as JSON.
            expected: Revision that the key must have; 0 if it must be absent, None for any.
            lease: Lease to which the key is bound.

        Returns:
            The new revision.

        Raises:
            RevisionChangedError: The key has another revision.
            LeaseLostError: The lease has expired.
            ResponseLostError: The write may have taken effect.
            UnavailableError: The write did not take effect.
        """
        result = await self._client.put(
            key, encode(value), expected_revision=expected, lease=lease.id if lease else None
        )
        if isinstance(result, Success):
            return int(result.unwrap())
        raise _write_error(result.failure())

    async def delete(self, key: str, *, expected: int) -> None:
        """Removes a key.

        Args:
            key: The key.
            expected: Revision that the key must have.

        Raises:
            RevisionChangedError: The key has another revision.
            ResponseLostError: The removal may have taken effect.
            UnavailableError: The removal did not take effect.
        """
        result = await self._client.delete(key, expected_revision=expected)
        if not isinstance(result, Success):
            raise _write_error(result.failure())

    async def grant_lease(self, ttl_seconds: float) -> Lease:
        """Requests a new lease.

        Args:
            ttl_seconds: Time to live without renewal, in seconds.

        Returns:
            The lease.

        Raises:
            UnavailableError: The platform does not answer.
        """
        # Safe to retry: a lease whose response was lost has no keys and expires.
        result = await self._call_with_retries(lambda: self._client.grant_lease(ttl_seconds))
        if isinstance(result, Success):
            granted: Lease = result.unwrap()
            return granted
        raise _unavailable(result.failure())

    async def renew_lease(self, lease: Lease) -> Lease:
        """Renews a lease.

        Args:
            lease: The lease.

        Returns:
            The renewed lease.

        Raises:
            LeaseLostError: The lease has expired.
            ResponseLostError: The lease may have been renewed.
            UnavailableError: The platform does not answer.
        """
        result = await self._client.renew_lease(lease)
        if isinstance(result, Success):
            granted: Lease = result.unwrap()
            return granted
        raise _write_error(result.failure())

    async def _call_with_retries(
        self, call: Callable[[], Awaitable[Result[_Value, Any]]]
    ) -> Result[_Value, Any]:
        for _ in range(_MAX_ATTEMPTS - 1):
            result = await call()
            if isinstance(result, Success) or isinstance(result.failure(), KeyNotFoundError):
                return result
            await anyio.sleep(_RETRY_DELAY_SECONDS)
        return await call()


def _write_error(error: Exception) -> Exception:
    if isinstance(error, ConflictError | KeyNotFoundError):
        return RevisionChangedError(str(error))
    if isinstance(error, LeaseExpiredError):
        return LeaseLostError(str(error))
    if isinstance(error, OutcomeUnknownError):
        return ResponseLostError(str(error))
    if isinstance(error, TooLargeError):
        return RefusedError(f"not accepted: {error}")
    return _unavailable(error)


def _unavailable(error: Exception) -> UnavailableError:
    if isinstance(error, RateLimitedError):
        return UnavailableError(f"the key-value service limits the rate of calls: {error}")
    return UnavailableError(f"the key-value service does not answer: {error}")


def _decode(key: str, text: str) -> dict[str, Any]:
    try:
        value = json.loads(text)
    except ValueError:
        value = None
    if not isinstance(value, dict):
        raise RefusedError(f"the key {key} does not hold a JSON object; another program wrote it")
    return value
