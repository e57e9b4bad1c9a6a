"""Choice of leaves in a pool, with a fake clock and without connections."""

import functools
import math
from collections.abc import Callable
from typing import Any

import anyio
import pytest

from filbertreach.decisions import LeafOutcome
from filbertreach.document import Leaf
from filbertreach.gateway._leaf_connection import LeafConnection
from filbertreach.gateway._leaf_handle import Location
from filbertreach.gateway._request_turns import TurnSchedule
from filbertreach.gateway._retry_budget import RetryBudgetSettings
from filbertreach.gateway._service_pool import _MIN_SHARING_HOSTS, ServicePool
from filbertreach.platform import LeafEntry
from filbertreach.timing import FakeClock

_LOCATION = Location("minho", "minho-1")


def _entry(
    leaf_id: str, region: str, *, leaving: bool = False, born: int = 1, sequence: int = 0
) -> LeafEntry:
    leaf = Leaf(leaf_id, f"10.0.0.1:{8000 + len(leaf_id)}", region, f"{region}-1")
    return LeafEntry(leaf, "fleet", 2, leaving, born, sequence=sequence)


def _pool(clock: FakeClock, *, drain_seconds: float = 3.0) -> ServicePool:
    return ServicePool(
        service="fleet",
        location=_LOCATION,
        budget=RetryBudgetSettings(),
        drain_seconds=drain_seconds,
        schedule=TurnSchedule(),
        clock=clock,
        spawn=lambda run, name: None,
    )


def _depart(pool: ServicePool, *, removed: bool, since: float) -> None:
    """Removes the entry of leaf "a", or reports that it is leaving."""
    if removed:
        pool.unlist_leaf("a", since=since)
    else:
        pool.update_leaf(_entry("a", "minho", leaving=True), since=since)


def _near_and_far(clock: FakeClock) -> ServicePool:
    pool = _pool(clock)
    pool.update_leaf(_entry("far", "alentejo"), since=0.0)
    pool.update_leaf(_entry("near", "minho"), since=0.0)
    return pool


def _answer(pool: ServicePool, leaf_id: str, seconds: float, clock: FakeClock) -> None:
    tracker = pool.handle_by_id[leaf_id].tracker
    tracker.record_start(clock.now())
    clock.advance(seconds)
    tracker.record_finish(LeafOutcome.OK, seconds, clock.now())


@pytest.mark.parametrize(
    ("near_seconds", "far_seconds", "expected"),
    [
        (0.02, 0.045, "near"),
        # Without the distance penalty, the far leaf would be chosen because it is used less.
        (0.14, 0.164, "near"),
        # A near leaf that is much slower is not chosen.
        (0.2, 0.045, "far"),
    ],
)
def test_near_leaves_are_preferred(near_seconds: float, far_seconds: float, expected: str) -> None:
    # Guards against calls to another region that bring no lower latency.
    clock = FakeClock(start=100.0)
    pool = _near_and_far(clock)
    for _ in range(20):
        _answer(pool, "far", far_seconds, clock)
        _answer(pool, "near", near_seconds, clock)
    handle = pool.choose(tried=(), now=clock.now())
    assert handle is not None and handle.leaf.id == expected


@pytest.mark.parametrize(
    ("slow_seconds", "typical_seconds", "expected"),
    [
        (0.05, 0.04, "near"),
        (0.12, 0.04, "far"),
        # Without the latency of the route, the other leaves are assumed to be as slow as the known
        # one.
        (0.12, None, "near"),
    ],
)
def test_an_unknown_leaf_is_assumed_to_be_typical_of_the_route(
    slow_seconds: float, typical_seconds: float | None, expected: str
) -> None:
    clock = FakeClock(start=100.0)
    pool = _near_and_far(clock)
    _answer(pool, "near", slow_seconds, clock)
    handle = pool.choose(tried=(), now=clock.now(), typical_seconds=typical_seconds)
    assert handle is not None and handle.leaf.id == expected


def test_an_unused_far_leaf_is_not_explored() -> None:
    # Guards against a call to a far leaf whenever its latency samples have expired.
    clock = FakeClock(start=100.0)
    pool = _near_and_far(clock)
    for _ in range(20):
        _answer(pool, "far", 0.045, clock)
    for _ in range(200):
        _answer(pool, "near", 0.02, clock)
        clock.advance(0.1)
        handle = pool.choose(tried=(), now=clock.now())
        assert handle is not None and handle.leaf.id == "near"


def test_a_leaving_leaf_is_the_last_resort_for_a_short_time() -> None:
    # Guards against calls to a leaving leaf, and against refused requests when the entries of live
    # leaves expire during an outage of the store.
    clock = FakeClock(start=100.0)
    pool = _pool(clock)
    pool.update_leaf(_entry("a", "minho"), since=0.0)
    pool.update_leaf(_entry("bb", "alentejo"), since=0.0)
    pool.update_leaf(_entry("a", "minho", leaving=True), since=100.0)
    handle = pool.choose(tried=(), now=clock.now())
    assert handle is not None and handle.leaf.id == "bb"
    pool.unlist_leaf("bb", since=100.0)
    assert pool.choose(tried=(), now=clock.now()) is not None
    clock.advance(2.5)
    assert pool.choose(tried=(), now=clock.now()) is None
    pool.remove_expired(clock.now())
    assert not pool.handle_by_id


@pytest.mark.parametrize(
    ("lag_seconds", "usable_seconds"),
    [
        (0.0, 2.0),
        (1.0, 1.7),
        # The change arrived late through neighbours; the bound of 3 s counts from `since`.
        (2.4, 0.3),
        (2.9, -0.2),
    ],
)
@pytest.mark.parametrize("removed", [True, False])
def test_a_late_change_shortens_the_last_resort(
    lag_seconds: float, usable_seconds: float, removed: bool
) -> None:
    # Guards against requests to a leaf after the draining bound.
    clock = FakeClock(start=100.0)
    pool = _pool(clock)
    pool.update_leaf(_entry("a", "minho"), since=0.0)
    since = clock.now() - lag_seconds
    _depart(pool, removed=removed, since=since)
    until = pool.handle_by_id["a"].usable_until
    assert until - clock.now() == pytest.approx(usable_seconds)


@pytest.mark.parametrize(
    ("removed", "usable_seconds"),
    [
        # An entry may have expired because the store was unavailable, and return with it.
        (True, 2.0),
        # A leaf that reports to be leaving may have done so when the outage began.
        (False, -2.3),
    ],
)
def test_only_a_removal_is_put_down_to_an_outage_of_the_store(
    removed: bool, usable_seconds: float
) -> None:
    # Guards against requests to a leaf that began to leave during an outage.
    clock = FakeClock(start=100.0)
    pool = _pool(clock)
    pool.update_leaf(_entry("a", "minho"), since=0.0)
    _depart(pool, removed=removed, since=95.0)
    until = pool.handle_by_id["a"].usable_until
    assert until - clock.now() == pytest.approx(usable_seconds)


@pytest.mark.parametrize("removed", [True, False])
@pytest.mark.parametrize("report_after_seconds", [0.5, 2.5, 30.0])
def test_a_repeated_report_does_not_prolong_the_last_resort(
    removed: bool, report_after_seconds: float
) -> None:
    # Guards against requests after the draining bound: a leaf renews its entry while it drains,
    # also after its handle was removed.
    clock = FakeClock(start=100.0)
    pool = _pool(clock)
    pool.update_leaf(_entry("a", "minho"), since=0.0)
    _depart(pool, removed=removed, since=100.0)
    clock.advance(report_after_seconds)
    pool.remove_expired(clock.now())
    pool.update_leaf(_entry("a", "minho", leaving=True), since=clock.now())
    assert pool.handle_by_id["a"].usable_until == 102.0
    pool.update_leaf(_entry("a", "minho"), since=clock.now())
    assert pool.handle_by_id["a"].usable_until == math.inf


@pytest.mark.parametrize(
    ("born", "sequence", "is_older"),
    [
        # The entry that the leaf wrote before it was leaving.
        (1, 4, True),
        # The leaf has written again since.
        (1, 6, False),
        # It has started again, which begins the numbers anew.
        (2, 1, False),
    ],
)
@pytest.mark.parametrize("handle_is_removed", [False, True])
def test_an_older_entry_does_not_end_a_departure(
    handle_is_removed: bool, born: int, sequence: int, is_older: bool
) -> None:
    # Guards against requests after the draining bound: a store that was restored from a copy lists
    # a leaf as it was before it began to leave.
    clock = FakeClock(start=100.0)
    pool = _pool(clock)
    pool.update_leaf(_entry("a", "minho", sequence=4), since=0.0)
    pool.update_leaf(_entry("a", "minho", leaving=True, sequence=5), since=100.0)
    clock.advance(10.0 if handle_is_removed else 1.0)
    pool.remove_expired(clock.now())
    for _ in range(2):
        pool.update_leaf(_entry("a", "minho", born=born, sequence=sequence), since=clock.now())
        handle = pool.handle_by_id["a"]
        assert handle.usable_until == (102.0 if is_older else math.inf)
        assert handle.tracker.leaving is is_older


def test_a_leaf_that_is_leaving_in_the_first_listing_is_not_used() -> None:
    # Guards against requests to a leaf that had left before this process started.
    clock = FakeClock(start=100.0)
    pool = _pool(clock)
    pool.update_leaf(_entry("a", "minho", leaving=True), since=-math.inf)
    assert pool.choose(tried=(), now=clock.now()) is None
    assert not pool.has_leaves(clock.now())


def test_departures_are_forgotten() -> None:
    # Guards against a growing memory of leaves that have left.
    clock = FakeClock(start=100.0)
    pool = _pool(clock)
    pool.update_leaf(_entry("a", "minho", leaving=True), since=100.0)
    clock.advance(61.0)
    pool.remove_expired(clock.now())
    assert not pool.handle_by_id
    pool.update_leaf(_entry("a", "minho", leaving=True), since=clock.now())
    assert pool.handle_by_id["a"].usable_until == clock.now() + 2.0


def test_a_leaf_that_says_it_is_leaving_is_avoided_at_once_and_then_not_used() -> None:
    # Guards against requests to a leaf that has ended: the store still lists it as ready.
    clock = FakeClock(start=100.0)
    pool = _near_and_far(clock)
    pool.on_leaving(pool.handle_by_id["near"])
    handle = pool.choose(tried=(), now=clock.now())
    assert handle is not None and handle.leaf.id == "far"
    # It remains the last resort for a short time.
    assert pool.choose(tried=("far",), now=clock.now()) is not None
    pool.update_leaf(_entry("near", "minho"), since=clock.now())
    assert pool.choose(tried=("far",), now=clock.now()) is not None
    clock.advance(2.0)
    pool.update_leaf(_entry("near", "minho"), since=clock.now())
    assert pool.choose(tried=("far",), now=clock.now()) is None


@pytest.mark.parametrize("lag_seconds", [0.5, 2.5, 30.0, 300.0])
@pytest.mark.parametrize("removed", [False, True])
def test_no_listing_ends_what_a_leaf_says_of_itself(lag_seconds: float, removed: bool) -> None:
    # Guards against an older listing, or an entry that returns after an outage of the store.
    clock = FakeClock(start=100.0)
    pool = _pool(clock)
    pool.update_leaf(_entry("a", "minho"), since=0.0)
    pool.on_leaving(pool.handle_by_id["a"])
    if removed:
        pool.unlist_leaf("a", since=clock.now())
    clock.advance(lag_seconds)
    pool.remove_expired(clock.now())
    pool.update_leaf(_entry("a", "minho"), since=clock.now())
    assert pool.handle_by_id["a"].usable_until == 102.0
    # An entry of another writer under its id does not end it either.
    pool.update_leaf(_entry("a", "minho", born=0), since=clock.now())
    pool.update_leaf(_entry("a", "minho"), since=clock.now())
    assert pool.handle_by_id["a"].usable_until == 102.0


def test_a_repeated_statement_does_not_prolong_the_last_resort() -> None:
    clock = FakeClock(start=100.0)
    pool = _pool(clock)
    pool.update_leaf(_entry("a", "minho"), since=0.0)
    for _ in range(5):
        pool.on_leaving(pool.handle_by_id["a"])
        assert pool.handle_by_id["a"].usable_until == 102.0
        clock.advance(0.5)
    # Nor does a departure that the store shows later.
    pool.update_leaf(_entry("a", "minho", leaving=True), since=clock.now())
    assert pool.handle_by_id["a"].usable_until == 102.0


@pytest.mark.parametrize("drain_seconds", [0.3, 1.0, 3.0])
def test_a_leaf_that_says_it_is_leaving_gets_nothing_after_the_draining_bound(
    drain_seconds: float,
) -> None:
    clock = FakeClock(start=100.0)
    pool = _pool(clock, drain_seconds=drain_seconds)
    pool.update_leaf(_entry("a", "minho"), since=0.0)
    pool.on_leaving(pool.handle_by_id["a"])
    assert pool.handle_by_id["a"].usable_until <= 100.0 + drain_seconds - 0.3


def test_a_new_start_ends_what_the_previous_process_said() -> None:
    # Guards against a restarted leaf that is never used again, also if an answer of the previous
    # process comes late.
    clock = FakeClock(start=100.0)
    pool = _pool(clock)
    pool.update_leaf(_entry("a", "minho"), since=0.0)
    old = pool.handle_by_id["a"]
    pool.on_leaving(old)
    pool.update_leaf(_entry("a", "minho", born=2), since=clock.now())
    assert pool.handle_by_id["a"].usable_until == math.inf
    pool.on_leaving(old)
    assert pool.handle_by_id["a"].usable_until == math.inf
    assert not pool.handle_by_id["a"].tracker.leaving


def test_statements_of_leaves_are_forgotten() -> None:
    # Guards against a growing memory of leaves that have left.
    clock = FakeClock(start=100.0)
    pool = _pool(clock)
    for number in range(20):
        pool.update_leaf(_entry(f"{number}", "minho"), since=0.0)
        pool.on_leaving(pool.handle_by_id[f"{number}"])
        pool.unlist_leaf(f"{number}", since=clock.now())
    assert not pool.is_empty
    clock.advance(3_700.0)
    pool.remove_expired(clock.now())
    assert pool.is_empty


def test_a_restarted_leaf_is_a_new_leaf() -> None:
    # Guards against applying the failures of the previous process to its successor.
    clock = FakeClock(start=100.0)
    pool = _pool(clock)
    pool.update_leaf(_entry("a", "minho"), since=0.0)
    old = pool.handle_by_id["a"]
    pool.unlist_leaf("a", since=0.0)
    pool.update_leaf(_entry("a", "minho", born=2), since=0.0)
    assert pool.handle_by_id["a"] is not old
    assert pool.handle_by_id["a"].usable_until == math.inf


def test_a_leaf_that_turned_slow_is_avoided_after_two_answers() -> None:
    # Guards against using up the retry budget for hedges before a slow leaf is detected.
    clock = FakeClock(start=100.0)
    pool = _near_and_far(clock)
    for _ in range(20):
        _answer(pool, "far", 0.045, clock)
        _answer(pool, "near", 0.02, clock)
    for _ in range(3):
        _answer(pool, "near", 0.2, clock)
    handle = pool.choose(tried=(), now=clock.now())
    assert handle is not None and handle.leaf.id == "far"


def test_a_paused_leaf_gets_no_further_calls() -> None:
    # Guards against many calls that wait for the end of the same pause.
    clock = FakeClock(start=100.0)
    pool = _near_and_far(clock)
    for _ in range(20):
        _answer(pool, "far", 0.045, clock)
        _answer(pool, "near", 0.02, clock)
    pool.handle_by_id["near"].tracker.record_start(clock.now())
    clock.advance(0.08)
    handle = pool.choose(tried=(), now=clock.now())
    assert handle is not None and handle.leaf.id == "far"


class _Connections:
    """Connections of a pool, opened without a network; `connect` stands for their tasks."""

    def __init__(self, clock: FakeClock, *, connections: int) -> None:
        self.pool = _pool(clock)
        self.pool.set_connections(connections * _MIN_SHARING_HOSTS)
        self._clock = clock

    def open_idle(self, leaf_id: str) -> LeafConnection:
        """Opens a connection that becomes idle, as after a request."""
        handle = self.pool.handle_by_id[leaf_id]
        connection = handle.open()
        connection._mark_idle()
        return connection

    def chosen(self) -> str | None:
        handle = self.pool.choose(tried=(), now=self._clock.now())
        return handle.leaf.id if handle else None


def _in_event_loop(test: Callable[..., None]) -> Callable[..., None]:
    """Runs a test in an event loop, which connections need."""

    @functools.wraps(test)
    def run(**arguments: Any) -> None:
        async def call() -> None:
            test(**arguments)

        anyio.run(call)

    return run


def _is_closed(connection: LeafConnection) -> bool:
    return connection._scope.cancel_called


@_in_event_loop
def test_expired_idle_connections_do_not_keep_a_leaf_from_use() -> None:
    # Guards against leaves that are never called again: all connections to them are idle and past
    # their keep-alive time, and the close of the leaf never arrives on a silent connection.
    clock = FakeClock(start=100.0)
    connections = _Connections(clock, connections=2)
    connections.pool.update_leaf(_entry("a", "minho"), since=0.0)
    opened = [connections.open_idle("a") for _ in range(2)]
    assert connections.chosen() == "a"
    clock.advance(31.0)
    assert connections.chosen() == "a"
    handle = connections.pool.handle_by_id["a"]
    assert handle.take_idle() is None
    assert all(_is_closed(connection) for connection in opened)
    # Those that replace them count again.
    busy = [handle.open() for _ in range(2)]
    assert connections.chosen() is None
    handle.on_closed(busy[0])
    assert connections.chosen() == "a"


@_in_event_loop
def test_expired_idle_connections_are_closed_without_a_request() -> None:
    # Guards against connections that stay open for ever after the network has lost their close.
    clock = FakeClock(start=100.0)
    connections = _Connections(clock, connections=2)
    connections.pool.update_leaf(_entry("a", "minho"), since=0.0)
    old = connections.open_idle("a")
    clock.advance(20.0)
    recent = connections.open_idle("a")
    clock.advance(15.0)
    connections.pool.remove_expired(clock.now())
    assert _is_closed(old) and not _is_closed(recent)


@_in_event_loop
def test_a_connection_that_is_being_closed_takes_no_place() -> None:
    clock = FakeClock(start=100.0)
    connections = _Connections(clock, connections=1)
    connections.pool.update_leaf(_entry("a", "minho"), since=0.0)
    connections.open_idle("a").close()
    assert connections.chosen() == "a"


@pytest.mark.parametrize("change", ["restarted", "misdirected", "left"])
@_in_event_loop
def test_connections_of_a_leaf_that_is_gone_are_closed_after_their_request(change: str) -> None:
    # Guards against connections that are kept for ever since nothing chooses their leaf any more.
    clock = FakeClock(start=100.0)
    connections = _Connections(clock, connections=2)
    pool = connections.pool
    pool.update_leaf(_entry("a", "minho"), since=0.0)
    handle = pool.handle_by_id["a"]
    idle, busy = connections.open_idle("a"), handle.open()
    if change == "restarted":
        pool.update_leaf(_entry("a", "minho", born=2), since=0.0)
    elif change == "misdirected":
        pool.on_misdirected(handle)
    else:
        pool.unlist_leaf("a", since=99.0)
        clock.advance(3.0)
        pool.remove_expired(clock.now())
    assert _is_closed(idle) and not _is_closed(busy)
    busy._mark_idle()
    assert _is_closed(busy)
