"""Runs the checks of a configuration."""

import itertools
import re
from collections.abc import Iterable
from typing import Literal, NamedTuple

from returns.result import Failure, Result, Success

from filbertreach.configuration_check import _documents, _limits, _unused_entries
from filbertreach.configuration_check._differences import diff_environments, diff_routes
from filbertreach.configuration_check._document_text import later_problems, line_by_place
from filbertreach.configuration_check._findings import (
    SEVERITIES,
    Finding,
    MeaningDifference,
    Severity,
    printable,
)
from filbertreach.configuration_check._registry import (
    Check,
    CheckOptions,
    DocumentSubject,
    RoutesSubject,
    document_check_by_name,
    routes_check_by_name,
)
from filbertreach.document import Environment, parse_document
from filbertreach.platform import MAX_VALUE_BYTES, ConfigurationDraft, field_path, read_draft
from filbertreach.settings import SettingsProblem

Form = Literal["document", "platform"]

MAX_FINDINGS = 10_000
"""Findings that are kept, the most severe ones; the others are counted."""
_CHECK_MODULES = (_unused_entries, _limits, _documents)
"""Imported for their side effect: each module registers its checks."""
_SECRET_OPTION_PARTS = ("token", "key", "secret", "password")
"""Values of options with these words are not shown. Unknown options count too, as the token itself
may be under a misspelt name."""


class UnreadableVersionError(Exception):
    """The version to compare with can't be read."""


class CheckResult(NamedTuple):
    """Result of the check of one configuration."""

    form: Form
    """Form of the configuration."""
    findings: tuple[Finding, ...]
    """Findings in the order of their lines and paths."""
    omitted: int
    """Number of further findings."""
    differences: tuple[MeaningDifference, ...]
    """Differences from the version in force; empty if none was given."""

    @property
    def severities(self) -> frozenset[Severity]:
        """Severities of the findings."""
        return frozenset(finding.severity for finding in self.findings)


def detect_form(data: bytes) -> Form:
    """Returns the form that a text seems to have: JSON objects begin with a brace.

    Args:
        data: The text.
    """
    return "platform" if data.lstrip()[:1] == b"{" else "document"


def check_configuration(
    data: bytes, *, form: Form, options: CheckOptions, against: bytes | None = None
) -> Result[CheckResult, UnreadableVersionError]:
    """Checks a configuration.

    Args:
        data: The text.
        form: Form of both texts.
        options: What is known beside the text.
        against: Version in force; None if it is not compared.

    Returns:
        The result; an error if the version in force can't be read.
    """
    if form == "platform":
        return _check_routes(data, options, against)
    return _check_document(data, options, against)


def _check_routes(
    data: bytes, options: CheckOptions, against: bytes | None
) -> Result[CheckResult, UnreadableVersionError]:
    draft = read_draft(data)
    findings = _Findings(omitted=draft.omitted_problems)
    for problem in sorted(draft.problems, key=lambda item: item.effect != "refused"):
        findings.add(
            Finding(
                "warning" if problem.effect == "ignored" else "error",
                problem.effect,
                problem.path,
                problem.line,
                problem.message,
                problem.advice,
            )
        )
    if len(data) > MAX_VALUE_BYTES:
        message = f"{len(data):,} bytes; the platform takes values of {MAX_VALUE_BYTES:,} bytes"
        findings.add(Finding("warning", "size", "", 0, message, "remove parts or white space"))
    findings.run(routes_check_by_name.values(), RoutesSubject(draft, options))
    differences: tuple[MeaningDifference, ...] = ()
    if against is not None:
        in_force = read_draft(against)
        if in_force.table is None:
            reasons = "; ".join(
                printable(f"{item.path}: {item.message}") for item in in_force.problems[:3]
            )
            return Failure(UnreadableVersionError(reasons))
        differences = tuple(diff_routes(in_force, draft))
        _check_version(in_force, draft, differences, findings)
    return Success(findings.result("platform", differences))


def _check_version(
    before: ConfigurationDraft,
    after: ConfigurationDraft,
    differences: tuple[MeaningDifference, ...],
    findings: "_Findings",
) -> None:
    if before.table is None or after.table is None or not differences:
        return
    old, new = before.table.version, after.table.version
    if new <= old:
        findings.add(
            Finding(
                "error",
                "old-version",
                field_path("", "version"),
                0,
                f"version {new} is not above version {old}, which is in force; gateways ignore it",
                f"write at least {old + 1}",
            )
        )


def _check_document(
    data: bytes, options: CheckOptions, against: bytes | None
) -> Result[CheckResult, UnreadableVersionError]:
    findings = _Findings()
    environment: Environment | None = None
    try:
        text = _decode_lines(data)
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        message = f"byte {error.start} is no UTF-8"
        findings.add(Finding("error", "refused", "", line, message, "save the text as UTF-8"))
    else:
        match parse_document(text=text):
            case Success(parsed):
                environment = parsed
            case Failure(error):
                for problem in [*error.problems, *later_problems(text, error.problems)]:
                    findings.add(_to_finding(_without_secret(problem)))
    if environment is not None:
        lines = line_by_place(text)
        subject = DocumentSubject(environment, lines, options)
        findings.run(document_check_by_name.values(), subject)
    differences: tuple[MeaningDifference, ...] = ()
    if against is not None:
        in_force = parse_document(text=_decode_lines(against, errors="replace"))
        if not isinstance(in_force, Success):
            problems = in_force.failure().problems[:3]
            reasons = "; ".join(printable(str(_without_secret(item))) for item in problems)
            return Failure(UnreadableVersionError(reasons))
        if environment is not None:
            differences = tuple(diff_environments(in_force.unwrap(), environment))
    return Success(findings.result("document", differences))


def _decode_lines(data: bytes, errors: str = "strict") -> str:
    """Decodes a text with the ends of lines that `apply` sends, which reads it as a text file."""
    return data.decode(errors=errors).replace("\r\n", "\n").replace("\r", "\n")


class _Findings:
    """Collects findings; above the limit, the less severe ones are left out."""

    def __init__(self, *, omitted: int = 0) -> None:
        self._by_severity: dict[Severity, list[Finding]] = {item: [] for item in SEVERITIES}
        self._omitted = omitted

    def add(self, finding: Finding) -> None:
        findings = self._by_severity[finding.severity]
        if len(findings) >= MAX_FINDINGS:
            self._omitted += 1
            return
        findings.append(
            Finding(
                finding.severity,
                finding.check,
                printable(finding.path),
                finding.line,
                printable(finding.message),
                printable(finding.advice),
            )
        )

    def run(self, checks: Iterable[Check], subject: DocumentSubject | RoutesSubject) -> None:
        for check in checks:
            for remark in check.run(subject):
                self.add(
                    Finding(
                        check.severity,
                        check.name,
                        remark.path,
                        remark.line,
                        remark.message,
                        remark.advice,
                    )
                )

    def result(self, form: Form, differences: tuple[MeaningDifference, ...]) -> CheckResult:
        findings = list(itertools.chain.from_iterable(self._by_severity.values()))
        kept = findings[:MAX_FINDINGS]
        omitted = self._omitted + len(findings) - len(kept)
        ordered = sorted(kept, key=lambda item: (item.line, _natural(item.path)))
        shown = tuple(_printable_difference(item) for item in differences)
        return CheckResult(form, tuple(ordered), omitted, shown)


def _printable_difference(difference: MeaningDifference) -> MeaningDifference:
    return difference._replace(
        name=printable(difference.name),
        before=printable(difference.before),
        after=printable(difference.after),
    )


def _natural(path: str) -> list[tuple[int, str]]:
    """Returns a sort key with which `routes[10]` comes after `routes[9]`."""
    return [
        (int(part), "") if part.isdecimal() else (-1, part) for part in re.split(r"(\d+)", path)
    ]


def _to_finding(problem: SettingsProblem) -> Finding:
    path = f"[{problem.section}]" if problem.section else ""
    path = f"{path} {problem.option}".strip()
    message = f"{printable(problem.value)!r}: " if problem.value else ""
    advice = "correct the line" if problem.line else "correct the document"
    return Finding("error", "refused", path, problem.line, message + problem.message, advice)


def _without_secret(problem: SettingsProblem) -> SettingsProblem:
    option = problem.option.lower()
    if any(part in option for part in _SECRET_OPTION_PARTS):
        return problem._replace(value="")
    return problem
