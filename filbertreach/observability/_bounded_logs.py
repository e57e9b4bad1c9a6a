"""Limits on the log volume, and log output that does not block the process on a slow reader."""

import logging
import logging.handlers
import os
import queue
import sys
import threading
import time
from collections.abc import Mapping, MutableMapping
from types import TracebackType
from typing import Any, NamedTuple, Self

import prometheus_client
import structlog

from filbertreach.timing import Clock, SystemClock

_MAX_QUEUED_LINES = 2000
"""Capacity of the queue of lines to be written; further lines are dropped and counted."""
_FLUSH_TIMEOUT_SECONDS = 1.0
"""Maximum time that a process waits at exit until the queued lines are written."""
_FLUSH_POLL_SECONDS = 0.02

DROPPED_LINES = prometheus_client.Counter(
    "filbertreach_log_lines_dropped", "Log lines that were not written", ["reason"]
)


class LogRate(NamedTuple):
    """Parameters of the token bucket that limits the lines of one kind."""

    per_second: float
    """Sustained rate, in lines per second."""
    burst: float
    """Size of the bucket, in lines."""


class LogLimiter:
    """A structlog processor that drops lines beyond the rate of their kind.

    Every kind has its own token bucket, so that many lines about successful requests do not
    displace the few about failed ones. The next line of a kind that is written has the number of
    lines that were dropped before it.
    """

    def __init__(
        self,
        *,
        rate_by_kind: Mapping[str, LogRate],
        other: LogRate,
        clock: Clock | None = None,
    ) -> None:
        """Creates a limiter with full buckets.

        Args:
            rate_by_kind: Rates by the field `kind` of a line, or by its event if it has no `kind`.
            other: Rate of each kind that is not in `rate_by_kind`.
            clock: Source of time.
        """
        self._rate_by_kind = rate_by_kind
        self._other = other
        self._clock = clock or SystemClock()
        self._tokens_by_kind: dict[str, tuple[float, float]] = {}
        self._dropped_by_kind: dict[str, int] = {}

    def __call__(
        self, _logger: Any, _method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Returns the event of a line.

        Raises:
            structlog.DropEvent: The line exceeds the rate of its kind.
        """
        kind = str(event.pop("kind", event.get("event", "")))
        rate = self._rate_by_kind.get(kind, self._other)
        now = self._clock.now()
        tokens, updated_at = self._tokens_by_kind.get(kind, (rate.burst, now))
        tokens = min(rate.burst, tokens + (now - updated_at) * rate.per_second)
        if tokens < 1.0:
            self._tokens_by_kind[kind] = (tokens, now)
            self._dropped_by_kind[kind] = self._dropped_by_kind.get(kind, 0) + 1
            DROPPED_LINES.labels("rate").inc()
            raise structlog.DropEvent
        self._tokens_by_kind[kind] = (tokens - 1.0, now)
        dropped = self._dropped_by_kind.pop(kind, 0)
        if dropped:
            event["dropped_before"] = dropped
        return event


class _DroppingHandler(logging.handlers.QueueHandler):
    """Puts lines into a queue; drops and counts them if the queue is full."""

    def enqueue(self, record: logging.LogRecord) -> None:
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            DROPPED_LINES.labels("reader").inc()

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        # The line is formatted in the calling thread, because its values may change later.
        record.msg = self.format(record)
        record.args = None
        record.exc_info = None
        return record


class LogWriter:
    """Writes lines to standard output in a separate thread; a context manager.

    If the reader of the output stops reading, only that thread is blocked.
    """

    def __init__(
        self, *, formatter: logging.Formatter, max_queued_lines: int = _MAX_QUEUED_LINES
    ) -> None:
        """Creates a writer whose thread is not running.

        Args:
            formatter: Formats a record as a line.
            max_queued_lines: Capacity of the queue.
        """
        self._clock = SystemClock()
        self._queue: queue.Queue[logging.LogRecord] = queue.Queue(maxsize=max_queued_lines)
        self.handler = _DroppingHandler(self._queue)
        self.handler.setFormatter(formatter)
        self._thread = threading.Thread(target=self._write, name="log writer", daemon=True)

    def __enter__(self) -> Self:
        """Starts the thread."""
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Waits until the queued lines are written, at most `_FLUSH_TIMEOUT_SECONDS`."""
        deadline = self._clock.now() + _FLUSH_TIMEOUT_SECONDS
        while self._queue.unfinished_tasks and self._clock.now() < deadline:
            time.sleep(_FLUSH_POLL_SECONDS)

    def _write(self) -> None:
        # This is not a logging.StreamHandler because at exit, logging would wait for the lock of a
        # handler that is blocked in a write.
        output = sys.stdout.fileno()
        while True:
            line = self._queue.get().msg.encode() + b"\n"
            while line:
                line = line[os.write(output, line) :]
            self._queue.task_done()
