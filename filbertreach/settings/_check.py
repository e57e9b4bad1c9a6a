"""Validates INI text against a JSON Schema and converts its values."""

import pathlib
import re
from typing import Any

from returns.result import Failure, Result, Success

from filbertreach.schema import load_schema
from filbertreach.settings._errors import SettingsError, SettingsProblem
from filbertreach.settings._reader import IniSection, read_ini

_TRUE_WORDS = ("true", "yes", "on", "1")
_FALSE_WORDS = ("false", "no", "off", "0")


class _InvalidValueError(ValueError):
    """The schema does not allow the value; the message says what is allowed."""


def load(path: str | pathlib.Path, schema_name: str) -> Result[dict[str, Any], SettingsError]:
    """Reads and validates an INI file.

    Args:
        path: Path of the file.
        schema_name: `settings`, `policy` or `document`.

    Returns:
        Values by section and option, with defaults, or a SettingsError that lists all problems.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        problem = SettingsProblem(0, "", "", "", f"the file can't be read: {error}")
        return Failure(SettingsError(source=str(path), problems=[problem]))
    return load_text(text=text, source=str(path), schema_name=schema_name)


def load_text(*, text: str, source: str, schema_name: str) -> Result[dict[str, Any], SettingsError]:
    """Validates an INI text.

    Args:
        text: The complete text.
        source: Name of the text, shown in errors.
        schema_name: `settings`, `policy` or `document`.

    Returns:
        Values by section and option, with defaults, or a SettingsError that lists all problems.
    """
    sections = read_ini(text=text, source=source)
    if not isinstance(sections, Success):
        return Failure(sections.failure())
    problems: list[SettingsProblem] = []
    values = _validate_sections(sections.unwrap(), load_schema(schema_name), problems)
    if problems:
        return Failure(SettingsError(source=source, problems=problems))
    return Success(values)


def _validate_sections(
    sections: dict[str, IniSection], schema: dict[str, Any], problems: list[SettingsProblem]
) -> dict[str, Any]:
    values: dict[str, Any] = {}
    for name, section in sections.items():
        section_schema = _section_schema(name, schema)
        if section_schema is None:
            problems.append(
                SettingsProblem(section.line, name, "", "", _unknown_section_message(schema))
            )
            continue
        values[name] = _validate_options(name, section, section_schema, problems)
    for name in schema.get("required", []):
        if name not in sections:
            problems.append(SettingsProblem(0, name, "", "", "the section is required"))
    for name, reference in schema["properties"].items():
        section_schema = _resolve_reference(reference, schema)
        if name not in values and not section_schema.get("required"):
            empty_section = IniSection(line=0, option_by_name={})
            values[name] = _validate_options(name, empty_section, section_schema, problems)
    return values


def _resolve_reference(reference: dict[str, Any], schema: dict[str, Any]) -> dict[str, Any]:
    name = reference["$ref"].rsplit("/", 1)[-1]
    resolved: dict[str, Any] = schema["$defs"][name]
    return resolved


def _section_schema(name: str, schema: dict[str, Any]) -> dict[str, Any] | None:
    if name in schema["properties"]:
        return _resolve_reference(schema["properties"][name], schema)
    for pattern, reference in schema.get("patternProperties", {}).items():
        if re.fullmatch(pattern.strip("^$"), name):
            return _resolve_reference(reference, schema)
    return None


def _unknown_section_message(schema: dict[str, Any]) -> str:
    names = list(schema["properties"])
    names += [
        f"{pattern[1:].split(' ')[0]} NAME" for pattern in schema.get("patternProperties", {})
    ]
    return f"unknown section; allowed: {', '.join(names)}"


def _validate_options(
    name: str, section: IniSection, schema: dict[str, Any], problems: list[SettingsProblem]
) -> dict[str, Any]:
    values: dict[str, Any] = {}
    for option, ini_option in section.option_by_name.items():
        option_schema = schema["properties"].get(option)
        if option_schema is None:
            allowed = ", ".join(schema["properties"])
            message = f"unknown option; allowed: {allowed}"
            problems.append(
                SettingsProblem(ini_option.line, name, option, ini_option.value, message)
            )
            continue
        try:
            values[option] = _convert(ini_option.value, option_schema)
        except _InvalidValueError as error:
            message = str(error)
            problems.append(
                SettingsProblem(ini_option.line, name, option, ini_option.value, message)
            )
    for option in schema.get("required", []):
        if option not in section.option_by_name:
            message = f"the option is required: {schema['properties'][option]['description']}"
            problems.append(SettingsProblem(section.line, name, option, "", message))
    for option, option_schema in schema["properties"].items():
        if "default" in option_schema:
            values.setdefault(option, option_schema["default"])
    return values


def _convert(text: str, schema: dict[str, Any]) -> Any:
    if "enum" in schema:
        if text not in schema["enum"]:
            raise _InvalidValueError(f"allowed: {', '.join(schema['enum'])}")
        return text
    match schema["type"]:
        case "integer":
            return _convert_number(text, int, "a whole number", schema)
        case "number":
            return _convert_number(text, float, "a number", schema)
        case "boolean":
            return _convert_boolean(text)
        case "array":
            return _convert_list(text, schema)
        case _:
            return _convert_string(text, schema)


def _convert_number(text: str, kind: type, kind_name: str, schema: dict[str, Any]) -> int | float:
    low, high = schema.get("minimum"), schema.get("maximum")
    bounds = f" from {low}" if low is not None else ""
    bounds += f" to {high}" if high is not None else ""
    allowed = f"allowed: {kind_name}{bounds}"
    try:
        value: int | float = kind(text)
    except ValueError:
        raise _InvalidValueError(allowed) from None
    # Each comparison is negated so that NaN is rejected.
    if (low is not None and not value >= low) or (high is not None and not value <= high):
        raise _InvalidValueError(allowed)
    if value != value or value in (float("inf"), float("-inf")):
        raise _InvalidValueError(allowed)
    return value


def _convert_boolean(text: str) -> bool:
    if text.lower() in _TRUE_WORDS:
        return True
    if text.lower() in _FALSE_WORDS:
        return False
    raise _InvalidValueError("allowed: true or false")


def _convert_list(text: str, schema: dict[str, Any]) -> list[str]:
    if schema.get("x-split") == "lines":
        items = [line.strip() for line in text.splitlines() if line.strip()]
    else:
        items = text.replace(",", " ").split()
    if len(items) < schema.get("minItems", 0):
        raise _InvalidValueError(f"must list at least {schema['minItems']} item(s)")
    return items


def _convert_string(text: str, schema: dict[str, Any]) -> str:
    if len(text) < schema.get("minLength", 0):
        raise _InvalidValueError("must not be empty")
    pattern = schema.get("pattern")
    if pattern and not re.search(pattern, text):
        raise _InvalidValueError(f"must match {pattern}: {schema['description']}")
    return text
