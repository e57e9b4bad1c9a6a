"""Choice of the reader of a data centre, membership of hosts, and their HTTP interface."""

import contextlib
import json
import zlib
from collections.abc import AsyncIterator
from unittest import mock

import anyio
import msgspec
import pytest
from returns.result import Failure

from filbertreach.gateway._change_log import ChangeLog
from filbertreach.gateway._neighbour_application import neighbour_application
from filbertreach.gateway._neighbours import Neighbours, compress
from filbertreach.observability import HttpServer, Receive, Scope, Send, respond
from filbertreach.schema import KnownHost, StoreNews
from filbertreach.timing import FakeClock, SystemClock
from filbertreach_standins.ports import free_address

_NAMES = ["front-1", "front-2", "front-3", "front-4"]
_ORDER = sorted(_NAMES, key=lambda name: (zlib.crc32(name.encode()), name))


def _host(name: str, data_centre: str = "minho-1") -> KnownHost:
    address = f"127.0.0.1:{1 + _NAMES.index(name)}"
    return KnownHost(name=name, address=address, data_centre=data_centre)


def _neighbours(name: str, clock: FakeClock, seeds: tuple[str, ...] = ()) -> Neighbours:
    host = _host(name)
    return Neighbours(
        host=name,
        address=host["address"],
        data_centre=host["data_centre"],
        seeds=seeds,
        clock=clock,
    )


def _reader(neighbours: Neighbours) -> str | None:
    reader = neighbours.reader()
    return reader and reader["name"]


def test_all_hosts_of_a_data_centre_choose_the_same_reader() -> None:
    clock = FakeClock()
    readers = []
    for name in _NAMES:
        neighbours = _neighbours(name, clock)
        # Without neighbours, each host reads the store itself.
        assert neighbours.reader() is None
        for other in _NAMES:
            neighbours.on_announcement(_host(other), known_digest="")
        readers.append(_reader(neighbours) or name)
    assert set(readers) == {_ORDER[0]}


def test_a_host_of_another_data_centre_is_no_reader() -> None:
    # Traffic between data centres costs more than a call to the store.
    neighbours = _neighbours(_ORDER[1], FakeClock())
    neighbours.on_announcement(_host(_ORDER[0], data_centre="ribatejo-1"), known_digest="")
    assert neighbours.reader() is None
    assert neighbours.fleet_size() == 2


def test_a_reader_that_failed_is_excluded_for_a_while() -> None:
    clock = FakeClock()
    neighbours = _neighbours(_ORDER[2], clock)
    for name in _NAMES:
        neighbours.on_announcement(_host(name), known_digest="")
    neighbours.exclude(_ORDER[0])
    assert _reader(neighbours) == _ORDER[1]
    neighbours.exclude(_ORDER[1])
    assert neighbours.reader() is None
    # If this host can't reach the store, the next one in order may still reach it.
    neighbours.exclude(_ORDER[2])
    assert _reader(neighbours) == _ORDER[3]
    clock.advance(6.5)
    assert _reader(neighbours) == _ORDER[0]


def test_a_host_without_announcements_expires() -> None:
    clock = FakeClock()
    neighbours = _neighbours(_ORDER[1], clock)
    neighbours.on_announcement(_host(_ORDER[0]), known_digest="")
    clock.advance(30.0)
    assert neighbours.reader() is None
    assert neighbours.fleet_size() == 1


def _seed(address: str, known: list[str]) -> tuple[Neighbours, HttpServer]:
    """Creates a seed that knows some hosts, and its server."""
    clock = FakeClock()
    seed = _neighbours(_ORDER[0], clock)
    for name in known:
        seed.on_announcement(_host(name), known_digest="")
    application = neighbour_application(seed, ChangeLog(clock=clock))
    return seed, HttpServer(address=address, application=application, drain_seconds=1.0)


def test_the_fleet_does_not_seem_to_shrink_while_no_seed_answers() -> None:
    # Guards against hosts that are cut off from the seeds and then each take the part of all hosts.
    async def run() -> None:
        clock = FakeClock()
        seed_address = free_address()
        _, server = _seed(seed_address, _NAMES)
        other = _neighbours(_ORDER[1], clock, seeds=(seed_address,))
        assert other.fleet_size() is None
        async with other, anyio.create_task_group() as group:
            await group.start(server.run)
            group.start_soon(other.run)
            with anyio.fail_after(20):
                while other.fleet_size() is None:
                    await anyio.sleep(0.02)
            server.stop()
            group.cancel_scope.cancel()
        assert other.fleet_size() == 4
        clock.advance(60.0)
        assert other.fleet_size() == 4

    anyio.run(run)


def test_the_fleet_does_not_seem_to_shrink_when_a_seed_has_restarted() -> None:
    # Guards against hosts that each take too large a part of a limit: a seed that has just been
    # restarted knows only the hosts that have announced themselves since.
    async def run() -> None:
        clock = FakeClock()
        seed_address = free_address()
        other = _neighbours(_ORDER[1], clock, seeds=(seed_address,))
        async with other:
            for known_to_seed in (_ORDER[2:], []):
                seed, server = _seed(seed_address, known_to_seed)
                async with anyio.create_task_group() as serving:
                    await serving.start(server.run)
                    async with anyio.create_task_group() as announcing:
                        announcing.start_soon(other.run)
                        with anyio.fail_after(20):
                            while seed.fleet_size() != len(known_to_seed) + 2:
                                await anyio.sleep(0.02)
                        await anyio.sleep(0.2)  # The reply arrives.
                        announcing.cancel_scope.cancel()
                    server.stop()
                clock.advance(10.0)
                assert other.fleet_size() == 4
        clock.advance(14.0)
        assert other.fleet_size() == 4

    anyio.run(run)


def test_hosts_are_sent_only_if_the_digest_is_out_of_date() -> None:
    neighbours = _neighbours("front-1", FakeClock())
    first = neighbours.on_announcement(_host("front-2"), known_digest="")
    assert [host["name"] for host in first["hosts"]] == ["front-1", "front-2"]
    assert "hosts" not in neighbours.on_announcement(_host("front-2"), known_digest=first["digest"])
    neighbours.on_announcement(_host("front-3"), known_digest="")
    again = neighbours.on_announcement(_host("front-2"), known_digest=first["digest"])
    assert len(again["hosts"]) == 3 and again["total"] == 3


@contextlib.asynccontextmanager
async def _serving(
    name: str, address: str, seeds: tuple[str, ...]
) -> AsyncIterator[tuple[Neighbours, ChangeLog]]:
    clock = SystemClock()
    change_log = ChangeLog(clock=clock)
    neighbours = Neighbours(
        host=name, address=address, data_centre="minho-1", seeds=seeds, clock=clock
    )
    server = HttpServer(
        address=address,
        application=neighbour_application(neighbours, change_log),
        drain_seconds=1.0,
    )
    async with neighbours, anyio.create_task_group() as group:
        await group.start(server.run)
        group.start_soon(neighbours.run)
        yield neighbours, change_log
        server.stop()
        group.cancel_scope.cancel()


def test_hosts_find_each_other_through_a_seed_and_share_changes() -> None:
    async def run() -> None:
        seed, other = free_address(), free_address()
        # Nothing listens at the first seed.
        seeds = (free_address(), seed)
        async with (
            _serving(_ORDER[0], seed, seeds) as (first, change_log),
            _serving(_ORDER[1], other, seeds) as (second, _),
        ):
            with anyio.fail_after(20):
                while (second.fleet_size() or 0) < 2 or (first.fleet_size() or 0) < 2:
                    await anyio.sleep(0.02)
            assert first.reader() is None
            reader = second.reader()
            assert reader is not None and reader["address"] == seed
            change_log.reset(revision=4, as_of=SystemClock().now())
            latest = (await second.fetch_changes(reader, after=4, wait_seconds=0.05)).unwrap()
            assert latest["complete"] and latest["revision"] == 4
            behind = (await second.fetch_changes(reader, after=3, wait_seconds=0.05)).unwrap()
            assert not behind["complete"]

    anyio.run(run)


@pytest.mark.parametrize(
    "target",
    [
        "/v1/hosts?name=a",
        "/v1/hosts?name=a&address=x:y&data_centre=minho-1",
        "/v1/hosts?name=a&address=127.0.0.1:70000&data_centre=minho-1",
        "/v1/hosts?name=a&address=%C3%A9:80&data_centre=minho-1",
        "/v1/news?after=x&wait_ms=1",
        "/v1/news?after=1&wait_ms=" + "9" * 400,
        "/v1/news?after=" + "9" * 5_000 + "&wait_ms=1",
        "/v1/news?after=1&wait_ms=-1",
        "/v1/news?after=1&wait_ms=1&epoch=x",
        "/v1/news?after=1&wait_ms=1&epoch=-1",
        "/v1/news",
        "/v1/other",
        f"/v1/hosts?name={'a' * 5_000}&address=127.0.0.1:9&data_centre=b",
        f"/v1/hosts?name=a&address=127.0.0.1:9&data_centre={'b' * 5_000}",
    ],
    ids=lambda target: target[:60],
)
def test_unusable_queries_of_neighbours_are_refused(target: str) -> None:
    async def run() -> None:
        address = free_address()
        async with _serving("front-1", address, ()):
            host, port = address.split(":")
            stream = await anyio.connect_tcp(host, int(port))
            async with stream:
                await stream.send(f"GET {target} HTTP/1.1\r\nhost: x\r\n\r\n".encode())
                assert (await stream.receive())[9:12] in (b"400", b"404")

    anyio.run(run)


@pytest.mark.parametrize(
    ("total", "listed_address"),
    [
        (2, "x:y"),
        (2, "127.0.0.1:70000"),
        (2, "fe80::1%eth0:80"),
        (0, "127.0.0.1:80"),
        (10**6, "127.0.0.1:80"),
        (10**400, "127.0.0.1:80"),
    ],
    ids=lambda value: str(value)[:18],
)
def test_unusable_hosts_are_not_taken_from_a_seed(total: int, listed_address: str) -> None:
    # Guards against one announcement that ends the gateways of a data centre: they would follow a
    # reader at an address to which no connection can be made, or divide limits by a number of hosts
    # that no fleet has.
    async def run() -> None:
        address = free_address()
        host = {**_host("front-2"), "address": listed_address}
        body = json.dumps({"total": total, "digest": "d", "hosts": [host]}).encode()
        asked = anyio.Event()

        async def application(scope: Scope, receive: Receive, send: Send) -> None:
            if scope["type"] == "http":
                await respond(send, 200, compress(body), "application/zlib")
                asked.set()

        server = HttpServer(address=address, application=application, drain_seconds=1.0)
        neighbours = _neighbours("front-1", FakeClock(), seeds=(address,))
        async with neighbours, anyio.create_task_group() as group:
            await group.start(server.run)
            group.start_soon(neighbours.run)
            with anyio.fail_after(20):
                await asked.wait()
            await anyio.sleep(0.2)  # The reply arrives.
            assert neighbours.reader() is None
            assert neighbours.fleet_size() is None
            server.stop()
            group.cancel_scope.cancel()

    anyio.run(run)


def test_a_seed_keeps_a_limited_number_of_hosts() -> None:
    # Guards against a neighbour that announces ever new names until the memory is used up.
    def host(name: str) -> KnownHost:
        return KnownHost(name=name, address="127.0.0.1:9", data_centre="minho-1")

    clock = FakeClock()
    neighbours = _neighbours("front-1", clock)
    with mock.patch("filbertreach.gateway._neighbours._MAX_LISTED_HOSTS", 50):
        for number in range(50):
            neighbours.on_announcement(host(f"other-{number}"), known_digest="")
        with pytest.raises(ValueError, match="hosts are known"):
            neighbours.on_announcement(host("one-more"), known_digest="")
        neighbours.on_announcement(host("other-1"), known_digest="")
        clock.advance(60.0)
        neighbours.on_announcement(host("one-more"), known_digest="")


def test_changes_that_are_newer_than_now_are_an_error() -> None:
    # Guards against a host that takes its data for current for ever: with such an answer it would
    # never notice that its reader is out of date.
    async def run() -> None:
        address = free_address()
        changes = StoreNews(complete=True, revision=4, age_seconds=-1000.0, changes=[])

        async def application(scope: Scope, receive: Receive, send: Send) -> None:
            if scope["type"] == "http":
                await respond(send, 200, compress(msgspec.json.encode(changes)), "application/zlib")

        server = HttpServer(address=address, application=application, drain_seconds=1.0)
        reader = KnownHost(name="front-2", address=address, data_centre="minho-1")
        neighbours = _neighbours("front-1", FakeClock())
        async with neighbours, anyio.create_task_group() as group:
            await group.start(server.run)
            result = await neighbours.fetch_changes(reader, after=4, wait_seconds=0.0)
            server.stop()
            group.cancel_scope.cancel()
        assert isinstance(result, Failure)

    anyio.run(run)
