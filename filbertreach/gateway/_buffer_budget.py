"""Bound on the bytes of incomplete responses that the process holds in memory."""

_MAX_HELD_BYTES = 32 * 1024 * 1024
"""Bytes of all incomplete responses; the smallest hosts have 200 MB for the whole process."""
_SMALL_RESPONSE_BYTES = 64 * 1024
"""A response of at most this size is accepted even if the budget is used up, so that a few large
responses do not make all others fail."""


class BufferBudget:
    """Bytes held by the incomplete responses of all connections together."""

    def __init__(
        self,
        *,
        max_bytes: int = _MAX_HELD_BYTES,
        small_response_bytes: int = _SMALL_RESPONSE_BYTES,
    ) -> None:
        """Creates a budget of which nothing is used.

        Args:
            max_bytes: Bytes of all incomplete responses together.
            small_response_bytes: Size up to which a response is always accepted.
        """
        self._max_bytes = max_bytes
        self._small_response_bytes = small_response_bytes
        self.held_bytes = 0
        """Bytes of all incomplete responses."""

    def resize(self, *, old_bytes: int, new_bytes: int) -> bool:
        """Records that one response has grown, or was released.

        Args:
            old_bytes: Size that was recorded for it last.
            new_bytes: Its size now, 0 to release it.

        Returns:
            Whether the response may be kept.
        """
        self.held_bytes += new_bytes - old_bytes
        return self.held_bytes <= self._max_bytes or new_bytes <= self._small_response_bytes


PROCESS_BUFFERS = BufferBudget()
"""Budget of the connections to leaves of this process."""
