"""Following the store, with a scripted store and scripted neighbours."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import pytest
from returns.result import Failure, Result, Success

from filbertreach.gateway._change_log import ChangeLog
from filbertreach.gateway._discovery import ChangeSource, OnChange, OnListing, StoreFollower
from filbertreach.gateway._neighbours import NeighbourError
from filbertreach.platform import (
    HistoryLostError,
    PlatformError,
    PlatformUnavailableError,
    RateLimitedError,
    StoredChange,
    StoredChanges,
    StoredItem,
    StoredListing,
)
from filbertreach.schema import KnownHost, StoreNews, StoreNewsItem
from filbertreach.timing import FakeClock


class _Store:
    """Answers calls from a script; calls beyond its end block for ever."""

    def __init__(self, script: list[Result[Any, PlatformError]]) -> None:
        self.script = script
        self.calls: list[str] = []

    async def list_prefix(self, prefix: str) -> Result[Any, PlatformError]:
        return await self._next("list")

    async def watch(
        self, prefix: str, *, after: int, wait_seconds: float
    ) -> Result[Any, PlatformError]:
        return await self._next(f"watch {after}")

    async def _next(self, call: str) -> Result[Any, PlatformError]:
        self.calls.append(call)
        if not self.script:
            await anyio.sleep_forever()
        return self.script.pop(0)


def _item(key: str, revision: int) -> StoredItem:
    return StoredItem(key, b"{}", revision)


def _listing(revision: int, *keys: str, epoch: int = 0) -> Result[Any, PlatformError]:
    return Success(StoredListing({key: _item(key, revision) for key in keys}, revision, epoch))


def _changes(
    revision: int, *changes: tuple[str, bool], epoch: int = 0
) -> Result[Any, PlatformError]:
    return Success(
        StoredChanges(
            tuple(
                StoredChange(key, _item(key, revision) if kept else None, revision)
                for key, kept in changes
            ),
            revision,
            epoch,
        )
    )


def _sleep_on(clock: FakeClock) -> Callable[[float], Awaitable[None]]:
    """Returns a sleep that advances the clock instead of waiting."""

    async def sleep(seconds: float) -> None:
        clock.advance(seconds)
        await anyio.sleep(0)

    return sleep


def _follow(
    *,
    store: _Store,
    clock: FakeClock,
    on_listing: OnListing,
    on_change: OnChange,
    sleep: Callable[[float], Awaitable[None]],
    change_log: ChangeLog | None = None,
    neighbours: ChangeSource | None = None,
) -> None:
    """Runs a follower until all its calls are blocked."""

    async def run() -> None:
        follower = StoreFollower(
            store=store,  # type: ignore[arg-type]
            clock=clock,
            change_log=change_log or ChangeLog(clock=clock),
            host="here",
            neighbours=neighbours,
            on_listing=on_listing,
            on_change=on_change,
            sleep=sleep,
        )
        async with anyio.create_task_group() as group:
            group.start_soon(follower.run)
            await anyio.wait_all_tasks_blocked()
            group.cancel_scope.cancel()

    anyio.run(run)


@pytest.mark.parametrize(
    ("script", "calls", "seen"),
    [
        (
            [_listing(5, "a"), _changes(7, ("b", True), ("a", False)), _changes(7)],
            ["list", "watch 5", "watch 7", "watch 7"],
            [["a"], ("b", True), ("a", False)],
        ),
        # After a loss of the history, the keys are listed again as a change may have been missed.
        (
            [_listing(5, "a"), Failure(HistoryLostError("gone")), _listing(9, "b")],
            ["list", "watch 5", "list", "watch 9"],
            [["a"], ["b"]],
        ),
        # After errors and rate limiting, the watch resumes at the last revision seen.
        (
            [
                Failure(PlatformUnavailableError("down")),
                _listing(5, "a"),
                Failure(RateLimitedError(retry_after_seconds=1.0)),
                Failure(PlatformUnavailableError("down")),
                _changes(6, ("b", True)),
            ],
            ["list", "list", "watch 5", "watch 5", "watch 5", "watch 6"],
            [["a"], ("b", True)],
        ),
        # A store that was restored may give out the same revisions with other changes.
        (
            [_listing(5, "a"), _changes(6, ("b", True), epoch=1), _listing(6, "c", epoch=1)],
            ["list", "watch 5", "list", "watch 6"],
            [["a"], ["c"]],
        ),
        # An answer with an older revision does not move the watch back.
        ([_listing(5, "a"), _changes(3)], ["list", "watch 5", "watch 5"], [["a"]]),
    ],
)
def test_no_change_is_missed(
    script: list[Result[Any, PlatformError]], calls: list[str], seen: list[Any]
) -> None:
    store = _Store(script)
    events: list[Any] = []

    clock = FakeClock()
    _follow(
        store=store,
        clock=clock,
        on_listing=lambda listing, since: events.append(list(listing.item_by_key)),
        on_change=lambda key, item, since: events.append((key, item is not None)),
        sleep=_sleep_on(clock),
    )
    assert store.calls == calls
    assert events == seen


def test_changes_in_a_group_cost_one_watch() -> None:
    # Guards against one charged call for each of many leaves that change together.
    store = _Store([_listing(5), _changes(6, ("a", True))])
    slept: list[float] = []

    async def sleep(seconds: float) -> None:
        slept.append(seconds)

    _follow(
        store=store,
        clock=FakeClock(),
        on_listing=lambda listing, since: None,
        on_change=lambda key, item, since: None,
        sleep=sleep,
    )
    assert len(slept) == 1 and slept[0] > 0.1


@pytest.mark.parametrize("answer_seconds", [0.0, 0.05, 1.4])
def test_a_change_may_be_as_old_as_the_previous_data(answer_seconds: float) -> None:
    # Guards against taking a delayed answer for a watch that had to wait: the draining bound of a
    # leaf then counted from the answer, and requests reached the leaf after it.
    clock = FakeClock(start=100.0)
    store = _Store([_listing(5, "a"), _changes(6, ("b", True))])
    answer = store._next
    seen: list[tuple[str, float]] = []

    async def delay_changes(call: str) -> Result[Any, PlatformError]:
        result = await answer(call)
        if call == "watch 5":
            clock.advance(answer_seconds)
        return result

    async def sleep(seconds: float) -> None:
        clock.advance(seconds)

    store._next = delay_changes  # type: ignore[method-assign]
    _follow(
        store=store,
        clock=clock,
        on_listing=lambda listing, since: None,
        on_change=lambda key, item, since: seen.append((key, since)),
        sleep=sleep,
    )
    assert seen == [("b", 100.0)]


@pytest.mark.parametrize(
    ("answer_seconds", "has_changes", "age_seconds"),
    [
        # The store has held the watch for its wait, and the answer took 0.5 s.
        (2.0, False, 0.5),
        # An answer that came early may have been given at once.
        (1.0, False, 1.0),
        # So may an answer with changes.
        (2.0, True, 2.0),
    ],
)
def test_data_is_as_old_as_the_way_of_its_answer(
    answer_seconds: float, has_changes: bool, age_seconds: float
) -> None:
    # Guards against taking the answer to a watch for current when it arrives: neighbours then took
    # an old configuration for current.
    clock = FakeClock(start=100.0)
    change_log = ChangeLog(clock=clock)
    changes = [("b", True)] if has_changes else []
    store = _Store([_listing(5, "a"), _changes(6, *changes)])
    answer = store._next
    ages: list[float] = []

    async def delay_watch(call: str) -> Result[Any, PlatformError]:
        if call == "watch 6":
            ages.append(change_log.age_seconds)
        result = await answer(call)
        if call == "watch 5":
            clock.advance(answer_seconds)
        return result

    async def sleep(seconds: float) -> None:
        pass

    store._next = delay_watch  # type: ignore[method-assign]
    _follow(
        store=store,
        clock=clock,
        change_log=change_log,
        on_listing=lambda listing, since: None,
        on_change=lambda key, item, since: None,
        sleep=sleep,
    )
    assert ages == [pytest.approx(age_seconds)]


class _Neighbours:
    """A data centre whose reader answers from a script, in which None stands for no answer."""

    def __init__(self, script: list[dict[str, Any] | None], clock: FakeClock) -> None:
        self.script = script
        self.clock = clock
        self.asked: list[int] = []
        self.excluded: list[str] = []

    def reader(self) -> KnownHost | None:
        if "reader" in self.excluded:
            return None
        return KnownHost(name="reader", address="127.0.0.1:1", data_centre="minho-1")

    def exclude(self, name: str) -> None:
        self.excluded.append(name)

    async def fetch_changes(
        self, reader: KnownHost, *, after: int, wait_seconds: float, epoch: int
    ) -> Result[StoreNews, NeighbourError]:
        self.asked.append(after)
        if not self.script:
            await anyio.sleep_forever()
        step = self.script.pop(0)
        if step is None:
            return Failure(NeighbourError("no answer"))
        self.clock.advance(step.get("after_seconds", 0.0))
        return Success(
            StoreNews(
                complete=step.get("complete", True),
                revision=step["revision"],
                epoch=step.get("epoch", 0),
                reads_store=step.get("reads_store", True),
                age_seconds=step.get("age", 0.0),
                held_seconds=step.get("held", 0.0),
                changes=[
                    StoreNewsItem(key=key, revision=revision, removed=False, value="{}")
                    for key, revision in step.get("changes", [])
                ],
            )
        )


@pytest.mark.parametrize(
    ("script", "replies", "calls", "asked", "seen", "excluded"),
    [
        # All changes come from the reader; the store is called once, for the first listing.
        (
            [_listing(5, "a")],
            [{"revision": 6, "changes": [("b", 6)]}, {"revision": 8, "changes": [("c", 8)]}],
            ["list"],
            [5, 6, 8],
            [["a"], ("b", True), ("c", True)],
            [],
        ),
        # A reader that is behind neither repeats changes nor moves the revision back.
        (
            [_listing(5, "a")],
            [{"revision": 7, "changes": [("b", 7)]}, {"revision": 4, "changes": [("b", 4)]}],
            ["list"],
            [5, 7, 7],
            [["a"], ("b", True)],
            [],
        ),
        # Nor does it confirm what this host has: the store may have gone back to an older copy.
        (
            [_listing(5, "a"), _changes(8, ("c", True))],
            [
                {"revision": 7, "changes": [("b", 7)]},
                *[{"revision": 4, "after_seconds": 1.0, "held": 1.0}] * 3,
            ],
            ["list", "watch 7"],
            [5, 7, 7, 7, 8],
            [["a"], ("b", True), ("c", True)],
            [],
        ),
        # If the reader does not answer, this host reads the store itself.
        (
            [_listing(5, "a"), _changes(6, ("b", True))],
            [None],
            ["list", "watch 5", "watch 6"],
            [5],
            [["a"], ("b", True)],
            ["reader"],
        ),
        # A reader that answers but is cut off from the store is no longer followed.
        (
            [_listing(5, "a"), _changes(6, ("b", True))],
            [{"revision": 5, "age": 4.0, "after_seconds": 2.5}],
            ["list", "watch 5", "watch 6"],
            [5],
            [["a"], ("b", True)],
            ["reader"],
        ),
        # Changes that the reader no longer retains come from the store; then it is followed again.
        (
            [_listing(5, "a"), _changes(9, ("b", True))],
            [{"revision": 9, "complete": False}, {"revision": 10, "changes": [("c", 10)]}],
            ["list", "watch 5"],
            [5, 9, 10],
            [["a"], ("b", True), ("c", True)],
            [],
        ),
        # Data aged 2.3 s is just below the limit: the reader is still followed, and the store is
        # not called although the exchange itself took 2.5 s, as the reader held it for that time.
        (
            [_listing(5, "a"), _changes(5)],
            [{"revision": 5, "age": 2.3, "after_seconds": 2.5, "held": 2.5}, {"revision": 5}],
            ["list"],
            [5, 5, 5],
            [["a"]],
            [],
        ),
        # A reader that has noticed that the store was restored makes this host list the store, and
        # is followed again.
        (
            [_listing(5, "a"), Failure(HistoryLostError("gone")), _listing(3, "c", epoch=1)],
            [
                {"revision": 3, "epoch": 1},
                {"revision": 4, "epoch": 1, "changes": [("d", 4)]},
            ],
            ["list", "watch 5", "list"],
            [5, 3, 4],
            [["a"], ["c"], ("d", True)],
            [],
        ),
        # A reader that has not noticed it is not followed.
        (
            [_listing(5, "a", epoch=1), _changes(6, ("b", True), epoch=1)],
            [{"revision": 7, "epoch": 0, "changes": [("x", 7)]}],
            ["list", "watch 5", "watch 6"],
            [5],
            [["a"], ("b", True)],
            ["reader"],
        ),
        # What a host knows that does not read the store is used, but it is not followed.
        (
            [_listing(5, "a"), _changes(7, ("b", True))],
            [{"revision": 6, "changes": [("c", 6)], "reads_store": False}],
            ["list", "watch 6", "watch 7"],
            [5],
            [["a"], ("c", True), ("b", True)],
            ["reader"],
        ),
        # An answer that was 2.5 s on its way is as old as that, whatever age the reader states.
        (
            [_listing(5, "a"), _changes(6, ("b", True))],
            [{"revision": 5, "age": 0.0, "after_seconds": 2.5}],
            ["list", "watch 5", "watch 6"],
            [5],
            [["a"], ("b", True)],
            ["reader"],
        ),
        # A reader that states to have held a request for longer than the exchange took is not
        # believed beyond the exchange.
        (
            [_listing(5, "a"), _changes(6, ("b", True))],
            [{"revision": 5, "age": 2.5, "after_seconds": 0.1, "held": 1000.0}],
            ["list", "watch 5", "watch 6"],
            [5],
            [["a"], ("b", True)],
            ["reader"],
        ),
    ],
)
def test_one_host_reads_for_the_others(
    script: list[Result[Any, PlatformError]],
    replies: list[dict[str, Any] | None],
    calls: list[str],
    asked: list[int],
    seen: list[Any],
    excluded: list[str],
) -> None:
    store = _Store(script)
    clock = FakeClock(start=100.0)
    neighbours = _Neighbours(replies, clock)
    events: list[Any] = []

    _follow(
        store=store,
        clock=clock,
        neighbours=neighbours,
        on_listing=lambda listing, since: events.append(list(listing.item_by_key)),
        on_change=lambda key, item, since: events.append((key, item is not None)),
        sleep=_sleep_on(clock),
    )
    assert store.calls == calls
    assert neighbours.asked == asked
    assert events == seen
    assert neighbours.excluded == excluded


def test_a_full_batch_is_not_treated_as_complete() -> None:
    """Guards against treating a batch that the store truncated as complete.

    Hosts then assumed for seconds that no newer configuration existed, and reported this to their
    neighbours.
    """
    many = _changes(60, *[(f"leaf-{number}", True) for number in range(60)])
    store = _Store([_listing(5), many, _changes(61, ("config", True))])
    clock = FakeClock(start=100.0)
    change_log = ChangeLog(clock=clock)
    ages: list[float] = []

    async def sleep(seconds: float) -> None:
        ages.append(change_log.age_seconds)
        clock.advance(seconds)
        await anyio.sleep(0)

    _follow(
        store=store,
        clock=clock,
        change_log=change_log,
        on_listing=lambda listing, since: clock.advance(2.0),
        on_change=lambda key, item, since: clock.advance(0.01),
        sleep=sleep,
    )
    # There is one delay, after the batch that is not full. Until that batch arrives, the age counts
    # from the listing.
    assert store.calls == ["list", "watch 5", "watch 60", "watch 61"]
    assert len(ages) == 1


@pytest.mark.parametrize(
    ("asked_seconds_ago", "is_refused", "source"),
    [
        (1.0, False, "store"),
        (3.0, False, "neighbour"),
        (1.0, True, "neighbour"),
    ],
)
def test_a_host_that_neighbours_ask_reads_the_store(
    asked_seconds_ago: float, is_refused: bool, source: str
) -> None:
    # Guards against two hosts that follow each other, so that neither reads the store.
    clock = FakeClock(start=100.0)
    refusal = Failure(RateLimitedError(retry_after_seconds=1.0))
    store = _Store([_listing(5, "a"), *([refusal] if is_refused else [])])
    neighbours = _Neighbours([], clock)
    change_log = ChangeLog(clock=clock)
    change_log.asked_at = clock.now() - asked_seconds_ago

    _follow(
        store=store,
        clock=clock,
        change_log=change_log,
        neighbours=neighbours,
        on_listing=lambda listing, since: None,
        on_change=lambda key, item, since: None,
        sleep=_sleep_on(clock),
    )
    calls = ["list", "watch 5"]
    assert store.calls == (calls if is_refused or source == "store" else calls[:1])
    assert bool(neighbours.asked) is (source == "neighbour")


def test_a_rate_limited_host_gets_changes_from_a_neighbour() -> None:
    store = _Store([_listing(5, "a"), *[Failure(RateLimitedError(retry_after_seconds=1.0))] * 2])
    clock = FakeClock(start=100.0)
    # First the reader does not answer, then it answers with a change.
    neighbours = _Neighbours([None, {"revision": 6, "changes": [("b", 6)]}], clock)
    events: list[Any] = []

    async def sleep(seconds: float) -> None:
        clock.advance(seconds)
        if neighbours.excluded.count("here") == 2:
            neighbours.excluded.remove("reader")
        await anyio.sleep(0)

    _follow(
        store=store,
        clock=clock,
        neighbours=neighbours,
        on_listing=lambda listing, since: None,
        on_change=lambda key, item, since: events.append(key),
        sleep=sleep,
    )
    assert events == ["b"]
    assert store.calls[:3] == ["list", "watch 5", "watch 5"]
