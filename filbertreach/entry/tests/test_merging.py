"""Tests merging: answers must not depend on arrival order, mix versions or hold too many rows."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from filbertreach.entry._merging import MergeError, make_merger

VALUES = st.one_of(
    st.integers(-3, 3), st.sampled_from(["a", "b"]), st.none(), st.just(float("nan")), st.just([1])
)
ROWS = st.lists(st.fixed_dictionaries({"id": st.integers(), "price": VALUES}), max_size=6)
SHARDS = st.dictionaries(st.sampled_from("abcdef"), ROWS)


def merge(kind, rows_by_shard, limit, descending=False):
    merger = make_merger(
        kind=kind, order_by="price", descending=descending, limit=limit, max_rows=100
    )
    for shard, rows in rows_by_shard.items():
        merger.add(shard, 7, rows)
    return merger.result()


def reference_key(row, descending):
    value = row["price"]
    if isinstance(value, str):
        return (2, value)
    if isinstance(value, int):
        return (1, value)
    return (0, 0) if descending else (3, 0)


@settings(derandomize=True, deadline=None)
@given(SHARDS, st.integers(1, 8), st.booleans(), st.randoms())
def test_top_equals_a_full_sort_in_any_arrival_order(rows_by_shard, limit, descending, random):
    shards = sorted(rows_by_shard)
    expected = [row for shard in shards for row in rows_by_shard[shard]]
    expected.sort(key=lambda row: reference_key(row, descending), reverse=descending)
    random.shuffle(shards)
    arrived = {shard: rows_by_shard[shard] for shard in shards}
    assert str(merge("top", arrived, limit, descending)) == str(expected[:limit])


@settings(derandomize=True, deadline=None)
@given(SHARDS, st.integers(1, 8), st.randoms())
def test_concatenation_is_in_shard_order_in_any_arrival_order(rows_by_shard, limit, random):
    shards = sorted(rows_by_shard)
    expected = [row for shard in shards for row in rows_by_shard[shard]]
    random.shuffle(shards)
    arrived = {shard: rows_by_shard[shard] for shard in shards}
    assert str(merge("concatenate", arrived, limit)) == str(expected[:limit])


@pytest.mark.parametrize("kind", ["top", "concatenate"])
@pytest.mark.parametrize(
    ("shard", "version", "message"),
    [("a", 7, "shard a was already merged"), ("b", 8, "shard b answered from version 8")],
)
def test_rejected_rows_leave_the_result_unchanged(kind, shard, version, message):
    merger = make_merger(kind=kind, order_by="price", descending=False, limit=5, max_rows=5)
    merger.add("a", 7, [{"price": 1}])
    with pytest.raises(MergeError, match=message):
        merger.add(shard, version, [{"price": 0}])
    assert merger.result() == [{"price": 1}]
    merger.add("b", 7, [{"price": 2}])
    assert len(merger.result()) == 2


@pytest.mark.parametrize(("kind", "held"), [("top", "_candidates"), ("concatenate", "_row_count")])
def test_memory_is_bounded(kind, held):
    merger = make_merger(kind=kind, order_by="price", descending=False, limit=10, max_rows=10)
    for shard in range(50):
        merger.add(f"{shard:03}", 7, [{"price": price} for price in range(100)])
    rows = getattr(merger, held)
    assert (rows if isinstance(rows, int) else len(rows)) <= 20


@pytest.mark.parametrize(
    ("changed", "message"),
    [
        ({"kind": "sum"}, "no merge kind 'sum'; there is: concatenate, top"),
        ({"limit": 0}, "merge limit is 0; allowed: 1 to 10"),
        ({"limit": 11}, "merge limit is 11; allowed: 1 to 10"),
        ({"order_by": None}, "needs order_by"),
    ],
)
def test_invalid_merge_error_says_what_is_allowed(changed, message):
    allowed = {"kind": "top", "order_by": "a", "descending": False, "limit": 1, "max_rows": 10}
    with pytest.raises(MergeError, match=message):
        make_merger(**(allowed | changed))


def test_integer_beyond_the_float_range_is_ordered():
    rows = {"a": [{"price": 10**400}, {"price": 1.5}]}
    assert merge("top", rows, 2) == [{"price": 1.5}, {"price": 10**400}]


def test_tie_with_the_last_kept_row_goes_to_the_first_shard_by_name():
    rows = {"c": [{"price": 1}] * 3, "a": [{"price": 1, "shard": "a"}]}
    assert merge("top", rows, 1) == [{"price": 1, "shard": "a"}]
