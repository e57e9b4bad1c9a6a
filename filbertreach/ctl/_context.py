"""Execution context of a verb: arguments, settings, the store and the operator."""

import argparse
import pathlib
from collections.abc import Callable
from typing import NamedTuple

from returns.result import Success

from filbertreach.ctl._access import AccessError, Operator, read_keys, read_operator
from filbertreach.ctl._errors import RefusedError, UsageError
from filbertreach.ctl._records import Accepted, accepted_key, history_key
from filbertreach.ctl._store import Store
from filbertreach.document import Environment, parse_document
from filbertreach.schema import CtlSection


class Context(NamedTuple):
    """Dependencies of a verb."""

    arguments: argparse.Namespace
    """Parsed command line."""
    settings: CtlSection
    """Section `ctl` with its defaults."""
    store: Store
    """Access to the key-value service."""
    report_progress: Callable[[str], None]
    """Called with each line of progress."""

    def operator(self) -> Operator:
        """Reads the operator's identity and key.

        Returns:
            The operator.

        Raises:
            UsageError: The settings name no operator or no key file.
            RefusedError: The key is unusable or not the operator's.
        """
        name, key_file = self.settings["operator"], self.settings["key_file"]
        if not name or not key_file:
            raise UsageError(
                f"{self.arguments.settings}: this verb writes; set operator and key_file in [ctl]"
            )
        try:
            return read_operator(name=name, key_file=key_file, keys_file=self.settings["keys_file"])
        except AccessError as error:
            raise RefusedError(f"access refused: {error}") from None

    def excluded_hosts(self) -> frozenset[str]:
        """Returns the hosts that --without excludes from waiting."""
        return frozenset(getattr(self.arguments, "without", []))

    def operator_keys(self) -> dict[str, bytes] | None:
        """Reads the keys of all operators.

        Returns:
            Key by operator name; None if no keys_file is set and signatures are not checked.

        Raises:
            RefusedError: The file is unusable.
        """
        if not self.settings["keys_file"]:
            return None
        try:
            return read_keys(self.settings["keys_file"])
        except AccessError as error:
            raise RefusedError(f"access refused: {error}") from None

    async def accepted(self, environment: str) -> Accepted | None:
        """Reads the accepted document of an environment."""
        stored = await self.store.read(accepted_key(environment))
        return None if stored is None else stored.value  # type: ignore[return-value]

    async def accepted_or_refuse(self, environment: str) -> Accepted:
        """Reads the accepted document of an environment.

        Raises:
            RefusedError: The environment has no accepted document.
        """
        accepted = await self.accepted(environment)
        if accepted is None:
            raise RefusedError(f"environment {environment} has no accepted document")
        return accepted

    async def generation(self, environment: str, generation: int) -> Accepted:
        """Reads one accepted generation of an environment.

        Raises:
            RefusedError: History does not contain it.
        """
        accepted = await self.accepted_or_refuse(environment)
        if accepted["generation"] == generation:
            return accepted
        stored = await self.store.read(history_key(environment, generation))
        if stored is None:
            raise RefusedError(
                f"environment {environment} has no generation {generation} in its history; "
                f"the accepted generation is {accepted['generation']}"
            )
        return stored.value  # type: ignore[return-value]


def read_file(path: str) -> str:
    """Reads a document file.

    Args:
        path: Path of the file.

    Returns:
        The text of the document.

    Raises:
        UsageError: The file can't be read or is not UTF-8.
    """
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"{path}: the file can't be read: {error}") from None


def parse_or_refuse(text: str, *, source: str, generation: int = 0) -> Environment:
    """Parses a document, or raises its problems as one refusal.

    Args:
        text: Text of the document.
        source: Name of the document in error messages.
        generation: Accepted generation; 0 for a draft.

    Returns:
        The environment.

    Raises:
        RefusedError: The document is invalid; the error lists every problem.
    """
    result = parse_document(text=text, source=source, generation=generation)
    if isinstance(result, Success):
        document: Environment = result.unwrap()
        return document
    problems = result.failure().problems
    return _raise_problems(source, [f"{source}: {problem}" for problem in problems])


def _raise_problems(source: str, lines: list[str]) -> Environment:
    noun = "problem" if len(lines) == 1 else "problems"
    raise RefusedError(
        f"{source}: {len(lines)} {noun} to correct", lines=lines, data={"problems": lines}
    )
