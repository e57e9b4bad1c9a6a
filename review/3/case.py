"""Another writer leaves an unreadable entry in the store; every gateway ends, again and again."""

import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from harness import (  # noqa: E402
    CannotRunError,
    Case,
    Client,
    Gateway,
    Leaf,
    Request,
    configuration,
    run,
)

CLIENTS_PER_GATEWAY = 4
BEFORE_SECONDS = 4.0
AFTER_SECONDS = 20.0
RESTART_SECONDS = 0.5
"""Delay after which the platform starts a process again that has ended."""
ENDS = 3
"""Ends of a process by itself that break the rule, on two machines."""
ROUTE = {
    "name": "history",
    "prefix": "/history/",
    "route_kind": "idempotent",
    "timeout_ms": 3000,
    "objective_ms": 1077,
    "service": "manutencao",
}


def _foreign_entry() -> bytes:
    """Returns an entry whose `slots` is a number that no integer or floating-point type holds."""
    entry = {
        "service": "manutencao",
        "address": "127.0.0.1:9",
        "zone": "braga-a",
        "version": "v1",
        "slots": "SLOTS",
        "state": "ready",
        "cold_left_ms": 0,
        "sequence": 1,
        "born": 1_790_000_000_000,
    }
    return json.dumps(entry).replace('"SLOTS"', "9" * 400).encode()


async def _answer(leaf: Leaf, request: Request, writer: asyncio.StreamWriter) -> bool:
    await asyncio.sleep(0.1)
    writer.write(leaf.answer(request, b"history"))
    return True


async def _keep_running(
    case: Case, gateway: Gateway, ends: dict[str, list[int | None]], stopping: asyncio.Event
) -> None:
    """Starts a process again whenever it has ended by itself, as the platform does."""
    while not stopping.is_set():
        assert gateway.process is not None
        code = await gateway.process.wait()
        if stopping.is_set():
            return
        ends[gateway.name].append(code)
        case.record.write(f"{gateway.name} ended by itself with exit code {code}")
        await asyncio.sleep(RESTART_SECONDS)
        if not stopping.is_set():
            await gateway.start()
    await gateway.end()


async def _send(case: Case, gateway: Gateway, name: str, until: float) -> list[tuple[float, int]]:
    """Sends requests one after the other; returns the times and statuses."""
    client = Client(gateway=gateway, record=case.record)
    results = []
    while time.monotonic() < until:
        sent_at = time.monotonic()
        try:
            answer = await client.request("/history/unit", f"{name}-{len(results)}")
            results.append((sent_at, answer.status))
        except OSError:
            results.append((sent_at, 0))
            client.close()
        await asyncio.sleep(0.2)
    client.close()
    return results


async def main(case: Case) -> str:
    """Runs the case; returns what broke the rule."""
    for number in range(3):
        await case.add_leaf(f"i-{number}", "manutencao", _answer)
    case.store.put("op/config", configuration(7, [ROUTE], {"manutencao": 100}))
    for number in (1, 2):
        await case.add_gateway(f"front-{number}")
    ends: dict[str, list[int | None]] = {gateway.name: [] for gateway in case.gateways}
    stopping = asyncio.Event()
    keepers = [asyncio.create_task(_keep_running(case, g, ends, stopping)) for g in case.gateways]
    until = time.monotonic() + BEFORE_SECONDS + AFTER_SECONDS
    clients = [
        asyncio.create_task(_send(case, gateway, f"{gateway.name}-c{number}", until))
        for gateway in case.gateways
        for number in range(CLIENTS_PER_GATEWAY)
    ]
    await asyncio.sleep(BEFORE_SECONDS)
    disrupted_at = time.monotonic()
    if case.trouble:
        revision = case.store.put("servers/i-foreign", _foreign_entry())
        case.record.write(f"another writer writes servers/i-foreign, acknowledged as {revision}")
    results = [result for results in await asyncio.gather(*clients) for result in results]
    stopping.set()
    for gateway in case.gateways:
        await gateway.end()
    await asyncio.gather(*keepers)
    before = [status for sent_at, status in results if sent_at < disrupted_at]
    # The last instant before the entry and the first one after it are left out.
    after = [status for sent_at, status in results if sent_at > disrupted_at + 1.0]
    case.record.write(f"before: {before.count(200)} of {len(before)} served")
    case.record.write(f"after: {after.count(200)} of {len(after)} served; ends: {ends}")
    if before.count(200) < 0.9 * len(before) or len(before) < 20:
        raise CannotRunError("the route was not served before")
    if sum(len(codes) >= ENDS for codes in ends.values()) >= 2:
        return (
            f"Fault: processes ended by themselves, exit codes {ends}; served before "
            f"{before.count(200)} of {len(before)}, after {after.count(200)} of {len(after)}"
        )
    return ""


if __name__ == "__main__":
    run(FOLDER, main)
