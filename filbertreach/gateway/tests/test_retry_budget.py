"""Guards against more extra calls than the bounds of the deployment allow, over all hosts."""

import pytest

from filbertreach.gateway._retry_budget import RetryBudget, RetryBudgetSettings
from filbertreach.platform import Bounds

_BOUNDS = Bounds(5.0, 5.0, 6.0, 0.2, 10.0, 186.0)


def _take_all(budget: RetryBudget, now: float) -> int:
    taken = 0
    while budget.try_take(now):
        taken += 1
    return taken


@pytest.mark.parametrize(
    ("hosts", "requests", "taken"),
    [
        # A host that knows of few others has a sixteenth of the slack.
        (1, 0, 11),
        (73, 0, 2),
        # And the ratio for its own requests.
        (73, 100, 21),
    ],
)
def test_a_host_takes_its_part(hosts: int, requests: int, taken: int) -> None:
    settings = RetryBudgetSettings()
    settings.update(_BOUNDS)
    settings.divide(hosts)
    budget = RetryBudget(settings=settings)
    for _ in range(requests):
        budget.count_request(1.0)
    assert _take_all(budget, 1.0) == taken
    assert _take_all(budget, 9.0) == 0
    # The window has passed.
    assert _take_all(budget, 30.0) == (11 if hosts == 1 else 2)


def test_without_bounds_nothing_is_allowed() -> None:
    assert not RetryBudget(settings=RetryBudgetSettings()).try_take(1.0)
