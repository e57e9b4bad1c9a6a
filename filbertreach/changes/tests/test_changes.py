"""Guards against a planned change that is in force before every client it may slow was called."""

import datetime
import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from filbertreach.changes import (
    OVERRIDE,
    OperatingConditions,
    active_changes,
    check_changes,
    clients_to_call,
    held_changes,
    slowdown_ratio,
    slowed_clients,
)
from filbertreach.document import digest_change, parse_document

_NOW = datetime.datetime(2026, 12, 5, 2, 30, tzinfo=datetime.UTC)
_BASE = """\
[environment]
name = shop
[pool counter]
slots = 2
connections = 12
connect_cost_ms = 6
[service fleet]
pool = counter
leaves =
    fleet-a 127.0.0.1:9001 minho/minho-1
    fleet-b 127.0.0.2:9002 ribatejo/ribatejo-1
[service orders]
pool = counter
leaves =
    orders-a 127.0.0.1:9003 minho/minho-1
    orders-b 127.0.0.3:9004 minho/minho-2
    orders-c 127.0.0.4:9005 minho/minho-2
[service old]
pool = counter
leaves =
    old-a 127.0.0.5:9003 minho/minho-1
[map one]
shards =
    fleet-0 fleet
    orders-0 orders
[map before]
shards =
    old-0 old
[snapshot 41]
map = one
state = serving
[snapshot 40]
map = before
state = retired
[rank booking]
priority = 0
target_ms = 90
kept_share = 0.4
[rank bulk]
priority = 2
target_ms = 5000
kept_share = 0.1
[application counter]
shards = fleet-*
ranks = booking
clients = hotel-*
[application ledger]
shards = orders-*
ranks = bulk
clients = *
[client hotel-azul]
contact = +351 1
[client works]
"""


def _document(kind, subject, target="", extra="", starts="02", ends="03"):
    change = (
        f"[change night]\nkind = {kind}\nsubject = {subject}\ntarget = {target}\n"
        f"starts = 2026-12-05T{starts}:00:00Z\nends = 2026-12-05T{ends}:00:00Z\n"
    )
    return parse_document(text=_BASE + change + extra).unwrap()


@pytest.mark.parametrize(
    ("kind", "subject", "target", "expected"),
    [
        ("drain_leaf", "fleet-a", "", {"hotel-azul"}),
        ("drain_leaf", "orders-a", "", {"hotel-azul", "works"}),
        ("replace_leaf", "fleet-b", "127.0.0.9:1", {"hotel-azul"}),
        ("drain_leaf", "old-a", "", set()),
        ("drain_host", "127.0.0.1", "", {"hotel-azul", "works"}),
        ("drain_host", "127.0.0.2", "", {"hotel-azul"}),
        ("drain_host", "entry-1", "", set()),
        ("move_shard", "orders-0", "fleet", {"hotel-azul", "works"}),
        ("move_shard", "fleet-0", "orders", {"hotel-azul", "works"}),
        ("split_shard", "fleet-0", "orders", set()),
        ("split_shard", "orders-0", "fleet", {"hotel-azul", "works"}),
        ("roll_snapshot", "41", "", {"hotel-azul", "works"}),
        ("lower_share", "booking", "0.2", {"hotel-azul"}),
        ("lower_share", "booking", "0.39", set()),
        ("lower_share", "bulk", "0", {"hotel-azul", "works"}),
        ("lower_limit", "counter", "1", {"hotel-azul", "works"}),
        ("lower_limit", "counter", "2", set()),
    ],
)
def test_which_clients_a_change_may_slow(kind, subject, target, expected):
    environment = _document(kind, subject, target)
    slowed = slowed_clients(environment, environment.changes_by_name["night"])
    assert set(slowed) == expected
    assert all(item.reason and item.ratio > 1.25 for item in slowed.values())


@pytest.mark.parametrize(
    ("utilisation", "lost", "expected"),
    [
        ({"orders": 0.05}, frozenset(), set()),
        ({"orders": 0.6}, frozenset(), {"hotel-azul", "works"}),
        ({"orders": 0.2}, frozenset(), set()),
        ({"orders": 0.2}, frozenset(["orders-b"]), {"hotel-azul", "works"}),
    ],
)
def test_measured_load_and_lost_leaves_determine_the_slowed_clients(utilisation, lost, expected):
    environment = _document("drain_leaf", "orders-a")
    conditions = OperatingConditions(utilisation_by_service=utilisation, lost_leaves=lost)
    change = environment.changes_by_name["night"]
    assert set(slowed_clients(environment, change, conditions)) == expected


@pytest.mark.parametrize(
    ("kind", "subject", "target", "expected"),
    [
        ("drain_leaf", "fleet-z", "", "no service has a leaf fleet-z"),
        ("move_shard", "fleet-0", "boats", "name the receiving service"),
        ("move_shard", "boats", "fleet", "has a shard boats"),
        ("roll_snapshot", "42", "", "no snapshot has version 42"),
        ("lower_share", "booking", "much", "write the new kept share, from 0 to 1"),
        ("lower_share", "boats", "0.1", "no rank is named boats"),
        ("lower_limit", "counter", "3", "write the new number of slots, from 1 to 2"),
        ("drain_leaf", "old-a", "", "would take the last leaf"),
    ],
)
def test_unusable_change_is_reported_and_held(kind, subject, target, expected):
    environment = _document(kind, subject, target)
    assert expected in check_changes(environment, _NOW)["night"]
    assert expected in held_changes(environment, {}, _NOW)["night"]
    assert check_changes(environment, _NOW + datetime.timedelta(hours=1)) == {}


def _records(environment, *clients):
    digest = digest_change(environment.changes_by_name["night"])
    return {"night": {name: {"by": "ana", "at": "", "digest": digest} for name in clients}}


def test_change_is_held_until_every_slowed_client_was_called():
    environment = _document("drain_leaf", "orders-a")
    assert "not called: hotel-azul, works" in held_changes(environment, {}, _NOW)["night"]
    one = _records(environment, "works")
    assert held_changes(environment, one, _NOW) == {"night": "not called: hotel-azul"}
    assert active_changes(environment, one, _NOW) == []
    both = _records(environment, "works", "hotel-azul")
    assert held_changes(environment, both, _NOW) == {}
    assert [change.name for change in active_changes(environment, both, _NOW)] == ["night"]
    for hour in (1, 3):
        assert active_changes(environment, both, _NOW.replace(hour=hour, minute=0)) == []


def test_client_that_joins_the_set_holds_the_change_again():
    called = _records(_document("drain_leaf", "orders-a"), "works", "hotel-azul")
    grown = _document("drain_leaf", "orders-a", extra="[client new]\n")
    assert held_changes(grown, called, _NOW) == {"night": "not called: new"}


def test_call_records_of_a_change_with_other_times_do_not_count():
    called = _records(_document("drain_leaf", "orders-a", ends="04"), "works", "hotel-azul")
    environment = _document("drain_leaf", "orders-a")
    assert "works" in held_changes(environment, called, _NOW)["night"]


def test_override_counts_only_for_the_change_as_it_was_overridden():
    environment = _document("drain_leaf", "orders-a")
    assert held_changes(environment, _records(environment, OVERRIDE), _NOW) == {}
    other = _records(_document("drain_leaf", "orders-a", ends="04"), OVERRIDE)
    assert clients_to_call(environment, environment.changes_by_name["night"], other["night"])


def test_overlapping_drains_do_not_take_the_last_leaf_of_a_service():
    other = (
        "[change too]\nkind = drain_leaf\nsubject = fleet-b\n"
        "starts = 2026-12-05T02:59:00Z\nends = 2026-12-05T04:00:00Z\n"
    )
    environment = _document("drain_leaf", "fleet-a", extra=other)
    called = _records(environment, OVERRIDE)
    assert "would take the last leaf" in held_changes(environment, called, _NOW)["night"]


@settings(derandomize=True, deadline=None)
@given(st.integers(1, 64), st.integers(0, 63), st.floats(0, 0.99), st.floats(0, 0.5))
def test_slowdown_ratio_grows_with_lost_slots_and_load(slots, lost, utilisation, extra):
    load = slots * utilisation

    def ratio(lost_slots, added_load):
        return slowdown_ratio(
            slots_before=slots,
            slots_after=slots - lost_slots,
            load_before=load,
            load_after=load + added_load,
        )

    assert ratio(0, 0) == pytest.approx(1.0)
    assert ratio(min(lost, slots), extra) >= ratio(0, extra) * (1 - 1e-9)
    assert ratio(0, extra) >= 1.0
    assert math.isinf(ratio(slots, 0))
