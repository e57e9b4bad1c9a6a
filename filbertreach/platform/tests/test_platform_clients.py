"""Tests over HTTP that clients report the outcome of each call correctly."""

import functools

import anyio
import pytest
from returns.result import Success

from filbertreach.platform import (
    ConflictError,
    Host,
    HostListClient,
    HttpResponse,
    InvalidCallError,
    KeyNotFoundError,
    KeyValueClient,
    KeyValueItem,
    LeaseExpiredError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    RateLimitedError,
    TooLargeError,
    WatchEvent,
    put_checked,
)
from filbertreach.timing import FakeClock
from filbertreach_standins import StandInProcess


@pytest.fixture(scope="module")
def process():
    with StandInProcess(module="key_value") as started:
        yield started


@pytest.fixture
def control(process):
    process.control.reset()
    return process.control


async def set_faults(control, **faults):
    await anyio.to_thread.run_sync(functools.partial(control.set_faults, **faults))


def run(control, body, **options):
    async def main():
        async with KeyValueClient(
            base_url=control.base_url, **{"timeout_seconds": 5.0, **options}
        ) as client:
            await body(client)

    anyio.run(main)


def put(client):
    return client.put("a", "1")


def delete(client):
    return client.delete("a")


def grant(client):
    return client.grant_lease(5)


def get(client):
    return client.get("a")


def list_prefix(client):
    return client.list_prefix("")


def watch(client):
    return client.watch("", 10**9, 0.1)


async def lease_calls(client):
    """Renews, and writes with, a lease that was revoked."""
    lease = (await client.grant_lease(5)).unwrap()
    (await client.revoke_lease(lease)).unwrap()
    renewed = await client.renew_lease(lease)
    assert isinstance(renewed.failure(), LeaseExpiredError)
    return await client.put("a", "1", lease=lease.id)


async def conflict(client):
    revision = (await client.put("a", "1", 0)).unwrap()
    result = await client.put("a", "2", 0)
    assert result.failure().current_revision == revision
    return result


UNAVAILABLE, UNKNOWN = PlatformUnavailableError, OutcomeUnknownError
READS, WRITES = (get, list_prefix, watch), (put, delete, grant)


@pytest.mark.parametrize(
    ("value", "seconds"),
    [(b"2.5", 2.5), (b"", 1.0), (b"soon", 1.0), (b"nan", 1.0), (b"inf", 30.0), (b"-5", 0.1)],
)
def test_the_delay_that_a_refusal_asks_for_is_bounded(value, seconds):
    # Guards against a faulty service that stops the calls of a host for good, or makes it call
    # without a pause.
    response = HttpResponse(429, {b"retry-after": value}, b"")
    assert response.retry_after_seconds == seconds


@pytest.mark.parametrize(
    ("faults", "call", "error"),
    [
        *(({"outage": True}, call, UNAVAILABLE) for call in READS + WRITES),
        *(({"outage": "reset"}, call, UNAVAILABLE) for call in READS),
        *(({"outage": "reset"}, call, UNKNOWN) for call in WRITES),
        *(({"outage": "hang"}, call, UNAVAILABLE) for call in READS),
        *(({"outage": "hang"}, call, UNKNOWN) for call in WRITES),
        ({"stalled_watches": "hang"}, watch, UNAVAILABLE),
        ({"lose_answers": True}, put, UNKNOWN),
        ({"lose_requests": True}, put, UNKNOWN),
        ({"writes_per_second": 0}, put, RateLimitedError),
        ({"reads_per_second": 0}, get, RateLimitedError),
        ({}, get, KeyNotFoundError),
        ({}, delete, KeyNotFoundError),
        ({}, conflict, ConflictError),
        ({}, lease_calls, LeaseExpiredError),
        ({}, lambda client: client.put("a", "ü" * 500_001), TooLargeError),
        ({}, lambda client: client.grant_lease(-1), InvalidCallError),
    ],
)
def test_failures_are_reported_as_the_right_error(control, faults, call, error):
    async def body(client):
        await set_faults(control, **faults)
        result = await call(client)
        assert isinstance(result.failure(), error)

    run(control, body, timeout_seconds=0.5)


@pytest.mark.parametrize("call", READS + WRITES)
def test_call_that_could_not_be_sent_fails_as_unavailable(call):
    async def main():
        async with KeyValueClient(base_url="http://127.0.0.1:1") as client:
            assert isinstance((await call(client)).failure(), PlatformUnavailableError)

    anyio.run(main)


def test_keys_values_listings_and_call_counts(control):
    async def body(client):
        lease = (await client.grant_lease(30)).unwrap()
        first = (await client.put("k/ü %/?#", "1", 0, lease.id)).unwrap()
        second = (await client.put("k/b", "x" * 1_000_000)).unwrap()
        item = KeyValueItem("k/ü %/?#", "1", first, lease.id)
        assert (await client.get("k/ü %/?#")).unwrap() == item
        listing = (await client.list_prefix("k/")).unwrap()
        assert list(listing.items_by_key) == ["k/b", "k/ü %/?#"]
        assert listing.items_by_key["k/ü %/?#"] == item
        assert listing.revision == second
        deleted = (await client.delete("k/b", second)).unwrap()
        batch = (await client.watch("k/", second, 5)).unwrap()
        assert batch.events == (WatchEvent("delete", "k/b", None, deleted),)
        once = ("grant_lease", "get", "list", "delete", "watch")
        assert client.calls_by_kind == {"put": 2, **dict.fromkeys(once, 1)}

    run(control, body)
    assert control.counters()["calls_total"] == 7


def test_watch_returns_at_a_change_and_can_be_cancelled(control):
    async def body(client):
        batches = []

        async def watcher():
            after = (await client.list_prefix("")).unwrap().revision
            batches.append((await client.watch("w/", after, 30)).unwrap())

        async def wait_for_watch(number):
            while (await anyio.to_thread.run_sync(control.counters))["watches_waiting"] != number:
                await anyio.sleep(0.01)

        with anyio.fail_after(10):
            async with anyio.create_task_group() as group:
                group.start_soon(watcher)
                await wait_for_watch(1)
                await client.put("other", "1")
                await client.put("w/1", "1")
            async with anyio.create_task_group() as group:
                group.start_soon(watcher)
                await wait_for_watch(1)
                group.cancel_scope.cancel()
            await wait_for_watch(0)
        assert [[event.key for event in batch.events] for batch in batches] == [["w/1"]]

    run(control, body)


def test_unresponsive_connections_cost_one_timeout(control):
    async def body(client):
        async with anyio.create_task_group() as group:
            for _ in range(8):
                group.start_soon(client.list_prefix, "")
        await set_faults(control, silent_connections=True)
        results = [isinstance(await client.list_prefix(""), Success) for _ in range(8)]
        assert results == [False] + [True] * 7

    run(control, body, timeout_seconds=0.5)


def test_lease_time_counts_from_before_the_request(control):
    class Clock(FakeClock):
        def now(self):
            self.advance(1.0)
            return super().now()

    clock = Clock(start=100.0)

    async def body(client):
        lease = (await client.grant_lease(10)).unwrap()
        assert 110.9 < lease.valid_until < 111
        assert 111.9 < (await client.renew_lease(lease)).unwrap().valid_until < 112

    run(control, body, clock=clock)


class _ConcurrentWriteClient(KeyValueClient):
    """Performs another write after a put, before the put is read back."""

    concurrent_write = None

    async def put(self, key, value, expected_revision=None, lease=None):
        result = await super().put(key, value, expected_revision, lease)
        if self.concurrent_write is not None:
            concurrent_write, self.concurrent_write = self.concurrent_write, None
            assert (await super().put(*concurrent_write)).unwrap()
        return result


@pytest.mark.parametrize(
    ("faults", "concurrent_write", "expected", "stored"),
    [
        ({}, None, Success, "mine"),
        ({"lose_answers": {"next": 1}}, None, Success, "mine"),
        ({"lose_requests": {"next": 1}}, None, Success, "mine"),
        ({"lose_requests": {"next": 2}}, None, Success, "mine"),
        ({"lose_requests": {"next": 1}}, ("a", "theirs", 0), ConflictError, "theirs"),
        ({"lose_answers": {"next": 1}}, ("a", "mine, theirs"), Success, "mine, theirs"),
        ({"lose_requests": {"next": 3}}, None, OutcomeUnknownError, None),
        # A stale read shows no key, so the conflict of the second write proves nothing.
        ({"lose_answers": {"next": 1}, "stale_reads": True}, None, OutcomeUnknownError, None),
        ({"outage": True}, None, PlatformUnavailableError, None),
    ],
)
def test_put_checked_determines_its_outcome(control, faults, concurrent_write, expected, stored):
    async def main():
        async with _ConcurrentWriteClient(base_url=control.base_url) as client:
            client.concurrent_write = concurrent_write
            await set_faults(control, **faults)
            result = await put_checked(
                client=client,
                key="a",
                value="mine",
                expected_revision=0,
                took_effect=lambda item: item.value.startswith("mine"),
            )
            found = result if isinstance(result, Success) else result.failure()
            assert isinstance(found, expected)
            if stored is not None:
                assert (await client.get("a")).unwrap().value == stored

    anyio.run(main)


def test_put_checked_does_not_report_a_conflict_after_a_stale_read(control):
    """The stale read returns an older item of another writer, which hides this write."""

    async def body(client):
        before = (await client.put("a", "theirs")).unwrap()
        await set_faults(control, stale_reads=True, lose_answers={"next": 1})
        result = await put_checked(
            client=client,
            key="a",
            value="mine",
            expected_revision=before,
            took_effect=lambda item: item.value == "mine",
        )
        assert isinstance(result.failure(), OutcomeUnknownError)

    run(control, body)


def test_host_list_is_read():
    host = Host("h1", "10.0.0.1", "minho", "minho-1", "entry", "leaving")
    with StandInProcess(module="host_list") as process:
        control = process.control
        control.request("PUT", "/admin/hosts", {"hosts": [host._asdict()]})

        async def main():
            async with HostListClient(base_url=control.base_url, clock=FakeClock()) as client:
                listed = (await client.list_hosts()).unwrap()
                assert listed.hosts_by_name == {"h1": host}
                assert listed.read_at == 0
                for outage in (True, "reset"):
                    await set_faults(control, outage=outage)
                    failure = (await client.list_hosts()).failure()
                    assert isinstance(failure, PlatformUnavailableError)
                assert client.calls_by_kind == {"list_hosts": 3}

        anyio.run(main)
