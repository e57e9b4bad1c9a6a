"""Tests gateway processes that keep the quotas of client accounts together."""

import bisect
import http.client
import json
import pathlib
import signal
import threading
import time
from collections.abc import Iterator

import pytest

from filbertreach_standins.gateways import Deployment, DeploymentOptions, GatewayProcess
from filbertreach_standins.gateways._deployment import configuration_json

_RATE = 20.0
_BURST = 10.0
_WINDOW_SECONDS = 5.0
_BOUND = (_RATE * _WINDOW_SECONDS + _BURST) * 1.1 + 20.0
_KEY = "k-4f1d0c55"
_FREE_KEY = "k-90aa17b2"
_START_SECONDS = 9.0
"""Time after the start of a gateway until it grants its part in full."""
_OBSERVED_SECONDS = 2.5
"""Time in which a change of the pressure takes effect, and some requests are sent."""


class _Caller:
    """Sends requests of an account to one gateway until it is stopped."""

    def __init__(self, gateway: GatewayProcess, key: str, pause_seconds: float) -> None:
        self.granted_at: list[float] = []
        self.statuses: list[int] = []
        self.retry_after: list[str | None] = []
        self.seconds: list[float] = []
        self._gateway, self._key, self._pause_seconds = gateway, key, pause_seconds
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self) -> "_Caller":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        connection = self._gateway.connect()
        while not self._stopped.wait(self._pause_seconds):
            started_at = time.monotonic()
            try:
                headers = {"Host": "shop.example", "X-Api-Key": self._key, "X-Request-Id": "r"}
                connection.request("GET", "/v1/x", headers=headers)
                response = connection.getresponse()
                response.read()
            except (OSError, http.client.HTTPException):
                connection.close()
                connection = self._gateway.connect()
                continue
            self.seconds.append(time.monotonic() - started_at)
            self.statuses.append(response.status)
            if response.status == 200:
                self.granted_at.append(time.monotonic())
            else:
                self.retry_after.append(response.getheader("Retry-After"))


def _largest_window(callers: list[_Caller]) -> int:
    times = sorted(time for caller in callers for time in caller.granted_at)
    return max(
        bisect.bisect_left(times, time + _WINDOW_SECONDS) - i for i, time in enumerate(times)
    )


def _set_accounts(deployment: Deployment, version: int, rate: float = _RATE) -> None:
    body = json.loads(configuration_json(version, ["/v1/"], shards=deployment.options.shards))
    body["tenants"] = [
        {"name": "acme", "api_keys": [_KEY], "rate_per_s": rate, "burst": _BURST},
        {"name": "free", "api_keys": [_FREE_KEY]},
    ]
    deployment.write_keys({"op/config": json.dumps(body)})


@pytest.fixture
def deployment(tmp_path: pathlib.Path) -> Iterator[Deployment]:
    with Deployment(options=DeploymentOptions(), folder=tmp_path) as running:
        _set_accounts(running, 100)
        time.sleep(_START_SECONDS)
        yield running


def _quota_host(deployment: Deployment) -> GatewayProcess:
    sources = [g.log_lines("store followed")[-1]["through"] for g in deployment.gateways]
    return deployment.gateways[sources.index("itself")]


@pytest.mark.parametrize("fault", ["none", "pause", "kill"])
def test_gateways_keep_a_quota_together(deployment: Deployment, fault: str) -> None:
    """Guards against gateways that each grant a quota, also while their quota host fails."""
    gateways = deployment.gateways
    acme = [_Caller(gateway, _KEY, 0.02) for gateway in gateways]
    free = _Caller(gateways[0], _FREE_KEY, 0.02)
    quota_host = _quota_host(deployment)
    free_gateway_fails = fault != "none" and quota_host is gateways[0]
    with acme[0], acme[1], acme[2], free:
        time.sleep(6.0)
        if fault == "pause":
            quota_host.signal(signal.SIGSTOP)
            time.sleep(2.0)
            quota_host.signal(signal.SIGCONT)
        elif fault == "kill":
            quota_host.kill()
            quota_host.start()
            quota_host.wait_ready()
        time.sleep(6.0)
    largest = _largest_window(acme)
    granted = sum(len(caller.granted_at) for caller in acme)
    slowest = max(seconds for caller in acme for seconds in caller.seconds)
    print(f"{fault}: largest window {largest}, bound {_BOUND}, granted {granted}, {slowest=:.3f}")
    assert largest <= _BOUND
    # The quota is used up, apart from the seconds after a fault.
    assert granted >= (0.9 if fault == "none" else 0.5) * 12.0 * _RATE
    refusals = [status for caller in acme for status in caller.statuses if status != 200]
    assert 429 in refusals
    assert all(text and float(text) > 0.0 for caller in acme for text in caller.retry_after)
    if fault == "none":
        assert set(refusals) == {429}
    if not free_gateway_fails:
        assert set(free.statuses) == {200}


def test_a_refusal_is_logged_without_the_key(deployment: Deployment) -> None:
    """Guards against API keys in logs, and against refusals without a reason."""
    with _Caller(deployment.gateways[0], _KEY, 0.001):
        time.sleep(2.0)
    lines = [
        line
        for line in deployment.gateways[0].log_lines("refused")
        if line.get("reason") == "over_quota"
    ]
    assert lines
    assert {line["account"] for line in lines} == {"acme"}
    assert {line["status"] for line in lines} == {429}
    for gateway in deployment.gateways:
        assert _KEY not in gateway.log()


def _reasons(deployment: Deployment) -> list[str]:
    return [
        line["reason"]
        for gateway in deployment.gateways
        for line in gateway.log_lines("refused")
        if line.get("account") == "acme"
    ]


def test_an_account_over_its_share_is_refused_only_under_pressure(tmp_path: pathlib.Path) -> None:
    """Guards against shares that no process applies, and against refusals without pressure."""
    options = DeploymentOptions(policy="[account_shares]\nenabled = true\n")
    with Deployment(options=options, folder=tmp_path) as deployment:
        _set_accounts(deployment, 100, rate=1000.0)
        time.sleep(_START_SECONDS)
        callers = [_Caller(gateway, _KEY, 0.02) for gateway in deployment.gateways]
        with callers[0], callers[1], callers[2]:
            time.sleep(_OBSERVED_SECONDS)
            assert "over_share" not in _reasons(deployment)
            for leaf in deployment.leaves:
                leaf.set_faults(waiting=8)
            time.sleep(_OBSERVED_SECONDS)
            for leaf in deployment.leaves:
                leaf.set_faults(waiting=None)
            time.sleep(_OBSERVED_SECONDS)
            count = len(_reasons(deployment))
            time.sleep(_OBSERVED_SECONDS)
            assert len(_reasons(deployment)) == count
        assert _reasons(deployment).count("over_share") > 20
        assert {status for caller in callers for status in caller.statuses} == {200, 503}
        assert all(text and float(text) > 0.0 for c in callers for text in c.retry_after)
        quota_host = _quota_host(deployment)
        assert quota_host.log_lines("account shares applied")
        assert quota_host.log_lines("account shares no longer applied")
        for gateway in deployment.gateways:
            assert _KEY not in gateway.log()
