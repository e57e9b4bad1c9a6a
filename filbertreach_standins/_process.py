"""Runs stand-ins as processes and administers them over HTTP."""

import json
import pathlib
import subprocess
import sys
import urllib.error
import urllib.request
from types import TracebackType
from typing import Any, NamedTuple, Self

_RESPONSE_TIMEOUT_SECONDS = 30.0
_STOP_TIMEOUT_SECONDS = 10.0
_ROOT = pathlib.Path(__file__).parent.parent


class ControlError(Exception):
    """A stand-in did not start or refused an administration request."""


class StandInControl(NamedTuple):
    """Administration client of one stand-in; it blocks, so call it from a thread in async code."""

    address: str
    """ip:port of the stand-in."""
    id: str
    """Leaf id or name of the service."""

    @property
    def base_url(self) -> str:
        """Base URL of the stand-in, without a path."""
        return f"http://{self.address}"

    def request(self, method: str, path: str, body: Any = None) -> Any:
        """Sends an administration request on a new connection.

        Args:
            method: HTTP method.
            path: Path that begins with /admin/.
            body: JSON body, or None.

        Returns:
            The decoded JSON response.

        Raises:
            ControlError: The stand-in answered with an error status.
        """
        data = None if body is None else json.dumps(body).encode()
        request = urllib.request.Request(self.base_url + path, data, method=method)
        opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
        try:
            with opener.open(request, timeout=_RESPONSE_TIMEOUT_SECONDS) as response:
                return json.load(response)
        except urllib.error.HTTPError as error:
            with error:
                raise ControlError(f"{method} {path}: {error.read().decode()}") from error

    def set_faults(self, **faults: Any) -> dict[str, Any]:
        """Sets the given faults and leaves the others unchanged; None restores a default.

        Returns:
            JSON value by name of the faults that differ from their default.
        """
        changed: dict[str, Any] = self.request("PUT", "/admin/faults", faults)
        return changed

    def counters(self, *, totals: bool = False) -> dict[str, Any]:
        """Returns the counters.

        Args:
            totals: Whether to leave out the counters of a leaf by call id and by query.
        """
        suffix = "?totals=true" if totals else ""
        counters: dict[str, Any] = self.request("GET", "/admin/counters" + suffix)
        return counters

    def executions(self) -> list[dict[str, Any]]:
        """Returns the executions that a leaf has started."""
        executions: list[dict[str, Any]] = self.request("GET", "/admin/executions")
        return executions

    def reset(self) -> None:
        """Turns all faults off and clears counters and state."""
        self.request("POST", "/admin/reset")


class StandInProcess:
    """A process that serves one or more stand-ins; a context manager."""

    def __init__(self, *, module: str, arguments: list[str] | None = None) -> None:
        """Prepares a process without starting it.

        Args:
            module: Package of the stand-in, for example `leaf` or `key_value`.
            arguments: Command-line arguments.
        """
        self._command = [
            sys.executable,
            "-m",
            f"filbertreach_standins.{module}",
            *(arguments or []),
        ]
        self._process: subprocess.Popen[str] | None = None
        self.controls: list[StandInControl] = []
        """One for each stand-in of the process, in the order of the command line."""

    @property
    def control(self) -> StandInControl:
        """Control of the first stand-in."""
        return self.controls[0]

    @property
    def process_id(self) -> int:
        """Process id, for example to send signals."""
        assert self._process is not None
        return self._process.pid

    def __enter__(self) -> Self:
        """Starts the process and waits until every stand-in listens.

        Raises:
            ControlError: The process ended before that; its standard error shows the cause.
        """
        self._process = subprocess.Popen(
            self._command, stdout=subprocess.PIPE, text=True, cwd=_ROOT
        )
        assert self._process.stdout is not None
        expected = 1
        while len(self.controls) < expected:
            line = self._process.stdout.readline()
            if not line:
                self.__exit__(None, None, None)
                raise ControlError(f"{' '.join(self._command)} ended before it was ready")
            ready = json.loads(line)
            expected = ready["of"]
            self.controls.append(StandInControl(ready["listening"], ready["id"]))
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stops the process; kills it if it does not end in time."""
        assert self._process is not None
        self._process.terminate()
        try:
            self._process.wait(_STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()
        assert self._process.stdout is not None
        self._process.stdout.close()
