"""Follows the platform's store, directly or through the neighbour that is the reader."""

import enum
import random
from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import NamedTuple, Protocol

import anyio
from returns.result import Failure, Result, Success

from filbertreach.gateway._answer_time import given_after, watch_hold
from filbertreach.gateway._change_log import ChangeLog, decode_change
from filbertreach.gateway._metrics import (
    READER_POLLS,
    STORE_AGE,
    STORE_CALLS,
    STORE_TRANSIT_SECONDS,
)
from filbertreach.gateway._neighbours import EXCHANGE_TIMEOUT_SECONDS, NeighbourError
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
"""Age of its data at which a host that follows a neighbour calls the store itself. Longer than two
watches of a reader of which the first one is cut short by a change; short enough to meet the bounds
after two lost exchanges."""
_CATCH_UP_SECONDS = 0.001
"""Wait of a watch that only fetches missed changes."""
_FULL_BATCH = 50
"""Number of changes in one watch from which on there may be more, because the store limits what one
watch returns."""
_MIN_WATCH_SECONDS = 0.1
_MIN_POLL_SECONDS = 0.1
_MIN_READER_SHARING_SECONDS = 4.5
"""Smallest bound on configuration, draining and evacuation with which one host of a data centre
reads the store for the others. A silent reader is detected after 2.4 s, and a call to the store has
to fit into the rest of the bound."""
_ASKED_SECONDS = 2.5
"""Time after the last question of a neighbour for which a host that reaches the store reads it, so
that no two hosts wait for each other. Longer than the interval of a neighbour's polls."""
_RETRY_SECONDS = 0.25
_MAX_RETRY_SECONDS = 1.0
_MAX_SHARED_RETRY_SECONDS = 2.0
"""Longest retry interval with neighbours. They may provide the changes in the meantime, and many
hosts retry at the same time."""

_LOGGER = get_logger(__name__)


class _PollOutcome(enum.StrEnum):
    """Outcome of a poll of the reader; also a label of the metric."""

    OK = enum.auto()
    MISSED = enum.auto()
    """The reader lacks changes after this host's revision."""
    STALE = enum.auto()
    """The reader's data is too old."""
    DECLINED = enum.auto()
    """The reader does not read the store, or can't help this host."""
    FAILED = enum.auto()
    """There was no usable answer."""


_EXCLUDING_OUTCOMES = frozenset({_PollOutcome.STALE, _PollOutcome.DECLINED, _PollOutcome.FAILED})
"""Outcomes after which another host is tried as reader."""


class _Exchange(NamedTuple):
    """An answered call to the store or to the reader."""

    source: str
    """Kind of a call to the store, or `neighbour`."""
    sent_at: float
    """Clock when the call was sent, in seconds."""
    received_at: float
    """Clock when the answer was received, in seconds."""
    held_seconds: float
    """Time for which the answering side held the call, as far as it is known, in seconds."""

    @property
    def given_after(self) -> float:
        """Latest clock before which the answer was certainly not given, in seconds."""
        return given_after(
            sent_at=self.sent_at, held_seconds=self.held_seconds, received_at=self.received_at
        )

    @property
    def transit_seconds(self) -> float:
        """Time of the exchange besides the time for which the call is known to have been held."""
        return self.received_at - self.given_after


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
        self, reader: KnownHost, *, after: int, wait_seconds: float, epoch: int
    ) -> Result[StoreNews, NeighbourError]:
        """Requests changes of the store from the reader.

        Args:
            reader: The reader.
            after: Revision up to which this host has all changes.
            wait_seconds: Longest wait of the reader while there is no change, in seconds.
            epoch: Epoch of the store to which the revision belongs.
        """


class StoreFollower:
    """Keeps this host up to date with all keys of the store.

    It lists all keys and then watches them; if a change may have been missed, it lists them again.
    One watch covers routes and leaves, because each call is charged for. With neighbours, only the
    reader of a data centre watches the store, and the others poll the reader. A host whose data is
    older than a bound calls the store itself, whatever the state of its neighbours. A host that
    neighbours poll reads the store itself, unless its last call to the store failed; it then tells
    them so, and they poll another one.
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
        self._must_list = False
        """Whether changes after the last known revision are lost."""
        self._may_have_missed = False
        self._logged_source: str | None = ""
        STORE_AGE.set_function(lambda: clock.now() - max(self._started_at, change_log.as_of))

    async def run(self) -> None:
        """Follows the store until cancelled."""
        while True:
            now = self._clock.now()
            reader = self._choose_reader(now)
            is_first = self._change_log.revision is None
            if is_first or reader is None or self._must_call_store(now):
                if now < self._retry_at:
                    # After the delay, a neighbour may have become the reader.
                    await self._sleep(self._retry_at - now)
                else:
                    await self._read_store(is_reader=reader is None)
            else:
                await self._poll_reader(reader, now)

    def _choose_reader(self, now: float) -> KnownHost | None:
        """Returns the neighbour to follow, None if this host reads the store."""
        is_asked = now - self._change_log.asked_at < _ASKED_SECONDS
        if self._neighbours is None or (is_asked and not self._failure_count):
            return None
        return self._neighbours.reader()

    def _must_call_store(self, now: float) -> bool:
        """Returns whether this host has to call the store although a neighbour is the reader."""
        is_behind = self._must_list or self._may_have_missed
        is_stale = self._change_log.age_seconds > _STALE_SECONDS
        return now >= self._retry_at and (is_behind or is_stale)

    # Reading the store.

    async def _read_store(self, *, is_reader: bool) -> None:
        revision = self._change_log.revision
        if revision is None or self._must_list:
            kind = "list"
            error = await self._list_store()
        else:
            kind = "watch" if is_reader else "catch up"
            error = await self._watch_store(revision, kind=kind, is_reader=is_reader)
        outcome = "ok" if error is None else type(error).__name__
        STORE_CALLS.labels(kind, outcome).inc()
        if is_reader:
            self._log_source(None)
        if isinstance(error, HistoryLostError):
            _LOGGER.warning("history lost", after=revision, error=str(error))
            self._must_list = True
            error = None
        self._track_failures(error)

    async def _list_store(self) -> PlatformError | None:
        """Lists all keys; returns the error if that fails."""
        sent_at = self._clock.now()
        match await self._store.list_prefix(ALL_KEYS):
            case Failure(error):
                assert isinstance(error, PlatformError)
                return error
            case Success(listing):
                pass
        exchange = _Exchange("list", sent_at, self._clock.now(), held_seconds=0.0)
        self._record_exchange(listing.item_by_key.values(), exchange)
        self._on_listing(listing, self._change_log.as_of)
        self._change_log.apply_listing(listing, as_of=exchange.given_after)
        self._must_list = self._may_have_missed = False
        return None

    async def _watch_store(
        self, revision: int, *, kind: str, is_reader: bool
    ) -> PlatformError | None:
        """Watches the store once; returns the error if that fails."""
        wait_seconds = self._watch_wait() if is_reader else _CATCH_UP_SECONDS
        sent_at = self._clock.now()
        match await self._store.watch(ALL_KEYS, after=revision, wait_seconds=wait_seconds):
            case Failure(error):
                assert isinstance(error, PlatformError)
                return error
            case Success(batch):
                pass
        if batch.epoch != self._change_log.epoch:
            # The revision may have been given out again since, so this answer can lack changes.
            return HistoryLostError(f"the store was restored; its epoch is {batch.epoch}")
        received_at = self._clock.now()
        held_seconds = watch_hold(
            wait_seconds=wait_seconds,
            exchange_seconds=received_at - sent_at,
            has_changes=bool(batch.changes),
        )
        exchange = _Exchange(kind, sent_at, received_at, held_seconds)
        self._record_exchange(batch.changes, exchange)
        self._may_have_missed = len(batch.changes) >= _FULL_BATCH
        previous_as_of = self._change_log.as_of
        as_of = previous_as_of if self._may_have_missed else exchange.given_after
        self._apply(batch.changes, batch.revision, as_of=as_of, since=previous_as_of)
        if batch.changes and is_reader and not self._may_have_missed:
            await self._sleep(_BATCH_DELAY_SECONDS)
        return None

    def _watch_wait(self) -> float:
        """Returns the wait of the reader's next watch, in seconds.

        An answer with changes confirms the data only as of its request, so the watch after it ends
        earlier.
        """
        return max(_MIN_WATCH_SECONDS, self._watch_seconds - self._change_log.age_seconds)

    def _track_failures(self, error: PlatformError | None) -> None:
        now = self._clock.now()
        self._change_log.set_reaches_store(error is None)
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

    async def _poll_reader(self, reader: KnownHost, now: float) -> None:
        revision = self._change_log.revision
        assert self._neighbours is not None and revision is not None
        result = await self._neighbours.fetch_changes(
            reader,
            after=revision,
            wait_seconds=self._poll_wait(now),
            epoch=self._change_log.epoch,
        )
        match result:
            case Success(reply):
                self._log_source(reader["name"])
                exchange = _Exchange(
                    "neighbour", now, self._clock.now(), reply.get("held_seconds", 0.0)
                )
                outcome = self._apply_reply(reply, revision, exchange)
            case Failure(error):
                outcome = _PollOutcome.FAILED
                _LOGGER.info("neighbour did not answer", neighbour=reader["name"], error=str(error))
        READER_POLLS.labels(outcome).inc()
        if outcome in _EXCLUDING_OUTCOMES:
            self._neighbours.exclude(reader["name"])

    def _poll_wait(self, now: float) -> float:
        """Returns the wait of a poll with which it ends before this host has to call the store."""
        due_at = self._change_log.as_of + _STALE_SECONDS
        return max(_MIN_POLL_SECONDS, due_at - EXCHANGE_TIMEOUT_SECONDS - now)

    def _apply_reply(self, reply: StoreNews, revision: int, exchange: _Exchange) -> _PollOutcome:
        epoch = reply.get("epoch", 0)
        if epoch < self._change_log.epoch:
            # The reader has not noticed yet that the store was restored.
            return _PollOutcome.STALE
        if not reply["complete"] or epoch != self._change_log.epoch:
            self._may_have_missed = True
            # Without the store, another neighbour may still have the changes.
            may_call_store = exchange.received_at >= self._retry_at
            return _PollOutcome.MISSED if may_call_store else _PollOutcome.DECLINED
        changes = [decode_change(item) for item in reply["changes"] if item["revision"] > revision]
        self._record_exchange(changes, exchange)
        as_of = exchange.given_after - reply["age_seconds"]
        previous_as_of = self._change_log.as_of
        # A reader that is behind does not know whether what this host has is still current.
        confirmed_as_of = as_of if reply["revision"] >= revision else previous_as_of
        self._apply(changes, reply["revision"], as_of=confirmed_as_of, since=previous_as_of)
        if exchange.received_at - as_of > _STALE_SECONDS:
            return _PollOutcome.STALE
        return _PollOutcome.OK if reply.get("reads_store", True) else _PollOutcome.DECLINED

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
        data_age_seconds = exchange.received_at - max(self._started_at, self._change_log.as_of)
        if changes:
            STORE_TRANSIT_SECONDS.labels(exchange.source).observe(exchange.transit_seconds)
        for change in changes:
            if change.key.startswith(OPERATOR_PREFIX):
                _LOGGER.info(
                    "operator change received",
                    key=change.key,
                    revision=change.revision,
                    source=exchange.source,
                    exchange_s=round(exchange.received_at - exchange.sent_at, 3),
                    transit_s=round(exchange.transit_seconds, 3),
                    data_age_s=round(data_age_seconds, 3),
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
