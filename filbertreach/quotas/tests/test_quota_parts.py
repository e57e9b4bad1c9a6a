"""Tests the parts of the quotas that gateways delegate to a quota host."""

from filbertreach.quotas._parts import DelegatedParts


def test_invented_hosts_take_no_memory_and_no_part() -> None:
    """Guards against a faulty neighbour that lessens the quotas of its data centre for minutes."""
    parts = DelegatedParts(data_centres=2, now=100.0)
    now = 105.0
    parts.on_hosts(["host-a", "host-b"], is_seed_heard=True, now=now)
    parts.on_seed_reply(now)
    for host in ("host-a", "host-b"):
        parts.on_delegation(host, delegated_after=now, now=now)
    for n in range(5000):
        parts.on_delegation(f"invented-{n}", delegated_after=now, now=now)
    assert parts.delegating_hosts(now) == ["host-a", "host-b"]
    assert parts.known_hosts == 2
    assert parts.fraction(now) == 0.5


def test_a_host_that_delegates_before_it_is_named_counts_afterwards() -> None:
    """Guards against a host that never counts, and against parts that add up to too much."""
    parts = DelegatedParts(data_centres=1, now=100.0)
    now = 105.0
    parts.on_hosts(["host-a"], is_seed_heard=True, now=now)
    parts.on_seed_reply(now)
    parts.on_delegation("host-a", delegated_after=now, now=now)
    parts.on_delegation("host-b", delegated_after=now, now=now)
    assert parts.fraction(now) == 1.0
    parts.on_hosts(["host-a", "host-b"], is_seed_heard=True, now=now)
    assert parts.fraction(now) == 0.5
    parts.on_delegation("host-b", delegated_after=now, now=now)
    assert parts.fraction(now) == 1.0
