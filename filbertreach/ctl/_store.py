"""Access to the key-value service with JSON values and this layer's errors."""

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

_ATTEMPTS = 3
"""Tries of a call that is safe to repeat."""
_RETRY_SECONDS = 0.2
"""Wait before the next try; the platform normally answers in milliseconds."""
_Value = TypeVar("_Value")


class Stored(NamedTuple):
    """A value with its revision."""

    value: dict[str, Any]
    """Decoded JSON."""
    revision: int
    """Revision for a compare-and-swap."""


class RevisionChangedError(Exception):
    """A compare-and-swap met another revision."""


class AnswerLostError(Exception):
    """A write may have taken effect, its answer did not arrive."""


class LeaseLostError(Exception):
    """A lease has expired."""


class Store:
    """Typed calls; reads are retried, writes are tried once."""

    def __init__(
        self,
        *,
        client: KeyValueClient,
        timeout_seconds: float,
        host_list: HostListClient | None = None,
    ) -> None:
        """Keeps the clients.

        Args:
            client: An entered client.
            host_list: An entered client of the host list, or None to leave it out.
            timeout_seconds: Longest wait of the client for one answer.
        """
        self._client = client
        self._host_list = host_list
        self.timeout_seconds = timeout_seconds

    async def read(self, key: str) -> Stored | None:
        """Reads a key.

        Args:
            key: The key.

        Returns:
            Its value, or None if there is none.

        Raises:
            UnavailableError: The platform does not answer.
        """
        result = await self._repeated(lambda: self._client.get(key))
        if isinstance(result, Success):
            entry = result.unwrap()
            return Stored(_decode(key, entry.value), entry.revision)
        if isinstance(result.failure(), KeyNotFoundError):
            return None
        raise _unavailable(result.failure())

    async def read_all(self, prefix: str) -> dict[str, Stored]:
        """Reads every key with a prefix.

        Args:
            prefix: The prefix.

        Returns:
            Value by key.

        Raises:
            UnavailableError: The platform does not answer.
        """
        result = await self._repeated(lambda: self._client.list_prefix(prefix))
        if not isinstance(result, Success):
            raise _unavailable(result.failure())
        return {
            entry.key: Stored(_decode(entry.key, entry.value), entry.revision)
            for entry in result.unwrap().items_by_key.values()
        }

    async def live_hosts(self) -> frozenset[str]:
        """Reads which entry hosts the platform lists as live.

        Returns:
            Host names; empty if the host list is left out.

        Raises:
            UnavailableError: The platform does not answer.
        """
        if self._host_list is None:
            return frozenset()
        result = await self._repeated(self._host_list.list_hosts)
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
            expected: Revision that must be present; 0 for none, None for any.
            lease: Lease that the key is bound to.

        Returns:
            The new revision.

        Raises:
            RevisionChangedError: Another revision is present.
            LeaseLostError: The lease has expired.
            AnswerLostError: The write may have taken effect.
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
            expected: Revision that must be present.

        Raises:
            RevisionChangedError: Another revision is present.
            AnswerLostError: The removal may have taken effect.
            UnavailableError: The removal did not take effect.
        """
        result = await self._client.delete(key, expected_revision=expected)
        if not isinstance(result, Success):
            raise _write_error(result.failure())

    async def grant_lease(self, ttl_seconds: float) -> Lease:
        """Asks for a lease.

        Args:
            ttl_seconds: Time to live without renewal.

        Returns:
            The lease.

        Raises:
            UnavailableError: The platform does not answer.
        """
        # A lease whose answer was lost binds nothing and expires.
        result = await self._repeated(lambda: self._client.grant_lease(ttl_seconds))
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
            LeaseLostError: It has expired.
            AnswerLostError: The answer was lost.
            UnavailableError: The platform does not answer.
        """
        result = await self._client.renew_lease(lease)
        if isinstance(result, Success):
            granted: Lease = result.unwrap()
            return granted
        raise _write_error(result.failure())

    async def _repeated(
        self, call: Callable[[], Awaitable[Result[_Value, Any]]]
    ) -> Result[_Value, Any]:
        for _ in range(_ATTEMPTS - 1):
            result = await call()
            if isinstance(result, Success) or isinstance(result.failure(), KeyNotFoundError):
                return result
            await anyio.sleep(_RETRY_SECONDS)
        return await call()


def _write_error(error: Exception) -> Exception:
    if isinstance(error, ConflictError | KeyNotFoundError):
        return RevisionChangedError(str(error))
    if isinstance(error, LeaseExpiredError):
        return LeaseLostError(str(error))
    if isinstance(error, OutcomeUnknownError):
        return AnswerLostError(str(error))
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
