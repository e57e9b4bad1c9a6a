"""Merging of the observations of a data centre, without a network."""

import random

from filbertreach.leaf_observations import Observation, ObservationBoard, StateChangeLog
from filbertreach.leaf_observations import _log as log_module


class _Board:
    """A board whose clock a test advances."""

    def __init__(self, *, leaves: int = 100) -> None:
        self.now = 100.0
        self.board = ObservationBoard(leaf_count=lambda: leaves)

    def report(
        self, host: str, kind: str, leaf_id: str = "a", *, calls: int = 1, factor: float = 1.0
    ) -> None:
        observation = Observation(kind, calls, factor, self.now)  # type: ignore[arg-type]
        self.board.record(host, {leaf_id: observation}, self.now)

    def listed(self) -> dict[str, str]:
        self.board.update(self.now)
        return {leaf_id: state.kind for leaf_id, state in self.board.state_by_leaf.items()}


def test_two_hosts_or_three_calls_list_a_leaf() -> None:
    # Guards against exceptions that a single call shows, which are common at healthy leaves.
    board = _Board()
    board.report("h1", "failing")
    assert board.listed() == {}
    board.report("h2", "failing")
    assert board.listed() == {"a": "failing"}
    board = _Board()
    for _ in range(3):
        assert board.listed() == {}
        board.report("h1", "failing")
        board.now += 0.3
    assert board.listed() == {"a": "failing"}


def test_calls_of_one_host_count_for_two_seconds() -> None:
    # Guards against rare failures that add up over a long time.
    board = _Board()
    for _ in range(6):
        board.report("h1", "failing")
        board.now += 1.1
        assert board.listed() == {}


def test_a_state_ends_after_the_last_confirmation() -> None:
    # Guards against a leaf that stays avoided although nobody observes an exception any more.
    board = _Board()
    board.report("h1", "failing")
    board.report("h2", "failing")
    assert board.listed() == {"a": "failing"}
    board.now += 1.5
    board.report("h1", "failing")
    board.now += 0.4
    assert board.listed() == {"a": "failing"}
    # The report of the second host has expired, and that of the first alone is not enough.
    board.now += 0.2
    assert board.listed() == {}
    board.now += 2.0
    board.listed()
    assert board.board.is_empty


def test_good_answers_of_two_hosts_end_a_state() -> None:
    # Guards against a recovered leaf that is avoided until its state ends by time.
    board = _Board()
    for host in ("h1", "h2", "h3"):
        board.report(host, "failing")
    board.now += 0.1
    board.report("h4", "healthy")
    assert board.listed() == {"a": "failing"}
    revision = board.board.revision
    board.report("h1", "healthy")
    assert board.listed() == {}
    # The other hosts have to learn this before they would let the state expire.
    assert board.board.revision > revision


def test_the_slowness_is_the_median_of_the_hosts() -> None:
    # Guards against one wrong report that determines the slowness.
    board = _Board()
    for host, factor in (("h1", 2.5), ("h2", 3.0), ("h3", 500.0)):
        board.report(host, "slow", factor=factor)
    assert board.listed() == {"a": "slow"}
    assert board.board.state_by_leaf["a"].factor == 3.0


def test_one_host_lists_at_most_a_tenth_of_the_leaves() -> None:
    # Guards against a host with wrong reports that takes the leaves from all others.
    board = _Board(leaves=30)
    for number in range(30):
        board.report("liar", "failing", f"leaf-{number}", calls=3)
    first = board.listed()
    assert len(first) == 3
    board.now += 0.5
    for number in reversed(range(30)):
        board.report("liar", "failing", f"leaf-{number}", calls=3)
    assert board.listed() == first
    board = _Board(leaves=5)
    for leaf_id in ("a", "b"):
        board.report("liar", "failing", leaf_id, calls=3)
    assert len(board.listed()) == 1


def test_none_is_listed_if_too_many_would_be() -> None:
    # Guards against a herd under a sudden overload: all leaves are slow, and those that are not
    # listed yet get the calls of the others.
    board = _Board(leaves=30)
    for number in range(10):
        for host in ("h1", "h2"):
            board.report(host, "slow", f"leaf-{number}", factor=3.0)
    assert len(board.listed()) == 10
    for host in ("h1", "h2"):
        board.report(host, "slow", "one more", factor=3.0)
    revision = board.board.revision
    assert board.listed() == {}
    assert board.board.is_general and board.board.revision > revision


def test_one_good_answer_silences_a_host_that_is_alone() -> None:
    # Guards against a host whose link to a leaf, or whose clock, is at fault.
    board = _Board()
    board.report("liar", "failing", calls=3)
    assert board.listed() == {"a": "failing"}
    board.now += 0.1
    board.report("h2", "healthy")
    assert board.listed() == {}
    # It says so again after the answer of the other host, so it is not believed alone any more.
    board.now += 0.1
    board.report("liar", "failing", calls=3)
    assert board.listed() == {}
    board.now += 5.0
    for leaf_id in ("a", "b"):
        board.report("liar", "failing", leaf_id, calls=9)
    assert board.listed() == {}
    board.report("h2", "failing", "b")
    assert board.listed() == {"b": "failing"}
    board.now += 30.0
    board.report("liar", "failing", calls=3)
    assert board.listed() == {"a": "failing"}


def test_revisions_change_only_with_news() -> None:
    # Guards against a message to each host for each observation, or for a state that expires.
    board = _Board()
    board.report("h1", "failing")
    board.report("h2", "failing")
    revision = board.board.revision
    board.listed()
    assert board.board.revision == revision + 1
    for _ in range(4):
        board.now += 0.1
        board.report("h1", "failing")
        board.report("h2", "failing")
        board.listed()
    assert board.board.revision == revision + 1
    board.now += 0.2
    board.report("h1", "failing")
    board.listed()
    assert board.board.revision == revision + 2
    board.now += 3.0
    assert board.listed() == {}
    assert board.board.revision == revision + 2


def test_reports_from_the_future_and_the_past_are_bounded() -> None:
    # Guards against wrong ages that keep a state in force for too long.
    board = _Board()
    for host in ("h1", "h2"):
        board.board.record(host, {"a": Observation("failing", 1, 1.0, board.now + 60.0)}, board.now)
        board.board.record(host, {"b": Observation("failing", 1, 1.0, board.now - 2.0)}, board.now)
    assert board.listed() == {"a": "failing"}
    board.now += 2.0
    assert board.listed() == {}


def test_log_lines_are_bounded(monkeypatch) -> None:
    # Guards against lines without end about a leaf that fails some of its calls.
    lines: list[tuple[str, str]] = []

    class _Logger:
        def info(self, event: str, *, leaf: str, **_fields: object) -> None:
            lines.append((event, leaf))

    monkeypatch.setattr(log_module, "_LOGGER", _Logger())
    board, log = _Board(leaves=1000), StateChangeLog()
    for _ in range(3):
        board.report("h1", "failing")
        board.report("h2", "failing")
        log.record(board.board.update(board.now), board.now)
        board.now += 2.5
        log.record(board.board.update(board.now), board.now)
    assert lines == [("leaf observed as failing", "a"), ("leaf no longer observed as failing", "a")]
    lines.clear()
    board.now += 20.0
    for number in range(50):
        for host in ("h1", "h2"):
            board.report(host, "slow", f"leaf-{number}", factor=3.0)
    log.record(board.board.update(board.now), board.now)
    assert len(lines) == 20


def test_slow_calls_by_chance_list_no_healthy_leaf() -> None:
    # Guards against healthy leaves that are listed as many hosts call them: some calls are slow.
    draw = random.Random(1)
    board = _Board(leaves=180)
    listed: set[str] = set()
    for tick in range(600):
        board.now += 0.1
        for _ in range(2):
            host = f"h{draw.randrange(127)}"
            board.report(host, "slow", f"leaf-{draw.randrange(180)}", factor=2.5)
        if tick >= 20:
            listed |= board.listed().keys()
    assert len(listed) <= 5
    for number in range(5):
        board.report(f"h{number}", "failing", "faulty")
    assert board.listed()["faulty"] == "failing"


def test_one_host_does_not_keep_a_leaf_from_being_listed() -> None:
    # Guards against a host that observes all leaves as failing and hides one that is.
    board = _Board(leaves=30)
    for number in range(29):
        board.report("liar", "failing", f"leaf-{number}")
    for host in ("h1", "h2"):
        board.report(host, "failing", "faulty")
    assert board.listed() == {"faulty": "failing"}


def test_an_overload_does_not_exhaust_the_memory() -> None:
    # Guards against reports of all hosts about all leaves, and a host that reports too often.
    board = _Board(leaves=1000)
    for host in range(57):
        for number in range(1000):
            board.report(f"h{host}", "slow", f"leaf-{number}", factor=3.0)
    reports = board.board._reports_by_leaf
    assert sum(map(len, reports.values())) == 10_000
    for _ in range(1000):
        board.report("h0", "slow", "leaf-0", factor=3.0)
    assert len(reports["leaf-0"]["h0"].calls_by_time) == 16
    board.now += 2.0
    assert board.listed() == {}
    assert board.board.is_empty
    board.report("h1", "failing")
    board.report("h2", "failing")
    assert board.listed() == {"a": "failing"}


def test_two_of_three_hosts_list_a_leaf_while_others_are_slow_by_chance() -> None:
    # Guards against a small data centre in which more hosts are needed than there are.
    board = _Board(leaves=9)
    for number, host in enumerate(("h1", "h1", "h2", "h2", "h3")):
        board.report(host, "slow", f"leaf-{number}", factor=2.5)
    for host in ("h1", "h2"):
        board.report(host, "failing", "faulty")
    assert board.listed() == {"faulty": "failing"}
