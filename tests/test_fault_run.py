"""Guards all guarantees together: a seeded fault run of the whole path, short form of a soak."""

from filbertreach_standins.faults import run as fault_run

_SEED = 4


def test_a_short_fault_run_keeps_every_guarantee():
    result = fault_run.run(fault_run.FaultRunOptions(seed=_SEED, seconds=20.0))
    page = fault_run.summary(result)
    assert result.violations == [], page
    answered = sum(request.status == 200 for request in result.record.requests)
    assert answered > len(result.record.requests) / 2, page
    assert result.record.acceptances or "roll versions" not in page, page
