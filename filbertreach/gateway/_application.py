"""HTTP interface towards callers and the balancer."""

from typing import TYPE_CHECKING

import anyio

from filbertreach.observability import Application, Health, Receive, Scope, Send, respond
from filbertreach.platform import READY_PATH, CallerAnswer, read_request_head, refuse

if TYPE_CHECKING:
    from filbertreach.gateway._process import GatewayProcess


class _CallerLeftError(Exception):
    """The caller closed its connection."""


def caller_application(process: "GatewayProcess") -> Application:
    """Makes the ASGI application for callers.

    Args:
        process: Handles the requests.
    """

    async def application(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        try:
            body = await _read_body(receive, process.max_body_bytes)
        except _CallerLeftError:
            return
        if body is None:
            await _send(send, refuse(413, "the body is too large"), closing=True)
            return
        target = scope["raw_path"]
        if scope["query_string"]:
            target = target + b"?" + scope["query_string"]
        request = read_request_head(
            method=scope["method"], target=target, headers=scope["headers"], body=body
        )
        answer: CallerAnswer | None = None
        async with anyio.create_task_group() as group:

            async def watch_caller() -> None:
                while (await receive())["type"] != "http.disconnect":
                    pass
                group.cancel_scope.cancel()

            group.start_soon(watch_caller)
            answer = await process.handle(request)
            group.cancel_scope.cancel()
        if answer is not None:
            await _send(send, answer, closing=process.is_stopping)

    return application


async def _read_body(receive: Receive, most: int) -> bytes | None:
    parts: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise _CallerLeftError
        part = message.get("body", b"")
        size += len(part)
        if size > most:
            return None
        parts.append(part)
        if not message.get("more_body", False):
            return b"".join(parts)


async def _send(send: Send, answer: CallerAnswer, *, closing: bool) -> None:
    headers = [*answer.headers, (b"content-length", str(len(answer.body)).encode())]
    if closing:
        headers.append((b"connection", b"close"))
    await send({"type": "http.response.start", "status": answer.status, "headers": headers})
    await send({"type": "http.response.body", "body": answer.body})


def ready_application(health: Health) -> Application:
    """Makes the ASGI application that tells the balancer whether new connections are wanted.

    Args:
        health: Readiness.
    """

    async def application(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        if scope["path"] != READY_PATH:
            await respond(send, 404, b"not found\n", "text/plain")
            return
        reasons = ", ".join(health.reasons_by_component.values()) or "ready"
        status = 200 if health.ready else 503
        await respond(send, status, reasons.encode() + b"\n", "text/plain")

    return application
