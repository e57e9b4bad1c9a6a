"""How the directory applies a listing and changes of all keys of the store."""

import json
from typing import Any

import pytest

from filbertreach.gateway._directory import Directory
from filbertreach.gateway._leaf_handle import Location
from filbertreach.gateway._retry_budget import RetryBudgetSettings
from filbertreach.platform import LEAVES_PREFIX, StoredItem, StoredListing
from filbertreach.timing import FakeClock


def _leaf(leaf_id: str, revision: int = 1, **fields: Any) -> StoredItem:
    entry = {
        "service": "stock",
        "address": "127.0.0.1:9",
        "zone": "north-1",
        "version": "1",
        "slots": 2,
        "state": "ready",
        "cold_left_ms": 0,
        "sequence": 1,
        "born": 1_000,
    }
    value = json.dumps({**entry, **fields}).encode()
    return StoredItem(f"{LEAVES_PREFIX}{leaf_id}", value, revision)


@pytest.fixture
def directory() -> Directory:
    return Directory(
        clock=FakeClock(),
        location=Location("north", "north-1"),
        region_by_data_centre={"north-1": "north"},
        budget=RetryBudgetSettings(),
        drain_seconds=3.0,
        spawn=lambda run, name: None,
        on_change=lambda: None,
    )


def _listing(*items: StoredItem) -> StoredListing:
    return StoredListing({item.key: item for item in items}, 7)


def test_a_listing_of_another_epoch_withdraws_no_evacuation(directory: Directory) -> None:
    # Guards against a store that was restored from a copy and withdraws what it has lost.
    evacuation = StoredItem("op/evacuate/north-1", b"", 3)
    first = _listing(_leaf("a"), evacuation)._replace(epoch=4)
    directory.on_listing(first, 0.0)
    assert directory.evacuated_data_centres == {"north-1"}
    directory.on_listing(_listing(_leaf("a"))._replace(epoch=5), 0.0)
    assert directory.evacuated_data_centres == {"north-1"}
    directory.on_listing(first._replace(epoch=5), 0.0)
    directory.on_listing(_listing(_leaf("a"))._replace(epoch=5), 0.0)
    assert directory.evacuated_data_centres == set()


def test_keys_of_other_users_are_ignored(directory: Directory) -> None:
    # One watch covers all keys, including those of other users of the store.
    foreign = StoredItem("status/north", b"\xff", 2)
    directory.on_listing(_listing(_leaf("a"), foreign), 0.0)
    directory.on_change("status/north", foreign, 0.0)
    directory.on_change("status/north", None, 0.0)
    assert directory.leaves_listed
    assert directory.count_leaves() == 1


def test_leaves_are_unlisted_by_a_listing_and_by_a_change(directory: Directory) -> None:
    directory.on_listing(_listing(_leaf("a"), _leaf("b")), 0.0)
    directory.on_listing(_listing(_leaf("b")), 0.0)
    assert directory.count_leaves() == 1
    directory.on_change(f"{LEAVES_PREFIX}b", None, 0.0)
    assert directory.count_leaves() == 0


def test_an_unreadable_configuration_leaves_the_list_of_leaves_usable(directory: Directory) -> None:
    directory.on_listing(_listing(StoredItem("op/config", b"{", 3), _leaf("a")), 0.0)
    assert directory.leaves_listed and directory.table is None


def _configuration(version: int, service: str) -> StoredItem:
    configuration = {
        "version": version,
        "routes": [
            {
                "name": "r",
                "host": "h",
                "prefix": "/",
                "route_kind": "idempotent",
                "timeout_ms": 100,
                "objective_ms": 50,
                "service": service,
            }
        ],
        "services": [{"name": service, "max_conns": 20}],
        "limits": {
            "max_header_bytes": 8192,
            "max_body_bytes": 65536,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 60000,
        },
    }
    return StoredItem("op/config", json.dumps(configuration).encode(), version)


def test_services_that_nothing_names_any_more_take_no_memory(directory: Directory) -> None:
    # Guards against memory that grows with each new name of a service in a configuration or entry.
    now = 0.0
    for version in range(1, 200):
        directory.on_change("op/config", _configuration(version, f"s-{version}"), now)
        directory.on_change(f"{LEAVES_PREFIX}a", _leaf("a", service=f"t-{version}"), now)
        directory.pools_for(directory.table.find("h", "/"))  # type: ignore[union-attr, arg-type]
        now += 10.0
        directory._clock.advance(10.0)  # type: ignore[attr-defined]
        directory.remove_expired(now)
    # Those of the last minute are kept, as a leaf that left may return.
    assert len(directory.pool_by_service) < 20
    assert {"s-199", "t-199"} <= directory.pool_by_service.keys()
