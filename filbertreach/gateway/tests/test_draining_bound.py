"""The sum of the draining bound: each term at its limit, with the constants of the code."""

import pytest

from filbertreach.document import Leaf
from filbertreach.gateway import _discovery, _leaf_connection, _neighbours, _process
from filbertreach.gateway._leaf_handle import Location
from filbertreach.gateway._request_turns import TurnSchedule
from filbertreach.gateway._retry_budget import RetryBudgetSettings
from filbertreach.gateway._service_pool import ServicePool
from filbertreach.platform import Bounds, LeafEntry
from filbertreach.timing import FakeClock

_TRANSIT_SECONDS = 0.1
"""Network delay of a message: the largest one-way delay between regions, 20 ms, with room for a
queue on the link."""
_LEAF = Leaf("a", "10.0.0.1:8000", "minho", "minho-1")


def _pool(clock: FakeClock, drain_seconds: float) -> ServicePool:
    return ServicePool(
        service="fleet",
        location=Location("minho", "minho-1"),
        budget=RetryBudgetSettings(),
        drain_seconds=drain_seconds,
        schedule=TurnSchedule(),
        clock=clock,
        spawn=lambda run, name: None,
    )


def test_a_host_that_follows_a_reader_learns_of_a_departure_within_the_bound() -> None:
    # Guards against a time limit that is raised without a look at the others.
    learned_seconds = (
        # A host follows a reader that answers with old data, or not at all, up to this age,
        _discovery._STALE_SECONDS
        # one exchange with the reader may have begun just before,
        + _neighbours.EXCHANGE_TIMEOUT_SECONDS
        # and the store's answer to the host's own call may take this long.
        + _process._STORE_TIMEOUT_SECONDS
    )
    # A request may have been given to a new connection just before that.
    written_seconds = learned_seconds + _leaf_connection._CONNECT_TIMEOUT_SECONDS
    assert written_seconds + _TRANSIT_SECONDS <= _discovery._MIN_READER_SHARING_SECONDS


@pytest.mark.parametrize("drain_seconds", [3.0, 4.0, 5.0, 6.0])
@pytest.mark.parametrize("lag_seconds", [0.0, 1.0, 1.9, 2.4, 2.9])
@pytest.mark.parametrize("removed", [False, True])
def test_no_request_is_written_to_a_departed_leaf_near_the_end_of_the_bound(
    drain_seconds: float, lag_seconds: float, removed: bool
) -> None:
    # Guards against requests that reach a leaf after the bound: from the departure to the data
    # that shows it, to the choice of the leaf, to the write, to the arrival.
    clock = FakeClock(start=100.0)
    pool = _pool(clock, drain_seconds)
    pool.update_leaf(LeafEntry(_LEAF, "fleet", 2, False, 1), since=0.0)
    departed_at = clock.now()
    clock.advance(lag_seconds)
    # The previous data was confirmed just before the departure; its answer was on the way then.
    since = departed_at + _TRANSIT_SECONDS
    if removed:
        pool.unlist_leaf("a", since=since)
    else:
        pool.update_leaf(LeafEntry(_LEAF, "fleet", 2, True, 1), since=since)
    arrived_seconds = 0.0
    while arrived_seconds < 3 * drain_seconds:
        pool.remove_expired(clock.now())
        if not removed:
            pool.update_leaf(LeafEntry(_LEAF, "fleet", 2, True, 1), since=clock.now())
        handle = pool.choose(tried=(), now=clock.now())
        clock.advance(0.01)
        arrived_seconds = clock.now() + _TRANSIT_SECONDS - departed_at
        if handle is not None and clock.now() < handle.usable_until:
            assert arrived_seconds <= drain_seconds


@pytest.mark.parametrize(
    ("drain_seconds", "routes_seconds", "evacuate_seconds", "is_shared"),
    [(4.5, 4.5, 4.5, True), (4.4, 5.0, 5.0, False), (5.0, 4.4, 5.0, False), (5.0, 5.0, 4.4, False)],
)
def test_a_reader_is_shared_only_if_each_bound_leaves_time_for_it(
    drain_seconds: float, routes_seconds: float, evacuate_seconds: float, is_shared: bool
) -> None:
    # Guards against requests to an evacuated data centre whose bound is shorter than the others.
    bounds = Bounds(drain_seconds, routes_seconds, 6.0, 0.2, 10.0, 160.0)
    assert (
        _discovery.may_share_reader(bounds._replace(evacuate_seconds=evacuate_seconds)) is is_shared
    )
