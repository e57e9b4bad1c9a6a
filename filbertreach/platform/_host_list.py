"""Client of the platform's host list."""

from typing import Literal, NamedTuple

from returns.result import Failure, Result, Success
from typing_extensions import TypedDict

from filbertreach.platform._channel import ChannelClient, ExchangeError
from filbertreach.platform._errors import PlatformError, PlatformUnavailableError
from filbertreach.schema import InvalidMessageError, JsonDecoder
from filbertreach.timing import Clock, SystemClock


class Host(NamedTuple):
    """A host that the platform lists."""

    host: str
    """Host name."""
    address: str
    """IP address."""
    region: str
    """Region."""
    data_centre: str
    """Data centre."""
    kind: Literal["entry", "backend"]
    """Whether the host runs this tier (entry) or a backend server."""
    state: Literal["live", "leaving"]
    """`leaving` if the host is about to be stopped or replaced."""


class HostList(NamedTuple):
    """The host list as returned by the platform."""

    hosts_by_name: dict[str, Host]
    """Hosts by name."""
    as_of: float
    """Unix time in seconds of the state that the list shows; it lags behind the actual state."""
    read_at: float
    """Time on the client's clock just before the request was sent."""


class _HostBody(TypedDict):
    host: str
    address: str
    region: str
    data_centre: str
    kind: Literal["entry", "backend"]
    state: Literal["live", "leaving"]


class _HostsBody(TypedDict):
    hosts: list[_HostBody]
    as_of: float


_HOSTS_DECODER = JsonDecoder(message=_HostsBody)


class HostListClient(ChannelClient):
    """Client of the host list; a context manager."""

    def __init__(
        self, *, base_url: str, timeout_seconds: float = 1.0, clock: Clock | None = None
    ) -> None:
        """Creates a client; connections are opened when needed.

        Args:
            base_url: For example `http://127.0.0.1:9000`.
            timeout_seconds: Time limit of a call.
            clock: Clock for `read_at`; CLOCK_BOOTTIME by default.
        """
        self.clock: Clock = clock or SystemClock()
        super().__init__(base_url=base_url, timeout_seconds=timeout_seconds)

    async def list_hosts(self) -> Result[HostList, PlatformError]:
        """Reads the list.

        Returns:
            The hosts, or PlatformUnavailableError.
        """
        self.calls_by_kind["list_hosts"] += 1
        read_at = self.clock.now()
        try:
            response = await self._channel.exchange(method="GET", target="/v1/hosts")
        except ExchangeError as error:
            return Failure(PlatformUnavailableError(str(error)))
        if response.status != 200:
            return Failure(PlatformUnavailableError(f"GET /v1/hosts: status {response.status}"))
        try:
            body = _HOSTS_DECODER.decode(response.body)
        except InvalidMessageError as error:
            return Failure(PlatformUnavailableError(f"GET /v1/hosts: invalid body: {error}"))
        hosts = {host["host"]: Host(**host) for host in body["hosts"]}
        return Success(HostList(hosts, body["as_of"], read_at))
