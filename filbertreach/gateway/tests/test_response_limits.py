"""Responses without end: limits of the parser, and memory beside normal requests."""

import gc
import itertools
import weakref
from collections.abc import Iterable

import pytest

from filbertreach.gateway._response_parser import InvalidResponseError, ResponseParser
from filbertreach.receive_limits import MemoryBudget

_HEAD = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_READ_BYTES = 64 * 1024
_MAX_FED_BYTES = 80 * 1024 * 1024
"""Bytes after which a parser that accepts everything fails the test."""


def _feed_until_rejected(parser: ResponseParser, start: bytes, unit: bytes) -> int:
    """Returns the number of bytes that the parser accepted."""
    fed = 0
    repeated = unit * max(1, _READ_BYTES // len(unit))
    for data in itertools.chain([start], itertools.repeat(repeated)):
        try:
            parser.feed(data)
        except InvalidResponseError:
            return fed
        fed += len(data)
        assert fed < _MAX_FED_BYTES, "the response was not rejected"
    raise AssertionError("not reached")


@pytest.mark.parametrize(
    ("start", "unit", "max_bytes"),
    [
        (_HEAD, b"a: b\r\n", 192 * 1024),
        (_HEAD + b"a: ", b"x" * 1024, 192 * 1024),
        (_HEAD, b"x" * 1024, 192 * 1024),
        (b"HTTP/1.1 200 ", b"reason " * 100, 192 * 1024),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n", 192 * 1024),
        (_CHUNKED + b"0\r\n", b"a: b\r\n", 192 * 1024),
        (_CHUNKED + b"1;", b"x" * 1024, 192 * 1024),
        (_CHUNKED, b"400\r\n" + b"x" * 1024 + b"\r\n", 9 * 1024 * 1024),
        (_CHUNKED, b"1\r\nx\r\n", 192 * 1024),
        (_HEAD + b"\r\n", b"x" * 1024, 9 * 1024 * 1024),
        (b"", b"\r\n", 192 * 1024),
    ],
    ids=[
        "headers",
        "one header value",
        "one header name",
        "reason phrase",
        "interim responses",
        "trailers",
        "chunk extension",
        "chunks",
        "chunks of one byte",
        "body without length",
        "line ends",
    ],
)
def test_a_response_without_end_is_rejected(start: bytes, unit: bytes, max_bytes: int) -> None:
    # Guards against a faulty leaf that uses up the memory of the host.
    memory = _memory()
    parser = ResponseParser(memory=memory)
    assert _feed_until_rejected(parser, start, unit) <= max_bytes
    parser.close()
    assert memory.held_bytes == 0


def _memory(max_bytes: int = 32 * 1024 * 1024) -> MemoryBudget:
    return MemoryBudget(max_bytes=max_bytes)


def _parsers(memory: MemoryBudget, count: int) -> Iterable[ResponseParser]:
    return [ResponseParser(sender=str(number), memory=memory) for number in range(count)]


def _rejects(parser: ResponseParser, data: bytes) -> bool:
    try:
        parser.feed(data)
    except InvalidResponseError:
        parser.close()
        return True
    return False


@pytest.mark.parametrize(
    ("count", "start", "part"),
    [
        (200, _HEAD + b"Content-Length: 4000000\r\n\r\n", b"x" * _READ_BYTES),
        (2000, _HEAD, b"x" * 4096),
        (2000, _HEAD, b"a: b\r\n" * 16),
    ],
    ids=["large bodies", "small heads", "headers"],
)
def test_many_responses_are_bounded_together(count: int, start: bytes, part: bytes) -> None:
    # Guards against connections that each stay below the limit of one response.
    memory = _memory()
    evicted: list[ResponseParser] = []
    open_parsers = list(_parsers(memory, count))
    for parser in open_parsers:
        parser._on_evicted = lambda parser=parser: evicted.append(parser)  # type: ignore[misc]
        parser.feed(start)
    for _ in range(15):
        for parser in list(open_parsers):
            if parser in evicted or _rejects(parser, part):
                open_parsers.remove(parser)
            assert memory.held_bytes <= 32 * 1024 * 1024
    assert len(open_parsers) < count


def test_a_large_answer_is_accepted_beside_those_of_a_faulty_leaf() -> None:
    # Guards against faulty leaves that make the large answers of all others fail.
    memory = _memory(1024 * 1024)
    evicted = []
    for number in range(4):
        faulty = ResponseParser(
            sender="faulty", on_evicted=lambda n=number: evicted.append(n), memory=memory
        )
        faulty.feed(_HEAD + b"Content-Length: 4000000\r\n\r\n" + b"x" * 250_000)
    sound = ResponseParser(sender="sound", memory=memory)
    sound.feed(_HEAD + b"Content-Length: 400000\r\n\r\n" + b"a" * 399_000)
    (response,) = sound.feed(b"b" * 1_000)
    assert len(response.body) == 400_000
    assert evicted


def test_small_responses_are_accepted_beside_large_ones() -> None:
    # Guards against a few faulty leaves that make the answers of all others fail.
    memory = _memory(1024 * 1024)
    large = ResponseParser(sender="large", memory=memory)
    large.feed(_HEAD + b"Content-Length: 4000000\r\n\r\n")
    with pytest.raises(InvalidResponseError):
        large.feed(b"x" * 2_000_000)
    small = ResponseParser(sender="small", memory=memory)
    small.feed(_HEAD + b"Content-Length: 4\r\n\r\nab")
    (response,) = small.feed(b"cd")
    assert response.body == b"abcd"


def test_a_closed_parser_holds_no_memory() -> None:
    # Guards against headers of closed connections that stay until the next garbage collection.
    gc.disable()
    try:
        parser = ResponseParser(memory=_memory())
        parser.feed(_HEAD + b"x" * 60_000)
        reference = weakref.ref(parser)
        parser.close()
        del parser
        assert reference() is None
    finally:
        gc.enable()


@pytest.mark.parametrize("size", [1, 1024, 8 * 1024 * 1024])
def test_a_response_within_the_limits_is_complete(size: int) -> None:
    parser = ResponseParser(memory=_memory())
    parser.feed(_HEAD + b"Content-Length: %d\r\n\r\n" % size)
    responses = parser.feed(b"x" * size)
    assert [len(response.body) for response in responses] == [size]


def test_a_late_copy_in_the_same_read_does_not_count() -> None:
    # Guards against rejecting an answer because of the size of another one before it.
    parser = ResponseParser(memory=_memory())
    body = b"x" * 300_000
    copy = _HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
    (first,) = parser.feed(copy + _HEAD)
    (second,) = parser.feed(b"Content-Length: 2\r\n\r\nok")
    assert (len(first.body), second.body) == (300_000, b"ok")


@pytest.mark.parametrize("status", [b"600", b"999"])
def test_a_status_that_does_not_exist_is_no_response(status: bytes) -> None:
    # Guards against an answer that can't be sent to the caller, who got a 500 in its place.
    parser = ResponseParser(memory=_memory())
    with pytest.raises(InvalidResponseError):
        parser.feed(b"HTTP/1.1 " + status + b" Odd\r\nContent-Length: 0\r\n\r\n")
    assert parser.take() == []
