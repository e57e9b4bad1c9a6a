"""Starts, stops and queries a gateway process."""

import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Sequence
from typing import Any, NamedTuple

from filbertreach_standins.gateways._accounts import FIRST_DATA_CENTRE, REGION
from filbertreach_standins.ports import free_address

GRACE_SECONDS = 3.0
"""Grace period of the gateways."""
_START_TIMEOUT_SECONDS = 30.0
_RESPONSE_TIMEOUT_SECONDS = 10.0
_SETTINGS_TEMPLATE = """
node_name = "{name}"
zone = "{data_centre}"
region = "{region}"
ip = "127.0.0.1"
internal_ports = [{internal_port}, {internal_port}]
seeds = {seeds}
[zones]
{zones}
[listen]
front = "{front_address}"
ready = "{ready_address}"
control = "{neighbour_address}"
[bounds]
drain_ms = {bound_ms}
config_apply_ms = {bound_ms}
grace_s = {grace_seconds}
retry_budget_ratio = 0.2
retry_window_s = 10
retry_slack = {slack}
[platform]
address = "{store_address}"
"""


class Response(NamedTuple):
    """A response of a gateway."""

    status: int
    """HTTP status; 0 if no complete response was received."""
    headers: dict[str, str]
    """Headers by lower-case name."""
    body: bytes
    """Body."""
    error: str
    """Why there was no response."""


class GatewayProcess:
    """One gateway, which can be restarted after it has exited."""

    def __init__(
        self,
        *,
        name: str,
        folder: pathlib.Path,
        store_address: str,
        seed_addresses: list[str],
        neighbour_address: str,
        bound_seconds: float,
        slack: float,
        policy: str = "",
        data_centre: str = FIRST_DATA_CENTRE,
        data_centres: Sequence[str] = (FIRST_DATA_CENTRE,),
    ) -> None:
        """Writes the settings file; `start` starts the process.

        Args:
            name: Name of the host.
            folder: Folder of settings and log.
            store_address: ip:port of the store.
            seed_addresses: Neighbour addresses of the gateways that it contacts first.
            neighbour_address: ip:port at which it listens for other gateways.
            bound_seconds: Time within which configuration and draining must take effect.
            slack: Retries and hedges that a service may get per window in addition to the ratio.
            policy: Text of the policy file; empty for none.
            data_centre: Data centre of the host.
            data_centres: All data centres.
        """
        self.name = name
        self.front_address, self.ready_address = free_address(), free_address()
        self.incarnation = 0
        self._folder = folder
        self._process: subprocess.Popen[bytes] | None = None
        self._arguments: list[str] = []
        if policy:
            policy_path = folder / f"{name}.ini"
            policy_path.write_text(policy)
            self._arguments = ["--policy", str(policy_path)]
        self.settings_path = folder / f"{name}.toml"
        self.settings_path.write_text(
            _SETTINGS_TEMPLATE.format(
                name=name,
                data_centre=data_centre,
                region=REGION,
                zones="\n".join(f'{name} = "{REGION}"' for name in data_centres),
                seeds=json.dumps(seed_addresses),
                front_address=self.front_address,
                ready_address=self.ready_address,
                neighbour_address=neighbour_address,
                internal_port=free_address().rpartition(":")[2],
                store_address=store_address,
                bound_ms=round(bound_seconds * 1000),
                grace_seconds=GRACE_SECONDS,
                slack=slack,
            )
        )

    def start(self) -> None:
        """Starts the process without waiting until it is ready."""
        environment = {**os.environ, "FILBERTREACH_BOOT": str(self.settings_path)}
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "filbertreach.gateway", *self._arguments],
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.incarnation += 1

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not exited."""
        return self._process is not None and self._process.poll() is None

    def peak_memory_bytes(self) -> int:
        """Returns the largest resident memory that the running process has had."""
        assert self._process is not None
        status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        return 1024 * int(status.split("VmHWM:")[1].split()[0])

    def wait_ready(self) -> None:
        """Waits until the process is ready.

        Raises:
            TimeoutError: It did not become ready within 30 s.
        """
        deadline = time.monotonic() + _START_TIMEOUT_SECONDS
        while not self.is_ready():
            if time.monotonic() > deadline:
                raise TimeoutError(f"{self.name} did not become ready: {self.log()[-2000:]}")
            time.sleep(0.02)

    def wait_listening(self) -> None:
        """Waits until the process accepts connections, which does not need the store.

        Raises:
            TimeoutError: It did not accept connections within 30 s.
        """
        host, port = self.front_address.split(":")
        deadline = time.monotonic() + _START_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            with socket.socket() as probe:
                if probe.connect_ex((host, int(port))) == 0:
                    return
            time.sleep(0.02)
        raise TimeoutError(f"{self.name} does not accept connections: {self.log()[-2000:]}")

    def is_ready(self) -> bool:
        """Returns whether the gateway reports that it is ready for new connections."""
        connection = http.client.HTTPConnection(self.ready_address, timeout=1)
        try:
            connection.request("GET", "/-/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def connect(self) -> http.client.HTTPConnection:
        """Returns a connection to the gateway, which is opened by its first request."""
        return http.client.HTTPConnection(self.front_address, timeout=_RESPONSE_TIMEOUT_SECONDS)

    def request(
        self,
        path: str,
        request_id: str = "r",
        *,
        method: str = "GET",
        connection: http.client.HTTPConnection | None = None,
        key: str | None = None,
    ) -> Response:
        """Sends a request and reads the response.

        Args:
            path: Request path.
            request_id: Request id.
            method: HTTP method.
            connection: Persistent connection; by default a new one for this request.
            key: API key; None to send none.

        Returns:
            The response; its status is 0 if the connection failed.
        """
        http_connection = connection or self.connect()
        headers = {"Host": "shop.example", "X-Request-Id": request_id, "X-Deadline-Ms": "3000"}
        if key is not None:
            headers["X-Api-Key"] = key
        try:
            http_connection.request(method, path, headers=headers)
            response = http_connection.getresponse()
            body = response.read()
            response_headers = {name.lower(): value for name, value in response.getheaders()}
            return Response(response.status, response_headers, body, "")
        except (OSError, http.client.HTTPException) as error:
            http_connection.close()
            return Response(0, {}, b"", repr(error))
        finally:
            if connection is None:
                http_connection.close()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it is running.

        Args:
            number: The signal.
        """
        if self.is_running:
            assert self._process is not None
            self._process.send_signal(number)

    def stop(self) -> int:
        """Sends SIGTERM to the process and waits until it has exited.

        Returns:
            Exit code; that of SIGKILL if it did not exit within 1 s after the grace period.
        """
        assert self._process is not None
        self._process.terminate()
        try:
            return self._process.wait(GRACE_SECONDS + 1.0)
        except subprocess.TimeoutExpired:
            self.kill()
            return -signal.SIGKILL

    def kill(self) -> None:
        """Kills the process, also if it is paused, and waits until it has exited."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def log(self) -> str:
        """Returns the text of the log file, over all incarnations."""
        return (self._folder / f"{self.name}.log").read_text(errors="replace")

    def log_lines(self, event: str) -> list[dict[str, Any]]:
        """Returns the decoded log lines of one event.

        Args:
            event: Name of the event.
        """
        pattern = f'"event": {json.dumps(event)}'
        return [json.loads(line) for line in self.log().splitlines() if pattern in line]
