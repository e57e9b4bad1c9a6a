"""Guards against generations that decrease, and against serving on a stale state.

A host that has lost contact could otherwise serve an old document after a new one was accepted.
"""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from filbertreach.agent._documents import DocumentTable
from filbertreach.agent._host_list import LatestHostList

_TEXT = "[environment]\nname = shop\n"


def _digest_of(text):
    return "digest of " + text[-40:]


def _value(generation, text=_TEXT):
    return {
        "environment": "shop",
        "generation": generation,
        "digest": _digest_of(text),
        "text": text,
    }


def _accept(table, generation, text=_TEXT):
    return table.accept(environment="shop", generation=generation, text=text)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(1, 9), min_size=1))
def test_the_highest_generation_remains_in_any_order(generations):
    table = DocumentTable()
    seen = []
    for generation in generations:
        _accept(table, generation)
        seen.append(table.generation("shop"))
    assert seen == sorted(seen)
    assert seen[-1] == max(generations)


def test_a_document_of_another_environment_is_neither_accepted_nor_prepared():
    table = DocumentTable()
    other = "[environment]\nname = other\n"
    assert not _accept(table, 1, other)
    table.propose(value=_value(1, other), now=0.0)
    table.propose(value=_value(1, other), now=1.0)
    assert table.prepared == {}
    assert list(table.proposal_by_environment) == ["shop"]


@pytest.mark.parametrize(
    ("proposed", "fresh_as_of", "now", "majority", "usable"),
    [
        (False, 0.0, 100.0, False, True),
        (True, 0.0, 4.9, False, True),
        (True, 0.0, 5.1, False, False),
        (True, 0.0, 5.1, True, True),
        (True, -math.inf, 0.0, False, False),
    ],
)
def test_an_undecided_proposal_needs_a_fresh_state_or_a_majority(
    proposed, fresh_as_of, now, majority, usable
):
    table = DocumentTable()
    _accept(table, 1)
    table.fresh_as_of = fresh_as_of
    if proposed:
        table.propose(value=_value(2), now=0.0)
        assert table.prepared == {"shop": _digest_of(_TEXT)}
    assert table.usable(environment="shop", now=now, reaches_majority=majority) is usable
    _accept(table, 2)
    assert table.prepared == {}
    assert table.usable(environment="shop", now=now, reaches_majority=False)


@pytest.mark.parametrize(
    ("generations", "proposals", "fresh_as_of", "missing", "held", "adopted"),
    [
        # The time of the peer's state is not adopted while its newer document is missing.
        ({"shop": 2}, {}, 50.0, ["shop"], True, 10.0),
        ({"shop": 1}, {"shop": 2}, 50.0, [], True, 50.0),
        # A newer state without the proposal shows that it was withdrawn.
        ({"shop": 1}, {}, 50.0, [], False, 50.0),
        ({"shop": 1}, {}, 10.5, [], True, 10.5),
        ({"shop": 1}, {}, -math.inf, [], True, 10.0),
    ],
)
def test_merging_the_state_of_a_peer(generations, proposals, fresh_as_of, missing, held, adopted):
    table = DocumentTable()
    _accept(table, 1)
    table.fresh_as_of = 10.0
    table.propose(value=_value(2), now=10.0)
    found = table.merge_peer_state(
        generations=generations, proposals=proposals, fresh_as_of=fresh_as_of
    )
    assert found == missing
    assert ("shop" in table.proposal_by_environment) is held
    assert table.fresh_as_of == adopted


def test_a_restarted_host_learns_of_an_undecided_proposal_from_peers():
    table = DocumentTable()
    _accept(table, 1)
    table.merge_peer_state(generations={"shop": 1}, proposals={"shop": 2}, fresh_as_of=10.0)
    assert table.prepared == {}
    assert not table.usable(environment="shop", now=20.0, reaches_majority=False)


_HOST_LISTS = st.builds(
    lambda as_of, hosts: {"as_of": as_of, "leaving_hosts": hosts, "leaving_addresses": []},
    st.sampled_from([1.0, 2.0, 3.0]),
    st.lists(st.sampled_from(["host-1", "host-2"]), unique=True).map(sorted),
)


@settings(derandomize=True, deadline=None)
@given(st.lists(_HOST_LISTS, min_size=1), st.randoms(use_true_random=False))
def test_host_lists_converge_in_any_order(host_lists, random):
    results = []
    for _ in range(2):
        host_list = LatestHostList()
        for other in host_lists:
            host_list.merge(other)
        results.append((host_list.latest, host_list.digest))
        random.shuffle(host_lists)
    assert results[0] == results[1]
