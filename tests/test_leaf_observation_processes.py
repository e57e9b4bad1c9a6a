"""Gateway processes that share observations of leaves, while one of them is paused or killed."""

import contextlib
import pathlib
import signal
import threading
import time
from collections.abc import Callable, Iterator

import pytest

from filbertreach_standins.gateways import Deployment, DeploymentOptions, GatewayProcess

_LISTED = "leaf observed as failing"
_ENDED = "leaf no longer observed as failing"
_HOSTS_KNOWN_SECONDS = 4.0
"""Time after which all gateways know each other."""


def _wait_until(condition: Callable[[], bool], seconds: float) -> None:
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, "the condition did not become true in time"
        time.sleep(0.02)


@contextlib.contextmanager
def _load(gateways: list[GatewayProcess]) -> Iterator[list[int]]:
    """Runs a caller of each gateway and collects the statuses."""
    statuses: list[int] = []
    stopped = threading.Event()

    def call(gateway: GatewayProcess) -> None:
        while not stopped.is_set():
            statuses.append(gateway.request("/v1/x").status)
            time.sleep(0.02)

    threads = [threading.Thread(target=call, args=(gateway,)) for gateway in gateways]
    for thread in threads:
        thread.start()
    try:
        yield statuses
    finally:
        stopped.set()
        for thread in threads:
            thread.join()


def _listed_by(deployment: Deployment, leaf_id: str) -> list[GatewayProcess]:
    return [
        gateway
        for gateway in deployment.gateways
        if any(line["leaf"] == leaf_id for line in gateway.log_lines(_LISTED))
    ]


@pytest.mark.parametrize("fault", [signal.SIGSTOP, signal.SIGKILL])
def test_gateways_list_a_failing_leaf_also_without_the_host_that_merges(
    tmp_path: pathlib.Path, fault: signal.Signals
) -> None:
    # Guards against a section that the process does not apply, and against states that are lost
    # with the host that merges them.
    policy = "[leaf_observations]\nenabled = true\n"
    options = DeploymentOptions(gateways=3, leaves_per_shard=3, policy=policy)
    with Deployment(options=options, folder=tmp_path) as deployment:
        time.sleep(_HOSTS_KNOWN_SECONDS)
        first, second, *_ = deployment.leaves
        with _load(deployment.gateways) as statuses:
            time.sleep(1.0)
            assert not any(gateway.log_lines(_LISTED) for gateway in deployment.gateways)
            first.set_faults(grey=1.0)
            _wait_until(lambda: bool(_listed_by(deployment, first.id)), 5.0)
            first.set_faults(grey=None)
            merging = _listed_by(deployment, first.id)
            assert len(merging) == 1
            _wait_until(lambda: bool(merging[0].log_lines(_ENDED)), 5.0)
        assert set(statuses) == {200}
        merging[0].signal(fault)
        others = [gateway for gateway in deployment.gateways if gateway is not merging[0]]
        with _load(others) as statuses:
            second.set_faults(grey=1.0)
            _wait_until(lambda: bool(_listed_by(deployment, second.id)), 6.0)
            assert _listed_by(deployment, second.id)[0] in others
        assert set(statuses) == {200}
