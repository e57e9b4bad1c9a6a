"""Command line of the agent."""

import argparse
import sys

import anyio
import prometheus_client

from filbertreach.agent._agent import Agent, AgentOptions
from filbertreach.agent._metrics import PlatformCalls
from filbertreach.observability import (
    DaemonOptions,
    Health,
    health_application,
    new_incarnation,
    run_daemon,
    run_main,
)
from filbertreach.platform import HostListClient, KeyValueClient
from filbertreach.schema import PlatformSection, Settings
from filbertreach.settings import add_settings_arguments, settings_or_exit

_DEFAULT_TIMEOUT_SECONDS = 2.0


def main() -> int:
    """Runs the agent of one host until SIGTERM or SIGINT.

    Returns:
        Exit code.
    """
    parser = argparse.ArgumentParser(
        prog="filbertreach-agent",
        description="Keeps the processes of one host supplied with documents and fleet membership.",
    )
    add_settings_arguments(parser)
    settings = settings_or_exit(parser.parse_args())

    async def run() -> None:
        await _run(settings)

    return run_main(run, settings=settings)


async def _run(settings: Settings) -> None:
    platform = settings.get("platform", PlatformSection())
    timeout = platform.get("timeout_seconds", _DEFAULT_TIMEOUT_SECONDS)
    health = Health()
    health.set("documents", "the agent is starting")
    async with (
        KeyValueClient(
            base_url=platform.get("key_value_url", "http://127.0.0.1:7000"),
            timeout_seconds=timeout,
        ) as key_value,
        HostListClient(
            base_url=platform.get("host_list_url", "http://127.0.0.1:7001"),
            timeout_seconds=timeout,
        ) as host_list,
    ):
        prometheus_client.REGISTRY.register(
            PlatformCalls(key_value.calls_by_kind, host_list.calls_by_kind)
        )
        agent = Agent(
            AgentOptions(
                settings=settings,
                incarnation=new_incarnation(),
                health=health,
                key_value=key_value,
                host_list=host_list,
            )
        )
        async with anyio.create_task_group() as group:
            group.start_soon(agent.run, name="agent")
            await run_daemon(
                DaemonOptions(
                    settings=settings,
                    health=health,
                    application=health_application(health),
                    drain=agent.drain,
                    on_shutdown=agent.begin_shutdown,
                )
            )
            group.cancel_scope.cancel()


if __name__ == "__main__":
    sys.exit(main())
