"""HTTP interface of the host list stand-in."""

import random
import time
from collections import deque
from typing import Any, Literal, NamedTuple

import anyio
import msgspec
from typing_extensions import TypedDict

from filbertreach.timing import SystemClock
from filbertreach_standins._faults import Fault, non_negative_number, one_of
from filbertreach_standins._http import Receive, Send, send_json
from filbertreach_standins._server import Connection, StandIn

_HISTORY_RETENTION_SECONDS = 3600.0
"""Versions of the list replaced longer ago than this are discarded."""

HOST_LIST_FAULTS = (
    Fault(
        "outage",
        False,
        one_of(False, True, "hang", "reset"),
        'true: 503; "hang": calls are never answered; "reset": the connection is reset',
    ),
    Fault("lag_seconds", 0.0, non_negative_number, "the list shown is that of so many seconds ago"),
    Fault("delay_ms", 0.0, non_negative_number, "time that an answer takes"),
)
"""Faults in addition to `CONNECTION_FAULTS`."""


class HostBody(TypedDict):
    """A host in the format of the service."""

    host: str
    """Host name."""
    address: str
    """IP address."""
    region: str
    """Name of the region."""
    data_centre: str
    """Name of the data centre."""
    kind: Literal["entry", "backend"]
    """entry if filbertreach runs on the host, backend if a backend server does."""
    state: Literal["live", "leaving"]
    """live or leaving; a host that is gone is no longer listed."""


class _ListVersion(NamedTuple):
    set_at: float
    """CLOCK_BOOTTIME in seconds."""
    hosts: list[HostBody]
    """The list from that time on."""


class HostListService(StandIn):
    """Serves one list of hosts over HTTP."""

    def __init__(self, *, hosts: list[HostBody], seed: int = 0) -> None:
        """Creates a service.

        Args:
            hosts: Initial list; it is older than any lag.
            seed: Seed of faults that affect a share of calls.
        """
        super().__init__(faults=HOST_LIST_FAULTS, generator=random.Random(seed))
        self._clock = SystemClock()
        self._initial_hosts = hosts
        self.reset()

    def reset(self) -> None:
        """Restores the initial list and clears the call counter."""
        self._versions = deque([_ListVersion(0.0, self._initial_hosts)])
        self._calls = 0

    def counters(self, query: dict[str, str]) -> dict[str, Any]:
        """Returns the number of calls."""
        return {"calls": {"list_hosts": self._calls}, "calls_total": self._calls}

    async def administer(
        self, method: str, path: str, query: dict[str, str], body: Any
    ) -> tuple[int, Any] | None:
        """Answers `PUT /admin/hosts`, which sets the current list."""
        if (method, path) != ("PUT", "/admin/hosts"):
            return None
        hosts = msgspec.convert(body["hosts"], list[HostBody])
        now = self._clock.now()
        self._versions.append(_ListVersion(now, hosts))
        while (
            len(self._versions) > 1 and self._versions[1].set_at < now - _HISTORY_RETENTION_SECONDS
        ):
            self._versions.popleft()
        return 200, {"hosts": len(hosts)}

    async def handle(
        self, connection: Connection, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Answers one call."""
        if (scope["method"], scope["path"]) != ("GET", "/v1/hosts"):
            await send_json(send, 404, {"error": f"{scope['path']} does not exist"})
            return
        self._calls += 1
        with anyio.CancelScope() as call_scope:
            connection.on_disconnect = call_scope.cancel
            await self._list_hosts(connection, send)
        connection.on_disconnect = None

    async def _list_hosts(self, connection: Connection, send: Send) -> None:
        await anyio.sleep(self.faults.value("delay_ms") / 1000)
        match self.faults.value("outage"):
            case True:
                await send_json(send, 503, {"error": "outage"})
                return
            case "hang":
                await anyio.sleep_forever()
            case "reset":
                connection.reset()
                return
        lag_seconds = self.faults.value("lag_seconds")
        cutoff = self._clock.now() - lag_seconds
        hosts = [version for version in self._versions if version.set_at <= cutoff][-1].hosts
        await send_json(send, 200, {"hosts": hosts, "as_of": time.time() - lag_seconds})
