"""Hands the counts of retry budgets to other hosts at the stop, and asks for them at the start."""

import urllib.parse
import zlib
from typing import Protocol

import anyio
import msgspec

from filbertreach.gateway._retry_budget import BudgetHistory
from filbertreach.gateway._retry_history import (
    RetryHistoryBoard,
    decode_histories,
    encode_histories,
)
from filbertreach.observability import get_logger
from filbertreach.platform import ChannelPoolClient, ExchangeError, HttpResponse
from filbertreach.schema import JsonDecoder, KnownHost, RetryHistories
from filbertreach.timing import Clock

RETRY_HISTORIES_PATH = "/v1/retry-histories"
"""Path at which a gateway takes the histories of another one that stops (POST), and returns them
(GET)."""
MAX_HISTORIES_BYTES = 1024 * 1024
"""Bytes of a decompressed message; MAX_SERVICES histories of 1.3 KB are 0.64 MB."""
_HOLDERS = 2
"""Hosts to which a host hands its histories. One of them may be the next to stop, or be killed."""
_TIMEOUT_SECONDS = 0.7
"""Timeout of an exchange."""
_KNOWN_CHECK_SECONDS = 0.1
"""Interval at which a host that starts checks whether it knows other hosts."""
_MAX_START_SECONDS = 8.0
"""Time after the start in which the histories are asked for. Those of a window of 10 s are of
little use after that."""

_DECODER = JsonDecoder(message=RetryHistories)
_LOGGER = get_logger(__name__)


class OtherHosts(Protocol):
    """Knowledge of the other hosts of the data centre."""

    def candidates(self, count: int) -> list[KnownHost]:
        """Returns other hosts of this data centre, in the same order at all hosts."""


class HostBudgets(Protocol):
    """Retry budgets of one host."""

    def retry_histories(self) -> dict[str, BudgetHistory]:
        """Returns what the next process of the host has to know, by service."""

    def restore_retry_histories(self, history_by_service: dict[str, BudgetHistory]) -> None:
        """Continues with the budgets of the last process of the host."""


class RetryHandover(ChannelPoolClient):
    """Exchanges the histories of retry budgets with other hosts; a context manager.

    If no other host answers, or this host is killed, the next process of this host counts all its
    requests, as without a history.
    """

    def __init__(
        self,
        *,
        host: str,
        hosts: OtherHosts,
        budgets: HostBudgets,
        clock: Clock,
    ) -> None:
        """Creates a handover without connections.

        Args:
            host: Name of this host.
            hosts: Knows the other hosts.
            budgets: Retry budgets of this host.
            clock: Source of time.
        """
        super().__init__(timeout_seconds=_TIMEOUT_SECONDS)
        self.board = RetryHistoryBoard()
        """Histories that other hosts have handed over."""
        self._host = host
        self._hosts = hosts
        self._budgets = budgets
        self._clock = clock

    def answer(self, host: str) -> RetryHistories:
        """Returns what is known of a host that starts.

        Args:
            host: Name of the host.
        """
        return self.board.message_of(host, self._clock.now())

    def on_message(self, body: bytes) -> None:
        """Keeps what a host that stops hands over.

        Args:
            body: The message as received, compressed.

        Raises:
            ValueError: The message is unusable.
        """
        self.board.on_message(_DECODER.decode(_decompress(body)), self._clock.now())

    async def run(self) -> None:
        """Asks for the histories of the last process of this host, once other hosts are known."""
        with anyio.move_on_after(_MAX_START_SECONDS):
            while not self._hosts.candidates(1):
                await anyio.sleep(_KNOWN_CHECK_SECONDS)
            for holder in self._hosts.candidates(_HOLDERS):
                if await self._ask(holder):
                    return

    async def _ask(self, holder: KnownHost) -> bool:
        query = urllib.parse.urlencode({"host": self._host})
        try:
            answer = await self._exchange(holder, "GET", f"{RETRY_HISTORIES_PATH}?{query}")
            message = _DECODER.decode(_decompress(answer.body))
            histories = decode_histories(message, self._clock.now())
        except (ExchangeError, ValueError) as error:
            _LOGGER.info("no retry histories", holder=holder["name"], error=str(error))
            return False
        if not histories:
            return False
        self._budgets.restore_retry_histories(histories)
        _LOGGER.info("retry histories restored", holder=holder["name"], services=len(histories))
        return True

    async def hand_over(self) -> None:
        """Hands the histories of this host, and those that it holds, to other hosts."""
        now = self._clock.now()
        own = encode_histories(self._host, self._budgets.retry_histories(), now)
        # This host's own histories go first, as the time for the stop is short.
        messages = [own, *self.board.messages(now)]
        async with anyio.create_task_group() as group:
            for holder in self._hosts.candidates(_HOLDERS):
                group.start_soon(self._hand_to, holder, messages)

    async def _hand_to(self, holder: KnownHost, messages: list[RetryHistories]) -> None:
        try:
            for message in messages:
                body = zlib.compress(msgspec.json.encode(message), 1)
                await self._exchange(holder, "POST", RETRY_HISTORIES_PATH, body)
        except ExchangeError as error:
            _LOGGER.info("retry histories not handed over", holder=holder["name"], error=str(error))

    async def _exchange(
        self, holder: KnownHost, method: str, target: str, body: bytes | None = None
    ) -> HttpResponse:
        address = holder["address"]
        channel = self._channels.channel(address, RETRY_HISTORIES_PATH)
        answer = await channel.exchange(method=method, target=target, body=body)
        if answer.status != 200:
            raise ExchangeError(f"{address}{target}: status {answer.status}", sent=True)
        return answer


def _decompress(data: bytes) -> bytes:
    """Decompresses a message.

    Raises:
        ValueError: The bytes are no message, or one that is too large.
    """
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data, MAX_HISTORIES_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if decompressor.unconsumed_tail:
        raise ValueError(f"more than {MAX_HISTORIES_BYTES} bytes")
    return text
