"""Detection of pauses of this process, after which observations of leaves prove nothing."""

import math

TICK_SECONDS = 0.1
"""Interval at which a timer is expected to call `PauseDetector.tick`."""
_PAUSE_SECONDS = 0.25
"""Time without a tick that counts as a pause. Delays of the event loop under load are some
milliseconds."""


class PauseDetector:
    """Detects that this process was stopped or blocked."""

    def __init__(self, *, now: float) -> None:
        """Creates a detector.

        Args:
            now: Current clock, in seconds.
        """
        self._ticked_at = now
        self._resumed_at = -math.inf

    def tick(self, now: float) -> None:
        """Records that the process is running.

        Args:
            now: Current clock, in seconds.
        """
        if now - self._ticked_at > _PAUSE_SECONDS:
            self._resumed_at = now
        self._ticked_at = now

    def was_paused_since(self, started_at: float, now: float) -> bool:
        """Returns whether the process was paused after something was started.

        The timer may run after the events that have waited for the end of the pause.

        Args:
            started_at: Clock at the start, in seconds.
            now: Current clock, in seconds.
        """
        return now - self._ticked_at > _PAUSE_SECONDS or self._resumed_at > started_at
