"""Verb that checks a configuration before it is sent."""

import argparse
import sys
from typing import BinaryIO

from returns.result import Failure, Success

from filbertreach.configuration_check import (
    CheckOptions,
    CheckResult,
    Finding,
    Form,
    KnownLeaf,
    MeaningDifference,
    check_configuration,
    detect_form,
)
from filbertreach.ctl._context import Context
from filbertreach.ctl._errors import CheckExitCode, CtlError, NotReadError
from filbertreach.ctl._records import accepted_key, now_utc
from filbertreach.ctl._registry import verb
from filbertreach.ctl._report import Report
from filbertreach.ctl._store import Store
from filbertreach.document import parse_document
from filbertreach.platform import ROUTES_KEY, DeploymentStore, KeyValueClient
from filbertreach.schema import CheckDifference, CheckFinding, base_url

_MAX_INPUT_BYTES = 8 * 1024 * 1024
"""Size above which a file is not read; the largest response of the store that gateways read."""
_TIMEOUT_SECONDS = 5.0
"""Longest wait for one answer of the store."""
_MAX_SLOWED_NAMES = 100
"""Accounts that the JSON output names for one difference."""
_MAX_HOST_DIGITS = 9
"""Largest number of digits of a number of hosts."""
_STANDARD_INPUT = "-"


def _arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("file", metavar="FILE", help="configuration; - for standard input")
    parser.add_argument(
        "--form",
        choices=("document", "platform"),
        help="INI document, or JSON as the platform stores it; by default by the first character",
    )
    in_force = parser.add_mutually_exclusive_group()
    in_force.add_argument("--against", metavar="FILE", help="version in force, in the same form")
    in_force.add_argument(
        "--store",
        metavar="ADDRESS",
        help="read the version in force from the store at IP:PORT; nothing is written",
    )
    parser.add_argument(
        "--regions", metavar="A,B,...", type=_split_names, help="regions that exist"
    )
    parser.add_argument(
        "--leaves", metavar="FILE", help="leaves that exist: lines of ID SERVICE REGION/DATA-CENTRE"
    )
    parser.add_argument(
        "--hosts", metavar="N", type=_parse_host_count, help="hosts that connect to each leaf"
    )


def _split_names(text: str) -> frozenset[str]:
    return frozenset(name.strip() for name in text.split(",") if name.strip())


def _parse_host_count(text: str) -> int:
    if not text.isdecimal() or len(text) > _MAX_HOST_DIGITS or int(text) < 1:
        raise argparse.ArgumentTypeError(f"{text[:20]!r} is no number of hosts; at least 1")
    return int(text)


@verb(
    "check",
    help="check a configuration before it is sent, without the platform",
    arguments=_arguments,
    reads_settings=False,
)
async def check(context: Context) -> Report:
    """Checks an environment document or a configuration in the platform's form.

    Prints every error, every entry that can have no effect and all limits that contradict each
    other; nothing if there are none. With --against or --store, the differences in meaning from
    the version in force follow, and the client accounts that they can slow. API keys are never
    printed. Nothing is written. Exit code 0: clean, or only notes; 1: warnings; 2: errors or wrong
    usage; 3: a file or the version in force could not be read.
    """
    arguments = context.arguments
    data = _read_bytes(arguments.file)
    form: Form = arguments.form or detect_form(data)
    options = CheckOptions(
        regions=arguments.regions,
        leaves=None if arguments.leaves is None else _read_leaves(arguments.leaves),
        hosts=arguments.hosts,
        now=now_utc(),
    )
    in_force = None
    if arguments.against is not None:
        in_force = _read_bytes(arguments.against)
    elif arguments.store is not None:
        in_force = await _read_in_force(arguments.store, form, data)
    match check_configuration(data, form=form, options=options, against=in_force):
        case Failure(error):
            raise NotReadError(f"the version in force can't be read: {error}")
        case Success(result):
            return _report(arguments.file, result)
    raise AssertionError("a result is a success or a failure")


def _report(source: str, result: CheckResult) -> Report:
    lines = [str(finding) for finding in result.findings]
    if result.omitted:
        lines.append(f"{result.omitted} more findings are not shown")
    lines += [f"difference: {difference}" for difference in result.differences]
    exit_code = CheckExitCode.CLEAN
    if "error" in result.severities:
        exit_code = CheckExitCode.ERRORS
    elif "warning" in result.severities:
        exit_code = CheckExitCode.WARNINGS
    data = {
        "source": source,
        "form": result.form,
        "findings": [_finding_to_json(finding) for finding in result.findings],
        "omitted": result.omitted,
        "differences": [_difference_to_json(difference) for difference in result.differences],
    }
    return Report(lines, data, exit_code)


def _finding_to_json(finding: Finding) -> CheckFinding:
    return CheckFinding(
        severity=finding.severity,
        check=finding.check,
        path=finding.path,
        line=finding.line,
        message=finding.message,
        advice=finding.advice,
    )


def _difference_to_json(difference: MeaningDifference) -> CheckDifference:
    return CheckDifference(
        what=difference.what,
        part=difference.part,
        name=difference.name,
        field=difference.field,
        before=difference.before,
        after=difference.after,
        slowed=list(difference.slowed[:_MAX_SLOWED_NAMES]),
        slowed_count=len(difference.slowed),
    )


def _read_bytes(path: str) -> bytes:
    try:
        if path == _STANDARD_INPUT:
            return _read_limited(sys.stdin.buffer, path)
        with open(path, "rb") as file:
            return _read_limited(file, path)
    except OSError as error:
        raise NotReadError(f"{path}: the file can't be read: {error.strerror}") from None


def _read_limited(file: BinaryIO, path: str) -> bytes:
    data = file.read(_MAX_INPUT_BYTES + 1)
    if len(data) > _MAX_INPUT_BYTES:
        raise NotReadError(f"{path}: more than {_MAX_INPUT_BYTES:,} bytes")
    return data


def _read_leaves(path: str) -> tuple[KnownLeaf, ...]:
    leaves = []
    text = _read_bytes(path).decode(errors="replace")
    for number, line in enumerate(text.split("\n"), start=1):
        fields = line.partition("#")[0].split()
        if not fields:
            continue
        if len(fields) != 3 or fields[2].count("/") != 1:
            raise NotReadError(f"{path}: line {number}: allowed: ID SERVICE REGION/DATA-CENTRE")
        leaves.append(KnownLeaf(fields[0], fields[1], fields[2].partition("/")[0]))
    return tuple(leaves)


async def _read_in_force(address: str, form: Form, data: bytes) -> bytes | None:
    """Reads the version in force from the store.

    Returns:
        The version; None for a document that names no environment because it is invalid.

    Raises:
        NotReadError: The store does not answer or has no version.
    """
    address = address.removeprefix("http://")
    try:
        url = base_url(address)
    except ValueError as error:
        raise NotReadError(str(error)) from None
    if form == "platform":
        return await _read_routes(address)
    document = parse_document(text=data.decode(errors="replace"))
    if not isinstance(document, Success):
        return None
    name = document.unwrap().name
    async with KeyValueClient(base_url=url, timeout_seconds=_TIMEOUT_SECONDS) as client:
        store = Store(client=client, timeout_seconds=_TIMEOUT_SECONDS)
        try:
            stored = await store.read(accepted_key(name))
        except CtlError as error:
            raise NotReadError(f"{address}: {error}") from None
    if stored is None:
        raise NotReadError(f"{address}: environment {name} has no accepted document")
    return str(stored.value["text"]).encode()


async def _read_routes(address: str) -> bytes:
    async with DeploymentStore(address=address, timeout_seconds=_TIMEOUT_SECONDS) as store:
        match await store.list_prefix(ROUTES_KEY):
            case Failure(error):
                raise NotReadError(f"{address}: the store can't be read: {error}")
            case Success(listing):
                item = listing.item_by_key.get(ROUTES_KEY)
    if item is None or item.value is None:
        raise NotReadError(f"{address}: the store has no readable key {ROUTES_KEY}")
    value: bytes = item.value
    return value
