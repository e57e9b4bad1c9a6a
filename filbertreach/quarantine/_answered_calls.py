"""Calls that leaves have answered lately, by fingerprint."""

_GENERATION_SECONDS = 10.0
"""Time after which a new generation of counts begins; the one before is kept for as long again."""
_MAX_FINGERPRINTS = 5_000
"""Fingerprints counted in a generation, which bounds memory. Content that is sent often is counted,
as it comes early in a generation."""


class AnsweredCalls:
    """Counts answered calls. Content that leaves have often run is rarely what makes them end."""

    def __init__(self) -> None:
        """Creates counts of 0."""
        self._calls_by_fingerprint: dict[bytes, int] = {}
        self._old_calls_by_fingerprint: dict[bytes, int] = {}
        """Counts of the generation before."""
        self._began_at = 0.0
        """Clock at which the current generation began, in seconds."""

    def record(self, fingerprint: bytes, now: float) -> None:
        """Counts an answered call.

        Args:
            fingerprint: Its request.
            now: Current clock, in seconds.
        """
        self._rotate(now)
        calls = self._calls_by_fingerprint
        if fingerprint in calls or len(calls) < _MAX_FINGERPRINTS:
            calls[fingerprint] = calls.get(fingerprint, 0) + 1

    def count(self, fingerprint: bytes, now: float) -> int:
        """Returns the number of calls answered within the last 10 to 20 s.

        Args:
            fingerprint: Their request.
            now: Current clock, in seconds.
        """
        self._rotate(now)
        old_calls = self._old_calls_by_fingerprint.get(fingerprint, 0)
        return self._calls_by_fingerprint.get(fingerprint, 0) + old_calls

    def _rotate(self, now: float) -> None:
        age_seconds = now - self._began_at
        if age_seconds >= _GENERATION_SECONDS:
            is_recent = age_seconds < 2.0 * _GENERATION_SECONDS
            self._old_calls_by_fingerprint = self._calls_by_fingerprint if is_recent else {}
            self._calls_by_fingerprint = {}
            self._began_at = now
