"""Load on a fleet, sent through a stand-in of the platform's load balancer."""

import contextlib
import http.client
import json
import random
import threading
import time
from collections.abc import Iterator, Sequence
from typing import Any

from filbertreach.timing import SystemClock
from filbertreach_standins.daemon_process import DaemonProcess
from filbertreach_standins.faults._record import Request, RunRecord

POLL_SECONDS = 0.2
"""Interval at which the balancer polls /readyz."""
_RESPONSE_MARGIN_SECONDS = 20.0
"""Time beyond its deadline that a caller waits for a response, so that a paused process does not
count as a broken connection."""
_RETRY_DELAY_SECONDS = 0.05
_MAX_ATTEMPTS = 4
RANKS = ("booking", "search", "invoicing")


class Balancer:
    """Chooses among the entry processes whose last `/readyz` response was 200."""

    def __init__(self, *, entries: Sequence[DaemonProcess]) -> None:
        """Creates a balancer that treats no entry process as ready until the first poll.

        Args:
            entries: Entry processes, including those that are restarted during the run.
        """
        self._entries = list(entries)
        self._ready: list[DaemonProcess] = []
        self._next_index = 0
        self._lock = threading.Lock()

    def poll(self) -> None:
        """Polls the readiness of every entry process once."""
        ready = [entry for entry in self._entries if _is_ready(entry)]
        with self._lock:
            self._ready = ready

    def choose(self) -> DaemonProcess | None:
        """Returns the next ready entry process, round robin, or None if none is ready."""
        with self._lock:
            if not self._ready:
                return None
            self._next_index += 1
            return self._ready[self._next_index % len(self._ready)]


def _is_ready(entry: DaemonProcess) -> bool:
    host, port = entry.http.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=POLL_SECONDS * 2)
    with contextlib.suppress(OSError, http.client.HTTPException), contextlib.closing(connection):
        connection.request("GET", "/readyz")
        return connection.getresponse().status == 200
    return False


def submit(*, entry: DaemonProcess, body: dict[str, Any], tag: str, record: RunRecord) -> Request:
    """Sends one request on a new connection and records its outcome.

    Args:
        entry: Entry process.
        body: Request body with `shards` and a query with `rows`; the tag is added to the query.
        tag: Tag that is unique to this submission.
        record: Record that the submission is added to.

    Returns:
        The recorded submission.
    """
    clock = SystemClock()
    body = {**body, "query": {**body["query"], "tag": tag}}
    sent_at = clock.now()
    status, response_body, error = _exchange(entry, body)
    request = Request(
        request_id=body["request_id"],
        tag=tag,
        entry=entry.name,
        idempotent=body.get("idempotent", True),
        shards=tuple(body["shards"]),
        rows=body["query"]["rows"],
        sent_at=sent_at,
        ended_at=clock.now(),
        status=status,
        body=response_body,
        error=error,
    )
    record.add_request(request)
    return request


def _exchange(entry: DaemonProcess, body: dict[str, Any]) -> tuple[int, dict[str, Any], str]:
    host, port = entry.http.split(":")
    seconds = body["deadline_ms"] / 1000 + _RESPONSE_MARGIN_SECONDS
    connection = http.client.HTTPConnection(host, int(port), timeout=seconds)
    with contextlib.closing(connection):
        try:
            connection.connect()
        except OSError:
            return 0, {}, "refused"
        try:
            headers = {"content-type": "application/json"}
            connection.request("POST", "/v1/query", json.dumps(body).encode(), headers)
            response = connection.getresponse()
            return response.status, json.loads(response.read()), ""
        except (OSError, http.client.HTTPException, ValueError) as error:
            return 0, {}, repr(error)


class LoadGenerator:
    """Threads that send requests of all three ranks while its context is open."""

    def __init__(
        self,
        *,
        balancer: Balancer,
        record: RunRecord,
        body: dict[str, Any],
        shards: Sequence[str],
        seed: int,
        callers: int = 9,
        pause_seconds: float = 0.05,
    ) -> None:
        """Prepares the load; `running` starts it.

        Args:
            balancer: Chooses the entry process of each request.
            record: Record that the requests are added to.
            body: Request body whose common fields each request takes over.
            shards: Shards of the fleet.
            seed: Seed of the generated requests.
            callers: Number of caller threads; each has at most one request in progress.
            pause_seconds: Mean pause of a caller between two requests.
        """
        self._balancer = balancer
        self._record = record
        self._body = body
        self._shards = list(shards)
        self._seed = seed
        self._callers = callers
        self._pause_seconds = pause_seconds
        self._stopped = threading.Event()

    @contextlib.contextmanager
    def running(self) -> Iterator[None]:
        """Sends requests until the context exits, then waits for those in progress."""
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

    def _poll_readiness(self) -> None:
        while not self._stopped.is_set():
            self._balancer.poll()
            self._stopped.wait(POLL_SECONDS)

    def _run_caller(self, number: int) -> None:
        rng = random.Random(f"{self._seed}/{number}")
        sequence = 0
        while not self._stopped.is_set():
            sequence += 1
            self._send(f"{self._seed}-{number}-{sequence}", RANKS[number % len(RANKS)], rng)
            self._stopped.wait(self._pause_seconds * rng.uniform(0.5, 1.5))

    def _send(self, request_id: str, rank: str, rng: random.Random) -> None:
        idempotent = rng.random() < 0.6
        shard_count = rng.randint(1, len(self._shards)) if idempotent else 1
        query: dict[str, Any] = {"rows": rng.randint(1, 7)}
        if not idempotent:
            query["write"] = request_id
        body = {
            **self._body,
            "request_id": request_id,
            "rank": rank,
            "idempotent": idempotent,
            "shards": rng.sample(self._shards, shard_count),
            "query": query,
        }
        for attempt in range(_MAX_ATTEMPTS):
            entry = self._balancer.choose()
            if entry is not None:
                tag = f"{request_id}/{attempt}"
                request = submit(entry=entry, body=body, tag=tag, record=self._record)
                if request.error != "refused" and request.problem != "refused-not-run":
                    return
            if self._stopped.is_set():
                return
            time.sleep(_RETRY_DELAY_SECONDS)
