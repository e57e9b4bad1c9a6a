"""What one request may send after leaves were lost under it, without a network."""

import random
from collections.abc import Callable

import pytest

from filbertreach.quarantine import (
    GuardContext,
    LeafProcess,
    LossCount,
    RecentCrashes,
    RequestGuard,
    RequestQuarantine,
)
from filbertreach.timing import FakeClock

_KEY = b"k" * 16


class _Host:
    """Guards of one host; the checks of its leaves end when the test says so."""

    def __init__(self, name: str, clock: FakeClock) -> None:
        self.clock = clock
        self.quarantine = RequestQuarantine(host=name)
        self.crashes = RecentCrashes()
        self.checks: list[Callable[[bool], None]] = []
        self.shared: list[bytes] = []
        self._context = GuardContext(
            quarantine=self.quarantine,
            crashes=self.crashes,
            check_leaf=lambda process, address, on_checked: self.checks.append(on_checked),
            on_loss=lambda key, route: self.shared.append(key),
            now=clock.now,
        )

    def guard(self, *, shards: int = 0) -> RequestGuard:
        verdict = self.quarantine.verdict(_KEY, self.clock.now())
        return RequestGuard(
            fingerprint=_KEY, route="r", shards=shards, verdict=verdict, context=self._context
        )

    def lose(self, guard: RequestGuard, leaf: str, *, ended: bool = True) -> None:
        guard.on_sent()
        guard.on_connection_lost((leaf, 1), "127.0.0.1:1")
        self.checks.pop()(ended)


@pytest.fixture
def host() -> _Host:
    return _Host("a", FakeClock(start=100.0))


def test_losses_of_all_shards_share_one_count() -> None:
    # Guards against a count for each shard, which lets a request end a leaf of every one.
    count = LossCount()
    for leaf in ("shard-1/a", "shard-2/a"):
        assert count.may_send
        count.on_connection_lost((leaf, 1))
        count.on_checked((leaf, 1), ended=True)
    assert count.is_exhausted and not count.may_send


def test_nothing_is_sent_while_a_second_loss_is_possible(host: _Host) -> None:
    # Guards against retries that are sent while it is found out whether two leaves have ended.
    guard = host.guard(shards=4)
    for leaf in ("x", "y"):
        guard.on_sent()
        guard.on_connection_lost((leaf, 1), "127.0.0.1:1")
    assert not guard.may_send() and not guard.is_stopped()
    host.checks.pop()(False)
    assert guard.may_send()
    host.checks.pop()(True)
    assert guard.may_send() and not guard.is_stopped()
    assert host.shared == [_KEY]


def test_connections_lost_by_living_leaves_do_not_count(host: _Host) -> None:
    # Guards against cut links and broken-off answers that are taken for the end of leaves.
    guard = host.guard()
    for number in range(5):
        host.lose(guard, f"leaf-{number}", ended=False)
    assert guard.may_send() and len(host.quarantine) == 0


def test_the_second_loss_ends_the_request(host: _Host) -> None:
    # Guards against a third leaf that is lost under one request.
    guard = host.guard(shards=4)
    host.lose(guard, "x")
    assert guard.may_send()
    host.lose(guard, "y")
    assert guard.is_stopped() and not guard.may_send()


def test_a_copy_in_progress_is_held_and_then_stopped(host: _Host) -> None:
    # Guards against a copy that ends more leaves while the first one has lost two.
    first, copy = host.guard(), host.guard()
    host.lose(first, "x")
    host.lose(first, "y")
    assert not copy.may_send() and not copy.is_stopped()
    host.clock.advance(0.04)
    assert copy.is_stopped()


def test_a_quiet_route_is_sent_to_all_shards_at_once(host: _Host) -> None:
    # Guards against ordinary requests that are delayed by the two stages.
    guard = host.guard(shards=90)
    assert guard.first_shards is None
    host.lose(guard, "x")
    staged = host.guard(shards=90)
    assert staged.first_shards is not None and len(staged.first_shards) == 2
    host.clock.advance(2.1)
    assert host.guard(shards=90).first_shards is None


def test_a_trial_is_sent_to_one_shard_and_ends_with_its_first_loss(host: _Host) -> None:
    # Guards against a trial that ends more than one leaf.
    for leaf in ("x", "y"):
        host.lose(host.guard(shards=90), leaf)
    host.clock.advance(0.04)
    assert host.guard(shards=90).verdict.kind == "refuse"
    host.clock.advance(31.0)
    trial = host.guard(shards=90)
    assert trial.is_trial and trial.first_shards is not None and len(trial.first_shards) == 1
    assert trial.may_send()
    trial.on_sent()
    assert not trial.may_send()
    trial.on_answered()
    assert trial.may_send() and host.guard(shards=90).verdict.kind == "allow"


@pytest.mark.parametrize("seed", range(5))
def test_copies_at_many_hosts_at_the_same_moment_lose_few_leaves(seed: int) -> None:
    # Guards against copies that each end two other leaves before the hosts know of each other.
    generator = random.Random(seed)
    clock = FakeClock(start=100.0)
    hosts = [_Host(f"host-{number}", clock) for number in range(30)]
    lost: set[LeafProcess] = set()
    for host in hosts:
        host.crashes.on_lost("r", clock.now() - 1.0)
    for host in hosts:
        guard = host.guard(shards=90)
        assert guard.first_shards is not None
        for shard in guard.first_shards:
            leaf = f"{shard}/{generator.randrange(2)}"
            host.lose(guard, leaf)
            lost.add((leaf, 1))
        assert guard.is_stopped()
    # Two replicas of each of the two shards, although 60 calls were sent.
    assert len(lost) <= 4
    for host in hosts:
        evidence = host.quarantine.evidence(_KEY, clock.now())
        assert evidence is not None
        for other in hosts:
            if other is not host:
                other.quarantine.merge(evidence, source=host.quarantine._host, now=clock.now())
    clock.advance(0.04)
    assert {host.guard(shards=90).verdict.kind for host in hosts} == {"refuse"}
