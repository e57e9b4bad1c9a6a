"""Guards against more extra calls than the bounds of the deployment allow, over all hosts."""

import pytest

from filbertreach.gateway._retry_budget import BudgetSettings, RetryBudget
from filbertreach.platform import Bounds

_SLACK = 186.0
_BOUNDS = Bounds(5.0, 5.0, 6.0, 0.2, 10.0, _SLACK)
_DATA_CENTRES = 6


class _Host:
    """The budget of one service on one host; what it takes beyond the ratio is told to others."""

    def __init__(self, hosts: int, data_centres: int | None) -> None:
        self.settings = BudgetSettings()
        self.settings.update(_BOUNDS)
        self.settings.divide(hosts, data_centres=data_centres)
        self.told = 0
        self.budget = RetryBudget(settings=self.settings, on_slack=self._on_slack)

    def _on_slack(self) -> None:
        self.told += 1

    def take_all(self, now: float) -> int:
        taken = 0
        while self.budget.try_take(now):
            taken += 1
        return taken


@pytest.mark.parametrize(
    ("hosts", "requests", "least", "most"),
    [
        # Alone, a host has its part of the slack, and a sixteenth at most.
        (1, 0, 11, 11),
        (73, 0, 2, 2),
        # And the ratio for its own requests.
        (73, 100, 20, 22),
    ],
)
def test_a_host_that_hears_of_no_other_divides(
    hosts: int, requests: int, least: int, most: int
) -> None:
    host = _Host(hosts, None)
    for _ in range(requests):
        host.budget.count_request(1.0)
    assert least <= host.take_all(1.0) <= most


def test_a_busy_host_uses_what_idle_ones_leave() -> None:
    # Callers keep their connections: four of twelve hosts had all requests of a data centre, and
    # the slack of the others was never used.
    busy = _Host(73, _DATA_CENTRES)
    assert busy.take_all(1.0) == int(0.35 * _SLACK / _DATA_CENTRES)
    assert busy.told == int(0.35 * _SLACK / _DATA_CENTRES)


def test_hosts_that_hear_of_each_other_keep_the_slack_of_their_data_centre() -> None:
    hosts = [_Host(73, _DATA_CENTRES) for _ in range(12)]
    taken = 0
    for host in hosts:
        before = host.told
        taken += host.take_all(1.0)
        for other in hosts:
            if other is not host:
                other.budget.heard_slack(host.told - before, 1.0)
    assert taken == int(0.7 * _SLACK / _DATA_CENTRES)
    # The window has passed.
    assert sum(host.take_all(20.0) for host in hosts[:1]) == 10


def test_the_ratio_is_not_told_as_slack() -> None:
    host = _Host(73, _DATA_CENTRES)
    for _ in range(100):
        host.budget.count_request(1.0)
    host.budget.heard_slack(1000, 1.0)
    # Others have used the slack; what the own requests allow is left.
    assert host.take_all(1.0) == 19
    assert host.told == 0


def test_without_bounds_nothing_is_allowed() -> None:
    assert not RetryBudget(settings=BudgetSettings()).try_take(1.0)
