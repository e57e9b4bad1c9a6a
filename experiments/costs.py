"""CPU and memory cost of individual operations, for docs/CAPACITY.md."""

import gc
import json
import resource
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import anyio
import msgspec

from experiments._registry import experiment
from filbertreach.decisions import LeafTracker, make_replica_policy
from filbertreach.dispatch._queue import QueuedCall, make_queue
from filbertreach.document import Leaf, Pool, Rank, parse_document
from filbertreach.entry._merging import make_merger
from filbertreach.membership import owner_candidates
from filbertreach.schema import Answer, Call, Member
from filbertreach.transport import Peer, ReceivedMessage, Transport
from filbertreach_standins.ports import free_address

_FRAME_SIZES = (1, 25, 100, 580)
_DOCUMENT_LEAVES = (100, 1000, 6100)
_MEMBERS = (8, 100, 1200)
_POOL = Pool(name="counter", slots=2, connections=12, connect_cost_ms=6)


@experiment("costs", "What does each step of a query and of control cost, and how does it grow?")
def run(seed: int, short: bool) -> dict[str, Any]:
    """Measures CPU time and memory of individual operations in this process.

    Args:
        seed: Not used; the inputs are fixed.
        short: Whether to repeat less often.

    Returns:
        Figures by step.
    """
    repeats = 20 if short else 100
    return {
        "frame_cpu_us_per_message": {
            str(size): anyio.run(_frame_us, size, repeats, backend_options={"use_uvloop": True})
            for size in _FRAME_SIZES
        },
        "call_bytes": len(msgspec.msgpack.encode(_call(0))),
        "answer_bytes": len(msgspec.msgpack.encode(_answer(0))),
        "document": {str(count): _document(count) for count in _DOCUMENT_LEAVES},
        "owner_of_us": {str(count): _owner_order_us(count, repeats) for count in _MEMBERS},
        "queue_push_and_pop_us": _queue_us(2000),
        "replica_choice_us": _replica_choice_us(2000),
        "merge_580_shards_ms": _merge_ms(repeats),
        "peer_bytes": _bytes_per_object(lambda n: [Peer(address=f"10.0.0.{n}:1", created_at=0.0)]),
        "leaf_tracker_bytes": _bytes_per_object(lambda n: [LeafTracker(leaf=_leaf(n), pool=_POOL)]),
        "peak_rss_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
    }


class _CountingReceiver:
    """Counts messages and wakes the sender when all have arrived."""

    def __init__(self) -> None:
        self.remaining = 0
        self.arrived = anyio.Event()

    def on_message(self, received: ReceivedMessage) -> None:
        """Counts a message."""
        self.remaining -= 1
        if self.remaining == 0:
            self.arrived.set()

    def on_peer_lost(self, peer: Peer) -> None:
        """Does nothing."""


async def _frame_us(size: int, repeats: int) -> float:
    """Returns CPU of sending and receiving a message in frames of `size`, in microseconds."""
    sink = _CountingReceiver()
    near = Transport(name="near", address=free_address(), incarnation=1, events=_CountingReceiver())
    far = Transport(name="far", address=free_address(), incarnation=2, events=sink)
    messages = [_call(number) for number in range(size)]
    async with near, far:
        near.keep_connected({far.address})
        while not near.is_reachable(far.address):
            await anyio.sleep(0.01)
        started = time.process_time()
        for _ in range(repeats):
            sink.remaining, sink.arrived = size, anyio.Event()
            for message in messages:
                near.send(address=far.address, message=message)
            await sink.arrived.wait()
        return round(1e6 * (time.process_time() - started) / repeats / size, 1)


def _call(number: int) -> Call:
    return Call(
        kind="call",
        call_id=f"{number:x}",
        query_id="counter-2026-12-04-000001",
        environment="aquecer-production",
        generation=41,
        service=f"fleet-{number}",
        shard=f"fleet-{number}",
        version=41,
        rank="booking",
        client="hotel-azul",
        application="counter",
        idempotent=True,
        remaining_ms=85.0,
        trace_parent="00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00",
        body={"near": "largo do carmo", "from": "2026-12-05T18:00", "rows": 10},
    )


def _answer(number: int) -> Answer:
    rows = [
        {"id": f"fleet-{number}-{row}", "shard": f"fleet-{number}", "version": 41, "score": 0.6089}
        for row in range(10)
    ]
    return Answer(
        kind="answer",
        call_id=f"{number:x}",
        query_id="counter-2026-12-04-000001",
        shard=f"fleet-{number}",
        version=41,
        rows=rows,
        leaf=f"fleet-{number}-a",
        queue_ms=0.5,
        leaf_ms=12.0,
        attempts=1,
    )


def _document(leaves: int) -> dict[str, float]:
    """Returns size and parse time of a document of services with 2 leaves each."""
    parts = ["[environment]\nname = x\n[pool counter]\nslots = 2\nconnections = 12\n"]
    for service in range(leaves // 2):
        place = f"region-{service % 6}/data-centre-{service % 21}"
        parts.append(
            f"[service fleet-{service}]\npool = counter\nleaves =\n"
            f"    fleet-{service}-a 10.0.{service // 250}.{service % 250}:9000 {place}\n"
            f"    fleet-{service}-b 10.1.{service // 250}.{service % 250}:9000 {place}\n"
        )
    text = "".join(parts)
    gc.collect()
    started = time.process_time()
    environment = parse_document(text=text).unwrap()
    seconds = time.process_time() - started
    assert len(environment.services_by_name) == leaves // 2
    return {"bytes": len(text.encode()), "parse_ms": round(1000 * seconds, 1)}


def _owner_order_us(members: int, repeats: int) -> float:
    """Returns the time to order the candidates of a service, scores cached, in microseconds."""
    candidates = [
        Member(
            name=f"dispatch-{number}",
            host=f"host-{number}",
            role="dispatch",
            address=f"10.2.{number // 250}.{number % 250}:7100",
            incarnation=1,
            region=f"region-{number % 6}",
            data_centre=f"data-centre-{number % 21}",
            state="live",
        )
        for number in range(members)
    ]

    def order(_number: int) -> None:
        owner_candidates(
            environment="x",
            service_name="fleet-1",
            service_regions=["region-1"],
            candidates=candidates,
        )

    order(0)
    return _microseconds(order, repeats)


def _queue_us(calls: int) -> float:
    rank = Rank(name="booking", priority=0, target_ms=90, worth=1, kept_share=0.2)
    queue = make_queue(policy="ranked", ranks={"booking": rank}, max_length=10_000)

    def push_and_pop(number: int) -> None:
        queue.push(QueuedCall(str(number), "booking", f"c{number % 50}", 1.0, 0.0, 1.0, None))
        if number >= 100:
            queue.pop(0.0)

    return _microseconds(push_and_pop, calls)


def _replica_choice_us(calls: int) -> float:
    policy = make_replica_policy(name="least_expected_wait")
    trackers = [LeafTracker(leaf=_leaf(number), pool=_POOL) for number in range(2)]
    return _microseconds(lambda number: policy.choose(trackers, number / 1000), calls)


def _merge_ms(repeats: int) -> float:
    rows = [_answer(number)["rows"] for number in range(580)]

    def merge(_number: int) -> None:
        merger = make_merger(
            kind="top", order_by="score", descending=True, limit=10, max_rows=10_000
        )
        for number, shard_rows in enumerate(rows):
            merger.add(f"fleet-{number}", 41, shard_rows)
        merger.result()

    return round(_microseconds(merge, repeats) / 1000, 2)


def _leaf(number: int) -> Leaf:
    return Leaf(id=f"leaf-{number}", address=f"10.0.0.{number}:9000", region="r", data_centre="d")


def _microseconds(step: Callable[[int], Any], repeats: int) -> float:
    started = time.process_time()
    for number in range(repeats):
        step(number)
    return round(1e6 * (time.process_time() - started) / repeats, 1)


def _bytes_per_object(make: Callable[[int], Any]) -> int:
    """Returns the bytes per object, from the growth of allocated memory."""
    count = 2000
    gc.collect()
    tracemalloc.start()
    kept = [make(number) for number in range(count)]
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(kept) == count
    return size // count


if __name__ == "__main__":
    print(json.dumps(run(1, False), indent=1))
