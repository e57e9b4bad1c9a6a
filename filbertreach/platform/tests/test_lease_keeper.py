"""Tests that no one acts on a lease that may have expired."""

import anyio
import pytest

from filbertreach.platform import KeyNotFoundError, KeyValueClient, LeaseKeeper
from filbertreach.timing import SystemClock
from filbertreach_standins import StandInProcess

TTL_SECONDS = 2.0
"""Long enough that a renewal is not late even on a busy machine."""


class JumpingClock(SystemClock):
    """A clock that can jump ahead, as after a pause of the process."""

    offset = 0.0

    def now(self):
        return super().now() + self.offset


@pytest.fixture(scope="module")
def process():
    with StandInProcess(module="key_value") as started:
        yield started


@pytest.fixture
def control(process):
    process.control.reset()
    return process.control


def run(control, body, ttl_seconds=TTL_SECONDS):
    clock = JumpingClock()
    events = []

    async def main():
        async with KeyValueClient(base_url=control.base_url, clock=clock) as client:

            async def granted(lease):
                events.append(("granted", lease.id))
                (await client.put("held", lease.id, lease=lease.id)).unwrap()

            async def lapsed(lease):
                events.append(("lapsed", lease.id))

            keeper = LeaseKeeper(
                client=client, ttl_seconds=ttl_seconds, on_granted=granted, on_lapsed=lapsed
            )
            with anyio.fail_after(20):
                async with keeper:
                    first = await keeper.wait_until_held()
                    await body(client, keeper, clock, first)
        return events

    return anyio.run(main)


def test_lease_is_renewed_and_revoked_on_exit(control):
    async def body(client, keeper, clock, first):
        await anyio.sleep(TTL_SECONDS * 2)
        assert keeper.lease.id == first.id
        assert keeper.lease.valid_until > first.valid_until + TTL_SECONDS

    events = run(control, body)
    assert [kind for kind, _ in events] == ["granted"]
    assert control.counters()["leases"] == control.counters()["keys"] == 0


def test_lapse_after_a_pause_is_visible_at_once_and_reported_before_a_new_lease(control):
    async def body(client, keeper, clock, first):
        (await client.put("of first", "1", lease=first.id)).unwrap()
        clock.offset = 60.0
        assert keeper.lease is None
        assert keeper.remaining_seconds == 0
        second = await keeper.wait_until_held()
        assert second.id != first.id
        assert keeper.lapses == 1
        # The keys of the old lease are deleted although the service had not expired it.
        assert isinstance((await client.get("of first")).failure(), KeyNotFoundError)
        assert (await client.get("held")).unwrap().value == second.id

    # The lease is so long that the service has not expired it when the keeper reports the lapse.
    events = run(control, body, ttl_seconds=6.0)
    assert [kind for kind, _ in events] == ["granted", "lapsed", "granted"]


def test_lease_counts_as_held_once_its_keys_are_written(control):
    """Guards against returning a lease from `wait_until_held` before `on_granted` has completed."""

    async def main():
        written = []

        async def granted(lease):
            await anyio.sleep(0.2)
            written.append(lease.id)

        async with (
            KeyValueClient(base_url=control.base_url) as client,
            LeaseKeeper(client=client, ttl_seconds=TTL_SECONDS, on_granted=granted) as keeper,
        ):
            with anyio.fail_after(10):
                first = await keeper.wait_until_held()
                assert written == [first.id]
                # A second wait returns the lease at once.
                assert (await keeper.wait_until_held()).id == first.id

    anyio.run(main)


@pytest.mark.parametrize(
    "faults",
    [{"outage": True}, {"outage": "reset"}, {"writes_per_second": 0}, {"expire_all_leases": True}],
)
def test_lapse_of_a_lease_that_is_not_renewed_is_reported(control, faults):
    async def body(client, keeper, clock, first):
        await anyio.to_thread.run_sync(lambda: control.set_faults(**faults))
        while keeper.lapses == 0:
            assert keeper.lease is None or keeper.lease.id == first.id
            await anyio.sleep(0.01)
        assert keeper.last_error is not None
        await anyio.to_thread.run_sync(lambda: control.set_faults(**dict.fromkeys(faults)))
        assert (await keeper.wait_until_held()).id != first.id

    events = run(control, body)
    assert [kind for kind, _ in events] == ["granted", "lapsed", "granted"]


def test_renewed_time_counts_from_sending_the_request(control):
    async def body(client, keeper, clock, first):
        # The response is so slow that the renewed lease has only a little time left.
        await anyio.to_thread.run_sync(lambda: control.set_faults(answer_delay_ms=700))
        while (lease := keeper.lease) is None or lease.valid_until == first.valid_until:
            await anyio.sleep(0.005)
        assert keeper.remaining_seconds < TTL_SECONDS - 0.6

    run(control, body)


def test_keeper_can_be_entered_during_an_outage(control):
    async def main():
        control.set_faults(outage=True)
        async with (
            KeyValueClient(base_url=control.base_url) as client,
            LeaseKeeper(client=client, ttl_seconds=TTL_SECONDS) as keeper,
        ):
            await anyio.sleep(0.2)
            assert keeper.lease is None
            await anyio.to_thread.run_sync(lambda: control.set_faults(outage=None))
            with anyio.fail_after(10):
                assert await keeper.wait_until_held()

    anyio.run(main)
