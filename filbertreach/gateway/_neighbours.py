"""Gateways of other hosts: who they are, and which of them reads the store for its data centre."""

import contextlib
import hashlib
import random
import urllib.parse
import zlib
from types import TracebackType
from typing import NamedTuple, Self

import anyio
import msgspec
from returns.result import Failure, Result, Success

from filbertreach.observability import get_logger
from filbertreach.platform import ExchangeError, HttpChannel, HttpResponse
from filbertreach.schema import KnownHost, KnownHosts, StoreNews
from filbertreach.timing import Clock

HOSTS_PATH = "/v1/hosts"
"""Path at which a gateway introduces itself to another one."""
NEWS_PATH = "/v1/news"
"""Path at which a gateway asks another one for changes of the store."""
_HOLD_SECONDS = 25.0
"""A host counts as known for this long; each seed hears from it every 15 s."""
_FIRST_SECONDS = 0.3
"""Wait before the first introduction, in which seeds start too."""
_SECOND_SECONDS = 2.0
"""Wait before the second one, by which all hosts have introduced themselves once."""
_INTERVAL_SECONDS = 5.0
"""Time between further introductions, each to one seed: bytes between regions are dear."""
_AVOID_SECONDS = 6.0
"""A host that did not answer, or knew nothing fresh, is not asked for this long."""
_MOST_MESSAGE_BYTES = 16_000_000
_TIMEOUT_SECONDS = 0.7
"""Bound of an exchange beyond the wait that was asked for."""

_LOGGER = get_logger(__name__)


class NeighbourError(Exception):
    """A gateway of another host did not answer as expected."""


class _Heard(NamedTuple):
    host: KnownHost
    at: float


class _Told(NamedTuple):
    digest: str
    hosts: list[KnownHost]
    total: int
    at: float


class Neighbours:
    """Knows other hosts from introductions at the seeds; a context manager.

    Nothing has to be agreed on: two hosts that choose different readers, or none, cost calls to the
    store and nothing else.
    """

    def __init__(
        self, *, host: str, address: str, data_centre: str, seeds: tuple[str, ...], clock: Clock
    ) -> None:
        """Starts without neighbours.

        Args:
            host: Name of this host.
            address: ip:port of this host for its neighbours.
            data_centre: Data centre of this host.
            seeds: ip:port of a few hosts; some may not answer.
            clock: Source of time.
        """
        self._own = KnownHost(name=host, address=address, data_centre=data_centre)
        self._seeds = [seed for seed in seeds if seed != address]
        self._clock = clock
        self._heard_by_name: dict[str, _Heard] = {}
        self._told_by_seed: dict[str, _Told] = {}
        self._avoided_until: dict[str, float] = {}
        self._channel_by_address: dict[str, HttpChannel] = {}
        self._hosts_decoder = msgspec.json.Decoder(KnownHosts)
        self._news_decoder = msgspec.json.Decoder(StoreNews)

    async def __aenter__(self) -> Self:
        """Returns the neighbours; connections are opened when needed."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Closes the connections."""
        async with contextlib.AsyncExitStack() as stack:
            for channel in self._channel_by_address.values():
                stack.push_async_exit(channel)

    # Who there is.

    def introduced(self, host: KnownHost, *, known_digest: str) -> KnownHosts:
        """Takes the introduction of another host.

        Args:
            host: The other host.
            known_digest: Digest of the hosts that it knows.

        Returns:
            Answer for that host.
        """
        now = self._clock.now()
        self._heard_by_name[host["name"]] = _Heard(host, now)
        known = self._lately(now)
        near = [other for other in known if other["data_centre"] == host["data_centre"]]
        digest = _digest(near)
        answer = KnownHosts(total=len(known), digest=digest)
        if digest != known_digest:
            answer["hosts"] = near
        return answer

    def fleet_size(self) -> int:
        """Returns how many hosts there are, as far as this host or a seed knows."""
        now = self._clock.now()
        told = [t.total for t in self._told_by_seed.values() if now - t.at < _HOLD_SECONDS]
        return max([len(self._lately(now)), *told])

    def _lately(self, now: float) -> list[KnownHost]:
        for name, heard in list(self._heard_by_name.items()):
            if now - heard.at >= _HOLD_SECONDS or name == self._own["name"]:
                del self._heard_by_name[name]
        hosts = [self._own, *(heard.host for heard in self._heard_by_name.values())]
        return sorted(hosts, key=lambda host: host["name"])

    def reader(self) -> KnownHost | None:
        """Returns the host that reads the store for this one, None if this host reads it itself.

        All hosts of a data centre try them in the same order, so that usually one of them reads.
        """
        now = self._clock.now()
        near = [h for h in self._lately(now) if h["data_centre"] == self._own["data_centre"]]
        for host in sorted(near, key=lambda h: (zlib.crc32(h["name"].encode()), h["name"])):
            if self._avoided_until.get(host["name"], now) > now:
                continue
            return None if host["name"] == self._own["name"] else host
        return None

    def avoid(self, name: str) -> None:
        """Keeps a host from being the reader for some seconds.

        Args:
            name: Its name, or that of this host.
        """
        self._avoided_until[name] = self._clock.now() + _AVOID_SECONDS

    async def run(self) -> None:
        """Introduces this host to the seeds until cancelled."""
        await anyio.sleep(_FIRST_SECONDS)
        for seed in self._seeds:
            await self._introduce(seed)
        await anyio.sleep(_SECOND_SECONDS)
        order = random.sample(self._seeds, len(self._seeds))
        while order:
            order.append(order.pop(0))
            await self._introduce(order[-1])
            await anyio.sleep(random.uniform(0.8, 1.2) * _INTERVAL_SECONDS)

    async def _introduce(self, seed: str) -> None:
        told = self._told_by_seed.get(seed)
        own = self._own
        query = {
            "name": own["name"],
            "address": own["address"],
            "data_centre": own["data_centre"],
            "digest": told.digest if told else "",
        }
        try:
            answer = await self._get(seed, HOSTS_PATH, query, wait_seconds=0.0)
            hosts = self._hosts_decoder.decode(_decompress(answer.body))
        except (ExchangeError, NeighbourError, msgspec.MsgspecError, zlib.error) as error:
            _LOGGER.info("seed did not answer", seed=seed, error=str(error))
            return
        now = self._clock.now()
        near = hosts.get("hosts", told.hosts if told else [])
        if told is None or len(told.hosts) != len(near):
            _LOGGER.info("hosts known", seed=seed, near=len(near), total=hosts["total"])
        self._told_by_seed[seed] = _Told(hosts["digest"], near, hosts["total"], now)
        for host in near:
            self._heard_by_name[host["name"]] = _Heard(host, now)

    # What they know.

    async def news(
        self, reader: KnownHost, *, after: int, wait_seconds: float
    ) -> Result[StoreNews, NeighbourError]:
        """Asks a host for changes of the store.

        Args:
            reader: The host.
            after: Revision up to which this host knows everything.
            wait_seconds: Longest wait if there is no change.

        Returns:
            Its news.
        """
        query = {"after": str(after), "wait_ms": str(round(wait_seconds * 1000))}
        try:
            answer = await self._get(reader["address"], NEWS_PATH, query, wait_seconds=wait_seconds)
            return Success(self._news_decoder.decode(_decompress(answer.body)))
        except (ExchangeError, msgspec.MsgspecError, zlib.error) as error:
            return Failure(NeighbourError(str(error)))
        except NeighbourError as error:
            return Failure(error)

    async def _get(
        self, address: str, path: str, query: dict[str, str], *, wait_seconds: float
    ) -> HttpResponse:
        channel = self._channel_by_address.get(address)
        if channel is None:
            channel = HttpChannel(base_url=f"http://{address}", timeout_seconds=_TIMEOUT_SECONDS)
            self._channel_by_address[address] = channel
        target = f"{path}?{urllib.parse.urlencode(query)}"
        answer = await channel.exchange(method="GET", target=target, extra_seconds=wait_seconds)
        if answer.status != 200:
            raise NeighbourError(f"{address}{path}: status {answer.status}")
        return answer


def compress(body: bytes) -> bytes:
    """Compresses a message for a neighbour.

    A reader tells each change to all hosts of its data centre over one link; entries of leaves
    resemble each other.

    Args:
        body: JSON text.

    Returns:
        The bytes to send.
    """
    return zlib.compress(body, 1)


def _decompress(body: bytes) -> bytes:
    return zlib.decompressobj().decompress(body, _MOST_MESSAGE_BYTES)


def _digest(hosts: list[KnownHost]) -> str:
    return hashlib.blake2b(msgspec.json.encode(hosts), digest_size=6).hexdigest()
