"""Changes of the store that the reader serves to its neighbours."""

import tracemalloc

import anyio
import msgspec
import pytest

from filbertreach.gateway._change_log import ChangeLog, decode_change
from filbertreach.platform import StoredChange, StoredItem, StoredListing
from filbertreach.schema import StoreNews
from filbertreach.timing import FakeClock, SystemClock


def _change(key: str, revision: int, value: bytes | None = b"{}") -> StoredChange:
    return StoredChange(key, StoredItem(key, value, revision), revision)


_CHANGES = [
    _change("servers/a", 6),
    StoredChange("servers/b", None, 7),
    # The value is unreadable; a neighbour must not treat this as a removal.
    _change("servers/c", 8, None),
]


def _change_log() -> tuple[ChangeLog, FakeClock]:
    clock = FakeClock()
    change_log = ChangeLog(clock=clock)
    change_log.reset(revision=5, as_of=clock.now())
    change_log.append(_CHANGES)
    change_log.confirm(revision=9, as_of=clock.now())
    return change_log, clock


@pytest.mark.parametrize(
    ("after", "complete", "seen"),
    [
        (5, True, ["servers/a", "servers/b", "servers/c"]),
        (6, True, ["servers/b", "servers/c"]),
        (8, True, []),
        # Changes before the first listing of the reader are not known to it.
        (4, False, []),
    ],
)
def test_a_neighbour_gets_the_changes_that_it_lacks(
    after: int, complete: bool, seen: list[str]
) -> None:
    change_log, _ = _change_log()
    reply = anyio.run(lambda: change_log.changes_since(after, wait_seconds=0.01))
    reply = msgspec.json.decode(msgspec.json.encode(reply), type=StoreNews)
    assert reply["complete"] is complete
    assert reply["revision"] == 9
    changes = [decode_change(item) for item in reply["changes"]]
    assert [change.key for change in changes] == seen
    assert changes == [change for change in _CHANGES if change.key in seen]


def test_the_age_counts_from_the_last_confirmation_of_the_store() -> None:
    # Guards against a reader that is cut off from the store but still seems to be up to date.
    change_log, clock = _change_log()
    clock.advance(7.5)
    reply = anyio.run(lambda: change_log.changes_since(9, wait_seconds=0.01))
    assert reply["age_seconds"] == pytest.approx(7.5)
    change_log.confirm(revision=3, as_of=clock.now() - 7.0)
    assert change_log.revision == 9 and change_log.age_seconds == pytest.approx(7.0)


@pytest.mark.parametrize("after", [4, 9, 20])
def test_a_revision_of_another_epoch_is_answered_as_incomplete_at_once(after: int) -> None:
    # Guards against a neighbour that waits for changes after a revision of the store before it was
    # restored, and takes the answer for complete.
    async def run() -> StoreNews:
        change_log, _ = _change_log()
        with anyio.fail_after(5.0):
            return await change_log.changes_since(after, wait_seconds=60.0, epoch=1)

    reply = anyio.run(run)
    assert not reply["complete"] and reply["epoch"] == 0 and reply["changes"] == []


def test_an_answer_states_how_long_it_was_held() -> None:
    # Guards against a neighbour that has to count the wait for a change as the way of the answer.
    async def run() -> StoreNews:
        clock = SystemClock()
        change_log = ChangeLog(clock=clock)
        change_log.reset(revision=9, as_of=clock.now())
        return await change_log.changes_since(9, wait_seconds=0.1)

    assert 0.1 <= anyio.run(run)["held_seconds"] < 5.0


def test_evicted_changes_make_the_answer_incomplete() -> None:
    change_log, _ = _change_log()
    change_log.append([_change("servers/a", revision) for revision in range(10, 3000)])
    change_log.confirm(revision=2999, as_of=0.0)
    assert anyio.run(lambda: change_log.changes_since(6, wait_seconds=0.01))["complete"] is False
    reply = anyio.run(lambda: change_log.changes_since(2500, wait_seconds=0.01))
    assert reply["complete"] and len(reply["changes"]) == 499


@pytest.mark.parametrize("value_bytes", [1_000_000, 100_000, 9_000_000])
def test_large_values_are_evicted_by_their_size(value_bytes: int) -> None:
    # Guards against the end of all gateways of a fleet by memory: each version of a large
    # configuration stayed in the log, whatever its size.
    change_log, _ = _change_log()
    last = 10 + 200_000_000 // value_bytes
    tracemalloc.start()
    try:
        for revision in range(10, last + 1):
            change_log.append([_change("op/config", revision, bytes(value_bytes))])
            change_log.confirm(revision=revision, as_of=0.0)
        retained_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert retained_bytes <= 4_200_000
    # A neighbour that needs evicted changes reads the store.
    assert anyio.run(lambda: change_log.changes_since(10, wait_seconds=0.01))["complete"] is False
    # One that has all changes, or all but the latest of a permitted size, does not.
    assert anyio.run(lambda: change_log.changes_since(last, wait_seconds=0.01))["complete"] is True
    reply = anyio.run(lambda: change_log.changes_since(last - 1, wait_seconds=0.01))
    assert reply["complete"] is (value_bytes <= 1_000_000)
    assert len(reply["changes"]) == reply["complete"]


def test_changes_after_an_evicted_one_are_served_without_a_gap() -> None:
    change_log, _ = _change_log()
    change_log.append([_change("op/config", 10, bytes(9_000_000))])
    change_log.append([_change("servers/a", 11), _change("servers/b", 12)])
    change_log.confirm(revision=12, as_of=0.0)
    assert anyio.run(lambda: change_log.changes_since(9, wait_seconds=0.01))["complete"] is False
    reply = anyio.run(lambda: change_log.changes_since(10, wait_seconds=0.01))
    assert reply["complete"] and [c["revision"] for c in reply["changes"]] == [11, 12]


def test_a_waiting_neighbour_is_answered_at_the_next_confirmation() -> None:
    change_log, clock = _change_log()

    async def run() -> None:
        async with anyio.create_task_group() as group:

            async def ask() -> None:
                with anyio.fail_after(5):
                    reply = await change_log.changes_since(9, wait_seconds=60.0)
                assert reply["complete"] and reply["changes"] == []

            group.start_soon(ask)
            await anyio.wait_all_tasks_blocked()
            clock.advance(1.0)
            change_log.confirm(revision=9, as_of=clock.now())

    anyio.run(run)


def _listing(revision: int, *items: StoredItem, epoch: int = 0) -> StoredListing:
    return StoredListing({item.key: item for item in items}, revision, epoch)


def test_a_listing_is_recorded_as_changes() -> None:
    # Guards against neighbours that have to list the store themselves after each lost history.
    change_log = ChangeLog(clock=FakeClock())
    same, changed, removed = (StoredItem(key, b"1", 3) for key in ("same", "changed", "removed"))
    change_log.apply_listing(_listing(5, same, changed, removed), as_of=0.0)
    change_log.append([_change("watched", 6)])
    change_log.confirm(revision=6, as_of=0.0)
    watched = StoredItem("watched", b"1", 6)
    newer = changed._replace(revision=9)
    # A page that was read later than the first one may show a later change.
    added = StoredItem("added", b"1", 12)
    change_log.apply_listing(_listing(11, same, newer, watched, added), as_of=0.0)
    reply = anyio.run(lambda: change_log.changes_since(6, wait_seconds=0.01))
    assert reply["complete"] and reply["revision"] == 11
    assert [decode_change(item) for item in reply["changes"]] == [
        StoredChange("changed", newer, 9),
        StoredChange("removed", None, 11),
        StoredChange("added", added, 12),
    ]


@pytest.mark.parametrize(("revision", "epoch"), [(20, 1), (4, 0)])
def test_a_listing_of_another_history_starts_the_log_anew(revision: int, epoch: int) -> None:
    # Guards against changes of a store before it was restored.
    change_log, _ = _change_log()
    change_log.apply_listing(_listing(revision, epoch=epoch), as_of=0.0)
    assert change_log.revision == revision
    for after in (3, 9):
        reply = anyio.run(lambda after=after: change_log.changes_since(after, wait_seconds=0.01))
        assert reply["changes"] == []
    reply = anyio.run(
        lambda: change_log.changes_since(revision - 1, wait_seconds=0.01, epoch=epoch)
    )
    assert not reply["complete"]


@pytest.mark.parametrize("age_seconds", [0.0, 1.0])
def test_an_answer_that_brings_nothing_new_wakes_no_neighbour(age_seconds: float) -> None:
    # Guards against hosts that follow each other and answer each other hundreds of times a second.
    change_log, clock = _change_log()

    async def run() -> StoreNews:
        replies: list[StoreNews] = []

        async def ask() -> None:
            replies.append(await change_log.changes_since(9, wait_seconds=0.3))

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            await anyio.wait_all_tasks_blocked()
            change_log.confirm(revision=9, as_of=clock.now() - age_seconds)
            await anyio.sleep(0.05)
            assert not replies
            clock.advance(0.3)
        return replies[0]

    assert anyio.run(run)["held_seconds"] == pytest.approx(0.3)


def test_a_host_that_does_not_reach_the_store_tells_neighbours_at_once() -> None:
    # Guards against neighbours that wait for a host which has itself to wait for others.
    change_log, _ = _change_log()

    async def run() -> list[StoreNews]:
        replies: list[StoreNews] = []

        async def ask() -> None:
            with anyio.fail_after(5):
                replies.append(await change_log.changes_since(9, wait_seconds=60.0))

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            await anyio.wait_all_tasks_blocked()
            change_log.set_reaches_store(False)
        await ask()
        change_log.set_reaches_store(True)
        replies.append(await change_log.changes_since(5, wait_seconds=60.0))
        return replies

    assert [reply["reads_store"] for reply in anyio.run(run)] == [False, False, True]


def test_a_reader_without_a_listing_answers_incomplete() -> None:
    change_log = ChangeLog(clock=FakeClock())
    assert anyio.run(lambda: change_log.changes_since(0, wait_seconds=0.01))["complete"] is False


def test_a_value_that_is_not_utf8_is_unreadable_and_not_removed() -> None:
    change_log, clock = _change_log()
    change_log.append([_change("servers/d", 10, b"\xff")])
    change_log.confirm(revision=10, as_of=clock.now())
    reply = anyio.run(lambda: change_log.changes_since(9, wait_seconds=0.01))
    change = decode_change(reply["changes"][0])
    assert change.item is not None and change.item.value is None


@pytest.mark.parametrize("character", [b"\x01", b'"', b"\n", b"x"])
def test_an_answer_with_all_changes_is_accepted_by_neighbours(character: bytes) -> None:
    # Guards against hosts that exclude each reader in turn: JSON writes a control character as six
    # bytes, and neighbours reject answers of more than 8 MiB.
    change_log, _ = _change_log()
    for revision in range(10, 60):
        change_log.append([_change("op/other", revision, character * 100_000)])
        change_log.confirm(revision=revision, as_of=0.0)
    first = next(
        revision
        for revision in range(5, 60)
        if anyio.run(lambda after=revision: change_log.changes_since(after, wait_seconds=0.01))[
            "complete"
        ]
    )
    reply = anyio.run(lambda: change_log.changes_since(first, wait_seconds=0.01))
    assert len(reply["changes"]) >= 10
    assert len(msgspec.json.encode(reply)) <= 8 * 1024 * 1024
