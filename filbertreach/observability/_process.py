"""Command line and start-up of the daemons that serve queries."""

import argparse
import sys
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from typing import Protocol, TypeVar

from filbertreach.observability._daemon import (
    DaemonOptions,
    new_incarnation,
    run_daemon,
    run_main,
)
from filbertreach.observability._health import Application, Health
from filbertreach.observability._traces import Tracing
from filbertreach.settings import add_settings_arguments, settings_or_exit
from filbertreach.timing import TimerService


class Process(Protocol):
    """The work of a daemon between its start and its end."""

    def begin_shutdown(self) -> None:
        """Announces to the fleet that this process is leaving."""

    async def drain(self, seconds: float) -> None:
        """Finishes the work in progress within the given time."""


_ProcessT = TypeVar("_ProcessT", bound=Process)


def process_main(
    *,
    program: str,
    description: str,
    make: Callable[..., AbstractAsyncContextManager[_ProcessT]],
    application: Callable[[_ProcessT, Health], Application],
) -> None:
    """Parses the command line and runs a daemon until SIGTERM or SIGINT.

    Args:
        program: Program name.
        description: What the program does.
        make: Returns the process; called with the keyword arguments `settings`, `timers`,
            `tracing`, `health` and `incarnation`.
        application: Returns the ASGI application of the process, after the process was entered.

    Raises:
        SystemExit: Always, with the exit code.
    """
    parser = argparse.ArgumentParser(
        prog=program,
        description=description,
        epilog="Exit codes: 0 stopped gracefully, 1 failed, 2 settings can't be used.",
    )
    add_settings_arguments(parser)
    settings = settings_or_exit(parser.parse_args())

    async def run() -> None:
        health = Health()
        name = settings["process"]["name"]
        with Tracing(settings=settings["observability"], process=name) as tracing:
            async with (
                TimerService() as timers,
                make(
                    settings=settings,
                    timers=timers,
                    tracing=tracing,
                    health=health,
                    incarnation=new_incarnation(),
                ) as process,
            ):
                await run_daemon(
                    DaemonOptions(
                        settings=settings,
                        health=health,
                        application=application(process, health),
                        drain=process.drain,
                        on_shutdown=process.begin_shutdown,
                    )
                )

    sys.exit(run_main(run, settings=settings))
