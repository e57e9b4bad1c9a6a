"""Guards against wrong or unmarked partial answers and unclear errors from real processes."""

import json

import pytest

from filbertreach_standins.fleet import Fleet, FleetOptions


@pytest.fixture(scope="module")
def fleet():
    # Waits for all shards: under the default policy an answer may lack shards that take longer than
    # 0.95 of the target of 90 ms, as the first query does on a busy machine.
    with Fleet(options=FleetOptions(services=6, versions=(40, 41), wait="complete")) as running:
        yield running


def test_a_complete_answer_from_the_newest_snapshot(fleet):
    status, answer = fleet.entries[0].query(fleet.query_body("whole"))
    assert status == 200
    assert answer["request_id"] == "whole"
    assert answer["snapshot_version"] == 41
    assert answer["coverage"] == {"included": fleet.shards(), "lacking": [], "complete": True}
    assert {row["version"] for row in answer["rows"]} == {41}
    assert len(answer["rows"]) == 12
    assert answer["took_ms"] > 0


@pytest.mark.parametrize(
    ("changes", "status", "problem_type", "detail"),
    [
        ({"environment": "moon"}, 404, "unknown-environment", "known: local"),
        ({"application": "moon"}, 404, "unknown-application", "no application moon"),
        ({"rank": "moon"}, 400, "bad-request", "unknown rank moon; allowed: booking"),
        ({"application": "workshop-7"}, 403, "forbidden", "may not use rank booking"),
        (
            {"application": "workshop-7", "rank": "search", "shards": ["fleet-1"]},
            403,
            "forbidden",
            "may not query shard fleet-1",
        ),
        ({"shards": ["fleet-99"]}, 400, "bad-request", "no shard fleet-99"),
        ({"shards": []}, 400, "bad-request", "shards is empty"),
        ({"shards": ["fleet-1", "fleet-1"]}, 400, "bad-request", "named twice"),
        ({"deadline_ms": -5}, 400, "bad-request", "deadline_ms"),
        ({"deadline_ms": 1e12}, 400, "bad-request", "allowed: up to 60000"),
        ({"deadline_ms": "soon"}, 400, "bad-request", "deadline_ms"),
        ({"request_id": ""}, 400, "bad-request", "request_id"),
        ({"query": None}, 400, "bad-request", "query"),
        # These could be read, but not passed on to a dispatch process.
        ({"query": {"n": 2**64}}, 400, "bad-request", "64 bits"),
        ({"query": json.loads('{"a":' * 300 + "1" + "}" * 300)}, 400, "bad-request", "nested"),
        ({"merge": {"kind": "top"}}, 400, "bad-request", "needs order_by"),
        ({"merge": {"kind": "zip"}}, 400, "bad-request", "kind"),
        ({"merge": {"kind": "concatenate", "limit": 10**9}}, 400, "bad-request", "limit"),
    ],
)
def test_an_invalid_request_gets_a_specific_problem(fleet, changes, status, problem_type, detail):
    actual_status, problem = fleet.entries[0].query({**fleet.query_body("bad"), **changes})
    assert (actual_status, problem["type"].rsplit("/", 1)[1]) == (status, problem_type)
    assert detail in problem["detail"]
    assert set(problem) >= {"request_id", "snapshot_version", "coverage", "took_ms", "title"}


@pytest.mark.parametrize(
    ("content", "status", "detail"),
    [
        (b"{", 400, "not a query"),
        (b"\xff\xfe", 400, "not a query"),
        (b"[]", 400, "not a query"),
        (b'{"deadline_ms": NaN}', 400, "not a query"),
        (b"{" + b" " * 300_000 + b"}", 413, "over 262144 bytes"),
    ],
)
def test_an_invalid_body_gets_a_specific_problem(fleet, content, status, detail):
    headers = {"content-type": "application/json"}
    actual_status, body = fleet.entries[0].request("POST", "/v1/query", content, headers)
    assert actual_status == status
    assert detail in json.loads(body)["detail"]
