"""A change of the configuration reaches each host within its bound, however late answers arrive.

Followers, change logs and the choice of the reader are those of the gateway; the store, the links
and the time are simulated.
"""

import asyncio
import enum
import random
from typing import Any, NamedTuple, cast

import anyio
import pytest
from returns.result import Failure, Result, Success

from filbertreach.gateway._change_log import ChangeLog
from filbertreach.gateway._discovery import StoreFollower
from filbertreach.gateway._neighbours import NeighbourError, Neighbours
from filbertreach.platform import (
    HistoryLostError,
    PlatformError,
    PlatformUnavailableError,
    RateLimitedError,
    StoredChange,
    StoredChanges,
    StoredItem,
    StoredListing,
)
from filbertreach.schema import KnownHost, StoreNews
from filbertreach_standins.virtual_time import VirtualTimeLoop

_BOUND_SECONDS = 5.0
"""Bound on configuration of the deployments in which one host reads the store for others."""
_CALL_TIMEOUT_SECONDS = 0.7
"""Timeout of a call to the store and to a neighbour, besides the wait that it asks for."""
_NEAR_SECONDS = 0.001
_STORE_LINK_SECONDS = 0.015
_CONFIGURATION_KEY = "op/config"
_HOSTS = 5


class _StoreAccess(enum.Enum):
    """How the store treats the calls of a host."""

    SERVED = enum.auto()
    REFUSED = enum.auto()
    SILENT = enum.auto()


_UNSERVED = (_StoreAccess.REFUSED, _StoreAccess.SILENT)


class _Link:
    """Link of a host, which its exchanges with the store and with neighbours share."""

    def __init__(self) -> None:
        self.in_seconds = 0.0
        """Additional time of messages that arrive at the host."""
        self.out_seconds = 0.0
        """Additional time of messages that the host sends."""
        self.is_cut = False
        self.store_access = _StoreAccess.SERVED
        self._access_changed = anyio.Event()

    def set_store_access(self, access: "_StoreAccess") -> None:
        """Sets how the store treats the host; a watch that waits is treated so as well."""
        self.store_access = access
        self._access_changed.set()
        self._access_changed = anyio.Event()

    async def wait_not_served(self) -> None:
        """Waits until the store serves the host no longer."""
        while self.store_access is _StoreAccess.SERVED:
            await self._access_changed.wait()

    async def send(self, seconds: float) -> None:
        """Carries a message of the host that takes a time without disturbance."""
        if self.is_cut:
            await anyio.sleep_forever()
        await anyio.sleep(seconds + self.out_seconds)

    async def receive(self, seconds: float) -> None:
        """Carries a message to the host that takes a time without disturbance."""
        await anyio.sleep(seconds + self.in_seconds)
        if self.is_cut:
            await anyio.sleep_forever()


class _Store:
    """Store that holds the configuration; each change has the next revision."""

    def __init__(self, loop: VirtualTimeLoop) -> None:
        self.written_at: list[float] = []
        """Time at which each version was written, that of version N at N - 1."""
        self.epoch = 1
        self.first_watchable = 0
        """Smallest revision after which a watch is possible."""
        self._versions: list[int] = []
        """Version by revision, that of revision N at N - 1."""
        self._loop = loop
        self._changed = anyio.Event()

    @property
    def revision(self) -> int:
        return len(self._versions)

    def write(self) -> None:
        """Writes the next version of the configuration."""
        self.written_at.append(self._loop.now())
        self._versions.append(len(self.written_at))
        self._notify()

    def write_and_forget(self) -> None:
        """Writes the next version and drops the history before a watch has shown it."""
        self.first_watchable = self.revision + 1
        self.write()

    def restore(self, *, lost_changes: int) -> None:
        """Returns to a copy without the last changes, whose revisions are given out again."""
        del self._versions[-lost_changes:]
        self.epoch += 1
        self._notify()

    def item(self) -> StoredItem:
        return StoredItem(_CONFIGURATION_KEY, b"%d" % self._versions[-1], self.revision)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_beyond(self, revision: int, seconds: float) -> None:
        with anyio.move_on_after(seconds):
            while self.revision == revision:
                await self._changed.wait()


class _StoreClient:
    """Client of the store over the link of a host."""

    def __init__(self, store: _Store, link: _Link, loop: VirtualTimeLoop) -> None:
        self._store = store
        self._link = link
        self._loop = loop

    async def list_prefix(self, prefix: str) -> Result[Any, PlatformError]:
        if self._link.store_access is not _StoreAccess.SERVED:
            return await self._not_served(_CALL_TIMEOUT_SECONDS)
        with anyio.move_on_after(_CALL_TIMEOUT_SECONDS):
            await self._link.send(_STORE_LINK_SECONDS)
            item = self._store.item()
            listing = StoredListing({item.key: item}, item.revision, self._store.epoch)
            await self._link.receive(_STORE_LINK_SECONDS)
            return Success(listing)
        return Failure(PlatformUnavailableError("no answer"))

    async def watch(
        self, prefix: str, *, after: int, wait_seconds: float
    ) -> Result[Any, PlatformError]:
        timeout_seconds = _CALL_TIMEOUT_SECONDS + wait_seconds
        if self._link.store_access is not _StoreAccess.SERVED:
            return await self._not_served(timeout_seconds)
        results: list[Result[Any, PlatformError]] = []
        started_at = self._loop.now()

        async def watch(scope: anyio.CancelScope) -> None:
            results.append(await self._watch(after, wait_seconds))
            scope.cancel()

        async def stop(scope: anyio.CancelScope) -> None:
            await self._link.wait_not_served()
            left_seconds = timeout_seconds - (self._loop.now() - started_at)
            results.append(await self._not_served(left_seconds))
            scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(watch, group.cancel_scope)
            group.start_soon(stop, group.cancel_scope)
        return results[0]

    async def _not_served(self, timeout_seconds: float) -> Result[Any, PlatformError]:
        if self._link.store_access is _StoreAccess.SILENT:
            await anyio.sleep(timeout_seconds)
            return Failure(PlatformUnavailableError("no answer"))
        await anyio.sleep(2 * _STORE_LINK_SECONDS)
        return Failure(RateLimitedError(retry_after_seconds=1.0))

    async def _watch(self, after: int, wait_seconds: float) -> Result[Any, PlatformError]:
        with anyio.move_on_after(_CALL_TIMEOUT_SECONDS + wait_seconds):
            await self._link.send(_STORE_LINK_SECONDS)
            await self._store.wait_beyond(after, wait_seconds)
            if not self._store.first_watchable <= after <= self._store.revision:
                await self._link.receive(_STORE_LINK_SECONDS)
                return Failure(HistoryLostError("the history is gone"))
            epoch = self._store.epoch
            item = self._store.item()
            change = StoredChange(item.key, item, item.revision)
            changes = (change,) if item.revision > after else ()
            await self._link.receive(_STORE_LINK_SECONDS)
            return Success(StoredChanges(changes, item.revision, epoch))
        return Failure(PlatformUnavailableError("no answer"))


class _Host:
    """A host that follows the store."""

    def __init__(self, number: int, fleet: "_Fleet") -> None:
        self.known = KnownHost(
            name=f"host-{number}", address=f"10.0.0.{number + 1}:1", data_centre="minho-1"
        )
        self.link = _Link()
        self.change_log = ChangeLog(clock=fleet.loop)
        self.in_force_at: dict[int, float] = {}
        """Time from which each version of the configuration, or a newer one, is in force."""
        self.neighbours = _SimulatedNeighbours(self, fleet)
        self.follower = StoreFollower(
            store=cast("Any", _StoreClient(fleet.store, self.link, fleet.loop)),
            on_listing=lambda listing, since: self._apply(listing.item_by_key[_CONFIGURATION_KEY]),
            on_change=lambda key, item, since: self._apply(item),
            change_log=self.change_log,
            clock=fleet.loop,
            host=self.known["name"],
            neighbours=self.neighbours,
        )
        self._loop = fleet.loop

    def _apply(self, item: StoredItem | None) -> None:
        assert item is not None and item.value is not None
        for version in range(1, int(item.value) + 1):
            self.in_force_at.setdefault(version, self._loop.now())


class _SimulatedNeighbours(Neighbours):
    """The choice of the reader, with exchanges over simulated links."""

    def __init__(self, host: _Host, fleet: "_Fleet") -> None:
        known = host.known
        super().__init__(
            host=known["name"],
            address=known["address"],
            data_centre=known["data_centre"],
            seeds=(),
            clock=fleet.loop,
        )
        self.polls = 0
        self._host = host
        self._fleet = fleet

    async def fetch_changes(
        self, reader: KnownHost, *, after: int, wait_seconds: float, **options: Any
    ) -> Result[StoreNews, NeighbourError]:
        other = self._fleet.host_by_name[reader["name"]]
        self.polls += 1
        with anyio.move_on_after(_CALL_TIMEOUT_SECONDS + wait_seconds):
            await self._host.link.send(_NEAR_SECONDS)
            await other.link.receive(0.0)
            reply = await other.change_log.changes_since(
                after, wait_seconds=wait_seconds, **options
            )
            await other.link.send(0.0)
            await self._host.link.receive(_NEAR_SECONDS)
            return Success(reply)
        return Failure(NeighbourError("no answer"))


class _Late(NamedTuple):
    """A host that used a configuration for too long."""

    host: str
    version: int
    seconds: float


class _Fleet:
    """Hosts of one data centre."""

    def __init__(self, loop: VirtualTimeLoop, hosts: int) -> None:
        self.loop = loop
        self._started_at = loop.now()
        self.store = _Store(loop)
        self.hosts = [_Host(number, self) for number in range(hosts)]
        self.host_by_name = {host.known["name"]: host for host in self.hosts}
        for host in self.hosts:
            for other in self.hosts:
                if other is not host:
                    host.neighbours.on_announcement(other.known, known_digest="")

    def seconds(self) -> float:
        """Returns the time since the fleet was created."""
        return self.loop.now() - self._started_at

    def reader(self) -> _Host:
        """Returns the host that the others follow while nothing is disturbed."""
        for host in self.hosts:
            if host.neighbours.reader() is None:
                return host
        raise AssertionError("no host reads the store")

    def late(self, *, except_host: _Host | None = None) -> list[_Late]:
        """Returns the changes that were in force too late at hosts besides one."""
        found = []
        for host in self.hosts:
            if host is except_host:
                continue
            for version, written_at in enumerate(self.store.written_at, start=1):
                seconds = host.in_force_at.get(version, self.loop.now()) - written_at
                if seconds > _BOUND_SECONDS:
                    found.append(_Late(host.known["name"], version, round(seconds, 3)))
        return found


def _run(scenario: Any, *, seed: int = 1, hosts: int = _HOSTS) -> list[_Late]:
    """Runs a scenario with the hosts of a fleet; returns what it returns."""
    random.seed(seed)

    async def main(loop: VirtualTimeLoop) -> list[_Late]:
        fleet = _Fleet(loop, hosts)
        fleet.store.write()
        async with anyio.create_task_group() as group:
            for host in fleet.hosts:
                group.start_soon(host.follower.run)
            late: list[_Late] = await scenario(fleet)
            group.cancel_scope.cancel()
        return late

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        loop = cast("VirtualTimeLoop", runner.get_loop())
        return runner.run(main(loop))


@pytest.mark.parametrize("delay_seconds", [0.0, 0.6, 1.2, 1.8, 2.4, 2.65])
def test_answers_that_a_reader_sends_late_do_not_make_old_data_look_current(
    delay_seconds: float,
) -> None:
    # Guards against taking an answer for current when it arrives: the link of the reader delayed
    # its answers, then it went silent, and hosts that reach the store used an old configuration for
    # longer than the bound.
    async def scenario(fleet: _Fleet, offset_seconds: float) -> list[_Late]:
        await anyio.sleep(8.0 + offset_seconds)
        reader = fleet.reader()
        reader.link.out_seconds = delay_seconds
        fleet.store.write()
        await anyio.sleep(0.1)
        fleet.store.write()
        reader.link.is_cut = True
        await anyio.sleep(_BOUND_SECONDS + 1.0)
        return fleet.late(except_host=reader)

    for tenth in range(16):
        assert _run(lambda fleet, offset=0.1 * tenth: scenario(fleet, offset)) == []


@pytest.mark.parametrize("seed", [525, 959, *range(40)])
def test_a_slow_link_of_the_reader_delays_no_change_beyond_the_bound(seed: int) -> None:
    # Guards against delays that add up between the store, the reader and the hosts that follow it.
    async def scenario(fleet: _Fleet) -> list[_Late]:
        rng = random.Random(seed)
        await anyio.sleep(5.0)
        reader = fleet.reader()
        for _ in range(rng.randrange(2, 8)):
            reader.link.out_seconds = rng.choice([0.0, 0.3, 0.6, 0.9, 1.2, 1.8, 2.4])
            reader.link.in_seconds = rng.choice([0.0, 0.0, 0.3, 0.6, 1.2, 1.8])
            await anyio.sleep(rng.uniform(0.05, 2.0))
            fleet.store.write()
        reader.link.is_cut = True
        await anyio.sleep(rng.uniform(0.0, 0.5))
        fleet.store.write()
        await anyio.sleep(_BOUND_SECONDS + 4.0)
        return fleet.late(except_host=reader)

    assert _run(scenario, seed=seed) == []


@pytest.mark.parametrize("seed", range(40))
def test_disturbed_neighbours_delay_no_change_beyond_the_bound(seed: int) -> None:
    # Guards against hosts that believe for too long what several disturbed hosts say of the store.
    async def scenario(fleet: _Fleet) -> list[_Late]:
        rng = random.Random(seed)
        await anyio.sleep(5.0)
        disturbed = rng.sample(fleet.hosts, _HOSTS - 2)
        for _ in range(60):
            await anyio.sleep(rng.uniform(0.1, 1.0))
            link = rng.choice(disturbed).link
            link.out_seconds = rng.choice([0.0, 0.0, 0.3, 0.6, 1.2, 2.0])
            link.in_seconds = rng.choice([0.0, 0.0, 0.3, 0.6, 1.2, 2.0])
            link.is_cut = rng.random() < 0.2
            if rng.random() < 0.4:
                fleet.store.write()
        await anyio.sleep(_BOUND_SECONDS + 1.0)
        return [late for late in fleet.late() if late.host not in _names(disturbed)]

    assert _run(scenario, seed=seed) == []


@pytest.mark.parametrize(
    ("hosts", "access", "seed"),
    [
        (6, _StoreAccess.REFUSED, 99),
        (6, _StoreAccess.REFUSED, 4),
        (6, _StoreAccess.SILENT, 22),
        (20, _StoreAccess.SILENT, 129),
        *[(hosts, access, 0) for hosts in (6, 12, 20) for access in _UNSERVED],
    ],
)
def test_hosts_that_follow_each_other_do_not_keep_old_data_current(
    hosts: int, access: _StoreAccess, seed: int
) -> None:
    # Guards against a circle of hosts that the store does not serve: each took its data from the
    # next, the time of the messages counted as no age, and so the data kept its age for seconds.
    async def scenario(fleet: _Fleet) -> list[_Late]:
        rng = random.Random(seed)
        await anyio.sleep(5.0 + rng.uniform(0.0, 2.0))
        reader = fleet.reader()
        for host in fleet.hosts:
            if host is reader or rng.random() < 0.4:
                host.link.set_store_access(access)
        for _ in range(9):
            await anyio.sleep(rng.uniform(0.2, 1.5))
            if rng.random() < 0.5:
                fleet.store.write()
        for host in fleet.hosts:
            host.link.set_store_access(_StoreAccess.SERVED)
        await anyio.sleep(_BOUND_SECONDS + 1.0)
        assert max(host.neighbours.polls for host in fleet.hosts) < 10 * fleet.seconds()
        return fleet.late()

    assert _run(scenario, seed=seed, hosts=hosts) == []


@pytest.mark.parametrize("seed", range(20))
def test_a_lost_history_delays_no_change_at_hosts_that_the_store_turns_away(seed: int) -> None:
    # Guards against a reader that lists the store again and no longer knows what has changed: hosts
    # that can't list it themselves then got no changes at all.
    async def scenario(fleet: _Fleet) -> list[_Late]:
        rng = random.Random(seed)
        await anyio.sleep(5.0 + rng.uniform(0.0, 2.0))
        reader = fleet.reader()
        for host in fleet.hosts:
            if host is not reader and rng.random() < 0.5:
                host.link.set_store_access(_StoreAccess.REFUSED)
        for _ in range(9):
            await anyio.sleep(rng.uniform(0.2, 1.5))
            fleet.store.write_and_forget()
        await anyio.sleep(_BOUND_SECONDS + 1.0)
        return fleet.late()

    assert _run(scenario, seed=seed, hosts=12) == []


@pytest.mark.parametrize("written_again", range(5))
@pytest.mark.parametrize("is_reader_cut", [False, True])
def test_a_store_restored_from_a_copy_delays_no_change_beyond_the_bound(
    is_reader_cut: bool, written_again: int
) -> None:
    # Guards against revisions that are taken as never going back: hosts waited for changes after a
    # revision that the restored store had yet to reach, or gave out again with other changes.
    async def scenario(fleet: _Fleet) -> list[_Late]:
        for _ in range(5):
            await anyio.sleep(1.0)
            fleet.store.write()
        await anyio.sleep(1.0)
        reader = fleet.reader()
        reader.link.is_cut = is_reader_cut
        fleet.store.restore(lost_changes=3)
        for _ in range(written_again):
            fleet.store.write()
        await anyio.sleep(_BOUND_SECONDS + 1.0)
        fleet.store.write()
        await anyio.sleep(_BOUND_SECONDS + 1.0)
        return fleet.late(except_host=reader if is_reader_cut else None)

    assert _run(scenario) == []


def _names(hosts: list[_Host]) -> set[str]:
    return {host.known["name"] for host in hosts}
