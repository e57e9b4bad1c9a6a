"""Requests and responses of stand-ins, and addresses."""

import urllib.parse
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import msgspec

Receive = Callable[[], Awaitable[Any]]
Send = Callable[[Any], Awaitable[None]]
Header = tuple[bytes, bytes]


def query_parameters(scope: dict[str, Any]) -> dict[str, str]:
    """Returns the query parameters of a request, the last of each name."""
    text = scope["query_string"].decode()
    return dict(urllib.parse.parse_qsl(text, keep_blank_values=True)) if text else {}


async def read_body(receive: Receive) -> bytes | None:
    """Reads the whole request body; returns None if the caller disconnects before its end."""
    message = await receive()
    body: bytes = message.get("body", b"")
    while message.get("more_body"):
        message = await receive()
        body += message.get("body", b"")
    return body if message["type"] == "http.request" else None


async def send_bytes(send: Send, status: int, body: bytes, headers: Sequence[Header] = ()) -> None:
    """Sends a whole response with a JSON content type.

    Args:
        send: ASGI send callable.
        status: HTTP status.
        body: JSON text.
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
    """Sends a whole response, encoding a JSON value."""
    await send_bytes(send, status, msgspec.json.encode(value), headers)


def parse_address(text: str) -> tuple[str, int]:
    """Parses ip:port.

    Raises:
        ValueError: The text has another form.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"expected ip:port, not {text!r}")
    return host, int(port)


def listen_address(text: str) -> str:
    """Returns the text if it is ip:port; a type for argparse."""
    parse_address(text)
    return text
