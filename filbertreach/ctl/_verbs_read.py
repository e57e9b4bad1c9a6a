"""Verbs that change no document; `status` also stores the record of a completed trial."""

import argparse
import pathlib
from typing import Any

from filbertreach.changes import slowed_clients
from filbertreach.ctl._access import signature_is_valid
from filbertreach.ctl._context import Context, parse_or_refuse, read_file
from filbertreach.ctl._errors import RefusedError, UsageError
from filbertreach.ctl._hosts import Hosts, read_hosts
from filbertreach.ctl._preconditions import record_trial, refuse_infeasible_changes
from filbertreach.ctl._records import (
    Accepted,
    history_key,
    now_utc,
    overrides_prefix,
    proposed_key,
)
from filbertreach.ctl._registry import verb
from filbertreach.ctl._report import Report
from filbertreach.document import (
    MAX_DOCUMENT_BYTES,
    Environment,
    diff_documents,
    digest_document,
)

_HISTORY_LIMIT = 20
"""Generations that `history` prints by default."""


def _add_file_argument(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("file", metavar="FILE", help="environment document, INI")


def _add_environment_argument(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("environment", metavar="ENV", help="environment name")


def _show_arguments(parser: argparse.ArgumentParser) -> None:
    _add_environment_argument(parser)
    parser.add_argument("--generation", type=int, metavar="N", help="an earlier generation")


def _diff_arguments(parser: argparse.ArgumentParser) -> None:
    sides = "FILE, ENV for its accepted text, or ENV@GENERATION"
    parser.add_argument("first", metavar="A", help=sides)
    parser.add_argument("second", metavar="B", help=sides)


def _history_arguments(parser: argparse.ArgumentParser) -> None:
    _add_environment_argument(parser)
    parser.add_argument(
        "--limit", type=int, default=_HISTORY_LIMIT, metavar="N", help="generations to print"
    )


def _status_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "environment", metavar="ENV", nargs="?", help="all environments if left out"
    )


@verb("validate", help="check a document file, without the platform", arguments=_add_file_argument)
async def validate(context: Context) -> Report:
    """Checks a document: every problem is printed with its line, and what is allowed there.

    Reads no settings and does not ask the platform. Exit code 0: usable; 1: problems were found.
    """
    path = context.arguments.file
    text = read_file(path)
    document = parse_or_refuse(text, source=path)
    refuse_infeasible_changes(document)
    size = len(text.encode())
    leaves = sum(len(item.leaf_by_id) for item in document.services_by_name.values())
    lines = [
        f"{path}: usable document of environment {document.name}",
        f"  {size:,} of {MAX_DOCUMENT_BYTES:,} bytes",
        f"  {len(document.services_by_name)} services, {leaves} leaves, "
        f"{len(document.ranks_by_name)} ranks, {len(document.clients_by_name)} clients",
        f"  digest {digest_document(document)}",
    ]
    lines += _change_lines(document)
    data = {
        "environment": document.name,
        "trial": document.trial,
        "bytes": size,
        "digest": digest_document(document),
        "services": len(document.services_by_name),
        "leaves": leaves,
    }
    return Report(lines, data)


def _change_lines(document: Environment) -> list[str]:
    lines = []
    for change in document.changes_by_name.values():
        count = len(slowed_clients(document, change)) if change.ends > now_utc() else 0
        state = f"may slow {count} clients" if change.ends > now_utc() else "has ended"
        lines.append(f"  change {change.name}: {change.kind} {change.subject}, {state}")
    return lines


@verb("show", help="print the accepted text of an environment", arguments=_show_arguments)
async def show(context: Context) -> Report:
    """Prints the accepted text, or that of an earlier generation with --generation.

    Standard output is exactly the text, so it can be saved as a draft; --json adds who accepted it,
    when and why.
    """
    environment, generation = context.arguments.environment, context.arguments.generation
    if generation is None:
        accepted = await context.accepted_or_refuse(environment)
    else:
        accepted = await context.generation(environment, generation)
    return Report([accepted["text"].rstrip("\n")], dict(accepted))


@verb("diff", help="compare two documents by meaning", arguments=_diff_arguments)
async def diff(context: Context) -> Report:
    """Prints what the second document adds, removes and changes: services, leaves, shards, ranks...

    Comments, order and spelling of numbers do not count. A and B are each a file, an environment
    (its accepted text) or ENV@GENERATION. Exit code 0 whether or not they differ.
    """
    first = await _load_document(context, context.arguments.first)
    second = await _load_document(context, context.arguments.second)
    differences = diff_documents(first, second)
    lines = [str(item) for item in differences] or ["no difference in meaning"]
    return Report(lines, {"differences": [item._asdict() for item in differences]})


async def _load_document(context: Context, name: str) -> Environment:
    if pathlib.Path(name).is_file():
        return parse_or_refuse(read_file(name), source=name)
    environment, _, generation = name.partition("@")
    if generation and not generation.isdecimal():
        raise UsageError(f"{name}: write ENV@GENERATION with a whole number")
    if generation:
        accepted = await context.generation(environment, int(generation))
    else:
        found = await context.accepted(environment)
        if found is None:
            raise RefusedError(f"{name} is neither a file nor an environment with a document")
        accepted = found
    return parse_or_refuse(accepted["text"], source=name, generation=accepted["generation"])


@verb("history", help="list accepted generations and overrides", arguments=_history_arguments)
async def history(context: Context) -> Report:
    """Lists the accepted generations, newest first: when, who, why, and what each changed.

    Overrides of phone calls follow. With keys_file in the settings, a record whose signature does
    not fit is marked.
    """
    environment = context.arguments.environment
    newest = await context.accepted_or_refuse(environment)
    records = [newest]
    last = max(0, newest["generation"] - max(1, context.arguments.limit))
    for generation in range(newest["generation"] - 1, last, -1):
        stored = await context.store.read(history_key(environment, generation))
        if stored is not None:
            records.append(stored.value)  # type: ignore[arg-type]
    keys = context.operator_keys()
    lines = [
        _history_line(record, _predecessor(records, index), keys)
        for index, record in enumerate(records)
    ]
    found = await context.store.read_all(overrides_prefix(environment))
    overrides = [stored.value for _, stored in sorted(found.items())]
    lines += [_override_line(record, keys) for record in overrides]
    entries = [{name: value for name, value in item.items() if name != "text"} for item in records]
    return Report(lines, {"generations": entries, "overrides": overrides})


def _predecessor(records: list[Accepted], index: int) -> Accepted | None:
    return records[index + 1] if index + 1 < len(records) else None


def _history_line(record: Accepted, before: Accepted | None, keys: dict[str, bytes] | None) -> str:
    line = (
        f"generation {record['generation']}  {record['accepted_at']}  {record['operator']}: "
        f"{record['reason']}"
    )
    if before is not None:
        source = f"generation {record['generation']}"
        changes = diff_documents(
            parse_or_refuse(before["text"], source=source),
            parse_or_refuse(record["text"], source=source),
        )
        shown = "; ".join(str(item) for item in changes[:3])
        more = f"; and {len(changes) - 3} more" if len(changes) > 3 else ""
        line += f"  [{shown or 'no difference in meaning'}{more}]"
    return line + _signature_mark(dict(record), keys)


def _override_line(record: dict[str, Any], keys: dict[str, bytes] | None) -> str:
    uncalled = ", ".join(record.get("uncalled", [])) or "nobody"
    return (
        f"override of change {record['change']}  {record['at']}  {record['by']}: "
        f"{record['reason']}  [not called: {uncalled}]" + _signature_mark(record, keys)
    )


def _signature_mark(record: dict[str, Any], keys: dict[str, bytes] | None) -> str:
    if keys is None or signature_is_valid(record, keys):
        return ""
    return "  SIGNATURE DOES NOT FIT"


@verb("status", help="what is accepted, and where it is in force", arguments=_status_arguments)
async def status(context: Context) -> Report:
    """Prints the accepted generation, the hosts that have it in force and since when.

    Hosts that confirmed it but have no record now are listed as not heard from. An open proposal is
    shown with the hosts that have not confirmed it. Without ENV, every environment that a host
    serves is printed.
    """
    hosts = await read_hosts(context.store)
    names = [context.arguments.environment]
    if context.arguments.environment is None:
        names = sorted(
            {
                name
                for record in hosts.record_by_host.values()
                for name in record.get("in_force", {})
            }
        )
    lines: list[str] = []
    data: dict[str, Any] = {}
    for name in names:
        await _environment_status(context, name, hosts, lines, data)
    if not names:
        lines.append(
            f"{len(hosts.record_by_host)} hosts are registered; none serves an environment"
        )
    return Report(lines, {"environments": data, "hosts": sorted(hosts.record_by_host)})


async def _environment_status(
    context: Context, name: str, hosts: Hosts, lines: list[str], data: dict[str, Any]
) -> None:
    accepted = await context.accepted(name)
    proposed = await context.store.read(proposed_key(name))
    entry: dict[str, Any] = {"accepted": None, "proposed": None}
    data[name] = entry
    if accepted is None:
        lines.append(f"{name}: no accepted document")
    else:
        await _accepted_status(context, accepted, hosts, lines, entry)
    if proposed is None:
        return
    value = proposed.value
    missing = hosts.not_prepared(name, value["digest"])
    entry["proposed"] = {key: item for key, item in value.items() if key != "text"}
    entry["not_confirmed"] = missing
    lines.append(
        f"  {value['operator']} proposes generation {value['generation']} since "
        f"{value['proposed_at']}: {value['reason']}; not confirmed by "
        f"{', '.join(missing) or 'nobody: about to be accepted'}"
    )


def _held_changes(hosts: Hosts, environment: str) -> dict[str, dict[str, list[str]]]:
    """Returns the hosts that hold a change back, by reason, by change name."""
    found: dict[str, dict[str, list[str]]] = {}
    for host, record in sorted(hosts.record_by_host.items()):
        for held in record.get("held_changes", []):
            if held["environment"] == environment:
                by_reason = found.setdefault(held["change"], {})
                by_reason.setdefault(held["reason"], []).append(host)
    return found


async def _accepted_status(
    context: Context, accepted: Accepted, hosts: Hosts, lines: list[str], entry: dict[str, Any]
) -> None:
    name, generation = accepted["environment"], accepted["generation"]
    behind = hosts.behind(name, generation)
    total = len(hosts.names())
    lines.append(
        f"{name}: generation {generation}, accepted {accepted['accepted_at']} by "
        f"{accepted['operator']}: {accepted['reason']}"
    )
    lines.append(
        f"  request {accepted['request'][:12]}, in force on {total - len(behind)} of {total} hosts"
    )
    for host, record in sorted(hosts.record_by_host.items()):
        in_force = hosts.in_force(host, name)
        location = f"{record.get('region', '?')}/{record.get('data_centre', '?')}"
        state = record.get("state", "?")
        generation_text = (
            f"generation {in_force['generation']} since {in_force['since']}"
            if in_force
            else "nothing in force"
        )
        lines.append(
            f"  {host}  {location}  {state}  {generation_text}"
            + ("  BEHIND" if host in behind else "")
        )
    held = _held_changes(hosts, name)
    for change, hosts_by_reason in held.items():
        for reason, holders in hosts_by_reason.items():
            lines.append(f"  change {change} is HELD by {', '.join(holders)}: {reason}")
    entry["held_changes"] = held
    missing_records = hosts.missing_records(accepted)
    lines += [f"  {host}  has not been heard from" for host in missing_records]
    entry["accepted"] = {key: item for key, item in accepted.items() if key != "text"}
    entry["behind"] = behind
    entry["not_heard_from"] = missing_records
    entry["in_force"] = {host: hosts.in_force(host, name) for host in sorted(hosts.record_by_host)}
    if not parse_or_refuse(accepted["text"], source=name).trial:
        await record_trial(context, accepted, hosts)
