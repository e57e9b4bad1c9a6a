"""Reads accepted and proposed documents from the key-value service."""

import logging
import random
from collections.abc import Callable
from typing import NamedTuple

import anyio
from returns.result import Success

from filbertreach.agent._call_board import CallBoard
from filbertreach.agent._documents import DocumentTable
from filbertreach.agent._values import parse_document_value
from filbertreach.platform import KeyValueClient, KeyValueListing, PlatformError
from filbertreach.records import ENVIRONMENTS_PREFIX

WATCH_SECONDS = 20.0
"""Time that a watch waits; a stalled one is replaced after it."""
WATCHES_PER_SECOND = 600
"""Watches that the whole fleet may begin in a second after a change; the service allows about
2,000 reads a second."""
POLLING_HOSTS = 16
"""Hosts of the fleet that poll at the configured interval; in a larger fleet each polls less
often, and gossip spreads what one of them finds."""
UNDECIDED_POLL_SECONDS = 1.0
"""Time between polls while a proposal is undecided; below NEWS_SECONDS with room for failures."""
_RETRY_SECONDS = 0.5
_LONGEST_RETRY_SECONDS = 5.0

_LOGGER = logging.getLogger(__name__)


class FeedOptions(NamedTuple):
    """What a feed works with."""

    client: KeyValueClient
    """Client of the key-value service."""
    book: DocumentTable
    """Documents of this host."""
    calls: CallBoard
    """Call records of this host."""
    poll_seconds: float
    """Time between two polls of a small fleet."""
    fleet_size: Callable[[], int]
    """Returns the number of hosts that this agent believes to be alive."""
    on_change: Callable[[], None]
    """Called after the book or the call records have changed."""


class EnvironmentFeed:
    """One waiting watch, and polls that do not rely on it."""

    def __init__(self, options: FeedOptions) -> None:
        """Prepares a feed.

        Args:
            options: What it works with.
        """
        self._options = options
        self._clock = options.client.clock
        self._watched_revision = 0
        self._highest_revision = 0
        self._random = random.Random()
        self.is_loaded = False
        """Whether all documents were listed once."""

    async def run(self) -> None:
        """Watches and polls until cancelled."""
        await self._load()
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch, name="watch environments")
            group.start_soon(self._poll, name="poll environments")

    async def _load(self) -> None:
        pause = _RETRY_SECONDS
        while True:
            started = self._clock.now()
            result = await self._options.client.list_prefix(ENVIRONMENTS_PREFIX)
            if isinstance(result, Success):
                self._take_listing(result.unwrap())
                self._note_news(started)
                self.is_loaded = True
                self._options.on_change()
                return
            pause = await self._pause_after(result.failure(), pause)

    async def _watch(self) -> None:
        pause = _RETRY_SECONDS
        while True:
            result = await self._options.client.watch(
                ENVIRONMENTS_PREFIX, self._watched_revision, WATCH_SECONDS
            )
            if not isinstance(result, Success):
                pause = await self._pause_after(result.failure(), pause)
                continue
            pause = _RETRY_SECONDS
            batch = result.unwrap()
            self._watched_revision = max(self._watched_revision, batch.revision)
            self._highest_revision = max(self._highest_revision, batch.revision)
            for event in batch.events:
                self._take(event.key, event.value)
            self._options.calls.take_events(batch)
            if batch.events:
                self._options.on_change()
                # All agents see a change at once; they must not all come back at once.
                spread = self._options.fleet_size() / WATCHES_PER_SECOND
                await anyio.sleep(self._random.uniform(0, spread))

    async def _poll(self) -> None:
        while True:
            await anyio.sleep(self._poll_seconds() * self._random.uniform(0.8, 1.2))
            started = self._clock.now()
            if await self._poll_once():
                self._note_news(started)
            self._options.on_change()

    def _poll_seconds(self) -> float:
        undecided = self._options.book.proposal_by_environment
        interval = self._options.poll_seconds
        if undecided:
            interval = min(interval, UNDECIDED_POLL_SECONDS)
        return interval * max(1.0, self._options.fleet_size() / POLLING_HOSTS)

    async def _poll_once(self) -> bool:
        """Reads the keys of all known environments; returns whether all answers are news."""
        book = self._options.book
        names = set(book.accepted_by_environment) | set(book.proposal_by_environment)
        complete = True
        for name in sorted(names):
            # The proposal is read first: it is removed after the acceptance, so that a proposal
            # that is gone shows its acceptance in the second reading.
            keys = [f"{ENVIRONMENTS_PREFIX}{name}/{leaf}" for leaf in ("proposed", "accepted")]
            readings = [await self._read(key) for key in keys]
            if None in readings:
                complete = False
                continue
            for key, reading in reversed(list(zip(keys, readings, strict=True))):
                assert reading is not None
                item = reading.items_by_key.get(key)
                self._take(key, None if item is None else item.value)
        return complete

    async def _read(self, key: str) -> KeyValueListing | None:
        """Reads one key; returns None without an answer or for one that is known to be stale."""
        # A listing shows the revision of the store, which tells a stale answer; a get does not.
        result = await self._options.client.list_prefix(key)
        if not isinstance(result, Success):
            return None
        listing: KeyValueListing = result.unwrap()
        if listing.revision < self._highest_revision:
            _LOGGER.warning("stale reading of %s dropped", key)
            return None
        self._highest_revision = listing.revision
        return listing

    def _take_listing(self, listing: KeyValueListing) -> None:
        self._watched_revision = self._highest_revision = listing.revision
        for key, item in listing.items_by_key.items():
            self._take(key, item.value)
        self._options.calls.take_listing(listing)

    def _take(self, key: str, value: str | None) -> None:
        environment, _, leaf = key.removeprefix(ENVIRONMENTS_PREFIX).rpartition("/")
        if leaf not in ("accepted", "proposed") or "/" in environment:
            return
        book = self._options.book
        if value is None:
            if leaf == "proposed":
                book.withdraw(environment=environment)
            return
        result = parse_document_value(key=key, value=value)
        if not isinstance(result, Success):
            _LOGGER.error("%s", result.failure())
            return
        document = result.unwrap()
        if leaf == "proposed":
            book.propose(value=document, now=self._clock.now())
        elif book.accept(
            environment=environment, generation=document["generation"], text=document["text"]
        ):
            _LOGGER.info("installed generation %d of %s", document["generation"], environment)

    def _note_news(self, at: float) -> None:
        self._options.book.news_at = max(self._options.book.news_at, at)

    async def _pause_after(self, error: PlatformError, pause: float) -> float:
        _LOGGER.info("key-value service: %s", error)
        await anyio.sleep(pause * self._random.uniform(0.5, 1.0))
        return min(pause * 2, _LONGEST_RETRY_SECONDS)
