"""ASGI applications for callers and for the load balancer's readiness checks."""

from typing import TYPE_CHECKING

import anyio

from filbertreach.decisions import RequestArrival
from filbertreach.observability import (
    FIRST_REQUEST_EXTENSION,
    RECEIVED_EXTENSION,
    ROUND_TRIP_EXTENSION,
    Application,
    ClientDisconnectedError,
    Health,
    Receive,
    RequestTooLargeError,
    Scope,
    Send,
    read_request_body,
    respond,
)
from filbertreach.platform import READY_PATH, CallerAnswer, read_request_head, refuse

if TYPE_CHECKING:
    from filbertreach.gateway._process import GatewayProcess, HandledRequest


def caller_application(process: "GatewayProcess") -> Application:
    """Creates the ASGI application that serves callers.

    Args:
        process: Handles the requests and bounds the size of their bodies.
    """

    async def application(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        try:
            body = await read_request_body(receive, max_bytes=process.max_body_bytes)
        except ClientDisconnectedError:
            return
        except RequestTooLargeError:
            await _send(send, refuse(413, "the body is too large"), close_connection=True)
            return
        target = scope["raw_path"]
        if scope["query_string"]:
            target = target + b"?" + scope["query_string"]
        request = read_request_head(
            method=scope["method"], target=target, headers=scope["headers"], body=body
        )
        handled: HandledRequest | None = None
        async with anyio.create_task_group() as group:

            async def cancel_on_disconnect() -> None:
                while (await receive())["type"] != "http.disconnect":
                    pass
                group.cancel_scope.cancel()

            group.start_soon(cancel_on_disconnect)
            handled = await process.handle(request, arrival=_arrival(scope))
            group.cancel_scope.cancel()
        if handled is not None:
            await _send(send, handled.answer, close_connection=process.is_stopping)
            process.record_sent(handled)

    return application


def _arrival(scope: Scope) -> RequestArrival:
    extensions = scope.get("extensions", {})
    return RequestArrival(
        is_first_on_connection=FIRST_REQUEST_EXTENSION in extensions,
        round_trip_seconds=extensions.get(ROUND_TRIP_EXTENSION, {}).get("seconds"),
        received_at=extensions.get(RECEIVED_EXTENSION, {}).get("at"),
    )


async def _send(send: Send, answer: CallerAnswer, *, close_connection: bool) -> None:
    headers = [*answer.headers, (b"content-length", str(len(answer.body)).encode())]
    if close_connection:
        headers.append((b"connection", b"close"))
    await send({"type": "http.response.start", "status": answer.status, "headers": headers})
    await send({"type": "http.response.body", "body": answer.body})


def ready_application(health: Health) -> Application:
    """Creates the ASGI application that answers the load balancer's readiness checks.

    It answers 200 if the gateway accepts new connections, and 503 with the reasons otherwise.

    Args:
        health: Readiness of the process.
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
