"""Tests the pressure that a gateway reads from the reports of leaves, and where it is used."""

import pathlib
import types
from typing import Any

import pytest

from filbertreach.decisions import LeafTracker, Pressure
from filbertreach.document import Leaf, Pool
from filbertreach.gateway._leaf_pressure import LeafPressure
from filbertreach.gateway._policy import load_policy
from filbertreach.timing import FakeClock


def _pools(*loads: tuple[float, int, int]) -> Any:
    """Returns a service whose leaves of 4 slots have reported (clock, running, waiting)."""
    handles = {}
    for n, (clock, running, waiting) in enumerate(loads):
        leaf = Leaf(f"leaf-{n}", f"127.0.0.1:{9000 + n}", "minho", "minho-1")
        tracker = LeafTracker(leaf=leaf, pool=Pool("stock", 4, 12, 6.0))
        tracker.record_load_report(running, waiting, clock)
        handles[leaf.id] = types.SimpleNamespace(tracker=tracker)
    return {"stock": types.SimpleNamespace(handle_by_id=handles)}


def test_one_slow_leaf_is_no_pressure() -> None:
    """Guards against shares that are applied because of one leaf, or of reports of the past."""
    clock = FakeClock(start=100.0)
    loads = (99.2, 4, 40), (99.8, 4, 2), (99.5, 2, 0), (90.0, 4, 90), (98.9, 4, 90)
    pressure = LeafPressure(pool_by_service=_pools(*loads), clock=clock)
    assert pressure() == Pressure(1.5, pytest.approx(0.2))
    clock.advance(0.3)
    # The report of 99.2 is too old now.
    assert pressure() == Pressure(1.0, pytest.approx(0.5))
    clock.advance(0.55)
    assert pressure() is None


def test_all_leaves_are_read_at_most_four_times_a_second() -> None:
    """Guards against a gateway that reads thousands of leaves with each message under load."""
    reads = []

    class _Pools(dict[str, Any]):
        def values(self) -> Any:
            reads.append(clock.now())
            return super().values()

    clock = FakeClock(start=100.0)
    pools = _Pools(_pools((99.9, 4, 4)))
    pressure = LeafPressure(pool_by_service=pools, clock=clock)
    for _ in range(100):
        pressure()
        clock.advance(0.01)
    assert 1 < len(reads) <= 4


def test_without_reports_the_pressure_is_unknown() -> None:
    pressure = LeafPressure(pool_by_service=_pools(), clock=FakeClock(start=100.0))
    assert pressure() is None


@pytest.mark.parametrize(
    ("text", "enabled"), [("", False), ("[account_shares]\nenabled = true\n", True)]
)
def test_the_policy_switches_shares_on(text: str, enabled: bool, tmp_path: pathlib.Path) -> None:
    path = tmp_path / "policy.ini"
    path.write_text(text)
    assert load_policy(str(path)).unwrap().account_shares is enabled
