"""Start and graceful shutdown of a daemon."""

import gc
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import anyio

from filbertreach.observability._health import Application, Health
from filbertreach.observability._http_server import HttpServer
from filbertreach.observability._logs import configure_logs, get_logger
from filbertreach.observability._resources import raise_open_files_limit
from filbertreach.schema import Settings

_LOGGER = get_logger(__name__)
_READINESS_GRACE_SECONDS = 1.0
"""Time for the load balancer to see that the process is not ready, before the listener closes."""
EXIT_FAILED = 1
"""Exit code of a daemon that failed or could not start."""


class DaemonOptions(NamedTuple):
    """Settings and callbacks of a daemon."""

    settings: Settings
    """Validated settings."""
    health: Health
    """Readiness state."""
    application: Application
    """ASGI application that the daemon serves, including the health endpoints."""
    drain: Callable[[float], Awaitable[None]]
    """Finishes work in progress within the given seconds; called after the readiness grace
    period."""
    on_shutdown: Callable[[], None]
    """Called as soon as shutdown is requested, before the readiness grace period."""


async def run_daemon(options: DaemonOptions) -> None:
    """Serves HTTP until SIGTERM or SIGINT, then shuts down gracefully.

    On shutdown the process reports that it is not ready and gives the load balancer time to see
    this. Then it closes the listener, lets requests in progress finish, and finishes the daemon's
    own work.

    Args:
        options: Settings and callbacks of the daemon.
    """
    process = options.settings["process"]
    drain_seconds = process.get("drain_seconds", 20.0)
    server = HttpServer(
        address=process["http"], application=options.application, drain_seconds=drain_seconds
    )
    # The receiver stays open while draining, so that a second signal does not abort requests.
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as group:
            await group.start(_serve, server)
            _LOGGER.info("started", http=process["http"], inbox=process["inbox"])
            async for number in signals:
                _LOGGER.info("stopping", signal=signal.Signals(number).name)
                break
            options.health.set("process", "the process is stopping")
            options.on_shutdown()
            await anyio.sleep(min(_READINESS_GRACE_SECONDS, drain_seconds))
            server.stop()
            await options.drain(drain_seconds)
    _LOGGER.info("stopped")


async def _serve(server: HttpServer, *, task_status: anyio.abc.TaskStatus[None]) -> None:
    await server.run(task_status=task_status)


def run_main(main: Callable[[], Awaitable[None]], *, settings: Settings) -> int:
    """Runs a daemon's main coroutine.

    Args:
        main: Coroutine function.
        settings: Validated settings.

    Returns:
        Exit code: 0 after a graceful shutdown, 1 after a failure, which is logged.
    """
    observability = settings.get("observability", {})
    configure_logs(
        level=observability.get("log_level", "info"), process=settings["process"]["name"]
    )
    raise_open_files_limit()
    # Most objects of a query are short-lived; higher thresholds halve the time in collections.
    gc.set_threshold(50_000, 20, 50)
    try:
        anyio.run(main, backend_options={"use_uvloop": True})
    except BaseException as error:
        if isinstance(error, KeyboardInterrupt):
            return 0
        _LOGGER.error("failed", error=repr(error), exc_info=True)
        return EXIT_FAILED
    finally:
        sys.stderr.flush()
    return 0


def new_incarnation() -> int:
    """Returns a number that increases with each start of a process: the time in milliseconds."""
    return time.time_ns() // 1_000_000
