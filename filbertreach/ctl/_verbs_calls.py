"""Verbs about phone calls to clients before planned changes."""

import argparse
import math
from typing import Any

from filbertreach.changes import (
    OVERRIDE,
    CallRecord,
    InvalidChangeError,
    OperatingConditions,
    Slowdown,
    clients_to_call,
    slowed_clients,
    was_overridden,
)
from filbertreach.ctl._calls import FoundChange, find_change, read_call_records
from filbertreach.ctl._context import Context
from filbertreach.ctl._errors import RefusedError, UnavailableError, UnknownOutcomeError
from filbertreach.ctl._records import (
    calls_prefix,
    format_time,
    now_utc,
    overrides_prefix,
)
from filbertreach.ctl._registry import verb
from filbertreach.ctl._report import Report
from filbertreach.ctl._store import ResponseLostError, RevisionChangedError
from filbertreach.document import digest_change

_MAX_WRITE_ATTEMPTS = 3
"""Attempts of an idempotent write."""


def _change_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("environment", metavar="ENV", help="environment whose clients are called")
    parser.add_argument("change", metavar="CHANGE", help="name of its [change NAME] section")
    parser.add_argument(
        "--file",
        metavar="FILE",
        help="a draft with the change, instead of the text on trial or the accepted one",
    )


def _calls_arguments(parser: argparse.ArgumentParser) -> None:
    _change_arguments(parser)
    parser.add_argument(
        "--utilisation",
        action="append",
        default=[],
        type=_utilisation,
        metavar="SERVICE=SHARE",
        help="measured share of slots in use, 0 to 1; may be given several times. For "
        "information: what holds a change back is worked out without it",
    )


def _utilisation(text: str) -> tuple[str, float]:
    service, _, share = text.partition("=")
    value = float(share)
    if not 0 <= value <= 1:
        raise argparse.ArgumentTypeError("write SERVICE=SHARE with a share from 0 to 1")
    return service, value


def _record_arguments(parser: argparse.ArgumentParser) -> None:
    _change_arguments(parser)
    parser.add_argument("client", metavar="CLIENT", help="client that was called")
    parser.add_argument("--by", required=True, metavar="WHO", help="who called")


def _override_arguments(parser: argparse.ArgumentParser) -> None:
    _change_arguments(parser)
    parser.add_argument("--reason", required=True, metavar="TEXT", help="kept in history for good")


@verb("calls", help="the clients to call before a planned change", arguments=_calls_arguments)
async def calls(context: Context) -> Report:
    """Lists the clients that a planned change may slow: contact, by how much, why, and who called.

    The change is looked up in the text on trial, then in the accepted text. Calls are recorded with
    'record-call'. A call counts for exactly the change that was announced: if its times or subject
    are changed, the clients have to be called again.
    """
    found = await find_change(context, context.arguments.environment, context.arguments.change)
    conditions = OperatingConditions(utilisation_by_service=dict(context.arguments.utilisation))
    slowed = _slowed_clients_or_refuse(found, conditions)
    records = (await _read_records(context)).get(found.change.name, {})
    digest = digest_change(found.change)
    change = found.change
    lines = [
        f"change {change.name} in {found.source}: {change.kind} {change.subject} "
        f"{change.target}".rstrip(),
        f"  from {format_time(change.starts)} to {format_time(change.ends)}",
    ]
    entries = []
    for slowdown in slowed.values():
        record = records.get(slowdown.client)
        called = record if record is not None and record["digest"] == digest else None
        lines += _client_lines(slowdown, called, stale=record is not None and called is None)
        entries.append(
            {**slowdown._asdict(), "ratio": _format_ratio(slowdown.ratio), "called": called}
        )
    if not slowed:
        lines.append("  slows nobody by more than the policy's slowdown_bound: no call is needed")
    overridden = was_overridden(change, records)
    if overridden:
        lines.append(f"  calls were overridden by {records[OVERRIDE]['by']}")
    to_call = [item["client"] for item in entries if item["called"] is None]
    data = {"change": change.name, "digest": digest, "source": found.source, "clients": entries}
    return Report(lines, {**data, "to_call": to_call, "overridden": overridden})


def _client_lines(slowdown: Slowdown, called: CallRecord | None, *, stale: bool) -> list[str]:
    state = f"called by {called['by']} at {called['at']}" if called else "TO CALL"
    if stale:
        state += " (an earlier call announced another time or subject)"
    return [
        f"  {slowdown.client}  {slowdown.contact or 'no contact written'}  {state}",
        f"    {_describe_slowdown(slowdown.ratio)}: {slowdown.reason}",
    ]


def _describe_slowdown(ratio: float) -> str:
    if math.isinf(ratio):
        return "no bound for p99, the load does not fit"
    return f"p99 about {ratio:.2f} times as long"


def _format_ratio(ratio: float) -> str:
    return "unbounded" if math.isinf(ratio) else f"{ratio:.2f}"


def _slowed_clients_or_refuse(
    found: FoundChange, conditions: OperatingConditions | None = None
) -> dict[str, Slowdown]:
    try:
        return slowed_clients(found.environment, found.change, conditions)
    except InvalidChangeError as error:
        raise RefusedError(f"change {found.change.name}: {error}") from None


async def _read_records(context: Context) -> dict[str, dict[str, CallRecord]]:
    return await read_call_records(context, context.arguments.environment)


@verb(
    "record-call", help="record that a client was called", arguments=_record_arguments, writes=True
)
async def record_call(context: Context) -> Report:
    """Records that a client was told of a planned change.

    The record names the digest of the change, so it does not count for another time or subject.
    Recording twice does no harm. The last line says who is still to be called.
    """
    operator = context.operator()
    found = await find_change(context, context.arguments.environment, context.arguments.change)
    client = context.arguments.client
    if client not in found.environment.clients_by_name:
        known = ", ".join(sorted(found.environment.clients_by_name)) or "none"
        raise RefusedError(f"there is no [client {client}] in {found.source}; there is: {known}")
    record: dict[str, Any] = {
        "by": context.arguments.by,
        "at": format_time(now_utc()),
        "digest": digest_change(found.change),
        "operator": operator.name,
    }
    record["signature"] = operator.sign(record)
    prefix = calls_prefix(context.arguments.environment)
    await _write_with_retries(context, f"{prefix}{found.change.name}/{client}", record)
    records = (await _read_records(context)).get(found.change.name, {})
    to_call = clients_to_call(found.environment, found.change, records)
    lines = [f"recorded: {client} was called by {record['by']} about {found.change.name}"]
    if client not in _slowed_clients_or_refuse(found):
        lines.append(f"  {client} was not on the list of clients that the change may slow")
    lines.append(f"still to call: {', '.join(to_call) or 'nobody'}")
    return Report(lines, {"recorded": client, "record": record, "to_call": to_call})


@verb(
    "override",
    help="let a change start without its calls",
    arguments=_override_arguments,
    writes=True,
)
async def override(context: Context) -> Report:
    """Lets a planned change start although clients were not called.

    For cases such as a client that can't be reached. Who, when, why and which clients were not
    called is signed and kept in history for good. It counts for exactly this change, and never lets
    a change take the last leaf of a service.
    """
    operator = context.operator()
    environment = context.arguments.environment
    found = await find_change(context, environment, context.arguments.change)
    change = found.change
    records = (await _read_records(context)).get(change.name, {})
    if was_overridden(change, records):
        return Report([f"change {change.name} was overridden before"], {"repeated": True})
    _slowed_clients_or_refuse(found)
    record: dict[str, Any] = {
        "by": operator.name,
        "at": format_time(now_utc()),
        "digest": digest_change(change),
        "change": change.name,
        "operator": operator.name,
        "reason": context.arguments.reason,
        "uncalled": clients_to_call(found.environment, change, records),
    }
    record["signature"] = operator.sign(record)
    # History is written first: an override must never be in force without a history record.
    history = f"{overrides_prefix(environment)}{change.name}-{record['digest'][:16]}"
    await _write_with_retries(context, history, record, expected=0)
    await _write_with_retries(
        context, f"{calls_prefix(environment)}{change.name}/{OVERRIDE}", record
    )
    waived = ", ".join(record["uncalled"]) or "nobody"
    lines = [f"change {change.name} may start; not called: {waived}; kept in history"]
    return Report(lines, {"record": record})


async def _write_with_retries(
    context: Context, key: str, record: dict[str, Any], *, expected: int | None = None
) -> None:
    for _ in range(_MAX_WRITE_ATTEMPTS):
        try:
            await context.store.write(key, record, expected=expected)
            return
        except RevisionChangedError:
            # Written by an earlier attempt whose response was lost, or by an earlier run.
            return
        except ResponseLostError:
            continue
        except UnavailableError as error:
            raise UnavailableError(f"not recorded: {error}") from None
    raise UnknownOutcomeError(
        "unknown whether it was recorded; run the same command again, recording twice does no harm"
    )
