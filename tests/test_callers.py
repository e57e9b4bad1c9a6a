"""Guards the callers' interface against raw HTTP input and callers that go away."""

import concurrent.futures
import json
import socket
import time

import pytest

from filbertreach_standins.fleet import DaemonProcess, Fleet, FleetOptions, free_address

_WAIT_SECONDS = 30
_SLOW_MS = 20_000


@pytest.fixture(scope="module")
def fleet():
    with Fleet(options=FleetOptions(services=2, dispatchers=1)) as running:
        yield running


def _send(fleet, *, headers=(), body=None, content_length=None):
    """Sends one raw request and returns the open connection."""
    host, port = fleet.entries[0].http.split(":")
    content = json.dumps(body).encode()
    lines = [
        "POST /v1/query HTTP/1.1",
        "host: test",
        "connection: close",
        f"content-length: {content_length or len(content)}",
        *headers,
    ]
    connection = socket.create_connection((host, int(port)), timeout=_WAIT_SECONDS)
    connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + content)
    return connection


def _read(connection):
    data = b""
    with connection:
        while chunk := connection.recv(65536):
            data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    return int(head.split()[1]), body


_QUERY = {
    "environment": "local",
    "application": "counter",
    "client": "hotel-azul",
    "rank": "booking",
    "deadline_ms": 2000,
    "query": {},
}
_JSON = "content-type: application/json"
_TRACE = "traceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


@pytest.mark.parametrize(
    ("headers", "status", "detail"),
    [
        ([_JSON], 200, ""),
        ([_JSON, _TRACE], 200, ""),
        ([_JSON, "traceparent: nonsense"], 200, ""),
        ([_JSON, _TRACE, _TRACE], 400, "traceparent is sent twice"),
        ([_JSON, _JSON], 400, "content-type is sent twice"),
        ([_JSON, "authorization: Bearer a", "authorization: Bearer b"], 400, "sent twice"),
        (["content-type: text/plain"], 415, "application/json"),
    ],
)
def test_headers(fleet, headers, status, detail):
    body = fleet.query_body(f"headers-{len(headers)}-{status}-{time.monotonic_ns()}")
    got, content = _read(_send(fleet, headers=headers, body=body))
    assert got == status
    assert detail in json.loads(content).get("detail", "")


@pytest.mark.parametrize(
    ("method", "path", "status"), [("GET", "/v1/query", 405), ("POST", "/x", 404)]
)
def test_unknown_paths_and_methods(fleet, method, path, status):
    got, content = fleet.entries[0].request(method, path)
    assert got == status
    assert json.loads(content)["type"].endswith("/bad-request")


def test_a_request_id_in_use_is_refused(fleet):
    assert fleet.entries[0].query(fleet.query_body("twice"))[0] == 200
    status, problem = fleet.entries[0].query(fleet.query_body("twice"))
    assert (status, problem["type"].rsplit("/", 1)[1]) == (409, "request-id-in-use")


def test_a_caller_that_stops_half_way_loses_nothing_of_others(fleet):
    body = fleet.query_body("half")
    _send(fleet, headers=[_JSON], body=body, content_length=10_000).close()
    assert fleet.entries[0].query(fleet.query_body("after-half"))[0] == 200


def test_a_caller_that_goes_away_frees_the_slots_of_the_leaves(fleet):
    body = fleet.query_body("gone", deadline_ms=30_000, query={"service_ms": _SLOW_MS})
    connection = _send(fleet, headers=[_JSON], body=body)
    leaves = list(fleet.leaves_by_id.values())

    def in_flight():
        return sum(leaf.counters(totals=True)["in_flight"] for leaf in leaves)

    _until(lambda: in_flight() >= 2)
    connection.close()
    # The slots must be free long before the calls would have ended by themselves.
    started = time.monotonic()
    _until(lambda: in_flight() == 0)
    assert time.monotonic() - started < _SLOW_MS / 1000 / 2


def test_a_query_id_of_one_caller_never_brings_the_rows_of_another(fleet):
    def ask(number):
        shard = f"fleet-{number % 2}"
        status, answer = fleet.entries[0].query(
            fleet.query_body(f"own-{number}", shards=[shard], rank="search")
        )
        return status == 200 and {row["shard"] for row in answer["rows"]} == {shard}

    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        assert all(pool.map(ask, range(200)))


def _until(condition):
    until = time.monotonic() + _WAIT_SECONDS
    while not condition():
        assert time.monotonic() < until, "the condition did not come true"
        time.sleep(0.02)


def test_an_entry_process_without_a_document_refuses_truthfully(tmp_path):
    entry = DaemonProcess(
        program="entry", name="alone", folder=tmp_path, settings={"view": {"agent": free_address()}}
    )
    entry.start()
    try:
        entry.wait_listening()
        assert entry.get("/readyz")[0] == 503
        body = {**_QUERY, "request_id": "early"}
        status, problem = entry.query(body)
    finally:
        entry.stop()
    assert (status, problem["type"].rsplit("/", 1)[1]) == (503, "refused-not-run")
