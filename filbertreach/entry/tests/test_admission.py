"""Tests admission: overload, a rank or a client must not take the capacity that others keep."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from filbertreach.entry._admission import AdmissionRequest, Admit, Refuse, make_admission
from filbertreach.timing import FakeClock

QUERY = AdmissionRequest("shop", "booking", 0, "hotel", 1.0, ("fleet", "orders"), 1.0, 0.1, 0.2)
BULK = QUERY._replace(rank="bulk", priority=2, kept_share=0.1, client="accounts")


def make(policy="queue_estimate", max_queries=1000):
    return make_admission(policy=policy, max_queries=max_queries, clock=FakeClock())


def load(service="fleet", **queue_ms_by_rank):
    return {
        "environment": "shop",
        "service": service,
        "queue_ms_by_rank": queue_ms_by_rank,
        "throughput_per_s": 100.0,
        "versions": [],
    }


def admitted_of(admission, queries, now):
    decisions = [admission.decide(query, now) for query in queries]
    return [decision for decision in decisions if isinstance(decision, Admit)]


def window_after(admission, *, seconds, query=QUERY, start=0.0, **queue_ms):
    """Keeps the window full while a queue is reported; returns the number of admitted queries."""
    admitted = []
    now = start
    while now < start + seconds:
        if queue_ms:
            admission.on_load(load(**queue_ms), now)
        admitted += admitted_of(admission, [query] * 50, now)
        for end in admitted:
            admission.on_finished(end, 0.01, "answered", now)
        admitted = admitted_of(admission, [query] * 400, now + 0.01)
        now += 0.05
    for end in admitted:
        admission.on_finished(end, 0.01, "answered", now)
    return len(admitted)


@pytest.mark.parametrize("policy", ["queue_estimate", "static_limit", "none"])
def test_idle_process_admits(policy):
    admission = make(policy)
    admitted = admission.decide(QUERY, 0.0)
    assert isinstance(admitted, Admit)
    admission.on_finished(admitted, 0.01, "answered", 0.01)


def test_unknown_policy_error_lists_the_allowed_ones():
    with pytest.raises(
        ValueError,
        match="unknown admission policy 'best'; allowed: none, queue_estimate, static_limit",
    ):
        make("best")


@pytest.mark.parametrize(
    ("remaining", "report_age", "refused"),
    [(0.4, 0.0, True), (0.6, 0.0, False), (0.4, 0.2, False), (0.1, 2.1, False)],
)
def test_query_that_would_miss_its_deadline_is_not_started(remaining, report_age, refused):
    admission = make()
    admission.on_load(load(booking=500.0), 10.0)
    decision = admission.decide(QUERY._replace(remaining_seconds=remaining), 10.0 + report_age)
    assert isinstance(decision, Refuse) == refused
    if refused:
        assert decision.reason == "deadline"
        assert decision.retry_after_seconds > 0


def test_window_shrinks_under_a_reported_queue_and_grows_again():
    admission = make()
    unloaded = window_after(admission, seconds=1.0, booking=0.0)
    flooded = window_after(admission, seconds=1.0, start=1.0, booking=300.0)
    assert flooded <= 2 < unloaded / 4
    assert window_after(admission, seconds=2.0, start=2.0, booking=0.0) > unloaded / 4


def test_each_rank_and_service_has_its_own_window():
    admission = make()
    window_after(admission, seconds=1.0, query=BULK, bulk=2000.0, booking=0.0)
    assert len(admitted_of(admission, [QUERY] * 10, 1.0)) == 10
    elsewhere = BULK._replace(services=("ledger",))
    assert len(admitted_of(admission, [elsewhere] * 10, 1.0)) == 10
    assert len(admitted_of(admission, [BULK] * 10, 1.0)) == 0


@pytest.mark.parametrize(
    ("outcome", "latency", "queue_seconds", "shrinks"),
    [
        ("answered", 0.5, 0.4, True),
        ("late", 1.0, None, True),
        ("late", 1.0, 0.4, True),
        ("overloaded", 0.01, None, True),
        ("late", 1.0, 0.001, False),
        ("late", 0.05, None, False),
        ("answered", 0.5, 0.001, False),
    ],
)
def test_window_follows_own_queries_without_reports(outcome, latency, queue_seconds, shrinks):
    admission = make()
    for step in range(40):
        now = step * 0.05
        admitted = admitted_of(admission, [QUERY] * 20, now)
        for end in admitted:
            admission.on_finished(end, latency, outcome, now, queue_seconds)
    assert (len(admitted_of(admission, [QUERY] * 10, 2.0)) <= 2) == shrinks


def test_slow_leaves_without_a_queue_do_not_shrink_the_window():
    admission = make()
    for step in range(100):
        now = step * 0.05
        for service in QUERY.services:
            admission.on_load(load(service, booking=0.0), now)
        for end in admitted_of(admission, [QUERY] * 10, now):
            admission.on_finished(end, 1.0, "late", now)
    assert len(admitted_of(admission, [QUERY] * 10, 5.0)) == 10


# In the first case the window grows to many queries; in the second it shrinks to about two.
@pytest.mark.parametrize("queue_ms", [(30.0, 30.0), (60.0, 30.5)])
def test_flooding_client_leaves_others_their_shares(queue_ms):
    admission = make()
    running, answered, offered = [], 0, 0
    for step in range(4000):
        now = step * 0.001
        if step % 50 == 0:
            admission.on_load(load(booking=queue_ms[now >= 0.3]), now)
        while running and running[0][0] <= now:
            admission.on_finished(running.pop(0)[1], 0.05, "answered", now)
        clients = ["flood"] * 3 + (["calm"] if step % 100 == 25 else [])
        for client in clients:
            decision = admission.decide(QUERY._replace(client=client), now)
            if isinstance(decision, Admit):
                running.append((now + 0.05, decision))
            if client == "calm" and now > 1.0:
                offered += 1
                answered += isinstance(decision, Admit)
    assert answered >= 0.95 * offered


@pytest.mark.parametrize("policy", ["queue_estimate", "static_limit"])
def test_process_limit_holds(policy):
    admission = make(policy, max_queries=10)
    assert len(admitted_of(admission, [QUERY] * 20, 0.0)) == 10


def test_full_process_keeps_the_shares_of_ranks_and_refuses_the_most_urgent_last():
    admission = make(max_queries=100)
    quote = QUERY._replace(rank="quote", priority=1, kept_share=0.0, client="fitter")
    services = [(f"service-{index}",) for index in range(100)]
    seen = admitted_of(admission, [BULK, quote, QUERY], 0.0)
    for end in seen:
        admission.on_finished(end, 0.01, "answered", 0.0)
    flood = [BULK._replace(services=services[index]) for index in range(100)]
    assert len(admitted_of(admission, flood, 0.0)) == 80
    assert len(admitted_of(admission, [quote] * 5, 0.0)) == 0
    assert len(admitted_of(admission, [QUERY] * 10, 0.0)) == 10


FACTS = st.builds(
    AdmissionRequest,
    st.sampled_from(["shop", "trial"]),
    st.sampled_from(["booking", "bulk"]),
    st.integers(0, 2),
    st.sampled_from(["a", "b"]),
    st.sampled_from([0.0, 1.0, 5.0]),
    st.sampled_from([(), ("fleet",), ("fleet", "orders")]),
    st.floats(0.0, 2.0),
    st.floats(0.001, 2.0),
    st.sampled_from([0.0, 0.3]),
)
STEP = st.one_of(
    FACTS,
    st.tuples(st.floats(0, 3000), st.floats(0, 3)),
    st.tuples(
        st.sampled_from(["answered", "late", "overloaded", "failed", "cancelled"]),
        st.floats(0, 3),
        st.one_of(st.none(), st.floats(0, 3)),
    ),
)


@settings(derandomize=True, deadline=None)
@given(st.lists(STEP, max_size=60))
def test_any_sequence_respects_the_limit_and_ends_without_queries(steps):
    admission = make(max_queries=5)
    running, now = [], 0.0
    for step in steps:
        if isinstance(step, AdmissionRequest):
            decision = admission.decide(step, now)
            if isinstance(decision, Admit):
                running.append(decision)
            else:
                assert 0.0 < decision.retry_after_seconds <= 10.0
        elif isinstance(step[0], str):
            outcome, latency, queue_seconds = step
            if running:
                admission.on_finished(running.pop(), latency, outcome, now, queue_seconds)
        else:
            queue_ms, elapsed = step
            now += elapsed
            admission.on_load(load(booking=queue_ms), now)
        assert len(running) <= 5
    for end in running:
        admission.on_finished(end, 0.01, "answered", now)
    assert len(admitted_of(admission, [QUERY], now + 60.0)) == 1
