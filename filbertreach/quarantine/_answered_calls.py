"""Calls that leaves have answered lately, by fingerprint."""

_GENERATION_SECONDS = 10.0
"""Time after which counts become old; old ones are kept for as long again."""
_MAX_FINGERPRINTS = 5_000
"""Fingerprints that are counted in a generation; contents that are sent often come early."""


class AnsweredCalls:
    """Counts calls that were answered, since a content that leaves have run is mostly innocent."""

    def __init__(self) -> None:
        """Creates counts of 0."""
        self._calls_by_fingerprint: dict[bytes, int] = {}
        self._old: dict[bytes, int] = {}
        self._began_at = 0.0

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
        return self._calls_by_fingerprint.get(fingerprint, 0) + self._old.get(fingerprint, 0)

    def _rotate(self, now: float) -> None:
        age_seconds = now - self._began_at
        if age_seconds >= _GENERATION_SECONDS:
            is_recent = age_seconds < 2.0 * _GENERATION_SECONDS
            self._old = self._calls_by_fingerprint if is_recent else {}
            self._calls_by_fingerprint = {}
            self._began_at = now
