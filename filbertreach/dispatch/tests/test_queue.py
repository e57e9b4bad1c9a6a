"""Guards against calls that are lost, served twice or served out of their rank's share."""

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
def test_no_call_is_lost_or_left_twice(policy, operations, max_length):
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
