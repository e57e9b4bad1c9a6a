"""Open connections to leafs go silent while they are idle; the leafs are never called again."""

import asyncio
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

CLIENTS = 8
"""Clients of the later route; a zone of the site has 24 clients for three machines."""
SHARDS = 4
LEAF_IDLE_SECONDS = 5
"""Time after which a leaf closes an idle connection, as it states in `Keep-Alive`."""
WARM_UP_SECONDS = 4.0
QUIET_SECONDS = 7.0
"""Time without requests to the later route; longer than `stable_window_ms` (5 s)."""
JUDGED_SECONDS = 30.0
PAUSE_SECONDS = 0.4
"""Pause of a client between two requests."""
FIRST = {
    "name": "first",
    "prefix": "/first/",
    "route_kind": "idempotent",
    "timeout_ms": 3000,
    "objective_ms": 1077,
    "service": "manutencao",
}
LATER = {
    "name": "later",
    "prefix": "/later/",
    "route_kind": "idempotent",
    "timeout_ms": 1000,
    "objective_ms": 174,
    "gather": [f"contas~{number}" for number in range(SHARDS)],
    "top_k": 10,
    "floor": 0.89,
}
LIMITS = {"manutencao": 100, **{f"contas~{number}": 26 for number in range(SHARDS)}}


async def _answer(leaf: Leaf, request: Request, writer: asyncio.StreamWriter) -> bool:
    await asyncio.sleep(0.02)
    body = b"".join(f"{leaf.name}-{number}".encode().ljust(16, b".") for number in range(3))
    writer.write(leaf.answer(request, body))
    return True


async def _send(
    case: Case, gateway: Gateway, path: str, name: str, until: float, *, deadline_ms: int
) -> list[int]:
    """Sends requests one after the other; returns their statuses."""
    client = Client(gateway=gateway, record=case.record)
    statuses = []
    while time.monotonic() < until:
        request_id = f"{name}-{len(statuses)}"
        answer = await client.request(path, request_id, deadline_ms=deadline_ms)
        statuses.append(answer.status)
        await asyncio.sleep(PAUSE_SECONDS)
    client.close()
    return statuses


async def _send_later(case: Case, gateway: Gateway, name: str, seconds: float) -> list[int]:
    until = time.monotonic() + seconds
    senders = [
        _send(case, gateway, "/later/unit", f"{name}{number}", until, deadline_ms=1000)
        for number in range(CLIENTS)
    ]
    return [status for statuses in await asyncio.gather(*senders) for status in statuses]


def _share(statuses: list[int]) -> float:
    return statuses.count(200) / max(1, len(statuses))


async def main(case: Case) -> str:
    """Runs the case; returns what broke the rule."""
    leaf_options = {"idle_seconds": LEAF_IDLE_SECONDS, "relayed": True}
    for number in range(3):
        await case.add_leaf(f"i-m{number}", "manutencao", _answer, **leaf_options)
    for shard in range(SHARDS):
        for number in range(2):
            name = f"i-c{shard}{number}"
            await case.add_leaf(name, f"contas~{shard}", _answer, slots=2, **leaf_options)
    case.store.put("op/config", configuration(7, [FIRST], LIMITS))
    gateway = await case.add_gateway("front-1")
    case.store.put("op/config", configuration(9, [FIRST, LATER], LIMITS))
    case.record.write("operator adds the later route in version 9")
    await asyncio.sleep(3.5)

    whole_seconds = WARM_UP_SECONDS + QUIET_SECONDS + JUDGED_SECONDS
    until = time.monotonic() + whole_seconds
    first = asyncio.create_task(
        _send(case, gateway, "/first/unit", "first", until, deadline_ms=3000)
    )
    warm_up = await _send_later(case, gateway, "before", WARM_UP_SECONDS)
    if _share(warm_up) < 0.9:
        raise CannotRunError(f"the later route was not served before: {warm_up}")
    if case.trouble:
        open_now = {leaf.name: leaf.relay.open for leaf in case.leafs if leaf.relay}
        case.record.write(f"all open connections to leafs go silent: {open_now}")
        for leaf in case.leafs:
            assert leaf.relay is not None
            leaf.relay.silence()
    await asyncio.sleep(QUIET_SECONDS)
    case.record.write("clients use the later route again; this is judged")
    began_first = time.monotonic()
    later = await _send_later(case, gateway, "after", JUDGED_SECONDS)
    first_statuses = await first
    judged_first = first_statuses[-int((time.monotonic() - began_first) / (PAUSE_SECONDS + 0.1)) :]
    case.record.write(f"later route: {len(later)} requests, {later.count(200)} served")
    case.record.write(
        f"first route: {len(judged_first)} requests, {judged_first.count(200)} served"
    )
    if len(later) >= 20 and _share(later) < 0.25 * _share(judged_first):
        return (
            f"CONFIG: of {len(later)} requests on the later route {later.count(200)} were served, "
            f"of {len(judged_first)} on the first route {judged_first.count(200)}"
        )
    return ""


if __name__ == "__main__":
    run(FOLDER, main)
