"""Sends messages about losses to other gateways."""

import contextlib
from collections.abc import Iterable
from types import TracebackType
from typing import Protocol, Self

import anyio
import anyio.abc
import msgspec

from filbertreach.observability import get_logger
from filbertreach.platform import ChannelPool, ExchangeError
from filbertreach.quarantine._metrics import NOTICES
from filbertreach.schema import QuarantineNotice

NOTICE_PATH = "/v1/quarantine"
"""Path at which a gateway takes messages about losses."""
_TIMEOUT_SECONDS = 0.7
"""Timeout of a message, which may go to another region."""
_MAX_SENDING = 512
"""Messages under way at the same time; further ones are dropped. A data centre has up to about 130
hosts."""

_LOGGER = get_logger(__name__)


class HostAddresses(Protocol):
    """Addresses of gateways on other hosts."""

    def local_addresses(self) -> list[str]:
        """Returns the addresses of the other hosts of this data centre."""

    def seed_addresses(self) -> list[str]:
        """Returns the addresses of the seeds besides this host."""

    def address_by_data_centre(self) -> dict[str, str]:
        """Returns the address of one known host of each other data centre."""


class NoticeSender:
    """Connections to other gateways; a context manager."""

    def __init__(self) -> None:
        """Creates a sender without connections."""
        self._channels = ChannelPool(timeout_seconds=_TIMEOUT_SECONDS)
        self._sending = 0
        self._unresponsive_addresses: set[str] = set()
        """Addresses that did not answer the last message."""
        self._stack = contextlib.AsyncExitStack()
        self._group: anyio.abc.TaskGroup | None = None

    async def __aenter__(self) -> Self:
        """Prepares the tasks."""
        await self._stack.__aenter__()
        await self._stack.enter_async_context(self._channels)
        self._group = await self._stack.enter_async_context(anyio.create_task_group())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        """Cancels the messages under way and closes all connections."""
        assert self._group is not None
        self._group.cancel_scope.cancel()
        return await self._stack.__aexit__(kind, error, trace)

    def send(self, notice: QuarantineNotice, addresses: Iterable[str]) -> None:
        """Starts to send a message; hosts that do not answer miss it.

        Args:
            notice: The message.
            addresses: ip:port of the receivers.
        """
        assert self._group is not None
        body = msgspec.json.encode(notice)
        for address in addresses:
            if self._sending >= _MAX_SENDING:
                NOTICES.labels("dropped").inc()
                continue
            self._sending += 1
            self._group.start_soon(self._send_to, address, body)

    async def _send_to(self, address: str, body: bytes) -> None:
        channel = self._channels.channel(address, NOTICE_PATH)
        try:
            answer = await channel.exchange(method="POST", target=NOTICE_PATH, body=body)
            failure = "" if answer.status == 200 else f"status {answer.status}"
        except ExchangeError as error:
            failure = str(error)
        finally:
            self._sending -= 1
        NOTICES.labels("failed" if failure else "sent").inc()
        if failure and address not in self._unresponsive_addresses:
            _LOGGER.info("losses not shared", address=address, error=failure)
        if failure:
            self._unresponsive_addresses.add(address)
        else:
            self._unresponsive_addresses.discard(address)
