"""Named faults that tests and demos inject over HTTP."""

import random
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple


class FaultError(ValueError):
    """A fault name is unknown or its value is invalid."""


class Fault(NamedTuple):
    """Definition of a fault that a stand-in supports."""

    name: str
    """Name of the fault in `PUT /admin/faults`."""
    default: Any
    """JSON value while the fault is off."""
    parse: Callable[[Any], Any]
    """Converts the JSON value; raises ValueError or TypeError if it is invalid."""
    meaning: str
    """Values and effect, as shown by `GET /admin/faults` and docs/platform-contract.md."""


class Trigger:
    """Selects the events that a fault affects: a share of them, or the next N."""

    def __init__(self, value: bool | float | dict[str, int]) -> None:
        """Creates a trigger from a JSON value.

        Args:
            value: True or false for all events or none, a share from 0 to 1, or `{"next": N}`.

        Raises:
            ValueError: The value has another format.
        """
        self.value = value
        self.remaining: int | None = None
        self.share = 0.0
        if isinstance(value, dict):
            if set(value) != {"next"} or not isinstance(value["next"], int) or value["next"] < 0:
                raise ValueError('expected {"next": N} with N of 0 or more')
            self.remaining = value["next"]
            self.share = 1.0
            return
        if not isinstance(value, bool | int | float) or not 0 <= value <= 1:
            raise ValueError('expected true, false, a share from 0 to 1, or {"next": N}')
        self.share = float(value)

    def fires(self, generator: random.Random) -> bool:
        """Returns whether the fault affects this event, and uses up one of the next N if so.

        Args:
            generator: Seeded generator; used only if the share is between 0 and 1.
        """
        if self.remaining is not None:
            if self.remaining == 0:
                return False
            self.remaining -= 1
            return True
        return self.share >= 1 or (self.share > 0 and generator.random() < self.share)


def one_of(*allowed: Any) -> Callable[[Any], Any]:
    """Returns a parser that accepts only the given values."""

    def parse(value: Any) -> Any:
        # The type is compared as well, because True == 1 in Python.
        for choice in allowed:
            if value == choice and type(value) is type(choice):
                return value
        raise ValueError(f"expected one of {', '.join(map(repr, allowed))}")

    return parse


def non_negative_number(value: Any) -> float:
    """Parses a number of 0 or more."""
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise ValueError("expected a number of 0 or more")
    return float(value)


def non_negative_integer(value: Any) -> int:
    """Parses an integer of 0 or more."""
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError("expected a whole number of 0 or more")
    return value


class FaultSet:
    """The faults of one stand-in and their current values."""

    def __init__(self, *, faults: Iterable[Fault], generator: random.Random) -> None:
        """Creates a set with every fault off.

        Args:
            faults: All faults that the stand-in supports.
            generator: Seeded generator for triggers with a share.
        """
        self._fault_by_name = {fault.name: fault for fault in faults}
        self._generator = generator
        self.json_by_name: dict[str, Any] = {}
        """Current JSON values that differ from the default."""
        self._value_by_name: dict[str, Any] = {}

    def __bool__(self) -> bool:
        """Returns whether any fault is on."""
        return bool(self.json_by_name)

    def update(self, changes: dict[str, Any]) -> None:
        """Sets the given faults and leaves the others unchanged; null restores a default.

        Args:
            changes: JSON value by fault name.

        Raises:
            FaultError: A name is unknown or a value is invalid; nothing was changed.
        """
        parsed = {}
        for name, value in changes.items():
            fault = self._fault_by_name.get(name)
            if fault is None:
                known = ", ".join(sorted(self._fault_by_name))
                raise FaultError(f"fault {name!r} does not exist; known faults: {known}")
            try:
                parsed[name] = fault.parse(fault.default if value is None else value)
            except (TypeError, ValueError) as error:
                raise FaultError(f"fault {name!r}: {error}, not {value!r}") from error
        for name, value in changes.items():
            default = self._fault_by_name[name].default
            self.json_by_name.pop(name, None)
            self._value_by_name.pop(name, None)
            if value is not None and (value != default or type(value) is not type(default)):
                self.json_by_name[name] = value
                self._value_by_name[name] = parsed[name]

    def clear(self) -> None:
        """Switches every fault off."""
        self.json_by_name.clear()
        self._value_by_name.clear()

    def value(self, name: str) -> Any:
        """Returns the current parsed value of a fault."""
        if name in self._value_by_name:
            return self._value_by_name[name]
        return self._fault_by_name[name].default

    def fires(self, name: str) -> bool:
        """Returns whether a fault whose value is a `Trigger` affects the current event."""
        trigger = self._value_by_name.get(name)
        return trigger is not None and trigger.fires(self._generator)

    def describe(self) -> dict[str, Any]:
        """Returns value, default and meaning by fault name as JSON."""
        return {
            name: {
                "value": self.json_by_name.get(name, fault.default),
                "default": fault.default,
                "meaning": fault.meaning,
            }
            for name, fault in self._fault_by_name.items()
        }
