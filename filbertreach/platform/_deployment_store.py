"""Client of the store of a deployment, which holds the route configuration and the leaf list."""

import base64
import binascii
import urllib.parse
from typing import Generic, NamedTuple, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from filbertreach.platform._channel import (
    ChannelClient,
    ExchangeError,
    HttpResponse,
    ResponseTooLargeError,
)
from filbertreach.platform._errors import (
    HistoryLostError,
    PlatformError,
    PlatformUnavailableError,
    RateLimitedError,
)
from filbertreach.schema import Int64, InvalidMessageError, JsonDecoder, base_url, parse_count

ALL_KEYS = ""
"""Prefix that every key has."""
_EPOCH_HEADER = b"store-era"
_MAX_PAGES = 1000
"""A listing with more pages than this fails, in case a faulty store repeats pages forever."""


class StoredItem(NamedTuple):
    """A key and its value."""

    key: str
    """Key."""
    value: bytes | None
    """Value; None if it is not valid base64."""
    revision: int
    """Revision of the last change."""


class StoredListing(NamedTuple):
    """All keys with one prefix. Pages are read in sequence: this is no consistent snapshot."""

    item_by_key: dict[str, StoredItem]
    """Items by key."""
    revision: int
    """Revision of the first page; a watch from here misses no change."""
    epoch: int = 0
    """Epoch of the store; it rises when the store is restored from a copy, which takes revisions
    back. 0 if the store states none."""


class StoredChange(NamedTuple):
    """A change reported by a watch."""

    key: str
    """Key."""
    item: StoredItem | None
    """The item after the change; None if the key was removed."""
    revision: int
    """Revision of the change."""


class StoredChanges(NamedTuple):
    """Result of one watch call."""

    changes: tuple[StoredChange, ...]
    """Changes in order of revision."""
    revision: int
    """Revision to pass as `after` to the next watch."""
    epoch: int = 0
    """Epoch of the store, to which the revisions belong."""


class _Item(msgspec.Struct):
    key: str
    revision: Int64
    value: str | None = None
    # Whether the key was removed.
    compacted: bool = False


class _Range(msgspec.Struct):
    items: list[_Item]
    at_rev: Int64
    has_more: bool = False


class _Watch(msgspec.Struct):
    events: list[_Item]
    at_rev: Int64


_RANGE_DECODER = JsonDecoder(message=_Range)
_WATCH_DECODER = JsonDecoder(message=_Watch)
_Body = TypeVar("_Body")


class _Answer(NamedTuple, Generic[_Body]):
    body: _Body
    epoch: int


class DeploymentStore(ChannelClient):
    """Client of the store; a context manager. Safe to use from several tasks."""

    def __init__(self, *, address: str, timeout_seconds: float) -> None:
        """Creates a client; connections are opened when needed.

        Args:
            address: ip:port of the store.
            timeout_seconds: Time limit of a call, in addition to the wait time of a watch.
        """
        super().__init__(base_url=base_url(address), timeout_seconds=timeout_seconds)

    async def list_prefix(self, prefix: str) -> Result[StoredListing, PlatformError]:
        """Reads all keys with a prefix, page by page.

        Args:
            prefix: Prefix.

        Returns:
            The listing.
        """
        item_by_key: dict[str, StoredItem] = {}
        first: _Answer[_Range] | None = None
        query = {"prefix": prefix}
        for _ in range(_MAX_PAGES):
            match await self._call("list", "/-/kv-range", query, _RANGE_DECODER):
                case Success(answer):
                    pass
                case Failure(error):
                    return Failure(error)
            first = first or answer
            if answer.epoch != first.epoch:
                return Failure(PlatformUnavailableError("the store was restored during a listing"))
            page = answer.body
            item_by_key.update((item.key, _to_item(item)) for item in page.items)
            if not page.has_more:
                return Success(StoredListing(item_by_key, first.body.at_rev, first.epoch))
            if not page.items:
                # Taken for complete, the listing would lack leaves that are there.
                break
            query = {"prefix": prefix, "after": page.items[-1].key}
        return Failure(
            PlatformUnavailableError(f"listing of {prefix!r} has an empty page or too many of them")
        )

    async def watch(
        self, prefix: str, *, after: int, wait_seconds: float
    ) -> Result[StoredChanges, PlatformError]:
        """Waits for changes of keys with a prefix.

        Args:
            prefix: Prefix.
            after: Revision after which changes are wanted.
            wait_seconds: Longest wait.

        Returns:
            The changes; HistoryLostError if the keys must be listed again.
        """
        query = {"prefix": prefix, "after": str(after), "wait_ms": str(round(wait_seconds * 1000))}
        response = await self._call("watch", "/-/kv-watch", query, _WATCH_DECODER, wait_seconds)
        return response.map(_to_changes)

    async def _call(
        self,
        kind: str,
        path: str,
        query: dict[str, str],
        decoder: JsonDecoder[_Body],
        extra_seconds: float = 0.0,
    ) -> Result[_Answer[_Body], PlatformError]:
        self.calls_by_kind[kind] += 1
        target = f"{path}?{urllib.parse.urlencode(query)}"
        try:
            response = await self._channel.exchange(
                method="GET", target=target, extra_seconds=extra_seconds
            )
        except ResponseTooLargeError as error:
            if kind != "watch":
                return Failure(PlatformUnavailableError(str(error)))
            # A listing contains only the last of several changes of a key, and has pages.
            return Failure(HistoryLostError(str(error)))
        except ExchangeError as error:
            return Failure(PlatformUnavailableError(str(error)))
        if response.status != 200:
            return Failure(_error_from_response(response, target))
        try:
            return Success(_Answer(decoder.decode(response.body), _epoch(response)))
        except InvalidMessageError as error:
            return Failure(PlatformUnavailableError(f"{target}: invalid response: {error}"))


def _epoch(response: HttpResponse) -> int:
    return parse_count(response.headers.get(_EPOCH_HEADER, b"")) or 0


def _error_from_response(response: HttpResponse, target: str) -> PlatformError:
    if response.status == 410:
        return HistoryLostError(f"{target}: the history is no longer available")
    if response.status == 429:
        return RateLimitedError(retry_after_seconds=response.retry_after_seconds)
    return PlatformUnavailableError(f"{target}: status {response.status}")


def _to_item(item: _Item) -> StoredItem:
    return StoredItem(item.key, _decode_value(item.value), item.revision)


def _decode_value(value: str | None) -> bytes | None:
    if value is None:
        return None
    try:
        return base64.b64decode(value, validate=True)
    except (binascii.Error, ValueError):
        return None


def _to_changes(answer: _Answer[_Watch]) -> StoredChanges:
    body = answer.body
    return StoredChanges(
        tuple(
            StoredChange(
                event.key,
                None if event.compacted or event.value is None else _to_item(event),
                event.revision,
            )
            for event in body.events
        ),
        body.at_rev,
        answer.epoch,
    )
