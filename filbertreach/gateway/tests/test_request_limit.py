"""Request limits that leaves name in their answers."""

import math

import pytest

from filbertreach.gateway._request_limit import RequestLimit
from filbertreach.gateway._request_turns import TurnSchedule


def _limit(hosts: int | None = 1) -> RequestLimit:
    return RequestLimit(leaf="a", service="fleet", hosts=hosts, schedule=TurnSchedule())


def test_a_limit_is_in_force_until_a_later_request_is_answered_without_it() -> None:
    # Guards against lifting a limit because of an answer that is older than the limit.
    limit = _limit()
    limit.on_named(15.3, now=100.0)
    limit.on_success(sent_at=99.9, now=100.1)
    assert limit.per_second == 15.3
    limit.on_named(12.0, now=100.2)
    limit.on_success(sent_at=100.3, now=100.4)
    assert limit.per_second is None


def test_the_limit_of_a_restarted_leaf_is_lifted() -> None:
    limit = _limit()
    limit.on_named(15.3, now=100.0)
    limit.on_removed(now=101.0)
    assert limit.per_second is None


def _send_all(limit: RequestLimit, now: float, *, priority: int = 0) -> int:
    count = 0
    while limit.available_at(now, priority=priority) <= now:
        limit.count_call("first", now)
        count += 1
    return count


@pytest.mark.parametrize(
    ("hosts", "per_second", "seconds", "sent"),
    [
        (1, 10.0, 1.0, 10),
        # What is saved while nothing is sent covers one second.
        (1, 10.0, 60.0, 11),
        (5, 10.0, 1.0, 2),
        # Before it knows the fleet, a host takes a sixteenth.
        (None, 16.0, 1.0, 1),
        # A limit of 0 is probed, so that its end is noticed.
        (1, 0.0, 4.0, 1),
    ],
)
def test_a_host_sends_its_part_of_the_limit(
    hosts: int | None, per_second: float, seconds: float, sent: int
) -> None:
    limit = _limit(hosts)
    limit.on_named(per_second, now=100.0)
    _send_all(limit, 100.0)
    assert _send_all(limit, 100.0 + seconds) in (sent, sent + 1)


def test_without_a_limit_any_number_is_sent() -> None:
    limit = _limit()
    assert limit.available_at(100.0) == -math.inf
    assert limit.is_unused(100.0)


def test_urgent_requests_find_a_part_that_others_leave() -> None:
    # Guards against less urgent requests that use up what a leaf takes.
    limit = _limit()
    limit.on_named(10.0, now=100.0)
    less_urgent = _send_all(limit, 102.0, priority=1)
    assert 4 <= less_urgent <= 6
    assert _send_all(limit, 102.0, priority=0) >= 5


def test_a_wait_ends_when_the_next_request_is_allowed() -> None:
    limit = _limit()
    limit.on_named(10.0, now=100.0)
    _send_all(limit, 100.0)
    available_at = limit.available_at(100.0)
    assert 100.0 < available_at <= 100.1
    assert limit.available_at(available_at) <= available_at
