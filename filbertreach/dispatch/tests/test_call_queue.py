"""Guards against calls that are lost or served twice, and ranks that miss their kept share."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from filbertreach.dispatch._queue import QueuedCall, make_queue
from filbertreach.document import Rank

RANKS = {
    "booking": Rank("booking", 0, 90.0, 100.0, 0.2),
    "search": Rank("search", 1, 200.0, 10.0, 0.3),
    "sweep": Rank("sweep", 2, 900.0, 1.0, 0.1),
}
POLICIES = ["ranked", "fifo", "strict"]


def call(number, rank="booking", client="a", share=1.0, deadline=math.inf):
    return QueuedCall(str(number), rank, client, share, 0.0, deadline, None)


def ids(calls):
    return [item.call_id for item in calls]


def pop_all(queue):
    return list(iter(lambda: queue.pop(0.0), None))


@pytest.mark.parametrize(
    ("policy", "expected"),
    [("ranked", "bcaed"), ("fifo", "abcde"), ("strict", "bcaed")],
)
def test_order(policy, expected):
    queue = make_queue(policy=policy, ranks=RANKS, max_length=10)
    for name, rank in zip(
        "abcde", ["search", "booking", "booking", "sweep", "search"], strict=True
    ):
        queue.push(call(name, rank))
    assert queue.length_by_rank() == {"booking": 2, "search": 2, "sweep": 1}
    assert "".join(ids(pop_all(queue))) == expected


_OPERATIONS = st.lists(
    st.one_of(
        st.tuples(
            st.just("push"),
            st.sampled_from([*RANKS, "unknown"]),
            st.sampled_from("abcd"),
            st.sampled_from([0.0, 0.5, 1.0, 3.0]),
            st.integers(0, 20),
        ),
        st.tuples(st.just("pop")),
        st.tuples(st.just("remove"), st.integers(0, 60)),
        st.tuples(st.just("expire"), st.integers(0, 20)),
        st.tuples(st.just("drain")),
    ),
    max_size=120,
)


@pytest.mark.parametrize("policy", POLICIES)
@settings(derandomize=True, deadline=None, max_examples=150)
@given(operations=_OPERATIONS, max_length=st.integers(1, 12))
def test_no_call_is_lost_or_returned_twice(policy, operations, max_length):
    queue = make_queue(policy=policy, ranks=RANKS, max_length=max_length)
    waiting = {}
    for number, operation in enumerate(operations):
        left = []
        if operation[0] == "push":
            _, rank, client, share, deadline = operation
            pushed = call(number, rank, client, share, deadline)
            waiting[pushed.call_id] = pushed
            left = [queue.push(pushed)]
        elif operation[0] == "pop":
            left = [queue.pop(0.0)]
            assert (left[0] is None) == (not waiting)
        elif operation[0] == "remove":
            left = [queue.remove(str(operation[1]))]
            assert (left[0] is None) == (str(operation[1]) not in waiting)
        elif operation[0] == "expire":
            left = queue.expire(operation[1], 1.0)
            late = [key for key, item in waiting.items() if item.deadline_at < operation[1] + 1]
            assert sorted(ids(left)) == sorted(late)
        else:
            left = queue.drain()
        for item in left:
            if item is not None:
                assert waiting.pop(item.call_id) == item
        assert len(queue) == len(waiting) <= max_length
        assert sum(queue.length_by_rank().values()) == len(waiting)
    assert sorted(ids(pop_all(queue))) == sorted(waiting)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    shares=st.lists(st.floats(0.0, 0.33), min_size=2, max_size=3),
    costs=st.lists(st.floats(0.01, 0.1), min_size=3, max_size=3),
    pops=st.integers(50, 400),
)
def test_waiting_rank_keeps_its_share_of_service_time(shares, costs, pops):
    ranks = {
        str(number): Rank(str(number), number, 90.0, 1.0, share)
        for number, share in enumerate(shares)
    }
    queue = make_queue(policy="ranked", ranks=ranks, max_length=5000)
    for rank in ranks:
        queue.record_service_time(rank, costs[int(rank)])
        for number in range(pops):
            queue.push(call(f"{rank}-{number}", rank))
    served = dict.fromkeys(ranks, 0.0)
    for _ in range(pops):
        rank = queue.pop(0.0).rank
        served[rank] += costs[int(rank)]
    whole = sum(served.values())
    slack = sum(costs) + 3 * max(costs)
    for rank, share in zip(ranks, shares, strict=True):
        assert served[rank] >= share * whole - slack
    # The rank of the highest priority gets all service time not reserved for the others.
    assert served["0"] >= (1 - sum(shares[1:])) * whole - slack


def test_ranks_of_equal_priority_take_turns():
    ranks = {name: Rank(name, 0, 90.0, 1.0, 0.0) for name in "ab"}
    queue = make_queue(policy="ranked", ranks=ranks, max_length=100)
    for number in range(40):
        queue.push(call(number, "ab"[number % 2]))
    served = [queue.pop(0.0).rank for _ in range(20)]
    assert served.count("a") == 10


def test_idle_rank_accumulates_no_deficit():
    queue = make_queue(policy="ranked", ranks=RANKS, max_length=1000)
    for number in range(100):
        queue.push(call(f"b{number}"))
    queue.push(call("cancelled", "sweep"))
    for _ in range(9):
        assert queue.pop(0.0).rank == "booking"
    queue.remove("cancelled")
    queue.push(call("sweep", "sweep"))
    served = [queue.pop(0.0).rank for _ in range(12)]
    assert served.index("sweep") >= 10


@settings(derandomize=True, deadline=None, max_examples=40)
@given(weight=st.sampled_from([0.5, 1.0, 2.0]), backlog=st.integers(10, 60))
def test_flooding_client_leaves_others_their_share(weight, backlog):
    queue = make_queue(policy="ranked", ranks=RANKS, max_length=1000)
    for number in range(500):
        queue.push(call(f"flood{number}", client="flood"))
    for number in range(backlog):
        queue.push(call(f"own{number}", client="own", share=weight))
    first = [queue.pop(0.0).client for _ in range(backlog)]
    assert abs(first.count("own") - backlog * weight / (1 + weight)) <= 2


def test_cancelled_calls_do_not_reduce_the_share_of_a_client():
    queue = make_queue(policy="ranked", ranks=RANKS, max_length=1000)
    for number in range(100):
        queue.push(call(f"a{number}", client="a"))
        queue.push(call(f"b{number}", client="b"))
    for number in range(90):
        queue.remove(f"b{number}")
    assert [queue.pop(0.0).client for _ in range(20)].count("b") == 10


@pytest.mark.parametrize(
    ("policy", "queued", "pushed", "refused"),
    [
        # A call of a high-priority rank evicts the newest call of the lowest priority.
        ("ranked", ["sweep"] * 10, "booking", "9"),
        ("strict", ["sweep"] * 10, "booking", "9"),
        ("fifo", ["sweep"] * 10, "booking", "new"),
        # A rank within its kept share evicts a call of a higher-priority rank that exceeds its own.
        ("ranked", ["booking"] * 10, "search", "9"),
        ("strict", ["booking"] * 10, "search", "new"),
        # A rank above its kept share does not evict calls of ranks within theirs.
        ("ranked", ["booking"] * 7 + ["search"] * 2 + ["sweep"], "booking", "new"),
        ("ranked", ["booking"] * 2 + ["search"] * 3 + ["sweep"] * 5, "sweep", "new"),
        ("ranked", ["unknown"] * 10, "sweep", "9"),
    ],
)
def test_full_queue_evicts_by_priority_and_kept_share(policy, queued, pushed, refused):
    queue = make_queue(policy=policy, ranks=RANKS, max_length=10)
    for number, rank in enumerate(queued):
        assert queue.push(call(number, rank)) is None
    assert queue.push(call("new", pushed)).call_id == refused


def test_full_queue_evicts_from_the_client_with_the_longest_backlog():
    queue = make_queue(policy="ranked", ranks=RANKS, max_length=10)
    for number in range(9):
        queue.push(call(number, client="flood"))
    queue.push(call("own", client="own"))
    assert queue.push(call("own2", client="own")).call_id == "8"


@pytest.mark.parametrize(
    ("policy", "rank", "expected"),
    [
        ("ranked", "booking", 10 / (1 - 0.1) / 100),
        ("ranked", "search", 1 / 0.3 / 100),
        ("ranked", "sweep", 0.30),
        ("strict", "booking", 0.10),
        ("strict", "sweep", 0.30),
        ("fifo", "booking", 0.30),
    ],
)
def test_wait_estimate(policy, rank, expected):
    queue = make_queue(policy=policy, ranks=RANKS, max_length=100)
    for number in range(30):
        queue.push(call(number, "booking" if number < 10 else "sweep"))
    assert queue.estimate_wait_seconds(rank, 100.0) == pytest.approx(expected)
    assert queue.estimate_wait_seconds(rank, 0.0) == math.inf


def test_calls_are_paced_only_after_a_call_of_higher_priority():
    queue = make_queue(policy="ranked", ranks=RANKS, max_length=100)
    for number in range(10):
        queue.push(call(number, "sweep"))
    queue.pop(10.0)
    assert queue.pacing_delay_seconds(10.0, slots=4, latency_seconds=0.01) == 0.0
    queue.push(call("urgent"))
    assert queue.pop(10.0).rank == "booking"
    assert queue.pacing_delay_seconds(10.0, slots=4, latency_seconds=0.01) == pytest.approx(0.002)
    assert queue.pacing_delay_seconds(10.0, slots=9, latency_seconds=0.01) == 0.0
    queue.push(call("urgent2"))
    assert queue.pacing_delay_seconds(10.0, slots=4, latency_seconds=0.01) == 0.0
    queue.pop(10.0)
    assert queue.pacing_delay_seconds(16.0, slots=4, latency_seconds=0.01) == 0.0


def test_invalid_arguments_are_named():
    with pytest.raises(ValueError, match="allowed: fifo, ranked, strict"):
        make_queue(policy="lifo", ranks=RANKS, max_length=1)
    queue = make_queue(policy="fifo", ranks=RANKS, max_length=2)
    queue.push(call(1))
    with pytest.raises(ValueError, match="already queued"):
        queue.push(call(1))
