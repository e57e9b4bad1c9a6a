"""Entry point of filbertreach-ctl."""

import argparse
import contextlib
import os
import signal
import sys
from typing import cast

import anyio
from returns.result import Success

from filbertreach import __version__
from filbertreach.ctl import (
    _verbs_accounts,
    _verbs_calls,
    _verbs_check,
    _verbs_explain,
    _verbs_read,
    _verbs_write,
)
from filbertreach.ctl._context import Context
from filbertreach.ctl._errors import CtlError, ExitCode, UnavailableError, UsageError
from filbertreach.ctl._registry import Verb, verb_by_name
from filbertreach.ctl._report import Report, print_error, print_report, progress
from filbertreach.ctl._store import Store
from filbertreach.platform import HostListClient, KeyValueClient
from filbertreach.schema import CtlSettings
from filbertreach.settings import load, load_text

_VERB_MODULES = (
    _verbs_read,
    _verbs_check,
    _verbs_write,
    _verbs_calls,
    _verbs_explain,
    _verbs_accounts,
)
"""Imported for their side effect: each module registers its verbs."""
_SETTINGS_VARIABLE = "FILBERTREACH_CTL_SETTINGS"
_DEFAULT_SETTINGS = "/etc/filbertreach/ctl.ini"
_NO_EFFECT_PREFIXES = ("not accepted", "not recorded")
"""Prefixes of error messages that already state that the command had no effect."""
_EPILOG = f"""\
exit codes:
  0  done
  1  refused; nothing was changed
  2  usage or settings
  3  conflict: another operator was first; nothing of yours was accepted
  4  platform unavailable; nothing was accepted
  5  outcome unknown: run the same command again, it does not apply twice
  6  accepted, but not in force everywhere in time
'check' has codes of its own: 0 clean, 1 warnings, 2 errors, 3 not read.

settings: --settings FILE, else ${_SETTINGS_VARIABLE}, else {_DEFAULT_SETTINGS} if it exists.
Start with 'validate FILE' and 'status'; docs/operators.md goes through a whole change.
"""


def main() -> int:
    """Runs one command.

    Returns:
        The exit code.
    """
    arguments = _parser().parse_args()
    outcome = anyio.run(_run_until_interrupted, arguments)
    if outcome is None:
        print("interrupted: 'filbertreach-ctl status' shows what is accepted", file=sys.stderr)
        return int(ExitCode.UNKNOWN)
    if isinstance(outcome, CtlError):
        print_error(outcome, as_json=arguments.json)
        return int(outcome.exit_code)
    print_report(outcome, as_json=arguments.json)
    return int(outcome.exit_code)


async def _run_until_interrupted(arguments: argparse.Namespace) -> Report | CtlError | None:
    """Returns the report or the error of the command, or None if it was interrupted.

    SIGINT cancels a scope. By default asyncio cancels the task itself; shielded scopes do not block
    that, so a proposal could be left in the store.
    """
    outcome: Report | CtlError | None = None
    with anyio.open_signal_receiver(signal.SIGINT) as signals:
        async with anyio.create_task_group() as group:

            async def wait_for_interrupt() -> None:
                async for _ in signals:
                    group.cancel_scope.cancel()

            group.start_soon(wait_for_interrupt)
            try:
                outcome = await _run(arguments)
            except CtlError as error:
                outcome = error
            group.cancel_scope.cancel()
    return outcome


async def _run(arguments: argparse.Namespace) -> Report:
    settings = _settings(arguments)
    platform = settings["platform"]
    timeout = platform["timeout_seconds"]
    async with contextlib.AsyncExitStack() as stack:
        client = await stack.enter_async_context(
            KeyValueClient(base_url=platform["key_value_url"], timeout_seconds=timeout)
        )
        host_list = None
        if platform["host_list_url"]:
            host_list = await stack.enter_async_context(
                HostListClient(base_url=platform["host_list_url"], timeout_seconds=timeout)
            )
        store = Store(client=client, timeout_seconds=timeout, host_list=host_list)
        context = Context(arguments, settings["ctl"], store, progress)
        return await _run_verb(arguments.verb, context)


async def _run_verb(verb: Verb, context: Context) -> Report:
    try:
        return await verb.run(context)
    except UnavailableError as error:
        if not verb.writes or str(error).startswith(_NO_EFFECT_PREFIXES):
            raise
        raise UnavailableError(f"nothing was changed by this run: {error}") from None


def _settings(arguments: argparse.Namespace) -> CtlSettings:
    path = arguments.settings
    has_file = path is not None or os.path.exists(_DEFAULT_SETTINGS)
    if not arguments.verb.reads_settings or not has_file:
        result = load_text(text="", source="defaults", schema_name="ctl")
    else:
        arguments.settings = path = path or _DEFAULT_SETTINGS
        result = load(path, "ctl")
    if not isinstance(result, Success):
        raise UsageError(str(result.failure()))
    return cast(CtlSettings, result.unwrap())


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="filbertreach-ctl",
        description="Operators' command line of filbertreach: documents, planned changes, status.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=f"%(prog)s {__version__}")
    verbs = parser.add_subparsers(metavar="VERB", required=True)
    for verb in verb_by_name.values():
        child = verbs.add_parser(
            verb.name,
            help=verb.help,
            description=verb.description,
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        verb.add_arguments(child)
        child.add_argument("--json", action="store_true", help="print one JSON object")
        child.add_argument(
            "--settings",
            metavar="FILE",
            default=os.environ.get(_SETTINGS_VARIABLE),
            help="INI settings file with the sections [ctl] and [platform]",
        )
        child.set_defaults(verb=verb)
    return parser


if __name__ == "__main__":
    sys.exit(main())
