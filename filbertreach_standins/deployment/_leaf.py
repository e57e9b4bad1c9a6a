"""Stand-in for a leaf of a deployment."""

import os
import random
from typing import Any

import anyio

from filbertreach.timing import SystemClock
from filbertreach_standins._faults import Fault, non_negative_number, one_of
from filbertreach_standins._http import Receive, Send, read_body, send_bytes, send_json
from filbertreach_standins._server import Connection, StandIn
from filbertreach_standins.endless import ENDLESS_RESPONSES

DEPLOYMENT_LEAF_FAULTS = (
    Fault("work_ms", 5.0, non_negative_number, "time that a request takes"),
    Fault("grey", 0.0, non_negative_number, "share of the requests that fail with 500"),
    Fault(
        "request_limit",
        0.0,
        non_negative_number,
        "requests per second that answers name as the limit of the leaf; 0: none",
    ),
    Fault(
        "waiting",
        0.0,
        non_negative_number,
        "waiting calls that answers name, besides 4 running ones on 4 slots; 0: no load is named",
    ),
    Fault("leaving", False, one_of(False, True), "true: answers say that the leaf is leaving"),
    Fault(
        "retry_after",
        0.0,
        non_negative_number,
        "seconds that a 503 names, with which each request is refused; 0: none is refused",
    ),
    Fault("hang", False, one_of(False, True), "true: requests are never answered"),
    Fault(
        "crash_on",
        "",
        str,
        "text in the path with which a request ends the process at once; empty: none does",
    ),
    Fault(
        "endless",
        False,
        one_of(False, *ENDLESS_RESPONSES),
        "part of the answer that is sent as fast as the connection takes it, until it closes",
    ),
)
"""Faults in addition to `CONNECTION_FAULTS`."""
KEY_PREFIX = "soak-key-"
"""Start of the API keys of runs; a leaf records whether a request contains it."""
_CRASH_EXIT_CODE = 70
"""Exit code of a leaf that a request has crashed."""
_WRITTEN_BYTES = 16_384
_MAX_UNSENT_BYTES = 1_000_000


def records_of(leaf_id: str) -> bytes:
    """Returns the body of every answer of a leaf: three unsorted records of 16 bytes.

    Args:
        leaf_id: Id of the leaf.
    """
    return b"".join(f"{leaf_id}-{n}".encode().ljust(16, b"-") for n in (1, 0, 2))


class DeploymentLeaf(StandIn):
    """Executes each request and stamps the answer with leaf id, request id, count and status."""

    def __init__(self, *, leaf_id: str, seed: int = 0) -> None:
        """Creates a leaf without executions.

        Args:
            leaf_id: Id of the leaf.
            seed: Seed of faults that affect a share of requests.
        """
        super().__init__(faults=DEPLOYMENT_LEAF_FAULTS, generator=random.Random(seed))
        self._leaf_id = leaf_id
        self._clock = SystemClock()
        self._executions: list[dict[str, Any]] = []
        self._refusals: list[dict[str, Any]] = []

    def counters(self, query: dict[str, str]) -> dict[str, Any]:
        """Returns the number of requests executed, and of those refused with a time."""
        return {"executions": len(self._executions), "refused": len(self._refusals)}

    def reset(self) -> None:
        """Clears the record of executions and refusals."""
        self._executions.clear()
        self._refusals.clear()

    async def administer(
        self, method: str, path: str, query: dict[str, str], body: Any
    ) -> tuple[int, Any] | None:
        """Answers `GET /admin/executions` and `GET /admin/refusals`.

        Both list request id, CLOCK_BOOTTIME, named account and whether the request had a key.
        """
        if (method, path) == ("GET", "/admin/executions"):
            return 200, self._executions
        if (method, path) == ("GET", "/admin/refusals"):
            return 200, self._refusals
        return None

    async def handle(
        self, connection: Connection, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Executes a request, unless `x-expect-instance` names another leaf."""
        headers = {name.lower(): value for name, value in scope["headers"]}
        body = await read_body(receive)
        if body is None:
            return
        if headers.get(b"x-expect-instance", self._leaf_id.encode()).decode() != self._leaf_id:
            await send_json(send, 421, {}, [(b"x-not-executed", b"1")])
            return
        request_id = headers.get(b"x-request-id", b"")
        if (marker := self.faults.value("crash_on")) and marker in scope["path"]:
            # As after a crash, all connections are reset and new ones are refused.
            os._exit(_CRASH_EXIT_CODE)
        if seconds := self.faults.value("retry_after"):
            self._refusals.append({**self._describe(scope, body), "seconds": seconds})
            refusal = [
                (b"x-request-id", request_id),
                (b"x-not-executed", b"1"),
                (b"retry-after", str(seconds).encode()),
            ]
            await send_json(send, 503, {}, refusal)
            return
        self._executions.append(self._describe(scope, body))
        execution_count = len(self._executions)
        if self.faults.value("hang"):
            await anyio.sleep_forever()
        if endless := self.faults.value("endless"):
            await _send_without_end(connection, endless)
            return
        await anyio.sleep(self.faults.value("work_ms") / 1000.0)
        status = 500 if self.generator.random() < self.faults.value("grey") else 200
        stamp = f"{self._leaf_id}.{request_id.decode()}.{execution_count}.{status}".encode()
        stamp_headers = [(b"x-request-id", request_id), (b"x-server-stamp", stamp)]
        if limit := self.faults.value("request_limit"):
            stamp_headers.append((b"server-limit", str(limit).encode()))
        if waiting := int(self.faults.value("waiting")):
            stamp_headers.append((b"x-server-load", f"4,{waiting},4".encode()))
        if self.faults.value("leaving"):
            stamp_headers.append((b"server-leaving", b"1"))
        await send_bytes(send, status, records_of(self._leaf_id), stamp_headers)

    def _describe(self, scope: dict[str, Any], body: bytes) -> dict[str, Any]:
        """Returns what is recorded of a request that is executed or refused now."""
        headers = {name.lower(): value for name, value in scope["headers"]}
        path = scope["path"].encode()
        parts = [path, scope["query_string"], body, *headers.values()]
        return {
            "id": headers.get(b"x-request-id", b"").decode(),
            "at": self._clock.now(),
            "account": headers.get(b"x-tenant", b"").decode(errors="replace"),
            "has_key": b"x-api-key" in headers
            or any(KEY_PREFIX.encode() in part for part in parts),
        }


async def _send_without_end(connection: Connection, part: str) -> None:
    """Sends an answer until the connection is closed."""
    transport = connection.transport
    start, unit = ENDLESS_RESPONSES[part]
    repeated = unit * max(1, _WRITTEN_BYTES // len(unit))
    transport.write(start)
    while not transport.is_closing():
        if transport.get_write_buffer_size() < _MAX_UNSENT_BYTES:
            transport.write(repeated)
            await anyio.sleep(0)
        else:
            await anyio.sleep(0.001)
