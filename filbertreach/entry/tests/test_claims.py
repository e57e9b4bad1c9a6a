"""Tests ClaimTable: a repeated request id must be detected, and the table must stay bounded."""

from hypothesis import given, settings
from hypothesis import strategies as st

from filbertreach.entry._claims import ClaimTable


def test_id_is_in_use_until_it_expires():
    claims = ClaimTable(keep_seconds=10.0)
    assert claims.begin("shop", "1", 0.0)
    assert not claims.begin("shop", "1", 100.0)
    assert claims.begin("other", "1", 100.0)
    claims.end("shop", "1", 100.0)
    assert not claims.begin("shop", "1", 109.9)
    assert claims.begin("shop", "1", 110.0)


def test_refused_request_frees_its_id():
    claims = ClaimTable()
    assert claims.begin("shop", "1", 0.0)
    claims.end("shop", "1", 0.0, ran=False)
    assert claims.begin("shop", "1", 0.0)


def test_number_of_finished_ids_is_bounded():
    claims = ClaimTable(max_finished=3)
    for number in range(10):
        claims.begin("shop", str(number), 0.0)
        claims.end("shop", str(number), 0.0)
    assert len(claims) == 3
    assert claims.begin("shop", "0", 0.0)
    assert not claims.begin("shop", "9", 0.0)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 9), st.booleans(), st.floats(0, 3))))
def test_ids_in_progress_are_never_removed_and_finished_ones_are_bounded(steps):
    claims = ClaimTable(keep_seconds=5.0, max_finished=3)
    running, now = set(), 0.0
    for number, begins, elapsed in steps:
        now += elapsed
        if begins:
            begun = claims.begin("shop", str(number), now)
            assert not (begun and number in running)
            if begun:
                running.add(number)
        else:
            claims.end("shop", str(number), now)
            running.discard(number)
        assert len(running) <= len(claims) <= len(running) + 3
