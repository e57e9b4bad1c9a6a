"""The HTTP interface of the host list stand-in."""

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

_HISTORY_SECONDS = 3600.0
"""Versions of the list that are older than this are dropped."""

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
"""Faults beside those of connections."""


class HostBody(TypedDict):
    """A host as the service shows it."""

    host: str
    """Host name."""
    address: str
    """IP address."""
    region: str
    """Region."""
    data_centre: str
    """Data centre."""
    kind: Literal["entry", "backend"]
    """Whether the tier runs on the host, or a backend server."""
    state: Literal["live", "leaving"]
    """A host that is gone is not listed."""


class _Version(NamedTuple):
    set_at: float
    """CLOCK_BOOTTIME, in seconds."""
    hosts: list[HostBody]
    """The list since then."""


class HostListService(StandIn):
    """Serves one list of hosts."""

    def __init__(self, *, hosts: list[HostBody], seed: int = 0) -> None:
        """Creates a list.

        Args:
            hosts: First list; it counts as old, whatever the lag.
            seed: Seed of faults that strike a share.
        """
        super().__init__(faults=HOST_LIST_FAULTS, generator=random.Random(seed))
        self._clock = SystemClock()
        self._first_hosts = hosts
        self.reset()

    def reset(self) -> None:
        """Returns to the first list."""
        self._versions = deque([_Version(0.0, self._first_hosts)])
        self._calls = 0

    def counters(self, query: dict[str, str]) -> dict[str, Any]:
        """Returns the number of calls."""
        return {"calls": {"list_hosts": self._calls}, "calls_total": self._calls}

    async def administer(
        self, method: str, path: str, query: dict[str, str], body: Any
    ) -> tuple[int, Any] | None:
        """Answers `PUT /admin/hosts`, which sets the true list."""
        if (method, path) != ("PUT", "/admin/hosts"):
            return None
        hosts = msgspec.convert(body["hosts"], list[HostBody])
        now = self._clock.now()
        self._versions.append(_Version(now, hosts))
        while len(self._versions) > 1 and self._versions[1].set_at < now - _HISTORY_SECONDS:
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
            await self._list(connection, send)
        connection.on_disconnect = None

    async def _list(self, connection: Connection, send: Send) -> None:
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
        lag = self.faults.value("lag_seconds")
        shown_at = self._clock.now() - lag
        hosts = [version for version in self._versions if version.set_at <= shown_at][-1].hosts
        await send_json(send, 200, {"hosts": hosts, "as_of": time.time() - lag})
