"""Guards against stand-ins that deviate from the protocols in docs/platform-contract.md.

Each case is a sequence of exchanges over HTTP on one connection.
"""

import http.client
import json
import pathlib
from typing import Any, NamedTuple

import pytest

from filbertreach_standins import ControlError, StandInProcess

CALL_HEADERS = {"x-call-id": "c1", "x-shard": "s-0", "x-index-version": "41", "x-rank": "booking"}
LEAF_ARGUMENTS = ["--shards=s-0", "--versions=41,42", "--service-ms=1", "--connect-cost-ms=1"]
HOST_FIELDS = {"address": "10.0.0.1", "region": "r", "data_centre": "r-1", "kind": "entry"}
HOSTS = [{"host": "h1", "state": "live", **HOST_FIELDS}]
LOST = "connection lost"


class Exchange(NamedTuple):
    """A request and the expected parts of the response.

    {revision} and {lease} stand for the values last received, {start} for the revision at the start
    of the test.
    """

    method: str
    path: str
    status: int | str
    body: Any = None
    contains: dict = {}
    headers: dict = {}
    answer_headers: dict = {}


def put(path, status, contains=None, **body):
    return Exchange("PUT", f"/v1/keys/{path}", status, body, contains or {})


def get(path, status=200, **contains):
    return Exchange("GET", path, status, contains=contains)


def delete(path, status):
    return Exchange("DELETE", path, status)


def faults(**values):
    return Exchange("PUT", "/admin/faults", 200, values)


def grant(ttl_seconds):
    return Exchange("POST", "/v1/leases", 200, {"ttl_seconds": ttl_seconds})


def search(status=200, query=None, contains=None, not_started=None, **headers):
    changed = {f"x-{name.replace('_', '-')}": value for name, value in headers.items()}
    answer_headers = {} if not_started is None else {"x-not-started": not_started}
    return Exchange(
        "POST",
        "/v1/search",
        status,
        query or {},
        contains or {},
        CALL_HEADERS | changed,
        answer_headers,
    )


def refused(status, **headers):
    return search(status, not_started="true", **headers)


def watch(after, wait_seconds, **contains):
    path = f"/v1/watch?prefix=a/&after={after}&wait_seconds={wait_seconds}"
    return Exchange("GET", path, 200, contains=contains)


ROW = {"id": "s-0-0", "shard": "s-0", "version": 41, "score": 0.627}

KEY_VALUE_CASES = {
    "create, read, replace, delete": [
        put("a/b%20ü", 200, value="1", expected_revision=0, lease=None),
        get("/v1/keys/a/b%20%C3%BC", key="a/b ü", value="1", lease=None, revision="{revision}"),
        put("a/b%20ü", 200, value="2", expected_revision="{revision}"),
        delete("/v1/keys/a/b%20ü?expected_revision={revision}", 200),
        get("/v1/keys/a/b%20ü", 404),
        delete("/v1/keys/a/b%20ü", 404),
    ],
    "compare-and-swap conflicts show the revision": [
        put("a", 200, value="1"),
        put("a", 409, {"revision": "{revision}"}, value="2", expected_revision=0),
        put("b", 409, {"revision": 0}, value="2", expected_revision=7),
        delete("/v1/keys/a?expected_revision=0", 409),
        get("/v1/keys/a", value="1"),
    ],
    "values of 1 MB and no more": [
        put("a", 200, value="x" * 1_000_000),
        put("a", 413, value="ü" * 500_001),
    ],
    "list by prefix, and watch from there": [
        put("a/1", 200, value="1"),
        put("b", 200, value="1"),
        get("/v1/keys?prefix=a/", items=[{"key": "a/1"}], revision="{revision}"),
        watch("{revision}", 0, events=[]),
        put("a/2", 200, value="2"),
        put("a/2", 200, value="3"),
        watch("{start}", 5, events=[{"key": "a/1"}, {"key": "a/2", "value": "3", "type": "put"}]),
    ],
    "an expired lease deletes its keys and can't be used": [
        grant(0.15),
        put("a/1", 200, value="1", lease="{lease}"),
        watch("{revision}", 5, events=[{"key": "a/1", "type": "delete", "value": None}]),
        Exchange("POST", "/v1/leases/{lease}/renew", 410),
        put("a/1", 410, value="1", lease="{lease}"),
    ],
    "a renewed lease lasts, a revoked one does not": [
        grant(30),
        put("a/1", 200, value="1", lease="{lease}"),
        Exchange("POST", "/v1/leases/{lease}/renew", 200),
        get("/v1/keys/a/1", lease="{lease}"),
        delete("/v1/leases/{lease}", 200),
        get("/v1/keys/a/1", 404),
        delete("/v1/leases/{lease}", 410),
    ],
    "a key written without its lease outlives it": [
        grant(30),
        put("a/1", 200, value="1", lease="{lease}"),
        put("a/1", 200, value="2"),
        delete("/v1/leases/{lease}", 200),
        get("/v1/keys/a/1", value="2"),
    ],
    "rate limits refuse without effect": [
        faults(writes_per_second=1, reads_per_second=2),
        put("a", 200, value="1"),
        put("a", 429, value="2")._replace(answer_headers={"retry-after": "1"}),
        get("/v1/keys/a", value="1"),
        get("/v1/keys/a"),
        get("/v1/keys/a", 429),
    ],
    "calls are counted, a waiting watch once": [
        watch("{start}", 0.1),
        put("a", 200, value="1"),
        get("/admin/counters", calls={"watch": 1, "put": 1}, calls_total=2, reads=1, writes=1),
    ],
    "malformed calls": [
        put("a", 400, value=1),
        Exchange("POST", "/v1/leases", 400, {"ttl_seconds": 0}),
        Exchange("GET", "/v1/watch?prefix=a", 400),
        Exchange("POST", "/v1/keys/a", 404),
    ],
    "outage": [
        faults(outage=True),
        put("a", 503, value="1"),
        faults(outage=None),
        get("/v1/keys/a", 404),
    ],
    "an answer is lost after the effect": [
        faults(lose_answers={"next": 1}),
        put("a", LOST, value="1"),
        get("/v1/keys/a", value="1"),
    ],
    "a request is lost before the effect": [
        faults(lose_requests={"next": 1}),
        put("a", LOST, value="1"),
        get("/v1/keys/a", 404),
    ],
    "stale reads": [
        put("a", 200, value="1"),
        faults(stale_reads=True),
        put("a", 200, value="2"),
        get("/v1/keys/a", value="1"),
        faults(stale_reads=None),
        get("/v1/keys/a", value="2"),
    ],
    "stalled watches": [
        faults(stalled_watches=True),
        put("a/1", 200, value="1"),
        watch("{start}", 0.1, events=[], revision="{start}"),
    ],
    "leases that don't expire, then all at once": [
        faults(lease_expiry_stopped=True),
        grant(0.01),
        put("a/1", 200, value="1", lease="{lease}"),
        watch("{revision}", 0.2, events=[]),
        faults(expire_all_leases=True),
        get("/v1/keys/a/1", 404),
    ],
}

LEAF_CASES = {
    "answer": [
        search(
            query={"rows": 1},
            contains={"call_id": "c1", "shard": "s-0", "version": 41, "rows": [ROW]}
            | {"row_count": 1},
        )._replace(answer_headers={"x-leaf-state": "ready", "x-load": "0,0"}),
        search(index_version="42", contains={"version": 42, "row_count": 4}),
    ],
    "status": [
        get("/v1/health", state="ready"),
        get("/v1/load", in_flight=0, queued=0, slots=2),
        get("/v1/versions", versions=[41, 42]),
    ],
    "refusals prove that the call did not start": [
        refused(409, index_version="40"),
        refused(409, shard="s-9"),
        refused(504, deadline_ms="0"),
        faults(draining=True),
        refused(503)._replace(answer_headers={"x-leaf-state": "draining"}),
        faults(draining=None, versions=[43]),
        refused(409),
        search(index_version="43"),
        faults(sheds=True),
        refused(503, index_version="43"),
        get("/admin/counters", started=1, finished=1, by_call_id={"c1": {"started": 1}}),
    ],
    "a deadline stops a call that runs": [
        search(504, query={"service_ms": 10_000}, deadline_ms="30"),
        get("/admin/counters", started=1, finished=0, cancelled=1, in_flight=0),
    ],
    "writes and tags are recorded": [
        search(query={"write": "w1"}),
        search(query={"tag": "t1"}),
        get("/admin/counters", by_query={"w1": {"finished": 1}, "t1": {"finished": 1}}),
        get("/admin/executions", contains=[{"write": "w1", "rank": "booking"}, {"tag": "t1"}]),
    ],
    "malformed calls": [
        search(400, index_version="x"),
        delete("/v1/calls/unknown", 404),
    ],
    "fails fast, sheds without proof": [
        faults(fails_fast=True),
        search(500, not_started=None),
        faults(fails_fast=None, sheds_unmarked=True),
        search(503, not_started=None),
    ],
    "corrupted answers": [
        faults(garbage_body={"next": 1}),
        search(contains=None)._replace(contains={"": "garbage"}),
        faults(wrong_call_id={"next": 1}),
        search(contains={"call_id": "not-c1"}),
        faults(wrong_version={"next": 1}),
        search(contains={"version": 42}),
        faults(wrong_shard={"next": 1}),
        search(contains={"shard": "not-s-0"}),
        faults(wrong_row_count={"next": 1}),
        search(contains={"row_count": 5}),
        faults(duplicate_rows={"next": 1}),
        search(query={"rows": 1}, contains={"rows": [ROW, ROW], "row_count": 2}),
        faults(crossed_answer={"next": 1}),
        search(call_id="c2", contains={"call_id": "c1"}),
        search(call_id="c2", contains={"call_id": "c2"}),
    ],
    "truncated body": [faults(truncated_body={"next": 1}), search(LOST)],
    "a reset before reading executes nothing": [
        faults(reset_before_reading={"next": 1}),
        search(LOST),
        get("/admin/counters", started=0),
    ],
    "a reset after executing": [
        faults(reset_after_executing={"next": 1}),
        search(LOST),
        get("/admin/counters", started=1, finished=1),
    ],
    "silent connections discard data, new ones work": [
        search(),
        faults(silent_connections=True),
        search(LOST),
        search(),
        get("/admin/counters", started=2, connections={"opened": 2}),
    ],
    "a leaf that is down accepts nothing": [
        search(),
        faults(down=True),
        search(LOST),
        faults(down=None),
        search(),
    ],
    "a stuck leaf never answers": [
        faults(stuck=True, stuck_reports_idle=True),
        search(LOST, deadline_ms="10"),
        get("/admin/counters", started=0, received=1),
    ],
    "faults override reports": [
        faults(load_says={"in_flight": 7, "queued": 1}, health_says="starting"),
        get("/v1/load", in_flight=7, queued=1),
        get("/v1/health", state="starting"),
        search()._replace(answer_headers={"x-load": "7,1", "x-leaf-state": "starting"}),
        faults(health_answers="500"),
        get("/v1/health", 500),
    ],
    "reports lag": [
        faults(report_lag_seconds=60, draining="announce"),
        get("/v1/health", state="ready"),
        faults(report_lag_seconds=None),
        get("/v1/health", state="draining"),
        search(),
    ],
}

HOST_LIST_CASES = {
    "hosts": [
        Exchange("PUT", "/admin/hosts", 200, {"hosts": HOSTS}),
        get("/v1/hosts", hosts=HOSTS),
    ],
    "lag shows the previous list": [
        faults(lag_seconds=60),
        Exchange("PUT", "/admin/hosts", 200, {"hosts": HOSTS}),
        get("/v1/hosts", hosts=[]),
    ],
    "outage": [faults(outage=True), get("/v1/hosts", 503)],
    "malformed hosts": [Exchange("PUT", "/admin/hosts", 400, {"hosts": [{"host": "h"}]})],
}

CASES = [
    pytest.param(module, exchanges, id=f"{module}: {name}")
    for module, cases in (
        ("key_value", KEY_VALUE_CASES),
        ("leaf", LEAF_CASES),
        ("host_list", HOST_LIST_CASES),
    )
    for name, exchanges in cases.items()
]


@pytest.fixture(scope="module")
def controls():
    arguments = {"leaf": LEAF_ARGUMENTS}
    processes = {
        module: StandInProcess(module=module, arguments=arguments.get(module))
        for module in ("key_value", "leaf", "host_list")
    }
    with processes["key_value"], processes["leaf"], processes["host_list"]:
        yield {module: process.control for module, process in processes.items()}


def assert_contains(actual, expected):
    """Compares the expected fields of nested objects and all items of lists."""
    if isinstance(expected, dict):
        for name, value in expected.items():
            assert_contains(actual[name], value)
    elif isinstance(expected, list):
        assert len(actual) == len(expected)
        for item, value in zip(actual, expected, strict=True):
            assert_contains(item, value)
    else:
        assert actual == expected


def substitute(value, last_values):
    """Replaces placeholders by the values last received."""
    if isinstance(value, dict):
        return {name: substitute(part, last_values) for name, part in value.items()}
    if isinstance(value, list):
        return [substitute(part, last_values) for part in value]
    if value in ("{revision}", "{start}"):
        return last_values[value[1:-1]]
    return value.format(**last_values) if isinstance(value, str) and "{" in value else value


def run_exchange(connection, step, last_values):
    path = step.path.format(**last_values).replace("ü", "%C3%BC")
    body = None if step.body is None else json.dumps(substitute(step.body, last_values))
    try:
        connection.request(step.method, path, body, step.headers)
        response = connection.getresponse()
        content = response.read()
    except (http.client.HTTPException, OSError):
        connection.close()
        assert step.status == LOST
        return
    assert response.status == step.status, content[:300]
    for name, value in step.answer_headers.items():
        assert response.headers[name] == value
    if step.status == 503 and not step.answer_headers:
        assert response.headers["x-not-started"] is None
    if "" in step.contains:
        with pytest.raises(ValueError):
            json.loads(content)
        return
    answer = json.loads(content)
    assert_contains(answer, substitute(step.contains.get("contains", step.contains), last_values))
    if isinstance(answer, dict):
        last_values.update(
            {name: answer[name] for name in ("revision", "lease") if answer.get(name)}
        )


@pytest.mark.parametrize(("module", "exchanges"), CASES)
def test_contract(controls, module, exchanges):
    control = controls[module]
    control.reset()
    host, port = control.address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    start = control.counters().get("revision", 0)
    last_values = {"revision": 0, "lease": None, "start": start}
    for step in exchanges:
        may_hang = step.status == LOST and module == "leaf"
        connection.timeout = 1 if may_hang else 10
        if connection.sock is not None:
            connection.sock.settimeout(connection.timeout)
        if step.path.startswith("/admin/"):
            # Administration uses separate connections, which faults don't affect.
            administration = http.client.HTTPConnection(host, int(port), timeout=10)
            run_exchange(administration, step, last_values)
            administration.close()
        else:
            run_exchange(connection, step, last_values)
    connection.close()


@pytest.mark.parametrize(
    "changes",
    [{"unknown": 1}, {"stuck": 2}, {"stuck": {"next": -1}}, {"draining": 1}, {"versions": "4"}],
)
def test_invalid_faults_are_refused_and_change_nothing(controls, changes):
    control = controls["leaf"]
    control.reset()
    with pytest.raises(ControlError):
        control.set_faults(slow_factor=3, **changes)
    assert control.set_faults() == {}


@pytest.mark.parametrize("module", ["leaf", "key_value", "host_list"])
def test_every_fault_is_documented(controls, module):
    text = (pathlib.Path(__file__).parents[2] / "docs/platform-contract.md").read_text()
    for name, fault in controls[module].request("GET", "/admin/faults").items():
        assert f"| `{name}` | {json.dumps(fault['default'])} | {fault['meaning']} |" in text
