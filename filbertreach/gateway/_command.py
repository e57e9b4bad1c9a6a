"""Command line of filbertreach-gateway and the HTTP servers of the process."""

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
from filbertreach.gateway._policy import GatewayPolicy, load_policy
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
from filbertreach.platform import SETTINGS_VARIABLE, HostSettings, load_boot
from filbertreach.schema import parse_address
from filbertreach.timing import TimerService

EXIT_SETTINGS = 2
"""Exit code for unusable settings."""
EXIT_FAILED = 1
"""Exit code after an unhandled exception, which is logged."""
_LOG_RATE_BY_KIND = {
    "request ok": LogRate(20.0, 40.0),
    "request failed": LogRate(50.0, 200.0),
    "leaf listed": LogRate(50.0, 500.0),
    "leaf unlisted": LogRate(50.0, 500.0),
}
"""Rate limits by kind of log line; lines of complete answers are the first to be dropped."""
_DEFAULT_LOG_RATE = LogRate(5.0, 50.0)
_METRICS_PORT = 9464
"""Port of the metrics endpoint; must equal the port in deploy/system.toml."""
_SETTINGS_CHECK_SECONDS = 2.0
"""Interval at which the modification time of the settings file is checked."""
_KEEP_ALIVE_SECONDS = 75
"""Idle time after which the gateway closes a connection; longer than the time for which callers
reuse an idle connection, so that no request is sent on a connection that is being closed."""
_DRAIN_START_FRACTION = 0.6
"""Fraction of the grace period after which idle connections are closed. Until then the load
balancer can take the host out of rotation: it checks readiness once a second and acts on the second
failed check."""
_DRAIN_END_FRACTION = 0.92
"""Fraction of the grace period after which requests in progress are cancelled."""
_HANDOVER_FRACTION = 0.05
"""Longest time, as a fraction of the grace period, for handing the retry histories to other hosts.
It begins at `_DRAIN_END_FRACTION` at the latest, and has to end before the grace period does."""

_LOGGER = get_logger(__name__)


def _reload(process: GatewayProcess, path: str | None) -> None:
    """Applies the settings in the file; keeps the current settings if the new ones are unusable."""
    match load_boot(path):
        case Success(settings):
            process.reload(settings)
        case Failure(error):
            _LOGGER.error("settings not reloaded", error=str(error))


async def _reload_changed(process: GatewayProcess, path: str | None, known_mtime: int) -> None:
    """Reloads the settings whenever the file changes, without waiting for SIGHUP.

    Args:
        process: Process whose settings are reloaded.
        path: Settings file, None for the one that the environment names.
        known_mtime: Modification time of the settings in force, in nanoseconds.
    """
    while True:
        await anyio.sleep(_SETTINGS_CHECK_SECONDS)
        mtime = _mtime_ns(path)
        if mtime != known_mtime:
            known_mtime = mtime
            _reload(process, path)


def _mtime_ns(path: str | None) -> int:
    """Returns the modification time of the settings file in nanoseconds, 0 if it is missing."""
    file = pathlib.Path(path or os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        return file.stat().st_mtime_ns
    except OSError as error:
        _LOGGER.warning("cannot read modification time of settings file", error=str(error))
        return 0


async def _serve_metrics(settings: HostSettings, health: Health) -> None:
    """Serves metrics; if the port can't be bound, the gateway runs without them."""
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
            _LOGGER.warning("cannot bind metrics port", error=str(error))


async def _serve_neighbours(address: str, application: Application) -> None:
    """Serves gateways on other hosts.

    If the address can't be bound, those gateways read the store directly.
    """
    server = HttpServer(
        address=address,
        application=application,
        drain_seconds=1.0,
        keep_alive_seconds=_KEEP_ALIVE_SECONDS,
    )
    async with anyio.create_task_group() as group:
        try:
            await group.start(server.run)
        except OSError as error:
            _LOGGER.warning("cannot bind neighbour address", error=str(error))


async def _serve(
    settings: HostSettings, policy: GatewayPolicy, path: str | None, mtime: int
) -> None:
    health = Health()
    async with (
        TimerService() as timers,
        GatewayProcess(settings=settings, timers=timers, health=health, policy=policy) as process,
    ):
        grace_seconds = settings.bounds.grace_seconds
        caller_server = HttpServer(
            address=settings.serve_address,
            application=caller_application(process),
            drain_seconds=max(1.0, (_DRAIN_END_FRACTION - _DRAIN_START_FRACTION) * grace_seconds),
            keep_alive_seconds=_KEEP_ALIVE_SECONDS,
        )
        ready_server = HttpServer(
            address=settings.ready_address,
            application=ready_application(health),
            drain_seconds=1.0,
            keep_alive_seconds=_KEEP_ALIVE_SECONDS,
        )
        handled_signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with anyio.open_signal_receiver(*handled_signals) as signals:
            async with anyio.create_task_group() as group:
                await group.start(caller_server.run)
                await group.start(ready_server.run)
                group.start_soon(_serve_metrics, settings, health)
                group.start_soon(_reload_changed, process, path, mtime)
                if settings.neighbour_address and process.neighbours:
                    application = neighbour_application(
                        process.neighbours,
                        process.change_log,
                        process.quotas,
                        handover=process.handover,
                        observations=process.observations,
                        quarantine=process.quarantine,
                    )
                    group.start_soon(_serve_neighbours, settings.neighbour_address, application)
                _LOGGER.info("started", serve=settings.serve_address, ready=settings.ready_address)
                async for number in signals:
                    if number != signal.SIGHUP:
                        _LOGGER.info("stopping", signal=signal.Signals(number).name)
                        break
                    _reload(process, path)
                process.begin_shutdown()
                await anyio.sleep(_DRAIN_START_FRACTION * grace_seconds)
                caller_server.stop()
                with anyio.move_on_after(
                    (_DRAIN_END_FRACTION - _DRAIN_START_FRACTION) * grace_seconds
                ):
                    await caller_server.wait_stopped()
                if process.handover is not None:
                    with anyio.move_on_after(_HANDOVER_FRACTION * grace_seconds):
                        await process.handover.hand_over()
                _LOGGER.info("stopped", in_progress=process.in_progress)
                ready_server.stop()
                group.cancel_scope.cancel()


def _policy_or_exit(path: str | None) -> GatewayPolicy:
    """Reads the policy file; ends the process if it can't be used."""
    if path is None:
        return GatewayPolicy()
    result = load_policy(path)
    if not isinstance(result, Success):
        print(f"filbertreach-gateway: {result.failure()}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    policy: GatewayPolicy = result.unwrap()
    return policy


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
        "--policy", help="policy file in INI format; without it, nothing of it is switched on"
    )
    parser.add_argument(
        "--check-config", action="store_true", help="check the settings file and exit"
    )
    arguments = parser.parse_args()
    # Recorded before the file is read, so that a change during the read is noticed.
    mtime = _mtime_ns(arguments.settings)
    match load_boot(arguments.settings):
        case Failure(error):
            print(f"filbertreach-gateway: {error}", file=sys.stderr)
            sys.exit(EXIT_SETTINGS)
        case Success(settings):
            pass
    policy = _policy_or_exit(arguments.policy)
    if arguments.check_config:
        print("settings are usable")
        return
    raise_open_files_limit()
    # Most objects of a query are short-lived. Thresholds above the defaults halve the time spent in
    # garbage collection.
    gc.set_threshold(50_000, 20, 50)
    limiter = LogLimiter(rate_by_kind=_LOG_RATE_BY_KIND, other=_DEFAULT_LOG_RATE)
    with configure_bounded_logs(level="info", process=settings.host, limiter=limiter):
        try:
            anyio.run(
                _serve,
                settings,
                policy,
                arguments.settings,
                mtime,
                backend_options={"use_uvloop": True},
            )
        except Exception as error:
            _LOGGER.error("failed", error=repr(error), exc_info=True)
            sys.exit(EXIT_FAILED)
