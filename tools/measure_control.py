"""Measures the overhead of agents: key-value calls, traffic between hosts, CPU and memory."""

from __future__ import annotations

import argparse
import collections
import json
import os
import pathlib
import time
from typing import NamedTuple

import anyio
import anyio.to_thread
from returns.result import Success

from filbertreach.agent import sha256_hex
from filbertreach.records import ENVIRONMENTS_PREFIX
from filbertreach_standins.agent_fleet import AgentFleet, ViewOnlyDaemon

_SETTLE_SECONDS = 8.0
_CHANGE_SECONDS = 15.0
_POLL_SECONDS = 0.01
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class _Sample(NamedTuple):
    """Counters of a fleet at one time."""

    sampled_at: float
    """Monotonic time in seconds."""
    calls_by_kind: collections.Counter[str]
    """Calls to the key-value service."""
    host_bytes: int
    """Bytes between agents in both directions, including the protocol overhead of NNG."""
    cpu_seconds: float
    """CPU time of all agents, in seconds."""
    largest_bytes: int
    """Largest resident set of any agent, in bytes."""
    links: float
    """Number of links of all agents."""


async def _sample(fleet: AgentFleet) -> _Sample:
    counters = await anyio.to_thread.run_sync(fleet.key_value.counters)
    cpu, largest = 0.0, 0
    for host in fleet.slot_by_host:
        folder = pathlib.Path(f"/proc/{fleet.process_id(host)}")
        fields = (folder / "stat").read_text().rsplit(")", 1)[1].split()
        cpu += (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND
        largest = max(largest, int((folder / "statm").read_text().split()[1]) * _PAGE_BYTES)
    forwarded_bytes = sum(slot.inbox.bytes_forwarded for slot in fleet.slot_by_host.values())
    calls = collections.Counter(counters["calls"])
    links = sum([await fleet.metric(host, "filbertreach_links") for host in fleet.slot_by_host])
    return _Sample(time.monotonic(), calls, forwarded_bytes, cpu, largest, links)


def _document(generation: int, document_bytes: int) -> str:
    head = f"[environment]\nname = shop\n; generation {generation}\n"
    filler = "; " + "x" * 77 + "\n"
    text = head + filler * max(0, (document_bytes - len(head)) // len(filler))
    value = {
        "environment": "shop",
        "generation": generation,
        "digest": sha256_hex(text),
        "text": text,
    }
    return json.dumps(value)


async def _put_environment(fleet: AgentFleet, key: str, value: str) -> None:
    result = await fleet.client.put(f"{ENVIRONMENTS_PREFIX}shop/{key}", value)
    assert isinstance(result, Success), result


async def _wait_until_ready(fleet: AgentFleet) -> None:
    while not all([await fleet.is_ready(host) for host in fleet.slot_by_host]):
        await anyio.sleep(0.2)


async def _propose_and_accept(
    fleet: AgentFleet, daemon: ViewOnlyDaemon, document_bytes: int
) -> float:
    """Proposes and accepts generation 2; returns the seconds until the daemon uses it."""
    await _put_environment(fleet, "proposed", _document(2, document_bytes))
    await anyio.sleep(_CHANGE_SECONDS / 3)
    await _put_environment(fleet, "accepted", _document(2, document_bytes))
    started = time.monotonic()
    await fleet.client.delete(f"{ENVIRONMENTS_PREFIX}shop/proposed")
    while daemon.view.environment_by_name["shop"].generation != 2:
        await anyio.sleep(_POLL_SECONDS)
    return time.monotonic() - started


def _report(phase: str, hosts: int, before: _Sample, after: _Sample, **extra: float) -> None:
    seconds = after.sampled_at - before.sampled_at
    calls = after.calls_by_kind - before.calls_by_kind
    line = {
        "phase": phase,
        "hosts": hosts,
        "seconds": round(seconds, 1),
        "calls_per_host_per_s": round(calls.total() / seconds / hosts, 3),
        "calls_per_s": round(calls.total() / seconds, 3),
        "calls": dict(calls),
        "bytes_per_host_per_s": round((after.host_bytes - before.host_bytes) / seconds / hosts),
        "cpu_share_per_host": round((after.cpu_seconds - before.cpu_seconds) / seconds / hosts, 4),
        "largest_mb": round(after.largest_bytes / 1e6, 1),
        "links_per_host": round(after.links / hosts, 1),
        **extra,
    }
    print(json.dumps(line), flush=True)


async def _measure(hosts: int, seconds: float, document_bytes: int) -> None:
    async with AgentFleet(hosts=hosts) as fleet:
        await _put_environment(fleet, "accepted", _document(1, document_bytes))
        fleet.start()
        await _wait_until_ready(fleet)
        async with ViewOnlyDaemon(fleet=fleet, host="host-1") as daemon:
            await anyio.sleep(_SETTLE_SECONDS)
            before = await _sample(fleet)
            await anyio.sleep(seconds)
            after = await _sample(fleet)
            _report("idle", hosts, before, after)
            in_force_seconds = await _propose_and_accept(fleet, daemon, document_bytes)
            await anyio.sleep(_CHANGE_SECONDS * 2 / 3)
            changed = await _sample(fleet)
            _report("change", hosts, after, changed, in_force_seconds=round(in_force_seconds, 3))


def main() -> None:
    """Measures fleets of the given sizes, one after the other."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, nargs="+", default=[2, 4, 8])
    parser.add_argument("--seconds", type=float, default=30.0, help="length of the idle phase")
    parser.add_argument("--document-bytes", type=int, default=20_000)
    arguments = parser.parse_args()
    for hosts in arguments.hosts:
        anyio.run(_measure, hosts, arguments.seconds, arguments.document_bytes)


if __name__ == "__main__":
    main()
