"""Tests gateway processes in front of a failing deployment, as seen by callers and leaves."""

import contextlib
import http.client
import json
import pathlib
import signal
import threading
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Iterator

import pytest

from filbertreach_standins.gateways import (
    GRACE_SECONDS,
    Deployment,
    DeploymentOptions,
    GatewayProcess,
    Response,
    configuration_json,
)

_FIRST_SHARD = "shard-0"
_SMALLEST_HOST_BYTES = 200_000_000
"""Memory of a process on the smallest hosts of the deployments."""
_BOUND_SECONDS = 5.0
"""Time within which configuration and draining must take effect."""


def _wait_until(condition: Callable[[], bool], seconds: float = 30.0) -> float:
    started_at = time.monotonic()
    while not condition():
        assert time.monotonic() - started_at < seconds, "the condition did not become true in time"
        time.sleep(0.02)
    return time.monotonic() - started_at


@pytest.fixture
def deployment(tmp_path: pathlib.Path) -> Iterator[Deployment]:
    options = DeploymentOptions(bound_seconds=_BOUND_SECONDS)
    with Deployment(options=options, folder=tmp_path) as running:
        yield running


@contextlib.contextmanager
def _load(gateway: GatewayProcess, *, callers: int) -> Iterator[list[Response]]:
    """Runs callers that reuse their connections until the gateway closes them."""
    responses: list[Response] = []
    stopped = threading.Event()

    def call(number: int) -> None:
        connection = gateway.connect()
        count = 0
        while not stopped.is_set():
            response = gateway.request("/v1/x", f"caller-{number}-{count}", connection=connection)
            responses.append(response)
            count += 1
            if response.status == 0:
                return

    threads = [threading.Thread(target=call, args=(number,)) for number in range(callers)]
    for thread in threads:
        thread.start()
    try:
        yield responses
    finally:
        stopped.set()
        for thread in threads:
            thread.join()


def _store_reader(gateways: list[GatewayProcess]) -> GatewayProcess | None:
    """Returns the gateway that reads the store for the others, according to their logs, or None."""
    sources = [g.log_lines("store followed")[-1]["through"] for g in gateways]
    names = set(sources) - {"itself"}
    if len(names) != 1 or sources.count("itself") != 1:
        return None
    return next(gateway for gateway in gateways if gateway.name in names)


def test_one_gateway_reads_the_store_and_is_replaced_when_it_fails(
    deployment: Deployment,
) -> None:
    """Guards against following a paused neighbour, which left an old configuration in force."""
    _wait_until(lambda: _store_reader(deployment.gateways) is not None)
    reader = _store_reader(deployment.gateways)
    assert reader is not None
    others = [gateway for gateway in deployment.gateways if gateway is not reader]
    time.sleep(2.5)
    deployment.store.reset()
    time.sleep(6.0)
    calls = sum(deployment.store.counters()["calls"].values())
    # The watch of a reader returns every 1.5 s, and two readers may overlap for a short time.
    assert calls <= 9, calls
    reader.signal(signal.SIGSTOP)
    written_at = time.monotonic()
    deployment.add_route("/b/")
    for gateway in others:
        _wait_until(lambda g=gateway: g.request("/b/x").status == 200)  # type: ignore[misc]
        assert time.monotonic() - written_at < _BOUND_SECONDS
    reader.signal(signal.SIGCONT)
    _wait_until(lambda: reader.request("/b/x").status == 200)


def test_a_configuration_after_a_truncated_batch_of_changes_is_applied(
    deployment: Deployment,
) -> None:
    """Guards against treating a watch response with only some of the changes as complete."""
    deployment.store.set_faults(most_events=60)
    written_at = time.monotonic()
    deployment.add_route("/b/", other_keys={f"status/{number}": "{}" for number in range(500)})
    for gateway in deployment.gateways:
        _wait_until(lambda g=gateway: g.request("/b/x").status == 200)  # type: ignore[misc]
    assert time.monotonic() - written_at < _BOUND_SECONDS


@pytest.mark.parametrize("outage", [True, "hang"])
def test_requests_succeed_while_the_store_is_unavailable(
    deployment: Deployment, outage: bool | str
) -> None:
    gateway = deployment.gateways[0]
    deployment.store.set_faults(outage=outage)
    with _load(gateway, callers=2) as responses:
        time.sleep(4.0)
        assert gateway.is_ready()
    assert {response.status for response in responses} == {200}
    deployment.store.set_faults(outage=None)
    deployment.paths.clear()
    deployment.add_route("/b/")
    for other in deployment.gateways:
        seconds = _wait_until(lambda g=other: g.request("/b/x").status == 200)  # type: ignore[misc]
        # Retries are at most 2 s apart, and a call may hang for the time of a watch.
        assert seconds < _BOUND_SECONDS
        assert other.request("/v1/x").status == 404


def test_a_stop_under_load_interrupts_no_request(deployment: Deployment) -> None:
    """Guards against a stop that interrupts requests on persistent connections."""
    gateway = deployment.gateways[1]
    for leaf in deployment.leaves:
        leaf.set_faults(work_ms=60)
    with _load(gateway, callers=6) as responses:
        time.sleep(1.0)
        started_at = time.monotonic()
        assert gateway.stop() == 0
        assert time.monotonic() - started_at < GRACE_SECONDS
        assert not gateway.is_ready()
    served = [response for response in responses if response.status == 200]
    assert len(served) > 6
    failed = [response for response in responses if response.status != 200]
    # Each caller stops once its connection was closed between two requests.
    assert len(failed) <= 6
    assert all(
        "Refused" in response.error or "RemoteDisconnected" in response.error for response in failed
    ), failed


@pytest.mark.parametrize("path", ["/v1/x", "/single/x"])
def test_requests_late_in_a_planned_stop_are_answered(deployment: Deployment, path: str) -> None:
    """Guards against requests that are taken late in a stop and cut off when the process ends.

    The leaves need longer than the process has left, so it answers without them.
    """
    gateway = deployment.gateways[1]
    connections = [gateway.connect() for _ in range(8)]
    for connection in connections:
        assert gateway.request("/v1/x", connection=connection).status == 200
    for leaf in deployment.leaves:
        leaf.reset()
        leaf.set_faults(work_ms=GRACE_SECONDS * 1000)
    responses: dict[str, Response] = {}
    exit_codes: list[int] = []

    def call(number: int, connection: http.client.HTTPConnection) -> None:
        time.sleep(0.2 * number)
        request_id = f"late-{number}"
        responses[request_id] = gateway.request(path, request_id, connection=connection)

    threads = [
        threading.Thread(target=call, args=(number, connection))
        for number, connection in enumerate(connections)
    ]
    threads.append(threading.Thread(target=lambda: exit_codes.append(gateway.stop())))
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert exit_codes == [0]
    assert {response.status for response in responses.values()} <= {502, 503, 504}, responses
    executed = {e["id"] for leaf in deployment.leaves for e in leaf.executions()}
    refused = {request_id for request_id, r in responses.items() if r.status == 503}
    assert not executed & refused


@pytest.mark.parametrize(
    "part",
    [
        "long header lines",
        "chunks",
        "chunks of one byte",
        "one header name",
        "interim responses",
        "responses",
        "line ends",
    ],
)
def test_answers_without_end_harm_no_other_query(deployment: Deployment, part: str) -> None:
    """Guards against leaves whose answers fill the memory of a gateway or keep it busy."""
    gateway = deployment.gateways[0]
    failing = [leaf for leaf in deployment.leaves if deployment.shard_of(leaf) == _FIRST_SHARD]
    for leaf in failing:
        leaf.set_faults(endless=part)
    with _load(gateway, callers=6) as responses:
        time.sleep(6.0)
        assert gateway.is_ready()
    assert len(responses) > 20
    # The other shards are answered, which is more than queries need.
    assert {response.status for response in responses} == {200}
    assert {response.headers["x-missing-parts"] for response in responses} == {"1"}
    assert gateway.peak_memory_bytes() < _SMALLEST_HOST_BYTES
    for leaf in failing:
        leaf.set_faults(endless=None)
    _wait_until(lambda: gateway.request("/v1/x").headers.get("x-missing-parts", "0") == "0")


def test_an_entry_that_is_nested_too_deeply_is_ignored(deployment: Deployment) -> None:
    """Guards against one malformed entry of another writer that ends every gateway."""
    nested = '{"unknown":' + "[" * 5000 + "]" * 5000 + "}"
    deployment.write_keys({"servers/nested": nested, "servers/empty": ""})
    time.sleep(_BOUND_SECONDS)
    leaf = deployment.leaves[0]
    deployment.write_leaf_entry(leaf, "draining")
    time.sleep(_BOUND_SECONDS)
    leaf.reset()
    for gateway in deployment.gateways:
        assert gateway.request("/v1/x", gateway.name).status == 200
    assert leaf.counters()["executions"] == 0


def test_a_draining_leaf_gets_no_request_from_any_gateway(deployment: Deployment) -> None:
    leaf = deployment.leaves[0]
    deployment.write_leaf_entry(leaf, "draining")
    time.sleep(_BOUND_SECONDS)
    leaf.reset()
    for gateway in deployment.gateways:
        for number in range(10):
            response = gateway.request("/v1/x", f"{gateway.name}-{number}")
            assert response.status == 200
            assert response.headers.get("x-missing-parts", "0") == "0"
    assert leaf.counters()["executions"] == 0


def test_a_leaf_that_says_it_is_leaving_gets_no_request_although_it_is_listed(
    deployment: Deployment,
) -> None:
    """Guards against requests to a leaf that has ended while its entry still says ready."""
    leaf = deployment.leaves[0]
    leaf.set_faults(leaving=True)
    path = "/single/x" if deployment.shard_of(leaf) == _FIRST_SHARD else "/v1/x"
    for gateway in deployment.gateways:
        _wait_until(lambda g=gateway: _was_told(g, path))  # type: ignore[misc]
    time.sleep(_BOUND_SECONDS)
    deployment.write_leaf_entry(leaf)
    time.sleep(1.0)
    leaf.reset()
    for gateway in deployment.gateways:
        for number in range(10):
            assert gateway.request("/v1/x", f"{gateway.name}-{number}").status == 200
    assert leaf.counters()["executions"] == 0


def _was_told(gateway: GatewayProcess, path: str) -> bool:
    """Sends a request and returns whether a leaf has told the gateway that it is leaving."""
    assert gateway.request(path).status == 200
    return bool(gateway.log_lines("leaf says it is leaving"))


def test_a_leaf_that_names_a_time_gets_no_request_in_it(deployment: Deployment) -> None:
    """Guards against requests to a leaf that can't take any, from the callers of all hosts."""
    leaf = deployment.leaves[0]
    leaf.set_faults(retry_after=4.0)
    with contextlib.ExitStack() as stack:
        responses = [stack.enter_context(_load(g, callers=2)) for g in deployment.gateways]
        _wait_until(lambda: leaf.counters()["refused"] >= len(deployment.gateways))
        time.sleep(0.5)
        leaf.reset()
        time.sleep(2.5)
        counters = leaf.counters()
        assert (counters["executions"], counters["refused"]) == (0, 0)
        leaf.set_faults(retry_after=None)
        _wait_until(lambda: leaf.counters()["executions"] > 0)
    assert {response.status for part in responses for response in part} == {200}


_METRICS_ADDRESS = "127.0.0.1:9464"
"""Metrics of one of the gateways, whichever could bind the port."""


def test_keys_appear_in_no_output_of_a_gateway(
    deployment: Deployment, tmp_path: pathlib.Path
) -> None:
    """Guards against API keys in log lines, answers and metrics, for each way a request can end."""
    known, removed, unknown = "kn0wn-k3y-A", "rem0ved-k3y-B", "unkn0wn-k3y-C"
    keys = (known, removed, unknown)

    def configuration(version: int, tenants: object) -> str:
        body = json.loads(configuration_json(version, ["/v1/"], shards=2))
        return json.dumps({**body, "tenants": tenants})

    def request(gateway: GatewayProcess, path: str, *headers: tuple[str, str]) -> int:
        connection = gateway.connect()
        connection.putrequest("GET", path, skip_host=True)
        for name, value in (("Host", "shop.example"), ("X-Request-Id", "r"), *headers):
            connection.putheader(name, value)
        connection.endheaders()
        response = connection.getresponse()
        received.append(str(response.headers).encode() + response.read())
        connection.close()
        return response.status

    received: list[bytes] = []
    tenants = [{"name": "alpha", "api_keys": [known, removed]}]
    deployment.write_keys({"op/config": configuration(100, tenants)})
    for gateway in deployment.gateways:
        _wait_until(lambda g=gateway: request(g, "/v1/x") == 401)  # type: ignore[misc]
        for key in (known, removed):
            assert request(gateway, "/v1/x", ("X-Api-Key", key)) == 200
            assert request(gateway, "/single/x", ("X-Api-Key", key)) == 200
        assert request(gateway, "/v1/x", ("X-Api-Key", unknown)) == 401
        assert request(gateway, "/v1/x", ("X-Api-Key", known), ("X-Api-Key", removed)) == 401
        assert request(gateway, "/v1/x", ("X-Api-Key ", known)) == 400
        assert request(gateway, "/none/x", ("X-Api-Key", known)) == 404
        large = ("X-Large", "l" * 100_000)
        with contextlib.suppress(OSError, http.client.HTTPException):
            request(gateway, "/v1/x", ("X-Api-Key", known), large)
    # Configurations that can't be used, then one without one of the keys.
    deployment.write_keys(
        {"op/config": configuration(101, [{"name": "\u00e9", "api_keys": [known]}])}
    )
    deployment.write_keys({"op/config": configuration(102, {known: removed})})
    tenants = [{"name": "alpha", "api_keys": [known]}]
    deployment.write_keys({"op/config": configuration(103, tenants)})
    for gateway in deployment.gateways:
        _wait_until(lambda g=gateway: request(g, "/v1/x", ("X-Api-Key", removed)) == 401)  # type: ignore[misc]
        assert request(gateway, "/v1/x", ("X-Api-Key", known)) == 200
    for leaf in deployment.leaves:
        leaf.set_faults(grey=1.0)
    for gateway in deployment.gateways:
        assert request(gateway, "/single/x", ("X-Api-Key", known)) == 500
    with (
        contextlib.suppress(urllib.error.URLError),
        urllib.request.urlopen(f"http://{_METRICS_ADDRESS}/metrics", timeout=5) as metrics,
    ):
        received.append(metrics.read())
    for gateway in deployment.gateways:
        assert gateway.stop() == 0
        assert gateway.log_lines("refused") and gateway.log_lines("request")
        received.append(gateway.log().encode())
    assert not [key for key in keys if any(key.encode() in text for text in received)]


def test_a_gateway_with_admission_refuses_what_its_leaves_cannot_serve(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a policy that the process does not apply, and refusals after a flood."""
    policy = "[admission]\nenabled = true\n[caller_reserve]\nenabled = true\n"
    options = DeploymentOptions(gateways=1, policy=policy)
    with Deployment(options=options, folder=tmp_path) as deployment:
        gateway = deployment.gateways[0]
        assert gateway.request("/v1/x").status == 200
        for leaf in deployment.leaves:
            leaf.set_faults(work_ms=300)
        with _load(gateway, callers=60) as responses:
            time.sleep(3.0)
        refused = [response for response in responses if response.status == 503]
        assert refused
        assert {response.status for response in responses} <= {200, 503}
        assert min(float(response.headers["retry-after"]) for response in refused) >= 0.05
        reasons = {line.get("refused_because") for line in gateway.log_lines("request")}
        assert reasons - {None} <= {"objective", "deadline"}
        for leaf in deployment.leaves:
            leaf.set_faults(work_ms=5)
        time.sleep(1.5)
        assert [gateway.request("/v1/x").status for _ in range(5)] == [200] * 5
        last = gateway.log_lines("request")[-1]
        assert (last["rank"], last["outcome"]) == (0, "answered")
        assert last["reserve_ms"] >= 16.0
