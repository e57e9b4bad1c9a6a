"""Open-loop load generator for entry processes on loopback.

Arrivals are drawn in advance from the seed and sent on schedule whether or not earlier queries
have ended, so that a slow tier does not reduce the offered load. Each connection belongs to one
task. `run_load` starts the generator as one or more processes (`python -m experiments.load`) and
collects their records.
"""

import argparse
import ipaddress
import itertools
import json
import math
import pathlib
import random
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from typing import Any, NamedTuple

import anyio
import anyio.abc
import httpcore
import msgspec

MAX_SECONDS = 120.0
"""Maximum duration of the load of one generator."""
MAX_QUERIES = 60_000
"""Maximum number of queries of one generator; a load with more raises `LoadError`."""
MAX_CONNECTIONS = 3000
"""Maximum number of connections of one generator; further arrivals are recorded as not sent."""
_GRACE_SECONDS = 3.0
"""Time after its deadline at which an unanswered query counts as lost."""
_START_SECONDS = 1.0
"""Time for all generator processes to start before the first arrival."""


class LoadError(Exception):
    """The load is not allowed, or a generator process failed."""


class Stream(NamedTuple):
    """Poisson arrivals of one rank and client."""

    rank: str
    """Rank of the queries."""
    per_second: float
    """Mean arrival rate."""
    client: str = "hotel-azul"
    """Client of the queries."""
    starts: float = 0.0
    """Start in seconds."""
    ends: float = math.inf
    """End in seconds."""
    deadline_ms: int = 2000
    """Deadline of each query, in milliseconds."""
    shards: tuple[str, ...] = ()
    """Shards of each query; none for all shards of the application."""
    query: dict[str, Any] = {}
    """Further fields of the query for the leaves."""


class Record(NamedTuple):
    """Outcome of one query."""

    rank: str
    """Rank."""
    client: str
    """Client."""
    due: float
    """Planned time of sending, in seconds from the start of the load."""
    seconds: float
    """Time from the planned sending to the end, in seconds."""
    outcome: str
    """answered, the type of the problem document, unreachable (no connection), lost (no HTTP
    answer) or not_sent."""
    coverage: float
    """Included share of the shards of an answer; 0 without an answer."""


class Load(NamedTuple):
    """Load sent by one generator process."""

    addresses: list[str]
    """ip:port of entry processes, used in turn."""
    streams: list[Stream]
    """Arrivals."""
    seconds: float
    """Duration of the arrivals."""
    seed: int
    """Seed of the arrivals."""
    starts_at: float
    """CLOCK_MONOTONIC of second 0, shared by the generators of one load."""
    label: str
    """Prefix of the request ids."""


class _Arrival(NamedTuple):
    at: float
    """Planned time of sending in seconds."""
    number: int
    """Position in the load."""
    stream: Stream
    """Stream that it belongs to."""


def draw_arrivals(load: Load) -> list[_Arrival]:
    """Draws all arrivals in order of time.

    Args:
        load: The load.

    Raises:
        LoadError: An address is not on loopback, or the load is longer or larger than allowed.
    """
    for address in load.addresses:
        if not ipaddress.ip_address(address.rsplit(":", 1)[0]).is_loopback:
            raise LoadError(f"{address} is not on loopback; load is sent to 127.0.0.0/8 only")
    if load.seconds > MAX_SECONDS:
        raise LoadError(f"{load.seconds} s of load; at most {MAX_SECONDS} s are allowed")
    drawn: list[tuple[float, int]] = []
    for index, stream in enumerate(load.streams):
        source = random.Random(f"{load.seed}/{load.label}/{index}")
        at, ends = stream.starts, min(stream.ends, load.seconds)
        while (at := at + source.expovariate(stream.per_second)) < ends:
            drawn.append((at, index))
            if len(drawn) > MAX_QUERIES:
                raise LoadError(f"more than {MAX_QUERIES} queries; use a lower rate or less time")
    drawn.sort()
    return [_Arrival(at, n, load.streams[index]) for n, (at, index) in enumerate(drawn)]


class _Connection:
    """One connection to an entry process; used by one task only."""

    def __init__(self, address: str) -> None:
        host, port = address.rsplit(":", 1)
        self._origin = httpcore.Origin(b"http", host.encode(), int(port))
        self._url = f"http://{address}/v1/query"
        self._connection: httpcore.AsyncHTTPConnection | None = None

    async def post(self, body: bytes) -> tuple[int, bytes]:
        """Sends one query and returns status and body."""
        if self._connection is None or not self._connection.is_available():
            await self.close()
            self._connection = httpcore.AsyncHTTPConnection(origin=self._origin)
        response = await self._connection.request(
            "POST", self._url, headers={"content-type": "application/json"}, content=body
        )
        return response.status, response.content

    async def close(self) -> None:
        """Closes the connection, if it is open."""
        if self._connection is not None:
            connection, self._connection = self._connection, None
            await connection.aclose()


class _Generator:
    def __init__(self, load: Load) -> None:
        self._load = load
        self.records: list[Record] = []
        self._idle: list[anyio.abc.ObjectSendStream[_Arrival]] = []
        self._addresses = itertools.cycle(load.addresses)
        self._connections = 0

    async def run(self) -> None:
        """Sends every query on schedule and waits until all have ended."""
        scheduled = draw_arrivals(self._load)
        async with anyio.create_task_group() as group:
            for arrival in scheduled:
                delay = self._load.starts_at + arrival.at - time.monotonic()
                if delay > 0:
                    await anyio.sleep(delay)
                await self._assign(group, arrival)
            while len(self.records) < len(scheduled):
                await anyio.sleep(0.02)
            group.cancel_scope.cancel()

    async def _assign(self, group: anyio.abc.TaskGroup, arrival: _Arrival) -> None:
        if self._idle:
            await self._idle.pop().send(arrival)
        elif self._connections < MAX_CONNECTIONS:
            self._connections += 1
            send, receive = anyio.create_memory_object_stream[_Arrival](1)
            await send.send(arrival)
            group.start_soon(self._serve, next(self._addresses), send, receive)
        else:
            self._record(arrival, "not_sent", 0.0)

    async def _serve(
        self,
        address: str,
        send: anyio.abc.ObjectSendStream[_Arrival],
        receive: anyio.abc.ObjectReceiveStream[_Arrival],
    ) -> None:
        connection = _Connection(address)
        async for arrival in receive:
            outcome, coverage = await self._query(connection, arrival)
            self._record(arrival, outcome, coverage)
            self._idle.append(send)

    async def _query(self, connection: _Connection, arrival: _Arrival) -> tuple[str, float]:
        body = self._body(arrival)
        try:
            with anyio.fail_after(arrival.stream.deadline_ms / 1000 + _GRACE_SECONDS):
                status, content = await connection.post(body)
            answer = msgspec.json.decode(content)
        except httpcore.ConnectError:
            await connection.close()
            return "unreachable", 0.0
        except (httpcore.NetworkError, httpcore.ProtocolError, TimeoutError, ValueError):
            with anyio.CancelScope(shield=True):
                await connection.close()
            return "lost", 0.0
        if status != 200:
            return str(answer.get("type", status)).rsplit("/", 1)[-1].rsplit(":", 1)[-1], 0.0
        included, lacking = answer["coverage"]["included"], answer["coverage"]["lacking"]
        return "answered", len(included) / max(1, len(included) + len(lacking))

    def _body(self, arrival: _Arrival) -> bytes:
        stream = arrival.stream
        body: dict[str, Any] = {
            "environment": "local",
            "application": "counter",
            "client": stream.client,
            "rank": stream.rank,
            "deadline_ms": stream.deadline_ms,
            "request_id": f"{self._load.label}-{arrival.number}",
            "query": {"rows": 2, **stream.query},
        }
        if stream.shards:
            body["shards"] = stream.shards
        return msgspec.json.encode(body)

    def _record(self, arrival: _Arrival, outcome: str, coverage: float) -> None:
        seconds = time.monotonic() - self._load.starts_at - arrival.at
        stream = arrival.stream
        self.records.append(
            Record(stream.rank, stream.client, arrival.at, seconds, outcome, coverage)
        )


_labels = itertools.count()


def run_load(
    addresses: Sequence[str],
    streams: Sequence[Stream],
    seconds: float,
    seed: int,
    *,
    processes: int = 1,
    concurrently: Callable[[float], None] | None = None,
) -> list[Record]:
    """Sends an open-loop load and waits for its end.

    Args:
        addresses: ip:port of entry processes on loopback.
        streams: Arrivals; each generator process sends an equal part of each stream.
        seconds: Duration of the arrivals.
        seed: Seed of the arrivals.
        processes: Generator processes; one sends about 1,000 queries a second.
        concurrently: Called in a thread during the load with CLOCK_MONOTONIC of second 0.

    Returns:
        The records in order of planned time.

    Raises:
        LoadError: The load is not allowed, or a generator process failed.
    """
    starts_at = time.monotonic() + _START_SECONDS
    thread = threading.Thread(target=concurrently, args=(starts_at,)) if concurrently else None
    with tempfile.TemporaryDirectory(prefix="filbertreach-load-") as folder:
        started: list[subprocess.Popen[bytes]] = []
        paths = [pathlib.Path(folder) / f"{number}.json" for number in range(processes)]
        try:
            for number, path in enumerate(paths):
                part = Load(
                    list(addresses),
                    [s._replace(per_second=s.per_second / processes) for s in streams],
                    seconds,
                    seed,
                    starts_at,
                    f"load-{seed}-{next(_labels)}-{number}",
                )
                draw_arrivals(part)
                path.write_bytes(msgspec.json.encode(part._asdict()))
                started.append(
                    subprocess.Popen([sys.executable, "-m", "experiments.load", str(path)])
                )
            if thread:
                thread.start()
            timeout_seconds = seconds + max(s.deadline_ms for s in streams) / 1000 + 30.0
            exit_codes = [process.wait(timeout_seconds) for process in started]
            if any(exit_codes):
                raise LoadError("a load generator process failed; see its error output")
            records = list(itertools.chain.from_iterable(_read(path) for path in paths))
        finally:
            for process in started:
                if process.poll() is None:
                    process.kill()
                    process.wait()
            if thread and thread.ident:
                thread.join()
    return sorted(records, key=lambda record: record.due)


def _read(path: pathlib.Path) -> Iterator[Record]:
    for row in json.loads(path.with_suffix(".records").read_bytes()):
        yield Record(*row)


def main() -> None:
    """Sends the load that a file describes and writes the records beside it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("path", type=pathlib.Path, help="JSON file of a load")
    path: pathlib.Path = parser.parse_args().path
    values = json.loads(path.read_bytes())
    # msgspec writes a NamedTuple as a list and an infinite number as null.
    streams = [Stream(*row) for row in values.pop("streams")]
    streams = [s._replace(ends=math.inf if s.ends is None else s.ends) for s in streams]
    generator = _Generator(Load(**values, streams=streams))
    anyio.run(generator.run, backend_options={"use_uvloop": True})
    path.with_suffix(".records").write_bytes(msgspec.json.encode(generator.records))


if __name__ == "__main__":
    main()
