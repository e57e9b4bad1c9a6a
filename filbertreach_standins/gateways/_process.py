"""A gateway process."""

import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from typing import Any, NamedTuple

from filbertreach_standins.fleet import free_address

GRACE_SECONDS = 3.0
"""Grace period of the gateways."""
_START_SECONDS = 30.0
_ANSWER_SECONDS = 10.0
_SETTINGS = """
node_name = "{name}"
zone = "minho-1"
region = "minho"
ip = "127.0.0.1"
internal_ports = [{port}, {port}]
seeds = {seeds}
[zones]
minho-1 = "minho"
[listen]
front = "{front}"
ready = "{ready}"
control = "{control}"
[bounds]
drain_ms = {bound_ms}
config_apply_ms = {bound_ms}
grace_s = {grace}
retry_budget_ratio = 0.2
retry_window_s = 10
retry_slack = {slack}
[platform]
address = "{store}"
"""


class Answer(NamedTuple):
    """An answer of a gateway."""

    status: int
    """Status, 0 if the connection ended without a whole answer."""
    headers: dict[str, str]
    """Headers by name in lower case."""
    body: bytes
    """Body."""
    error: str
    """Why there is no answer."""


class GatewayProcess:
    """One gateway, which can be started again after its end."""

    def __init__(
        self,
        *,
        name: str,
        folder: pathlib.Path,
        store: str,
        seeds: list[str],
        control: str,
        bound_seconds: float,
        slack: float,
    ) -> None:
        """Writes the settings.

        Args:
            name: Name of the host.
            folder: Folder of settings and log.
            store: ip:port of the store.
            seeds: Neighbour addresses of some gateways.
            control: Neighbour address of this one.
            bound_seconds: Bound of configuration and draining.
            slack: Extra calls that a service may get in a window besides the ratio.
        """
        self.name = name
        self.front, self.ready = free_address(), free_address()
        self.incarnation = 0
        self._folder = folder
        self._process: subprocess.Popen[bytes] | None = None
        self.settings = folder / f"{name}.toml"
        self.settings.write_text(
            _SETTINGS.format(
                name=name,
                seeds=json.dumps(seeds),
                front=self.front,
                ready=self.ready,
                control=control,
                port=free_address().rpartition(":")[2],
                store=store,
                bound_ms=round(bound_seconds * 1000),
                grace=GRACE_SECONDS,
                slack=slack,
            )
        )

    def start(self) -> None:
        """Starts the process, without waiting for it."""
        environment = {**os.environ, "FILBERTREACH_BOOT": str(self.settings)}
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "filbertreach.gateway"],
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.incarnation += 1

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def wait_ready(self) -> None:
        """Waits until the process is ready.

        Raises:
            TimeoutError: It did not become ready.
        """
        deadline = time.monotonic() + _START_SECONDS
        while not self.is_ready():
            if time.monotonic() > deadline:
                raise TimeoutError(f"{self.name} is not ready: {self.log()[-2000:]}")
            time.sleep(0.02)

    def wait_listening(self) -> None:
        """Waits until the process accepts connections, which it does without the store too.

        Raises:
            TimeoutError: It does not listen.
        """
        host, port = self.front.split(":")
        deadline = time.monotonic() + _START_SECONDS
        while time.monotonic() < deadline:
            with socket.socket() as probe:
                if probe.connect_ex((host, int(port))) == 0:
                    return
            time.sleep(0.02)
        raise TimeoutError(f"{self.name} does not listen: {self.log()[-2000:]}")

    def is_ready(self) -> bool:
        """Returns whether the gateway wants new connections."""
        connection = http.client.HTTPConnection(self.ready, timeout=1)
        try:
            connection.request("GET", "/-/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def connect(self) -> http.client.HTTPConnection:
        """Returns a connection of a caller, opened by its first request."""
        return http.client.HTTPConnection(self.front, timeout=_ANSWER_SECONDS)

    def ask(
        self,
        path: str,
        request_id: str = "r",
        *,
        method: str = "GET",
        connection: http.client.HTTPConnection | None = None,
    ) -> Answer:
        """Sends a request and reads the answer.

        Args:
            path: Path.
            request_id: Id.
            method: HTTP method.
            connection: A kept connection; one of its own by default.

        Returns:
            The answer.
        """
        own = connection or self.connect()
        headers = {"Host": "shop.example", "X-Request-Id": request_id, "X-Deadline-Ms": "3000"}
        try:
            own.request(method, path, headers=headers)
            answer = own.getresponse()
            body = answer.read()
            fields = {name.lower(): value for name, value in answer.getheaders()}
            return Answer(answer.status, fields, body, "")
        except (OSError, http.client.HTTPException) as error:
            own.close()
            return Answer(0, {}, b"", repr(error))
        finally:
            if connection is None:
                own.close()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs.

        Args:
            number: The signal.
        """
        if self.is_running:
            assert self._process is not None
            self._process.send_signal(number)

    def stop(self) -> int:
        """Asks the process to end and waits for it.

        Returns:
            Exit code; that of SIGKILL if it did not end within the grace period.
        """
        assert self._process is not None
        self._process.terminate()
        try:
            return self._process.wait(GRACE_SECONDS + 1.0)
        except subprocess.TimeoutExpired:
            self.kill()
            return -signal.SIGKILL

    def kill(self) -> None:
        """Kills the process."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def log(self) -> str:
        """Returns what the gateway has written."""
        return (self._folder / f"{self.name}.log").read_text(errors="replace")

    def log_lines(self, event: str) -> list[dict[str, Any]]:
        """Returns the lines of the log with one event.

        Args:
            event: What they say.
        """
        needle = f'"event": {json.dumps(event)}'
        return [json.loads(line) for line in self.log().splitlines() if needle in line]
