"""HTTP exchanges about quotas with other gateways."""

import zlib
from typing import TypeVar

import msgspec

from filbertreach.platform import ChannelPoolClient, ExchangeError
from filbertreach.quotas._metrics import QUOTA_EXCHANGES
from filbertreach.schema import (
    JsonDecoder,
    QuotaPeers,
    QuotaReply,
    QuotaReport,
    QuotaRequest,
)

QUOTA_PATH = "/v1/quota"
"""Path at which a quota host grants requests."""
DEMAND_PATH = "/v1/quota-demand"
"""Path at which a seed takes reports of quota hosts."""
ACCOUNTS_PATH = "/v1/accounts"
"""Path at which a gateway shows the use of accounts."""
REQUEST_TIMEOUT_SECONDS = 0.15
"""Timeout of an exchange with the quota host of the same data centre."""
_REPORT_TIMEOUT_SECONDS = 0.7
"""Timeout of an exchange with a seed, which may be in another region."""
_MAX_MESSAGE_BYTES = 8 * 1024 * 1024
"""Bytes of a decompressed message."""

_REPLY_DECODER = JsonDecoder(message=QuotaReply)
_PEERS_DECODER = JsonDecoder(message=QuotaPeers)

_Message = TypeVar("_Message")


class QuotaError(Exception):
    """Another gateway gave no usable answer about quotas."""


class QuotaClient(ChannelPoolClient):
    """Connections to quota hosts and seeds; a context manager."""

    def __init__(self) -> None:
        """Creates a client without connections; they are opened when needed."""
        super().__init__(timeout_seconds=_REPORT_TIMEOUT_SECONDS)

    async def request(self, address: str, request: QuotaRequest) -> QuotaReply:
        """Asks a quota host for requests.

        Args:
            address: ip:port of the quota host.
            request: What is asked.

        Raises:
            QuotaError: There was no usable answer in time.
        """
        return await self._exchange(address, QUOTA_PATH, request, _REPLY_DECODER, kind="request")

    async def report(self, address: str, report: QuotaReport) -> QuotaPeers:
        """Reports to a seed.

        Args:
            address: ip:port of the seed.
            report: The report.

        Raises:
            QuotaError: There was no usable answer in time.
        """
        return await self._exchange(address, DEMAND_PATH, report, _PEERS_DECODER, kind="report")

    async def _exchange(
        self, address: str, path: str, message: object, decoder: JsonDecoder[_Message], *, kind: str
    ) -> _Message:
        timeout_seconds = REQUEST_TIMEOUT_SECONDS if path == QUOTA_PATH else None
        channel = self._channels.channel(address, path, timeout_seconds=timeout_seconds)
        try:
            answer = await channel.exchange(
                method="POST", target=path, body=msgspec.json.encode(message)
            )
            if answer.status != 200:
                raise QuotaError(f"{address}{path}: status {answer.status}")
            reply = decoder.decode(zlib.decompressobj().decompress(answer.body, _MAX_MESSAGE_BYTES))
        except (ExchangeError, QuotaError, ValueError, zlib.error) as error:
            QUOTA_EXCHANGES.labels(kind, "failed").inc()
            raise QuotaError(str(error)) from error
        QUOTA_EXCHANGES.labels(kind, "answered").inc()
        return reply
