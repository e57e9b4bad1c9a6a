"""Decoding of malformed messages."""

import importlib
import json
import pkgutil
from collections.abc import Iterator
from typing import Any, TypedDict

import msgspec
import msgspec.inspect
import pytest

import filbertreach
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


def _decoders() -> dict[str, JsonDecoder[Any]]:
    """Returns the decoders of JSON of all modules by name; each is a constant of its module."""
    decoder_by_name = {}
    for module_info in pkgutil.walk_packages(filbertreach.__path__, "filbertreach."):
        if ".tests" in module_info.name or module_info.name.endswith("__main__"):
            continue
        module = importlib.import_module(module_info.name)
        for name, value in vars(module).items():
            if isinstance(value, JsonDecoder):
                decoder_by_name[f"{module_info.name}.{name}"] = value
    return decoder_by_name


def _inner_types(outer: msgspec.inspect.Type) -> Iterator[msgspec.inspect.Type]:
    """Yields a type and all types that its values may hold."""
    yield outer
    match outer:
        case msgspec.inspect.StructType() | msgspec.inspect.TypedDictType():
            inner = [field.type for field in outer.fields]
        case msgspec.inspect.ListType() | msgspec.inspect.VarTupleType():
            inner = [outer.item_type]
        case msgspec.inspect.DictType():
            inner = [outer.key_type, outer.value_type]
        case msgspec.inspect.UnionType():
            inner = list(outer.types)
        case _:
            inner = []
    for part in inner:
        yield from _inner_types(part)


def test_integers_of_all_messages_are_bounded() -> None:
    # Guards against integers that fail far from where they were read, and end the process there.
    decoder_by_name = _decoders()
    assert len(decoder_by_name) >= 15
    for name, decoder in decoder_by_name.items():
        for part in _inner_types(msgspec.inspect.type_info(decoder.message)):
            if isinstance(part, msgspec.inspect.IntType):
                assert part.ge is not None and part.le is not None, name
            if isinstance(part, msgspec.inspect.AnyType):
                assert decoder.has_open_values, name


def _nested(depth: int) -> bytes:
    return b'{"value":' + b"[" * depth + b"]" * depth + b"}"


@pytest.mark.parametrize(
    "data",
    [
        _nested(80),
        b'{"value":{"a":[' + b"9" * 20 + b"]}}",
        b'{"value":-' + b"9" * 400 + b"}",
    ],
)
def test_open_values_that_no_message_can_carry_are_invalid(data: bytes) -> None:
    # Guards against a value that is read by one process and ends it when it is passed on.
    decoder = JsonDecoder(message=dict[str, Any], has_open_values=True)
    with pytest.raises(InvalidMessageError):
        decoder.decode(data)


@pytest.mark.parametrize("data", [_nested(40), b'{"value":[18446744073709551615,1.5,null,true]}'])
def test_open_values_that_a_message_can_carry_are_decoded(data: bytes) -> None:
    decoder = JsonDecoder(message=dict[str, Any], has_open_values=True)
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(decoder.decode(data))) == json.loads(data)


@pytest.mark.parametrize("unit", ["{}", "[]", "1", '{"a":1}'])
@pytest.mark.parametrize("encode", [str.encode, str])
def test_a_message_of_too_many_values_is_rejected(unit: str, encode: Any) -> None:
    # Guards against some megabytes of JSON whose objects take more memory than a host has.
    decoder = JsonDecoder(message=dict[str, object], has_open_values=True)
    text = '{"a":[' + ",".join([unit] * 1_000_000) + "]}"
    with pytest.raises(InvalidMessageError, match="values"):
        decoder.decode(encode(text))
