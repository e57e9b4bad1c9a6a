"""Request ids that this process answers now or answered a short time ago."""

from collections import OrderedDict

DEFAULT_KEEP_SECONDS = 60.0
"""A repeated request usually follows within the caller's timeout. The claim in the key-value
service covers repeats after that and repeats at other entry processes."""
DEFAULT_MAX_FINISHED = 100_000
"""About 20 MB; at 1,000 queries/s it holds the last 100 s."""

_Key = tuple[str, str]


class ClaimTable:
    """Detects a request id that is used twice in this process.

    Ids in progress are never forgotten; admission bounds their number. Finished ids are kept for
    `keep_seconds`, and the oldest are dropped earlier if there are more than `max_finished`.
    """

    def __init__(
        self,
        *,
        keep_seconds: float = DEFAULT_KEEP_SECONDS,
        max_finished: int = DEFAULT_MAX_FINISHED,
    ) -> None:
        """Creates an empty table.

        Args:
            keep_seconds: How long a finished id stays in use, in seconds.
            max_finished: Most finished ids that are kept.
        """
        self._keep_seconds = keep_seconds
        self._max_finished = max_finished
        self._running: set[_Key] = set()
        self._finished: OrderedDict[_Key, float] = OrderedDict()

    def __len__(self) -> int:
        """Returns the number of ids in use."""
        return len(self._running) + len(self._finished)

    def begin(self, environment: str, request_id: str, now: float) -> bool:
        """Claims a request id.

        Args:
            environment: Environment name; ids of two environments are independent.
            request_id: The caller's request id.
            now: Time in seconds.

        Returns:
            False if the id is in use; then nothing is changed and `end` must not be called.
        """
        self._expire(now)
        key = (environment, request_id)
        if key in self._running or key in self._finished:
            return False
        self._running.add(key)
        return True

    def end(self, environment: str, request_id: str, now: float, *, ran: bool = True) -> None:
        """Ends a claim made by `begin`.

        Args:
            environment: Environment name.
            request_id: The caller's request id.
            now: Time in seconds.
            ran: False if the request was refused as not run; the id is free again at once.
        """
        key = (environment, request_id)
        if key not in self._running:
            return
        self._running.remove(key)
        if ran:
            self._finished[key] = now
        self._expire(now)

    def _expire(self, now: float) -> None:
        while self._finished:
            key, finished = next(iter(self._finished.items()))
            if len(self._finished) <= self._max_finished and now - finished < self._keep_seconds:
                return
            del self._finished[key]
