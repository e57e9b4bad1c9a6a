"""Count of the leaves that have ended while they ran one request."""

LeafProcess = tuple[str, int]
"""Leaf id and start time of a leaf, which identify its process."""

MAX_LOSSES = 2
"""Leaves lost under a request from which on nothing more is sent for it. One loss proves nothing,
and no third leaf may get a request under which two have ended."""


class LossCount:
    """Leaves lost under one request; its calls to all shards share one count.

    A lost connection counts as a possible loss until it is known whether the leaf has ended, so
    that no call is sent meanwhile that the result may forbid.
    """

    def __init__(self, *, max_losses: int = MAX_LOSSES) -> None:
        """Creates a count of 0.

        Args:
            max_losses: Losses from which on nothing more is sent.
        """
        self.attempts = 0
        """Calls sent."""
        self.ended: set[LeafProcess] = set()
        """Leaves that have ended while they ran the request."""
        self._unknown: set[LeafProcess] = set()
        """Leaves whose connection was lost, and of which it is not known whether they ended."""
        self._max_losses = max_losses

    @property
    def is_exhausted(self) -> bool:
        """Whether nothing more is sent for the request."""
        return len(self.ended) >= self._max_losses

    @property
    def may_send(self) -> bool:
        """Whether a call may be sent now; it may be later if a leaf turns out to be alive."""
        return len(self.ended | self._unknown) < self._max_losses

    def on_sent(self) -> None:
        """Counts a call."""
        self.attempts += 1

    def on_connection_lost(self, process: LeafProcess) -> None:
        """Counts a possible loss.

        Args:
            process: The leaf whose connection was lost while it ran the request.
        """
        self._unknown.add(process)

    def on_checked(self, process: LeafProcess, *, ended: bool) -> None:
        """Records whether a leaf has ended.

        Args:
            process: The leaf.
            ended: Whether it has.
        """
        self._unknown.discard(process)
        if ended:
            self.ended.add(process)
