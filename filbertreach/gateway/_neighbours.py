"""Gateways on other hosts (neighbours): membership, and the choice of each data centre's reader.

The reader is the host that reads the store; the other hosts of its data centre follow the reader.
"""

import collections
import hashlib
import math
import random
import urllib.parse
import zlib
from typing import NamedTuple

import anyio
import msgspec
from returns.result import Failure, Result, Success

from filbertreach.observability import get_logger
from filbertreach.platform import ChannelPoolClient, ExchangeError, HttpResponse
from filbertreach.schema import (
    InvalidMessageError,
    JsonDecoder,
    KnownHost,
    KnownHosts,
    StoreNews,
    parse_address,
)
from filbertreach.timing import Clock

HOSTS_PATH = "/v1/hosts"
"""Path at which a gateway announces itself to another one."""
CHANGES_PATH = "/v1/news"
"""Path at which a gateway requests changes of the store from another one."""
_HOST_EXPIRY_SECONDS = 25.0
"""Time after the last announcement of a host at which it expires. Each host announces itself to
each seed every 15 s."""
_FIRST_ANNOUNCEMENT_DELAY_SECONDS = 0.3
"""Delay before the first announcements, so that seeds which start at the same time are up."""
_SECOND_ANNOUNCEMENT_DELAY_SECONDS = 2.0
"""Delay before the second announcement; by then, all hosts have announced themselves once."""
_ANNOUNCEMENT_INTERVAL_SECONDS = 5.0
"""Mean interval of further announcements, each to one seed only, because traffic between regions is
expensive."""
_EXCLUSION_SECONDS = 6.0
"""Time for which a host is not chosen after it did not answer or could not help."""
_MAX_HOSTS = 100_000
"""Hosts that a fleet may have at most; limits are divided by their number."""
_MAX_LISTED_HOSTS = 10_000
"""Hosts whose names and addresses are kept."""
_MAX_NAME_CHARACTERS = 255
"""Characters of the name of a host or data centre."""
_MAX_MESSAGE_BYTES = 8 * 1024 * 1024
"""Bytes of a decompressed message."""
EXCHANGE_TIMEOUT_SECONDS = 0.7
"""Timeout of an exchange, in addition to the wait that it requests."""

_HOSTS_DECODER = JsonDecoder(message=KnownHosts)
_CHANGES_DECODER = JsonDecoder(message=StoreNews)

_LOGGER = get_logger(__name__)


class NeighbourError(Exception):
    """A neighbour answered with an unexpected status or not at all."""


class _Sighting(NamedTuple):
    host: KnownHost
    seen_at: float
    """Clock when the host announced itself or a seed reported it last, in seconds."""


class _SeedReply(NamedTuple):
    digest: str
    hosts: list[KnownHost]
    """Hosts of this data centre that the seed knows."""
    total: int
    """Number of hosts of all data centres that the seed knows."""
    received_at: float
    """Clock when the reply arrived, in seconds."""


class _FleetSize(NamedTuple):
    hosts: int
    """Number of hosts, this one included."""
    known_at: float
    """Clock when the number was known, in seconds."""


class _Exclusions:
    """Hosts that are not chosen for a task for some seconds."""

    def __init__(self, *, clock: Clock) -> None:
        """Creates a state without excluded hosts.

        Args:
            clock: Source of time.
        """
        self._clock = clock
        self._until_by_name: dict[str, float] = {}

    def __contains__(self, name: str) -> bool:
        """Returns whether a host is excluded now."""
        return self._until_by_name.get(name, -math.inf) > self._clock.now()

    def add(self, name: str) -> None:
        """Excludes a host from now on.

        Args:
            name: Name of the host.
        """
        self._until_by_name[name] = self._clock.now() + _EXCLUSION_SECONDS


class Neighbours(ChannelPoolClient):
    """Tracks gateways on other hosts, which announce themselves to the seeds; a context manager.

    The choice of a reader needs no agreement between hosts: if two hosts choose different readers,
    or none, the only cost is additional calls to the store.
    """

    def __init__(
        self, *, host: str, address: str, data_centre: str, seeds: tuple[str, ...], clock: Clock
    ) -> None:
        """Creates a membership view that contains only this host.

        Args:
            host: Name of this host.
            address: ip:port at which this host serves its neighbours.
            data_centre: Data centre of this host.
            seeds: ip:port of a few hosts that collect announcements; some may not answer.
            clock: Source of time.
        """
        super().__init__(timeout_seconds=EXCHANGE_TIMEOUT_SECONDS)
        self._own = KnownHost(name=host, address=address, data_centre=data_centre)
        self._seeds = [seed for seed in seeds if seed != address]
        self._clock = clock
        self._sighting_by_name: dict[str, _Sighting] = {}
        self._reply_by_seed: dict[str, _SeedReply] = {}
        self._recent_sizes: collections.deque[_FleetSize] = collections.deque()
        """Numbers of hosts known within the last `_HOST_EXPIRY_SECONDS`, oldest first, without
        those after which at least as many were known."""
        # Hosts that do not answer about quotas or observations may still read the store.
        self._reader_exclusions = _Exclusions(clock=clock)
        self._quota_exclusions = _Exclusions(clock=clock)
        self._observation_exclusions = _Exclusions(clock=clock)

    # Membership.

    def on_announcement(self, host: KnownHost, *, known_digest: str) -> KnownHosts:
        """Records the announcement of another host.

        Args:
            host: The other host.
            known_digest: Digest of the hosts of its data centre that it already knows.

        Returns:
            The reply, which lists the hosts of its data centre unless the digest is up to date.

        Raises:
            ValueError: The host is no usable one, or too many are known.
        """
        _check_host(host)
        now = self._clock.now()
        is_known = host["name"] in self._sighting_by_name
        if not is_known and len(self._live_hosts(now)) > _MAX_LISTED_HOSTS:
            raise ValueError(f"more than {_MAX_LISTED_HOSTS} hosts are known")
        self._sighting_by_name[host["name"]] = _Sighting(host, now)
        known = self._live_hosts(now)
        local = [other for other in known if other["data_centre"] == host["data_centre"]]
        digest = _digest(local)
        reply = KnownHosts(total=len(known), digest=digest)
        if digest != known_digest:
            reply["hosts"] = local
        return reply

    def fleet_size(self) -> int | None:
        """Returns the number of live hosts, the largest that was known for some time.

        A seed that has been restarted or cut off knows only the hosts that have announced
        themselves since, so the number falls only once all have had the time to do so. While no
        seed answers, hosts expire that may be alive, so it does not fall at all.

        Returns:
            The number, this host included; None before another host is known.
        """
        now = self._clock.now()
        totals = [
            reply.total
            for reply in self._reply_by_seed.values()
            if now - reply.received_at < _HOST_EXPIRY_SECONDS
        ]
        hosts = max([len(self._live_hosts(now)), *totals])
        sizes = self._recent_sizes
        if self._seeds and not totals:
            if hosts == 1 and not sizes:
                return None
            hosts = max([hosts, *(size.hosts for size in sizes)])
        while sizes and now - sizes[0].known_at >= _HOST_EXPIRY_SECONDS:
            sizes.popleft()
        while sizes and sizes[-1].hosts <= hosts:
            sizes.pop()
        sizes.append(_FleetSize(hosts, now))
        return sizes[0].hosts

    def _live_hosts(self, now: float) -> list[KnownHost]:
        """Drops expired hosts and returns this host and the remaining ones, sorted by name."""
        for name, sighting in list(self._sighting_by_name.items()):
            if now - sighting.seen_at >= _HOST_EXPIRY_SECONDS or name == self._own["name"]:
                del self._sighting_by_name[name]
        hosts = [self._own, *(sighting.host for sighting in self._sighting_by_name.values())]
        return sorted(hosts, key=lambda host: host["name"])

    def reader(self) -> KnownHost | None:
        """Returns the neighbour that reads the store, None if this host is the reader.

        All hosts of a data centre try the candidates in the same order, by a hash of their names,
        and so normally choose the same one.
        """
        return self._first_candidate(self._reader_exclusions)

    def quota_host(self) -> KnownHost | None:
        """Returns the neighbour that decides about quotas, None if this host does.

        It is the first candidate for the reader that answers about quotas.
        """
        return self._first_candidate(self._quota_exclusions)

    def candidates(self, count: int) -> list[KnownHost]:
        """Returns other hosts of this data centre, in the order in which they are tried as reader.

        Args:
            count: Largest number of hosts.
        """
        now = self._clock.now()
        own = self._own["name"]
        return [host for host in self._ordered_hosts(now) if host["name"] != own][:count]

    def exclude_quota_host(self, name: str) -> None:
        """Excludes a host from the choice of the quota host for some seconds.

        Args:
            name: Name of the host.
        """
        self._quota_exclusions.add(name)

    def observation_host(self) -> KnownHost | None:
        """Returns the neighbour that merges observations of leaves, None if this host does.

        It is the first candidate for the reader that answers about them.
        """
        return self._first_candidate(self._observation_exclusions)

    def exclude_observation_host(self, name: str) -> None:
        """Excludes a host from the choice of the one that merges observations for some seconds.

        Args:
            name: Name of the host.
        """
        self._observation_exclusions.add(name)

    def local_host_names(self) -> list[str]:
        """Returns the names of the live hosts of this data centre, this one included."""
        return [host["name"] for host in self._local_hosts(self._clock.now())]

    def local_addresses(self) -> list[str]:
        """Returns the addresses of the other live hosts of this data centre."""
        own = self._own["name"]
        local = self._local_hosts(self._clock.now())
        return [host["address"] for host in local if host["name"] != own]

    def seed_addresses(self) -> list[str]:
        """Returns the addresses of the seeds besides this host."""
        return list(self._seeds)

    def address_by_data_centre(self) -> dict[str, str]:
        """Returns the address of one known host, drawn at random, of each other data centre."""
        hosts = self._live_hosts(self._clock.now())
        random.shuffle(hosts)
        own = self._own["data_centre"]
        return {h["data_centre"]: h["address"] for h in hosts if h["data_centre"] != own}

    def is_seed_heard(self) -> bool:
        """Returns whether a seed has answered, or there is none besides this host."""
        return bool(self._reply_by_seed) or not self._seeds

    def _local_hosts(self, now: float) -> list[KnownHost]:
        own = self._own["data_centre"]
        return [host for host in self._live_hosts(now) if host["data_centre"] == own]

    def _ordered_hosts(self, now: float) -> list[KnownHost]:
        """Returns the hosts of this data centre in an order that is the same at all of them."""
        local = self._local_hosts(now)
        return sorted(local, key=lambda h: (zlib.crc32(h["name"].encode()), h["name"]))

    def _first_candidate(self, exclusions: _Exclusions) -> KnownHost | None:
        """Returns the first host of this data centre that is not excluded, None for this one."""
        for host in self._ordered_hosts(self._clock.now()):
            if host["name"] in exclusions:
                continue
            return None if host["name"] == self._own["name"] else host
        return None

    def exclude(self, name: str) -> None:
        """Excludes a host from the choice of the reader for some seconds.

        Args:
            name: Name of the host, which may be this one.
        """
        self._reader_exclusions.add(name)

    async def run(self) -> None:
        """Announces this host to the seeds until cancelled."""
        await anyio.sleep(_FIRST_ANNOUNCEMENT_DELAY_SECONDS)
        for seed in self._seeds:
            await self._announce_to(seed)
        await anyio.sleep(_SECOND_ANNOUNCEMENT_DELAY_SECONDS)
        order = random.sample(self._seeds, len(self._seeds))
        while order:
            order.append(order.pop(0))
            await self._announce_to(order[-1])
            await anyio.sleep(random.uniform(0.8, 1.2) * _ANNOUNCEMENT_INTERVAL_SECONDS)

    async def _announce_to(self, seed: str) -> None:
        last_reply = self._reply_by_seed.get(seed)
        own = self._own
        query = {
            "name": own["name"],
            "address": own["address"],
            "data_centre": own["data_centre"],
            "digest": last_reply.digest if last_reply else "",
        }
        try:
            answer = await self._get(seed, HOSTS_PATH, query, wait_seconds=0.0)
            hosts = _HOSTS_DECODER.decode(_decompress(answer.body))
            _check_hosts(hosts)
        except (ExchangeError, NeighbourError, ValueError, zlib.error) as error:
            _LOGGER.info("seed did not answer", seed=seed, error=str(error))
            return
        now = self._clock.now()
        local = hosts.get("hosts", last_reply.hosts if last_reply else [])
        if last_reply is None or len(last_reply.hosts) != len(local):
            _LOGGER.info("hosts known", seed=seed, near=len(local), total=hosts["total"])
        self._reply_by_seed[seed] = _SeedReply(hosts["digest"], local, hosts["total"], now)
        for host in local:
            self._sighting_by_name[host["name"]] = _Sighting(host, now)

    # Changes of the store.

    async def fetch_changes(
        self, reader: KnownHost, *, after: int, wait_seconds: float, epoch: int = 0
    ) -> Result[StoreNews, NeighbourError]:
        """Requests changes of the store from the reader.

        Args:
            reader: The reader.
            after: Revision up to which this host has all changes.
            wait_seconds: Longest wait of the reader while there is no change, in seconds.
            epoch: Epoch of the store to which the revision belongs.

        Returns:
            The changes, or the reason why there is no usable answer.
        """
        query = {
            "after": str(after),
            "wait_ms": str(round(wait_seconds * 1000)),
            "epoch": str(epoch),
        }
        try:
            answer = await self._get(
                reader["address"], CHANGES_PATH, query, wait_seconds=wait_seconds
            )
            changes = _CHANGES_DECODER.decode(_decompress(answer.body))
        except (ExchangeError, InvalidMessageError, zlib.error) as error:
            return Failure(NeighbourError(str(error)))
        except NeighbourError as error:
            return Failure(error)
        age_seconds = changes["age_seconds"]
        if age_seconds < 0.0:
            # This host would take its data for current until then, whatever its readers say later.
            return Failure(NeighbourError(f"{reader['name']} states an age of {age_seconds} s"))
        return Success(changes)

    async def _get(
        self, address: str, path: str, query: dict[str, str], *, wait_seconds: float
    ) -> HttpResponse:
        channel = self._channels.channel(address, path)
        target = f"{path}?{urllib.parse.urlencode(query)}"
        answer = await channel.exchange(method="GET", target=target, extra_seconds=wait_seconds)
        if answer.status != 200:
            raise NeighbourError(f"{address}{path}: status {answer.status}")
        return answer


def compress(body: bytes) -> bytes:
    """Compresses a message for a neighbour.

    The reader sends each change to all hosts of its data centre over one link, and entries of
    leaves compress well because they resemble each other.

    Args:
        body: JSON text.

    Returns:
        The text in zlib format.
    """
    return zlib.compress(body, 1)


def _decompress(body: bytes) -> bytes:
    return zlib.decompressobj().decompress(body, _MAX_MESSAGE_BYTES)


def _check_hosts(hosts: KnownHosts) -> None:
    """Checks what a seed states.

    Raises:
        ValueError: No fleet has that number of hosts, or one of them is unusable.
    """
    if not 1 <= hosts["total"] <= _MAX_HOSTS:
        raise ValueError(f"{hosts['total']} hosts; expected 1 to {_MAX_HOSTS}")
    listed = hosts.get("hosts", [])
    if len(listed) > _MAX_LISTED_HOSTS:
        raise ValueError(f"{len(listed)} hosts are listed; expected at most {_MAX_LISTED_HOSTS}")
    for host in listed:
        _check_host(host)


def _check_host(host: KnownHost) -> None:
    """Checks what a host states of itself or of another one.

    Raises:
        ValueError: A name is too long, or the address can't be connected to.
    """
    if max(len(host["name"]), len(host["data_centre"])) > _MAX_NAME_CHARACTERS:
        raise ValueError(f"names of a host have more than {_MAX_NAME_CHARACTERS} characters")
    parse_address(host["address"])


def _digest(hosts: list[KnownHost]) -> str:
    return hashlib.blake2b(msgspec.json.encode(hosts), digest_size=6).hexdigest()
