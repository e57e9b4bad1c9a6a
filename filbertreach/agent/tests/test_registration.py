"""Guards against a host record that is outdated, lost or overwritten by an older agent."""

import contextlib
import json

import anyio
import pytest
from returns.result import Failure, Success

from filbertreach.agent._registration import HostRegistration, RegistrationOptions
from filbertreach.platform import KeyValueClient, OutcomeUnknownError
from filbertreach_standins._process import StandInProcess

_KEY = "filbertreach/hosts/host-1"
_WAIT_SECONDS = 20.0


class _DelayingClient(KeyValueClient):
    """Withholds one write, and delivers it on request after later ones have taken effect."""

    withhold_next = False
    withheld = None

    async def put(self, key, value, expected_revision=None, lease=None):
        if self.withhold_next:
            self.withhold_next = False
            self.withheld = (key, value, expected_revision, lease)
            return Failure(OutcomeUnknownError("no answer"))
        return await super().put(key, value, expected_revision, lease)

    async def deliver_withheld(self):
        return await super().put(*self.withheld)


def _record(state, incarnation=5):
    return {
        "host": "host-1",
        "agent_address": "127.0.0.1:1",
        "incarnation": incarnation,
        "state": state,
        "region": "minho",
        "data_centre": "minho-1",
        "prepared": {},
        "in_force": {},
        "members": [],
    }


@contextlib.asynccontextmanager
async def _registered(state, *, lease_seconds=10.0):
    with StandInProcess(module="key_value") as process:
        async with _DelayingClient(base_url=process.control.base_url) as client:
            registration = HostRegistration(
                RegistrationOptions(
                    client=client,
                    host="host-1",
                    incarnation=5,
                    lease_seconds=lease_seconds,
                    record=lambda: _record(state[0]),
                    fleet_size=lambda: 1,
                )
            )
            yield registration, client, process.control


async def _until_state(client, state):
    with anyio.fail_after(_WAIT_SECONDS):
        while True:
            result = await client.get(_KEY)
            if isinstance(result, Success) and json.loads(result.unwrap().value)["state"] == state:
                return
            await anyio.sleep(0.02)


def test_a_delayed_write_does_not_replace_a_newer_record():
    async def run():
        state = ["starting"]
        async with _registered(state) as (registration, client, _control):
            async with registration:
                await _until_state(client, "starting")
                client.withhold_next = True
                state[0] = "live"
                registration.mark_changed()
                with anyio.fail_after(_WAIT_SECONDS):
                    while client.withheld is None:
                        await anyio.sleep(0.01)
                state[0] = "leaving"
                registration.mark_changed()
                await _until_state(client, "leaving")
                assert not isinstance(await client.deliver_withheld(), Success)
                await _until_state(client, "leaving")
            assert not isinstance(await client.get(_KEY), Success)

    anyio.run(run)


@pytest.mark.parametrize(
    "faults",
    [{"expire_all_leases": True}, {"lose_answers": {"next": 2}}, {"stale_reads": True}],
    ids=str,
)
def test_the_record_is_restored_after_faults(faults):
    async def run():
        state = ["starting"]
        async with (
            _registered(state, lease_seconds=1.0) as (registration, client, control),
            registration,
        ):
            await _until_state(client, "starting")
            control.set_faults(**faults)
            state[0] = "live"
            registration.mark_changed()
            if "stale_reads" in faults:
                with anyio.fail_after(_WAIT_SECONDS):
                    while not registration.is_written:
                        await anyio.sleep(0.02)
                control.set_faults(stale_reads=False)
            await _until_state(client, "live")

    anyio.run(run)


def test_the_record_of_a_newer_agent_is_not_overwritten():
    async def run():
        async with _registered(["live"]) as (registration, client, _control):
            newer = json.dumps(_record("starting", incarnation=6))
            assert isinstance(await client.put(_KEY, newer), Success)
            async with registration:
                await anyio.sleep(1.0)
                assert not registration.is_written
            assert (await client.get(_KEY)).unwrap().value == newer

    anyio.run(run)
