"""Finds problems and places in the text of an environment document."""

import re
from collections.abc import Iterator

from returns.result import Success

from filbertreach.document import MAX_DOCUMENT_BYTES, parse_document
from filbertreach.settings import SettingsProblem, read_ini

_UNKNOWN_REFERENCE = "unknown "
_SECTION_HEADER = re.compile(r"\[([^\]]+)\]")


def later_problems(text: str, problems: list[SettingsProblem]) -> Iterator[SettingsProblem]:
    """Finds problems that the parser does not reach because of earlier ones.

    The parser checks references between sections only if each section is valid by itself. Here the
    invalid sections are left out, without the references to them that are then missing.

    Args:
        text: The document.
        problems: Problems that the parser has found.

    Returns:
        Further problems.
    """
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        return
    sections = read_ini(text=text, source="document")
    if not isinstance(sections, Success):
        known = {problem.line for problem in problems}
        yield from (item for item in _repeated_parts(text) if item.line not in known)
        return
    invalid = {problem.section for problem in problems}
    lines, is_kept = [], True
    for line in text.split("\n"):
        header = _SECTION_HEADER.match(line)
        if header:
            is_kept = header.group(1) not in invalid
        lines.append(line if is_kept else "")
    if "environment" in invalid:
        lines += ["[environment]", "name = unnamed"]
    rest = parse_document(text="\n".join(lines))
    if isinstance(rest, Success):
        return
    names = sections.unwrap().keys()
    reported = {(problem.line, problem.section, problem.option) for problem in problems}
    for problem in rest.failure().problems:
        kind = problem.message.removeprefix(_UNKNOWN_REFERENCE).partition(";")[0]
        is_follow_up = f"{kind} {problem.value}" in names
        if not is_follow_up and (problem.line, problem.section, problem.option) not in reported:
            yield problem


def _repeated_parts(text: str) -> Iterator[SettingsProblem]:
    """Finds the repeated sections and options, of which the parser reports only the first."""
    seen_by_section: dict[str, set[str]] = {}
    section = ""
    for number, line in enumerate(text.split("\n"), start=1):
        if not line.strip() or line[0] in " \t;#":
            continue
        header = _SECTION_HEADER.match(line)
        if header:
            section = header.group(1)
            if section in seen_by_section:
                message = "duplicate section; merge the two or remove one"
                yield SettingsProblem(number, section, "", "", message)
            seen_by_section[section] = set()
            continue
        option = re.split("[=:]", line, maxsplit=1)[0].strip()
        seen = seen_by_section.setdefault(section, set())
        if option in seen:
            yield SettingsProblem(number, section, option, "", "duplicate option; remove one")
        seen.add(option)


def line_by_place(text: str) -> dict[tuple[str, str], int]:
    """Returns the lines of sections and options; the option is empty for the section itself.

    Args:
        text: A valid document.
    """
    lines: dict[tuple[str, str], int] = {}
    for name, section in read_ini(text=text, source="document").unwrap().items():
        lines[name, ""] = section.line
        for option, ini_option in section.option_by_name.items():
            lines[name, option] = ini_option.line
    return lines
