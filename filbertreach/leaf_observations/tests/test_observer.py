"""What a host observes by its own calls, and the states that it applies; without a network."""

import pytest

from filbertreach.decisions import LeafOutcome
from filbertreach.leaf_observations import HostObservations, LeafState
from filbertreach.timing import FakeClock

_USUAL_SECONDS = 0.02


class _Host:
    def __init__(self) -> None:
        self.clock = FakeClock(start=100.0)
        self.observations = HostObservations(clock=self.clock)
        self.observer = self.observations.observer
        self.states = self.observations.states

    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)
        self.observations.pauses.tick(self.clock.now())

    def call(self, outcome: LeafOutcome, seconds: float = 0.01, leaf_id: str = "a") -> None:
        self.observer.record(
            leaf_id, outcome, seconds, self.clock.now(), usual_seconds=_USUAL_SECONDS
        )

    def reported(self) -> dict[str, str]:
        taken = self.observer.take(self.clock.now())
        return {leaf_id: observation.kind for leaf_id, observation in taken.items()}

    def listed(self, kind: str, *, age_seconds: float = 0.0) -> list[str]:
        """Applies an exception of leaf "a" that other hosts have observed."""
        state = LeafState(kind, 3.0, self.clock.now() - age_seconds, 2)  # type: ignore[arg-type]
        return self.states.replace({"a": state}, self.clock.now())


@pytest.mark.parametrize(
    ("outcome", "seconds", "expected"),
    [
        (LeafOutcome.OK, 0.01, None),
        (LeafOutcome.OK, 0.05, "slow"),
        (LeafOutcome.ERROR, 0.001, "failing"),
        (LeafOutcome.CONNECTION_LOST, 0.001, "failing"),
        (LeafOutcome.TIMEOUT, 0.3, "failing"),
        # Lost to a hedge.
        (LeafOutcome.CANCELLED, 0.05, "failing"),
        # The caller left early, or the call had little time left.
        (LeafOutcome.CANCELLED, 0.03, None),
        (LeafOutcome.TIMEOUT, 0.03, None),
        # A healthy leaf under overload.
        (LeafOutcome.REFUSED, 0.3, None),
    ],
)
def test_only_exceptions_are_reported(
    outcome: LeafOutcome, seconds: float, expected: str | None
) -> None:
    # Guards against traffic while all leaves are healthy, and against overload taken for a fault.
    host = _Host()
    news: list[bool] = []
    host.observer.on_news = lambda: news.append(True)
    host.call(outcome, seconds)
    assert host.reported() == ({} if expected is None else {"a": expected})
    assert bool(news) is (expected is not None)


def test_calls_are_counted_and_slowness_is_bounded() -> None:
    # Guards against one extreme call that determines the slowness.
    host = _Host()
    for seconds in (0.05, 2.0, 0.06):
        host.call(LeafOutcome.OK, seconds)
    observation = host.observer.take(host.clock.now())["a"]
    assert (observation.calls, observation.factor) == (3, 5.0)


def test_the_end_of_an_exception_is_reported_once() -> None:
    # Guards against a report for each good answer.
    host = _Host()
    host.call(LeafOutcome.ERROR)
    # Nobody knows of an exception that has ended before it was reported.
    host.call(LeafOutcome.OK)
    assert host.reported() == {}
    host.call(LeafOutcome.ERROR)
    assert host.reported() == {"a": "failing"}
    host.call(LeafOutcome.OK)
    assert host.reported() == {"a": "healthy"}
    host.call(LeafOutcome.OK)
    assert host.reported() == {}


def test_a_pause_of_this_process_shows_nothing_of_leaves() -> None:
    # Guards against a host that reports all leaves after it was stopped for a while.
    host = _Host()
    host.clock.advance(3.0)
    host.call(LeafOutcome.CANCELLED, 3.0)
    host.observations.pauses.tick(host.clock.now())
    host.call(LeafOutcome.CONNECTION_LOST, 3.0)
    assert host.reported() == {}
    host.advance(0.1)
    host.call(LeafOutcome.CONNECTION_LOST, 0.01)
    assert host.reported() == {"a": "failing"}


def test_a_state_ends_without_confirmation() -> None:
    # Guards against states that stay in force when the merging host is gone.
    host = _Host()
    host.listed("failing", age_seconds=0.5)
    state = host.states.state_of("a", host.clock.now())
    assert state is not None and state.kind == "failing"
    host.advance(1.6)
    assert host.states.state_of("a", host.clock.now()) is None
    host.states.remove_expired(host.clock.now())
    assert host.states.is_empty
    # A process that was paused gets only old states.
    host.listed("failing", age_seconds=2.5)
    assert host.states.is_empty


def test_the_own_fresh_answer_takes_precedence() -> None:
    # Guards against false reports of other hosts that keep calls from a leaf which answers.
    host = _Host()
    host.call(LeafOutcome.OK)
    host.advance(0.5)
    # The answer is younger than the report, and the others are told.
    assert host.listed("failing", age_seconds=0.6) == ["a"]
    assert host.states.state_of("a", host.clock.now()) is None
    host.observer.on_contradicted(["a"], host.clock.now())
    assert host.reported() == {"a": "healthy"}
    # The answer is older than the report.
    assert host.listed("failing", age_seconds=0.1) == []
    assert host.states.state_of("a", host.clock.now()) is not None
    host.advance(0.1)
    host.call(LeafOutcome.OK)
    assert host.states.state_of("a", host.clock.now()) is None
    assert host.reported() == {"a": "healthy"}


def test_a_restarted_leaf_is_used_at_once() -> None:
    host = _Host()
    host.call(LeafOutcome.ERROR)
    host.listed("failing", age_seconds=0.1)
    host.observer.on_restarted("a", host.clock.now())
    assert host.states.state_of("a", host.clock.now()) is None
    assert host.reported() == {}
