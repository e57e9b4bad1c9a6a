"""Estimates the transit delay of frames without synchronised clocks."""

import math

_WINDOW_SECONDS = 60.0
"""Length of a window for the minimum offset; bounds the error from clock drift."""


class DelayEstimator:
    """Estimates the extra delay of each frame over the fastest recent frame of the same sender.

    The offset of a frame is the receiver's clock reading minus the sender's. The minimum offset of
    the last one to two windows represents a frame without delay, so that the estimate includes the
    time that a frame spent in a socket buffer while a process was paused.
    """

    def __init__(self) -> None:
        """Creates an estimator without samples."""
        self._window_started_at = -math.inf
        self._current_min_offset = math.inf
        self._previous_min_offset = math.inf

    def delay_seconds(self, *, sent_at: float, received_at: float) -> float:
        """Records a frame and estimates its delay.

        Args:
            sent_at: Sender's clock when the frame was sent, in seconds.
            received_at: Receiver's clock now, in seconds.

        Returns:
            Extra delay in seconds, 0 or more.
        """
        if received_at - self._window_started_at > _WINDOW_SECONDS:
            self._previous_min_offset, self._current_min_offset = self._current_min_offset, math.inf
            self._window_started_at = received_at
        offset = received_at - sent_at
        self._current_min_offset = min(self._current_min_offset, offset)
        return offset - min(self._current_min_offset, self._previous_min_offset)
