"""Agent processes on this machine with stand-ins for the platform and injectable partitions."""

import contextlib
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import urllib.error
import urllib.request
from types import TracebackType
from typing import Any, NamedTuple, Self

import anyio
import anyio.to_thread

from filbertreach.membership import ViewClient
from filbertreach.observability import new_incarnation
from filbertreach.platform import KeyValueClient
from filbertreach.schema import ProcessSection, ViewSection
from filbertreach.transport import Peer, ReceivedMessage, Transport
from filbertreach_standins._process import StandInControl, StandInProcess
from filbertreach_standins.link_relay import LinkRelay
from filbertreach_standins.ports import free_address

_ROOT = pathlib.Path(__file__).parent.parent
_STOP_TIMEOUT_SECONDS = 30.0
_RESPONSE_TIMEOUT_SECONDS = 5.0
REGIONS = ("minho", "ribatejo", "alentejo")
"""Regions to which hosts are assigned in turn."""


class HostSlot(NamedTuple):
    """Addresses and relays of one host."""

    name: str
    """Host name."""
    region: str
    """Region."""
    inbox: LinkRelay
    """Relay in front of the inbox of the agent."""
    store: LinkRelay
    """Relay between the agent and the key-value service."""
    http: str
    """ip:port of the HTTP interface of the agent."""
    settings: pathlib.Path
    """Settings file of the agent."""


class AgentFleet:
    """Runs hosts with one agent process each; an async context manager."""

    def __init__(self, *, hosts: int, agent_options: dict[str, Any] | None = None) -> None:
        """Prepares a fleet without starting it.

        Args:
            hosts: Number of hosts, which are named host-1, host-2 and so on.
            agent_options: Additional options of the section [agent].
        """
        self.slot_by_host: dict[str, HostSlot] = {}
        self.partitioned_pairs: set[frozenset[str]] = set()
        """Pairs of hosts whose agents can't reach each other."""
        self.partitioned_from_store: set[str] = set()
        """Hosts whose agents can't reach the key-value service."""
        self._host_count = hosts
        self._agent_options = agent_options or {}
        self._process_by_host: dict[str, subprocess.Popen[bytes]] = {}
        self._host_by_address: dict[str, str] = {}
        self._stack = contextlib.AsyncExitStack()
        self._folder = pathlib.Path()
        self.key_value: StandInControl
        self.host_list: StandInControl
        self.client: KeyValueClient

    async def __aenter__(self) -> Self:
        """Starts the stand-ins and relays, but no agent."""
        stack = self._stack
        self._folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        self.key_value = stack.enter_context(StandInProcess(module="key_value")).control
        self.host_list = stack.enter_context(StandInProcess(module="host_list")).control
        self.client = await stack.enter_async_context(
            KeyValueClient(
                base_url=self.key_value.base_url, timeout_seconds=_RESPONSE_TIMEOUT_SECONDS
            )
        )
        for number in range(1, self._host_count + 1):
            await self._add_host(f"host-{number}", REGIONS[(number - 1) % len(REGIONS)])
        for slot in self.slot_by_host.values():
            self._write_settings(slot)
        stack.callback(self._kill_all)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        """Ends every process and relay."""
        return await self._stack.__aexit__(kind, error, trace)

    async def _add_host(self, name: str, region: str) -> None:
        def is_blocked(sender: str) -> bool:
            return (
                frozenset((name, self._host_by_address.get(sender, ""))) in self.partitioned_pairs
            )

        inbox = LinkRelay(target=free_address(), is_blocked=is_blocked)
        store = LinkRelay(
            target=self.key_value.address,
            is_blocked=lambda _sender: name in self.partitioned_from_store,
            decodes_frames=False,
        )
        await self._stack.enter_async_context(inbox)
        await self._stack.enter_async_context(store)
        settings = self._folder / f"{name}.ini"
        self.slot_by_host[name] = HostSlot(name, region, inbox, store, free_address(), settings)
        self._host_by_address[inbox.address] = name

    def _write_settings(self, slot: HostSlot) -> None:
        seeds = [other.inbox.address for other in self.slot_by_host.values()][:3]
        options = {"seeds": " ".join(seeds), **self._agent_options}
        lines = [
            "[process]",
            f"name = agent-{slot.name}",
            f"host = {slot.name}",
            f"region = {slot.region}",
            f"data_centre = {slot.region}-1",
            f"inbox = {slot.inbox.address}",
            f"inbox_listen = {slot.inbox.target}",
            f"http = {slot.http}",
            "drain_seconds = 5",
            "[platform]",
            f"key_value_url = http://{slot.store.address}",
            f"host_list_url = {self.host_list.base_url}",
            "timeout_seconds = 1",
            "[agent]",
            *(f"{name} = {value}" for name, value in options.items()),
        ]
        slot.settings.write_text("\n".join(lines) + "\n", encoding="utf-8")

    def start(self, *hosts: str) -> None:
        """Starts the agents of the given hosts, or of all hosts if none is given."""
        for host in hosts or self.slot_by_host:
            log = (self._folder / f"{host}.log").open("ab")
            with log:
                self._process_by_host[host] = subprocess.Popen(
                    [
                        sys.executable,
                        "-m",
                        "filbertreach.agent",
                        "--settings",
                        str(self.slot_by_host[host].settings),
                    ],
                    cwd=_ROOT,
                    stderr=log,
                )

    def signal(self, host: str, number: signal.Signals) -> None:
        """Sends a signal to a host's agent."""
        self._process_by_host[host].send_signal(number)

    async def stop(self, host: str) -> int:
        """Stops a host's agent gracefully and returns its exit code."""
        process = self._process_by_host.pop(host)
        process.terminate()
        return await anyio.to_thread.run_sync(process.wait, _STOP_TIMEOUT_SECONDS)

    def kill(self, host: str) -> None:
        """Kills a host's agent."""
        process = self._process_by_host.pop(host)
        process.kill()
        process.wait()

    def _kill_all(self) -> None:
        for host in list(self._process_by_host):
            self.kill(host)

    def log(self, host: str) -> str:
        """Returns the log of a host's agent."""
        return (self._folder / f"{host}.log").read_text(encoding="utf-8")

    def _restart_if_port_was_taken(self, host: str) -> None:
        """Restarts an agent on other ports if another socket took one before the agent listened."""
        process = self._process_by_host.get(host)
        if process is None or process.poll() is None or "can't listen on" not in self.log(host):
            return
        slot = self.slot_by_host[host]
        slot.inbox.target = free_address()
        self.slot_by_host[host] = slot._replace(http=free_address())
        self._write_settings(self.slot_by_host[host])
        (self._folder / f"{host}.log").unlink()
        self.start(host)

    def process_id(self, host: str) -> int:
        """Returns the process id of a host's agent."""
        return self._process_by_host[host].pid

    def partition_regions(self, *regions: str, from_store: bool = True) -> None:
        """Partitions regions from all other regions and from the key-value service.

        Args:
            *regions: Regions to isolate, also from each other.
            from_store: Whether their agents lose the key-value service as well.
        """
        for slot in self.slot_by_host.values():
            if slot.region not in regions:
                continue
            if from_store:
                self.partitioned_from_store.add(slot.name)
            for other in self.slot_by_host.values():
                if other.region != slot.region:
                    self.partitioned_pairs.add(frozenset((slot.name, other.name)))

    def heal_partitions(self) -> None:
        """Ends all partitions."""
        self.partitioned_pairs.clear()
        self.partitioned_from_store.clear()

    async def get(self, host: str, path: str) -> tuple[int, str]:
        """Sends a GET request to the HTTP interface of a host's agent.

        Returns:
            Status and body; status 0 if the agent does not answer.
        """
        self._restart_if_port_was_taken(host)
        return await anyio.to_thread.run_sync(
            _http_get, f"http://{self.slot_by_host[host].http}{path}"
        )

    async def is_ready(self, host: str) -> bool:
        """Returns whether a host's agent is ready."""
        status, _body = await self.get(host, "/readyz")
        return status == 200

    async def metric(self, host: str, name: str) -> float:
        """Returns the value of a metric, 0 if it does not exist.

        Args:
            host: Host name.
            name: Metric name with its labels in the text format.
        """
        _status, body = await self.get(host, "/metrics")
        for line in body.splitlines():
            if line.startswith(name + " "):
                return float(line.rsplit(" ", 1)[1])
        return 0.0

    async def record(self, host: str) -> dict[str, Any]:
        """Returns a host's record in the key-value service, empty if there is none."""
        key = f"filbertreach/hosts/{host}"
        # Stale reads don't affect a watch, and stalled watches don't affect a get.
        watched = await self.client.watch(key, 0, 0.0)
        for event in watched.map(lambda batch: batch.events).value_or(()):
            if event.key == key:
                return dict(json.loads(event.value)) if event.value is not None else {}
        result = await self.client.get(key)
        return result.map(lambda item: dict(json.loads(item.value))).value_or({})


class ViewOnlyDaemon:
    """An entry or dispatch process that only follows its view; an async context manager."""

    def __init__(self, *, fleet: AgentFleet, host: str, role: str = "entry") -> None:
        """Prepares the transport and the view without starting them.

        Args:
            fleet: Fleet that the host belongs to.
            host: Host name.
            role: entry or dispatch.
        """
        slot = fleet.slot_by_host[host]
        address = free_address()
        self.transport = Transport(
            name=f"{role}-{host}", address=address, incarnation=new_incarnation(), events=self
        )
        process = ProcessSection(
            name=f"{role}-{host}",
            host=host,
            region=slot.region,
            data_centre=f"{slot.region}-1",
            inbox=address,
            http=address,
        )
        self.view = ViewClient(
            process=process,
            view=ViewSection(agent=slot.inbox.address),
            role="dispatch" if role == "dispatch" else "entry",
            transport=self.transport,
        )
        self.generations_seen: list[int] = []
        """Generations of the first environment, in the order in which they came into force."""
        self._stack = contextlib.AsyncExitStack()

    def on_message(self, received: ReceivedMessage) -> None:
        """Passes a message to the view and records a new generation."""
        self.view.on_view(received)
        for environment in list(self.view.environment_by_name.values())[:1]:
            if environment.generation not in self.generations_seen[-1:]:
                self.generations_seen.append(environment.generation)

    def on_peer_lost(self, peer: Peer) -> None:
        """Ignores the loss of the agent."""

    async def __aenter__(self) -> Self:
        """Starts to register with the agent as a live process."""
        await self._stack.enter_async_context(self.transport)
        await self._stack.enter_async_context(self.view)
        self.view.set_state("live")
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        """Stops the view and the transport."""
        return await self._stack.__aexit__(kind, error, trace)


def _http_get(url: str) -> tuple[int, str]:
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(url, timeout=_RESPONSE_TIMEOUT_SECONDS) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        with error:
            return error.code, error.read().decode()
    except OSError:
        return 0, ""
