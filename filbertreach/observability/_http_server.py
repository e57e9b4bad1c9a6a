"""HTTP server of a daemon: uvicorn with a graceful stop."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator

import anyio
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from filbertreach.observability._health import Application
from filbertreach.observability._logs import get_logger

_KEEP_ALIVE_SECONDS = 65
"""Time after which an idle connection of an HTTP client is closed."""
_LAST_REQUEST_SECONDS = 0.25
"""Time after the listener is closed in which a request that is already on its way is still read, on
a connection without a request in progress."""
_MAX_OVERHEAD_BYTES = 64 * 1024
"""Bytes of a request other than its body: request line, headers, chunk framing and trailers."""
_MAX_OVERHEAD_PER_BODY_BYTE = 8
"""Additional overhead for each byte of the body; a chunk of one byte has five bytes of framing."""
_STALL_SECONDS = 20.0
"""Time after which a connection is closed on which no more of a request arrives, or of whose
response the client takes nothing. A connection may go silent without being closed."""
_HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)

_LOGGER = get_logger(__name__)


class _BoundedProtocol(HttpToolsProtocol):
    """Closes a connection whose request has no end, or that stalls within an exchange.

    uvicorn limits neither head, chunk framing and trailers of a request nor the time in which a
    request arrives and its response is taken. It does limit how much of a body is read before the
    application takes it, and the application limits the body.
    """

    _stall_timer: asyncio.TimerHandle | None = None
    _in_request = False
    _overhead_bytes = 0
    _body_bytes = 0

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._in_request = True
        self._overhead_bytes = self._body_bytes = 0
        super().on_message_begin()

    def on_body(self, body: bytes) -> None:
        """Counts a chunk of the body."""
        self._body_bytes += len(body)
        # Bytes of the body are no overhead; `data_received` adds them after the parser has run.
        self._overhead_bytes -= len(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Ends a request."""
        self._in_request = False
        super().on_message_complete()

    def data_received(self, data: bytes) -> None:
        """Parses bytes from the client, and checks the limit if the request is incomplete."""
        super().data_received(data)
        if not self.flow.write_paused:
            self._stop_stall_timer()
        if not self._in_request or self.transport.is_closing():
            return
        self._start_stall_timer()
        self._overhead_bytes += len(data)
        max_bytes = _MAX_OVERHEAD_BYTES + _MAX_OVERHEAD_PER_BODY_BYTE * self._body_bytes
        if self._overhead_bytes > max_bytes:
            _LOGGER.warning("request without end", client=self.client, max_bytes=max_bytes)
            if self.cycle is None or self.cycle.response_complete:
                self.transport.write(_HEAD_TOO_LARGE)
            self.transport.close()

    def pause_writing(self) -> None:
        """Waits until the client takes more of the response, for a limited time."""
        super().pause_writing()
        self._start_stall_timer()

    def resume_writing(self) -> None:
        """Ends the wait for the client."""
        self._stop_stall_timer()
        super().resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the exchange of a closed connection."""
        self._stop_stall_timer()
        super().connection_lost(exc)

    def timeout_keep_alive_handler(self) -> None:
        """Closes an idle connection, also one whose last response the client did not take."""
        super().timeout_keep_alive_handler()
        if self.transport.get_write_buffer_size():
            self.transport.abort()

    def _start_stall_timer(self) -> None:
        self._stop_stall_timer()
        self._stall_timer = self.loop.call_later(_STALL_SECONDS, self._abort_stalled)

    def _stop_stall_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None

    def _abort_stalled(self) -> None:
        _LOGGER.warning("connection stalled", client=self.client, seconds=_STALL_SECONDS)
        self.transport.abort()


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

    def _create_protocol(self) -> _BoundedProtocol:
        return _BoundedProtocol(
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
                http=_BoundedProtocol,
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
