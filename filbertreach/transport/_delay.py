"""Estimates how long a frame was under way, without synchronised clocks."""

import math

_WINDOW_SECONDS = 60.0
"""Length of a window of minimum offsets; bounds the error from clock drift."""


class DelayEstimator:
    """Extra delay of each frame over the fastest recent frame of the same sender.

    The sender's clock reading is compared with the receiver's. The smallest difference of the last
    one to two windows stands for a frame without delay, so that a frame which waited in a socket
    buffer while a process was paused shows its age.
    """

    def __init__(self) -> None:
        """Starts without samples."""
        self._window_start = -math.inf
        self._current = math.inf
        self._previous = math.inf

    def delay_seconds(self, *, sent_at: float, received_at: float) -> float:
        """Records a frame.

        Args:
            sent_at: Sender's clock when the frame was sent, in seconds.
            received_at: Receiver's clock now, in seconds.

        Returns:
            Extra delay in seconds, 0 or more.
        """
        if received_at - self._window_start > _WINDOW_SECONDS:
            self._previous, self._current = self._current, math.inf
            self._window_start = received_at
        offset = received_at - sent_at
        self._current = min(self._current, offset)
        return offset - min(self._current, self._previous)
