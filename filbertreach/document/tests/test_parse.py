"""Tests that documents with inconsistent parts are rejected."""

import pytest
from returns.result import Success

from filbertreach.document import parse_document

GOOD = """\
[environment]
name = shop
[pool counter]
slots = 2
connections = 12
[service fleet]
pool = counter
leaves =
    fleet-a 127.0.0.1:9001 minho/minho-1
    fleet-b 127.0.0.1:9002 ribatejo/ribatejo-1
[map one]
shards =
    fleet-0 fleet
[snapshot 41]
map = one
state = serving
[rank booking]
priority = 0
target_ms = 90
kept_share = 0.6
[application counter]
shards = fleet-*
ranks = booking
"""


def test_good_document():
    environment = parse_document(text=GOOD, generation=3).unwrap()
    assert environment.generation == 3
    assert environment.maps_by_name == {"one": {"fleet-0": "fleet"}}
    assert list(environment.services_by_name["fleet"].leaf_by_id) == ["fleet-a", "fleet-b"]
    assert environment.applications_by_name["counter"].may_query_shard("fleet-0")
    assert not environment.applications_by_name["counter"].may_query_shard("orders")


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("pool = counter", "pool = bar", "line 7: [service fleet] pool = 'bar': unknown pool"),
        ("fleet-b 127", "fleet-a 127", "duplicate leaf id fleet-a"),
        ("minho/minho-1", "minho", "allowed: id ip:port region/data-centre"),
        ("127.0.0.1:", "127.0.0.1:9", "allowed: id ip:port region/data-centre"),
        ("127.0.0.1:", "127.0.0.256:", "allowed: id ip:port region/data-centre"),
        ("fleet-0 fleet\n", "fleet-0 boats\n", "unknown service; allowed: fleet"),
        ("map = one", "map = two", "line 15: [snapshot 41] map = 'two': unknown map"),
        ("ranks = booking", "ranks = bulk", "unknown rank"),
        ("connections = 12", "connections = 1", "must be at least the number of slots, 2"),
        ("[application", "[rank b]\npriority=1\ntarget_ms=9\nkept_share=0.6\n[application", "1.2"),
        ("GOOD", "", ""),
    ],
)
def test_problem_names_the_line(old, new, expected):
    if old == "GOOD":
        result = parse_document(text=GOOD + "#" * 1_000_000)
        expected = "bytes; the platform's limit is 1,000,000"
    else:
        result = parse_document(text=GOOD.replace(old, new, 1))
    assert not isinstance(result, Success)
    assert expected in str(result.failure())
