"""Shared observations at one gateway: its reports, the states it follows, and those it merges."""

import contextlib
import math
from collections.abc import Mapping
from types import TracebackType
from typing import Protocol, Self

import anyio
import anyio.abc

from filbertreach.leaf_observations._board import ObservationBoard
from filbertreach.leaf_observations._client import (
    REQUEST_TIMEOUT_SECONDS,
    ObservationClient,
    ObservationError,
)
from filbertreach.leaf_observations._host import HostObservations
from filbertreach.leaf_observations._log import StateChangeLog
from filbertreach.leaf_observations._messages import (
    decode_reports,
    decode_states,
    encode_reports,
    encode_states,
)
from filbertreach.leaf_observations._metrics import OBSERVED_LEAVES
from filbertreach.leaf_observations._observer import Observation
from filbertreach.leaf_observations._pauses import TICK_SECONDS
from filbertreach.leaf_observations._states import EXCEPTION_KINDS
from filbertreach.observability import get_logger
from filbertreach.schema import KnownHost, LeafReports, MergedLeafStates
from filbertreach.timing import TimerService

_REPORT_INTERVAL_SECONDS = 0.25
"""Shortest time between two reports of a host."""
_POLL_WAIT_SECONDS = 5.0
"""Wait of a poll while no state changes. A merging host that is paused is noticed after this time
by hosts that have nothing to report."""
_MIN_POLL_INTERVAL_SECONDS = 0.25
"""Shortest time between an answer and the next poll."""
_MIN_UPDATE_SECONDS = 0.05
"""Shortest time between two updates of the board; less than a tick, which must not be missed."""
_MAX_UPDATE_SHARE = 0.03
"""Fraction of the time that updates of the board may take. Under an overload, when most hosts
observe most leaves, one took up to 24 ms."""
_MAX_POLLS_PER_SECOND = 150
"""Answers that the merging host gives in a second while states keep changing. At the shortest
interval, 127 hosts would ask it 500 times a second."""
_HOST_CHECK_SECONDS = 1.0
"""Interval at which the choice of the merging host and the number of hosts are updated."""
_MAX_TRIES = 3
"""Hosts that a report is sent to before it is dropped."""

_LOGGER = get_logger(__name__)


def poll_interval_seconds(host_count: int) -> float:
    """Returns the time between an answer and the next poll, in seconds.

    Args:
        host_count: Number of hosts that poll the same one.
    """
    return max(_MIN_POLL_INTERVAL_SECONDS, host_count / _MAX_POLLS_PER_SECOND)


class ObservationHosts(Protocol):
    """Knowledge of the other hosts, from which a gateway chooses the one that merges."""

    def observation_host(self) -> KnownHost | None:
        """Returns the host of this data centre that merges observations; None if it is this one."""

    def exclude_observation_host(self, name: str) -> None:
        """Excludes a host from the choice for some seconds."""

    def local_host_names(self) -> list[str]:
        """Returns the hosts of this data centre, this one included."""


class SharedObservations:
    """Shares observations of leaves within a data centre; a context manager.

    Each host answers reports and polls of others, whether or not it takes itself for the merging
    host: two hosts that merge only learn less.
    """

    def __init__(
        self,
        *,
        host: str,
        local: HostObservations,
        hosts: ObservationHosts,
        timers: TimerService,
    ) -> None:
        """Creates a state without observations.

        Args:
            host: Name of this host.
            local: What this host observes and the states that it applies.
            hosts: The other hosts.
            timers: Timer service, already entered when this object is entered.
        """
        self._local = local
        self._host = host
        self._hosts = hosts
        self._timers = timers
        self._clock = timers.clock
        self._board = ObservationBoard(leaf_count=local.states.count_answered)
        self._board_due_at = -math.inf
        self._board_changed = anyio.Event()
        self._log = StateChangeLog()
        self._client = ObservationClient()
        self._merging_host: KnownHost | None = None
        """Host that merges observations, None for this one."""
        self._host_checked_at = -math.inf
        self._poll: anyio.CancelScope | None = None
        self._has_news = anyio.Event()
        self._stack = contextlib.AsyncExitStack()
        self._group: anyio.abc.TaskGroup | None = None

    async def __aenter__(self) -> Self:
        """Starts to report and to follow."""
        await self._stack.__aenter__()
        await self._stack.enter_async_context(self._client)
        self._group = await self._stack.enter_async_context(anyio.create_task_group())
        self._local.observer.on_news = self._plan_report
        self._choose_host(self._clock.now())
        self._timers.subscribe(
            name="leaf observations", interval_seconds=TICK_SECONDS, callback=self._tick
        )
        self._group.start_soon(self._run_reports, name="leaf reports")
        self._group.start_soon(self._run_following, name="leaf states")
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        """Cancels the tasks and closes all connections."""
        assert self._group is not None
        self._group.cancel_scope.cancel()
        return await self._stack.__aexit__(kind, error, trace)

    # Answers to other hosts.

    def on_reports(self, reports: LeafReports) -> None:
        """Merges the observations of another host.

        Args:
            reports: The observations.

        Raises:
            ValueError: The report is not usable.
            ObservationError: This process was paused, so the age of the report is unknown.
        """
        now = self._clock.now()
        if self._local.pauses.was_paused_since(now - REQUEST_TIMEOUT_SECONDS, now):
            raise ObservationError("this process was paused")
        self._record(reports["host"], decode_reports(reports, now), now)

    async def states_since(self, after: int, *, wait_seconds: float) -> MergedLeafStates:
        """Returns the states that this host has merged.

        Args:
            after: Revision that the asking host has.
            wait_seconds: Longest wait while that is the current revision, in seconds.
        """
        arrived_at = self._clock.now()
        if after == self._board.revision:
            changed = self._board_changed
            with anyio.move_on_after(wait_seconds):
                await changed.wait()
        now = self._clock.now()
        return encode_states(
            self._board.revision,
            self._board.state_by_leaf,
            now,
            waited_seconds=now - arrived_at,
        )

    def _record(
        self, host: str, observation_by_leaf: Mapping[str, Observation], now: float
    ) -> None:
        self._board.record(host, observation_by_leaf, now)
        self._update_board(now)

    def _update_board(self, now: float) -> None:
        """Updates the board, unless it was updated a short time ago."""
        if now < self._board_due_at:
            return
        revision, was_general = self._board.revision, self._board.is_general
        changes = self._board.update(now)
        taken_seconds = self._clock.now() - now
        self._board_due_at = now + max(_MIN_UPDATE_SECONDS, taken_seconds / _MAX_UPDATE_SHARE)
        if self._board.is_general and not was_general:
            _LOGGER.warning("too many leaves observed as failing or slow, so none is listed")
        self._log.record(changes, now, is_general=self._board.is_general)
        if self._board.revision == revision:
            return
        self._board_changed.set()
        self._board_changed = anyio.Event()
        if self._merging_host is None:
            self._apply_board(now)

    def _apply_board(self, now: float) -> None:
        contradicted = self._local.states.replace(self._board.state_by_leaf, now)
        self._local.observer.on_contradicted(contradicted, now)

    # Timer.

    async def _tick(self, _pause: float) -> None:
        now = self._clock.now()
        self._local.pauses.tick(now)
        if not self._board.is_empty:
            self._update_board(now)
        if now - self._host_checked_at < _HOST_CHECK_SECONDS:
            return
        self._choose_host(now)
        self._local.host_count = max(1, len(self._hosts.local_host_names()))
        self._local.states.remove_expired(now)
        self._local.observer.remove_expired(now)
        for kind in EXCEPTION_KINDS:
            OBSERVED_LEAVES.labels(kind).set(self._local.states.count(kind))

    def _choose_host(self, now: float) -> None:
        """Updates the choice of the merging host; gives up the poll of another one."""
        self._host_checked_at = now
        old, self._merging_host = self._merging_host, self._hosts.observation_host()
        if self._merging_host != old and self._poll is not None:
            self._poll.cancel()

    def _exclude(self, host: KnownHost, error: ObservationError) -> None:
        _LOGGER.info("host did not answer about leaves", host=host["name"], error=str(error))
        self._hosts.exclude_observation_host(host["name"])
        self._choose_host(self._clock.now())

    # Reports.

    def _plan_report(self) -> None:
        self._has_news.set()

    async def _run_reports(self) -> None:
        while True:
            await self._has_news.wait()
            self._has_news = anyio.Event()
            await self._report()
            await anyio.sleep(_REPORT_INTERVAL_SECONDS)

    async def _report(self) -> None:
        """Sends what was observed since the last report, to the first host that takes it."""
        now = self._clock.now()
        observation_by_leaf = self._local.observer.take(now)
        if not observation_by_leaf:
            return
        for _ in range(_MAX_TRIES):
            now = self._clock.now()
            merging_host = self._merging_host
            if merging_host is None:
                self._record(self._host, observation_by_leaf, now)
                return
            reports = encode_reports(self._host, observation_by_leaf, now)
            try:
                await self._client.report(merging_host["address"], reports)
            except ObservationError as error:
                if merging_host == self._merging_host:
                    self._exclude(merging_host, error)
            else:
                return
        _LOGGER.info("no host took the observations", leaves=len(observation_by_leaf))

    # Following.

    async def _run_following(self) -> None:
        followed: KnownHost | None = None
        revision = 0
        while True:
            merging_host = self._merging_host
            if merging_host is None:
                if followed is not None:
                    self._apply_board(self._clock.now())
                followed, revision = None, 0
                await anyio.sleep(_MIN_POLL_INTERVAL_SECONDS)
                continue
            if merging_host != followed:
                followed, revision = merging_host, 0
            revision = await self._follow(merging_host, revision)
            # The next host is asked soon if this one did not answer.
            hosts = self._local.host_count if revision else 1
            await anyio.sleep(poll_interval_seconds(hosts))

    async def _follow(self, merging_host: KnownHost, revision: int) -> int:
        """Polls the states once and applies them.

        Returns:
            The revision that this host has now; 0 for none.
        """
        asked_at = self._clock.now()
        states: MergedLeafStates | None = None
        try:
            with anyio.CancelScope() as self._poll:
                states = await self._client.fetch_states(
                    merging_host["address"], after=revision, wait_seconds=_POLL_WAIT_SECONDS
                )
            if states is None:
                return 0
            now = self._clock.now()
            if states["revision"] == revision:
                return revision
            try:
                state_by_leaf = decode_states(states, asked_at=asked_at, now=now)
            except ValueError as error:
                raise ObservationError(f"{merging_host['address']}: {error}") from error
        except ObservationError as error:
            if merging_host == self._merging_host:
                self._exclude(merging_host, error)
            return 0
        finally:
            self._poll = None
        contradicted = self._local.states.replace(state_by_leaf, now)
        self._local.observer.on_contradicted(contradicted, now)
        return states["revision"]
