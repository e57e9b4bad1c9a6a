"""Reading of the body of a response within limits."""

import anyio
import httpcore

from filbertreach.receive_limits._memory_budget import MemoryBudget


class BodyTooLargeError(httpcore.RemoteProtocolError):
    """A body exceeds the limit of its kind."""


class _ScopeHolder:
    """A body that is being read in a cancel scope."""

    def __init__(self, scope: anyio.CancelScope) -> None:
        self._scope = scope

    def on_evicted(self) -> None:
        """Ends the reading."""
        self._scope.cancel()


async def read_body(
    response: httpcore.Response, *, max_bytes: int, memory: MemoryBudget, sender: str
) -> bytes:
    """Reads the body of a response.

    Args:
        response: The response, of which nothing was read yet.
        max_bytes: Largest accepted body.
        memory: Budget that the body uses until it is complete.
        sender: Name of the sender in the budget.

    Returns:
        The complete body.

    Raises:
        BodyTooLargeError: The body is too large.
        httpcore.RemoteProtocolError: It takes too much memory beside others.
    """
    if _announced_bytes(response) > max_bytes:
        raise BodyTooLargeError(f"response body exceeds {max_bytes} bytes")
    content = bytearray()
    with anyio.CancelScope() as scope:
        holder = _ScopeHolder(scope)
        try:
            async for part in response.aiter_stream():
                content += part
                if len(content) > max_bytes:
                    raise BodyTooLargeError(f"response body exceeds {max_bytes} bytes")
                if not memory.resize(holder, sender=sender, byte_count=len(content)):
                    break
            else:
                return bytes(content)
        finally:
            memory.release(holder)
    raise httpcore.RemoteProtocolError("incomplete responses exceed the memory for them")


def _announced_bytes(response: httpcore.Response) -> int:
    """Returns the length that the response states, 0 if it states none."""
    for name, value in response.headers:
        if name.lower() == b"content-length":
            # h11 has checked that it is a number.
            return int(value)
    return 0
