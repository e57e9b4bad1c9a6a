"""Helpers for ASGI requests and responses of stand-ins, and for addresses."""

import urllib.parse
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import msgspec

Receive = Callable[[], Awaitable[Any]]
Send = Callable[[Any], Awaitable[None]]
Header = tuple[bytes, bytes]


def query_parameters(scope: dict[str, Any]) -> dict[str, str]:
    """Returns the query parameters of a request; the last value of a repeated name wins."""
    text = scope["query_string"].decode()
    return dict(urllib.parse.parse_qsl(text, keep_blank_values=True)) if text else {}


async def read_body(receive: Receive) -> bytes | None:
    """Reads the complete request body; returns None if the caller disconnects before its end."""
    message = await receive()
    body: bytes = message.get("body", b"")
    while message.get("more_body"):
        message = await receive()
        body += message.get("body", b"")
    return body if message["type"] == "http.request" else None


async def send_bytes(send: Send, status: int, body: bytes, headers: Sequence[Header] = ()) -> None:
    """Sends a complete response with a JSON content type.

    Args:
        send: ASGI send callable.
        status: HTTP status.
        body: Encoded JSON.
        headers: Further headers.
    """
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [
                (b"content-type", b"application/json"),
                (b"content-length", b"%d" % len(body)),
                *headers,
            ],
        }
    )
    await send({"type": "http.response.body", "body": body})


async def send_json(send: Send, status: int, value: Any, headers: Sequence[Header] = ()) -> None:
    """Encodes a value as JSON and sends it as a complete response."""
    await send_bytes(send, status, msgspec.json.encode(value), headers)


def parse_address(text: str) -> tuple[str, int]:
    """Parses ip:port.

    Raises:
        ValueError: The text has another format.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"expected ip:port, not {text!r}")
    return host, int(port)


def listen_address(text: str) -> str:
    """Returns the text unchanged if it is ip:port; for use as a type of argparse.

    Raises:
        ValueError: The text has another format.
    """
    parse_address(text)
    return text
