"""Retry budget: all hosts together must not exceed the extra calls that the bounds allow."""

import pytest

from filbertreach.gateway._retry_budget import RetryBudget, RetryBudgetSettings
from filbertreach.gateway._retry_history import (
    RetryHistoryBoard,
    decode_histories,
    encode_histories,
)
from filbertreach.platform import Bounds
from filbertreach.schema import RetryHistories

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
    assert _most_in_a_window(extra_at) <= 0.2 * 100.0 * _BOUNDS.retry_window_seconds
    assert len(extra_at) >= 0.9 * 0.2 * 4000


def _most_in_a_window(times: list[float]) -> int:
    window = _BOUNDS.retry_window_seconds
    return max(sum(at <= other < at + window for other in times) for at in set(times))


class _Host:
    """A host that sends an extra call for each request of a time, as far as its budget allows."""

    def __init__(self) -> None:
        settings = RetryBudgetSettings()
        settings.update(_BOUNDS._replace(retry_slack=0.0))
        self._budget = RetryBudget(settings=settings)
        self._board = RetryHistoryBoard()
        self.extra_at: list[float] = []

    def stop(self, name: str, now: float) -> list[RetryHistories]:
        """Returns the messages with which it hands over what it knows."""
        history = self._budget.history(now)
        own = {} if history is None else {"fleet": history}
        return [*self._board.messages(now), encode_histories(name, own, now)]

    def on_stop_of_other(self, messages: list[RetryHistories], now: float) -> None:
        for message in messages:
            self._board.on_message(message, now)

    def start(self, name: str, others: list["_Host"], now: float) -> None:
        """Asks the other hosts, which are up, for what its last process knew."""
        for other in others:
            for history in decode_histories(other._board.message_of(name, now), now).values():
                self._budget.restore(history, now)
                return

    def receive(self, now: float, *, fails: bool) -> None:
        self._budget.count_request(now)
        if fails:
            self.extra_at += [now] * _acquire_all(self._budget, now)


@pytest.mark.parametrize("host_count", [2, 3, 8])
@pytest.mark.parametrize("stops_at", [11.0, 15.0, 20.5])
@pytest.mark.parametrize("seconds_until_others_fail", [-0.5, 0.0, 4.5, 8.5])
def test_callers_that_change_hosts_are_not_counted_twice(
    host_count: int, stops_at: float, seconds_until_others_fail: float
) -> None:
    # Guards against BUDGET when a host stops: the requests of its callers allowed extra calls
    # on it and, in the same window, on the other hosts.
    hosts = [_Host() for _ in range(host_count)]
    others_fail_from = stops_at + seconds_until_others_fail
    for step in range(6000):
        now = step / 100.0
        if now < stops_at:
            for host in hosts:
                host.receive(
                    now, fails=now >= (stops_at - 0.5 if host is hosts[0] else others_fail_from)
                )
            continue
        # The callers of the stopped host continue on the others, at the same rate in total.
        for number in range(host_count):
            host = hosts[number or 1 + step % (host_count - 1)]
            host.receive(now, fails=now >= others_fail_from)
    extra_at = [at for host in hosts for at in host.extra_at]
    allowed = 0.2 * 100.0 * host_count * _BOUNDS.retry_window_seconds
    assert _most_in_a_window(extra_at) <= allowed
    # With steady traffic, the budget is used in full again.
    assert _most_in_a_window([at for at in extra_at if at >= 40.0]) >= 0.9 * allowed


@pytest.mark.parametrize("down_seconds", [1.0, 3.0, 4.0])
@pytest.mark.parametrize("fails_from", [15.0, 20.0, 24.0, 27.5])
def test_a_rolling_restart_stays_within_the_budget(fails_from: float, down_seconds: float) -> None:
    # Guards against BUDGET while hosts restart in turn: the callers of all hosts that are down
    # are on hosts that have just started.
    host_count, step_seconds = 3, 4.0
    hosts = [_Host() for _ in range(host_count)]
    was_up = [True] * host_count
    extra_at = []
    for step in range(5000):
        now = step / 100.0
        up = []
        is_up = []
        for number in range(host_count):
            down_at = 20.0 + number * step_seconds
            is_up.append(not down_at <= now < down_at + down_seconds)
        for number in range(host_count):
            name = f"front-{number}"
            others = [hosts[n] for n in range(host_count) if n != number and is_up[n]]
            if was_up[number] and not is_up[number]:
                # It stops gracefully and hands its counts to two other hosts.
                messages = hosts[number].stop(name, now)
                for other in others[:2]:
                    other.on_stop_of_other(messages, now)
            if is_up[number] and not was_up[number]:
                hosts[number].start(name, others, now)
            if not is_up[number]:
                extra_at += hosts[number].extra_at
                hosts[number] = _Host()
            else:
                up.append(hosts[number])
        was_up = is_up
        for request in range(host_count):
            up[(step * host_count + request) % len(up)].receive(now, fails=now >= fails_from)
    extra_at += [at for host in hosts for at in host.extra_at]
    allowed = 0.2 * 100.0 * host_count * _BOUNDS.retry_window_seconds
    assert _most_in_a_window(extra_at) <= allowed


@pytest.mark.parametrize(
    ("host_count", "share"),
    [
        # A quarter of the slack is given out; each host has a quarter of the rest.
        (4, 32.0 / 4),
        (16, 32.0 / 16),
        # Other hosts, not known yet, may have the rest.
        (1, 32.0 / 16),
    ],
)
def test_the_slack_that_is_left_over_serves_callers_that_changed_hosts(
    host_count: int, share: float
) -> None:
    settings = RetryBudgetSettings()
    settings.update(_BOUNDS._replace(retry_slack=32.0))
    settings.set_host_count(host_count)
    budget = RetryBudget(settings=settings)
    for step in range(3000):
        budget.count_request(step / 100.0)
    for _ in range(1000):
        budget.count_request(30.0)
    acquired = _acquire_all(budget, 30.0)
    assert 0.9 * 200 <= acquired <= 0.97 * 200 + share


def test_a_service_that_was_idle_has_a_budget_for_its_first_requests() -> None:
    settings = RetryBudgetSettings()
    settings.update(_BOUNDS._replace(retry_slack=0.0))
    budget = RetryBudget(settings=settings)
    budget.count_request(0.0)
    for _ in range(40):
        budget.count_request(60.0)
    assert _acquire_all(budget, 60.0) == 7


def test_without_bounds_nothing_is_allowed() -> None:
    assert not RetryBudget(settings=RetryBudgetSettings()).try_acquire(1.0)
