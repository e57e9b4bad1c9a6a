"""Tests that digests and differences depend on the meaning of a document, not on its spelling."""

import pytest

from filbertreach.document import (
    diff_documents,
    digest_document,
    parse_document,
    with_environment,
)

_TEXT = """\
[environment]
name = shop-trial
[pool counter]
slots = 2
connections = 12
[service fleet]
pool = counter
leaves =
    fleet-a 127.0.0.1:9001 minho/minho-1
    fleet-b 127.0.0.1:9002 ribatejo/ribatejo-1
[service orders]
pool = counter
leaves =
    orders-a 127.0.0.1:9003 minho/minho-1
[map one]
shards =
    fleet-0 fleet
[rank booking]
priority = 0
target_ms = 90
worth = 100
[application counter]
shards = fleet-* orders
ranks = booking
"""


def _parsed(text):
    return parse_document(text=text).unwrap()


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("slots = 2", "# why\nslots = 2   ; two"),
        ("worth = 100", "worth = 100.0"),
        ("fleet-* orders", "orders, fleet-*"),
        (
            "    fleet-a 127.0.0.1:9001 minho/minho-1\n"
            "    fleet-b 127.0.0.1:9002 ribatejo/ribatejo-1\n",
            "    fleet-b 127.0.0.1:9002 ribatejo/ribatejo-1\n"
            "    fleet-a 127.0.0.1:9001 minho/minho-1\n",
        ),
    ],
)
def test_same_meaning_has_the_same_digest_and_no_difference(old, new):
    assert old in _TEXT
    first, second = _parsed(_TEXT), _parsed(_TEXT.replace(old, new))
    assert digest_document(first) == digest_document(second)
    assert diff_documents(first, second) == []


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("worth = 100", "worth = 50", "changed rank booking: worth 100.0 -> 50.0"),
        ("slots = 2", "slots = 3", "changed pool counter: slots 2 -> 3"),
        (":9001", ":9009", "changed leaf fleet-a: address 127.0.0.1:9001 -> 127.0.0.1:9009"),
        ("fleet-0 fleet", "fleet-0 orders", "changed shard one/fleet-0: service fleet -> orders"),
        ("fleet-0 fleet", "fleet-0 fleet\n    fleet-1 fleet", "added shard one/fleet-1"),
        ("    fleet-b 127.0.0.1:9002 ribatejo/ribatejo-1\n", "", "removed leaf fleet-b: fleet 127"),
        ("[rank booking]", "[client azul]\n[rank booking]", "added client azul"),
        ("[map one]", "[policy]\nwait = complete\n[map one]", "wait deadline -> complete"),
        ("fleet-* orders", "fleet-*", "changed application counter: shard_patterns"),
    ],
)
def test_each_change_of_meaning_is_named_and_changes_the_digest(old, new, expected):
    first, second = _parsed(_TEXT), _parsed(_TEXT.replace(old, new))
    (difference,) = diff_documents(first, second)
    assert expected in str(difference)
    assert digest_document(first) != digest_document(second)


def test_text_adopted_by_production_keeps_its_digest():
    text = with_environment(text=_TEXT, name="shop-production", trial="shop-trial")
    production = _parsed(text)
    assert (production.name, production.trial) == ("shop-production", "shop-trial")
    assert digest_document(production) == digest_document(_parsed(_TEXT))
