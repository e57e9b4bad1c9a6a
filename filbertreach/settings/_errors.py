"""Errors of the settings layer."""

from typing import NamedTuple


class SettingsProblem(NamedTuple):
    """One thing to correct in an INI text."""

    line: int
    """Line number from 1; 0 if the problem has no line."""
    section: str
    """Section name, or an empty string."""
    option: str
    """Option name, or an empty string."""
    value: str
    """Offending value, or an empty string."""
    message: str
    """What is wrong and what is allowed."""

    def __str__(self) -> str:
        """Formats the problem for a person, place first."""
        parts = [f"line {self.line}:"] if self.line else []
        if self.section:
            parts.append(f"[{self.section}]" if self.option else f"[{self.section}]:")
        if self.option:
            parts.append(f"{self.option} = {self.value!r}:" if self.value else f"{self.option}:")
        return " ".join([*parts, self.message])


class SettingsError(Exception):
    """An INI text that can't be used; lists every problem found, not only the first."""

    def __init__(self, *, source: str, problems: list[SettingsProblem]) -> None:
        """Keeps the problems.

        Args:
            source: File name, or another name for the text.
            problems: At least one problem, in line order.
        """
        self.source = source
        self.problems = sorted(problems, key=lambda problem: problem.line)
        super().__init__("\n".join(f"{source}: {problem}" for problem in self.problems))
