"""Decoding of malformed messages."""

from typing import TypedDict

import msgspec
import pytest

from filbertreach.schema import InvalidMessageError, JsonDecoder, MsgpackDecoder


class _Message(TypedDict):
    name: str


_DEPTH = 5_000


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{",
        b"\xff",
        b'{"name":"\xff"}',
        b'{"name":"\xed\xa0\x80"}',
        '{"name":"\ud800"}',
        b'{"name":1}',
        b"{}",
        b'{"name":"a","other":' + b"[" * _DEPTH + b"]" * _DEPTH + b"}",
    ],
)
def test_invalid_json_raises_the_declared_error(data: bytes | str) -> None:
    # Guards against a message that ends the process because the error is not the expected one.
    with pytest.raises(InvalidMessageError):
        JsonDecoder(message=_Message).decode(data)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        b"\x81\xa4name\xa1\xff",
        b"\x82\xa4name\xa1a\xa5other" + b"\x91" * _DEPTH + b"\x01",
    ],
)
def test_invalid_messagepack_raises_the_declared_error(data: bytes) -> None:
    with pytest.raises(InvalidMessageError):
        MsgpackDecoder(message=_Message).decode(data)


def test_messages_are_decoded() -> None:
    assert JsonDecoder(message=_Message).decode(b'{"name":"a"}') == {"name": "a"}
    packed = msgspec.msgpack.encode({"name": "a"})
    assert MsgpackDecoder(message=_Message).decode(packed) == {"name": "a"}
