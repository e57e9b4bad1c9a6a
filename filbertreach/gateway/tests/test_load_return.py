"""Return of load after an evacuation or a start of many leaves, by changes of the store."""

import json
import pathlib

import pytest

from filbertreach.decisions import RETURN_SECONDS, CrossingCosts, LoadReturn
from filbertreach.gateway._directory import Directory
from filbertreach.gateway._leaf_handle import Location
from filbertreach.gateway._policy import GatewayPolicy, load_policy
from filbertreach.gateway._retry_budget import RetryBudgetSettings
from filbertreach.platform import StoredItem, StoredListing
from filbertreach.timing import FakeClock

_DATA_CENTRES = ["minho-1"] * 3 + ["minho-2"] * 2


def _item(number: int, *, cold_ms: int = 0, born: int = 1) -> StoredItem:
    entry = {
        "service": "fleet",
        "address": f"127.0.0.1:{number + 1}",
        "zone": _DATA_CENTRES[number],
        "version": "1",
        "slots": 2,
        "state": "ready",
        "cold_left_ms": cold_ms,
        "sequence": 1,
        "born": born,
    }
    return StoredItem(f"servers/leaf-{number}", json.dumps(entry).encode(), 1)


class _Host:
    """A host in minho-1 with three leaves, and two in minho-2."""

    def __init__(
        self,
        *,
        paced: bool = True,
        draw: float = 0.5,
        leaves: int = 5,
        spill_over: CrossingCosts | None = None,
    ) -> None:
        self.clock = FakeClock(start=100.0)
        self.directory = Directory(
            clock=self.clock,
            location=Location("minho", "minho-1"),
            region_by_data_centre=dict.fromkeys(_DATA_CENTRES, "minho"),
            budget=RetryBudgetSettings(),
            drain_seconds=3.0,
            spawn=lambda run, name: None,
            on_change=lambda: None,
            load_return=LoadReturn(draw=lambda: draw) if paced else None,
            spill_over=spill_over,
        )
        items = [_item(number) for number in range(leaves)]
        self.directory.on_listing(StoredListing({item.key: item for item in items}, 1), 0.0)

    def evacuate(self, *, withdrawn: bool = False) -> None:
        key = "op/evacuate/minho-1"
        self.directory.on_change(key, None if withdrawn else StoredItem(key, b"{}", 2), 0.0)

    def restart(self, number: int, *, cold_ms: int = 0) -> None:
        item = _item(number, cold_ms=cold_ms, born=2)
        self.directory.on_change(item.key, item, 0.0)

    def chosen(self) -> str | None:
        """Returns the data centre of the leaf that the next call gets."""
        handle = self.directory.pool("fleet").choose(tried=(), now=self.clock.now())
        return handle.leaf.data_centre if handle is not None else None


@pytest.mark.parametrize("spill_over", [None, CrossingCosts(0.0, 0.0)])
def test_load_returns_gradually_after_an_evacuation(spill_over: CrossingCosts | None) -> None:
    # Guards against all load on leaves whose caches are empty once an evacuation is withdrawn.
    host = _Host(spill_over=spill_over)
    assert host.chosen() == "minho-1"
    host.evacuate()
    assert host.chosen() == "minho-2"
    host.evacuate(withdrawn=True)
    assert host.chosen() == "minho-2"
    # A call that draws 0.5 may use them from 0.8 of the time on.
    host.clock.advance(0.79 * RETURN_SECONDS)
    assert host.chosen() == "minho-2"
    host.clock.advance(0.02 * RETURN_SECONDS)
    assert host.chosen() == "minho-1"


def test_without_the_policy_load_returns_at_once() -> None:
    # Guards against decisions that change without the section.
    host = _Host(paced=False)
    host.evacuate()
    host.evacuate(withdrawn=True)
    assert host.chosen() == "minho-1"


def test_leaves_that_return_are_used_if_there_are_no_others() -> None:
    # Guards against requests that are refused although leaves are free.
    host = _Host(leaves=3)
    host.evacuate()
    assert host.chosen() is None
    host.evacuate(withdrawn=True)
    assert host.chosen() == "minho-1"


@pytest.mark.parametrize(("started", "data_centre"), [(2, "minho-1"), (3, "minho-2")])
def test_load_returns_gradually_to_leaves_that_start_together(
    started: int, data_centre: str
) -> None:
    host = _Host()
    for number in range(started):
        host.restart(number)
    assert host.chosen() == data_centre


def test_the_share_of_starts_is_that_of_the_listed_leaves_of_the_data_centre() -> None:
    # Guards against a count that leaves which are gone, or moved, keep too high.
    host = _Host()
    assert host.directory._leaf_count_by_data_centre == {"minho-1": 3, "minho-2": 2}
    host.restart(0)
    host.directory.on_change("servers/leaf-1", None, 0.0)
    host.directory.on_change("servers/leaf-1", None, 0.0)
    assert host.directory._leaf_count_by_data_centre == {"minho-1": 2, "minho-2": 2}
    host.directory.on_listing(StoredListing({_item(3).key: _item(3)}, 2), 0.0)
    assert host.directory._leaf_count_by_data_centre.items() == {"minho-2": 1}.items()


def test_the_limit_of_a_cold_leaf_sets_the_pace() -> None:
    # Guards against a leaf that gets even less than the limit that it states.
    host = _Host()
    pool = host.directory.pool("fleet")
    pool.set_host_count(1)
    pool.set_cold_limit(1000.0)
    for number in range(3):
        host.restart(number, cold_ms=60_000)
    assert host.chosen() == "minho-1"


def test_the_first_listing_is_no_mass_return() -> None:
    # Guards against a host that holds back load after its own start.
    assert _Host().chosen() == "minho-1"


def test_without_a_return_a_choice_does_not_look_at_the_pace_of_leaves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against work for each leaf in each choice, of which a query makes about a hundred.
    def fail(self: LoadReturn, leaves: object, now: float) -> frozenset[str]:
        raise AssertionError("the pace was asked for")

    monkeypatch.setattr(LoadReturn, "withheld", fail)
    host = _Host()
    assert host.chosen() == "minho-1"
    host.evacuate()
    host.evacuate(withdrawn=True)
    host.clock.advance(RETURN_SECONDS)
    assert host.chosen() == "minho-1"


def test_the_policy_switches_it_on(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "policy.ini"
    path.write_text("[load_return]\nenabled = true\n")
    assert load_policy(str(path)).unwrap() == GatewayPolicy(load_return=True)
    path.write_text("[admission]\nenabled = true\n")
    assert load_policy(str(path)).unwrap() == GatewayPolicy(admission=True)
