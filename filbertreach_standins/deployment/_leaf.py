"""Stand-in for a leaf of a deployment."""

import random
from typing import Any

import anyio

from filbertreach.timing import SystemClock
from filbertreach_standins._faults import Fault, non_negative_number, one_of
from filbertreach_standins._http import Receive, Send, read_body, send_bytes, send_json
from filbertreach_standins._server import Connection, StandIn

LEAF_FAULTS = (
    Fault("work_ms", 5.0, non_negative_number, "time that a request takes"),
    Fault("grey", 0.0, non_negative_number, "share of the requests that fail with 500"),
    Fault("hang", False, one_of(False, True), "true: requests are never answered"),
)
"""Faults beside those of connections."""


def records_of(leaf_id: str) -> bytes:
    """Returns the body of each answer of a leaf: records of 16 bytes, in no order.

    Args:
        leaf_id: Its id.
    """
    return b"".join(f"{leaf_id}-{n}".encode().ljust(16, b"-") for n in (1, 0, 2))


class DeploymentLeaf(StandIn):
    """Runs each request it gets and signs the answer."""

    def __init__(self, *, leaf_id: str, seed: int = 0) -> None:
        """Creates a leaf that ran nothing.

        Args:
            leaf_id: Its id.
            seed: Seed for faults that strike a share.
        """
        super().__init__(faults=LEAF_FAULTS, generator=random.Random(seed))
        self._id = leaf_id
        self._clock = SystemClock()
        self._executions: list[dict[str, Any]] = []

    def counters(self, query: dict[str, str]) -> dict[str, Any]:
        """Returns the number of requests that ran."""
        return {"executions": len(self._executions)}

    def reset(self) -> None:
        """Forgets the requests that ran."""
        self._executions.clear()

    async def administer(
        self, method: str, path: str, query: dict[str, str], body: Any
    ) -> tuple[int, Any] | None:
        """Shows id and CLOCK_BOOTTIME of the requests that ran: `GET /admin/executions`."""
        if (method, path) == ("GET", "/admin/executions"):
            return 200, self._executions
        return None

    async def handle(
        self, connection: Connection, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Runs a request, unless it is meant for another leaf."""
        headers = {name.lower(): value for name, value in scope["headers"]}
        if await read_body(receive) is None:
            return
        if headers.get(b"x-expect-instance", self._id.encode()).decode() != self._id:
            await send_json(send, 421, {}, [(b"x-not-executed", b"1")])
            return
        request_id = headers.get(b"x-request-id", b"")
        self._executions.append({"id": request_id.decode(), "at": self._clock.now()})
        number = len(self._executions)
        if self.faults.value("hang"):
            await anyio.sleep_forever()
        await anyio.sleep(self.faults.value("work_ms") / 1000.0)
        status = 500 if self.generator.random() < self.faults.value("grey") else 200
        stamp = f"{self._id}.{request_id.decode()}.{number}.{status}".encode()
        signed = [(b"x-request-id", request_id), (b"x-server-stamp", stamp)]
        await send_bytes(send, status, records_of(self._id), signed)
