"""Finds out whether a leaf that has closed a connection has ended."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

import anyio

from filbertreach.observability import get_logger
from filbertreach.quarantine._loss_count import LeafProcess
from filbertreach.quarantine._metrics import LEAF_CHECKS
from filbertreach.schema import parse_address
from filbertreach.timing import Clock

_LOGGER = get_logger(__name__)

_CONNECT_TIMEOUT_SECONDS = 0.15
"""Enough for two network delays to another region. Without an answer, the link may be cut, so it
is not known whether the leaf has ended."""
_ATTEMPT_DELAYS_SECONDS = (0.0, 0.01, 0.03)
"""Delays before the attempts. A process that ends closes its sockets one after the other, and may
close the connection before the socket at which it listens; a connection opened meanwhile is
accepted or reset."""
_MAX_CHECKS = 128
"""Checks that run at the same time; further leaves count as alive."""
_ENDED_SECONDS = 1.0
"""Time for which a leaf that has ended is not checked again."""
_ALIVE_SECONDS = 0.25
"""Time for which a leaf that lives is not checked again. A leaf that resets connections above its
limit would otherwise get even more of them."""
_MAX_RESULTS = 1_000
"""Results that are kept."""

Spawn = Callable[[Callable[[], Coroutine[Any, Any, None]]], None]
"""Runs a coroutine function as a task."""


class _Result(NamedTuple):
    """Result of a check."""

    ended: bool
    """Whether the leaf has ended."""
    until: float
    """Clock until which the result is used, in seconds."""


class LeafChecks:
    """Opens a connection to leaves; one that has ended refuses it.

    A leaf that closes idle connections, breaks off answers or resets connections above its limit
    accepts it, and so does one behind a link that lost a connection.
    """

    def __init__(self, *, clock: Clock, spawn: Spawn) -> None:
        """Creates the checks.

        Args:
            clock: Source of time.
            spawn: Runs a coroutine function as a task.
        """
        self._clock = clock
        self._spawn = spawn
        self._waiting_by_process: dict[LeafProcess, list[Callable[[bool], None]]] = {}
        self._result_by_process: dict[LeafProcess, _Result] = {}

    def check(self, process: LeafProcess, address: str, on_checked: Callable[[bool], None]) -> None:
        """Starts a check, unless one of the same leaf is running; see `LeafCheck`.

        Args:
            process: The leaf.
            address: ip:port of the leaf.
            on_checked: Called once with whether it has ended.
        """
        result = self._result_by_process.get(process)
        if result is not None and self._clock.now() < result.until:
            on_checked(result.ended)
            return
        waiting = self._waiting_by_process.get(process)
        if waiting is not None:
            waiting.append(on_checked)
            return
        if len(self._waiting_by_process) >= _MAX_CHECKS:
            LEAF_CHECKS.labels("skipped").inc()
            on_checked(False)
            return
        self._waiting_by_process[process] = [on_checked]
        self._spawn(lambda: self._run(process, address))

    async def _run(self, process: LeafProcess, address: str) -> None:
        ended = False
        try:
            ended = await _refuses_connections(address)
        finally:
            waiting = self._waiting_by_process.pop(process)
        LEAF_CHECKS.labels("ended" if ended else "alive").inc()
        while len(self._result_by_process) >= _MAX_RESULTS:
            del self._result_by_process[next(iter(self._result_by_process))]
        seconds = _ENDED_SECONDS if ended else _ALIVE_SECONDS
        self._result_by_process[process] = _Result(ended, self._clock.now() + seconds)
        if ended:
            _LOGGER.info("leaf has ended", leaf=process[0], requests=len(waiting))
        for on_checked in waiting:
            on_checked(ended)


async def _refuses_connections(address: str) -> bool:
    """Returns whether nothing listens at an address; False if it is not known."""
    host, port = parse_address(address)
    loop = asyncio.get_running_loop()
    for delay_seconds in _ATTEMPT_DELAYS_SECONDS:
        await anyio.sleep(delay_seconds)
        try:
            with anyio.fail_after(_CONNECT_TIMEOUT_SECONDS):
                transport, _ = await loop.create_connection(asyncio.Protocol, host, port)
        except ConnectionRefusedError:
            return True
        except TimeoutError:
            return False
        except OSError:
            # Reset while the leaf ends or is at its limit of connections.
            continue
        transport.abort()
    return False
