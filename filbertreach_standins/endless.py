"""Bytes without end, and a process that sends them to whoever calls it, or to a server."""

import argparse
import contextlib
import json
import signal
import socket
import threading
from typing import NamedTuple


class EndlessBytes(NamedTuple):
    """The beginning of a message, and what follows it again and again."""

    start: bytes
    """Sent once."""
    unit: bytes
    """Repeated until the connection is closed."""


_RESPONSE = b"HTTP/1.1 200 OK\r\n"
_CHUNKED_RESPONSE = _RESPONSE + b"Transfer-Encoding: chunked\r\n\r\n"
_WHOLE_RESPONSE = _RESPONSE + b"X-Request-Id: other\r\nContent-Length: 2\r\n\r\nok"
_FILLER = b"x" * 16_384

ENDLESS_RESPONSES = {
    "header lines": EndlessBytes(_RESPONSE, b"a: b\r\n"),
    "long header lines": EndlessBytes(_RESPONSE, b"a: " + _FILLER + b"\r\n"),
    "one header name": EndlessBytes(_RESPONSE, b"x"),
    "one header value": EndlessBytes(_RESPONSE + b"a: ", b"x"),
    "reason phrase": EndlessBytes(b"HTTP/1.1 200 ", b"reason "),
    "interim responses": EndlessBytes(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "responses": EndlessBytes(b"", _WHOLE_RESPONSE),
    "line ends": EndlessBytes(_WHOLE_RESPONSE, b"\r\n"),
    "chunks": EndlessBytes(_CHUNKED_RESPONSE, b"4000\r\n" + _FILLER + b"\r\n"),
    "chunks of one byte": EndlessBytes(_CHUNKED_RESPONSE, b"1\r\nx\r\n"),
    "chunk extension": EndlessBytes(_CHUNKED_RESPONSE + b"1;", b"x"),
    "trailers": EndlessBytes(_CHUNKED_RESPONSE + b"0\r\n", b"a: b\r\n"),
    "body without length": EndlessBytes(_RESPONSE + b"\r\n", b"x"),
}
"""Responses by the part that does not end."""

_CHUNKED_REQUEST = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"

ENDLESS_REQUESTS = {
    "headers": EndlessBytes(b"GET / HTTP/1.1\r\n", b"a: b\r\n"),
    "one header": EndlessBytes(b"GET / HTTP/1.1\r\na: ", b"x"),
    "path": EndlessBytes(b"GET /", b"x"),
    "requests": EndlessBytes(b"", b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"),
    "chunks": EndlessBytes(_CHUNKED_REQUEST, b"4000\r\n" + _FILLER + b"\r\n"),
    "chunks of one byte": EndlessBytes(_CHUNKED_REQUEST, b"1\r\nx\r\n"),
    "chunk extension": EndlessBytes(_CHUNKED_REQUEST + b"1;", b"x"),
    "trailers": EndlessBytes(_CHUNKED_REQUEST + b"0\r\n", b"a: b\r\n"),
}
"""Requests by the part that does not end."""

_SENT_BYTES = 65_536
_LIFETIME_SECONDS = 60
"""Time after which the process ends, also if whoever started it could not stop it."""


def _send(connection: socket.socket, endless: EndlessBytes) -> None:
    """Sends until the connection is closed."""
    data = endless.unit * max(1, _SENT_BYTES // len(endless.unit))
    with contextlib.suppress(OSError), connection:
        connection.sendall(endless.start)
        while True:
            connection.sendall(data)


def _answer(connection: socket.socket, endless: EndlessBytes) -> None:
    """Reads the beginning of a request, then sends."""
    with contextlib.suppress(OSError):
        connection.recv(_SENT_BYTES)
        _send(connection, endless)


def _serve(endless: EndlessBytes) -> None:
    with socket.create_server(("127.0.0.1", 0), backlog=1024) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        print(json.dumps({"listening": address, "id": "endless", "of": 1}), flush=True)
        while True:
            connection, _ = listener.accept()
            threading.Thread(target=_answer, args=(connection, endless), daemon=True).start()


def _call(endless: EndlessBytes, address: str, count: int) -> None:
    """Keeps connections to a server on which requests without end are sent."""
    host, port = address.split(":")

    def call_again_and_again() -> None:
        while True:
            with contextlib.suppress(OSError):
                _send(socket.create_connection((host, int(port))), endless)

    threads = [threading.Thread(target=call_again_and_again, daemon=True) for _ in range(count)]
    for thread in threads:
        thread.start()
    print(json.dumps({"listening": address, "id": "endless", "of": 1}), flush=True)
    for thread in threads:
        thread.join()


def main() -> None:
    """Sends until the process is stopped, for a limited time."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kind", required=True)
    parser.add_argument("--call", metavar="ADDRESS", help="send requests to this server")
    parser.add_argument("--connections", type=int, default=1)
    arguments = parser.parse_args()
    signal.alarm(_LIFETIME_SECONDS)
    if arguments.call:
        _call(ENDLESS_REQUESTS[arguments.kind], arguments.call, arguments.connections)
    else:
        _serve(ENDLESS_RESPONSES[arguments.kind])


if __name__ == "__main__":
    main()
