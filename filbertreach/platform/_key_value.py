"""Client of the platform's key-value service."""

import urllib.parse
from typing import Any, Literal, NamedTuple, NotRequired, TypeVar

import msgspec
from returns.result import Failure, Result, Success
from typing_extensions import TypedDict

from filbertreach.platform._channel import ChannelClient, ExchangeError, HttpResponse
from filbertreach.platform._errors import (
    ConflictError,
    InvalidCallError,
    KeyNotFoundError,
    LeaseExpiredError,
    OutcomeUnknownError,
    PlatformError,
    PlatformUnavailableError,
    RateLimitedError,
    TooLargeError,
)
from filbertreach.schema import Int64, InvalidMessageError, JsonDecoder
from filbertreach.timing import Clock, SystemClock

MAX_VALUE_BYTES = 1_000_000
"""Largest value that the platform accepts, in bytes of UTF-8."""

_CLOCK_DRIFT_SHARE = 0.001
"""Each of two clocks can be wrong by up to 500 ppm while it is being corrected."""

_READ_KINDS = frozenset({"get", "list", "watch"})
_Body = TypeVar("_Body")


class KeyValueItem(NamedTuple):
    """A key with its value."""

    key: str
    """Key."""
    value: str
    """Value."""
    revision: int
    """Revision of the last write to the key."""
    lease: str | None
    """Id of the lease that the key is bound to, or None."""


class KeyValueListing(NamedTuple):
    """The keys with one prefix."""

    items_by_key: dict[str, KeyValueItem]
    """Items in order of their keys."""
    revision: int
    """Revision of the store; a watch after it misses no change."""


class WatchEvent(NamedTuple):
    """A change of a key."""

    type: Literal["put", "delete"]
    """Kind of the change."""
    key: str
    """Key."""
    value: str | None
    """New value; None for a deletion."""
    revision: int
    """Revision of the change."""


class WatchBatch(NamedTuple):
    """Result of one watch call."""

    events: tuple[WatchEvent, ...]
    """Changes in order of revision; earlier changes of the same key may be left out."""
    revision: int
    """Pass it as `after` to the next watch."""


class Lease(NamedTuple):
    """A lease and the time until which its holder may rely on it."""

    id: str
    """Id of the lease."""
    ttl_seconds: float
    """Time for which the service grants the lease."""
    valid_until: float
    """Time on the client's clock up to which the service can't have expired the lease."""


class _ItemBody(TypedDict):
    key: str
    value: str
    revision: Int64
    lease: str | None


class _ListBody(TypedDict):
    items: list[_ItemBody]
    revision: Int64


class _RevisionBody(TypedDict):
    revision: Int64


class _LeaseBody(TypedDict):
    lease: str


class _EventBody(TypedDict):
    type: Literal["put", "delete"]
    key: str
    value: NotRequired[str | None]
    revision: Int64


class _WatchBody(TypedDict):
    events: list[_EventBody]
    revision: Int64


_ITEM_DECODER = JsonDecoder(message=_ItemBody)
_LIST_DECODER = JsonDecoder(message=_ListBody)
_REVISION_DECODER = JsonDecoder(message=_RevisionBody)
_LEASE_DECODER = JsonDecoder(message=_LeaseBody)
_WATCH_DECODER = JsonDecoder(message=_WatchBody)
_ANY_DECODER = JsonDecoder(message=dict[str, object], has_open_values=True)


class KeyValueClient(ChannelClient):
    """Client of the key-value service; a context manager. Safe to use from several tasks.

    Methods return a Failure with an error of this package instead of raising it. If the response is
    lost, reads fail with `PlatformUnavailableError` and writes with `OutcomeUnknownError`.
    """

    def __init__(
        self, *, base_url: str, timeout_seconds: float = 1.0, clock: Clock | None = None
    ) -> None:
        """Creates a client; connections are opened when needed.

        Args:
            base_url: For example `http://127.0.0.1:9000`.
            timeout_seconds: Time limit of a call, in addition to the wait time of a watch.
            clock: Clock for lease times; CLOCK_BOOTTIME by default.
        """
        self.clock: Clock = clock or SystemClock()
        super().__init__(base_url=base_url, timeout_seconds=timeout_seconds)

    async def get(self, key: str) -> Result[KeyValueItem, PlatformError]:
        """Reads a key.

        Args:
            key: Key.

        Returns:
            The item; KeyNotFoundError if the key does not exist.
        """
        response = await self._call("get", key, "GET", _key_target(key), _ITEM_DECODER)
        return response.map(lambda body: KeyValueItem(**body))

    async def list_prefix(self, prefix: str) -> Result[KeyValueListing, PlatformError]:
        """Reads all keys with a prefix.

        Args:
            prefix: Prefix, may be empty.

        Returns:
            The items and the revision from which to watch.
        """
        target = "/v1/keys?" + urllib.parse.urlencode({"prefix": prefix})
        response = await self._call("list", prefix, "GET", target, _LIST_DECODER)
        return response.map(_to_listing)

    async def put(
        self,
        key: str,
        value: str,
        expected_revision: int | None = None,
        lease: str | None = None,
    ) -> Result[int, PlatformError]:
        """Writes a key.

        Args:
            key: Key.
            value: Value, at most MAX_VALUE_BYTES bytes of UTF-8.
            expected_revision: Required revision of the key; 0 if it must not exist, None for any.
            lease: Id of the lease with which the key is deleted, or None.

        Returns:
            The new revision; ConflictError, TooLargeError or LeaseExpiredError if refused.
        """
        size = len(value.encode())
        if size > MAX_VALUE_BYTES:
            message = f"the value of {key!r} has {size:,} bytes; at most {MAX_VALUE_BYTES:,} fit"
            return Failure(TooLargeError(message))
        body = {"value": value, "expected_revision": expected_revision, "lease": lease}
        response = await self._call("put", key, "PUT", _key_target(key), _REVISION_DECODER, body)
        return response.map(lambda body: body["revision"])

    async def delete(
        self, key: str, expected_revision: int | None = None
    ) -> Result[int, PlatformError]:
        """Deletes a key.

        Args:
            key: Key.
            expected_revision: Required revision of the key; None for any.

        Returns:
            The revision of the deletion; KeyNotFoundError or ConflictError if refused.
        """
        target = _key_target(key)
        if expected_revision is not None:
            target += f"?expected_revision={expected_revision}"
        response = await self._call("delete", key, "DELETE", target, _REVISION_DECODER)
        return response.map(lambda body: body["revision"])

    async def grant_lease(self, ttl_seconds: float) -> Result[Lease, PlatformError]:
        """Requests a lease.

        Args:
            ttl_seconds: Time after which the lease expires unless renewed.

        Returns:
            The lease, with its time counted from before the request was sent.
        """
        sent_at = self.clock.now()
        body = {"ttl_seconds": ttl_seconds}
        response = await self._call("grant_lease", "", "POST", "/v1/leases", _LEASE_DECODER, body)
        valid_until = _valid_until(sent_at, ttl_seconds)
        return response.map(lambda body: Lease(body["lease"], ttl_seconds, valid_until))

    async def renew_lease(self, lease: Lease) -> Result[Lease, PlatformError]:
        """Renews a lease for its full time.

        Args:
            lease: The lease.

        Returns:
            The renewed lease, with its time counted from before the request was sent;
            LeaseExpiredError if the service no longer has it.
        """
        sent_at = self.clock.now()
        target = f"/v1/leases/{urllib.parse.quote(lease.id, safe='')}/renew"
        response = await self._call("renew_lease", lease.id, "POST", target, _ANY_DECODER)
        valid_until = _valid_until(sent_at, lease.ttl_seconds)
        return response.map(lambda _body: lease._replace(valid_until=valid_until))

    async def revoke_lease(self, lease: Lease) -> Result[None, PlatformError]:
        """Revokes a lease, which deletes the keys bound to it.

        Args:
            lease: The lease.

        Returns:
            None; LeaseExpiredError if the service no longer has it.
        """
        target = f"/v1/leases/{urllib.parse.quote(lease.id, safe='')}"
        response = await self._call("revoke_lease", lease.id, "DELETE", target, _ANY_DECODER)
        return response.map(lambda _body: None)

    async def watch(
        self, prefix: str, after: int, wait_seconds: float
    ) -> Result[WatchBatch, PlatformError]:
        """Waits for changes of keys with a prefix.

        Args:
            prefix: Prefix, may be empty.
            after: Revision after which changes are wanted.
            wait_seconds: Longest wait, at most 60.

        Returns:
            The changes, which may be none.
        """
        parameters = {"prefix": prefix, "after": after, "wait_seconds": f"{wait_seconds:g}"}
        target = "/v1/watch?" + urllib.parse.urlencode(parameters)
        response = await self._call(
            "watch", prefix, "GET", target, _WATCH_DECODER, extra_seconds=wait_seconds
        )
        return response.map(_to_watch_batch)

    async def _call(
        self,
        kind: str,
        subject: str,
        method: str,
        target: str,
        decoder: JsonDecoder[_Body],
        body: dict[str, Any] | None = None,
        extra_seconds: float = 0.0,
    ) -> Result[_Body, PlatformError]:
        self.calls_by_kind[kind] += 1
        encoded = None if body is None else msgspec.json.encode(body)
        try:
            response = await self._channel.exchange(
                method=method, target=target, body=encoded, extra_seconds=extra_seconds
            )
        except ExchangeError as error:
            if error.sent and kind not in _READ_KINDS:
                return Failure(OutcomeUnknownError(str(error)))
            return Failure(PlatformUnavailableError(str(error)))
        try:
            if response.status == 200:
                return Success(decoder.decode(response.body))
            return Failure(_error_from_response(kind, subject, response))
        except InvalidMessageError as error:
            message = f"{method} {target}: status {response.status} with an unusable body: {error}"
            return Failure(_unusable_response_error(kind, message))


def _unusable_response_error(kind: str, message: str) -> PlatformError:
    if kind in _READ_KINDS:
        return PlatformUnavailableError(message)
    return OutcomeUnknownError(message)


def _error_from_response(kind: str, subject: str, response: HttpResponse) -> PlatformError:
    message = f"{kind} {subject!r}: status {response.status}"
    match response.status:
        case 404:
            return KeyNotFoundError(f"key {subject!r} does not exist")
        case 409:
            body = _REVISION_DECODER.decode(response.body)
            return ConflictError(key=subject, current_revision=body["revision"])
        case 410:
            return LeaseExpiredError(f"{kind} {subject!r}: the lease has expired")
        case 413:
            return TooLargeError(f"the platform refused the value of {subject!r} as too large")
        case 429:
            return RateLimitedError(retry_after_seconds=response.retry_after_seconds)
        case 503:
            # By contract, the service responds with 503 only if the call had no effect.
            return PlatformUnavailableError(message)
        case status if status < 500:
            return InvalidCallError(f"{message}: {response.body[:200].decode(errors='replace')}")
    return _unusable_response_error(kind, message)


def _valid_until(sent_at: float, ttl_seconds: float) -> float:
    return sent_at + ttl_seconds * (1 - _CLOCK_DRIFT_SHARE)


def _key_target(key: str) -> str:
    return "/v1/keys/" + urllib.parse.quote(key, safe="/")


def _to_listing(body: _ListBody) -> KeyValueListing:
    items = {item["key"]: KeyValueItem(**item) for item in body["items"]}
    return KeyValueListing(items, body["revision"])


def _to_watch_batch(body: _WatchBody) -> WatchBatch:
    events = (
        WatchEvent(event["type"], event["key"], event.get("value"), event["revision"])
        for event in body["events"]
    )
    return WatchBatch(tuple(events), body["revision"])
