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
from filbertreach.timing import Clock, SystemClock

MAX_VALUE_BYTES = 1_000_000
"""Largest value that the platform holds, in bytes of UTF-8."""

_DEFAULT_RETRY_SECONDS = 1.0
_CLOCK_DRIFT_SHARE = 0.001
"""The clocks of two hosts can each run wrong by 500 ppm while they are being corrected."""

_READ_KINDS = frozenset({"get", "list", "watch"})
_Body = TypeVar("_Body")


class KeyValueItem(NamedTuple):
    """A key that exists."""

    key: str
    """Key."""
    value: str
    """Value."""
    revision: int
    """Revision of the last write to the key."""
    lease: str | None
    """Id of the lease that the key is bound to."""


class KeyValueListing(NamedTuple):
    """The keys with one prefix."""

    items_by_key: dict[str, KeyValueItem]
    """Items in order of their keys."""
    revision: int
    """Revision of the store; a watch after it misses nothing."""


class WatchEvent(NamedTuple):
    """A change of a key."""

    type: Literal["put", "delete"]
    """What happened."""
    key: str
    """Key."""
    value: str | None
    """New value, None after a deletion."""
    revision: int
    """Revision of the change."""


class WatchBatch(NamedTuple):
    """What a watch saw."""

    events: tuple[WatchEvent, ...]
    """Changes in order of revision; of one key, earlier ones may be left out."""
    revision: int
    """Pass it as `after` to the next watch."""


class Lease(NamedTuple):
    """A lease as its holder may rely on it."""

    id: str
    """Id of the lease."""
    ttl_seconds: float
    """Time for which the service grants it."""
    valid_until: float
    """Time of the client's clock before which the service can't have let it expire."""


class _ItemBody(TypedDict):
    key: str
    value: str
    revision: int
    lease: str | None


class _ListBody(TypedDict):
    items: list[_ItemBody]
    revision: int


class _RevisionBody(TypedDict):
    revision: int


class _LeaseBody(TypedDict):
    lease: str


class _EventBody(TypedDict):
    type: Literal["put", "delete"]
    key: str
    value: NotRequired[str | None]
    revision: int


class _WatchBody(TypedDict):
    events: list[_EventBody]
    revision: int


class KeyValueClient(ChannelClient):
    """Calls the key-value service; a context manager. Safe to use from several tasks.

    Every method returns a Failure with an error of this package instead of raising. Reads fail with
    `PlatformUnavailableError` where a write whose answer was lost has `OutcomeUnknownError`.
    """

    def __init__(
        self, *, base_url: str, timeout_seconds: float = 1.0, clock: Clock | None = None
    ) -> None:
        """Creates a client; connections are opened when needed.

        Args:
            base_url: For example `http://127.0.0.1:9000`.
            timeout_seconds: Bound of a call, beyond the time that a watch waits.
            clock: Source of lease times; CLOCK_BOOTTIME by default.
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
        answer = await self._call("get", key, "GET", _key_target(key), _ItemBody)
        return answer.map(lambda body: KeyValueItem(**body))

    async def list_prefix(self, prefix: str) -> Result[KeyValueListing, PlatformError]:
        """Reads all keys with a prefix.

        Args:
            prefix: Prefix, may be empty.

        Returns:
            The items and the revision from which to watch.
        """
        target = "/v1/keys?" + urllib.parse.urlencode({"prefix": prefix})
        answer = await self._call("list", prefix, "GET", target, _ListBody)
        return answer.map(_listing)

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
            expected_revision: Revision that the key must have; 0: must not exist; None: any.
            lease: Id of the lease that the key ends with, or None.

        Returns:
            The new revision; ConflictError, TooLargeError or LeaseExpiredError if refused.
        """
        size = len(value.encode())
        if size > MAX_VALUE_BYTES:
            message = f"the value of {key!r} has {size:,} bytes; at most {MAX_VALUE_BYTES:,} fit"
            return Failure(TooLargeError(message))
        body = {"value": value, "expected_revision": expected_revision, "lease": lease}
        answer = await self._call("put", key, "PUT", _key_target(key), _RevisionBody, body)
        return answer.map(lambda body: body["revision"])

    async def delete(
        self, key: str, expected_revision: int | None = None
    ) -> Result[int, PlatformError]:
        """Deletes a key.

        Args:
            key: Key.
            expected_revision: Revision that the key must have; None: any.

        Returns:
            The revision of the deletion; KeyNotFoundError or ConflictError if refused.
        """
        target = _key_target(key)
        if expected_revision is not None:
            target += f"?expected_revision={expected_revision}"
        answer = await self._call("delete", key, "DELETE", target, _RevisionBody)
        return answer.map(lambda body: body["revision"])

    async def grant_lease(self, ttl_seconds: float) -> Result[Lease, PlatformError]:
        """Asks for a lease.

        Args:
            ttl_seconds: Time after which it expires unless renewed.

        Returns:
            The lease, its time counted from before the request was sent.
        """
        sent_at = self.clock.now()
        body = {"ttl_seconds": ttl_seconds}
        answer = await self._call("grant_lease", "", "POST", "/v1/leases", _LeaseBody, body)
        valid_until = _lapses_at(sent_at, ttl_seconds)
        return answer.map(lambda body: Lease(body["lease"], ttl_seconds, valid_until))

    async def renew_lease(self, lease: Lease) -> Result[Lease, PlatformError]:
        """Extends a lease to its whole time.

        Args:
            lease: The lease.

        Returns:
            The extended lease, its time counted from before the request was sent;
            LeaseExpiredError if the service no longer has it.
        """
        sent_at = self.clock.now()
        target = f"/v1/leases/{urllib.parse.quote(lease.id, safe='')}/renew"
        answer = await self._call("renew_lease", lease.id, "POST", target, dict)
        valid_until = _lapses_at(sent_at, lease.ttl_seconds)
        return answer.map(lambda _body: lease._replace(valid_until=valid_until))

    async def revoke_lease(self, lease: Lease) -> Result[None, PlatformError]:
        """Ends a lease, which deletes the keys bound to it.

        Args:
            lease: The lease.

        Returns:
            None; LeaseExpiredError if the service no longer has it.
        """
        target = f"/v1/leases/{urllib.parse.quote(lease.id, safe='')}"
        answer = await self._call("revoke_lease", lease.id, "DELETE", target, dict)
        return answer.map(lambda _body: None)

    async def watch(
        self, prefix: str, after: int, wait_seconds: float
    ) -> Result[WatchBatch, PlatformError]:
        """Waits for changes of keys with a prefix.

        Args:
            prefix: Prefix, may be empty.
            after: Revision after which changes are wanted.
            wait_seconds: Longest wait, at most 60.

        Returns:
            The changes; none if the wait ended without any.
        """
        parameters = {"prefix": prefix, "after": after, "wait_seconds": f"{wait_seconds:g}"}
        target = "/v1/watch?" + urllib.parse.urlencode(parameters)
        answer = await self._call(
            "watch", prefix, "GET", target, _WatchBody, extra_seconds=wait_seconds
        )
        return answer.map(_batch)

    async def _call(
        self,
        kind: str,
        subject: str,
        method: str,
        target: str,
        body_type: type[_Body],
        body: dict[str, Any] | None = None,
        extra_seconds: float = 0.0,
    ) -> Result[_Body, PlatformError]:
        self.calls_by_kind[kind] += 1
        encoded = None if body is None else msgspec.json.encode(body)
        try:
            answer = await self._channel.exchange(
                method=method, target=target, body=encoded, extra_seconds=extra_seconds
            )
        except ExchangeError as error:
            if error.sent and kind not in _READ_KINDS:
                return Failure(OutcomeUnknownError(str(error)))
            return Failure(PlatformUnavailableError(str(error)))
        try:
            if answer.status == 200:
                return Success(msgspec.json.decode(answer.body, type=body_type))
            return Failure(_refusal(kind, subject, answer))
        except msgspec.MsgspecError as error:
            message = f"{method} {target}: status {answer.status} with an unusable body: {error}"
            return Failure(_no_usable_answer(kind, message))


def _no_usable_answer(kind: str, message: str) -> PlatformError:
    if kind in _READ_KINDS:
        return PlatformUnavailableError(message)
    return OutcomeUnknownError(message)


def _refusal(kind: str, subject: str, answer: HttpResponse) -> PlatformError:
    message = f"{kind} {subject!r}: status {answer.status}"
    match answer.status:
        case 404:
            return KeyNotFoundError(f"key {subject!r} does not exist")
        case 409:
            body = msgspec.json.decode(answer.body, type=_RevisionBody)
            return ConflictError(key=subject, current_revision=body["revision"])
        case 410:
            return LeaseExpiredError(f"{kind} {subject!r}: the lease has expired")
        case 413:
            return TooLargeError(f"the platform refused the value of {subject!r} as too large")
        case 429:
            return RateLimitedError(retry_after_seconds=_retry_after(answer))
        case 503:
            # The contract says that the service answers 503 only before an effect.
            return PlatformUnavailableError(message)
        case status if status < 500:
            return InvalidCallError(f"{message}: {answer.body[:200].decode(errors='replace')}")
    return _no_usable_answer(kind, message)


def _retry_after(answer: HttpResponse) -> float:
    try:
        return float(answer.headers.get(b"retry-after", b""))
    except ValueError:
        return _DEFAULT_RETRY_SECONDS


def _lapses_at(sent_at: float, ttl_seconds: float) -> float:
    return sent_at + ttl_seconds * (1 - _CLOCK_DRIFT_SHARE)


def _key_target(key: str) -> str:
    return "/v1/keys/" + urllib.parse.quote(key, safe="/")


def _listing(body: _ListBody) -> KeyValueListing:
    items = {item["key"]: KeyValueItem(**item) for item in body["items"]}
    return KeyValueListing(items, body["revision"])


def _batch(body: _WatchBody) -> WatchBatch:
    events = (
        WatchEvent(event["type"], event["key"], event.get("value"), event["revision"])
        for event in body["events"]
    )
    return WatchBatch(tuple(events), body["revision"])
