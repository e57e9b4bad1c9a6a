"""Reads INI text and keeps the line of each section and option."""

import configparser
from typing import NamedTuple

from returns.result import Failure, Result, Success

from filbertreach.settings._errors import SettingsError, SettingsProblem


class IniOption(NamedTuple):
    """An option as written."""

    value: str
    """Text after the equals sign, comments removed."""
    line: int
    """Line number from 1."""


class IniSection(NamedTuple):
    """A section as written."""

    line: int
    """Line number of the header, from 1."""
    option_by_name: dict[str, IniOption]
    """Options in the order of the text."""


def read_ini(*, text: str, source: str) -> Result[dict[str, IniSection], SettingsError]:
    """Parses INI text.

    Args:
        text: The whole INI text.
        source: Name shown in errors.

    Returns:
        Sections by name in the order of the text, or a SettingsError for text that is not INI, and
        for a section or option that is written twice.
    """
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
        problem = SettingsProblem(
            line=getattr(error, "lineno", 0) or _first_error_line(error),
            section=getattr(error, "section", None) or "",
            option=getattr(error, "option", "") or "",
            value="",
            message=_explain(error),
        )
        return Failure(SettingsError(source=source, problems=[problem]))
    return Success(_with_lines(text=text, parser=parser))


def _first_error_line(error: configparser.Error) -> int:
    errors = getattr(error, "errors", [])
    return int(errors[0][0]) if errors else 0


def _explain(error: configparser.Error) -> str:
    if isinstance(error, configparser.DuplicateSectionError):
        return "the section is written twice; merge the two or remove one"
    if isinstance(error, configparser.DuplicateOptionError):
        return "the option is written twice; remove one"
    if isinstance(error, configparser.MissingSectionHeaderError):
        return "text before the first section; write a [section] line first"
    return "not a section, an option = value, or an indented continuation of the line before"


def _with_lines(*, text: str, parser: configparser.ConfigParser) -> dict[str, IniSection]:
    section_by_name: dict[str, IniSection] = {}
    current: IniSection | None = None
    values: configparser.SectionProxy | None = None
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line[0] in " \t;#":
            continue
        if line.startswith("["):
            name = line[1 : line.rindex("]")]
            current = section_by_name[name] = IniSection(line=number, option_by_name={})
            values = parser[name]
            continue
        option = min(line.split("=", 1)[0], line.split(":", 1)[0], key=len).strip()
        if current is not None and values is not None and option in values:
            current.option_by_name[option] = IniOption(value=values[option], line=number)
    return section_by_name
