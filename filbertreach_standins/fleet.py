"""A complete local fleet as processes on loopback: stand-ins and all daemons."""

import contextlib
import json
import pathlib
import subprocess
import sys
import tempfile
from types import TracebackType
from typing import Any, NamedTuple, Self

from filbertreach_standins._process import StandInControl, StandInProcess
from filbertreach_standins.daemon_process import READY_SECONDS, DaemonProcess, FleetError

_ROOT = pathlib.Path(__file__).parent.parent


class FleetOptions(NamedTuple):
    """Size and behaviour of a local fleet."""

    services: int = 10
    """Number of services; each serves one shard."""
    leaves_per_service: int = 2
    """Number of leaves of each service."""
    slots: int = 2
    """Maximum number of calls that a leaf runs concurrently."""
    connections: int = 12
    """Maximum number of connections that a leaf accepts."""
    connect_cost_ms: float = 6.0
    """Cost of a new connection, in milliseconds."""
    service_ms: float = 2.0
    """Execution time of a call at a leaf, in milliseconds."""
    versions: tuple[int, ...] = (41,)
    """Index versions that leaves serve; the document marks each as serving."""
    leaf_processes: int = 2
    """Number of processes that the leaves are spread over."""
    dispatchers: int = 2
    """Number of dispatch processes without `hosts`."""
    entries: int = 1
    """Number of entry processes without `hosts`."""
    wait: str = "deadline"
    """Wait policy of the environment."""
    settings: dict[str, dict[str, str]] = {}
    """Additional settings by option by section, for all daemons."""
    policy: dict[str, str] = {}
    """Additional options of the section [policy] of the document."""
    leaf: dict[str, Any] = {}
    """Additional properties of the leaves."""
    hosts: int = 0
    """Number of hosts with an agent, an entry and a dispatch process each, which get documents and
    members from the stand-ins for the platform. 0: no agents; the processes use a fixed view."""
    trial: str = ""
    """Trial environment of the document; with hosts, the first document is promoted from it."""
    clients: str = "*"
    """Clients for which the application counter may query."""
    sections: str = ""
    """Additional sections of the document, for example clients and planned changes."""
    ctl: dict[str, str] = {}
    """Additional options of the section [ctl] in the settings of filbertreach-ctl."""


class Fleet:
    """Stand-ins and daemons of a local fleet; a context manager."""

    def __init__(self, *, options: FleetOptions, folder: pathlib.Path | None = None) -> None:
        """Prepares a fleet.

        Args:
            options: Size and behaviour.
            folder: Folder of settings and logs; a temporary one by default.
        """
        self.options = options
        self._stack = contextlib.ExitStack()
        self._folder = folder
        self.leaves_by_id: dict[str, StandInControl] = {}
        self.dispatchers: list[DaemonProcess] = []
        self.entries: list[DaemonProcess] = []
        self.agents: list[DaemonProcess] = []
        self.document = ""
        self.key_value: StandInControl | None = None
        self.host_list: StandInControl | None = None

    def __enter__(self) -> Self:
        """Starts all processes and waits until they are ready."""
        try:
            self._start()
        except BaseException:
            self._stack.close()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stops all processes, beginning with the entry processes."""
        self._stack.close()

    @property
    def folder(self) -> pathlib.Path:
        """Folder of settings and logs."""
        assert self._folder is not None
        return self._folder

    def shards(self) -> list[str]:
        """Returns the names of the shards."""
        return [f"fleet-{number}" for number in range(self.options.services)]

    def query_body(self, request_id: str, **changes: Any) -> dict[str, Any]:
        """Returns the body of a query that the document permits.

        Args:
            request_id: Request id.
            **changes: Fields to replace or add.
        """
        body = {
            "environment": "local",
            "application": "counter",
            "client": "hotel-azul",
            "rank": "booking",
            "deadline_ms": 2000,
            "request_id": request_id,
            "query": {"rows": 2},
        }
        return {**body, **changes}

    def _start(self) -> None:
        if self._folder is None:
            self._folder = pathlib.Path(
                self._stack.enter_context(tempfile.TemporaryDirectory(prefix="filbertreach-"))
            )
        self._start_leaves()
        self._stack.callback(self._stop_daemons)
        self.document = self.make_document()
        document_file = self.folder / "document.ini"
        document_file.write_text(self.document, encoding="utf-8")
        if self.options.hosts:
            self._start_with_agents(document_file)
        else:
            self._start_with_fixed_view(document_file)

    def _stop_daemons(self) -> None:
        """Stops entry processes, then dispatch processes, then agents; each kind concurrently."""
        for daemons in (self.entries, self.dispatchers, self.agents):
            for daemon in daemons:
                daemon.request_stop()
            for daemon in daemons:
                daemon.stop()

    def _start_with_fixed_view(self, document_file: pathlib.Path) -> None:
        self.dispatchers = [
            self._daemon("dispatch", f"dispatch-{number}")
            for number in range(self.options.dispatchers)
        ]
        self.entries = [
            self._daemon("entry", f"entry-{number}") for number in range(self.options.entries)
        ]
        members = [f"{d.name} dispatch {d.inbox} minho minho-1" for d in self.dispatchers]
        for daemon in [*self.dispatchers, *self.entries]:
            daemon.settings["view"] = {
                "documents": str(document_file),
                "members": "\n    ".join(["", *members]),
            }
            daemon.start()
        for daemon in [*self.dispatchers, *self.entries]:
            daemon.wait_ready()

    def _start_with_agents(self, document_file: pathlib.Path) -> None:
        for module in ("key_value", "host_list"):
            process = self._stack.enter_context(StandInProcess(module=module))
            setattr(self, module, process.control)
        assert self.key_value is not None and self.host_list is not None
        names = [f"host-{number}" for number in range(self.options.hosts)]
        self.set_host_list(names)
        for name in names:
            self.add_host(name)
        for agent in self.agents:
            agent.wait_listening()
        trial = self.options.trial
        if trial:
            document_file.write_text(self.make_document(trial), encoding="utf-8")
        self.ctl("apply", str(document_file), "--reason", "first document", "--wait", "30")
        if trial:
            self.ctl("promote", "local", "--from", trial, "--wait", "30")
        for daemon in [*self.agents, *self.dispatchers, *self.entries]:
            daemon.wait_ready()

    def set_host_list(self, names: list[str], leaving: frozenset[str] = frozenset()) -> None:
        """Sets the host list of the platform.

        Args:
            names: Entry hosts.
            leaving: The entry hosts that are leaving.
        """
        assert self.host_list is not None
        hosts = [
            {
                "host": name,
                "address": "127.0.0.1",
                "region": "minho",
                "data_centre": "minho-1",
                "kind": "entry",
                "state": "leaving" if name in leaving else "live",
            }
            for name in names
        ]
        self.host_list.request("PUT", "/admin/hosts", {"hosts": hosts})

    def add_host(self, name: str) -> None:
        """Starts the three daemons of a host without waiting until they are ready.

        Args:
            name: Host name.
        """
        agent = self._daemon("agent", f"{name}-agent")
        agent.settings["agent"] = {
            **agent.settings.get("agent", {}),
            "seeds": " ".join(other.inbox for other in self.agents[:3]),
        }
        dispatcher = self._daemon("dispatch", f"{name}-dispatch")
        entry = self._daemon("entry", f"{name}-entry")
        self.agents.append(agent)
        self.dispatchers.append(dispatcher)
        self.entries.append(entry)
        for daemon in (agent, dispatcher, entry):
            daemon.settings["process"]["host"] = name
            daemon.settings["platform"] = self._platform_settings()
            if daemon is not agent:
                daemon.settings["view"] = {"agent": agent.inbox}
            daemon.start()

    def _platform_settings(self) -> dict[str, str]:
        assert self.key_value is not None and self.host_list is not None
        return {
            "key_value_url": self.key_value.base_url,
            "host_list_url": self.host_list.base_url,
            "timeout_seconds": "1",
        }

    def ctl(
        self, *arguments: str, operator: str = "ana", check: bool = True
    ) -> subprocess.CompletedProcess[str]:
        """Runs filbertreach-ctl with the platform of the fleet.

        Args:
            *arguments: Verb and its arguments.
            operator: Operator whose key signs changes.
            check: Whether to raise an error if the exit code is not 0.

        Returns:
            The finished command with its output.

        Raises:
            FleetError: The command failed although `check` is set.
        """
        settings = self.ctl_settings(operator)
        completed = subprocess.run(
            [sys.executable, "-m", "filbertreach.ctl", *arguments, "--settings", str(settings)],
            capture_output=True,
            text=True,
            cwd=_ROOT,
            check=False,
            timeout=READY_SECONDS * 3,
        )
        if check and completed.returncode != 0:
            raise FleetError(
                f"ctl {arguments} exited with {completed.returncode}\n"
                f"{completed.stdout}{completed.stderr}"
            )
        return completed

    def ctl_settings(self, operator: str = "ana") -> pathlib.Path:
        """Writes the settings of filbertreach-ctl for an operator.

        Args:
            operator: ana or rui.

        Returns:
            The settings file.
        """
        folder = self.folder / "ctl"
        folder.mkdir(exist_ok=True)
        keys = folder / "operators"
        if not keys.exists():
            names = ("ana", "rui")
            keys.touch(mode=0o600)
            keys.write_text("".join(f"{name} {name * 12}\n" for name in names))
            for name in names:
                key = folder / f"{name}.key"
                key.touch(mode=0o600)
                key.write_text(f"{name * 12}\n")
        settings = folder / f"{operator}.ini"
        platform = "\n".join(f"{k} = {v}" for k, v in self._platform_settings().items())
        options = "".join(f"{key} = {value}\n" for key, value in self.options.ctl.items())
        settings.write_text(
            f"[ctl]\noperator = {operator}\nkey_file = {folder / operator}.key\n"
            f"keys_file = {keys}\n{options}[platform]\n{platform}\n"
        )
        return settings

    def _daemon(self, program: str, name: str) -> DaemonProcess:
        settings = {section: dict(values) for section, values in self.options.settings.items()}
        return DaemonProcess(program=program, name=name, folder=self.folder, settings=settings)

    def _start_leaves(self) -> None:
        definitions = [
            {
                "leaf_id": f"fleet-{service}-{letter}",
                "slots": self.options.slots,
                "connections": self.options.connections,
                "connect_cost_ms": self.options.connect_cost_ms,
                "service_ms": self.options.service_ms,
                "versions": list(self.options.versions),
                "shards": [f"fleet-{service}"],
                **self.options.leaf,
            }
            for service in range(self.options.services)
            for letter in "abcdefgh"[: self.options.leaves_per_service]
        ]
        count = min(self.options.leaf_processes, len(definitions))
        for number in range(count):
            config = self.folder / f"leaves-{number}.json"
            config.write_text(json.dumps(definitions[number::count]), encoding="utf-8")
            process = self._stack.enter_context(
                StandInProcess(module="leaf", arguments=["--config", str(config)])
            )
            self.leaves_by_id.update({control.id: control for control in process.controls})

    def make_document(self, name: str = "local") -> str:
        """Returns the environment document for the running leaves.

        Args:
            name: Environment name.
        """
        options = self.options
        parts = [
            f"[environment]\nname = {name}\n",
            *([f"trial = {options.trial}\n"] if options.trial and name != options.trial else []),
            "[policy]",
            f"wait = {options.wait}",
            *(f"{key} = {value}" for key, value in options.policy.items()),
            f"[pool counter]\nslots = {options.slots}\nconnections = {options.connections}",
            f"connect_cost_ms = {options.connect_cost_ms:g}",
        ]
        for shard in self.shards():
            leaves = [
                f"    {leaf_id} {control.address} minho/minho-1"
                for leaf_id, control in self.leaves_by_id.items()
                if leaf_id.rsplit("-", 1)[0] == shard
            ]
            parts += [f"[service {shard}]", "pool = counter", "leaves =", *leaves]
        parts += ["[map one]", "shards =", *(f"    {s} {s}" for s in self.shards())]
        for version in options.versions:
            parts.append(f"[snapshot {version}]\nmap = one\nstate = serving")
        parts += [
            "[rank booking]\npriority = 0\ntarget_ms = 90\nworth = 100\nkept_share = 0.2",
            "[rank search]\npriority = 1\ntarget_ms = 250\nworth = 10\nkept_share = 0.2",
            "[rank invoicing]\npriority = 2\ntarget_ms = 2000\nworth = 1\nkept_share = 0.1",
            "[application counter]\nshards = fleet-*\nranks = booking search invoicing"
            f"\nclients = {options.clients}",
            "[application workshop-7]\nshards = fleet-0\nranks = search",
            options.sections,
        ]
        return "\n".join(parts) + "\n"
