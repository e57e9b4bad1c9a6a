"""Client accounts, home regions and evacuated data centres, by requests to a gateway process."""

import contextlib
import json
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple
from unittest import mock

import anyio
import anyio.abc
import prometheus_client
import pytest

from filbertreach.document import Leaf, Route
from filbertreach.gateway._application import caller_application
from filbertreach.gateway._exchange import Exchange, FaultKind, LeafFault
from filbertreach.gateway._leaf_handle import Location
from filbertreach.gateway._process import GatewayProcess
from filbertreach.gateway._request_turns import TurnSchedule
from filbertreach.gateway._retry_budget import RetryBudgetSettings
from filbertreach.gateway._route_latencies import RouteLatencies
from filbertreach.gateway._service_call import CallContext, ServiceCall
from filbertreach.gateway._service_pool import ServicePool
from filbertreach.observability import Health, HttpServer
from filbertreach.platform import (
    Bounds,
    HostSettings,
    LeafEntry,
    StoredItem,
    StoredListing,
    read_request_head,
)
from filbertreach.timing import FakeClock, SystemClock, TimerService
from filbertreach_standins.ports import free_address

_SECONDS = 20.0
"""Timeout of each test; a test that passes does not wait for it."""
_KEY = "k3y-of-Alpha.1"
_SECOND_KEY = "second-k3y-of-Alpha"
_FAR_KEY = "k3y-of-far"
_NOWHERE_KEY = "k3y-of-nowhere"
_SHARED_KEY = "k3y-of-two"
_LONG_KEY = "L" * 1024
_TOO_LONG_KEY = "L" * 1025
_ALL_KEYS = (_KEY, _SECOND_KEY, _FAR_KEY, _NOWHERE_KEY, _SHARED_KEY, "LLLLLLLL", "unkn0wn-k3y")
_TENANTS: list[dict[str, Any]] = [
    {"name": "alpha", "api_keys": [_KEY, _SECOND_KEY, _LONG_KEY], "priority": 0},
    {"name": "beta", "api_keys": [_SHARED_KEY, "", _TOO_LONG_KEY, "\u00e9", "with space"]},
    {"name": "gamma", "api_keys": [_SHARED_KEY]},
    {"name": "far", "api_keys": [_FAR_KEY], "home_regions": ["south"]},
    {"name": "nowhere", "api_keys": [_NOWHERE_KEY], "home_regions": ["west"]},
]
_LEAVES = {"n1": "north-1", "n2": "north-2", "s1": "south-1"}
_REGION_BY_DATA_CENTRE = {"north-1": "north", "north-2": "north", "south-1": "south"}
_BOUNDS = Bounds(5.0, 5.0, 3.0, 0.2, 10.0, 1_000_000.0)


def _configuration(version: int, **fields: Any) -> StoredItem:
    common = {
        "host": "h",
        "route_kind": "idempotent",
        "timeout_ms": 700,
        "objective_ms": 300,
        "attempts": 3,
        "priority": 2,
        "service": "stock",
    }
    body = {
        "version": version,
        "routes": [
            {**common, "name": "private", "prefix": "/v1/"},
            {**common, "name": "public", "prefix": "/open/", "public": True},
            {**common, "name": "near", "prefix": "/near/", "home_regions": ["north"]},
        ],
        "services": [{"name": "stock", "max_conns": 1000}],
        "limits": {
            "max_header_bytes": 8192,
            "max_body_bytes": 65536,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 60000,
        },
        "tenants": _TENANTS,
        **fields,
    }
    return StoredItem("op/config", json.dumps(body).encode(), version)


class _Leaf:
    """Records the heads of requests and answers each of them in the same way."""

    def __init__(self) -> None:
        self.heads: list[bytes] = []
        self.status = 200
        self.is_silent = False

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        async with stream:
            with contextlib.suppress(
                anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError
            ):
                while True:
                    await self._answer(stream)

    async def _answer(self, stream: anyio.abc.SocketStream) -> None:
        head = b""
        while b"\r\n\r\n" not in head:
            head += await stream.receive()
        self.heads.append(head)
        if self.is_silent:
            await anyio.sleep_forever()
        request_id = head.lower().split(b"x-request-id: ")[1].split(b"\r\n")[0]
        lines = [
            b"HTTP/1.1 %d X" % self.status,
            b"X-Request-Id: " + request_id,
            b"X-Server-Stamp: s",
            b"Content-Length: 2",
        ]
        await stream.send(b"\r\n".join(lines) + b"\r\n\r\nok")

    def last_headers(self) -> list[tuple[bytes, bytes]]:
        """Returns the headers of the last request, in order."""
        lines = self.heads[-1].split(b"\r\n\r\n")[0].split(b"\r\n")[1:]
        return [(name, value) for name, _, value in (line.partition(b": ") for line in lines)]


class _Answer(NamedTuple):
    status: int
    text: bytes
    """Head and body."""


class _Gateway(NamedTuple):
    process: GatewayProcess
    address: str
    leaf_by_id: dict[str, _Leaf]

    async def request(self, path: str, *header_lines: bytes) -> _Answer:
        """Sends a request with the given header lines over a connection of its own."""
        host, _, port = self.address.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            lines = [
                f"GET {path} HTTP/1.1".encode(),
                b"Host: h",
                b"X-Request-Id: r1",
                *header_lines,
                b"Connection: close",
            ]
            await stream.send(b"\r\n".join(lines) + b"\r\n\r\n")
            text = b""
            with contextlib.suppress(anyio.EndOfStream):
                while True:
                    text += await stream.receive()
        return _Answer(int(text.split(b" ", 2)[1]), text)

    def change(self, item: StoredItem) -> None:
        self.process.directory.on_change(item.key, item, 0.0)

    def evacuate(self, data_centre: str) -> None:
        self.change(StoredItem(f"op/evacuate/{data_centre}", b"{}", 9))

    @property
    def counts(self) -> list[int]:
        """Number of requests that each leaf got."""
        return [len(leaf.heads) for leaf in self.leaf_by_id.values()]


@contextlib.asynccontextmanager
async def _gateway(
    configuration: StoredItem | None, bounds: Bounds = _BOUNDS
) -> AsyncIterator[_Gateway]:
    """Runs a gateway in region north, whose store can't be reached, and three leaves."""
    settings = HostSettings(
        host="front",
        data_centre="north-1",
        region="north",
        region_by_data_centre=_REGION_BY_DATA_CENTRE,
        serve_address=free_address(),
        ready_address=free_address(),
        neighbour_address=None,
        seed_addresses=(),
        store_address="127.0.0.1:1",
        bounds=bounds,
    )
    leaf_by_id = {leaf_id: _Leaf() for leaf_id in _LEAVES}
    async with (
        anyio.create_task_group() as group,
        TimerService() as timers,
        GatewayProcess(settings=settings, timers=timers, health=Health()) as process,
    ):
        items = [configuration] if configuration else []
        for leaf_id, leaf in leaf_by_id.items():
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            group.start_soon(listener.serve, leaf.serve)
            entry = {
                "service": "stock",
                "address": f"127.0.0.1:{port}",
                "zone": _LEAVES[leaf_id],
                "version": "1",
                "slots": 100,
                "state": "ready",
                "cold_left_ms": 0,
                "sequence": 1,
                "born": 1_000,
            }
            items.append(StoredItem(f"servers/{leaf_id}", json.dumps(entry).encode(), 1))
        process.directory.on_listing(StoredListing({item.key: item for item in items}, 1), 0.0)
        server = HttpServer(
            address=settings.serve_address,
            application=caller_application(process),
            drain_seconds=1.0,
        )
        await group.start(server.run)
        yield _Gateway(process, settings.serve_address, leaf_by_id)
        group.cancel_scope.cancel()


def _run(
    test: Callable[[_Gateway], Awaitable[None]],
    *,
    configuration: StoredItem | None = None,
    bounds: Bounds = _BOUNDS,
) -> None:
    async def run() -> None:
        with anyio.fail_after(_SECONDS):
            async with _gateway(configuration, bounds) as gateway:
                await test(gateway)

    anyio.run(run)


def _key_line(key: str, name: str = "X-Api-Key") -> bytes:
    return f"{name}: {key}".encode("latin-1")


class _Case(NamedTuple):
    name: str
    path: str
    lines: list[bytes]
    status: int
    account: bytes | None = None
    """Account that the request to the leaf names; None for none."""


_CASES = [
    _Case("no key", "/v1/x", [], 401),
    _Case("known key", "/v1/x", [_key_line(_KEY)], 200, b"alpha"),
    _Case("another key of the account", "/v1/x", [_key_line(_SECOND_KEY)], 200, b"alpha"),
    _Case("unknown key", "/v1/x", [_key_line("unkn0wn-k3y")], 401),
    _Case("start of a key", "/v1/x", [_key_line(_KEY[:-1])], 401),
    _Case("key and more", "/v1/x", [_key_line(_KEY + "x")], 401),
    _Case("empty key", "/v1/x", [b"X-Api-Key:"], 401),
    _Case("blank key", "/v1/x", [b"X-Api-Key:  \t "], 401),
    _Case("longest key", "/v1/x", [_key_line(_LONG_KEY)], 200, b"alpha"),
    _Case("key that is too long", "/v1/x", [_key_line(_TOO_LONG_KEY)], 401),
    _Case("two keys", "/v1/x", [_key_line(_KEY), _key_line(_SECOND_KEY)], 401),
    _Case("the same key twice", "/v1/x", [_key_line(_KEY), _key_line(_KEY)], 401),
    _Case("two keys in a header", "/v1/x", [_key_line(f"{_KEY}, {_SECOND_KEY}")], 401),
    _Case("a key and an empty one", "/v1/x", [_key_line(_KEY), b"X-Api-Key:"], 401),
    _Case("name in lower case", "/v1/x", [_key_line(_KEY, "x-api-key")], 200, b"alpha"),
    _Case("name in upper case", "/v1/x", [_key_line(_KEY, "X-API-KEY")], 200, b"alpha"),
    _Case("key in upper case", "/v1/x", [_key_line(_KEY.upper())], 401),
    _Case("key in lower case", "/v1/x", [_key_line(_KEY.lower())], 401),
    _Case("spaces around the key", "/v1/x", [_key_line(f"  {_KEY} \t ")], 200, b"alpha"),
    _Case("space in the key", "/v1/x", [_key_line("with space")], 401),
    _Case("space before the colon", "/v1/x", [f"X-Api-Key : {_KEY}".encode()], 400),
    _Case("key in UTF-8", "/v1/x", ["X-Api-Key: \u00e9".encode()], 401),
    _Case("key in Latin-1", "/v1/x", [_key_line("\u00e9")], 401),
    _Case("key of two accounts", "/v1/x", [_key_line(_SHARED_KEY)], 401),
    _Case("public, no key", "/open/x", [], 200),
    _Case("public, known key", "/open/x", [_key_line(_KEY)], 200, b"alpha"),
    _Case("public, unknown key", "/open/x", [_key_line("unkn0wn-k3y")], 200),
    _Case("public, two keys", "/open/x", [_key_line(_KEY), _key_line(_FAR_KEY)], 200),
    _Case("public, key of two accounts", "/open/x", [_key_line(_SHARED_KEY)], 200),
    _Case("account of the caller", "/v1/x", [b"X-Tenant: alpha"], 401),
    _Case("another account", "/v1/x", [_key_line(_KEY), b"X-Tenant: beta"], 200, b"alpha"),
    _Case("public, account of the caller", "/open/x", [b"X-Tenant: alpha"], 200),
    _Case(
        "two accounts in other cases",
        "/v1/x",
        [b"x-tenant: beta", _key_line(_KEY), b"X-TENANT: gamma"],
        200,
        b"alpha",
    ),
    _Case(
        "headers of the connection",
        "/v1/x",
        [_key_line(_KEY), b"Connection: x-api-key, x-tenant"],
        200,
        b"alpha",
    ),
    _Case("no route", "/none/x", [_key_line(_KEY)], 404),
    _Case("no leaf in a home region", "/v1/x", [_key_line(_NOWHERE_KEY)], 503),
    _Case("no region in both lists", "/near/x", [_key_line(_FAR_KEY)], 503),
]


def _contains_key(text: bytes) -> bool:
    return any(key.encode() in text for key in _ALL_KEYS)


def test_keys_decide_which_requests_run_and_reach_no_leaf(
    capfd: pytest.CaptureFixture[str],
) -> None:
    # Guards against requests without an account, and against keys that leave the gateway: in a
    # request to a leaf, an answer, a log line or a metric.
    async def test(gateway: _Gateway) -> None:
        for case in _CASES:
            count = sum(gateway.counts)
            answer = await gateway.request(case.path, *case.lines)
            assert answer.status == case.status, case.name
            assert not _contains_key(answer.text), case.name
            # A refused request runs nowhere.
            assert sum(gateway.counts) == count + (case.status == 200), case.name
            if case.status == 200:
                headers = gateway.leaf_by_id["n1"].last_headers()
                names = [name.lower() for name, _ in headers]
                assert b"x-api-key" not in names, case.name
                values = [value for name, value in headers if name.lower() == b"x-tenant"]
                assert values == ([case.account] if case.account else []), case.name
        heads = b"".join(head for leaf in gateway.leaf_by_id.values() for head in leaf.heads)
        assert not _contains_key(heads)

    _run(test, configuration=_configuration(1))
    output = "".join(capfd.readouterr())
    assert output.count("refused") >= 15
    assert not _contains_key(output.encode())
    assert not _contains_key(prometheus_client.generate_latest())


def test_mutated_key_headers_run_only_with_exactly_one_key(
    capfd: pytest.CaptureFixture[str],
) -> None:
    # Guards against a way around the key that the table of cases does not contain.
    rng = random.Random(39)
    names = ["X-Api-Key", "x-api-key", "X-API-KEY", "X-Api_Key", "X-Api-Key2", "X-Tenant", "Accept"]
    keys = [_KEY, _KEY, _SECOND_KEY, _SECOND_KEY, _SHARED_KEY, "unkn0wn-k3y", "", "alpha"]

    def mutate(key: str) -> str:
        kind = rng.randrange(10)
        if kind < 5 or not key:
            return key
        position = rng.randrange(len(key))
        other = chr(rng.choice([*range(0x20, 0x7F), *range(0x80, 0x100), 0x09]))
        if kind == 5:
            return key[:position] + other + key[position + 1 :]
        if kind == 6:
            return key[:position] + other + key[position:]
        if kind == 7:
            return key[:position]
        if kind == 8:
            return rng.choice([" ", "\t", "  "]) + key + rng.choice(["", " ", "\t"])
        return key.swapcase()

    async def test(gateway: _Gateway) -> None:
        outcomes = []
        for _ in range(1000):
            headers = [
                (rng.choice(names), mutate(rng.choice(keys))) for _ in range(rng.randint(1, 3))
            ]
            sent = [value.strip(" \t") for name, value in headers if name.lower() == "x-api-key"]
            is_known = len(sent) == 1 and sent[0] in (_KEY, _SECOND_KEY)
            count = sum(gateway.counts)
            answer = await gateway.request("/v1/x", *(_key_line(v, n) for n, v in headers))
            assert answer.status == (200 if is_known else 401), headers
            assert sum(gateway.counts) == count + is_known
            assert not _contains_key(answer.text)
            outcomes.append(is_known)
            if is_known:
                values = dict(gateway.leaf_by_id["n1"].last_headers())
                assert values[b"x-tenant"] == b"alpha" and b"x-api-key" not in values
        assert 100 <= sum(outcomes) <= 900

    _run(test, configuration=_configuration(1))
    assert not _contains_key("".join(capfd.readouterr()).encode())


def test_without_a_configuration_no_request_runs() -> None:
    async def test(gateway: _Gateway) -> None:
        for lines in ([], [_key_line(_KEY)]):
            answer = await gateway.request("/v1/x", *lines)
            assert answer.status == 503 and b"retry-after" in answer.text.lower()
        assert sum(gateway.counts) == 0

    _run(test)


def test_a_host_that_hears_nothing_from_the_store_refuses_keys_if_the_settings_say_so() -> None:
    # Guards against keys that were removed and that a host without the store still accepts.
    async def test(gateway: _Gateway) -> None:
        key = _key_line(_KEY)
        answer = await gateway.request("/v1/x", key)
        assert answer.status == 503 and b"retry-after" in answer.text.lower()
        assert (await gateway.request("/open/x", key)).status == 503
        assert sum(gateway.counts) == 0
        # Requests without a key are treated as before.
        assert (await gateway.request("/v1/x")).status == 401
        assert (await gateway.request("/open/x")).status == 200
        gateway.process.change_log.reset(revision=1, as_of=SystemClock().now())
        assert (await gateway.request("/v1/x", key)).status == 200

    bounds = _BOUNDS._replace(strict_revoke=True, revoke_seconds=60.0)
    _run(test, configuration=_configuration(1), bounds=bounds)


def test_keys_are_those_of_the_version_in_force() -> None:
    # Guards against a removed key that is still accepted, and an older version that restores it.
    async def test(gateway: _Gateway) -> None:
        async def statuses() -> list[int]:
            keys = (_KEY, _SECOND_KEY, "new-key")
            return [(await gateway.request("/v1/x", _key_line(key))).status for key in keys]

        assert await statuses() == [200, 200, 401]
        tenants = [{"name": "alpha", "api_keys": [_SECOND_KEY, "new-key"]}]
        gateway.change(_configuration(2, tenants=tenants))
        assert await statuses() == [401, 200, 200]
        gateway.change(_configuration(1))
        assert await statuses() == [401, 200, 200]
        gateway.change(StoredItem("op/config", b'{"version": 3', 3))
        assert await statuses() == [401, 200, 200]
        gateway.change(_configuration(4, tenants=[{"name": "alpha", "api_keys": []}]))
        assert await statuses() == [401, 401, 401]

    _run(test, configuration=_configuration(1))


@pytest.mark.parametrize(
    "tenants",
    [
        [{"name": "alpha\r\nx-evil: 1", "api_keys": [_KEY]}],
        [{"name": "\u00e9", "api_keys": [_KEY]}],
        [{"name": " alpha", "api_keys": [_KEY]}],
        [{"name": "", "api_keys": [_KEY]}],
        [{"name": "alpha", "api_keys": [_KEY, 7]}],
        [{"name": "alpha", "api_keys": _KEY}],
        [{"name": "alpha", "api_keys": [_KEY], "priority": -1}],
        [{"name": "alpha", "api_keys": [_KEY], "rate_per_s": -1}],
        {_KEY: "alpha"},
    ],
)
def test_unusable_accounts_change_nothing_and_are_reported_without_keys(
    tenants: Any, capfd: pytest.CaptureFixture[str]
) -> None:
    async def test(gateway: _Gateway) -> None:
        gateway.change(_configuration(2, tenants=tenants))
        assert gateway.process.directory.table is not None
        assert gateway.process.directory.table.version == 1

    _run(test, configuration=_configuration(1))
    output = "".join(capfd.readouterr())
    assert "configuration ignored" in output
    assert not _contains_key(output.encode())


@pytest.mark.parametrize(("key", "priority"), [(_KEY, 0), (_FAR_KEY, 2)])
def test_the_rank_of_the_account_goes_before_that_of_the_route(key: str, priority: int) -> None:
    async def test(gateway: _Gateway) -> None:
        with mock.patch.object(ServicePool, "choose", autospec=True, side_effect=choose) as chosen:
            assert (await gateway.request("/v1/x", _key_line(key))).status == 200
        assert {call.kwargs["priority"] for call in chosen.call_args_list} == {priority}

    choose = ServicePool.choose
    _run(test, configuration=_configuration(1))


@pytest.mark.parametrize("fault", ["none", "error", "silent", "gone"])
@pytest.mark.parametrize("by_account", [False, True])
def test_no_leaf_outside_the_home_regions_gets_a_request(fault: str, by_account: bool) -> None:
    # Guards against a first attempt, retry or hedge that leaves the regions in which a request may
    # run, when the leaves inside them fail, are silent or are not listed.
    async def test(gateway: _Gateway) -> None:
        north = [gateway.leaf_by_id[leaf_id] for leaf_id in ("n1", "n2")]
        for leaf in north:
            leaf.status = 500 if fault == "error" else 200
            leaf.is_silent = fault == "silent"
        if fault == "gone":
            for leaf_id in ("n1", "n2"):
                entry = {**_entry_of(gateway, leaf_id), "state": "draining"}
                item = StoredItem(f"servers/{leaf_id}", json.dumps(entry).encode(), 2)
                # It began to leave long ago, so that it is no last resort.
                gateway.process.directory.on_change(item.key, item, 0.0)
        path = "/v1/x" if by_account else "/near/x"
        for _ in range(3):
            answer = await gateway.request(path, _key_line(_KEY))
            assert answer.status == {"none": 200, "error": 500, "silent": 504, "gone": 503}[fault]
        assert gateway.counts[2] == 0
        # Both leaves inside are tried.
        assert [count > 0 for count in gateway.counts[:2]] == [
            fault != "gone",
            fault in ("error", "silent"),
        ]

    home_regions = ["north"] if by_account else []
    tenants = [{"name": "alpha", "api_keys": [_KEY], "home_regions": home_regions}]
    _run(test, configuration=_configuration(1, tenants=tenants))


def test_a_request_without_a_leaf_at_home_is_refused_at_once() -> None:
    async def test(gateway: _Gateway) -> None:
        started_at = anyio.current_time()
        assert (await gateway.request("/v1/x", _key_line(_NOWHERE_KEY))).status == 503
        assert anyio.current_time() - started_at < 0.2

    _run(test, configuration=_configuration(1))


def test_the_regions_of_account_and_route_both_apply() -> None:
    async def test(gateway: _Gateway) -> None:
        assert (await gateway.request("/v1/x", _key_line(_FAR_KEY))).status == 200
        assert (await gateway.request("/near/x", _key_line(_FAR_KEY))).status == 503
        assert (await gateway.request("/near/x", _key_line(_KEY))).status == 200
        assert gateway.counts == [1, 0, 1]

    _run(test, configuration=_configuration(1))


def test_an_evacuated_data_centre_gets_nothing_until_the_evacuation_is_withdrawn() -> None:
    # Guards against requests to an evacuated data centre, by a change or by a listing.
    async def test(gateway: _Gateway) -> None:
        directory = gateway.process.directory

        async def served_by() -> list[str]:
            before = gateway.counts
            assert (await gateway.request("/v1/x", _key_line(_KEY))).status in (200, 503)
            return [
                leaf_id
                for leaf_id, old, new in zip(_LEAVES, before, gateway.counts, strict=True)
                if new > old
            ]

        assert await served_by() == ["n1"]
        gateway.evacuate("north-1")
        assert await served_by() == ["n2"]
        gateway.evacuate("north-2")
        assert await served_by() == ["s1"]
        gateway.evacuate("south-1")
        assert await served_by() == []
        directory.on_change("op/evacuate/north-2", None, 0.0)
        assert await served_by() == ["n2"]
        assert directory.evacuated_data_centres == {"north-1", "south-1"}
        # A listing states all evacuations.
        entries = {
            f"servers/{leaf_id}": StoredItem(
                f"servers/{leaf_id}", json.dumps(_entry_of(gateway, leaf_id)).encode(), 1
            )
            for leaf_id in _LEAVES
        }
        evacuation = StoredItem("op/evacuate/north-2", None, 5)
        directory.on_listing(StoredListing({**entries, evacuation.key: evacuation}, 9), 0.0)
        assert directory.evacuated_data_centres == {"north-2"}
        assert await served_by() == ["n1"]
        directory.on_listing(StoredListing(entries, 10), 0.0)
        assert directory.evacuated_data_centres == set()

    _run(test, configuration=_configuration(1))


def _entry_of(gateway: _Gateway, leaf_id: str) -> dict[str, Any]:
    """Returns an entry of a leaf that says what is known of it."""
    handle = gateway.process.directory.pool("stock").handle_by_id[leaf_id]
    return {
        "service": "stock",
        "address": handle.leaf.address,
        "zone": handle.leaf.data_centre,
        "version": "1",
        "slots": 100,
        "state": "ready",
        "cold_left_ms": 0,
        "sequence": 2,
        "born": handle.entry.started_at_ms,
    }


@pytest.mark.parametrize("is_evacuated", [False, True])
def test_an_evacuation_is_checked_again_when_a_request_is_written(is_evacuated: bool) -> None:
    # Guards against a request that was given to a connection before the evacuation was known.
    async def test(gateway: _Gateway) -> None:
        exchanges: list[Exchange] = []
        send = ServicePool.send

        def evacuate_and_send(
            pool: ServicePool, handle: Any, exchange: Exchange, **options: Any
        ) -> Any:
            exchanges.append(exchange)
            if is_evacuated and len(exchanges) == 1:
                gateway.evacuate(handle.leaf.data_centre)
            return send(pool, handle, exchange, **options)

        with mock.patch.object(ServicePool, "send", evacuate_and_send):
            assert (await gateway.request("/v1/x", _key_line(_KEY))).status == 200
        assert [exchange.sent for exchange in exchanges] == (
            [False, True] if is_evacuated else [True]
        )
        assert gateway.counts == ([0, 1, 0] if is_evacuated else [1, 0, 0])

    _run(test, configuration=_configuration(1))


def test_a_configuration_without_accounts_forwards_the_headers_that_it_did_before() -> None:
    # Guards against a change for deployments that use the names of these headers for their own
    # purposes: the key and the account are then ordinary headers.
    sent = [
        _key_line(_KEY),
        _key_line(_SECOND_KEY),
        b"X-Tenant: beta",
        b"x-other:  spaced ",
        b"X-Deadline-Ms: 600",
        b"X-Server-Stamp: forged",
        b"X-Expect-Instance: forged",
        b"TE: trailers",
        b"Connection: x-hop",
        b"X-Hop: 1",
    ]
    expected = [
        (b"host", b"h"),
        (b"x-request-id", b"r1"),
        (b"x-api-key", _KEY.encode()),
        (b"x-api-key", _SECOND_KEY.encode()),
        (b"x-tenant", b"beta"),
        (b"x-other", b"spaced"),
    ]

    async def test(gateway: _Gateway) -> None:
        for path in ("/v1/x", "/open/x", "/near/x"):
            assert (await gateway.request(path, *sent)).status == 200
            headers = gateway.leaf_by_id["n1"].last_headers()
            assert headers[:-2] == expected
            (deadline, milliseconds), expected_leaf = headers[-2:]
            assert deadline == b"x-deadline-ms" and 300 < int(milliseconds) <= 600
            assert expected_leaf == (b"x-expect-instance", b"n1")

    _run(test, configuration=_configuration(1, tenants=[]))
    _run(test, configuration=_configuration(1, tenants=None))


def test_a_call_waits_for_a_busy_leaf_after_the_evacuation_of_the_one_that_it_tried() -> None:
    # Guards against a failed call although a leaf was not tried: the leaves that may get a request
    # were compared in number with those that were tried, which include evacuated ones.
    clock = FakeClock(start=100.0)
    evacuated: set[str] = set()
    budget = RetryBudgetSettings()
    budget.update(Bounds(3.0, 5.0, 6.0, 0.2, 10.0, 1000.0))
    pool = ServicePool(
        service="fleet",
        location=Location("north", "north-1"),
        budget=budget,
        drain_seconds=3.0,
        schedule=TurnSchedule(),
        clock=clock,
        spawn=lambda run, name: None,
        evacuated=evacuated,
    )
    pool.set_connections(1_000)
    for leaf_id, data_centre in (("near", "north-1"), ("far", "north-2")):
        leaf = Leaf(leaf_id, "10.0.0.1:80", "north", data_centre)
        pool.update_leaf(LeafEntry(leaf, "fleet", 2, False, 1), since=0.0)
    request = read_request_head(method="GET", target=b"/", headers=[], body=b"")
    route = Route("r", "h", "/", True, 1.0, 0.5, 3, 0, {"fleet": 1.0}, (), 0, 1.0)
    context = CallContext(request, route, 101.0, 100.5, clock, RouteLatencies(), lambda call: None)
    call = ServiceCall(pool=pool, context=context)
    exchanges: list[Exchange] = []
    with mock.patch.object(pool, "send", lambda handle, exchange, **_: exchanges.append(exchange)):
        call.advance(clock.now())
        assert call.tried_leaf_ids == ["near"]
        pool.handle_by_id["far"].max_connections = 0
        evacuated.add("north-1")
        exchanges[0].complete(LeafFault(FaultKind.CONNECTION_LOST, sent=True))
        call.advance(clock.now())
        assert not call.done
        pool.handle_by_id["far"].max_connections = 1
        pool.budget.count_request(clock.now())
        clock.advance(0.1)
        call.advance(clock.now())
    assert call.tried_leaf_ids == ["near", "far"]
