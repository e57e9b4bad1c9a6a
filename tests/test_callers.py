"""Guards the HTTP interface for callers against malformed requests and callers that disconnect."""

import concurrent.futures
import json
import socket
import time

import pytest

from filbertreach_standins.daemon_process import DaemonProcess
from filbertreach_standins.fleet import Fleet, FleetOptions
from filbertreach_standins.ports import free_address

_WAIT_SECONDS = 30
_SLOW_SERVICE_MS = 20_000


@pytest.fixture(scope="module")
def fleet():
    with Fleet(options=FleetOptions(services=2, dispatchers=1)) as running:
        yield running


def _send_request(fleet, *, headers=(), body=None, content_length=None):
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


def _read_response(connection):
    data = b""
    with connection:
        while chunk := connection.recv(65536):
            data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    return int(head.split()[1]), body


_QUERY_BODY = {
    "environment": "local",
    "application": "counter",
    "client": "hotel-azul",
    "rank": "booking",
    "deadline_ms": 2000,
    "query": {},
}
_JSON_HEADER = "content-type: application/json"
_TRACE_HEADER = "traceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


@pytest.mark.parametrize(
    ("headers", "status", "detail"),
    [
        ([_JSON_HEADER], 200, ""),
        ([_JSON_HEADER, _TRACE_HEADER], 200, ""),
        ([_JSON_HEADER, "traceparent: nonsense"], 200, ""),
        ([_JSON_HEADER, _TRACE_HEADER, _TRACE_HEADER], 400, "traceparent is sent twice"),
        ([_JSON_HEADER, _JSON_HEADER], 400, "content-type is sent twice"),
        ([_JSON_HEADER, "authorization: Bearer a", "authorization: Bearer b"], 400, "sent twice"),
        (["content-type: text/plain"], 415, "application/json"),
    ],
)
def test_request_headers(fleet, headers, status, detail):
    body = fleet.query_body(f"headers-{len(headers)}-{status}-{time.monotonic_ns()}")
    actual_status, content = _read_response(_send_request(fleet, headers=headers, body=body))
    assert actual_status == status
    assert detail in json.loads(content).get("detail", "")


@pytest.mark.parametrize(
    ("method", "path", "status"), [("GET", "/v1/query", 405), ("POST", "/x", 404)]
)
def test_unknown_paths_and_methods(fleet, method, path, status):
    actual_status, content = fleet.entries[0].request(method, path)
    assert actual_status == status
    assert json.loads(content)["type"].endswith("/bad-request")


def test_a_request_id_in_use_is_refused(fleet):
    assert fleet.entries[0].query(fleet.query_body("twice"))[0] == 200
    status, problem = fleet.entries[0].query(fleet.query_body("twice"))
    assert (status, problem["type"].rsplit("/", 1)[1]) == (409, "request-id-in-use")


def test_an_incomplete_request_does_not_affect_other_callers(fleet):
    body = fleet.query_body("half")
    _send_request(fleet, headers=[_JSON_HEADER], body=body, content_length=10_000).close()
    assert fleet.entries[0].query(fleet.query_body("after-half"))[0] == 200


def test_a_disconnected_caller_frees_the_slots_of_the_leaves(fleet):
    body = fleet.query_body("gone", deadline_ms=30_000, query={"service_ms": _SLOW_SERVICE_MS})
    connection = _send_request(fleet, headers=[_JSON_HEADER], body=body)
    leaves = list(fleet.leaves_by_id.values())

    def in_flight():
        return sum(leaf.counters(totals=True)["in_flight"] for leaf in leaves)

    _wait_until(lambda: in_flight() >= 2)
    connection.close()
    # The calls must be cancelled: their slots are free long before the service time is over.
    started = time.monotonic()
    _wait_until(lambda: in_flight() == 0)
    assert time.monotonic() - started < _SLOW_SERVICE_MS / 1000 / 2


def test_concurrent_queries_get_only_their_own_rows(fleet):
    def gets_own_rows(number):
        shard = f"fleet-{number % 2}"
        status, answer = fleet.entries[0].query(
            fleet.query_body(f"own-{number}", shards=[shard], rank="search")
        )
        return status == 200 and {row["shard"] for row in answer["rows"]} == {shard}

    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        assert all(pool.map(gets_own_rows, range(200)))


def _wait_until(condition):
    deadline = time.monotonic() + _WAIT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, "the condition was not met before the time-out"
        time.sleep(0.02)


def test_an_entry_process_without_a_document_refuses_queries_as_not_run(tmp_path):
    entry = DaemonProcess(
        program="entry", name="alone", folder=tmp_path, settings={"view": {"agent": free_address()}}
    )
    entry.start()
    try:
        entry.wait_listening()
        assert entry.get("/readyz")[0] == 503
        body = {**_QUERY_BODY, "request_id": "early"}
        status, problem = entry.query(body)
    finally:
        entry.stop()
    assert (status, problem["type"].rsplit("/", 1)[1]) == (503, "refused-not-run")
