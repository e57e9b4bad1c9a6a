"""Findings of a check and differences between two versions."""

from typing import Literal, NamedTuple

Severity = Literal["error", "warning", "note"]
"""error: the configuration is refused or read differently; warning: it works, but has a part
without effect or limits that contradict each other; note: it does what it says, with an effect that
may surprise, and the exit code stays the same."""
SEVERITIES: tuple[Severity, ...] = ("error", "warning", "note")
"""The severities, the most severe first."""

DifferenceKind = Literal["added", "removed", "changed", "moved", "raised", "lowered"]
"""How a version differs. raised, lowered: a number changed; moved: a route takes other requests or
leads to other services."""

_MAX_TEXT = 300
"""Characters of a text that are shown; a hostile document can hold names of a megabyte."""


class Remark(NamedTuple):
    """What a check has found at one place."""

    path: str
    """Path in the document; empty for the document as a whole."""
    message: str
    """What is wrong."""
    advice: str
    """What to do."""
    line: int = 0
    """Line number, from 1; 0 if unknown."""


class Finding(NamedTuple):
    """A remark with the check that made it."""

    severity: Severity
    """How severe it is."""
    check: str
    """Name of the check."""
    path: str
    """Path in the document; empty for the document as a whole."""
    line: int
    """Line number, from 1; 0 if unknown."""
    message: str
    """What is wrong."""
    advice: str
    """What to do."""

    def __str__(self) -> str:
        """Formats the finding as one line."""
        place = [f"line {self.line}"] if self.line else []
        place += [self.path] if self.path else []
        where = f"{', '.join(place)}: " if place else ""
        return f"{self.severity}: {where}{self.message} [{self.check}]; {self.advice}"


class MeaningDifference(NamedTuple):
    """One difference in meaning from the version in force."""

    what: DifferenceKind
    """How the new version differs."""
    part: str
    """Kind of part: route, service, account, ..."""
    name: str
    """Name of the part."""
    field: str
    """Changed field, or an empty string."""
    before: str
    """Value in force, or an empty string."""
    after: str
    """New value, or an empty string."""
    slowed: tuple[str, ...] = ()
    """Client accounts whose requests the difference can slow or refuse."""

    def __str__(self) -> str:
        """Formats the difference as one line."""
        text = f"{self.what} {self.part} {self.name}".rstrip()
        text += f": {self.field}" if self.field else ""
        if self.before or self.after:
            text += f" {self.before or '(none)'} -> {self.after or '(none)'}"
        if self.slowed:
            text += f"; can slow {shorten_list(self.slowed)}"
        return text


_SHOWN_NAMES = 5
"""Names of a list that are shown in one line."""


def shorten_list(names: tuple[str, ...] | list[str]) -> str:
    """Returns the first names of a list and the number of the others."""
    shown = ", ".join(names[:_SHOWN_NAMES])
    return shown + (f" and {len(names) - _SHOWN_NAMES} more" if len(names) > _SHOWN_NAMES else "")


def counted(count: int, noun: str) -> str:
    """Returns a number with its noun, which forms its plural with an s."""
    return f"{count} {noun}" if count == 1 else f"{count} {noun}s"


def printable(text: str) -> str:
    """Returns a text that is safe to print: of limited length, without control characters."""
    text = text if len(text) <= _MAX_TEXT else text[:_MAX_TEXT] + "..."
    if text.isprintable():
        return text
    return "".join(
        character if character.isprintable() else character.encode("unicode_escape").decode()
        for character in text
    )
