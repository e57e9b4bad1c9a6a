"""Command line of filbertreach-dispatch."""

import argparse
import sys

from filbertreach.dispatch._daemon import Dispatcher
from filbertreach.observability import (
    DaemonOptions,
    Health,
    Tracing,
    health_application,
    new_incarnation,
    run_daemon,
    run_main,
)
from filbertreach.settings import add_settings_arguments, settings_or_exit
from filbertreach.timing import TimerService


def main() -> None:
    """Runs the dispatch process until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(
        prog="filbertreach-dispatch",
        description="Owns services: the connections to their leaves, the ranked queue, the choice "
        "of the replica, hedges and retries.",
        epilog="Exit codes: 0 stopped gracefully, 1 failed, 2 settings can't be used.",
    )
    add_settings_arguments(parser)
    settings = settings_or_exit(parser.parse_args())

    async def run() -> None:
        health = Health()
        process = settings["process"]
        with Tracing(settings=settings["observability"], process=process["name"]) as tracing:
            async with (
                TimerService() as timers,
                Dispatcher(
                    settings=settings,
                    timers=timers,
                    tracing=tracing,
                    health=health,
                    incarnation=new_incarnation(),
                ) as dispatcher,
            ):
                await run_daemon(
                    DaemonOptions(
                        settings=settings,
                        health=health,
                        application=health_application(health),
                        drain=dispatcher.drain,
                        on_stopping=dispatcher.stopping,
                    )
                )

    sys.exit(run_main(run, settings=settings))


if __name__ == "__main__":
    main()
