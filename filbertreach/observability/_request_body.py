"""Reading of the body of a request by an ASGI application."""

from filbertreach.observability._health import Receive


class ClientDisconnectedError(Exception):
    """The client closed the connection before its request was complete."""


class RequestTooLargeError(Exception):
    """The body of a request is larger than accepted."""


async def read_request_body(receive: Receive, *, max_bytes: int) -> bytes:
    """Reads the body of a request.

    Args:
        receive: ASGI receive function.
        max_bytes: Largest accepted body.

    Raises:
        ClientDisconnectedError: The client disconnected before the body was complete.
        RequestTooLargeError: The body is larger than accepted.
    """
    content = bytearray()
    more = True
    while more:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ClientDisconnectedError
        content += message.get("body", b"")
        if len(content) > max_bytes:
            raise RequestTooLargeError
        more = message.get("more_body", False)
    return bytes(content)
