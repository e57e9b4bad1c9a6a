"""Follows the platform's store, directly or through the neighbour that is the reader."""

import random
from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import NamedTuple, Protocol

import anyio
from returns.result import Failure, Result, Success

from filbertreach.gateway._change_log import ChangeLog, decode_change
from filbertreach.gateway._metrics import (
    READER_POLLS,
    STORE_AGE,
    STORE_CALLS,
    STORE_EXCHANGE_SECONDS,
)
from filbertreach.gateway._neighbours import NeighbourError
from filbertreach.observability import get_logger
from filbertreach.platform import (
    ALL_KEYS,
    OPERATOR_PREFIX,
    Bounds,
    DeploymentStore,
    HistoryLostError,
    PlatformError,
    StoredChange,
    StoredItem,
    StoredListing,
)
from filbertreach.schema import KnownHost, StoreNews
from filbertreach.timing import Clock

WATCH_SECONDS = 1.5
"""Wait of a watch. A silent connection is detected after this time and the timeout of the call, and
neighbours rely on regular confirmations from the reader. It is also the largest uncertainty of the
time at which a leaf began to leave."""
_BATCH_DELAY_SECONDS = 0.3
"""Delay after a watch that returned changes. Each call to the store is charged for and changes come
in groups, so the next watch returns the rest of a group at once."""
_STALE_SECONDS = 2.4
"""Age of its data at which a host that follows a neighbour calls the store itself. Longer than a
reader's watch and its delay; short enough to meet the bounds after two lost exchanges."""
_CATCH_UP_SECONDS = 0.001
"""Wait of a watch that only fetches missed changes."""
_FULL_BATCH = 50
"""Number of changes in one watch from which on there may be more, because the store limits what one
watch returns."""
_POLL_SECONDS = 2.0
"""Longest wait for changes from the reader, which confirms its data at least as often."""
_MIN_POLL_SECONDS = 0.1
_MIN_READER_SHARING_SECONDS = 4.5
"""Smallest bound on configuration, draining and evacuation with which one host of a data centre
reads the store for the others. A silent reader is detected after 2.4 s, and a call to the store has
to fit into the rest of the bound."""
_RETRY_SECONDS = 0.25
_MAX_RETRY_SECONDS = 1.0
_MAX_SHARED_RETRY_SECONDS = 2.0
"""Longest retry interval with neighbours. They may provide the changes in the meantime, and many
hosts retry at the same time."""

_LOGGER = get_logger(__name__)


class _Exchange(NamedTuple):
    """An answered call that brought changes of the store."""

    source: str
    """Kind of a call to the store, or `neighbour`."""
    sent_at: float
    """Clock when the call was sent, in seconds."""


OnListing = Callable[[StoredListing, float], None]
OnChange = Callable[[str, StoredItem | None, float], None]


class ChangeSource(Protocol):
    """Neighbours that may read the store for this host; implemented by `Neighbours`."""

    def reader(self) -> KnownHost | None:
        """Returns the neighbour that reads the store, None if this host is the reader."""

    def exclude(self, name: str) -> None:
        """Excludes a host from the choice of the reader for some seconds.

        Args:
            name: Name of the host, which may be this one.
        """

    async def fetch_changes(
        self, reader: KnownHost, *, after: int, wait_seconds: float
    ) -> Result[StoreNews, NeighbourError]:
        """Requests changes of the store from the reader.

        Args:
            reader: The reader.
            after: Revision up to which this host has all changes.
            wait_seconds: Longest wait of the reader while there is no change, in seconds.
        """


class StoreFollower:
    """Keeps this host up to date with all keys of the store.

    It lists all keys and then watches them; if a change may have been missed, it lists them again.
    One watch covers routes and leaves, because each call is charged for. With neighbours, only the
    reader of a data centre watches the store, and the others poll the reader. A host whose data is
    older than a bound calls the store itself, whatever the state of its neighbours.
    """

    def __init__(
        self,
        *,
        store: DeploymentStore,
        on_listing: OnListing,
        on_change: OnChange,
        change_log: ChangeLog,
        clock: Clock,
        host: str,
        neighbours: ChangeSource | None = None,
        watch_seconds: float = WATCH_SECONDS,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        """Creates a follower; `run` starts it.

        Args:
            store: The store.
            on_listing: Called with all keys, and the clock at which the previous data was complete.
            on_change: Called with a key, its item or None if it was removed, and the clock after
                which the change was made.
            change_log: Records the applied changes, for neighbours.
            clock: Source of time.
            host: Name of this host.
            neighbours: Hosts that may read the store for this one; None if each host reads it.
            watch_seconds: Longest wait of a watch of this host, in seconds.
            sleep: Sleeps for a number of seconds.
        """
        self._store = store
        self._on_listing = on_listing
        self._on_change = on_change
        self._change_log = change_log
        self._clock = clock
        self._host = host
        self._neighbours = neighbours
        self._watch_seconds = watch_seconds
        self._sleep = sleep
        self._started_at = clock.now()
        self._failure_count = 0
        self._retry_at = 0.0
        self._may_have_missed = False
        self._logged_source: str | None = ""
        STORE_AGE.set_function(lambda: clock.now() - max(self._started_at, change_log.as_of))

    async def run(self) -> None:
        """Follows the store until cancelled."""
        while True:
            now = self._clock.now()
            revision = self._change_log.revision
            reader = self._neighbours.reader() if self._neighbours else None
            if revision is None or reader is None or self._must_call_store(now):
                if now < self._retry_at:
                    # After the delay, a neighbour may have become the reader.
                    await self._sleep(self._retry_at - now)
                else:
                    await self._read_store(revision, is_reader=reader is None)
            else:
                await self._poll_reader(reader, revision, now)

    def _must_call_store(self, now: float) -> bool:
        """Returns whether this host has to call the store although a neighbour is the reader."""
        return now >= self._retry_at and (
            self._may_have_missed or self._change_log.age_seconds > _STALE_SECONDS
        )

    # Reading the store.

    async def _read_store(self, revision: int | None, *, is_reader: bool) -> None:
        error = None
        sent_at = self._clock.now()
        if revision is None:
            kind = "list"
            match await self._store.list_prefix(ALL_KEYS):
                case Success(listing):
                    self._record_exchange(listing.item_by_key.values(), _Exchange(kind, sent_at))
                    self._on_listing(listing, self._change_log.as_of)
                    self._change_log.reset(revision=listing.revision, as_of=sent_at)
                    self._may_have_missed = False
                case Failure(error):
                    pass
        else:
            kind = "watch" if is_reader else "catch up"
            wait_seconds = self._watch_seconds if is_reader else _CATCH_UP_SECONDS
            match await self._store.watch(ALL_KEYS, after=revision, wait_seconds=wait_seconds):
                case Success(batch):
                    self._may_have_missed = len(batch.changes) >= _FULL_BATCH
                    previous_as_of = self._change_log.as_of
                    as_of = previous_as_of if self._may_have_missed else self._clock.now()
                    # How long the answer took tells nothing about when the changes were made: it
                    # may have been delayed by the store, the network or this process.
                    self._record_exchange(batch.changes, _Exchange(kind, sent_at))
                    self._apply(batch.changes, batch.revision, as_of=as_of, since=previous_as_of)
                    if batch.changes and is_reader and not self._may_have_missed:
                        await self._sleep(_BATCH_DELAY_SECONDS)
                case Failure(HistoryLostError()):
                    _LOGGER.warning("history lost", after=revision)
                    self._change_log.revision = None
                case Failure(error):
                    pass
        STORE_CALLS.labels(kind, "ok" if error is None else type(error).__name__).inc()
        if is_reader:
            self._log_source(None)
        self._track_failures(error)

    def _track_failures(self, error: PlatformError | None) -> None:
        now = self._clock.now()
        if error is None:
            if self._failure_count:
                _LOGGER.info("store regained", failures=self._failure_count)
            self._failure_count = 0
            return
        if not self._failure_count:
            age = round(now - max(self._started_at, self._change_log.as_of), 3)
            _LOGGER.warning("store lost", error=str(error), age_s=age)
        self._failure_count += 1
        max_seconds = _MAX_RETRY_SECONDS
        if self._neighbours is not None:
            max_seconds = _MAX_SHARED_RETRY_SECONDS
            # Another host may still reach the store, so it can become the reader.
            self._neighbours.exclude(self._host)
        backoff_seconds = min(max_seconds, _RETRY_SECONDS * 2 ** min(self._failure_count, 4))
        self._retry_at = now + random.uniform(0.5, 1.0) * backoff_seconds

    # Following the reader.

    async def _poll_reader(self, reader: KnownHost, revision: int, now: float) -> None:
        assert self._neighbours is not None
        due = max(self._retry_at, self._change_log.as_of + _STALE_SECONDS)
        wait_seconds = min(_POLL_SECONDS, max(_MIN_POLL_SECONDS, due - now))
        match await self._neighbours.fetch_changes(
            reader, after=revision, wait_seconds=wait_seconds
        ):
            case Success(reply):
                self._log_source(reader["name"])
                outcome = self._apply_reply(reply, revision, _Exchange("neighbour", now))
            case Failure(error):
                outcome = "failed"
                _LOGGER.info("neighbour did not answer", neighbour=reader["name"], error=str(error))
        READER_POLLS.labels(outcome).inc()
        if outcome in ("failed", "stale"):
            self._neighbours.exclude(reader["name"])

    def _apply_reply(self, reply: StoreNews, revision: int, exchange: _Exchange) -> str:
        if not reply["complete"]:
            self._may_have_missed = True
            return "missed"
        changes = [decode_change(item) for item in reply["changes"] if item["revision"] > revision]
        self._record_exchange(changes, exchange)
        as_of = self._clock.now() - reply["age_seconds"]
        self._apply(changes, reply["revision"], as_of=as_of, since=self._change_log.as_of)
        return "stale" if reply["age_seconds"] > _STALE_SECONDS else "ok"

    def _apply(
        self, changes: Sequence[StoredChange], revision: int, *, as_of: float, since: float
    ) -> None:
        for change in changes:
            self._on_change(change.key, change.item, since)
        self._change_log.append(changes)
        self._change_log.confirm(revision=revision, as_of=as_of)

    def _record_exchange(
        self, changes: Iterable[StoredItem | StoredChange], exchange: _Exchange
    ) -> None:
        """Records how an answer with changes came, before the changes are applied."""
        now = self._clock.now()
        exchange_seconds = now - exchange.sent_at
        if changes:
            STORE_EXCHANGE_SECONDS.labels(exchange.source).observe(exchange_seconds)
        for change in changes:
            if change.key.startswith(OPERATOR_PREFIX):
                _LOGGER.info(
                    "operator change received",
                    key=change.key,
                    revision=change.revision,
                    source=exchange.source,
                    exchange_s=round(exchange_seconds, 3),
                    data_age_s=round(now - max(self._started_at, self._change_log.as_of), 3),
                )

    def _log_source(self, name: str | None) -> None:
        """Logs whether this host follows the store itself or through a neighbour, on a change."""
        if name != self._logged_source:
            self._logged_source = name
            _LOGGER.info("store followed", through=name or "itself")


def may_share_reader(bounds: Bounds) -> bool:
    """Returns whether the bounds leave time to detect a reader whose data is stale.

    Args:
        bounds: Bounds of the deployment.
    """
    shortest = min(bounds.leaf_drain_seconds, bounds.routes_seconds, bounds.evacuate_seconds)
    if bounds.strict_revoke:
        shortest = min(shortest, bounds.revoke_seconds)
    return shortest >= _MIN_READER_SHARING_SECONDS
