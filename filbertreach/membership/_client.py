"""View of documents and members that a process receives from the agent of its host."""

import logging
import math
import pathlib
from collections.abc import Callable
from types import TracebackType
from typing import Literal, Self, cast, get_args

import anyio
import anyio.abc
from returns.result import Success

from filbertreach.document import Environment, parse_document
from filbertreach.schema import (
    CallBoardCopy,
    DocumentCopy,
    HeldChange,
    Hello,
    Member,
    ProcessSection,
    View,
    ViewSection,
)
from filbertreach.timing import Clock, SystemClock
from filbertreach.transport import ReceivedMessage, Transport

HELLO_SECONDS = 0.5
"""Interval of hello messages to the agent."""

AGENT_LOST_SECONDS = 5.0
"""Time without contact to the agent after which an undecided proposal may have been accepted."""

_ANNOUNCEMENT_HOLD_SECONDS = 10.0
"""A leaf counts as leaving for this long after its last announcement: the announcing process may
have died, and the next owner of the service has to know."""

Role = Literal["entry", "dispatch", "agent"]
"""Role of a member."""
State = Literal["starting", "live", "leaving", "gone"]
"""State of a member."""

_FILE_GENERATION = 1
"""Generation of documents that are read from files."""

_LOGGER = logging.getLogger(__name__)


class ViewError(Exception):
    """The files or members of the section [view] are unusable."""


class ViewClient:
    """Documents and members as reported by the local agent.

    The generation of each document never decreases. `view` messages of the transport have to be
    passed to `on_view`. While the agent is unreachable, the last view stays in force. Without an
    agent, the files of the section [view] are loaded on entering.
    """

    def __init__(
        self,
        *,
        process: ProcessSection,
        view: ViewSection,
        role: Literal["entry", "dispatch"],
        transport: Transport,
        on_change: Callable[[], None] = lambda: None,
        clock: Clock | None = None,
    ) -> None:
        """Prepares a view without documents and members.

        Args:
            process: Settings of this process.
            view: Section [view] of the settings: the agent, or files and members.
            role: Role of this process.
            transport: Transport of this process, entered before this client.
            on_change: Called after each change of the view.
            clock: Source of time.
        """
        self.environment_by_name: dict[str, Environment] = {}
        """Newest generation of each document."""
        self.members: list[Member] = []
        """Known processes of the fleet, including this one."""
        self.leaving_addresses: frozenset[str] = frozenset()
        """ip:port or ip of backend servers that are leaving."""
        self.announced_leaving: frozenset[str] = frozenset()
        """ip:port of leaves that reported to an owner of their service that they are leaving."""
        self.calls: CallBoardCopy | None = None
        """Newest call records, None until they were received from the agent."""
        self._held_changes: list[HeldChange] = []
        self._own_announced_leaving: list[str] = []
        self._announced_until_by_address: dict[str, float] = {}
        self.is_loaded = False
        """Whether a view was received from the agent or loaded from files."""
        self.on_change = on_change
        self._agent = view.get("agent", "")
        self._view = view
        self._transport = transport
        self._usable_by_environment: dict[str, bool] = {}
        self._undecided_environments: set[str] = set()
        self._clock = clock or SystemClock()
        self._agent_heard_at = self._clock.now()
        self._group: anyio.abc.TaskGroup | None = None
        self._member = Member(
            name=process["name"],
            host=process["host"],
            role=role,
            address=transport.address,
            incarnation=transport.incarnation,
            region=process["region"],
            data_centre=process["data_centre"],
            state="starting",
        )

    async def __aenter__(self) -> Self:
        """Starts to send hello messages to the agent, or loads the files.

        Raises:
            ViewError: A file can't be read or used.
        """
        if not self._agent:
            self._load_files()
            return self
        self._transport.keep_connected({self._agent})
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        self._group.start_soon(self._run_hello, name="hello")
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        """Stops sending hello messages."""
        if self._group is None:
            return None
        self._group.cancel_scope.cancel()
        return await self._group.__aexit__(kind, error, trace)

    @property
    def member(self) -> Member:
        """Member record of this process, as sent to the agent."""
        return self._member

    def set_state(self, state: State) -> None:
        """Changes the state of this process and reports it to the agent immediately.

        Args:
            state: New state.
        """
        self._member = Member(**{**self._member, "state": state})
        if self._agent:
            self._send_hello()
        else:
            self._update_own_member()
            self.on_change()

    def report_held_changes(self, held_changes: list[HeldChange]) -> None:
        """Reports held planned changes to the agent, immediately if they differ from the last.

        Args:
            held_changes: All changes that this process holds.
        """
        if held_changes != self._held_changes:
            self._held_changes = held_changes
            if self._agent:
                self._send_hello()

    def report_announced_leaving(self, addresses: list[str]) -> None:
        """Reports leaving leaves to the agent, immediately if they differ from the last.

        Args:
            addresses: ip:port of the leaves, sorted.
        """
        if addresses != self._own_announced_leaving:
            self._own_announced_leaving = addresses
            if self._agent:
                self._send_hello()

    def _update_announced_leaving(self, addresses: list[str]) -> None:
        now = self._clock.now()
        for address in addresses:
            self._announced_until_by_address[address] = math.inf
        for address, until in list(self._announced_until_by_address.items()):
            if until == math.inf and address not in addresses:
                self._announced_until_by_address[address] = now + _ANNOUNCEMENT_HOLD_SECONDS
            elif until < now:
                del self._announced_until_by_address[address]
        self.announced_leaving = frozenset(self._announced_until_by_address)

    def usable(self, environment: str) -> bool:
        """Returns whether this host may serve the environment now.

        It may not while an undecided proposal may have been accepted without this host: either the
        agent reports so, or the agent is unreachable during a change.
        """
        if (
            environment not in self.environment_by_name
            or not self._usable_by_environment[environment]
        ):
            return False
        return environment not in self._undecided_environments or not self._agent_is_lost()

    def _agent_is_lost(self) -> bool:
        return self._clock.now() - self._agent_heard_at > AGENT_LOST_SECONDS

    def on_view(self, received: ReceivedMessage) -> None:
        """Applies a `view` message of the agent.

        Args:
            received: Message of kind `view`; ignored if it is not from this host's agent.
        """
        if received.address != self._agent:
            _LOGGER.warning("view from %s dropped: not the agent of this host", received.address)
            return
        view = cast(View, received.message)
        installed = [self._install_document(copy) for copy in view["documents"]]
        self._undecided_environments = {
            copy["environment"] for copy in view["documents"] if copy.get("undecided", False)
        }
        self._agent_heard_at = self._clock.now()
        self.members = view["members"]
        self.leaving_addresses = frozenset(view["leaving_addresses"])
        self._update_announced_leaving(view.get("announced_leaving", []))
        calls = view.get("calls")
        if calls is not None and (self.calls is None or self.calls["revision"] < calls["revision"]):
            self.calls = calls
        self.is_loaded = True
        if any(installed):
            self._send_hello()
        self.on_change()

    def _install_document(self, copy: DocumentCopy) -> bool:
        """Installs a document unless it is older than the one in force.

        Returns:
            Whether a new generation is in force.
        """
        name = copy["environment"]
        present = self.environment_by_name.get(name)
        if present is not None and copy["generation"] < present.generation:
            return False
        if present is not None and copy["generation"] == present.generation:
            self._usable_by_environment[name] = copy["usable"]
            return False
        if not copy["text"]:
            # A newer generation exists, but its text has not arrived yet.
            return False
        result = parse_document(text=copy["text"], source=name, generation=copy["generation"])
        if not isinstance(result, Success):
            _LOGGER.error("generation %d refused: %s", copy["generation"], result.failure())
            return False
        self.environment_by_name[name] = result.unwrap()
        self._usable_by_environment[name] = copy["usable"]
        return True

    async def _run_hello(self) -> None:
        while True:
            self._send_hello()
            was_lost = self._agent_is_lost()
            await anyio.sleep(HELLO_SECONDS)
            if self._transport.is_reachable(self._agent):
                self._agent_heard_at = self._clock.now()
            if self._undecided_environments and self._agent_is_lost() != was_lost:
                self.on_change()

    def _send_hello(self) -> None:
        generations = {
            name: environment.generation for name, environment in self.environment_by_name.items()
        }
        message = Hello(kind="hello", member=self._member, generations=generations)
        if self._held_changes:
            message["held_changes"] = self._held_changes
        if self._own_announced_leaving:
            message["announced_leaving"] = self._own_announced_leaving
        self._transport.send(address=self._agent, message=message)

    def _load_files(self) -> None:
        for path in self._view.get("documents", []):
            result = parse_document(text=_read_file(path), source=path, generation=_FILE_GENERATION)
            if not isinstance(result, Success):
                raise ViewError(str(result.failure()))
            environment = result.unwrap()
            self.environment_by_name[environment.name] = environment
            self._usable_by_environment[environment.name] = True
        self.members = [_parse_member(line) for line in self._view.get("members", [])]
        self._update_own_member()
        self.is_loaded = True

    def _update_own_member(self) -> None:
        others = [member for member in self.members if member["name"] != self._member["name"]]
        self.members = [*others, self._member]


def _read_file(path: str) -> str:
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise ViewError(f"[view] documents: cannot read {path}: {error.strerror}") from error


def _parse_member(line: str) -> Member:
    words = line.split()
    if len(words) != 5 or words[1] not in get_args(Role):
        raise ViewError(
            f"[view] members: {line!r}: allowed: name role address region data_centre, "
            "where role is entry, dispatch or agent"
        )
    name, role, address, region, data_centre = words
    return Member(
        name=name,
        host=name,
        role=cast(Role, role),
        address=address,
        incarnation=0,
        region=region,
        data_centre=data_centre,
        state="live",
    )
