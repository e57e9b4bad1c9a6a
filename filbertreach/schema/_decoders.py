"""Decoders of messages from other processes, which may be malformed in any way."""

from collections.abc import Callable
from typing import Generic, TypeVar

import msgspec

_Message = TypeVar("_Message")
_Data = TypeVar("_Data", bytes, bytes | str)


class InvalidMessageError(ValueError):
    """Bytes that are not a message of the expected type."""


def _decode(decode: Callable[[_Data], _Message], data: _Data) -> _Message:
    try:
        return decode(data)
    except (msgspec.MsgspecError, UnicodeError) as error:
        raise InvalidMessageError(str(error)) from error
    except RecursionError as error:
        raise InvalidMessageError("values are nested too deeply") from error


class JsonDecoder(Generic[_Message]):
    """Decodes and validates messages in JSON."""

    def __init__(self, *, message: type[_Message]) -> None:
        """Creates a decoder.

        Args:
            message: Type of the messages.
        """
        self._decoder = msgspec.json.Decoder(message)

    def decode(self, data: bytes | str) -> _Message:
        """Decodes a message.

        Args:
            data: JSON text.

        Raises:
            InvalidMessageError: The text is not JSON, or not a message of this type.
        """
        return _decode(self._decoder.decode, data)


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
