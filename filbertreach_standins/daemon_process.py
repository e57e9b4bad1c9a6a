"""A daemon of a local fleet as a process."""

import contextlib
import http.client
import json
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any

from filbertreach_standins.ports import free_address

READY_SECONDS = 60.0
"""Time limit for a daemon to become ready; starting many processes takes several seconds."""
_STOP_TIMEOUT_SECONDS = 30.0
_ROOT = pathlib.Path(__file__).parent.parent


class FleetError(Exception):
    """A process of the fleet ended, did not become ready or a command failed."""


class DaemonProcess:
    """A filbertreach daemon that runs as a process."""

    def __init__(
        self, *, program: str, name: str, folder: pathlib.Path, settings: dict[str, dict[str, str]]
    ) -> None:
        """Prepares settings with free addresses, without starting the process.

        Args:
            program: entry, dispatch or agent.
            name: Process name.
            folder: Folder of settings and log files.
            settings: Values by option by section; addresses are filled in.
        """
        self.program = program
        self.name = name
        self.inbox = free_address()
        self.http = free_address()
        self.log = folder / f"{name}.log"
        self._settings_file = folder / f"{name}.ini"
        self._process: subprocess.Popen[bytes] | None = None
        process = {
            "name": name,
            "host": name,
            "region": "minho",
            "data_centre": "minho-1",
            "inbox": self.inbox,
            "http": self.http,
        }
        self.settings = {**settings, "process": {**process, **settings.get("process", {})}}

    def write_settings(self) -> None:
        """Writes the settings file from `settings`."""
        lines: list[str] = []
        for section, options in self.settings.items():
            lines.append(f"[{section}]")
            lines += [f"{option} = {value}" for option, value in options.items()]
        self._settings_file.write_text("\n".join(lines) + "\n", encoding="utf-8")

    def start(self) -> None:
        """Starts the process without waiting for it."""
        self.write_settings()
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    f"filbertreach.{self.program}",
                    "--settings",
                    str(self._settings_file),
                ],
                stdout=log,
                stderr=log,
                cwd=_ROOT,
            )

    def wait_ready(self) -> None:
        """Waits until `/readyz` answers 200.

        Raises:
            FleetError: The process ended or did not become ready.
        """
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline:
            self._check_running("ready")
            with contextlib.suppress(OSError):
                if self.get("/readyz")[0] == 200:
                    return
            time.sleep(0.02)
        raise FleetError(f"{self.name} did not become ready: {self.log.read_text()[-2000:]}")

    def wait_listening(self) -> None:
        """Waits until the HTTP interface answers, ready or not.

        Raises:
            FleetError: The process ended or does not listen.
        """
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline:
            self._check_running("listening")
            with contextlib.suppress(OSError):
                self.get("/livez")
                return
            time.sleep(0.02)
        raise FleetError(f"{self.name} does not listen: {self.log.read_text()[-2000:]}")

    def _check_running(self, awaited: str) -> None:
        assert self._process is not None
        if self._process.poll() is not None:
            raise FleetError(
                f"{self.name} ended before it was {awaited}: {self.log.read_text()[-2000:]}"
            )

    def get(self, path: str) -> tuple[int, bytes]:
        """Sends a GET request to the HTTP interface.

        Args:
            path: Path.

        Returns:
            Status and body.
        """
        return self.request("GET", path)

    def request(
        self, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> tuple[int, bytes]:
        """Sends a request on a new connection.

        Args:
            method: HTTP method.
            path: Path.
            body: Body.
            headers: Headers.

        Returns:
            Status and body.
        """
        host, port = self.http.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=READY_SECONDS)
        try:
            connection.request(method, path, body or None, headers or {})
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def query(self, body: dict[str, Any], headers: dict[str, str] | None = None) -> Any:
        """Sends a query.

        Args:
            body: Body of `POST /v1/query`.
            headers: Headers.

        Returns:
            Status and decoded body.
        """
        status, content = self.request(
            "POST",
            "/v1/query",
            json.dumps(body).encode(),
            {"content-type": "application/json", **(headers or {})},
        )
        return status, json.loads(content)

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)

    @property
    def process_id(self) -> int:
        """Process id."""
        assert self._process is not None
        return self._process.pid

    def cpu_seconds(self) -> float:
        """Returns the user and system CPU time of the process so far, in seconds."""
        fields = (
            pathlib.Path(f"/proc/{self.process_id}/stat").read_text().rsplit(") ", 1)[1].split()
        )
        return (int(fields[11]) + int(fields[12])) / 100.0

    def wait_stopped(self) -> int:
        """Waits until the process ends and returns its exit code."""
        assert self._process is not None
        return self._process.wait(_STOP_TIMEOUT_SECONDS)

    def request_stop(self) -> None:
        """Sends SIGTERM, after SIGCONT for a paused process; does nothing if it is not running."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.terminate()

    def stop(self) -> int:
        """Stops the process, kills it if it does not end in time, and returns its exit code."""
        if self._process is None or self._process.poll() is not None:
            return 0 if self._process is None else self._process.returncode
        self.request_stop()
        try:
            return self.wait_stopped()
        except subprocess.TimeoutExpired:
            self._process.kill()
            return self._process.wait()

    def kill(self) -> None:
        """Kills the process."""
        assert self._process is not None
        self._process.kill()
        self._process.wait()
