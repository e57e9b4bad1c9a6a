"""Errors in settings files and other INI texts."""

from typing import NamedTuple


class SettingsProblem(NamedTuple):
    """One problem in an INI text."""

    line: int
    """Line number, from 1; 0 if the problem has no line."""
    section: str
    """Section name, or an empty string."""
    option: str
    """Option name, or an empty string."""
    value: str
    """Invalid value, or an empty string."""
    message: str
    """What is wrong, or what is allowed."""

    def __str__(self) -> str:
        """Formats the problem as line, section, option and message."""
        parts = [f"line {self.line}:"] if self.line else []
        if self.section:
            parts.append(f"[{self.section}]" if self.option else f"[{self.section}]:")
        if self.option:
            parts.append(f"{self.option} = {self.value!r}:" if self.value else f"{self.option}:")
        return " ".join([*parts, self.message])


class SettingsError(Exception):
    """The INI text is invalid; lists all problems found, not only the first."""

    def __init__(self, *, source: str, problems: list[SettingsProblem]) -> None:
        """Creates the error.

        Args:
            source: File name or other name of the text, shown in the message.
            problems: At least one problem, in any order.
        """
        self.source = source
        self.problems = sorted(problems, key=lambda problem: problem.line)
        super().__init__("\n".join(f"{source}: {problem}" for problem in self.problems))
