"""The entry and dispatch processes of this host."""

import logging
import math
from collections.abc import Collection, Sequence
from typing import NamedTuple, cast

from filbertreach.agent._documents import AcceptedDocument
from filbertreach.schema import CallBoardCopy, DocumentCopy, HeldChange, Hello, Member, View
from filbertreach.timing import Clock
from filbertreach.transport import ReceivedMessage, Transport

_SILENCE_SECONDS = 2.0
"""A process unheard for this long is gone; it says hello every 0.5 s."""
_RESEND_SECONDS = 3.0
"""A text that a process does not report this long after it was sent is sent again."""

_LOGGER = logging.getLogger(__name__)


class ViewContent(NamedTuple):
    """What every process of the host should know."""

    documents: tuple[AcceptedDocument, ...]
    """Accepted documents."""
    usable_by_environment: dict[str, bool]
    """Whether the host may serve the environment."""
    undecided: frozenset[str]
    """Environments with a proposal that may have been accepted."""
    members: list[Member]
    """Known processes of the fleet."""
    leaving_addresses: list[str]
    """Addresses of leaving backend servers."""
    announced_leaving: list[str]
    """Addresses of leaves that told an owner of their service that they are leaving."""
    calls: CallBoardCopy | None = None
    """Call records, None if they are not known."""


class _Process:
    """One process of the host."""

    def __init__(self, *, member: Member, heard_at: float) -> None:
        self.member = member
        self.heard_at = heard_at
        self.generations: dict[str, int] = {}
        self.held_changes: list[HeldChange] = []
        self.announced_leaving: list[str] = []
        self.sent_view: ViewContent | None = None
        self.sent_texts: dict[str, int] = {}
        self.sent_at = -math.inf

    def forget_sent(self) -> None:
        self.sent_view = None
        self.sent_texts = {}


class LocalProcesses:
    """Hears the processes of this host and sends them views when something is new to them."""

    def __init__(self, *, host: str, transport: Transport, clock: Clock) -> None:
        """Starts without processes.

        Args:
            host: Name of this host.
            transport: Transport of the agent.
            clock: Source of time.
        """
        self._host = host
        self._transport = transport
        self._clock = clock
        self._process_by_address: dict[str, _Process] = {}

    @property
    def members(self) -> list[Member]:
        """Processes that were heard recently, by name."""
        members = (process.member for process in self._process_by_address.values())
        return sorted(members, key=lambda member: member["name"])

    @property
    def held_changes(self) -> list[HeldChange]:
        """Planned changes that processes of this host hold, once each, by name."""
        held = {
            (change["environment"], change["change"], change["reason"]): change
            for process in self._process_by_address.values()
            for change in process.held_changes
        }
        return [held[key] for key in sorted(held)]

    @property
    def announced_leaving(self) -> list[str]:
        """Addresses of leaves that told a process of this host that they are leaving, sorted."""
        processes = self._process_by_address.values()
        return sorted({address for p in processes for address in p.announced_leaving})

    def on_hello(self, received: ReceivedMessage) -> None:
        """Takes a `hello`.

        Args:
            received: Message of kind `hello`.
        """
        hello = cast(Hello, received.message)
        member = hello["member"]
        if member["host"] != self._host:
            _LOGGER.warning(
                "hello of %s dropped: it runs on host %s, set [view] agent to its own agent",
                member["name"],
                member["host"],
            )
            return
        now = self._clock.now()
        process = self._process_by_address.get(received.address)
        if process is None or process.member["incarnation"] != member["incarnation"]:
            process = _Process(member=member, heard_at=now)
            self._process_by_address[received.address] = process
        process.member, process.heard_at = member, now
        process.generations = hello["generations"]
        process.held_changes = hello.get("held_changes", [])
        process.announced_leaving = hello.get("announced_leaving", [])
        if now - process.sent_at > _RESEND_SECONDS and any(
            process.generations.get(name, 0) < sent for name, sent in process.sent_texts.items()
        ):
            process.forget_sent()

    def on_lost(self, address: str) -> None:
        """Notes that undelivered messages to a peer were dropped.

        Args:
            address: ip:port of the peer.
        """
        process = self._process_by_address.get(address)
        if process is not None:
            process.forget_sent()

    def expire(self, *, paused: bool) -> None:
        """Drops processes that were not heard.

        Args:
            paused: Whether this process was paused, so that what it has not heard says nothing.
        """
        now = self._clock.now()
        for address, process in list(self._process_by_address.items()):
            if paused:
                process.heard_at = now
            elif now - process.heard_at > _SILENCE_SECONDS:
                del self._process_by_address[address]

    def lowest_generation(self, environment: str) -> int | None:
        """Returns the lowest generation that a live process has in force.

        Args:
            environment: Environment name.

        Returns:
            The generation, or None without live processes.
        """
        generations = [
            process.generations.get(environment, 0)
            for process in self._process_by_address.values()
            if process.member["state"] == "live"
        ]
        return min(generations, default=None)

    def publish(self, content: ViewContent) -> None:
        """Sends a view to each process that lacks something.

        Args:
            content: Present content.
        """
        for address, process in self._process_by_address.items():
            if process.sent_view == content:
                continue
            if self._transport.send(address=address, message=_view_for(process, content)):
                process.sent_view = content
                process.sent_at = self._clock.now()
            else:
                process.forget_sent()


def _view_for(process: _Process, content: ViewContent) -> View:
    copies = []
    for document in content.documents:
        name, generation = document.environment, document.generation
        known = max(process.generations.get(name, 0), process.sent_texts.get(name, 0))
        if known < generation:
            process.sent_texts[name] = generation
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
    """Returns a view's content in a fixed order.

    Args:
        documents: Accepted documents.
        usable_by_environment: Whether the host may serve the environment.
        undecided: Environments with a proposal that may have been accepted.
        members: Known processes.
        leaving_addresses: Addresses of leaving backend servers.
        announced_leaving: Addresses of leaves that said that they are leaving.
        calls: Call records, None if they are not known.
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
