"""HTTP exchanges about leaves with the gateway that merges the observations."""

import urllib.parse
import zlib

import msgspec

from filbertreach.leaf_observations._metrics import OBSERVATION_EXCHANGES
from filbertreach.platform import ChannelPoolClient, ExchangeError, HttpResponse
from filbertreach.schema import JsonDecoder, LeafReports, MergedLeafStates

REPORTS_PATH = "/v1/leaf-reports"
"""Path at which a gateway takes the observations of others."""
STATES_PATH = "/v1/leaf-states"
"""Path at which a gateway answers with the merged states."""
REQUEST_TIMEOUT_SECONDS = 0.7
"""Timeout of an exchange, in addition to the wait that it requests."""
_MAX_MESSAGE_BYTES = 1024 * 1024
"""Bytes of a decompressed message; a state has about 100."""

_STATES_DECODER = JsonDecoder(message=MergedLeafStates)


class ObservationError(Exception):
    """Another gateway gave no usable answer about leaves."""


class ObservationClient(ChannelPoolClient):
    """Connections to gateways that merge observations; a context manager."""

    def __init__(self) -> None:
        """Creates a client without connections; they are opened when needed."""
        super().__init__(timeout_seconds=REQUEST_TIMEOUT_SECONDS)

    async def report(self, address: str, reports: LeafReports) -> None:
        """Sends observations.

        Args:
            address: ip:port of the gateway that merges them.
            reports: The observations.

        Raises:
            ObservationError: The gateway did not take them in time.
        """
        try:
            answer = await self._channels.channel(address, REPORTS_PATH).exchange(
                method="POST", target=REPORTS_PATH, body=msgspec.json.encode(reports)
            )
            _check_status(answer)
        except (ExchangeError, ObservationError) as error:
            OBSERVATION_EXCHANGES.labels("report", "failed").inc()
            raise ObservationError(f"{address}: {error}") from error
        OBSERVATION_EXCHANGES.labels("report", "answered").inc()

    async def fetch_states(
        self, address: str, *, after: int, wait_seconds: float
    ) -> MergedLeafStates:
        """Requests the merged states.

        Args:
            address: ip:port of the gateway that merges the observations.
            after: Revision that this host has; 0 for none.
            wait_seconds: Longest wait while that is the current revision, in seconds.

        Raises:
            ObservationError: There was no usable answer in time.
        """
        query = urllib.parse.urlencode({"after": after, "wait_ms": round(wait_seconds * 1000)})
        try:
            answer = await self._channels.channel(address, STATES_PATH).exchange(
                method="GET", target=f"{STATES_PATH}?{query}", extra_seconds=wait_seconds
            )
            _check_status(answer)
            text = zlib.decompressobj().decompress(answer.body, _MAX_MESSAGE_BYTES)
            states = _STATES_DECODER.decode(text)
        except (ExchangeError, ObservationError, ValueError, zlib.error) as error:
            OBSERVATION_EXCHANGES.labels("poll", "failed").inc()
            raise ObservationError(f"{address}: {error}") from error
        OBSERVATION_EXCHANGES.labels("poll", "answered").inc()
        return states


def _check_status(answer: HttpResponse) -> None:
    if answer.status != 200:
        raise ObservationError(f"status {answer.status}")
