"""A small deployment on loopback: gateways as processes; store, leaves and clients in this one.

Only the standard library is used. The gateways are started with the command of the deploy file.
The stand-ins follow PROTOCOL.md; where it is silent, they behave like sound ones.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import signal
import socket
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONE = "baia-mare"
REGION_BY_ZONE = {"baia-mare": "maramures", "sibiu": "transilvania", "ploiesti": "muntenia"}
HOST = "shop.example"
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_window_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "downgrade_slack_ms": 250,
    "skew_max_ms": 12000,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 56,
    "recovery_s": 12,
}
"""Bounds of the small site galeata-reach, as its sheet in SYSTEM.md lists them."""


def free_port(host: str = "127.0.0.1") -> int:
    """Returns a port that is free now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


class Record:
    """Writes lines with the time since the start to record.txt."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Opens the record of a case."""
        self._file = (folder / "record.txt").open("w")
        self._start = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._start

    def write(self, text: str) -> None:
        """Writes a line."""
        print(f"{self.now():8.3f} {text}", file=self._file, flush=True)


class Message:
    """The head and body of an HTTP/1.1 message."""

    def __init__(self, first: str, headers: list[tuple[str, str]], body: bytes) -> None:
        """Stores a message; names of headers are in lower case."""
        self.first, self.headers, self.body = first, headers, body

    def get(self, name: str, default: str = "") -> str:
        """Returns the last value of a header."""
        return next((v for n, v in reversed(self.headers) if n == name), default)


async def read_message(reader: asyncio.StreamReader, *, response: bool = False) -> Message | None:
    """Reads a message with a length, in chunks or, for a response, until the end; None at EOF."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1")[:-4].split("\r\n")
    headers = []
    for line in lines:
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    message = Message(first, headers, b"")
    try:
        if "chunked" in message.get("transfer-encoding"):
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                message.body += await reader.readexactly(size)
                await reader.readexactly(2)
            while await reader.readuntil(b"\r\n") != b"\r\n":
                pass
        elif length := message.get("content-length"):
            message.body = await reader.readexactly(int(length))
        elif response and " 204 " not in first:
            message.body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


def encode(first: str, headers: list[tuple[str, str]], body: bytes) -> bytes:
    """Encodes a message with a length."""
    lines = [first, *(f"{n}: {v}" for n, v in headers), f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """A stand-in that serves HTTP/1.1 on a loopback address."""

    address = ""

    async def start(self, host: str = "127.0.0.1") -> None:
        """Starts to listen on a free port."""
        self._writers: set[asyncio.StreamWriter] = set()
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        raise NotImplementedError


class Store(Server):
    """The platform's store, as far as the gateways call it: range reads and watches."""

    def __init__(self) -> None:
        """Creates an empty store."""
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self._changed = asyncio.Event()

    def put(self, values: dict[str, Any]) -> None:
        """Writes values as JSON; None removes a key."""
        for key, value in values.items():
            self.revision += 1
            item: dict[str, Any] = {"key": key, "revision": self.revision}
            if value is None:
                self.items.pop(key, None)
                item["compacted"] = True
            else:
                item["value"] = base64.b64encode(json.dumps(value).encode()).decode()
                item.update(created_rev=self.revision, lease_id=0)
                self.items[key] = item
            self.events.append(item)
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the calls of a connection."""
        while (request := await read_message(reader)) is not None:
            target = urllib.parse.urlsplit(request.first.split(" ")[1])
            query = dict(urllib.parse.parse_qsl(target.query, keep_blank_values=True))
            status, body = await self._answer(target.path, query)
            text = json.dumps(body).encode()
            headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
            writer.write(encode(f"HTTP/1.1 {status} Answer", headers, text))
            await writer.drain()

    async def _answer(self, path: str, query: dict[str, str]) -> tuple[int, Any]:
        prefix = query.get("prefix", "")
        if path == "/-/kv-range":
            items = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(prefix) and key > query.get("after", "")
            ]
            return 200, {"items": items, "at_rev": self.revision, "has_more": False}
        if path == "/-/kv-watch":
            after, until = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
            while self.revision <= after and (left := until - time.monotonic()) > 0:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left)
            events = [event for event in self.events if event["revision"] > after]
            return 200, {"events": events, "at_rev": self.revision}
        return 404, {}


Behaviour = Callable[["Leaf", Message, asyncio.StreamWriter], Awaitable[bytes | None]]


class Leaf(Server):
    """A leaf; `behaviour` returns the answer of a request that it runs, None to close."""

    def __init__(
        self, leaf_id: str, service: str, record: Record, behaviour: Behaviour | None = None
    ) -> None:
        """Creates a leaf that answers at once."""
        self.id, self.service, self.record = leaf_id, service, record
        self.behaviour = behaviour
        self.runs: list[tuple[float, str]] = []
        self.born = int(time.time() * 1000)

    def entry(self, state: str = "ready", sequence: int = 1) -> dict[str, Any]:
        """Returns the entry of the leaf in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": ZONE,
            "version": "1",
            "slots": 4,
            "state": state,
            "cold_left_ms": 0,
            "sequence": sequence,
            "born": self.born,
        }

    def answer(self, request: Message, status: int = 200, body: bytes = b"") -> bytes:
        """Returns the signed answer to a request."""
        request_id = request.get("x-request-id")
        stamp = f"{self.id}.{request_id}.{len(self.runs)}.{status}"
        headers = [("X-Request-Id", request_id), ("X-Server-Stamp", stamp)]
        return encode(f"HTTP/1.1 {status} Answer", headers, body or f"of {self.id}\n".encode())

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Runs the requests of a connection."""
        while (request := await read_message(reader)) is not None:
            request_id = request.get("x-request-id")
            if request.get("x-expect-instance", self.id) != self.id:
                headers = [("X-Request-Id", request_id), ("X-Not-Executed", "1")]
                writer.write(encode("HTTP/1.1 421 Other", headers, b""))
                continue
            self.runs.append((self.record.now(), request_id))
            self.record.write(f"leaf {self.id} runs {request_id} ({request.first})")
            if self.behaviour is not None:
                answer = await self.behaviour(self, request, writer)
            else:
                answer = self.answer(request)
            if answer is None:
                return
            writer.write(answer)
            await writer.drain()
            self.record.write(f"leaf {self.id} answered {request_id}")


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(
        self,
        name: str,
        *,
        ip: str,
        store: str,
        seeds: list[str],
        folder: str,
        zones: list[str],
        zone: str,
        bounds: dict[str, float],
    ) -> None:
        """Writes the settings file."""
        self.name, self.folder, self.seeds, self.zone = name, pathlib.Path(folder), seeds, zone
        self.control = f"{ip}:{free_port(ip)}"
        self.front = f"{ip}:{free_port(ip)}"
        self.ready = f"{ip}:{free_port(ip)}"
        self.settings = self.folder / f"{name}.toml"
        self.log_path = self.folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self._ip, self._store, self._zones = ip, store, zones
        self._bounds = {**BOUNDS, **bounds}
        self.write_settings()

    def write_settings(self) -> None:
        """Writes the settings file anew, as the platform does at starts and after changes."""
        bounds = "\n".join(f"{key} = {value}" for key, value in self._bounds.items())
        zones = "\n".join(f'{zone} = "{REGION_BY_ZONE[zone]}"' for zone in self._zones)
        # Replaced as a whole, so that the process never reads a part of it.
        text = self.settings.with_suffix(".new")
        text.write_text(
            f"""
node_name = "{self.name}"
role = "gateway"
machine_class = "front"
serves = ["front", "control"]
ip = "{self._ip}"
zone = "{self.zone}"
region = "{REGION_BY_ZONE[self.zone]}"
internal_ports = [7380, 7395]
seeds = {json.dumps(self.seeds)}
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"]
[zones]
{zones}
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
address = "{self._store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""
        )
        text.replace(self.settings)

    async def start(self) -> None:
        """Starts the process as the platform does."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["FILBERTREACH_BOOT"] = str(self.settings)
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Asks the process as the platform does."""
        return (await request(self.ready, "/-/ready", "", timeout=1.0)).status == 200

    async def wait_ready(self, seconds: float = 30.0) -> bool:
        """Waits until the process is ready."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    async def wait_ended(self, seconds: float) -> int | None:
        """Waits for the end of the process; returns its code, None if it still runs."""
        assert self.process is not None
        with contextlib.suppress(TimeoutError):
            return await asyncio.wait_for(self.process.wait(), seconds)
        return None

    async def stop(self) -> None:
        """Ends the process."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class Result:
    """What a client has received; status 0 if there was no complete answer."""

    def __init__(self, status: int, message: Message | None, seconds: float, error: str) -> None:
        """Stores a result."""
        self.status, self.message, self.seconds, self.error = status, message, seconds, error


class Client:
    """One connection of a client."""

    def __init__(self, address: str) -> None:
        """Creates a connection that is not open yet."""
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Opens the connection."""
        host, _, port = self._address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(host, int(port))

    async def request(
        self,
        path: str,
        request_id: str,
        *,
        method: str = "GET",
        deadline_ms: int = 6000,
        headers: list[tuple[str, str]] | None = None,
        body: bytes = b"",
        timeout: float = 10.0,
    ) -> Result:
        """Sends a request and reads its answer."""
        began = time.monotonic()
        try:
            if self._writer is None:
                await asyncio.wait_for(self.open(), 1.0)
            assert self._reader is not None and self._writer is not None
            lines = [("Host", HOST), *(headers or [])]
            if request_id:
                lines += [("X-Request-Id", request_id), ("X-Deadline-Ms", str(deadline_ms))]
            self._writer.write(encode(f"{method} {path} HTTP/1.1", lines, body))
            message = await asyncio.wait_for(read_message(self._reader, response=True), timeout)
        except (OSError, TimeoutError) as error:
            return Result(0, None, time.monotonic() - began, repr(error))
        seconds = time.monotonic() - began
        if message is None:
            return Result(0, None, seconds, "connection closed without a complete answer")
        return Result(int(message.first.split()[1]), message, seconds, "")

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()


async def request(address: str, path: str, request_id: str, **options: Any) -> Result:
    """Sends one request on a connection of its own."""
    client = Client(address)
    try:
        return await client.request(path, request_id, **options)
    finally:
        client.close()


def route(name: str, **fields: Any) -> dict[str, Any]:
    """Returns a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "route_kind": "idempotent",
        "attempts": 3,
        "timeout_ms": 6000,
        "objective_ms": 2000,
        "priority": 2,
        **fields,
    }


def configuration(version: int, routes: list[dict[str, Any]], services: list[str]) -> dict:
    """Returns a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": name, "max_conns": 44} for name in services],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 60000,
        },
    }


class Deployment:
    """Store, leaves and gateways; an asynchronous context manager that ends them all."""

    def __init__(self, record: Record) -> None:
        """Creates a deployment without processes."""
        self.record, self.store = record, Store()
        self.gateways: list[Gateway] = []
        self.zones = list(REGION_BY_ZONE)[:1]
        """Zones of the deployment."""
        self.bounds: dict[str, float] = {}
        """Bounds beside BOUNDS."""
        self._folder = tempfile.TemporaryDirectory(prefix="review-")

    async def __aenter__(self) -> "Deployment":
        """Starts the store."""
        await self.store.start()
        return self

    async def __aexit__(self, *error: object) -> None:
        """Ends the processes."""
        for gateway in self.gateways:
            await gateway.stop()
        if os.environ.get("KEEP_LOGS"):
            for gateway in self.gateways:
                print(gateway.log_path.read_text())
        self._folder.cleanup()

    def add_gateway(self, name: str, *, zone: str = ZONE) -> Gateway:
        """Adds a gateway on a loopback address of its own; it is not started."""
        gateway = Gateway(
            name,
            ip=f"127.0.0.{11 + len(self.gateways)}",
            store=self.store.address,
            seeds=[],
            folder=self._folder.name,
            zones=self.zones,
            zone=zone,
            bounds=self.bounds,
        )
        self.gateways.append(gateway)
        return gateway

    async def start(self, gateways: list[Gateway]) -> None:
        """Writes the settings of gateways, starts them and waits until they are ready."""
        for gateway in gateways:
            gateway.write_settings()
            await gateway.start()
        for gateway in gateways:
            if not await gateway.wait_ready():
                raise RuntimeError(f"{gateway.name}: {gateway.log_path.read_text()[-2000:]}")

    async def start_gateways(self, count: int) -> None:
        """Starts gateways of one zone, the first of which is the seed of all."""
        gateways = [self.add_gateway(f"front-{number}") for number in range(count)]
        for gateway in gateways:
            gateway.seeds = [gateways[0].control]
        await self.start(gateways)


def run(folder: pathlib.Path, case: Callable[[Deployment, Record, bool], Awaitable[bool]]) -> int:
    """Runs a case; returns 0 if the rule held, 1 if it was broken and 2 if it could not run."""
    record, trouble = Record(folder), os.environ.get("TROUBLE", "1") != "0"

    async def main() -> bool:
        async with asyncio.timeout(110), Deployment(record) as deployment:
            return await case(deployment, record, trouble)

    record.write(f"the case runs {'with' if trouble else 'without'} the disruption")
    try:
        held = asyncio.run(main())
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    record.write("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    return 0 if held else 1
