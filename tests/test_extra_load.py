"""Guards against hedges and retries beyond their budget when all services slow down at once."""

import re

from filbertreach_standins.fleet import Fleet, FleetOptions

_SAVED_CALL_ALLOWANCE = 10
"""Allowance for extra calls saved in the token bucket of a dispatch process; see HedgeBudget."""
_EXTRA_CALL_SHARE = 0.05


def _count_calls_by_kind(fleet):
    count_by_kind = {"first": 0.0, "hedge": 0.0, "retry": 0.0}
    for daemon in fleet.dispatchers:
        text = daemon.get("/metrics")[1].decode()
        for kind, value in re.findall(r'leaf_calls_total\{.*kind="(\w+)"\} ([0-9.e+]+)', text):
            count_by_kind[kind] += float(value)
    return count_by_kind


def test_all_services_share_one_budget_of_extra_calls():
    options = FleetOptions(services=20, service_ms=5, wait="complete", dispatchers=1)
    with Fleet(options=options) as fleet:
        for number in range(60):
            fleet.entries[0].query(fleet.query_body(f"warm-{number}", rank="search"))
        before = _count_calls_by_kind(fleet)
        for leaf in fleet.leaves_by_id.values():
            leaf.set_faults(slow_factor=10)
        for number in range(20):
            fleet.entries[0].query(fleet.query_body(f"slow-{number}", rank="search"))
        after = _count_calls_by_kind(fleet)
    first = after["first"] - before["first"]
    extra = after["hedge"] + after["retry"] - before["hedge"] - before["retry"]
    assert first == 400
    assert extra <= _EXTRA_CALL_SHARE * first + _SAVED_CALL_ALLOWANCE
