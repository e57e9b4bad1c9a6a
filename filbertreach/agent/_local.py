"""The entry and dispatch processes of this host."""

import logging
import math
from collections.abc import Collection, Sequence
from typing import NamedTuple, cast

from filbertreach.agent._documents import AcceptedDocument
from filbertreach.schema import CallBoardCopy, DocumentCopy, HeldChange, Hello, Member, View
from filbertreach.timing import Clock
from filbertreach.transport import ReceivedMessage, Transport

_SILENCE_TIMEOUT_SECONDS = 2.0
"""A process that sent no `hello` for this long is considered gone; it sends one every 0.5 s."""
_RESEND_SECONDS = 3.0
"""A document text is sent again if the process does not report its generation within this time."""

_LOGGER = logging.getLogger(__name__)


class ViewContent(NamedTuple):
    """Content of the view that is sent to every process of the host."""

    documents: tuple[AcceptedDocument, ...]
    """Accepted documents."""
    usable_by_environment: dict[str, bool]
    """Whether the host may serve the environment."""
    undecided: frozenset[str]
    """Environments with a proposal whose acceptance is undecided."""
    members: list[Member]
    """Known processes of the fleet."""
    leaving_addresses: list[str]
    """Addresses of leaving backend servers."""
    announced_leaving: list[str]
    """Addresses of leaves that announced to an owner of their service that they are leaving."""
    calls: CallBoardCopy | None = None
    """Call records; None if they are unknown."""


class _LocalProcess:
    """One process of the host, and what was last sent to it."""

    def __init__(self, *, member: Member, last_hello_at: float) -> None:
        self.member = member
        self.last_hello_at = last_hello_at
        self.generations: dict[str, int] = {}
        self.held_changes: list[HeldChange] = []
        self.announced_leaving: list[str] = []
        self.sent_view: ViewContent | None = None
        self.sent_generations: dict[str, int] = {}
        self.sent_at = -math.inf

    def reset_sent(self) -> None:
        self.sent_view = None
        self.sent_generations = {}


class LocalProcesses:
    """Tracks the processes of this host, and sends them a view when its content has changed."""

    def __init__(self, *, host: str, transport: Transport, clock: Clock) -> None:
        """Creates a tracker without processes.

        Args:
            host: Name of this host.
            transport: Transport of the agent.
            clock: Source of time.
        """
        self._host = host
        self._transport = transport
        self._clock = clock
        self._process_by_address: dict[str, _LocalProcess] = {}

    @property
    def members(self) -> list[Member]:
        """Processes that sent a `hello` recently, sorted by name."""
        members = (process.member for process in self._process_by_address.values())
        return sorted(members, key=lambda member: member["name"])

    @property
    def held_changes(self) -> list[HeldChange]:
        """Planned changes that processes of this host hold, without duplicates, sorted by name."""
        held = {
            (change["environment"], change["change"], change["reason"]): change
            for process in self._process_by_address.values()
            for change in process.held_changes
        }
        return [held[key] for key in sorted(held)]

    @property
    def announced_leaving(self) -> list[str]:
        """Sorted addresses of leaves that announced their leaving to a process of this host."""
        processes = self._process_by_address.values()
        return sorted({address for p in processes for address in p.announced_leaving})

    def on_hello(self, received: ReceivedMessage) -> None:
        """Handles a `hello`.

        Args:
            received: Message of kind `hello`.
        """
        hello = cast(Hello, received.message)
        member = hello["member"]
        if member["host"] != self._host:
            _LOGGER.warning(
                "dropped hello from %s: it runs on host %s; set [view] agent to that host's agent",
                member["name"],
                member["host"],
            )
            return
        now = self._clock.now()
        process = self._process_by_address.get(received.address)
        if process is None or process.member["incarnation"] != member["incarnation"]:
            process = _LocalProcess(member=member, last_hello_at=now)
            self._process_by_address[received.address] = process
        process.member, process.last_hello_at = member, now
        process.generations = hello["generations"]
        process.held_changes = hello.get("held_changes", [])
        process.announced_leaving = hello.get("announced_leaving", [])
        if now - process.sent_at > _RESEND_SECONDS and any(
            process.generations.get(name, 0) < sent
            for name, sent in process.sent_generations.items()
        ):
            process.reset_sent()

    def on_peer_lost(self, address: str) -> None:
        """Handles the loss of undelivered messages to a peer.

        Args:
            address: ip:port of the peer.
        """
        process = self._process_by_address.get(address)
        if process is not None:
            process.reset_sent()

    def remove_silent(self, *, paused: bool) -> None:
        """Removes processes that have been silent for too long.

        Args:
            paused: Whether the agent itself was paused; the silence then says nothing about the
                processes.
        """
        now = self._clock.now()
        for address, process in list(self._process_by_address.items()):
            if paused:
                process.last_hello_at = now
            elif now - process.last_hello_at > _SILENCE_TIMEOUT_SECONDS:
                del self._process_by_address[address]

    def lowest_generation(self, environment: str) -> int | None:
        """Returns the lowest generation that a live process has in force.

        Args:
            environment: Environment name.

        Returns:
            The generation; None if there are no live processes.
        """
        generations = [
            process.generations.get(environment, 0)
            for process in self._process_by_address.values()
            if process.member["state"] == "live"
        ]
        return min(generations, default=None)

    def publish(self, content: ViewContent) -> None:
        """Sends a view to each process whose last view differs from the content.

        Args:
            content: Current content.
        """
        for address, process in self._process_by_address.items():
            if process.sent_view == content:
                continue
            if self._transport.send(address=address, message=_view_for(process, content)):
                process.sent_view = content
                process.sent_at = self._clock.now()
            else:
                process.reset_sent()


def _view_for(process: _LocalProcess, content: ViewContent) -> View:
    copies = []
    for document in content.documents:
        name, generation = document.environment, document.generation
        known = max(process.generations.get(name, 0), process.sent_generations.get(name, 0))
        if known < generation:
            process.sent_generations[name] = generation
        copies.append(
            DocumentCopy(
                environment=name,
                generation=generation,
                text=document.text if known < generation else "",
                usable=content.usable_by_environment[name],
                undecided=name in content.undecided,
            )
        )
    view = View(
        kind="view",
        documents=copies,
        members=content.members,
        leaving_addresses=content.leaving_addresses,
    )
    if content.announced_leaving:
        view["announced_leaving"] = content.announced_leaving
    if content.calls is not None:
        view["calls"] = content.calls
    return view


def view_content(
    *,
    documents: Sequence[AcceptedDocument],
    usable_by_environment: dict[str, bool],
    undecided: Collection[str],
    members: list[Member],
    leaving_addresses: list[str],
    announced_leaving: Collection[str] = (),
    calls: CallBoardCopy | None = None,
) -> ViewContent:
    """Returns the content of a view, with its collections in a fixed order.

    Args:
        documents: Accepted documents.
        usable_by_environment: Whether the host may serve the environment.
        undecided: Environments with a proposal whose acceptance is undecided.
        members: Known processes of the fleet.
        leaving_addresses: Addresses of leaving backend servers.
        announced_leaving: Addresses of leaves that have announced that they are leaving.
        calls: Call records; None if they are unknown.
    """
    return ViewContent(
        documents=tuple(sorted(documents)),
        usable_by_environment=usable_by_environment,
        undecided=frozenset(undecided),
        members=sorted(members, key=lambda member: member["name"]),
        leaving_addresses=sorted(leaving_addresses),
        announced_leaving=sorted(announced_leaving),
        calls=calls,
    )
