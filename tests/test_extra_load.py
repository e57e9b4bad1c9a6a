"""Guards the budget of extra calls to leaves when every service turns slow at once."""

import re

from filbertreach_standins.fleet import Fleet, FleetOptions

_SAVED_TOKENS = 10
"""Extra calls that a dispatch process may have saved up; see HedgeBudget."""
_SHARE = 0.05


def _calls_by_kind(fleet):
    counts = {"first": 0.0, "hedge": 0.0, "retry": 0.0}
    for daemon in fleet.dispatchers:
        text = daemon.get("/metrics")[1].decode()
        for kind, value in re.findall(r'leaf_calls_total\{.*kind="(\w+)"\} ([0-9.e+]+)', text):
            counts[kind] += float(value)
    return counts


def test_extra_calls_stay_in_one_budget_for_all_services():
    options = FleetOptions(services=20, service_ms=5, wait="complete", dispatchers=1)
    with Fleet(options=options) as fleet:
        for number in range(60):
            fleet.entries[0].query(fleet.query_body(f"warm-{number}", rank="search"))
        before = _calls_by_kind(fleet)
        for leaf in fleet.leaves_by_id.values():
            leaf.set_faults(slow_factor=10)
        for number in range(20):
            fleet.entries[0].query(fleet.query_body(f"slow-{number}", rank="search"))
        after = _calls_by_kind(fleet)
    first = after["first"] - before["first"]
    extra = after["hedge"] + after["retry"] - before["hedge"] - before["retry"]
    assert first == 400
    assert extra <= _SHARE * first + _SAVED_TOKENS
