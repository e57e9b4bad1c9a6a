"""Exchange of host states, host list news and documents with the agents of other hosts."""

import logging
import math
import random
from collections.abc import Callable, Iterable
from typing import NamedTuple, cast

import msgspec

from filbertreach.agent._call_board import CallBoard
from filbertreach.agent._documents import DocumentTable
from filbertreach.agent._host_list import HostListBoard
from filbertreach.agent._metrics import GOSSIP_BYTES, GOSSIP_MESSAGES
from filbertreach.membership import HostTable, Version
from filbertreach.schema import DocumentCopy, Gossip, HostState
from filbertreach.timing import Clock
from filbertreach.transport import ReceivedMessage, Transport

_FETCH_SECONDS = 1.0
"""Time after which a document that was asked for is asked for elsewhere."""
_TRANSIT_SECONDS = 0.05
"""Subtracted from the time of a peer's news, for the message's way."""

_LOGGER = logging.getLogger(__name__)


class GossipOptions(NamedTuple):
    """What a gossiper works with."""

    transport: Transport
    """Transport of the agent."""
    table: HostTable
    """Host states."""
    board: HostListBoard
    """Host list news."""
    book: DocumentTable
    """Documents."""
    calls: CallBoard
    """Call records."""
    clock: Clock
    """Source of time."""
    fanout: int
    """Neighbours that hear from this agent in each round."""
    is_ready: Callable[[], bool]
    """Returns whether this agent holds the newest generations that it knows of."""
    on_change: Callable[[], None]
    """Called after something new was heard."""


class Gossiper:
    """Sends changes to all neighbours at once, and compares digests in rounds.

    A host state is passed on when it is first heard, so that it reaches every host along the rings.
    What gets lost is repaired by rounds: digests of equal size whatever the size of the fleet, and
    only on a difference the digests of buckets, the versions in them, and the states that differ
    (anti-entropy; Demers et al., "Epidemic algorithms for replicated database maintenance", PODC
    1987; van Renesse et al., "Efficient reconciliation and flow control for anti-entropy
    protocols", LADIS 2008).
    """

    def __init__(self, options: GossipOptions) -> None:
        """Starts without neighbours.

        Args:
            options: What it works with.
        """
        self._options = options
        self._random = random.Random()
        self._encoder = msgspec.msgpack.Encoder()
        self._fetch_due: dict[str, float] = {}
        self.neighbour_addresses: set[str] = set()
        """ip:port of the agents that this agent keeps links with."""
        self.heard_ready: set[str] = set()
        """Addresses of agents that were ready when they were last heard."""
        self.heard: set[str] = set()
        """Addresses of all agents that were heard."""
        self.highest_generations: dict[str, int] = {}
        """Highest accepted generation that any peer has named, by environment."""

    def round(self) -> None:
        """Sends digests to some neighbours."""
        addresses = sorted(self.neighbour_addresses)
        for address in self._random.sample(addresses, min(self._options.fanout, len(addresses))):
            self._send(address, self._greeting())

    def announce(self) -> None:
        """Sends digests to all neighbours, after news that they should have at once."""
        for address in self.neighbour_addresses:
            self._send(address, self._greeting())

    def pass_on(self, states: Iterable[HostState], *, heard_from: str = "") -> None:
        """Sends new host states to all neighbours.

        Args:
            states: States that are new here.
            heard_from: Address of the neighbour that sent them.
        """
        chosen = list(states)
        if not chosen:
            return
        for address in self.neighbour_addresses - {heard_from}:
            self._send(address, Gossip(**{**self._greeting(), "states": chosen}))

    def pass_on_host_list(self, *, heard_from: str = "") -> None:
        """Sends host list news to all neighbours.

        Args:
            heard_from: Address of the neighbour that sent them.
        """
        for address in self.neighbour_addresses - {heard_from}:
            self._send(
                address, Gossip(**{**self._greeting(), "host_list": self._options.board.news})
            )

    def _pass_on_calls(self, *, heard_from: str) -> None:
        copy = self._options.calls.copy
        if copy is None:
            return
        for address in self.neighbour_addresses - {heard_from}:
            self._send(address, Gossip(**{**self._greeting(), "calls": copy}))

    def on_gossip(self, received: ReceivedMessage) -> None:
        """Takes a message of another agent and answers it if they differ.

        Args:
            received: Message of kind `gossip`.
        """
        GOSSIP_MESSAGES.labels("received").inc()
        message = cast(Gossip, received.message)
        sender = received.address
        self.heard.add(sender)
        (self.heard_ready.add if message["ready"] else self.heard_ready.discard)(sender)
        changed = self._take_states(message, sender)
        changed = self._take_documents(message) or changed
        if "host_list" in message and self._options.board.merge(message["host_list"]):
            changed = True
            self.pass_on_host_list(heard_from=sender)
        if "calls" in message and self._options.calls.merge(message["calls"]):
            changed = True
            self._pass_on_calls(heard_from=sender)
        answer = self._answer(message)
        wanted = self._documents_to_fetch(message, received)
        if wanted:
            answer["wanted_documents"] = wanted
        if answer:
            self._send(sender, Gossip(**{**self._greeting(), **answer}))  # type: ignore[typeddict-item]
        if changed:
            self._options.on_change()

    def _greeting(self) -> Gossip:
        options = self._options
        book = options.book
        age = options.clock.now() - book.news_at
        greeting = Gossip(
            kind="gossip",
            digest=options.table.digest,
            host_list_digest=options.board.digest,
            generations=book.generations,
            proposals={
                name: proposal.generation for name, proposal in book.proposal_by_environment.items()
            },
            news_age_seconds=age if math.isfinite(age) else -1.0,
            ready=options.is_ready(),
        )
        if options.calls.revision:
            greeting["calls_revision"] = options.calls.revision
        return greeting

    def _take_states(self, message: Gossip, sender: str) -> bool:
        new = self._options.table.merge(message.get("states", []))
        self.pass_on(new, heard_from=sender)
        return bool(new)

    def _take_documents(self, message: Gossip) -> bool:
        changed = False
        for copy in message.get("documents", []):
            name, generation = copy["environment"], copy["generation"]
            self._fetch_due.pop(name, None)
            if self._options.book.accept(
                environment=name, generation=generation, text=copy["text"]
            ):
                _LOGGER.info("installed generation %d of %s from a peer", generation, name)
                changed = True
        if changed:
            self.announce()
        return changed

    def _answer(self, message: Gossip) -> dict[str, object]:
        table, board = self._options.table, self._options.board
        answer: dict[str, object] = {}
        if message["host_list_digest"] != board.digest and "host_list" not in message:
            # Both sides may send theirs; the newer one stays.
            answer["host_list"] = board.news
        calls = self._options.calls.copy
        if calls is not None and calls["revision"] > message.get("calls_revision", 0):
            answer["calls"] = calls
        if "wanted_hosts" in message:
            answer["states"] = [
                table.state_by_host[host]
                for host in message["wanted_hosts"]
                if host in table.state_by_host
            ]
        if "wanted_documents" in message:
            answer["documents"] = self._documents(message["wanted_documents"])
        if "versions" in message:
            versions = {host: Version(*pair) for host, pair in message["versions"].items()}
            lacking, wanted = table.newer_than(versions, message["bucket_numbers"])
            answer.update(
                {
                    key: value
                    for key, value in (("states", lacking), ("wanted_hosts", wanted))
                    if value
                }
            )
        elif "buckets" in message:
            numbers = table.differing_buckets(message["buckets"])
            if numbers:
                answer["bucket_numbers"] = numbers
                answer["versions"] = table.versions_in(numbers)
        elif message["digest"] != table.digest and _is_plain(message):
            answer["buckets"] = table.bucket_digests
        return answer

    def _documents(self, names: Iterable[str]) -> list[DocumentCopy]:
        documents = self._options.book.accepted_by_environment
        return [
            DocumentCopy(
                environment=name,
                generation=documents[name].generation,
                text=documents[name].text,
                usable=True,
            )
            for name in names
            if name in documents
        ]

    def _documents_to_fetch(self, message: Gossip, received: ReceivedMessage) -> list[str]:
        now = self._options.clock.now()
        age = message["news_age_seconds"]
        news_at = now - received.delay_seconds - _TRANSIT_SECONDS - age if age >= 0 else -math.inf
        for name, generation in message["generations"].items():
            highest = max(generation, self.highest_generations.get(name, 0))
            self.highest_generations[name] = highest
        lacking = self._options.book.hear(
            generations=message["generations"], proposals=message["proposals"], news_at=news_at
        )
        wanted = [name for name in lacking if self._fetch_due.get(name, -math.inf) <= now]
        for name in wanted:
            self._fetch_due[name] = now + _FETCH_SECONDS
        return wanted

    def _send(self, address: str, message: Gossip) -> None:
        if self._options.transport.send(address=address, message=message):
            GOSSIP_MESSAGES.labels("sent").inc()
            GOSSIP_BYTES.inc(len(self._encoder.encode(message)))


def _is_plain(message: Gossip) -> bool:
    """Returns whether a message begins an exchange rather than being part of one."""
    return not any(
        key in message
        for key in ("states", "versions", "wanted_hosts", "documents", "host_list", "calls")
    )


def next_version(*, table: HostTable, host: str, incarnation: int) -> Version:
    """Returns the version for a new state of this agent's own host.

    It is newer than any known one, even if the clock went back between two starts.

    Args:
        table: Host states.
        host: Name of this host.
        incarnation: Incarnation of this agent.
    """
    known = table.version(host)
    if known is None or known.incarnation < incarnation:
        return Version(incarnation, 1)
    return Version(known.incarnation, known.counter + 1)
