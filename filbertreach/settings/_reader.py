"""Reads INI text and records the line number of each section and option."""

import configparser
import io
import re
from typing import NamedTuple

from returns.result import Failure, Result, Success

from filbertreach.settings._errors import SettingsError, SettingsProblem

_INLINE_COMMENT = re.compile(r"\s[;#]")
_MAX_GAP = 100
"""Spaces between two words of an option's name. `configparser` takes time in the square of their
number: a megabyte of them would block it for about an hour. Values and comments take linear
time."""
_LONG_GAP = re.compile(rf"\S[^\S\n]{{{_MAX_GAP + 1},}}\S")
_END_OF_NAME = re.compile(r"[=:]|(?:^|\s)[;#]")


class IniOption(NamedTuple):
    """An option of an INI text."""

    value: str
    """Text after the separator, without comments."""
    line: int
    """Line number, from 1."""


class IniSection(NamedTuple):
    """A section of an INI text."""

    line: int
    """Line number of the header, from 1."""
    option_by_name: dict[str, IniOption]
    """Options by name, in the order of the text."""


def read_ini(*, text: str, source: str) -> Result[dict[str, IniSection], SettingsError]:
    """Parses INI text.

    Args:
        text: The complete INI text.
        source: Name of the text, shown in errors.

    Returns:
        Sections by name, in the order of the text, or a SettingsError if the text is not INI,
        repeats a section or option, or has more than 100 spaces between two words before a
        delimiter.
    """
    lines = enumerate(text.split("\n"), start=1)
    gaps = [number for number, line in lines if _LONG_GAP.search(_END_OF_NAME.split(line, 1)[0])]
    if gaps:
        message = f"more than {_MAX_GAP} spaces between two words of a name"
        problems = [SettingsProblem(line, "", "", "", message) for line in gaps]
        return Failure(SettingsError(source=source, problems=problems))
    parser = configparser.ConfigParser(
        interpolation=None,
        inline_comment_prefixes=(";", "#"),
        empty_lines_in_values=False,
        default_section="",
    )
    parser.optionxform = lambda optionstr: optionstr  # type: ignore[method-assign]
    try:
        parser.read_string(text, source=source)
    except configparser.Error as error:
        problems = [
            SettingsProblem(
                line=line,
                section=getattr(error, "section", None) or "",
                option=getattr(error, "option", "") or "",
                value="",
                message=_message(error),
            )
            for line in _error_lines(error)
        ]
        return Failure(SettingsError(source=source, problems=problems))
    return Success(_sections_with_lines(text=text, parser=parser))


def _error_lines(error: configparser.Error) -> list[int]:
    lines = [int(line) for line, _ in getattr(error, "errors", [])]
    return lines or [getattr(error, "lineno", 0) or 0]


def _message(error: configparser.Error) -> str:
    if isinstance(error, configparser.DuplicateSectionError):
        return "duplicate section; merge the two or remove one"
    if isinstance(error, configparser.DuplicateOptionError):
        return "duplicate option; remove one"
    if isinstance(error, configparser.MissingSectionHeaderError):
        return "text before the first section; add a [section] line before it"
    return "not a [section], an option = value, or an indented continuation of the previous line"


def _sections_with_lines(*, text: str, parser: configparser.ConfigParser) -> dict[str, IniSection]:
    section_by_name: dict[str, IniSection] = {}
    section: IniSection | None = None
    options: configparser.SectionProxy | None = None
    for number, line in enumerate(io.StringIO(text), start=1):
        if not line.strip() or line[0] in " \t;#":
            continue
        header = parser.SECTCRE.match(_INLINE_COMMENT.split(line, maxsplit=1)[0])
        if header is not None:
            name = header["header"]
            section = section_by_name[name] = IniSection(line=number, option_by_name={})
            options = parser[name]
            continue
        option = min(line.split("=", 1)[0], line.split(":", 1)[0], key=len).strip()
        if section is not None and options is not None and option in options:
            section.option_by_name[option] = IniOption(value=options[option], line=number)
    return section_by_name
