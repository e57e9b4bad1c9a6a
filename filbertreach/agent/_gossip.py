"""Exchange of host states, documents and other shared state with the agents of other hosts."""

import logging
import math
import random
from collections.abc import Callable, Iterable
from typing import NamedTuple, cast

import msgspec

from filbertreach.agent._call_records import CallRecordTable
from filbertreach.agent._documents import DocumentTable
from filbertreach.agent._host_list import LatestHostList
from filbertreach.agent._metrics import GOSSIP_BYTES, GOSSIP_MESSAGES
from filbertreach.membership import HostTable, Version
from filbertreach.schema import DocumentCopy, Gossip, HostState
from filbertreach.timing import Clock
from filbertreach.transport import ReceivedMessage, Transport

_FETCH_RETRY_SECONDS = 1.0
"""Time after which a requested document that has not arrived is requested from another peer."""
_ASSUMED_TRANSIT_SECONDS = 0.05
"""Transit time that is subtracted from the time as of which a peer's state is confirmed."""

_LOGGER = logging.getLogger(__name__)


class GossipOptions(NamedTuple):
    """Collaborators and settings of a gossiper."""

    transport: Transport
    """Transport of the agent."""
    table: HostTable
    """Host states."""
    latest_host_list: LatestHostList
    """Latest known host list."""
    document_table: DocumentTable
    """Documents."""
    call_records: CallRecordTable
    """Call records."""
    clock: Clock
    """Source of time."""
    fanout: int
    """Number of neighbours that this agent contacts in each round."""
    is_ready: Callable[[], bool]
    """Returns whether this agent holds the newest generations that it has learned of."""
    on_change: Callable[[], None]
    """Called after a message has changed the known state."""


class Gossiper:
    """Sends changes to all neighbours immediately, and repairs lost messages by anti-entropy.

    A host state is forwarded when it is first received, so that it reaches every host along the
    rings. Periodic rounds repair losses: agents compare digests whose size does not depend on the
    size of the fleet, and only if these differ, they exchange the digests of buckets, the versions
    in the differing buckets and the differing states (Demers et al., "Epidemic algorithms for
    replicated database maintenance", PODC 1987; van Renesse et al., "Efficient reconciliation and
    flow control for anti-entropy protocols", LADIS 2008).
    """

    def __init__(self, options: GossipOptions) -> None:
        """Creates a gossiper without neighbours.

        Args:
            options: Collaborators and settings.
        """
        self._options = options
        self._random = random.Random()
        self._encoder = msgspec.msgpack.Encoder()
        self._retry_at_by_environment: dict[str, float] = {}
        self.neighbour_addresses: set[str] = set()
        """Addresses (ip:port) of the agents that this agent keeps connections with."""
        self.ready_peers: set[str] = set()
        """Addresses of agents whose last message said that they are ready."""
        self.responding_peers: set[str] = set()
        """Addresses of the agents that have sent a message and are not lost."""
        self.highest_generations: dict[str, int] = {}
        """Highest accepted generation that any peer has reported, by environment."""

    def start_round(self) -> None:
        """Sends digests to `fanout` random neighbours."""
        addresses = sorted(self.neighbour_addresses)
        for address in self._random.sample(addresses, min(self._options.fanout, len(addresses))):
            self._send(address, self._summary())

    def announce(self) -> None:
        """Sends digests to all neighbours, after a change that should spread without delay."""
        for address in self.neighbour_addresses:
            self._send(address, self._summary())

    def forward_states(self, states: Iterable[HostState], *, received_from: str = "") -> None:
        """Sends new host states to all neighbours.

        Args:
            states: States that this agent has just learned.
            received_from: Address of the neighbour that sent them, which is skipped.
        """
        chosen = list(states)
        if not chosen:
            return
        for address in self.neighbour_addresses - {received_from}:
            self._send(address, Gossip(**{**self._summary(), "states": chosen}))

    def forward_host_list(self, *, received_from: str = "") -> None:
        """Sends the latest host list to all neighbours.

        Args:
            received_from: Address of the neighbour that sent it, which is skipped.
        """
        for address in self.neighbour_addresses - {received_from}:
            self._send(
                address,
                Gossip(**{**self._summary(), "host_list": self._options.latest_host_list.latest}),
            )

    def _forward_call_records(self, *, received_from: str) -> None:
        copy = self._options.call_records.copy
        if copy is None:
            return
        for address in self.neighbour_addresses - {received_from}:
            self._send(address, Gossip(**{**self._summary(), "calls": copy}))

    def on_gossip(self, received: ReceivedMessage) -> None:
        """Merges a message of another agent, and replies if the two agents' states differ.

        Args:
            received: Message of kind `gossip`.
        """
        GOSSIP_MESSAGES.labels("received").inc()
        message = cast(Gossip, received.message)
        sender = received.address
        self.responding_peers.add(sender)
        (self.ready_peers.add if message["ready"] else self.ready_peers.discard)(sender)
        changed = self._merge_states(message, sender)
        changed = self._install_documents(message) or changed
        if "host_list" in message and self._options.latest_host_list.merge(message["host_list"]):
            changed = True
            self.forward_host_list(received_from=sender)
        if "calls" in message and self._options.call_records.merge(message["calls"]):
            changed = True
            self._forward_call_records(received_from=sender)
        answer = self._answer(message)
        wanted = self._documents_to_fetch(message, received)
        if wanted:
            answer["wanted_documents"] = wanted
        if answer:
            self._send(sender, Gossip(**{**self._summary(), **answer}))  # type: ignore[typeddict-item]
        if changed:
            self._options.on_change()

    def _summary(self) -> Gossip:
        options = self._options
        documents = options.document_table
        age = options.clock.now() - documents.fresh_as_of
        summary = Gossip(
            kind="gossip",
            digest=options.table.digest,
            host_list_digest=options.latest_host_list.digest,
            generations=documents.generations,
            proposals={
                name: proposal.generation
                for name, proposal in documents.proposal_by_environment.items()
            },
            news_age_seconds=age if math.isfinite(age) else -1.0,
            ready=options.is_ready(),
        )
        if options.call_records.revision:
            summary["calls_revision"] = options.call_records.revision
        return summary

    def _merge_states(self, message: Gossip, sender: str) -> bool:
        new = self._options.table.merge(message.get("states", []))
        self.forward_states(new, received_from=sender)
        return bool(new)

    def _install_documents(self, message: Gossip) -> bool:
        changed = False
        for copy in message.get("documents", []):
            name, generation = copy["environment"], copy["generation"]
            self._retry_at_by_environment.pop(name, None)
            if self._options.document_table.accept(
                environment=name, generation=generation, text=copy["text"]
            ):
                _LOGGER.info("installed generation %d of %s from a peer", generation, name)
                changed = True
        if changed:
            self.announce()
        return changed

    def _answer(self, message: Gossip) -> dict[str, object]:
        table, host_list = self._options.table, self._options.latest_host_list
        answer: dict[str, object] = {}
        if message["host_list_digest"] != host_list.digest and "host_list" not in message:
            # Either side may send its list; the receiver keeps the newer one.
            answer["host_list"] = host_list.latest
        records = self._options.call_records.copy
        if records is not None and records["revision"] > message.get("calls_revision", 0):
            answer["calls"] = records
        if "wanted_hosts" in message:
            answer["states"] = [
                table.state_by_host[host]
                for host in message["wanted_hosts"]
                if host in table.state_by_host
            ]
        if "wanted_documents" in message:
            answer["documents"] = self._copies_of(message["wanted_documents"])
        if "versions" in message:
            versions = {host: Version(*pair) for host, pair in message["versions"].items()}
            missing, wanted = table.newer_than(versions, message["bucket_numbers"])
            answer.update(
                {
                    key: value
                    for key, value in (("states", missing), ("wanted_hosts", wanted))
                    if value
                }
            )
        elif "buckets" in message:
            numbers = table.differing_buckets(message["buckets"])
            if numbers:
                answer["bucket_numbers"] = numbers
                answer["versions"] = table.versions_in(numbers)
        elif message["digest"] != table.digest and _starts_exchange(message):
            answer["buckets"] = table.bucket_digests
        return answer

    def _copies_of(self, names: Iterable[str]) -> list[DocumentCopy]:
        documents = self._options.document_table.accepted_by_environment
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
        fresh_as_of = (
            now - received.delay_seconds - _ASSUMED_TRANSIT_SECONDS - age if age >= 0 else -math.inf
        )
        for name, generation in message["generations"].items():
            highest = max(generation, self.highest_generations.get(name, 0))
            self.highest_generations[name] = highest
        missing = self._options.document_table.merge_peer_state(
            generations=message["generations"],
            proposals=message["proposals"],
            fresh_as_of=fresh_as_of,
        )
        wanted = [
            name for name in missing if self._retry_at_by_environment.get(name, -math.inf) <= now
        ]
        for name in wanted:
            self._retry_at_by_environment[name] = now + _FETCH_RETRY_SECONDS
        return wanted

    def _send(self, address: str, message: Gossip) -> None:
        if self._options.transport.send(address=address, message=message):
            GOSSIP_MESSAGES.labels("sent").inc()
            GOSSIP_BYTES.inc(len(self._encoder.encode(message)))


def _starts_exchange(message: Gossip) -> bool:
    """Returns whether a message starts an exchange, as opposed to continuing one."""
    return not any(
        key in message
        for key in ("states", "versions", "wanted_hosts", "documents", "host_list", "calls")
    )


def next_version(*, table: HostTable, host: str, incarnation: int) -> Version:
    """Returns the version for a new state of this agent's host.

    It is higher than any known version, even if the clock was set back between two starts.

    Args:
        table: Host states.
        host: Name of this host.
        incarnation: Incarnation of this agent.
    """
    known = table.version(host)
    if known is None or known.incarnation < incarnation:
        return Version(incarnation, 1)
    return Version(known.incarnation, known.counter + 1)
