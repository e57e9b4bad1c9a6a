"""Named faults that tests and demos switch on over HTTP."""

import random
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple


class FaultError(ValueError):
    """A fault name or value that the stand-in doesn't know."""


class Fault(NamedTuple):
    """One fault of a stand-in."""

    name: str
    """Name in `PUT /admin/faults`."""
    default: Any
    """Value while the fault is off, as JSON."""
    parse: Callable[[Any], Any]
    """Converts the JSON value; raises ValueError or TypeError if it is not allowed."""
    meaning: str
    """Value and effect, for the documentation and `GET /admin/faults`."""


class Trigger:
    """Decides which of many events a fault strikes: a share of them, or the next few."""

    def __init__(self, value: bool | float | dict[str, int]) -> None:
        """Creates a trigger.

        Args:
            value: True or false, a share from 0 to 1, or `{"next": N}`.

        Raises:
            ValueError: The value has another form.
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
        """Returns whether the fault strikes this event, and counts it.

        Args:
            generator: Seeded generator, used only for a share between 0 and 1.
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
        # True == 1 in Python, so the type is compared too.
        for choice in allowed:
            if value == choice and type(value) is type(choice):
                return value
        raise ValueError(f"expected one of {', '.join(map(repr, allowed))}")

    return parse


def at_least_zero(value: Any) -> float:
    """Parses a number of 0 or more."""
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise ValueError("expected a number of 0 or more")
    return float(value)


def whole_number(value: Any) -> int:
    """Parses a whole number of 0 or more."""
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError("expected a whole number of 0 or more")
    return value


class FaultSet:
    """The faults of one stand-in, with the values now in force."""

    def __init__(self, *, faults: Iterable[Fault], generator: random.Random) -> None:
        """Starts with every fault off.

        Args:
            faults: All faults that the stand-in knows.
            generator: Seeded generator for shares.
        """
        self._fault_by_name = {fault.name: fault for fault in faults}
        self._generator = generator
        self.json_by_name: dict[str, Any] = {}
        """Values in force that differ from the default, as JSON."""
        self._value_by_name: dict[str, Any] = {}

    def __bool__(self) -> bool:
        """Returns whether any fault is on."""
        return bool(self.json_by_name)

    def update(self, changes: dict[str, Any]) -> None:
        """Sets some faults and leaves the others; null restores the default.

        Args:
            changes: JSON value by fault name.

        Raises:
            FaultError: A name or value is not known; nothing was changed.
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
        """Returns the parsed value of a fault."""
        if name in self._value_by_name:
            return self._value_by_name[name]
        return self._fault_by_name[name].default

    def fires(self, name: str) -> bool:
        """Returns whether a fault that is a `Trigger` strikes the present event."""
        trigger = self._value_by_name.get(name)
        return trigger is not None and trigger.fires(self._generator)

    def describe(self) -> dict[str, Any]:
        """Returns value, default and meaning by fault name, as JSON."""
        return {
            name: {
                "value": self.json_by_name.get(name, fault.default),
                "default": fault.default,
                "meaning": fault.meaning,
            }
            for name, fault in self._fault_by_name.items()
        }
