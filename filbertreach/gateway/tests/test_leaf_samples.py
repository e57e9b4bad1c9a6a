"""What hosts of a data centre tell each other of leaves."""

import contextlib
import math
import socket
from collections.abc import AsyncIterator

import anyio
import pytest

from filbertreach.decisions import LeafOutcome
from filbertreach.document import Leaf
from filbertreach.gateway._directory import Directory
from filbertreach.gateway._leaf_samples import SampleExchange
from filbertreach.gateway._retry_budget import BudgetSettings
from filbertreach.gateway._service_pool import Location
from filbertreach.platform import LeafEntry, StoredListing
from filbertreach.timing import FakeClock, SystemClock
from filbertreach_standins.fleet import free_address

_SECONDS = 20.0
_Sample = tuple[str, LeafOutcome, float]


class _Observer:
    def __init__(self) -> None:
        self.heard: list[_Sample] = []
        self.slack: list[tuple[str, int]] = []

    def on_call_end(self, leaf_id: str, outcome: LeafOutcome, seconds: float) -> None:
        self.heard.append((leaf_id, outcome, seconds))

    def on_slack(self, service: str, count: int = 1) -> None:
        self.slack.append((service, count))


class _Peers:
    def __init__(self, *addresses: str) -> None:
        self._addresses = list(addresses)

    def datagram_addresses(self) -> list[str]:
        return self._addresses


@contextlib.asynccontextmanager
async def _listening(address: str) -> AsyncIterator[_Observer]:
    observer = _Observer()
    exchange = SampleExchange(host="b", address=address, peers=_Peers(), clock=SystemClock())
    async with anyio.create_task_group() as group:
        group.start_soon(exchange.run, observer)
        while not exchange.is_open:
            await anyio.sleep(0.01)
        yield observer
        group.cancel_scope.cancel()


@pytest.mark.parametrize("count", [1, 39, 40, 41, 150])
def test_calls_of_one_host_reach_the_others(count: int) -> None:
    # Guards against samples that are lost between two datagrams.
    async def run() -> None:
        address, clock = free_address(), FakeClock()
        samples = [(f"i-{n}", LeafOutcome.OK, n / 1000) for n in range(count)]
        async with _listening(address) as there, anyio.create_task_group() as group:
            teller = SampleExchange(
                host="a", address=free_address(), peers=_Peers(address), clock=clock
            )
            group.start_soon(teller.run, _Observer())
            while not teller.is_open:
                await anyio.sleep(0.01)
            for sample in samples:
                teller.on_call_end(*sample)
            await teller.tell(0.0)
            with anyio.fail_after(_SECONDS):
                while len(there.heard) < count:
                    await anyio.sleep(0.01)
            assert there.heard == samples
            teller.on_slack("fleet")
            teller.on_slack("fleet")
            await teller.tell(0.0)
            with anyio.fail_after(_SECONDS):
                while not there.slack:
                    await anyio.sleep(0.01)
            assert there.slack == [("fleet", 2)]
            # Told once.
            await teller.tell(0.0)
            await anyio.sleep(0.1)
            assert len(there.heard) == count
            group.cancel_scope.cancel()

    anyio.run(run)


@pytest.mark.parametrize(
    ("peers", "count", "told"), [(1, 5000, 2400), (12, 5000, 200), (100, 5000, 40), (100, 7, 7)]
)
def test_the_cost_of_telling_is_bounded(peers: int, count: int, told: int) -> None:
    # Guards against datagrams that grow with the hosts and with the load.
    async def run() -> None:
        address = free_address()
        async with _listening(address) as there, anyio.create_task_group() as group:
            nobody = [f"127.0.0.1:{port}" for port in range(1, peers)]
            teller = SampleExchange(
                host="a",
                address=free_address(),
                peers=_Peers(address, *nobody),
                clock=FakeClock(),
            )
            group.start_soon(teller.run, _Observer())
            while not teller.is_open:
                await anyio.sleep(0.01)
            for number in range(count):
                teller.on_call_end(f"i-{number}", LeafOutcome.OK, 0.1)
            await teller.tell(0.0)
            with anyio.fail_after(_SECONDS):
                while len(there.heard) < told:
                    await anyio.sleep(0.01)
            await anyio.sleep(0.1)
            assert len(there.heard) == told
            group.cancel_scope.cancel()

    anyio.run(run)


@pytest.mark.parametrize(("late", "pause"), [(0.4, 0.0), (0.2, 3.0)])
def test_a_host_that_stood_still_tells_nothing_of_leaves(late: float, pause: float) -> None:
    # Guards against leaves that are believed slow because the caller was.
    async def run() -> None:
        address, clock = free_address(), FakeClock()
        async with _listening(address) as there, anyio.create_task_group() as group:
            teller = SampleExchange(
                host="a", address=free_address(), peers=_Peers(address), clock=clock
            )
            group.start_soon(teller.run, _Observer())
            while not teller.is_open:
                await anyio.sleep(0.01)
            teller.on_call_end("i-1", LeafOutcome.OK, 3.0)
            teller.on_slack("fleet")
            clock.advance(late)
            await teller.tell(pause)
            teller.on_call_end("i-2", LeafOutcome.OK, 0.1)
            clock.advance(0.2)
            await teller.tell(0.0)
            with anyio.fail_after(_SECONDS):
                while not there.heard:
                    await anyio.sleep(0.01)
            assert [leaf for leaf, _, _ in there.heard] == ["i-2"]
            # Extra calls were made all the same.
            assert there.slack == [("fleet", 1)]
            group.cancel_scope.cancel()

    anyio.run(run)


@pytest.mark.parametrize(
    "datagram",
    [
        b"",
        b"no zlib",
        # An outcome that this version does not know.
        b'{"sender": "a", "samples": [{"leaf": "i", "outcome": "no", "seconds": 1.0}]}',
        b'{"sender": "a"}',
    ],
)
def test_a_datagram_that_cannot_be_read_changes_nothing(datagram: bytes) -> None:
    async def run() -> None:
        address = free_address()
        host, port = address.split(":")
        async with _listening(address) as there:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                sender.sendto(datagram, (host, int(port)))
            await anyio.sleep(0.1)
            assert there.heard == []

    anyio.run(run)


def test_a_busy_port_stops_only_the_exchange() -> None:
    async def run() -> None:
        address = free_address()
        exchange = SampleExchange(host="b", address=address, peers=_Peers(), clock=FakeClock())
        async with _listening(address):
            with anyio.fail_after(_SECONDS):
                await exchange.run(_Observer())
            exchange.on_call_end("i-1", LeafOutcome.OK, 0.1)
            await exchange.tell(0.0)

    anyio.run(run)


def _directory(clock: FakeClock) -> Directory:
    directory = Directory(
        clock=clock,
        here=Location("minho", "minho-1"),
        region_by_data_centre={"minho-1": "minho", "alentejo-1": "alentejo"},
        budget=BudgetSettings(),
        drain_seconds=3.0,
        spawn=lambda run, name: None,
        on_change=lambda: None,
    )
    directory.on_listing(StoredListing({}, 1), 0.0)
    for name, region in (("near", "minho"), ("far", "alentejo")):
        entry = Leaf(name, f"10.0.0.1:{len(name)}", region, f"{region}-1")
        directory._list(LeafEntry(entry, "fleet", 2, False, 1), since=0.0)
    return directory


@pytest.mark.parametrize(
    ("outcome", "seconds", "expected"),
    [
        (None, 0.0, "near"),
        (LeafOutcome.OK, 0.04, "near"),
        # Each host had to find out for itself, with a call of its own every few seconds.
        (LeafOutcome.OK, 0.4, "far"),
        (LeafOutcome.CANCELLED, 0.4, "far"),
        (LeafOutcome.CONNECTION_LOST, 0.01, "far"),
    ],
)
def test_a_leaf_that_failed_others_is_avoided(
    outcome: LeafOutcome | None, seconds: float, expected: str
) -> None:
    clock = FakeClock(start=100.0)
    directory = _directory(clock)
    for _ in range(5):
        directory.on_call_end("near", LeafOutcome.OK, 0.04)
        directory.on_call_end("far", LeafOutcome.OK, 0.06)
    for _ in range(4):
        clock.advance(0.1)
        if outcome is not None:
            directory.on_call_end("near", outcome, seconds)
    directory.on_call_end("unknown", LeafOutcome.OK, 0.1)
    handle = directory.pool("fleet").choose(tried=(), now=clock.now())
    assert handle is not None and handle.leaf.id == expected
    assert handle.usable_until == math.inf
    # Believed for as long as own calls: the leaf is tried again.
    clock.advance(15.0)
    handle = directory.pool("fleet").choose(tried=(), now=clock.now())
    assert handle is not None and handle.leaf.id == "near"
