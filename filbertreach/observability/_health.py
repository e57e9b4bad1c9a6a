"""Readiness of a daemon, and its endpoints for liveness, readiness and metrics."""

import json
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import prometheus_client

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]


class Health:
    """Readiness state of a process, as reported to the platform's load balancer.

    A process is live while it responds, and ready while no component has a reason for not being
    ready.
    """

    def __init__(self) -> None:
        """Creates a state that is ready."""
        self.reasons_by_component: dict[str, str] = {}

    def set(self, component: str, reason: str) -> None:
        """Sets or clears the reason why a component is not ready.

        Args:
            component: Component of the process.
            reason: Human-readable reason; empty if the component is ready.
        """
        if reason:
            self.reasons_by_component[component] = reason
        else:
            self.reasons_by_component.pop(component, None)

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send new requests."""
        return not self.reasons_by_component


async def respond(send: Send, status: int, body: bytes, content_type: str) -> None:
    """Sends a complete HTTP response.

    Args:
        send: ASGI send callable.
        status: HTTP status.
        body: Body.
        content_type: Value of the content-type header.
    """
    headers = [
        (b"content-type", content_type.encode()),
        (b"content-length", str(len(body)).encode()),
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


def health_application(health: Health, fallback: Application | None = None) -> Application:
    """Returns an ASGI application with `/livez`, `/readyz` and `/metrics`.

    Args:
        health: State that `/readyz` reports.
        fallback: Application for all other paths; if None, they get status 404.

    Returns:
        The application.
    """

    async def application(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        path = scope["path"]
        if path == "/livez":
            await respond(send, 200, b'{"alive": true}\n', "application/json")
        elif path == "/readyz":
            body = {"ready": health.ready, "reasons": health.reasons_by_component}
            status = 200 if health.ready else 503
            await respond(send, status, json.dumps(body).encode() + b"\n", "application/json")
        elif path == "/metrics":
            text = prometheus_client.generate_latest()
            await respond(send, 200, text, prometheus_client.CONTENT_TYPE_LATEST)
        elif fallback is not None:
            await fallback(scope, receive, send)
        else:
            await respond(send, 404, b'{"title": "not found"}\n', "application/problem+json")

    return application
