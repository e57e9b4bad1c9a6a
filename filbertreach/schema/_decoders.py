"""Decoders of messages from other processes, which may be malformed in any way."""

from collections.abc import Callable
from typing import Any, Generic, TypeVar

import msgspec

_Message = TypeVar("_Message")
_Data = TypeVar("_Data", bytes, bytes | str)

_MAX_DEPTH = 64
"""Levels of a message with values of any type."""
_MAX_VALUES = 500_000
"""Values of a message. Each takes up to some hundred bytes of memory, and two bytes of JSON."""
_MIN_INTEGER = -(2**63)
_MAX_INTEGER = 2**64 - 1
"""Range of the integers of MessagePack."""


class InvalidMessageError(ValueError):
    """Bytes that are not a message of the expected type."""


def _decode(decode: Callable[[_Data], _Message], data: _Data) -> _Message:
    try:
        return decode(data)
    except (msgspec.MsgspecError, UnicodeError) as error:
        raise InvalidMessageError(str(error)) from error
    except RecursionError as error:
        raise InvalidMessageError("values are nested too deeply") from error


def _check_open_values(message: object) -> None:
    """Checks values of any type, which may be passed on in messages of this system.

    Args:
        message: Decoded JSON.

    Raises:
        InvalidMessageError: A value is nested more deeply, or is a larger integer, than a message
            can carry.
    """
    level: list[Any] = [message]
    for _ in range(_MAX_DEPTH):
        inner: list[Any] = []
        for value in level:
            if isinstance(value, dict):
                inner += value.values()
            elif isinstance(value, list):
                inner += value
            elif isinstance(value, int) and not _MIN_INTEGER <= value <= _MAX_INTEGER:
                raise InvalidMessageError("an integer has more than 64 bits")
        if not inner:
            return
        level = inner
    raise InvalidMessageError(f"values are nested in more than {_MAX_DEPTH} levels")


def _separator_count(data: bytes | str) -> int:
    """Returns an upper bound of the number of values of a JSON text that are not the first one."""
    if isinstance(data, str):
        return data.count(",") + data.count("[") + data.count("{")
    return data.count(b",") + data.count(b"[") + data.count(b"{")


class JsonDecoder(Generic[_Message]):
    """Decodes and validates messages in JSON."""

    def __init__(self, *, message: type[_Message], has_open_values: bool = False) -> None:
        """Creates a decoder.

        Args:
            message: Type of the messages.
            has_open_values: Whether the type allows values of any type, which are then limited to
                what every message may carry.
        """
        self.message = message
        """Type of the messages."""
        self.has_open_values = has_open_values
        """Whether the type allows values of any type."""
        self._decoder = msgspec.json.Decoder(message)

    def decode(self, data: bytes | str) -> _Message:
        """Decodes a message.

        Args:
            data: JSON text.

        Raises:
            InvalidMessageError: The text is not JSON, or not a message of this type.
        """
        if _separator_count(data) > _MAX_VALUES:
            raise InvalidMessageError(f"more than {_MAX_VALUES} values")
        message = _decode(self._decoder.decode, data)
        if self.has_open_values:
            _check_open_values(message)
        return message


class MsgpackDecoder(Generic[_Message]):
    """Decodes and validates messages in MessagePack."""

    def __init__(self, *, message: type[_Message]) -> None:
        """Creates a decoder.

        Args:
            message: Type of the messages.
        """
        self._decoder = msgspec.msgpack.Decoder(message)

    def decode(self, data: bytes) -> _Message:
        """Decodes a message.

        Args:
            data: The message.

        Raises:
            InvalidMessageError: The bytes are not a message of this type.
        """
        return _decode(self._decoder.decode, data)
