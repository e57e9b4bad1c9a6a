"""Guards against call records that are lost, invalid or replaced by older ones."""

import json

import pytest

from filbertreach.agent._call_records import CallRecordTable
from filbertreach.platform import KeyValueItem, KeyValueListing, WatchBatch, WatchEvent

_KEY = "filbertreach/environments/shop/calls/drain-a/{}"


def _value(by):
    return json.dumps({"by": by, "at": "2026-12-04T07:00:00Z", "digest": "d", "operator": "x"})


def _listing(revision, *clients):
    items = {_KEY.format(c): KeyValueItem(_KEY.format(c), _value("ana"), 1, None) for c in clients}
    return KeyValueListing(items, revision)


def _event(revision, client, value):
    return WatchEvent("put" if value else "delete", _KEY.format(client), value, revision)


def _clients(table):
    return None if table.copy is None else [record["client"] for record in table.copy["records"]]


def test_records_are_unknown_until_the_first_listing():
    table = CallRecordTable()
    assert table.copy is None
    table.apply_listing(_listing(0))
    assert (table.revision, _clients(table)) == (1, [])


@pytest.mark.parametrize(
    ("events", "clients"),
    [
        ([_event(11, "b", _value("ana"))], ["a", "b"]),
        ([_event(11, "a", None)], []),
        ([_event(9, "b", _value("ana"))], ["a"]),
        ([_event(11, "b", "{")], ["a"]),
        ([_event(11, "b/c", _value("ana"))], ["a"]),
        ([_event(11, "b", _value("ana")), _event(12, "b", None)], ["a"]),
    ],
)
def test_only_valid_events_after_the_listing_are_applied(events, clients):
    table = CallRecordTable()
    table.apply_listing(_listing(10, "a"))
    table.apply_events(WatchBatch(tuple(events), 12))
    assert _clients(table) == clients


def test_the_records_of_the_higher_revision_remain():
    old, new = CallRecordTable(), CallRecordTable()
    old.apply_listing(_listing(10, "a"))
    new.apply_listing(_listing(12, "a", "b"))
    assert not new.merge(old.copy)
    assert old.merge(new.copy)
    assert old.copy == new.copy
    old.apply_listing(_listing(11, "a"))
    assert _clients(old) == ["a", "b"]
