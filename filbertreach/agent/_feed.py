"""Reads documents, proposals and call records from the key-value service."""

import logging
import random
from collections.abc import Callable
from typing import NamedTuple

import anyio
from returns.result import Success

from filbertreach.agent._call_records import CallRecordTable
from filbertreach.agent._documents import DocumentTable
from filbertreach.agent._values import parse_document_value
from filbertreach.platform import KeyValueClient, KeyValueListing, PlatformError
from filbertreach.records import ENVIRONMENTS_PREFIX

WATCH_TIMEOUT_SECONDS = 20.0
"""Time limit of a watch; a stalled watch is replaced after it."""
MAX_WATCHES_PER_SECOND = 600
"""Watches that the whole fleet starts per second after a change; the service allows about 2,000
reads per second."""
POLLING_HOSTS = 16
"""Number of hosts that poll at the configured interval. In a larger fleet each host polls less
often, and gossip distributes what one of them reads."""
UNDECIDED_POLL_SECONDS = 1.0
"""Interval between polls while a proposal is undecided; several polls fit into
MAX_STALENESS_SECONDS, so that some may fail."""
_RETRY_SECONDS = 0.5
_MAX_RETRY_SECONDS = 5.0

_LOGGER = logging.getLogger(__name__)


class FeedOptions(NamedTuple):
    """Collaborators and settings of a feed."""

    client: KeyValueClient
    """Client of the key-value service."""
    document_table: DocumentTable
    """Documents known to this host."""
    call_records: CallRecordTable
    """Call records known to this host."""
    poll_seconds: float
    """Interval between polls in a small fleet."""
    fleet_size: Callable[[], int]
    """Returns the number of hosts that this agent considers live."""
    on_change: Callable[[], None]
    """Called after the documents or the call records may have changed."""


class EnvironmentFeed:
    """Follows the environments by one watch, and by polls that do not depend on it."""

    def __init__(self, options: FeedOptions) -> None:
        """Creates a feed that is not running.

        Args:
            options: Collaborators and settings.
        """
        self._options = options
        self._clock = options.client.clock
        self._watched_revision = 0
        self._highest_revision = 0
        self._random = random.Random()
        self.is_loaded = False
        """Whether all documents have been listed at least once."""

    async def run(self) -> None:
        """Watches and polls until cancelled."""
        await self._load()
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch, name="watch environments")
            group.start_soon(self._poll, name="poll environments")

    async def _load(self) -> None:
        delay = _RETRY_SECONDS
        while True:
            started = self._clock.now()
            result = await self._options.client.list_prefix(ENVIRONMENTS_PREFIX)
            if isinstance(result, Success):
                self._apply_listing(result.unwrap())
                self._mark_fresh(started)
                self.is_loaded = True
                self._options.on_change()
                return
            delay = await self._back_off(result.failure(), delay)

    async def _watch(self) -> None:
        delay = _RETRY_SECONDS
        while True:
            result = await self._options.client.watch(
                ENVIRONMENTS_PREFIX, self._watched_revision, WATCH_TIMEOUT_SECONDS
            )
            if not isinstance(result, Success):
                delay = await self._back_off(result.failure(), delay)
                continue
            delay = _RETRY_SECONDS
            batch = result.unwrap()
            self._watched_revision = max(self._watched_revision, batch.revision)
            self._highest_revision = max(self._highest_revision, batch.revision)
            for event in batch.events:
                self._apply(event.key, event.value)
            self._options.call_records.apply_events(batch)
            if batch.events:
                self._options.on_change()
                # All watches end at the same change; the next ones are spread over time.
                spread = self._options.fleet_size() / MAX_WATCHES_PER_SECOND
                await anyio.sleep(self._random.uniform(0, spread))

    async def _poll(self) -> None:
        while True:
            await anyio.sleep(self._poll_seconds() * self._random.uniform(0.8, 1.2))
            started = self._clock.now()
            if await self._poll_once():
                self._mark_fresh(started)
            self._options.on_change()

    def _poll_seconds(self) -> float:
        undecided = self._options.document_table.proposal_by_environment
        interval = self._options.poll_seconds
        if undecided:
            interval = min(interval, UNDECIDED_POLL_SECONDS)
        return interval * max(1.0, self._options.fleet_size() / POLLING_HOSTS)

    async def _poll_once(self) -> bool:
        """Reads the keys of all known environments; returns whether every read was current."""
        table = self._options.document_table
        names = set(table.accepted_by_environment) | set(table.proposal_by_environment)
        complete = True
        for name in sorted(names):
            # The proposal is read first. It is removed after the document is accepted, so if it is
            # missing, the second read returns the accepted document.
            keys = [f"{ENVIRONMENTS_PREFIX}{name}/{suffix}" for suffix in ("proposed", "accepted")]
            listings = [await self._read(key) for key in keys]
            if None in listings:
                complete = False
                continue
            for key, listing in reversed(list(zip(keys, listings, strict=True))):
                assert listing is not None
                item = listing.items_by_key.get(key)
                self._apply(key, None if item is None else item.value)
        return complete

    async def _read(self, key: str) -> KeyValueListing | None:
        """Reads one key; returns None if the read failed or is known to be stale."""
        # Unlike a get, a listing has the revision of the service, which reveals a stale read.
        result = await self._options.client.list_prefix(key)
        if not isinstance(result, Success):
            return None
        listing: KeyValueListing = result.unwrap()
        if listing.revision < self._highest_revision:
            _LOGGER.warning("dropped stale read of %s", key)
            return None
        self._highest_revision = listing.revision
        return listing

    def _apply_listing(self, listing: KeyValueListing) -> None:
        self._watched_revision = self._highest_revision = listing.revision
        for key, item in listing.items_by_key.items():
            self._apply(key, item.value)
        self._options.call_records.apply_listing(listing)

    def _apply(self, key: str, value: str | None) -> None:
        environment, _, suffix = key.removeprefix(ENVIRONMENTS_PREFIX).rpartition("/")
        if suffix not in ("accepted", "proposed") or "/" in environment:
            return
        table = self._options.document_table
        if value is None:
            if suffix == "proposed":
                table.withdraw(environment=environment)
            return
        result = parse_document_value(key=key, value=value)
        if not isinstance(result, Success):
            _LOGGER.error("ignored invalid document value: %s", result.failure())
            return
        document = result.unwrap()
        if suffix == "proposed":
            table.propose(value=document, now=self._clock.now())
        elif table.accept(
            environment=environment, generation=document["generation"], text=document["text"]
        ):
            _LOGGER.info("installed generation %d of %s", document["generation"], environment)

    def _mark_fresh(self, at: float) -> None:
        self._options.document_table.fresh_as_of = max(self._options.document_table.fresh_as_of, at)

    async def _back_off(self, error: PlatformError, delay: float) -> float:
        _LOGGER.info("key-value service request failed, will retry: %s", error)
        await anyio.sleep(delay * self._random.uniform(0.5, 1.0))
        return min(delay * 2, _MAX_RETRY_SECONDS)
