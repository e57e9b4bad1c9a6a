"""Request ids in progress or recently finished in this process."""

from collections import OrderedDict

DEFAULT_KEEP_SECONDS = 60.0
"""Callers usually repeat a request within their timeout. Later repetitions and those at other entry
processes are detected by the claim in the key-value service."""
DEFAULT_MAX_FINISHED = 100_000
"""Takes about 20 MB; at 1,000 queries/s it covers the last 100 s."""

_Key = tuple[str, str]


class ClaimTable:
    """Detects repeated request ids in this process.

    Ids in progress are never removed; admission limits their number. Finished ids are kept for
    `keep_seconds`; the oldest are removed earlier if there are more than `max_finished`.
    """

    def __init__(
        self,
        *,
        keep_seconds: float = DEFAULT_KEEP_SECONDS,
        max_finished: int = DEFAULT_MAX_FINISHED,
    ) -> None:
        """Creates an empty table.

        Args:
            keep_seconds: How long a finished id counts as in use, in seconds.
            max_finished: Most finished ids that are kept.
        """
        self._keep_seconds = keep_seconds
        self._max_finished = max_finished
        self._in_progress: set[_Key] = set()
        self._finished_at_by_id: OrderedDict[_Key, float] = OrderedDict()

    def __len__(self) -> int:
        """Returns the number of ids in use."""
        return len(self._in_progress) + len(self._finished_at_by_id)

    def begin(self, environment: str, request_id: str, now: float) -> bool:
        """Claims a request id.

        Args:
            environment: Environment name; the ids of different environments are independent.
            request_id: Request id from the caller.
            now: Time in seconds.

        Returns:
            False if the id is in use; in this case nothing changes and `end` must not be called.
        """
        self._remove_expired(now)
        key = (environment, request_id)
        if key in self._in_progress or key in self._finished_at_by_id:
            return False
        self._in_progress.add(key)
        return True

    def end(self, environment: str, request_id: str, now: float, *, ran: bool = True) -> None:
        """Marks a request id that `begin` claimed as finished.

        Args:
            environment: Environment name.
            request_id: Request id from the caller.
            now: Time in seconds.
            ran: False if the request was refused without running; its id is then free immediately.
        """
        key = (environment, request_id)
        if key not in self._in_progress:
            return
        self._in_progress.remove(key)
        if ran:
            self._finished_at_by_id[key] = now
        self._remove_expired(now)

    def _remove_expired(self, now: float) -> None:
        while self._finished_at_by_id:
            key, finished_at = next(iter(self._finished_at_by_id.items()))
            if (
                len(self._finished_at_by_id) <= self._max_finished
                and now - finished_at < self._keep_seconds
            ):
                return
            del self._finished_at_by_id[key]
