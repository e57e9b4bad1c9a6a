"""Retry budgets of hosts that have stopped, kept by another host until they start again."""

import math
import zlib
from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec

from filbertreach.gateway._retry_budget import BudgetHistory, EventSlice
from filbertreach.schema import JsonDecoder, RetryHistories, RetryHistory

MAX_SERVICES = 500
"""Services of a host whose histories are handed over, those with the most extra calls. The history
of a service has up to 122 slices, or 1.3 KB, before compression."""
_MAX_HOSTS = 64
"""Stopped hosts whose histories are kept. Hosts of a data centre are restarted a few at a time."""
_MAX_HELD_BYTES = 4 * 1024 * 1024
"""Bytes of the histories that are kept, compressed; as objects they take a multiple of that."""
_MAX_SLICES = 256
"""Slices of one history that are read."""
_MAX_AGE_SECONDS = 60.0
"""Time for which histories are kept; more than a window, after which a budget ignores them."""

_HISTORIES_DECODER = JsonDecoder(message=list[RetryHistory])


class _Held(NamedTuple):
    """Histories of one stopped host."""

    data: bytes
    """Histories in JSON, compressed."""
    stopped_at: float
    """Clock when the host stopped, in seconds."""


class RetryHistoryBoard:
    """Histories that other hosts have handed over when they stopped.

    A host that stops hands over its own histories and those that it holds, so they outlast a
    rolling restart. All of it is in memory.
    """

    def __init__(self) -> None:
        """Creates an empty board."""
        self._held_by_host: dict[str, _Held] = {}
        self._held_bytes = 0

    def on_message(self, message: RetryHistories, now: float) -> None:
        """Keeps what a host has handed over; its latest histories replace earlier ones.

        Args:
            message: The histories.
            now: Current clock, in seconds.

        Raises:
            ValueError: The message has unusable values.
        """
        decode_histories(message, now)
        host, stopped_at = message["host"], now - _seconds(message["stopped_ms"])
        known = self._held_by_host.get(host)
        if known is not None and known.stopped_at >= stopped_at:
            return
        self._remove(host)
        data = zlib.compress(msgspec.json.encode(message["histories"]), 1)
        self._held_by_host[host] = _Held(data, stopped_at)
        self._held_bytes += len(data)
        while len(self._held_by_host) > _MAX_HOSTS or self._held_bytes > _MAX_HELD_BYTES:
            self._remove(next(iter(self._held_by_host)))

    def message_of(self, host: str, now: float) -> RetryHistories:
        """Returns the histories of a host that has stopped; without any if none are known.

        Args:
            host: Name of the host.
            now: Current clock, in seconds.
        """
        self._remove_expired(now)
        held = self._held_by_host.get(host)
        if held is None:
            return RetryHistories(host=host, stopped_ms=0, histories=[])
        return RetryHistories(
            host=host,
            stopped_ms=_milliseconds(now - held.stopped_at),
            histories=_HISTORIES_DECODER.decode(zlib.decompress(held.data)),
        )

    def messages(self, now: float) -> list[RetryHistories]:
        """Returns all histories, for the host that keeps them after this one.

        Args:
            now: Current clock, in seconds.
        """
        self._remove_expired(now)
        return [self.message_of(host, now) for host in list(self._held_by_host)]

    def _remove_expired(self, now: float) -> None:
        for host, held in list(self._held_by_host.items()):
            if now - held.stopped_at >= _MAX_AGE_SECONDS:
                self._remove(host)

    def _remove(self, host: str) -> None:
        held = self._held_by_host.pop(host, None)
        if held is not None:
            self._held_bytes -= len(held.data)


def encode_histories(
    host: str, history_by_service: Mapping[str, BudgetHistory], now: float
) -> RetryHistories:
    """Encodes histories with ages instead of clocks, which differ between hosts.

    Args:
        host: Name of the host, which stops now.
        history_by_service: Its histories; those with the most extra calls are encoded.
        now: Current clock, in seconds.
    """
    by_use = sorted(
        history_by_service.items(),
        key=lambda item: -sum(part.events for part in item[1].extra_calls),
    )
    return RetryHistories(
        host=host,
        stopped_ms=0,
        histories=[
            RetryHistory(
                service=service,
                known_ms=_milliseconds(now - history.first_request_at),
                requests=_encode_slices(history.requests, now),
                extra_calls=_encode_slices(history.extra_calls, now),
            )
            for service, history in by_use[:MAX_SERVICES]
        ],
    )


def decode_histories(message: RetryHistories, now: float) -> dict[str, BudgetHistory]:
    """Decodes histories into the clock of this host.

    Args:
        message: The histories.
        now: Current clock, in seconds.

    Returns:
        The histories by service.

    Raises:
        ValueError: The message has unusable values.
    """
    histories = message["histories"]
    if len(histories) > MAX_SERVICES:
        raise ValueError(f"{len(histories)} histories; expected at most {MAX_SERVICES}")
    stopped_at = now - _seconds(message["stopped_ms"])
    return {
        item["service"]: BudgetHistory(
            stopped_at - _seconds(item["known_ms"]),
            _decode_slices(item["requests"], stopped_at),
            _decode_slices(item["extra_calls"], stopped_at),
        )
        for item in histories
        if item["requests"]
    }


def _encode_slices(slices: Iterable[EventSlice], now: float) -> list[list[int]]:
    return [[_milliseconds(now - item.start), item.events] for item in slices]


def _decode_slices(slices: list[list[int]], now: float) -> tuple[EventSlice, ...]:
    if len(slices) > _MAX_SLICES:
        raise ValueError(f"{len(slices)} slices; expected at most {_MAX_SLICES}")
    if any(len(item) != 2 for item in slices):
        raise ValueError("a slice is no pair of an age and a number")
    return tuple(sorted(EventSlice(now - _seconds(age), events) for age, events in slices))


def _milliseconds(seconds: float) -> int:
    return max(0, math.floor(seconds * 1000.0))


def _seconds(milliseconds: int) -> float:
    return milliseconds / 1000.0
