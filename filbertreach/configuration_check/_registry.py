"""Registries of the checks, one for each form of a configuration."""

import datetime
from collections.abc import Callable, Iterator, Mapping
from typing import Generic, NamedTuple, TypeVar

from filbertreach.configuration_check._findings import Remark, Severity
from filbertreach.document import Environment
from filbertreach.platform import ConfigurationDraft


class KnownLeaf(NamedTuple):
    """A leaf that exists."""

    id: str
    """Leaf id."""
    service: str
    """Service whose shards it holds."""
    region: str
    """Region."""


class CheckOptions(NamedTuple):
    """What is known beside the document."""

    regions: frozenset[str] | None = None
    """Regions that exist; None if they are not known."""
    leaves: tuple[KnownLeaf, ...] | None = None
    """Leaves that exist; None if they are not known."""
    hosts: int | None = None
    """Number of hosts that connect to each leaf; None if it is not known."""
    now: datetime.datetime | None = None
    """Time of the check, UTC; None to leave out the checks of planned changes."""

    def known_regions(self) -> frozenset[str] | None:
        """Returns the regions that exist; None if nothing is known about them."""
        if self.regions is None and self.leaves is None:
            return None
        return (self.regions or frozenset()) | {leaf.region for leaf in self.leaves or ()}


class RoutesSubject(NamedTuple):
    """A configuration in the platform's form, as checks see it."""

    draft: ConfigurationDraft
    """Its valid parts."""
    options: CheckOptions
    """What is known beside it."""


class DocumentSubject(NamedTuple):
    """An environment document, as checks see it."""

    environment: Environment
    """The document."""
    line_by_place: Mapping[tuple[str, str], int]
    """Line by section and option; the option is empty for the section itself."""
    options: CheckOptions
    """What is known beside it."""

    def remark(self, section: str, option: str, message: str, advice: str) -> Remark:
        """Returns a remark about an option, with its line.

        Args:
            section: Section.
            option: Option, or an empty string for the section.
            message: What is wrong.
            advice: What to do.
        """
        line = self.line_by_place.get((section, option)) or self.line_by_place.get((section, ""), 0)
        return Remark(f"[{section}] {option}".rstrip(), message, advice, line)


_Subject = TypeVar("_Subject")
_Run = Callable[[_Subject], Iterator[Remark]]


class Check(NamedTuple, Generic[_Subject]):
    """A check of one form of a configuration."""

    name: str
    """Name shown with its findings."""
    severity: Severity
    """Severity of its findings."""
    run: _Run[_Subject]
    """Yields what it finds."""


routes_check_by_name: dict[str, Check[RoutesSubject]] = {}
"""Checks of the platform's form, in the order of registration."""
document_check_by_name: dict[str, Check[DocumentSubject]] = {}
"""Checks of documents, in the order of registration."""


def routes_check(
    name: str, *, severity: Severity = "warning"
) -> Callable[[_Run[RoutesSubject]], _Run[RoutesSubject]]:
    """Registers a check of the platform's form.

    Args:
        name: Name shown with its findings.
        severity: Severity of its findings.

    Returns:
        The decorator.
    """
    return _registering(routes_check_by_name, name, severity)


def document_check(
    name: str, *, severity: Severity = "warning"
) -> Callable[[_Run[DocumentSubject]], _Run[DocumentSubject]]:
    """Registers a check of documents.

    Args:
        name: Name shown with its findings.
        severity: Severity of its findings.

    Returns:
        The decorator.
    """
    return _registering(document_check_by_name, name, severity)


def _registering(
    check_by_name: dict[str, Check[_Subject]], name: str, severity: Severity
) -> Callable[[_Run[_Subject]], _Run[_Subject]]:
    def register(run: _Run[_Subject]) -> _Run[_Subject]:
        check_by_name[name] = Check(name, severity, run)
        return run

    return register
