"""HTTP server of a daemon: uvicorn with a graceful stop."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator

import anyio
import uvicorn

from filbertreach.observability._health import Application
from filbertreach.observability._http_protocol import create_protocol
from filbertreach.observability._logs import get_logger
from filbertreach.receive_limits import SmallReads

_KEEP_ALIVE_SECONDS = 65
"""Time after which an idle connection of an HTTP client is closed."""
_LAST_REQUEST_SECONDS = 0.25
"""Time after the listener is closed in which a request that is already on its way is still read, on
a connection without a request in progress."""

_LOGGER = get_logger(__name__)


class _Server(uvicorn.Server):
    """A uvicorn server that resets no connection whose request it has not read yet."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Installs no signal handlers; the daemon handles signals."""
        yield

    def close_listeners(self) -> None:
        """Stops listening and accepts the connections that are still in the backlog.

        Closing a listener resets the connections of its backlog, whose clients may already have
        sent a request. The duplicate of the listener keeps them until they are accepted.
        """
        for server in self.servers:
            duplicates = [listener.dup() for listener in server.sockets]
            server.close()
            for listener in duplicates:
                with listener:
                    self._accept_backlog(listener)

    def _accept_backlog(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        listener.setblocking(False)
        while True:
            try:
                connection, _ = listener.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                # The client has closed the connection.
                continue
            except OSError as error:
                _LOGGER.warning("cannot accept connections of the backlog", error=str(error))
                return
            task = loop.create_task(loop.connect_accepted_socket(self._create_protocol, connection))
            task.add_done_callback(self.server_state.tasks.discard)
            self.server_state.tasks.add(task)  # type: ignore[arg-type]

    def _create_protocol(self) -> SmallReads:
        return create_protocol(
            config=self.config, server_state=self.server_state, app_state=self.lifespan.state
        )

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """Closes the connections once their requests are answered; see `uvicorn.Server`."""
        await asyncio.sleep(_LAST_REQUEST_SECONDS)
        await super().shutdown(sockets)


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
                http=create_protocol,  # type: ignore[arg-type]
                log_config=None,
                access_log=False,
                lifespan="off",
                ws="none",
                server_header=False,
                timeout_keep_alive=keep_alive_seconds,
                timeout_graceful_shutdown=max(1, round(drain_seconds)),
            )
        )
        self._stopped = anyio.Event()

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
            finally:
                self._stopped.set()
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
        """Stops listening, and lets requests in progress and those already sent finish."""
        self._server.close_listeners()
        self._server.should_exit = True

    async def wait_stopped(self) -> None:
        """Returns once the last connection is closed after `stop`, or the drain time is over."""
        await self._stopped.wait()
