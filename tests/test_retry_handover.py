"""Retry budgets of a gateway process that is restarted."""

import pathlib
import time

from filbertreach_standins.gateways import Deployment, DeploymentOptions, GatewayProcess


def _count_restored(gateway: GatewayProcess) -> int:
    return len(gateway.log_lines("retry histories restored"))


def test_a_restarted_process_gets_its_retry_histories_from_the_others(
    tmp_path: pathlib.Path,
) -> None:
    # Guards against a stop that ends before the handover, and a start that does not ask for it.
    options = DeploymentOptions(policy="[retry_handover]\nenabled = true\n")
    with Deployment(options=options, folder=tmp_path) as deployment:
        gateway = deployment.gateways[1]
        deadline = time.monotonic() + 30.0
        while not any(line["near"] == 3 for line in gateway.log_lines("hosts known")):
            assert time.monotonic() < deadline
            time.sleep(0.1)
        for number in range(20):
            assert gateway.request("/v1/x", f"request-{number}").status == 200
        assert gateway.stop() == 0
        gateway.start()
        gateway.wait_ready()
        while not _count_restored(gateway):
            assert time.monotonic() < deadline, gateway.log()[-2000:]
            time.sleep(0.1)
        (line,) = gateway.log_lines("retry histories restored")
        assert line["services"] == deployment.options.shards
