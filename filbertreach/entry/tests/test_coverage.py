"""Tests coverage statements: each shard of the query, and no other, must be listed exactly once."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from filbertreach.entry._coverage import Coverage, CoverageError

SHARDS = ("a", "b", "c", "d")
REASONS = ["deadline", "version_unavailable", "leaf_failed", "cancelled", "duplicate"]
EVENT = st.tuples(st.sampled_from([*SHARDS, "foreign"]), st.sampled_from([None, *REASONS]))


@settings(derandomize=True, deadline=None)
@given(st.lists(EVENT))
def test_included_and_lacking_partition_the_shards(events):
    coverage = Coverage(shards=SHARDS)
    first = {}
    for shard, reason in events:
        try:
            if reason is None:
                coverage.mark_included(shard)
            else:
                coverage.mark_lacking(shard, reason)
        except CoverageError:
            assert shard == "foreign" or shard in first
        else:
            first[shard] = reason
    statement = coverage.finish("deadline")
    lacking = [item["shard"] for item in statement["lacking"]]
    assert sorted(statement["included"] + lacking) == list(SHARDS)
    assert statement["included"] == [
        shard for shard in SHARDS if shard in first and first[shard] is None
    ]
    assert statement["complete"] == (not lacking)
    assert coverage.finish("owner_lost") == statement


@pytest.mark.parametrize(
    ("reason", "stated"),
    [("cancelled", "deadline"), ("duplicate", "owner_lost"), ("overloaded", "overloaded")],
)
def test_failure_reasons_become_stated_reasons(reason, stated):
    coverage = Coverage(shards=["a"])
    coverage.mark_lacking("a", reason)
    assert coverage.finish("deadline")["lacking"] == [{"shard": "a", "reason": stated}]


def test_unknown_reason_and_repeated_shard_are_errors():
    with pytest.raises(CoverageError, match="unknown reason 'bad' for a lacking shard"):
        Coverage(shards=["a"]).mark_lacking("a", "bad")
    with pytest.raises(CoverageError, match="listed twice"):
        Coverage(shards=["a", "a"])
