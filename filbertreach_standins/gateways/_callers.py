"""Load on gateways over persistent connections, spread by a simple load balancer."""

import contextlib
import http.client
import itertools
import random
import threading
import time
from collections.abc import Iterator

from filbertreach.timing import SystemClock
from filbertreach_standins.gateways._accounts import pick_credential
from filbertreach_standins.gateways._deployment import Deployment
from filbertreach_standins.gateways._process import GatewayProcess
from filbertreach_standins.gateways._record import Request, RunRecord

_MAX_PAUSE_SECONDS = 0.02
"""Longest pause of a caller between two requests."""
_SINGLE_SHARE = 0.25
"""Share of requests that go to the non-idempotent route."""
_NEWEST_ROUTE_SHARE = 0.5
"""Share of the other requests that always go to the newest route."""
_RECONNECT_DELAY_SECONDS = 0.05
_MAX_REQUESTS_PER_CONNECTION = 60
_POLL_SECONDS = 0.3


class LoadGenerator:
    """Threads that send requests while its context is open."""

    def __init__(
        self, *, deployment: Deployment, record: RunRecord, seed: int, callers: int
    ) -> None:
        """Prepares the load; `running` starts it.

        Args:
            deployment: Deployment whose gateways are called.
            record: Record that the requests are added to.
            seed: Seed of the generated requests.
            callers: Number of caller threads; each has at most one request in progress.
        """
        self._deployment = deployment
        self._record = record
        self._seed = seed
        self._callers = callers
        self._clock = SystemClock()
        self._stopped = threading.Event()
        self._ids = itertools.count(1)
        self._ready: list[GatewayProcess] = []

    @contextlib.contextmanager
    def running(self) -> Iterator[None]:
        """Sends requests until the context exits, then waits for those in progress."""
        self._update_ready()
        threads = [threading.Thread(target=self._poll_readiness)]
        threads += [
            threading.Thread(target=self._run_caller, args=(number,))
            for number in range(self._callers)
        ]
        for thread in threads:
            thread.start()
        try:
            yield
        finally:
            self._stopped.set()
            for thread in threads:
                thread.join()

    def _update_ready(self) -> None:
        # If no gateway is ready, the balancer of the platform connects to all of them.
        ready = [gateway for gateway in self._deployment.gateways if gateway.is_ready()]
        self._ready = ready or list(self._deployment.gateways)

    def _poll_readiness(self) -> None:
        while not self._stopped.wait(_POLL_SECONDS):
            self._update_ready()

    def _run_caller(self, number: int) -> None:
        rng = random.Random(f"{self._seed}-{number}")
        while not self._stopped.is_set():
            gateway = rng.choice(self._ready)
            connection = gateway.connect()
            for _ in range(rng.randrange(1, _MAX_REQUESTS_PER_CONNECTION)):
                if self._stopped.is_set() or not self._send(rng, gateway, connection):
                    break
                time.sleep(rng.uniform(0.0, _MAX_PAUSE_SECONDS))
            connection.close()
            time.sleep(_RECONNECT_DELAY_SECONDS)

    def _send(
        self,
        rng: random.Random,
        gateway: GatewayProcess,
        connection: http.client.HTTPConnection,
    ) -> bool:
        paths = self._deployment.paths
        single = rng.random() < _SINGLE_SHARE
        path = "/single/" if single else rng.choice(paths)
        if not single and rng.random() < _NEWEST_ROUTE_SHARE:
            path = paths[-1]
        has_accounts = self._deployment.options.accounts
        credential = pick_credential(rng) if has_accounts else None
        request_id = f"q{next(self._ids)}"
        incarnation = gateway.incarnation
        sent_at = self._clock.now()
        response = gateway.request(
            f"{path}x",
            request_id,
            method="POST" if single else "GET",
            connection=connection,
            key=credential.key if credential else None,
        )
        header = "x-server-stamp" if single else "x-part-stamps"
        stamps = [stamp.strip() for stamp in response.headers.get(header, "").split(",")]
        self._record.requests.append(
            Request(
                request_id=request_id,
                gateway=gateway.name,
                incarnation=incarnation,
                path=path,
                idempotent=not single,
                sent_at=sent_at,
                ended_at=self._clock.now(),
                status=response.status,
                stamps=tuple(stamp for stamp in stamps if stamp),
                missing=int(response.headers.get("x-missing-parts", "0")),
                body=response.body,
                error=response.error,
                account=credential.account if credential else None,
                allowed_refusal=credential.allowed_refusal if credential else None,
            )
        )
        return response.status != 0 and response.headers.get("connection") != "close"
