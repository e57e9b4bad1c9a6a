"""Retry budget: all hosts together must not exceed the extra calls that the bounds allow."""

import pytest

from filbertreach.gateway._retry_budget import RetryBudget, RetryBudgetSettings
from filbertreach.platform import Bounds

_BOUNDS = Bounds(5.0, 5.0, 6.0, 0.2, 10.0, 186.0)


def _acquire_all(budget: RetryBudget, now: float) -> int:
    count = 0
    while budget.try_acquire(now):
        count += 1
    return count


@pytest.mark.parametrize(
    ("host_count", "requests", "acquired"),
    [
        # With fewer than 16 known hosts, a host gets a sixteenth of the slack.
        (1, 0, 11),
        (73, 0, 2),
        # Its share of the slack, and the ratio applied to its own requests.
        (73, 100, 21),
    ],
)
def test_a_host_stays_within_its_share(host_count: int, requests: int, acquired: int) -> None:
    settings = RetryBudgetSettings()
    settings.update(_BOUNDS)
    settings.set_host_count(host_count)
    budget = RetryBudget(settings=settings)
    for _ in range(requests):
        budget.count_request(1.0)
    assert _acquire_all(budget, 1.0) == acquired
    assert _acquire_all(budget, 9.0) == 0
    # After the window, only the slack is available again.
    assert _acquire_all(budget, 30.0) == (11 if host_count == 1 else 2)


def test_no_window_has_more_extra_calls_than_its_requests_allow() -> None:
    # Guards against BUDGET when many requests fail after a calm time: requests were counted for
    # longer than a window.
    settings = RetryBudgetSettings()
    settings.update(_BOUNDS._replace(retry_slack=0.0))
    budget = RetryBudget(settings=settings)
    extra_at = []
    for step in range(6000):
        now = step / 100.0
        budget.count_request(now)
        if now >= 20.0:
            extra_at += [now] * _acquire_all(budget, now)
    window = _BOUNDS.retry_window_seconds
    most = max(sum(at <= other < at + window for other in extra_at) for at in extra_at)
    assert most <= 0.2 * 100.0 * window
    assert len(extra_at) >= 0.9 * 0.2 * 4000


def test_without_bounds_nothing_is_allowed() -> None:
    assert not RetryBudget(settings=RetryBudgetSettings()).try_acquire(1.0)
