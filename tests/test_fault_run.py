"""Checks all guarantees in a short seeded fault run of a whole fleet; tools/soak.py runs longer."""

from filbertreach_standins.faults import run as fault_run

_SEED = 4


def test_a_short_fault_run_violates_no_guarantee():
    result = fault_run.run(fault_run.FaultRunOptions(seed=_SEED, seconds=20.0))
    summary = fault_run.summary(result)
    assert result.violations == [], summary
    answered = sum(request.status == 200 for request in result.record.requests)
    assert answered > len(result.record.requests) / 2, summary
    assert result.record.accepted_generations or "roll versions" not in summary, summary
