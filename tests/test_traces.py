"""Guards against hops without a span and against spans that do not reach the collector."""

import http.server
import json
import threading

from filbertreach_standins.fleet import Fleet, FleetOptions

_TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
_HEADERS = {"traceparent": f"00-{_TRACE_ID}-b7ad6b7169203331-01"}


def _run_query_with(observability):
    options = FleetOptions(services=2, dispatchers=1, settings={"observability": observability})
    with Fleet(options=options) as fleet:
        status, answer = fleet.entries[0].query(fleet.query_body("traced"), _HEADERS)
    # All spans are exported by the time the daemons have stopped.
    assert (status, answer["coverage"]["complete"]) == (200, True)


def test_each_hop_has_a_span_in_the_trace_of_the_caller(tmp_path):
    trace_file = tmp_path / "spans.jsonl"
    _run_query_with({"trace_file": str(trace_file), "trace_share": "0"})
    spans = [json.loads(line) for line in trace_file.read_text().splitlines()]
    assert {span["context"]["trace_id"] for span in spans} == {f"0x{_TRACE_ID}"}
    name_by_id = {span["context"]["span_id"]: span["name"] for span in spans}
    hops = sorted((span["name"], name_by_id.get(span["parent_id"])) for span in spans)
    assert hops == [("dispatch", "entry")] * 2 + [("entry", None)] + [("leaf", "dispatch")] * 2


def test_spans_are_exported_by_otlp():
    received = []

    class Collector(http.server.BaseHTTPRequestHandler):
        def do_POST(self):
            body = self.rfile.read(int(self.headers["content-length"]))
            received.append((self.path, self.headers["content-type"], len(body)))
            self.send_response(200)
            self.end_headers()

        def log_message(self, *arguments):
            pass

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Collector)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    try:
        address = f"http://127.0.0.1:{server.server_port}/v1/traces"
        _run_query_with({"otlp_address": address, "trace_share": "0"})
    finally:
        server.shutdown()
        server.server_close()
    assert {(path, kind) for path, kind, _ in received} == {
        ("/v1/traces", "application/x-protobuf")
    }
    # One export of the entry process and one of the dispatch process.
    assert len(received) >= 2
