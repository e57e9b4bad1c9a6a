"""HTTP server of a daemon, with the endpoints for liveness, readiness and metrics."""

import contextlib
import json
from collections.abc import Awaitable, Callable, Iterator, MutableMapping
from typing import Any

import anyio
import prometheus_client
import uvicorn

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]

_KEEP_ALIVE_SECONDS = 65
"""Time after which an idle connection of an HTTP client is closed."""


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


class _Server(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Installs no signal handlers; the daemon handles signals."""
        yield


class HttpServer:
    """A uvicorn server that stops on request instead of on signals."""

    def __init__(
        self,
        *,
        address: str,
        application: Application,
        drain_seconds: float,
        keep_alive_seconds: int = _KEEP_ALIVE_SECONDS,
    ) -> None:
        """Creates a server that is not running.

        Args:
            address: ip:port to listen on.
            application: ASGI application.
            drain_seconds: Maximum wait for requests in progress on shutdown.
            keep_alive_seconds: Time after which an idle connection is closed.
        """
        host, port = address.rsplit(":", 1)
        self._server = _Server(
            uvicorn.Config(
                application,
                host=host,
                port=int(port),
                http="httptools",
                log_config=None,
                access_log=False,
                lifespan="off",
                ws="none",
                server_header=False,
                timeout_keep_alive=keep_alive_seconds,
                timeout_graceful_shutdown=max(1, round(drain_seconds)),
            )
        )

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Serves until `stop` is called.

        Args:
            task_status: Notified when the server listens.

        Raises:
            OSError: The server can't listen on the address.
        """
        failed = False
        async with anyio.create_task_group() as group:
            group.start_soon(self._report_started, task_status)
            try:
                await self._server.serve()
            except SystemExit:
                failed = True
            group.cancel_scope.cancel()
        if failed:
            # Raised outside the task group, which would wrap it in an exception group.
            config = self._server.config
            raise OSError(f"can't listen on {config.host}:{config.port}")

    async def _report_started(self, task_status: anyio.abc.TaskStatus[None]) -> None:
        while not self._server.started:
            await anyio.sleep(0.005)
        task_status.started()

    def stop(self) -> None:
        """Stops listening, and lets requests in progress finish."""
        self._server.should_exit = True
