"""Command line of filbertreach-entry."""

import argparse
import sys

from filbertreach.entry._application import QueryApplication
from filbertreach.entry._daemon import EntryProcess
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
    """Runs the entry process until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(
        prog="filbertreach-entry",
        description="Serves callers: splits each query over the shards it needs, sends the parts "
        "to dispatch processes and merges the answers.",
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
                EntryProcess(
                    settings=settings,
                    timers=timers,
                    tracing=tracing,
                    health=health,
                    incarnation=new_incarnation(),
                ) as entry,
            ):
                await run_daemon(
                    DaemonOptions(
                        settings=settings,
                        health=health,
                        application=health_application(health, QueryApplication(process=entry)),
                        drain=entry.drain,
                        on_stopping=entry.stopping,
                    )
                )

    sys.exit(run_main(run, settings=settings))


if __name__ == "__main__":
    main()
