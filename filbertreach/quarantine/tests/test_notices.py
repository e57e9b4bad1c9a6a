"""Messages about losses, and what a host does with them, without a network."""

from typing import Any

import pytest

from filbertreach.quarantine import FleetQuarantine, NoticeError, RequestContent
from filbertreach.quarantine._idle_ends import IdleEnds
from filbertreach.quarantine._notices import EntryAllowance
from filbertreach.schema import QuarantineNotice
from filbertreach.timing import FakeClock

_CONTENT = RequestContent("GET", b"/x", b"", None)


class _Hosts:
    def local_addresses(self) -> list[str]:
        return ["10.0.0.2:1", "10.0.0.3:1"]

    def seed_addresses(self) -> list[str]:
        return ["10.1.0.1:1"]

    def address_by_data_centre(self) -> dict[str, str]:
        return {"minho-1": "10.2.0.1:1", "beira-1": "10.3.0.1:1"}


class _Quarantine(FleetQuarantine):
    """Keeps the messages that it would send."""

    def __init__(self, clock: FakeClock) -> None:
        super().__init__(host="b", data_centre="alentejo-1", hosts=_Hosts(), clock=clock)
        self.sent: list[tuple[str, list[str]]] = []

    def _send(self, notice: QuarantineNotice, addresses: list[str]) -> None:
        self.sent.append((notice["spread"], addresses))


def _entry(quarantine: FleetQuarantine, **changes: Any) -> Any:
    guard = quarantine.admit(_CONTENT, route="r", shards=0)
    quarantine.release(guard)
    leaves = [{"leaf": leaf, "started_at_ms": 1} for leaf in ("x", "y")]
    return {
        "fingerprint": guard.fingerprint.hex(),
        "route": "r",
        "leaves": leaves,
        "attempts": 2,
        "quarantined": True,
        "age_seconds": 0.0,
        **changes,
    }


def _notice(entries: list[Any], **changes: Any) -> QuarantineNotice:
    notice: Any = {"sender": "a", "data_centre": "minho-1", "spread": "all", "entries": entries}
    notice.update(changes)
    result: QuarantineNotice = notice
    return result


def test_a_host_refuses_what_another_one_has_learned_and_passes_it_on_once() -> None:
    # Guards against each host losing leaves, and against messages that go round in circles.
    quarantine = _Quarantine(FakeClock(start=10.0))
    notice = _notice([_entry(quarantine)])
    quarantine.on_notice(notice)
    quarantine.on_notice(notice)
    assert quarantine.admit(_CONTENT, route="r", shards=0).verdict.kind == "refuse"
    assert quarantine.sent == [
        ("data_centre", ["10.3.0.1:1"]),
        ("none", ["10.0.0.2:1", "10.0.0.3:1"]),
    ]


@pytest.mark.parametrize(
    ("spread", "data_centre", "messages"),
    [("none", "minho-1", 0), ("data_centre", "minho-1", 1), ("all", "alentejo-1", 1)],
)
def test_to_whom_a_message_is_passed_on(spread: str, data_centre: str, messages: int) -> None:
    quarantine = _Quarantine(FakeClock(start=10.0))
    quarantine.on_notice(_notice([_entry(quarantine)], spread=spread, data_centre=data_centre))
    assert len(quarantine.sent) == messages


@pytest.mark.parametrize(
    "changes",
    [
        {"fingerprint": "00"},
        {"fingerprint": "no digits"},
        {"leaves": []},
        {"leaves": [{"leaf": "x" * 300, "started_at_ms": 1}]},
        {"leaves": [{"leaf": str(n), "started_at_ms": 1} for n in range(9)], "attempts": 9},
        {"attempts": 1},
        {"attempts": 10**9},
        {"age_seconds": -1.0},
        {"age_seconds": float("nan")},
        {"age_seconds": 31.0},
        {"route": "r" * 300},
    ],
)
def test_an_unusable_entry_is_rejected(changes: dict[str, Any]) -> None:
    # Guards against a faulty host that fills the memory of others, or blocks requests for long.
    quarantine = _Quarantine(FakeClock(start=10.0))
    with pytest.raises(NoticeError):
        quarantine.on_notice(_notice([_entry(quarantine, **changes)]))
    assert quarantine.admit(_CONTENT, route="r", shards=0).verdict.kind == "allow"


def test_the_entries_of_others_are_bounded() -> None:
    # Guards against a faulty host that keeps the others busy.
    quarantine = _Quarantine(FakeClock(start=10.0))
    entry = _entry(quarantine)
    with pytest.raises(NoticeError):
        quarantine.on_notice(_notice([entry] * 51))
    with pytest.raises(NoticeError):
        for _ in range(21):
            quarantine.on_notice(_notice([entry] * 50))


def test_a_host_sends_fifty_entries_per_second() -> None:
    # Guards against messages that use up the link while many requests crash leaves.
    allowance = EntryAllowance()
    assert allowance.take(500, 1.0) == 50
    assert allowance.take(500, 1.0) == 0
    assert allowance.take(500, 1.5) == 25


def test_idle_connections_are_looked_into_only_near_a_lost_request() -> None:
    # Guards against a check for each idle connection that a leaf closes.
    checked: list[str] = []
    ended: list[str] = []

    def check(process: tuple[str, int], address: str, on_checked: Any) -> None:
        checked.append(process[0])
        on_checked(process[0] != "alive")

    ends = IdleEnds(check_leaf=check, on_ended=lambda process, at: ended.append(process[0]))
    ends.on_closed(("long before", 1), "a:1", 1.0)
    ends.on_closed(("before", 1), "a:1", 1.95)
    assert not checked
    ends.on_request_lost(2.0)
    ends.on_closed(("alive", 1), "a:1", 2.05)
    ends.on_closed(("long after", 1), "a:1", 2.2)
    assert checked == ["before", "alive"] and ended == ["before"]
