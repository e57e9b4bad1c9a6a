"""Command line of filbertreach-gateway, and the servers of its process."""

import argparse
import gc
import os
import pathlib
import signal
import sys

import anyio
from returns.result import Failure, Success

from filbertreach.gateway._application import caller_application, ready_application
from filbertreach.gateway._neighbour_application import neighbour_application
from filbertreach.gateway._process import GatewayProcess
from filbertreach.observability import (
    Application,
    Health,
    HttpServer,
    LogLimiter,
    LogRate,
    configure_bounded_logs,
    get_logger,
    health_application,
    raise_open_files_limit,
)
from filbertreach.platform import SETTINGS_VARIABLE, HostSettings, load_boot, parse_address
from filbertreach.timing import TimerService

EXIT_SETTINGS = 2
"""Exit code when the settings can't be used."""
EXIT_FAILED = 1
"""Exit code after a failure, which is logged."""
_RATE_BY_KIND = {
    "request ok": LogRate(20.0, 40.0),
    "request failed": LogRate(50.0, 200.0),
    "leaf listed": LogRate(50.0, 500.0),
    "leaf unlisted": LogRate(50.0, 500.0),
}
"""Lines of requests that were answered whole are the first to be dropped."""
_OTHER_RATE = LogRate(5.0, 50.0)
_METRICS_PORT = 9464
"""Port of the metrics; deploy/system.toml names it too."""
_SETTINGS_SECONDS = 2.0
"""Time between two looks at the settings file."""
_POLL_SECONDS = 0.02
_FLUSH_SECONDS = 0.1
_IDLE_SECONDS = 75
"""Time after which an idle connection of a caller is closed; longer than callers reuse one."""
_LEAVE_SHARE = 0.6
"""Part of the grace period after which idle connections are closed; the balancer asks for
readiness once a second and believes the second bad answer."""
_END_SHARE = 0.92
"""Part of the grace period after which the process ends whatever is in progress."""

_LOGGER = get_logger(__name__)


def _reload(process: GatewayProcess, path: str | None) -> None:
    """Takes over changed settings; settings that can't be used leave the old ones in force."""
    match load_boot(path):
        case Success(settings):
            process.reload(settings)
        case Failure(error):
            _LOGGER.error("settings not reloaded", error=str(error))


async def _reload_changed(process: GatewayProcess, path: str | None, known: int) -> None:
    """Takes over settings whose file changed without a signal."""
    while True:
        await anyio.sleep(_SETTINGS_SECONDS)
        modified = _modified_at(path)
        if modified != known:
            known = modified
            _reload(process, path)


def _modified_at(path: str | None) -> int:
    file = pathlib.Path(path or os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        return file.stat().st_mtime_ns
    except OSError as error:
        _LOGGER.warning("settings file not found", error=str(error))
        return 0


async def _serve_metrics(settings: HostSettings, health: Health) -> None:
    """Serves metrics for as long as the process runs; it runs without them too."""
    host, _ = parse_address(settings.serve_address)
    server = HttpServer(
        address=f"{host}:{_METRICS_PORT}",
        application=health_application(health),
        drain_seconds=1.0,
    )
    async with anyio.create_task_group() as group:
        try:
            await group.start(server.run)
        except OSError as error:
            _LOGGER.warning("no metrics", error=str(error))


async def _serve_neighbours(address: str, application: Application) -> None:
    """Serves gateways of other hosts; without it they read the store themselves."""
    server = HttpServer(
        address=address,
        application=application,
        drain_seconds=1.0,
        keep_alive_seconds=_IDLE_SECONDS,
    )
    async with anyio.create_task_group() as group:
        try:
            await group.start(server.run)
        except OSError as error:
            _LOGGER.warning("neighbours can't be served", error=str(error))


async def _serve(settings: HostSettings, path: str | None, modified: int) -> None:
    health = Health()
    async with (
        TimerService() as timers,
        GatewayProcess(settings=settings, timers=timers, health=health) as process,
    ):
        grace = settings.bounds.grace_seconds
        front = HttpServer(
            address=settings.serve_address,
            application=caller_application(process),
            drain_seconds=max(1.0, (_END_SHARE - _LEAVE_SHARE) * grace),
            keep_alive_seconds=_IDLE_SECONDS,
        )
        ready = HttpServer(
            address=settings.ready_address,
            application=ready_application(health),
            drain_seconds=1.0,
            keep_alive_seconds=_IDLE_SECONDS,
        )
        handled = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with anyio.open_signal_receiver(*handled) as signals:
            async with anyio.create_task_group() as group:
                await group.start(front.run)
                await group.start(ready.run)
                group.start_soon(_serve_metrics, settings, health)
                group.start_soon(_reload_changed, process, path, modified)
                if settings.neighbour_address and process.neighbours:
                    application = neighbour_application(process.neighbours, process.news)
                    group.start_soon(_serve_neighbours, settings.neighbour_address, application)
                _LOGGER.info("started", serve=settings.serve_address, ready=settings.ready_address)
                async for number in signals:
                    if number != signal.SIGHUP:
                        _LOGGER.info("stopping", signal=signal.Signals(number).name)
                        break
                    _reload(process, path)
                process.begin_shutdown()
                await anyio.sleep(_LEAVE_SHARE * grace)
                front.stop()
                with anyio.move_on_after((_END_SHARE - _LEAVE_SHARE) * grace):
                    while process.running:
                        await anyio.sleep(_POLL_SECONDS)
                    # The answers of the last requests are still being written.
                    await anyio.sleep(_FLUSH_SECONDS)
                _LOGGER.info("stopped", in_progress=process.running)
                ready.stop()
                group.cancel_scope.cancel()


def main() -> None:
    """Runs the gateway until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(
        prog="filbertreach-gateway",
        description="Serves callers on the users' platform: one process a host.",
        epilog="Exit codes: 0 stopped gracefully, 1 failed, 2 settings can't be used.",
    )
    parser.add_argument(
        "--settings", help=f"settings file; {SETTINGS_VARIABLE} names it by default"
    )
    parser.add_argument(
        "--check-config", action="store_true", help="check the settings file and exit"
    )
    arguments = parser.parse_args()
    # Before the file is read, so that a change meanwhile is noticed.
    modified = _modified_at(arguments.settings)
    match load_boot(arguments.settings):
        case Failure(error):
            print(f"filbertreach-gateway: {error}", file=sys.stderr)
            sys.exit(EXIT_SETTINGS)
        case Success(settings):
            pass
    if arguments.check_config:
        print("settings are usable")
        return
    raise_open_files_limit()
    # Most objects of a query die young; a higher threshold halves the time spent in collections.
    gc.set_threshold(50_000, 20, 50)
    limiter = LogLimiter(rate_by_kind=_RATE_BY_KIND, other=_OTHER_RATE)
    with configure_bounded_logs(level="info", process=settings.host, limiter=limiter):
        try:
            anyio.run(
                _serve,
                settings,
                arguments.settings,
                modified,
                backend_options={"use_uvloop": True},
            )
        except Exception as error:
            _LOGGER.error("failed", error=repr(error), exc_info=True)
            sys.exit(EXIT_FAILED)
