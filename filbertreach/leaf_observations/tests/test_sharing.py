"""Reports and states between gateways over loopback: merging, failing hosts, idle traffic."""

import contextlib
from collections.abc import AsyncIterator, Callable

import anyio
import pytest

from filbertreach.decisions import LeafOutcome
from filbertreach.gateway._change_log import ChangeLog
from filbertreach.gateway._neighbour_application import neighbour_application
from filbertreach.gateway._neighbours import Neighbours
from filbertreach.leaf_observations import HostObservations, Observation, SharedObservations
from filbertreach.leaf_observations._board import StateChange
from filbertreach.leaf_observations._messages import decode_states
from filbertreach.observability import Application, HttpServer, Receive, Scope, Send
from filbertreach.schema import KnownHost, LeafReports, MergedLeafState, MergedLeafStates
from filbertreach.timing import FakeClock, SystemClock, TimerService
from filbertreach_standins.ports import free_address


class _Hosts:
    """Candidates for the merging host in order; this host itself is the last one."""

    def __init__(self, others: list[KnownHost]) -> None:
        self.others = others
        self.excluded: list[str] = []
        self.extra: list[str] = []
        """Names of further hosts, which send nothing."""

    def observation_host(self) -> KnownHost | None:
        usable = [host for host in self.others if host["name"] not in self.excluded]
        return usable[0] if usable else None

    def exclude_observation_host(self, name: str) -> None:
        self.excluded.append(name)

    def local_host_names(self) -> list[str]:
        return [host["name"] for host in self.others] + ["itself", *self.extra]


class _Gateway:
    """The part of a gateway that shares observations."""

    def __init__(self, name: str, address: str, others: list[KnownHost]) -> None:
        self.host = KnownHost(name=name, address=address, data_centre="minho-1")
        self.hosts = _Hosts(others)
        self.local = HostObservations(clock=SystemClock())
        self.requests: list[str] = []
        self._name = name
        self._address = address

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator[None]:
        async with TimerService() as timers:
            observations = SharedObservations(
                host=self._name,
                local=self.local,
                hosts=self.hosts,
                timers=timers,
            )
            self.observations = observations
            neighbours = Neighbours(
                host=self._name,
                address=self._address,
                data_centre="minho-1",
                seeds=(),
                clock=timers.clock,
            )
            application = neighbour_application(
                neighbours, ChangeLog(clock=timers.clock), observations=observations
            )
            async with observations, _serve(self._address, self._counted(application)):
                yield

    def _counted(self, application: Application) -> Application:
        async def counted(scope: Scope, receive: Receive, send: Send) -> None:
            if scope["type"] == "http":
                self.requests.append(scope["path"])
            await application(scope, receive, send)

        return counted

    def observe(self, outcome: LeafOutcome) -> None:
        now = SystemClock().now()
        self.local.observer.record("a", outcome, 0.001, now, usual_seconds=0.01)

    def knows(self) -> bool:
        return self.local.states.state_of("a", SystemClock().now()) is not None


@contextlib.asynccontextmanager
async def _serve(address: str, application: Application) -> AsyncIterator[None]:
    server = HttpServer(address=address, application=application, drain_seconds=0.1)
    async with anyio.create_task_group() as group:
        await group.start(server.run)
        yield
        group.cancel_scope.cancel()


async def _wait_until(condition: Callable[[], bool], seconds: float) -> None:
    with anyio.fail_after(seconds):
        while not condition():
            await anyio.sleep(0.01)


def _gateways(*, silent: KnownHost | None = None) -> list[_Gateway]:
    """Returns a merging host and two hosts that report to it, perhaps after a silent one."""
    first = _Gateway("h0", free_address(), [])
    others = [first.host] if silent is None else [silent, first.host]
    return [first, *(_Gateway(f"h{n}", free_address(), others) for n in (1, 2))]


def test_all_hosts_learn_what_two_of_them_observe() -> None:
    # Guards against states that do not reach the other hosts.
    async def run() -> None:
        gateways = _gateways()
        async with contextlib.AsyncExitStack() as stack:
            for gateway in gateways:
                await stack.enter_async_context(gateway.run())
            await anyio.sleep(0.6)
            gateways[0].requests.clear()
            await anyio.sleep(1.0)
            # No traffic while all leaves are healthy.
            gateways[1].observe(LeafOutcome.OK)
            await anyio.sleep(0.3)
            assert gateways[0].requests == []
            gateways[1].observe(LeafOutcome.ERROR)
            gateways[2].observe(LeafOutcome.ERROR)
            await _wait_until(lambda: all(g.knows() for g in gateways), 1.0)
            # Good answers of two hosts end the state everywhere, before it would expire.
            gateways[0].observe(LeafOutcome.OK)
            gateways[1].observe(LeafOutcome.OK)
            await _wait_until(lambda: not any(g.knows() for g in gateways), 1.2)

    anyio.run(run)


@pytest.mark.parametrize("fault", ["closed", "paused"])
def test_the_next_host_is_asked_if_the_first_one_does_not_answer(fault: str) -> None:
    # Guards against observations that are lost with the host that merges them.
    async def never_answer(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "http":
            await anyio.sleep_forever()

    async def run() -> None:
        silent = KnownHost(name="gone", address=free_address(), data_centre="minho-1")
        gateways = _gateways(silent=silent)
        async with contextlib.AsyncExitStack() as stack:
            if fault == "paused":
                await stack.enter_async_context(_serve(silent["address"], never_answer))
            for gateway in gateways:
                await stack.enter_async_context(gateway.run())
            await anyio.sleep(0.2)
            for gateway in gateways[1:]:
                gateway.observe(LeafOutcome.ERROR)
            await _wait_until(lambda: all(g.knows() for g in gateways), 1.6)
            assert all(g.hosts.excluded == ["gone"] for g in gateways[1:])

    anyio.run(run)


def test_the_time_under_way_counts_as_age() -> None:
    # Guards against a process that was paused and then applies what it received long ago.
    item = MergedLeafState(leaf="a", kind="failing", factor=1.0, age_seconds=0.5, hosts=2)
    states = MergedLeafStates(revision=1, waited_seconds=3.0, states=[item])
    assert decode_states(states, asked_at=100.0, now=103.0)["a"].confirmed_at == 102.5
    late = decode_states(states, asked_at=100.0, now=106.0)["a"]
    assert late.ends_at < 106.0
    item["age_seconds"] = -5.0
    with pytest.raises(ValueError, match="age"):
        decode_states(states, asked_at=100.0, now=103.0)


def test_a_leaf_id_that_is_too_long_is_left_out() -> None:
    # Guards against a merging gateway that ends, and reports that all hosts reject.
    async def run() -> None:
        gateways = _gateways()
        async with contextlib.AsyncExitStack() as stack:
            for gateway in gateways:
                await stack.enter_async_context(gateway.run())
            for gateway in gateways[:2]:
                now = SystemClock().now()
                gateway.local.observer.record(
                    "x" * 300, LeafOutcome.ERROR, 0.001, now, usual_seconds=0.01
                )
                gateway.observe(LeafOutcome.ERROR)
            await _wait_until(lambda: all(g.knows() for g in gateways), 1.6)
            assert not any(g.hosts.excluded for g in gateways)

    anyio.run(run)


def test_updates_take_a_small_part_of_the_time(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a merging host that is busy with reports of all hosts about all leaves.
    async def run() -> None:
        clock = FakeClock(start=100.0)
        local = HostObservations(clock=clock)
        async with TimerService(clock=clock) as timers:
            observations = SharedObservations(
                host="h0", local=local, hosts=_Hosts([]), timers=timers
            )
            updated_at: list[float] = []

            def update(now: float) -> list[StateChange]:
                updated_at.append(now)
                clock.advance(0.02)
                return []

            monkeypatch.setattr(observations._board, "update", update)
            for _ in range(200):
                clock.advance(0.01)
                local.pauses.tick(clock.now())
                observations.on_reports(LeafReports(host="h1", observations=[]))
        assert 2 <= len(updated_at) <= 4

    anyio.run(run)


def test_hosts_poll_less_often_if_there_are_many() -> None:
    # Guards against a merging host that only answers polls while states keep changing.
    async def run() -> None:
        gateways = _gateways()
        gateways[0].hosts.extra = ["other"] * 300
        gateways[1].hosts.extra = ["other"] * 300
        async with contextlib.AsyncExitStack() as stack:
            for gateway in gateways[:2]:
                await stack.enter_async_context(gateway.run())
            await _wait_until(lambda: gateways[1].local.host_count > 300, 2.0)
            gateways[0].requests.clear()
            for _ in range(15):
                for name in ("h2", "h3"):
                    observation = {"a": Observation("failing", 1, 1.0, SystemClock().now())}
                    gateways[0].observations._record(name, observation, SystemClock().now())
                await anyio.sleep(0.2)
            assert 1 <= len(gateways[0].requests) <= 2

    anyio.run(run)
