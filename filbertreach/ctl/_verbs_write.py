"""Verbs that make a document the accepted one of its environment."""

import argparse
import math
from typing import Any

from filbertreach.ctl._acceptance import Acceptance
from filbertreach.ctl._context import Context, parse_or_refuse, read_file
from filbertreach.ctl._errors import ExitCode, NotInForceError, RefusedError
from filbertreach.ctl._hosts import wait_in_force
from filbertreach.ctl._preconditions import (
    check_production,
    check_signature,
    describe_trial,
    record_trial,
    refuse_infeasible_changes,
)
from filbertreach.ctl._records import Accepted
from filbertreach.ctl._registry import verb
from filbertreach.ctl._report import Report
from filbertreach.document import Environment, diff_documents, digest_document, with_environment
from filbertreach.timing import SystemClock

_WAIT_SECONDS = 17.0
"""Default of --wait; an accepted document is to be in force everywhere within this time
(docs/design.md 1.4)."""


def _add_acceptance_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--base",
        type=_generation,
        metavar="N",
        help="accepted generation that you worked from; refused with exit code 3 if it is another",
    )
    parser.add_argument(
        "--wait",
        type=_seconds,
        default=_WAIT_SECONDS,
        metavar="SECONDS",
        help="longest wait, after acceptance, until it is in force everywhere; 0 does not wait "
        f"(default {_WAIT_SECONDS:g})",
    )
    parser.add_argument(
        "--without",
        action="append",
        default=[],
        metavar="HOST",
        help="don't wait for a host that is listed as live but that you know to be down; it must "
        "not serve queries until it has reached the platform. May be given several times",
    )
    parser.add_argument(
        "--bootstrap", action="store_true", help="accept although no host is registered yet"
    )


def _generation(text: str) -> int:
    value = int(text)
    if value < 0:
        raise argparse.ArgumentTypeError("write a generation from 0")
    return value


def _seconds(text: str) -> float:
    value = float(text)
    if not 0 <= value < math.inf:
        raise argparse.ArgumentTypeError("write seconds from 0")
    return value


def _add_reason_argument(parser: argparse.ArgumentParser, *, required: bool) -> None:
    parser.add_argument(
        "--reason", required=required, default="", metavar="TEXT", help="kept in history"
    )


def _apply_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("file", metavar="FILE", help="environment document, INI")
    _add_reason_argument(parser, required=True)
    _add_acceptance_arguments(parser)


def _promote_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("environment", metavar="ENV", help="production environment")
    parser.add_argument(
        "--from", dest="trial", required=True, metavar="TRIAL_ENV", help="its trial environment"
    )
    _add_reason_argument(parser, required=False)
    _add_acceptance_arguments(parser)


def _roll_forward_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("environment", metavar="ENV", help="environment name")
    parser.add_argument(
        "--to",
        type=_generation,
        required=True,
        metavar="GENERATION",
        help="earlier generation",
    )
    _add_reason_argument(parser, required=False)
    _add_acceptance_arguments(parser)


@verb("apply", help="make a file the accepted document", arguments=_apply_arguments, writes=True)
async def apply(context: Context) -> Report:
    """Proposes the file to every host, waits for all of them to confirm it, and accepts it.

    The environment is the one that the file names. A trial environment takes any usable text; a
    production environment takes a text that ran in its trial environment and whose planned changes
    were announced to the clients. The same command may be run again after a lost answer: it does
    not apply twice.

    Exit codes: 0 in force; 1 refused, nothing changed; 3 another operator was first; 4 the platform
    is unavailable, nothing changed; 5 unknown, run it again; 6 accepted, but not in force
    everywhere within --wait.
    """
    path = context.arguments.file
    text = read_file(path)
    document = parse_or_refuse(text, source=path)
    refuse_infeasible_changes(document)
    trial = await check_production(context, document)
    lines = describe_trial(trial) if trial is not None else []
    return await _run_acceptance(context, document, text, context.arguments.reason, lines)


@verb(
    "promote",
    help="take a text from trial to production",
    arguments=_promote_arguments,
    writes=True,
)
async def promote(context: Context) -> Report:
    """Makes the text that runs in the trial environment the accepted production document.

    Only the [environment] section differs. Prints what the trial showed and what changes in
    production. Refused while the text is not in force on every host of the trial, and while a
    client that a planned change may slow was not called (see 'calls' and 'record-call').

    Exit codes as for 'apply'.
    """
    name, trial = context.arguments.environment, context.arguments.trial
    in_trial = await context.accepted_or_refuse(trial)
    check_signature(context, in_trial)
    if parse_or_refuse(in_trial["text"], source=trial).trial:
        raise RefusedError(f"not accepted: {trial} is itself a production environment")
    text = with_environment(text=in_trial["text"], name=name, trial=trial)
    document = parse_or_refuse(text, source=trial)
    refuse_infeasible_changes(document)
    record = await check_production(context, document)
    assert record is not None
    lines = describe_trial(record)
    reason = context.arguments.reason or f"promoted from {trial} generation {record['generation']}"
    return await _run_acceptance(context, document, text, reason, lines)


@verb(
    "roll-forward",
    help="an earlier text as a new generation",
    arguments=_roll_forward_arguments,
    writes=True,
)
async def roll_forward(context: Context) -> Report:
    """Makes the text of an earlier generation the accepted document, under a new generation.

    Generations only increase: the way back to an earlier text is a new generation with that text.
    It ran in this environment before, so no trial is asked for. Missing phone calls do not refuse
    it, since it is the way out of an emergency; the hosts hold an unannounced change anyway.

    Exit codes as for 'apply'.
    """
    name, generation = context.arguments.environment, context.arguments.to
    earlier = await context.generation(name, generation)
    check_signature(context, earlier)
    document = parse_or_refuse(earlier["text"], source=f"{name}@{generation}")
    reason = context.arguments.reason or f"text of generation {generation} again"
    return await _run_acceptance(context, document, earlier["text"], reason, [])


async def _run_acceptance(
    context: Context, document: Environment, text: str, reason: str, lines: list[str]
) -> Report:
    operator = context.operator()
    present = await context.accepted(document.name)
    for line in [*lines, *_difference_lines(present, document)]:
        context.report_progress(line)
    acceptance = Acceptance(
        store=context.store,
        operator=operator,
        environment=document.name,
        settings=context.settings,
        report_progress=context.report_progress,
        excluded_hosts=context.excluded_hosts(),
    )
    accepted = await acceptance.run(
        text=text,
        reason=reason,
        base=context.arguments.base,
        bootstrap=context.arguments.bootstrap,
    )
    record = accepted.record
    outcome = "was accepted by an earlier run" if accepted.repeated else "accepted"
    line = f"generation {record['generation']} of {document.name} {outcome}"
    context.report_progress(line)
    data = {
        "outcome": "accepted",
        "repeated": accepted.repeated,
        "environment": document.name,
        "generation": record["generation"],
        "digest": digest_document(document),
        "request": record["request"],
        "accepted_at": record["accepted_at"],
    }
    if context.arguments.wait <= 0:
        return Report([line], data)
    return await _wait_and_report(context, record, document, line, data)


def _difference_lines(present: Accepted | None, document: Environment) -> list[str]:
    if present is None:
        return [f"first document of {document.name}"]
    before = parse_or_refuse(present["text"], source=document.name)
    found = [f"  {item}" for item in diff_documents(before, document)]
    return [f"changes to generation {present['generation']}:", *(found or ["  none in meaning"])]


async def _wait_and_report(
    context: Context, record: Accepted, document: Environment, line: str, data: dict[str, Any]
) -> Report:
    clock = SystemClock()
    started = clock.now()
    result = await wait_in_force(
        context.store,
        record=record,
        seconds=context.arguments.wait,
        poll_seconds=context.settings["poll_seconds"],
        clock=clock,
        report_progress=context.report_progress,
        excluded_hosts=context.excluded_hosts(),
    )
    waited = clock.now() - started
    if result.hosts is None or result.behind:
        missing_hosts = ", ".join(result.behind) or "unknown: the platform did not answer"
        raise NotInForceError(
            f"{line}, but not in force everywhere within {context.arguments.wait:g} s; missing: "
            f"{missing_hosts}. 'filbertreach-ctl status {document.name}' shows when it is",
            data={**data, "behind": result.behind},
        )
    if not document.trial:
        await record_trial(context, record, result.hosts)
    hosts = len(result.hosts.names())
    lines = [f"{line}; in force on {hosts} of {hosts} hosts, {waited:.1f} s after acceptance"]
    missing_records = result.hosts.missing_records(record)
    lines += [f"has not been heard from: {host}" for host in missing_records]
    data = {**data, "in_force_seconds": round(waited, 3), "hosts": hosts}
    return Report(lines, {**data, "not_heard_from": missing_records}, ExitCode.DONE)
