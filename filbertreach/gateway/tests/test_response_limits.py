"""Responses without end: limits of the parser, and memory beside normal requests."""

import itertools
from collections.abc import Iterable

import pytest

from filbertreach.gateway._buffer_budget import BufferBudget
from filbertreach.gateway._response_parser import InvalidResponseError, ResponseParser

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
        (_CHUNKED, b"1\r\nx\r\n", 56 * 1024 * 1024),
        (_HEAD + b"\r\n", b"x" * 1024, 9 * 1024 * 1024),
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
    ],
)
def test_a_response_without_end_is_rejected(start: bytes, unit: bytes, max_bytes: int) -> None:
    # Guards against a faulty leaf that uses up the memory of the host.
    buffers = BufferBudget()
    parser = ResponseParser(buffers=buffers)
    assert _feed_until_rejected(parser, start, unit) <= max_bytes
    parser.close()
    assert buffers.held_bytes == 0


def _parsers(buffers: BufferBudget, count: int) -> Iterable[ResponseParser]:
    return [ResponseParser(buffers=buffers) for _ in range(count)]


def test_many_large_responses_are_bounded_together() -> None:
    # Guards against hundreds of connections that each stay below the limit of one response.
    buffers = BufferBudget()
    rejected = 0
    parsers = list(_parsers(buffers, 200))
    for parser in parsers:
        parser.feed(_HEAD + b"Content-Length: 4000000\r\n\r\n")
    for _ in range(20):
        for parser in list(parsers):
            try:
                parser.feed(b"x" * _READ_BYTES)
            except InvalidResponseError:
                rejected += 1
                parser.close()
                parsers.remove(parser)
            assert buffers.held_bytes < 48 * 1024 * 1024
    assert rejected


def test_small_responses_are_accepted_beside_large_ones() -> None:
    # Guards against a few faulty leaves that make the answers of all others fail.
    buffers = BufferBudget(max_bytes=1024 * 1024)
    large = ResponseParser(buffers=buffers)
    large.feed(_HEAD + b"Content-Length: 4000000\r\n\r\n")
    with pytest.raises(InvalidResponseError):
        large.feed(b"x" * 2_000_000)
    small = ResponseParser(buffers=buffers)
    small.feed(_HEAD + b"Content-Length: 4\r\n\r\nab")
    (response,) = small.feed(b"cd")
    assert response.body == b"abcd"


@pytest.mark.parametrize("size", [1, 1024, 8 * 1024 * 1024])
def test_a_response_within_the_limits_is_complete(size: int) -> None:
    parser = ResponseParser(buffers=BufferBudget())
    parser.feed(_HEAD + b"Content-Length: %d\r\n\r\n" % size)
    responses = parser.feed(b"x" * size)
    assert [len(response.body) for response in responses] == [size]


def test_a_late_copy_in_the_same_read_does_not_count() -> None:
    # Guards against rejecting an answer because of the size of another one before it.
    parser = ResponseParser(buffers=BufferBudget())
    body = b"x" * 300_000
    copy = _HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
    (first,) = parser.feed(copy + _HEAD)
    (second,) = parser.feed(b"Content-Length: 2\r\n\r\nok")
    assert (len(first.body), second.body) == (300_000, b"ok")


@pytest.mark.parametrize("status", [b"600", b"999"])
def test_a_status_that_does_not_exist_is_no_response(status: bytes) -> None:
    # Guards against an answer that can't be sent to the caller, who got a 500 in its place.
    parser = ResponseParser(buffers=BufferBudget())
    with pytest.raises(InvalidResponseError):
        parser.feed(b"HTTP/1.1 " + status + b" Odd\r\nContent-Length: 0\r\n\r\n")
    assert parser.take() == []
