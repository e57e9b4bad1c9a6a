"""Runs agents as processes: guards configuration, membership and readiness under failures.

The limits come from docs/design.md: a change is in force everywhere within 17 s, the state of the
key-value service counts as fresh for 5 s, and a silent process is detected after 2 s.
"""

import contextlib
import json
import signal
import time

import anyio
import pytest
from returns.result import Success

from filbertreach_standins.agent_fleet import AgentFleet, ViewOnlyDaemon

_IN_FORCE_SECONDS = 17.0
_START_SECONDS = 60.0
_MAX_STALENESS_SECONDS = 5.0
_LEASE_SECONDS = 3.0
_FAST_SETTINGS = {"poll_seconds": 1, "host_list_seconds": 0.5, "lease_seconds": _LEASE_SECONDS}
_PREFIX = "filbertreach/environments/shop"


def _digest_of(text):
    return "digest of " + text[-40:]


def _text(generation):
    return f"[environment]\nname = shop\n# generation {generation}\n"


def _value(generation):
    text = _text(generation)
    document = {
        "environment": "shop",
        "generation": generation,
        "digest": _digest_of(text),
        "text": text,
    }
    return json.dumps(document)


async def _until(condition, seconds):
    """Waits for an async condition; returns whether it was met in time."""
    with anyio.move_on_after(seconds):
        while not await condition():
            await anyio.sleep(0.05)
        return True
    return False


async def _put(fleet, suffix, generation):
    """Repeats a write, as an operator does, until it is known to have taken effect."""
    key = f"{_PREFIX}/{suffix}"
    while True:
        result = await fleet.client.put(key, _value(generation))
        if isinstance(result, Success):
            return
        await anyio.sleep(0.05)


async def _accept(fleet, generation):
    await _put(fleet, "accepted", generation)
    while True:
        result = await fleet.client.delete(f"{_PREFIX}/proposed")
        if isinstance(result, Success) or "does not exist" in str(result.failure()):
            return
        await anyio.sleep(0.05)


def _generation(process):
    environment = process.view.environment_by_name.get("shop")
    return 0 if environment is None else environment.generation


async def _in_force(processes, generation):
    async def reached():
        return all(_generation(process) == generation for process in processes)

    return await _until(reached, _IN_FORCE_SECONDS)


async def _all_ready(fleet, hosts=None):
    async def ready():
        return all([await fleet.is_ready(host) for host in hosts or fleet.slot_by_host])

    return await _until(ready, _START_SECONDS)


@contextlib.asynccontextmanager
async def _running(hosts, processes_on=None):
    """A fleet whose hosts each run one entry process, with generation 1 in force."""
    async with AgentFleet(hosts=hosts, agent_options=_FAST_SETTINGS) as fleet:
        await _put(fleet, "accepted", 1)
        fleet.start()
        assert await _all_ready(fleet)
        async with contextlib.AsyncExitStack() as stack:
            processes = {}
            for host in processes_on or fleet.slot_by_host:
                process = ViewOnlyDaemon(fleet=fleet, host=host)
                processes[host] = await stack.enter_async_context(process)
            assert await _in_force(processes.values(), 1)
            yield fleet, processes


def _assert_never_reverted(processes):
    for process in processes.values():
        assert process.generations_seen == sorted(process.generations_seen)


async def _prepared(fleet, generation):
    digest = _digest_of(_text(generation))

    async def confirmed():
        records = [await fleet.record(host) for host in fleet.slot_by_host]
        return all(record.get("prepared") == {"shop": digest} for record in records)

    return await _until(confirmed, _IN_FORCE_SECONDS)


async def _reported(fleet, host, generation):
    async def reported():
        in_force = (await fleet.record(host)).get("in_force", {})
        return in_force.get("shop", {}).get("generation") == generation

    return await _until(reported, _IN_FORCE_SECONDS)


def test_a_change_is_prepared_then_in_force_and_reported_only_when_processes_have_it():
    async def run():
        async with _running(3) as (fleet, processes):
            await _put(fleet, "proposed", 2)
            assert await _prepared(fleet, 2)
            assert all(_generation(process) == 1 for process in processes.values())
            # This process keeps reporting that generation 1 is in force.
            slow = processes["host-2"]
            slow.view._install_document = lambda copy: False
            await _accept(fleet, 2)
            assert await _in_force([processes["host-1"], processes["host-3"]], 2)
            assert await _reported(fleet, "host-1", 2)
            assert (await fleet.record("host-2"))["in_force"]["shop"]["generation"] == 1
            del slow.view._install_document
            assert await _reported(fleet, "host-2", 2)

    anyio.run(run)


@pytest.mark.parametrize(
    "faults",
    [
        {"delay_ms": 400},
        {"answer_delay_ms": 600},
        {"lose_answers": 0.5},
        {"lose_requests": 0.5},
        {"stale_reads": True},
        {"stalled_watches": True},
        {"stalled_watches": "hang"},
        {"expire_all_leases": True},
    ],
    ids=str,
)
def test_a_change_is_in_force_everywhere_under_faults_of_the_store(faults):
    async def run():
        async with _running(3) as (fleet, processes):
            fleet.key_value.set_faults(**faults)
            for generation in (2, 3):
                await _put(fleet, "proposed", generation)
                assert await _prepared(fleet, generation)
                await _accept(fleet, generation)
                assert await _in_force(processes.values(), generation)
            fleet.key_value.set_faults(stale_reads=True)
            await anyio.sleep(2.0)
            _assert_never_reverted(processes)

    anyio.run(run)


def test_an_older_document_in_the_store_does_not_revert_any_host():
    async def run():
        async with _running(2) as (fleet, processes):
            await _accept(fleet, 3)
            assert await _in_force(processes.values(), 3)
            await _put(fleet, "accepted", 2)
            fleet.kill("host-1")
            fleet.start("host-1")
            assert await _all_ready(fleet)
            await anyio.sleep(3.0)
            assert [_generation(process) for process in processes.values()] == [3, 3]
            assert (
                await fleet.metric("host-1", 'filbertreach_accepted_generation{environment="shop"}')
                == 3
            )
            _assert_never_reverted(processes)

    anyio.run(run)


@pytest.mark.parametrize("outage", [True, "hang"])
def test_a_host_that_starts_in_an_outage_gets_the_newest_documents_from_peers(outage):
    async def run():
        async with AgentFleet(hosts=3, agent_options=_FAST_SETTINGS) as fleet:
            await _put(fleet, "accepted", 1)
            fleet.start("host-1", "host-2")
            assert await _all_ready(fleet, ["host-1", "host-2"])
            await _put(fleet, "accepted", 2)
            async with ViewOnlyDaemon(fleet=fleet, host="host-1") as old:
                assert await _in_force([old], 2)
                fleet.key_value.set_faults(outage=outage)
                fleet.start("host-3")
                assert await _all_ready(fleet, ["host-3"])
                async with ViewOnlyDaemon(fleet=fleet, host="host-3") as new:
                    assert await _in_force([new], 2)
                    assert new.generations_seen == [2]
                    # Without an undecided proposal, hosts keep serving through an outage.
                    await anyio.sleep(_MAX_STALENESS_SECONDS + 1)
                    assert old.view.usable("shop") and new.view.usable("shop")

    anyio.run(run)


def test_a_first_start_without_store_and_peers_is_not_ready():
    async def run():
        async with AgentFleet(hosts=2, agent_options=_FAST_SETTINGS) as fleet:
            await _put(fleet, "accepted", 1)
            fleet.key_value.set_faults(outage=True)
            fleet.start()
            await anyio.sleep(6.0)
            assert [await fleet.is_ready(host) for host in fleet.slot_by_host] == [False, False]
            fleet.key_value.set_faults(outage=False)
            assert await _all_ready(fleet)

    anyio.run(run)


def test_an_agent_paused_beyond_its_lease_installs_what_was_accepted_meanwhile():
    async def run():
        async with _running(3) as (fleet, processes):
            fleet.signal("host-2", signal.SIGSTOP)

            async def expired():
                return not await fleet.record("host-2")

            assert await _until(expired, _IN_FORCE_SECONDS)
            await _accept(fleet, 2)
            assert await _in_force([processes["host-1"], processes["host-3"]], 2)
            fleet.signal("host-2", signal.SIGCONT)
            assert await _in_force(processes.values(), 2)
            assert await _reported(fleet, "host-2", 2)
            _assert_never_reverted(processes)
            # The paused agent must not have mistaken its own pause for silence of its peers.
            for host in ("host-1", "host-3"):
                assert await fleet.metric("host-2", 'filbertreach_hosts{state="gone"}') == 0
                assert processes[host].view.is_loaded

    anyio.run(run)


@pytest.mark.parametrize("undecided", [True, False])
def test_processes_whose_agent_is_paused_stop_only_while_a_proposal_is_undecided(undecided):
    async def run():
        async with _running(3) as (fleet, processes):
            if undecided:
                await _put(fleet, "proposed", 2)
                assert await _prepared(fleet, 2)
            fleet.signal("host-2", signal.SIGSTOP)
            if undecided:
                await _accept(fleet, 2)

            async def stopped():
                return not processes["host-2"].view.usable("shop")

            assert await _until(stopped, _MAX_STALENESS_SECONDS + 4.0) is undecided
            fleet.signal("host-2", signal.SIGCONT)

            async def usable():
                return processes["host-2"].view.usable("shop")

            assert await _in_force(processes.values(), 2 if undecided else 1)
            assert await _until(usable, _IN_FORCE_SECONDS)

    anyio.run(run)


def _members(process):
    return {member["name"] for member in process.view.members}


def test_two_hosts_that_cannot_reach_each_other_are_not_gone():
    async def run():
        async with _running(4) as (fleet, processes):
            everyone = {f"entry-{host}" for host in fleet.slot_by_host}

            async def complete():
                return all(_members(process) == everyone for process in processes.values())

            assert await _until(complete, _IN_FORCE_SECONDS)
            fleet.partitioned_pairs.add(frozenset(("host-1", "host-2")))
            # Longer than the detection of silence (2 s) and the largest timeout of a suspicion by
            # one observer together.
            end = time.monotonic() + 2.0 + 5.0 + 2.0
            while time.monotonic() < end:
                assert await complete()
                await anyio.sleep(0.1)
            fleet.kill("host-4")

            async def lost():
                return all(
                    _members(processes[host]) == everyone - {"entry-host-4"}
                    for host in ("host-1", "host-2", "host-3")
                )

            assert await _until(lost, _IN_FORCE_SECONDS)
            # A change reaches both hosts through the others.
            await _accept(fleet, 2)
            assert await _in_force([processes["host-1"], processes["host-2"]], 2)

    anyio.run(run)


@pytest.mark.parametrize("undecided", [True, False])
def test_regions_that_are_cut_off_stop_only_while_a_proposal_is_undecided(undecided):
    async def run():
        async with _running(6) as (fleet, processes):
            if undecided:
                await _put(fleet, "proposed", 2)
                assert await _prepared(fleet, 2)
            fleet.partition_regions("ribatejo", "alentejo")
            kept = [
                p for host, p in processes.items() if fleet.slot_by_host[host].region == "minho"
            ]
            cut = [p for p in processes.values() if p not in kept]

            async def stopped():
                return not any(process.view.usable("shop") for process in cut)

            if undecided:
                assert await _until(stopped, _IN_FORCE_SECONDS)
                await _accept(fleet, 2)
                assert await _in_force(kept, 2)
            else:
                assert not await _until(stopped, _MAX_STALENESS_SECONDS + 4.0)
            assert all(process.view.usable("shop") for process in kept)
            assert all(_generation(process) == 1 for process in cut)
            fleet.heal_partitions()
            assert await _in_force(processes.values(), 2 if undecided else 1)
            everyone = {f"entry-{host}" for host in fleet.slot_by_host}

            async def healed():
                return all(
                    _members(process) == everyone and process.view.usable("shop")
                    for process in processes.values()
                )

            assert await _until(healed, _START_SECONDS)

    anyio.run(run)


def test_an_outage_during_a_change_stops_no_host_that_reaches_a_majority():
    async def run():
        async with _running(3) as (fleet, processes):
            await _put(fleet, "proposed", 2)
            assert await _prepared(fleet, 2)
            fleet.key_value.set_faults(outage=True)
            end = time.monotonic() + _MAX_STALENESS_SECONDS + 3.0
            while time.monotonic() < end:
                assert all(process.view.usable("shop") for process in processes.values())
                await anyio.sleep(0.1)

    anyio.run(run)


def test_a_host_is_seen_as_leaving_before_it_is_gone():
    async def run():
        async with _running(2, processes_on=["host-1"]) as (fleet, processes):
            observer = processes["host-1"]
            states = []
            async with ViewOnlyDaemon(fleet=fleet, host="host-2", role="dispatch"):

                async def known():
                    return "dispatch-host-2" in _members(observer)

                assert await _until(known, _IN_FORCE_SECONDS)

                async def watch():
                    while True:
                        by_name = {m["name"]: m["state"] for m in observer.view.members}
                        states.append(by_name.get("dispatch-host-2", "gone"))
                        await anyio.sleep(0.02)

                async with anyio.create_task_group() as group:
                    group.start_soon(watch)
                    assert await fleet.stop("host-2") == 0
                    assert await fleet.record("host-2") == {}
                    group.cancel_scope.cancel()
            assert "leaving" in states
            assert "gone" not in states[: states.index("leaving")]

    anyio.run(run)


def test_leaving_hosts_of_the_host_list_reach_every_host():
    async def run():
        async with _running(3) as (fleet, processes):
            host = {"region": "minho", "data_centre": "minho-1", "state": "leaving"}
            hosts = [
                {"host": "host-2", "address": "127.0.0.1", "kind": "entry", **host},
                {"host": "leaf-1", "address": "127.0.0.9", "kind": "backend", **host},
            ]
            fleet.host_list.request("PUT", "/admin/hosts", {"hosts": hosts})

            async def seen():
                return all(
                    process.view.leaving_addresses == {"127.0.0.9"}
                    and {m["host"]: m["state"] for m in process.view.members}["host-2"] == "leaving"
                    for process in processes.values()
                )

            assert await _until(seen, 3.0)

    anyio.run(run)
