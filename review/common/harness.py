"""Stand-ins for the store, the leafs and the platform, and raw clients, for the scripts of cases.

Only the standard library is used. Everything listens on loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, Self

ROOT = pathlib.Path(__file__).resolve().parents[2]
"""Root of the repository, where the deploy file starts the program."""
HOST = "pupu76.example"
"""Host name of all routes."""
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_window_ms": 5000,
    "ack_ms": 6000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "downgrade_slack_ms": 250,
    "skew_max_ms": 15000,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 54,
    "recovery_s": 12,
}
"""Bounds of the small site esplanada-busca."""


def free_port() -> int:
    """Returns a free port of 127.0.0.1."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


class Record:
    """Writes what was sent, answered and run to `record.txt` in the folder of the case."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Creates an empty record.

        Args:
            folder: Folder of the case.
        """
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Writes a line with the seconds since the start of the script.

        Args:
            text: The line.
        """
        self._file.write(f"{time.monotonic() - self._began:8.3f} s  {text}\n")
        self._file.flush()


class Request(NamedTuple):
    """A request as it arrived at a stand-in."""

    method: str
    """HTTP method."""
    target: str
    """Path and query."""
    headers: dict[str, str]
    """Headers by lower-case name."""
    body: bytes
    """Body."""


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Reads a request or a response with a content length or chunks.

    Args:
        reader: Connection.

    Returns:
        First line, headers and body; None at the end of the connection.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.lower()] = value.strip()
    try:
        body = b""
        if headers.get("transfer-encoding", "") == "chunked":
            while True:
                size = int(await reader.readline(), 16)
                body += (await reader.readexactly(size + 2))[:-2]
                if not size:
                    break
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


def encode_answer(
    status: int, headers: dict[str, str] | None = None, body: bytes = b"", *, close: bool = False
) -> bytes:
    """Encodes a response.

    Args:
        status: HTTP status.
        headers: Headers.
        body: Body.
        close: Whether the connection is closed afterwards.
    """
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a reset."""
    raw = writer.get_extra_info("socket")
    if raw is not None:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Store:
    """The platform's store: range reads and watches over all keys."""

    def __init__(self) -> None:
        """Creates a store without keys."""
        self.address = ""
        self._revision = 10
        self._item_by_key: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def put(self, key: str, value: Any, *, keep_events: int = 5000) -> int:
        """Writes a key, or removes it if the value is None.

        Args:
            key: The key.
            value: JSON value, or bytes as they are.
            keep_events: Length of the history.

        Returns:
            The revision, which acknowledges the write.
        """
        self._revision += 1
        event: dict[str, Any] = {"key": key, "revision": self._revision}
        if value is None:
            self._item_by_key.pop(key, None)
            event["compacted"] = True
        else:
            data = value if isinstance(value, bytes) else json.dumps(value).encode()
            old = self._item_by_key.get(key)
            event["value"] = base64.b64encode(data).decode()
            event["created_rev"] = old["created_rev"] if old else self._revision
            event["lease_id"] = 0
            self._item_by_key[key] = event
        self._events.append(event)
        del self._events[:-keep_events]
        self._changed.set()
        self._changed = asyncio.Event()
        return self._revision

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                target = message[0].split(" ")[1]
                path, _, query_text = target.partition("?")
                query = dict(p.split("=", 1) for p in query_text.split("&") if "=" in p)
                body = json.dumps(await self._answer(path, query)).encode()
                headers = {"Content-Type": "application/json"}
                writer.write(encode_answer(200, headers, body))
                await writer.drain()
        writer.close()

    async def _answer(self, path: str, query: dict[str, str]) -> dict[str, Any]:
        if path == "/-/kv-range":
            items = [self._item_by_key[key] for key in sorted(self._item_by_key)]
            return {"items": items, "has_more": False, "at_rev": self._revision}
        after = int(query["after"])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                while self._revision <= after:
                    await self._changed.wait()
        return {
            "events": [event for event in self._events if event["revision"] > after],
            "at_rev": self._revision,
        }


Behaviour = Callable[["Leaf", Request, asyncio.StreamWriter], Awaitable[bool]]
"""Answers a request at a leaf; returns whether the connection stays open."""


class Leaf:
    """A leaf; runs one request at a time on a connection, and any number of connections."""

    def __init__(
        self,
        *,
        name: str,
        service: str,
        record: Record,
        behaviour: Behaviour,
        slots: int = 4,
        idle_seconds: int | None = None,
    ) -> None:
        """Creates a leaf that does not listen yet.

        Args:
            name: Its id.
            service: Its service.
            record: Record of the case.
            behaviour: Answers the requests that it runs.
            slots: Requests that it runs at once, as it tells the store.
            idle_seconds: Time after which it closes an idle connection, stated in `Keep-Alive`.
        """
        self.name = name
        self.service = service
        self.slots = slots
        self.address = ""
        self.run_ids: list[str] = []
        """Ids of the requests that it began to work on, in order."""
        self.runs: list[Request] = []
        """The same requests."""
        self.connections = 0
        """Connections accepted so far."""
        self.relay: Relay | None = None
        """Proxy before the leaf; the store then names the address of the proxy."""
        self._idle_seconds = idle_seconds
        self._record = record
        self._behaviour = behaviour
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def entry(self, *, state: str = "ready") -> dict[str, Any]:
        """Returns its entry in the store.

        Args:
            state: ready or draining.
        """
        return {
            "service": self.service,
            "address": self.relay.address if self.relay else self.address,
            "zone": "braga-a",
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "sequence": 1,
            "born": 1_790_000_000_000,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        with contextlib.suppress(ConnectionError, TimeoutError, asyncio.CancelledError):
            while True:
                message = await asyncio.wait_for(read_message(reader), self._idle_seconds)
                if message is None:
                    break
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                request = Request(method, target, headers, body)
                request_id = headers.get("x-request-id", "")
                if headers.get("x-expect-instance", self.name) != self.name:
                    answer = {"X-Not-Executed": "1", "X-Request-Id": request_id}
                    writer.write(encode_answer(421, answer))
                    continue
                self.run_ids.append(request_id)
                self.runs.append(request)
                self._record.write(f"leaf {self.name} runs {request_id} ({method} {target})")
                if not await self._behaviour(self, request, writer):
                    break
                await writer.drain()
        writer.close()

    def answer(self, request: Request, body: bytes, *, status: int = 200) -> bytes:
        """Returns its signed answer to a request.

        Args:
            request: The request.
            body: Body.
            status: HTTP status.
        """
        request_id = request.headers.get("x-request-id", "")
        headers = {
            "X-Request-Id": request_id,
            "X-Server-Stamp": f"{self.name}.{request_id}.{status}",
        }
        if self._idle_seconds is not None:
            headers["Keep-Alive"] = f"timeout={self._idle_seconds}"
        return encode_answer(status, headers, body)


class Relay:
    """A loopback proxy whose open connections can go silent for good."""

    def __init__(self, *, target: str) -> None:
        """Creates a relay that does not listen yet.

        Args:
            target: ip:port to which it connects.
        """
        self.address = ""
        self.open = 0
        """Connections that are open and not silent."""
        self._target = target
        self._silence = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def silence(self) -> None:
        """Lets the open connections swallow everything, in both directions, and stay open."""
        self._silence.set()
        self._silence = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        silence = self._silence
        host, _, port = self._target.rpartition(":")
        try:
            back_reader, back_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        self.open += 1
        copying = [
            asyncio.create_task(self._copy(reader, back_writer, silence)),
            asyncio.create_task(self._copy(back_reader, writer, silence)),
        ]
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait(copying, return_when=asyncio.FIRST_COMPLETED)
        self.open -= 1
        if silence.is_set():
            # The connection stays open until the gateway closes it.
            with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                while await reader.read(65536):
                    pass
        for task in copying:
            task.cancel()
        writer.close()
        back_writer.close()

    @staticmethod
    async def _copy(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, silence: asyncio.Event
    ) -> None:
        silenced = asyncio.create_task(silence.wait())
        try:
            while True:
                read = asyncio.create_task(reader.read(65536))
                await asyncio.wait([read, silenced], return_when=asyncio.FIRST_COMPLETED)
                if silence.is_set():
                    read.cancel()
                    return
                data = read.result()
                if not data:
                    return
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            return
        finally:
            silenced.cancel()


class Answer(NamedTuple):
    """What a client got for a request."""

    status: int
    """HTTP status; 0 if the connection ended without a complete answer."""
    headers: dict[str, str]
    """Headers by lower-case name."""
    body: bytes
    """Body."""


class Client:
    """A client that keeps one connection to a gateway."""

    def __init__(self, *, gateway: "Gateway", record: Record) -> None:
        """Creates a client without a connection.

        Args:
            gateway: The gateway.
            record: Record of the case.
        """
        self.gateway = gateway
        self._record = record
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def connect(self) -> None:
        """Opens the connection.

        Raises:
            OSError: The gateway does not accept it.
        """
        host, _, port = self.gateway.front.rpartition(":")
        self._streams = await asyncio.open_connection(host, int(port))

    async def request(
        self,
        path: str,
        request_id: str,
        *,
        method: str = "GET",
        deadline_ms: int = 3000,
        body: bytes = b"",
    ) -> Answer:
        """Sends a request and reads its answer.

        Args:
            path: Path.
            request_id: Id of this attempt.
            method: HTTP method.
            deadline_ms: Time that the client waits.
            body: Body.

        Returns:
            The answer.

        Raises:
            OSError: There is no connection, and none could be opened.
        """
        if self._streams is None:
            await self.connect()
        assert self._streams is not None
        reader, writer = self._streams
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {deadline_ms}",
        ]
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self._record.write(f"client sends {request_id} to {self.gateway.name}: {lines[0]}")
        answer = Answer(0, {}, b"")
        try:
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            async with asyncio.timeout(deadline_ms / 1000):
                message = await read_message(reader)
            if message is not None:
                answer = Answer(int(message[0].split(" ")[1]), message[1], message[2])
            self._record.write(
                f"client gets for {request_id}: "
                + (f"{answer.status}" if message else "closed without a complete answer")
            )
        except (ConnectionError, TimeoutError) as error:
            self._record.write(f"client gets for {request_id}: no answer, {error!r}")
        if answer.status == 0 or answer.headers.get("connection", "") == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Closes the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


class Gateway:
    """The program of the deploy file as a process, and what the platform does with it."""

    def __init__(
        self, *, name: str, store: Store, folder: pathlib.Path, record: Record, **bounds: Any
    ) -> None:
        """Writes the settings file; `start` starts the process.

        Args:
            name: Name of the machine.
            store: The platform's store.
            folder: Folder for the settings file and the log.
            record: Record of the case.
            **bounds: Bounds that differ from `BOUNDS`.
        """
        self.name = name
        self.front, self.ready, self.control = (f"127.0.0.1:{free_port()}" for _ in range(3))
        self.process: asyncio.subprocess.Process | None = None
        self.log = folder / f"{name}.log"
        self.settings = folder / f"{name}.toml"
        self._record = record
        self._store = store
        self._bounds = {**BOUNDS, **bounds}
        self.write_settings()

    def write_settings(self) -> None:
        """Writes the settings file, as the platform does at a start and at a change."""
        bounds = "\n".join(f"{key} = {value}" for key, value in self._bounds.items())
        text = f"""
node_name = "{self.name}"
role = "gateway"
machine_class = "front"
serves = ["front","control"]
ip = "127.0.0.1"
zone = "braga-a"
region = "minho"
internal_ports = [7380,7395]
seeds = ["{self.control}"]
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[zones]
braga-a = "minho"
santarem-a = "ribatejo"
evora-a = "alentejo"
[listen]
front = "{self.front}"
ready = "{self.ready}"
control = "{self.control}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
{bounds}
[platform]
address = "{self._store.address}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""
        temporary = self.settings.with_suffix(".new")
        temporary.write_text(text)
        temporary.replace(self.settings)

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        command = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["gateway"]
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["FILBERTREACH_BOOT"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.write(f"platform starts {self.name}")

    @property
    def running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self.process is not None and self.process.returncode is None

    async def is_ready(self) -> bool:
        """Returns whether the machine answers the readiness check with 200."""
        host, _, port = self.ready.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                message = await read_message(reader)
                writer.close()
        except (OSError, TimeoutError):
            return False
        return message is not None and message[0].split(" ")[1] == "200"

    async def wait_ready(self, seconds: float = 20.0) -> None:
        """Waits until the machine is ready.

        Args:
            seconds: Longest wait.

        Raises:
            CannotRunError: It is not ready by then.
        """
        until = time.monotonic() + seconds
        while not await self.is_ready():
            if time.monotonic() > until or not self.running:
                raise CannotRunError(f"{self.name} is not ready: {self.log.read_text()[-1500:]}")
            await asyncio.sleep(0.05)
        self._record.write(f"{self.name} is ready")

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process.

        Args:
            number: The signal.
        """
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)
        self._record.write(f"platform sends {number.name} to {self.name}")

    def resident_mb(self) -> float:
        """Returns the resident memory of the process in MB, 0 if it has ended."""
        assert self.process is not None
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        return int(status.split("VmRSS:")[1].split()[0]) / 1024 if "VmRSS:" in status else 0.0

    async def end(self) -> None:
        """Kills the process if it runs."""
        if self.running:
            assert self.process is not None
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


class CannotRunError(Exception):
    """The case could not be run."""


class Case:
    """What a script has: a record, a store, and the leafs and gateways that it starts."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Creates a case without processes.

        Args:
            folder: Folder of the case.
        """
        self.record = Record(folder)
        self.store = Store()
        self.leafs: list[Leaf] = []
        self.gateways: list[Gateway] = []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        """Whether the disruption is applied."""
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._temporary.name)
        """Temporary folder."""

    async def __aenter__(self) -> Self:
        """Starts the store."""
        await self.store.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Ends all processes."""
        for gateway in self.gateways:
            await gateway.end()
        self._temporary.cleanup()

    async def add_leaf(
        self,
        name: str,
        service: str,
        behaviour: Behaviour,
        *,
        slots: int = 4,
        idle_seconds: int | None = None,
        relayed: bool = False,
    ) -> Leaf:
        """Starts a leaf and registers it in the store.

        Args:
            name: Its id.
            service: Its service.
            behaviour: Answers the requests that it runs.
            slots: Requests that it runs at once.
            idle_seconds: Time after which it closes an idle connection, stated in `Keep-Alive`.
            relayed: Whether gateways reach it through a relay.
        """
        leaf = Leaf(
            name=name,
            service=service,
            record=self.record,
            behaviour=behaviour,
            slots=slots,
            idle_seconds=idle_seconds,
        )
        await leaf.start()
        if relayed:
            leaf.relay = Relay(target=leaf.address)
            await leaf.relay.start()
        self.leafs.append(leaf)
        self.store.put(f"servers/{name}", leaf.entry())
        return leaf

    async def add_gateway(self, name: str, *, wait: bool = True, **bounds: Any) -> Gateway:
        """Starts a gateway.

        Args:
            name: Name of the machine.
            wait: Whether to wait until it is ready.
            **bounds: Bounds that differ from `BOUNDS`.
        """
        gateway = Gateway(
            name=name, store=self.store, folder=self.folder, record=self.record, **bounds
        )
        self.gateways.append(gateway)
        await gateway.start()
        if wait:
            await gateway.wait_ready()
        return gateway


def configuration(
    version: int, routes: list[dict[str, Any]], services: dict[str, int]
) -> dict[str, Any]:
    """Returns a configuration.

    Args:
        version: Its version.
        routes: Routes; `host`, `attempts` and `priority` have defaults.
        services: `max_conns` by service.
    """
    return {
        "version": version,
        "routes": [{"host": HOST, "attempts": 2, "priority": 1, **route} for route in routes],
        "services": [{"name": name, "max_conns": limit} for name, limit in services.items()],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 60000,
        },
    }


def run(folder: pathlib.Path, main: Callable[[Case], Awaitable[str]]) -> None:
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    Args:
        folder: Folder of the case.
        main: Returns what broke the rule, empty if it held.
    """

    async def whole() -> int:
        async with Case(folder) as case:
            try:
                broken = await asyncio.wait_for(main(case), 115.0)
            except (CannotRunError, OSError, TimeoutError) as error:
                case.record.write(f"the case couldn't run: {error!r}")
                print(f"couldn't run: {error!r}")
                return 2
            case.record.write(f"rule broken: {broken}" if broken else "the rule held")
            print(f"rule broken: {broken}" if broken else "the rule held")
            return 1 if broken else 0

    sys.exit(asyncio.run(whole()))
