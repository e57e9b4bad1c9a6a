"""Guards against documents that go back, and environments that serve without news."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from filbertreach.agent._documents import DocumentTable
from filbertreach.agent._host_list import HostListBoard

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


def _accept(book, generation, text=_TEXT):
    return book.accept(environment="shop", generation=generation, text=text)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(1, 9), min_size=1))
def test_the_highest_generation_stays_whatever_the_order(generations):
    book = DocumentTable()
    seen = []
    for generation in generations:
        _accept(book, generation)
        seen.append(book.generation("shop"))
    assert seen == sorted(seen)
    assert seen[-1] == max(generations)


def test_a_text_of_another_environment_is_neither_accepted_nor_prepared():
    book = DocumentTable()
    other = "[environment]\nname = other\n"
    assert not _accept(book, 1, other)
    book.propose(value=_value(1, other), now=0.0)
    book.propose(value=_value(1, other), now=1.0)
    assert book.prepared == {}
    assert list(book.proposal_by_environment) == ["shop"]


@pytest.mark.parametrize(
    ("proposed", "news_at", "now", "majority", "usable"),
    [
        (False, 0.0, 100.0, False, True),
        (True, 0.0, 4.9, False, True),
        (True, 0.0, 5.1, False, False),
        (True, 0.0, 5.1, True, True),
        (True, -math.inf, 0.0, False, False),
    ],
)
def test_an_undecided_proposal_needs_news_or_a_majority(proposed, news_at, now, majority, usable):
    book = DocumentTable()
    _accept(book, 1)
    book.news_at = news_at
    if proposed:
        book.propose(value=_value(2), now=0.0)
        assert book.prepared == {"shop": _digest_of(_TEXT)}
    assert book.usable(environment="shop", now=now, reaches_majority=majority) is usable
    _accept(book, 2)
    assert book.prepared == {}
    assert book.usable(environment="shop", now=now, reaches_majority=False)


@pytest.mark.parametrize(
    ("generations", "proposals", "news_at", "lacking", "held", "adopted"),
    [
        # The peer's news do not count while its newer document is missing here.
        ({"shop": 2}, {}, 50.0, ["shop"], True, 10.0),
        ({"shop": 1}, {"shop": 2}, 50.0, [], True, 50.0),
        # Newer news without the proposal show that it was withdrawn.
        ({"shop": 1}, {}, 50.0, [], False, 50.0),
        ({"shop": 1}, {}, 10.5, [], True, 10.5),
        ({"shop": 1}, {}, -math.inf, [], True, 10.0),
    ],
)
def test_peers_news(generations, proposals, news_at, lacking, held, adopted):
    book = DocumentTable()
    _accept(book, 1)
    book.news_at = 10.0
    book.propose(value=_value(2), now=10.0)
    found = book.hear(generations=generations, proposals=proposals, news_at=news_at)
    assert found == lacking
    assert ("shop" in book.proposal_by_environment) is held
    assert book.news_at == adopted


def test_a_restarted_host_learns_of_an_undecided_proposal_from_peers():
    book = DocumentTable()
    _accept(book, 1)
    book.hear(generations={"shop": 1}, proposals={"shop": 2}, news_at=10.0)
    assert book.prepared == {}
    assert not book.usable(environment="shop", now=20.0, reaches_majority=False)


_NEWS = st.builds(
    lambda as_of, hosts: {"as_of": as_of, "leaving_hosts": hosts, "leaving_addresses": []},
    st.sampled_from([1.0, 2.0, 3.0]),
    st.lists(st.sampled_from(["host-1", "host-2"]), unique=True).map(sorted),
)


@settings(derandomize=True, deadline=None)
@given(st.lists(_NEWS, min_size=1), st.randoms(use_true_random=False))
def test_host_list_news_converge_in_any_order(news, random):
    boards = []
    for _ in range(2):
        board = HostListBoard()
        for reading in news:
            board.merge(reading)
        boards.append((board.news, board.digest))
        random.shuffle(news)
    assert boards[0] == boards[1]
