"""Counts of retry budgets that a host hands over when it stops and asks for when it starts."""

import random

import anyio
import msgspec
import pytest

from filbertreach.gateway._change_log import ChangeLog
from filbertreach.gateway._directory import Directory
from filbertreach.gateway._leaf_handle import Location
from filbertreach.gateway._neighbour_application import neighbour_application
from filbertreach.gateway._neighbours import Neighbours
from filbertreach.gateway._retry_budget import (
    BudgetHistory,
    EventSlice,
    RetryBudget,
    RetryBudgetSettings,
)
from filbertreach.gateway._retry_handover import MAX_HISTORIES_BYTES, RetryHandover
from filbertreach.gateway._retry_history import (
    RetryHistoryBoard,
    decode_histories,
    encode_histories,
)
from filbertreach.observability import HttpServer
from filbertreach.platform import Bounds
from filbertreach.schema import JsonDecoder, KnownHost, RetryHistories
from filbertreach.timing import FakeClock
from filbertreach_standins.ports import free_address

_BOUNDS = Bounds(5.0, 5.0, 6.0, 0.2, 10.0, 0.0)


def _budget(now: float, *, extra_calls: int) -> RetryBudget:
    """Returns the budget of a host with 100 requests per second for 30 s before a time."""
    settings = RetryBudgetSettings()
    settings.update(_BOUNDS)
    budget = RetryBudget(settings=settings)
    for step in range(3000):
        budget.count_request(now - 30.0 + step / 100.0)
    for _ in range(extra_calls):
        assert budget.try_acquire(now)
    return budget


def _restored(history: BudgetHistory | None, now: float) -> RetryBudget:
    settings = RetryBudgetSettings()
    settings.update(_BOUNDS)
    budget = RetryBudget(settings=settings)
    assert history is not None
    budget.restore(history, now)
    return budget


def test_a_process_continues_with_the_budget_of_the_last_one() -> None:
    # Guards against a host that sends the extra calls of a window twice, and against one that
    # refuses all retries after its start.
    history = _budget(100.0, extra_calls=60).history(100.0)
    budget = _restored(history, 102.0)
    expected = 0.97 * 0.2 * 800 - 60
    assert budget.remaining == pytest.approx(expected, abs=0.97 * 0.2 * 25 + 1)
    # Requests of callers that come from other hosts do not count beyond the window before.
    for _ in range(3000):
        budget.count_request(102.0)
    assert budget.remaining <= 0.97 * 0.2 * 1000 - 60 + 1


def test_a_history_from_before_the_window_is_ignored() -> None:
    # Guards against a host that gets no budget because it was down for long.
    history = _budget(100.0, extra_calls=60).history(100.0)
    budget = _restored(history, 111.0)
    for _ in range(100):
        budget.count_request(111.0)
    assert budget.remaining == pytest.approx(0.97 * 0.2 * 100)


def test_a_history_that_arrives_late_changes_nothing() -> None:
    budget = _budget(100.0, extra_calls=0)
    before = budget.remaining
    budget.restore(BudgetHistory(0.0, (EventSlice(99.0, 5000),), ()), 100.0)
    assert budget.remaining == before


def test_a_message_carries_ages_and_no_clock() -> None:
    # Guards against hosts that take the clock of another host for their own.
    history = _budget(100.0, extra_calls=60).history(100.0)
    assert history is not None
    message = encode_histories("front-1", {"fleet": history}, 100.0)
    text = msgspec.json.encode(message)
    decoded = JsonDecoder(message=RetryHistories).decode(text)
    (moved,) = decode_histories(decoded, 7000.0).values()
    for item, other in zip(
        (*history.requests, *history.extra_calls),
        (*moved.requests, *moved.extra_calls),
        strict=True,
    ):
        assert other.events == item.events
        assert other.start - 7000.0 == pytest.approx(item.start - 100.0, abs=0.002)


@pytest.mark.parametrize(
    "history",
    [
        {"service": "s", "known_ms": 1, "requests": [[1]], "extra_calls": []},
        {"service": "s", "known_ms": 1, "requests": [[1, 2]] * 1000, "extra_calls": []},
        {"service": "s", "known_ms": 1, "requests": [[1, -2]], "extra_calls": []},
        {"service": "s", "known_ms": "1", "requests": [], "extra_calls": []},
    ],
)
def test_unusable_messages_are_rejected(history: dict[str, object]) -> None:
    message = {"host": "front-1", "stopped_ms": 0, "histories": [history]}
    with pytest.raises(ValueError):
        decoded = JsonDecoder(message=RetryHistories).decode(msgspec.json.encode(message))
        RetryHistoryBoard().on_message(decoded, 100.0)


def test_a_board_keeps_histories_for_a_limited_time_and_of_few_hosts() -> None:
    # Guards against histories that take the memory of the host that keeps them.
    board = RetryHistoryBoard()
    history = BudgetHistory(90.0, (EventSlice(99.0, 1),), ())
    for number in range(100):
        board.on_message(encode_histories(f"front-{number}", {"fleet": history}, 100.0), 100.0)

    def is_kept(host: str, now: float) -> bool:
        return bool(board.message_of(host, now)["histories"])

    assert not is_kept("front-0", 102.0) and is_kept("front-99", 102.0)
    # An older message that arrives through another host replaces nothing.
    board.on_message(RetryHistories(host="front-99", stopped_ms=5000, histories=[]), 102.0)
    assert is_kept("front-99", 102.0)
    assert not is_kept("front-99", 200.0)
    assert not board.messages(200.0)


def test_a_board_keeps_a_limited_number_of_bytes() -> None:
    # Guards against the same with hosts that have many services and slices.
    chance = random.Random(1)
    board = RetryHistoryBoard()
    for number in range(40):
        history_by_service = {
            f"service-{service}": BudgetHistory(
                70.0, tuple(EventSlice(80.0 + n / 6, chance.randrange(999)) for n in range(120)), ()
            )
            for service in range(500)
        }
        message = encode_histories(f"front-{number}", history_by_service, 100.0)
        assert len(msgspec.json.encode(message)) < MAX_HISTORIES_BYTES
        board.on_message(message, 100.0)
    held = board._held_by_host.values()
    assert board._held_bytes == sum(len(item.data) for item in held) <= 4 * 1024 * 1024
    assert len(held) > 5


class _Budgets:
    def __init__(self, history_by_service: dict[str, BudgetHistory]) -> None:
        self.history_by_service = history_by_service

    def retry_histories(self) -> dict[str, BudgetHistory]:
        return self.history_by_service

    def restore_retry_histories(self, history_by_service: dict[str, BudgetHistory]) -> None:
        self.history_by_service = history_by_service


def test_histories_outlast_a_restart_of_the_host_that_holds_them() -> None:
    # Guards against a rolling restart in which each host is the one that knew of the one before.
    clock = FakeClock(start=100.0)
    history = BudgetHistory(70.0, (EventSlice(99.0, 7),), (EventSlice(99.5, 3),))

    def host(name: str, address: str) -> KnownHost:
        return KnownHost(name=name, address=address, data_centre="minho-1")

    async def test() -> None:
        address_by_name = {name: free_address() for name in ("front-1", "front-2", "front-3")}

        def start(name: str, *, knows: list[str]) -> tuple[RetryHandover, HttpServer, _Budgets]:
            neighbours = Neighbours(
                host=name,
                address=address_by_name[name],
                data_centre="minho-1",
                seeds=(),
                clock=clock,
            )
            for other in knows:
                neighbours.on_announcement(host(other, address_by_name[other]), known_digest="")
            budgets = _Budgets({})
            handover = RetryHandover(host=name, hosts=neighbours, budgets=budgets, clock=clock)
            application = neighbour_application(
                neighbours, ChangeLog(clock=clock), handover=handover
            )
            server = HttpServer(
                address=address_by_name[name], application=application, drain_seconds=1.0
            )
            return handover, server, budgets

        async with anyio.create_task_group() as group:
            first, _, first_budgets = start("front-1", knows=["front-2"])
            second, second_server, _ = start("front-2", knows=["front-3"])
            third, third_server, _ = start("front-3", knows=[])
            await group.start(second_server.run)
            await group.start(third_server.run)
            first_budgets.history_by_service = {"fleet": history}
            async with first, second, third:
                await first.hand_over()
                clock.advance(1.0)
                await second.hand_over()
                second_server.stop()
                clock.advance(1.0)
                again, _, again_budgets = start("front-1", knows=["front-2", "front-3"])
                async with again:
                    await again.run()
            third_server.stop()
        (restored,) = again_budgets.history_by_service.values()
        assert [item.events for item in restored.requests] == [7]
        assert restored.extra_calls[0].start == pytest.approx(99.5, abs=0.01)

    anyio.run(test)


def _directory(clock: FakeClock) -> Directory:
    settings = RetryBudgetSettings()
    settings.update(_BOUNDS)
    return Directory(
        clock=clock,
        location=Location("minho", "minho-1"),
        region_by_data_centre={"minho-1": "minho"},
        budget=settings,
        drain_seconds=3.0,
        spawn=lambda run, name: None,
        on_change=lambda: None,
    )


@pytest.mark.parametrize("is_known_before", [True, False])
def test_services_continue_whether_or_not_they_are_known_yet(is_known_before: bool) -> None:
    # Guards against histories that are lost because they arrive before the list of leaves.
    clock = FakeClock(start=100.0)
    old, new = _directory(clock), _directory(clock)
    old.pool("unused")
    for _ in range(100):
        old.pool("fleet").budget.count_request(clock.now())
    histories = old.retry_histories()
    assert set(histories) == {"fleet"}
    clock.advance(1.0)
    if is_known_before:
        new.pool("fleet")
    new.restore_retry_histories(histories)
    assert new.pool("fleet").budget.remaining == pytest.approx(0.97 * 0.2 * 100)
