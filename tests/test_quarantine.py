"""Tests gateway processes in front of leaves that end."""

import contextlib
import json
import os
import pathlib
import signal
import threading
import time
from collections.abc import Iterator
from typing import NamedTuple

import pytest

from filbertreach_standins._process import StandInProcess
from filbertreach_standins.gateways import Deployment, DeploymentOptions

_POLICY = "[quarantine]\nenabled = true\n"
_LEAVES = 5
_KNOWN_SECONDS = 4.0
"""Time after which the gateways know of each other and of all leaves."""
_SHARED_SECONDS = 0.3
"""Time after which the second gateway knows what the first one has learned."""


class _Fleet(NamedTuple):
    deployment: Deployment
    leaves: list[StandInProcess]

    def ended(self) -> int:
        """Returns the number of leaves that have ended."""
        return sum(not _is_running(leaf.process_id) for leaf in self.leaves)

    def quarantined(self) -> int:
        """Returns the number of log lines about requests put into quarantine."""
        gateways = self.deployment.gateways
        return sum(len(gateway.log_lines("request quarantined")) for gateway in gateways)


def _is_running(process_id: int) -> bool:
    # A process that has ended is not reaped before its stand-in is left.
    return " Z " not in pathlib.Path(f"/proc/{process_id}/stat").read_text()


@pytest.fixture
def fleet(tmp_path: pathlib.Path) -> Iterator[_Fleet]:
    options = DeploymentOptions(gateways=2, shards=1, leaves_per_shard=1, policy=_POLICY)
    with contextlib.ExitStack() as stack:
        leaves = [
            stack.enter_context(
                StandInProcess(
                    module="deployment", arguments=["--leaves", "1", "--first", str(number)]
                )
            )
            for number in range(10, 10 + _LEAVES)
        ]
        deployment = stack.enter_context(Deployment(options=options, folder=tmp_path))
        keys: dict[str, str | None] = {f"servers/{deployment.leaves[0].id}": None}
        for leaf in leaves:
            control = leaf.controls[1]
            control.set_faults(crash_on="poison", work_ms=10)
            entry = {
                "service": "shard-0",
                # Not through a relay, which accepts connections when its target does not.
                "address": control.address,
                "zone": "minho-1",
                "version": "1",
                "slots": 4,
                "state": "ready",
                "cold_left_ms": 0,
                "sequence": 1,
                "born": 5_000,
            }
            keys[f"servers/{control.id}"] = json.dumps(entry)
        deployment.write_keys(keys)
        time.sleep(_KNOWN_SECONDS)
        yield _Fleet(deployment, leaves)


def test_a_second_host_refuses_what_the_first_one_has_learned(fleet: _Fleet) -> None:
    """Guards against callers that repeat a request which ends leaves at host after host."""
    first, second = fleet.deployment.gateways
    for number in range(20):
        assert first.request(f"/v1/{number}", "w").status == 200
    assert first.request("/v1/poison", "a").status == 502
    assert fleet.ended() == 2
    time.sleep(_SHARED_SECONDS)
    for number, gateway in enumerate((second, first, second)):
        began_at = time.monotonic()
        response = gateway.request("/v1/poison", f"b-{number}")
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 20.0
        assert time.monotonic() - began_at < 0.1
    assert fleet.ended() == 2
    assert second.request("/v1/innocent", "c").status == 200
    assert [line["cause"] for line in second.log_lines("request quarantined")] == ["told"]


def test_repetitions_that_are_sent_once_end_two_leaves(fleet: _Fleet) -> None:
    """Guards against a request without retries that ends one leaf at each host."""
    first, second = fleet.deployment.gateways
    for gateway in (first, second):
        assert gateway.request("/single/poison", "a").status == 502
        time.sleep(_SHARED_SECONDS)
    for gateway in (first, second, first, second):
        assert gateway.request("/single/poison", "b").status == 503
    assert fleet.ended() == 2


def test_nothing_is_quarantined_while_leaves_end_by_themselves(fleet: _Fleet) -> None:
    """Guards against requests that are refused although leaves end for another reason."""
    statuses: list[int] = []
    stopped = threading.Event()

    def call(gateway_number: int) -> None:
        gateway = fleet.deployment.gateways[gateway_number]
        connection = gateway.connect()
        while not stopped.is_set():
            # The same content is lost at several leaves.
            statuses.append(gateway.request("/v1/same", "r", connection=connection).status)

    threads = [threading.Thread(target=call, args=(number % 2,)) for number in range(4)]
    for thread in threads:
        thread.start()
    try:
        for leaf in fleet.leaves[:3]:
            time.sleep(0.7)
            os.kill(leaf.process_id, signal.SIGKILL)
        time.sleep(1.0)
    finally:
        stopped.set()
        for thread in threads:
            thread.join()
    losses = sum(len(gateway.log_lines("leaf has ended")) for gateway in fleet.deployment.gateways)
    print(f"{len(statuses)} requests, {losses} ends seen, statuses {sorted(set(statuses))}")
    assert losses > 0 and len(statuses) > 50
    assert statuses.count(200) == len(statuses)
    assert fleet.quarantined() == 0
