"""Start and graceful stop that all daemons share."""

import gc
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import anyio

from filbertreach.observability._health import Application, Health, HttpServer
from filbertreach.observability._logs import configure_logs, get_logger
from filbertreach.observability._resources import raise_open_files_limit
from filbertreach.schema import Settings

_LOGGER = get_logger(__name__)
_READINESS_SECONDS = 1.0
"""Time in which the balancer notices that readiness dropped, before the listener closes."""
EXIT_FAILED = 1
"""Exit code of a daemon that could not start or failed."""


class DaemonOptions(NamedTuple):
    """What a daemon is run with."""

    settings: Settings
    """Checked settings."""
    health: Health
    """Readiness."""
    application: Application
    """ASGI application that the daemon serves, health endpoints included."""
    drain: Callable[[float], Awaitable[None]]
    """Ends work in progress within the given seconds; called after readiness dropped."""
    on_shutdown: Callable[[], None]
    """Called at once when a stop is asked for, before readiness is seen to drop."""


async def run_daemon(options: DaemonOptions) -> None:
    """Serves HTTP until SIGTERM or SIGINT, then stops gracefully.

    The order is: readiness drops, the balancer gets time to notice, the listener closes while
    requests in progress end, then the daemon's own work ends.

    Args:
        options: The daemon.
    """
    process = options.settings["process"]
    drain_seconds = process.get("drain_seconds", 20.0)
    server = HttpServer(
        address=process["http"], application=options.application, drain_seconds=drain_seconds
    )
    # The receiver stays open while draining: a second signal must not cut requests in progress.
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as group:
            await group.start(_serve, server)
            _LOGGER.info("started", http=process["http"], inbox=process["inbox"])
            async for number in signals:
                _LOGGER.info("stopping", signal=signal.Signals(number).name)
                break
            options.health.set("process", "the process is stopping")
            options.on_shutdown()
            await anyio.sleep(min(_READINESS_SECONDS, drain_seconds))
            server.stop()
            await options.drain(drain_seconds)
    _LOGGER.info("stopped")


async def _serve(server: HttpServer, *, task_status: anyio.abc.TaskStatus[None]) -> None:
    await server.run(task_status=task_status)


def run_main(main: Callable[[], Awaitable[None]], *, settings: Settings) -> int:
    """Runs a daemon's main coroutine.

    Args:
        main: Coroutine function.
        settings: Checked settings.

    Returns:
        Exit code: 0 after a graceful stop, 1 after a failure, which is logged.
    """
    observability = settings.get("observability", {})
    configure_logs(
        level=observability.get("log_level", "info"), process=settings["process"]["name"]
    )
    raise_open_files_limit()
    # Most objects of a query die young; a higher threshold halves the time spent in collections.
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
    """Returns a number that grows from one start of a process to the next."""
    return time.time_ns() // 1_000_000
