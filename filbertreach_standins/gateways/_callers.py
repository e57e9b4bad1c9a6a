"""Callers that keep their connections for many requests, behind a simple balancer."""

import contextlib
import http.client
import itertools
import random
import threading
import time
from collections.abc import Iterator

from filbertreach.timing import SystemClock
from filbertreach_standins.gateways._deployment import Deployment
from filbertreach_standins.gateways._process import GatewayProcess
from filbertreach_standins.gateways._record import RunRecord, Seen

_PAUSE_SECONDS = 0.02
"""Longest pause of a caller between two requests."""
_SINGLE_SHARE = 0.25
"""Share of requests that may not be repeated."""
_NEWEST_SHARE = 0.5
"""Share of the other requests that go to the route that was added last."""
_RECONNECT_SECONDS = 0.05
_MOST_ON_ONE_CONNECTION = 60
_LOOK_SECONDS = 0.3


class Callers:
    """Threads that send requests until they are stopped."""

    def __init__(
        self, *, deployment: Deployment, record: RunRecord, seed: int, callers: int
    ) -> None:
        """Prepares the callers.

        Args:
            deployment: Whose gateways they call.
            record: Takes what they see.
            seed: Seed of their choices.
            callers: Number of threads.
        """
        self._deployment = deployment
        self._record = record
        self._seed = seed
        self._callers = callers
        self._clock = SystemClock()
        self._stopping = threading.Event()
        self._ids = itertools.count(1)
        self._ready: list[GatewayProcess] = []

    @contextlib.contextmanager
    def running(self) -> Iterator[None]:
        """Sends requests for the length of a block."""
        self._look()
        threads = [threading.Thread(target=self._balance)]
        threads += [
            threading.Thread(target=self._call, args=(number,)) for number in range(self._callers)
        ]
        for thread in threads:
            thread.start()
        try:
            yield
        finally:
            self._stopping.set()
            for thread in threads:
                thread.join()

    def _look(self) -> None:
        # With none ready, all get new connections, as the balancer of the platform does.
        ready = [gateway for gateway in self._deployment.gateways if gateway.is_ready()]
        self._ready = ready or list(self._deployment.gateways)

    def _balance(self) -> None:
        while not self._stopping.wait(_LOOK_SECONDS):
            self._look()

    def _call(self, number: int) -> None:
        choices = random.Random(f"{self._seed}-{number}")
        while not self._stopping.is_set():
            gateway = choices.choice(self._ready)
            connection = gateway.connect()
            for _ in range(choices.randrange(1, _MOST_ON_ONE_CONNECTION)):
                if self._stopping.is_set() or not self._send(choices, gateway, connection):
                    break
                time.sleep(choices.uniform(0.0, _PAUSE_SECONDS))
            connection.close()
            time.sleep(_RECONNECT_SECONDS)

    def _send(
        self,
        choices: random.Random,
        gateway: GatewayProcess,
        connection: http.client.HTTPConnection,
    ) -> bool:
        paths = self._deployment.paths
        single = choices.random() < _SINGLE_SHARE
        path = "/single/" if single else choices.choice(paths)
        if not single and choices.random() < _NEWEST_SHARE:
            path = paths[-1]
        request_id = f"q{next(self._ids)}"
        incarnation = gateway.incarnation
        sent_at = self._clock.now()
        answer = gateway.ask(
            f"{path}x",
            request_id,
            method="POST" if single else "GET",
            connection=connection,
        )
        header = "x-server-stamp" if single else "x-part-stamps"
        stamps = [stamp.strip() for stamp in answer.headers.get(header, "").split(",")]
        self._record.seen.append(
            Seen(
                id=request_id,
                gateway=gateway.name,
                incarnation=incarnation,
                path=path,
                repeatable=not single,
                sent_at=sent_at,
                ended_at=self._clock.now(),
                status=answer.status,
                stamps=tuple(stamp for stamp in stamps if stamp),
                missing=int(answer.headers.get("x-missing-parts", "0")),
                body=answer.body,
                error=answer.error,
            )
        )
        return answer.status != 0 and answer.headers.get("connection") != "close"
