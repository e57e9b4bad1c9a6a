"""HTTP server of a daemon: liveness, readiness and metrics."""

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
"""Time after which an idle connection of a caller is closed."""


class Health:
    """What the platform's balancer is told.

    A process is alive while it answers; it is ready while no reason speaks against it.
    """

    def __init__(self) -> None:
        """Starts without reasons against readiness."""
        self.reasons_by_component: dict[str, str] = {}

    def set(self, part: str, reason: str) -> None:
        """Sets or removes a reason against readiness.

        Args:
            part: Part of the process that the reason comes from.
            reason: Reason for a person; empty if there is none.
        """
        if reason:
            self.reasons_by_component[part] = reason
        else:
            self.reasons_by_component.pop(part, None)

    @property
    def ready(self) -> bool:
        """Whether the balancer should send new work."""
        return not self.reasons_by_component


async def respond(send: Send, status: int, body: bytes, content_type: str) -> None:
    """Sends a whole HTTP response.

    Args:
        send: ASGI send.
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
    """Makes an ASGI application with `/livez`, `/readyz` and `/metrics`.

    Args:
        health: State that is shown.
        fallback: Application for all other paths; 404 if None.

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
        """Leaves signals to the daemon."""
        yield


class HttpServer:
    """A uvicorn server that is stopped by the daemon."""

    def __init__(
        self,
        *,
        address: str,
        application: Application,
        drain_seconds: float,
        keep_alive_seconds: int = _KEEP_ALIVE_SECONDS,
    ) -> None:
        """Prepares the server.

        Args:
            address: ip:port to listen on.
            application: ASGI application.
            drain_seconds: Longest wait for requests in progress when stopping.
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
        """Serves until `stop`; reports started when it listens.

        Args:
            task_status: Told when the server listens.

        Raises:
            OSError: The address can't be listened on.
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
            # Outside the group, which would wrap it.
            config = self._server.config
            raise OSError(f"can't listen on {config.host}:{config.port}")

    async def _report_started(self, task_status: anyio.abc.TaskStatus[None]) -> None:
        while not self._server.started:
            await anyio.sleep(0.005)
        task_status.started()

    def stop(self) -> None:
        """Stops listening and lets requests in progress end."""
        self._server.should_exit = True
