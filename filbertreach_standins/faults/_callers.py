"""Callers of a fleet behind a stand-in of the platform's balancer."""

import contextlib
import http.client
import json
import random
import threading
import time
from collections.abc import Iterator, Sequence
from typing import Any

from filbertreach.timing import SystemClock
from filbertreach_standins.faults._record import Request, RunRecord
from filbertreach_standins.fleet import DaemonProcess

POLL_SECONDS = 0.2
"""Time between two looks of the balancer at /readyz."""
_ANSWER_MARGIN_SECONDS = 20.0
"""A caller waits this much longer than its deadline, so that a paused process is not taken for a
broken connection."""
_RETRY_SECONDS = 0.05
_MOST_TRIES = 4
RANKS = ("booking", "search", "invoicing")


class Balancer:
    """Gives new requests only to entry processes whose last `/readyz` was 200."""

    def __init__(self, *, entries: Sequence[DaemonProcess]) -> None:
        """Starts with no entry process known to be ready.

        Args:
            entries: Entry processes, also those that will be restarted.
        """
        self._entries = list(entries)
        self._ready: list[DaemonProcess] = []
        self._turn = 0
        self._lock = threading.Lock()

    def poll(self) -> None:
        """Looks at every entry process once."""
        ready = [entry for entry in self._entries if _is_ready(entry)]
        with self._lock:
            self._ready = ready

    def choose(self) -> DaemonProcess | None:
        """Returns the next ready entry process in turn, or None."""
        with self._lock:
            if not self._ready:
                return None
            self._turn += 1
            return self._ready[self._turn % len(self._ready)]


def _is_ready(entry: DaemonProcess) -> bool:
    host, port = entry.http.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=POLL_SECONDS * 2)
    with contextlib.suppress(OSError, http.client.HTTPException), contextlib.closing(connection):
        connection.request("GET", "/readyz")
        return connection.getresponse().status == 200
    return False


def submit(*, entry: DaemonProcess, body: dict[str, Any], tag: str, record: RunRecord) -> Request:
    """Sends one request on a connection of its own and records what came of it.

    Args:
        entry: Entry process.
        body: Body with `shards` and a query that has `rows`; the tag is added.
        tag: Unique for this submission.
        record: Where it is recorded.

    Returns:
        The recorded submission.
    """
    clock = SystemClock()
    body = {**body, "query": {**body["query"], "tag": tag}}
    sent_at = clock.now()
    status, answer, error = _exchange(entry, body)
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
        body=answer,
        error=error,
    )
    record.add_request(request)
    return request


def _exchange(entry: DaemonProcess, body: dict[str, Any]) -> tuple[int, dict[str, Any], str]:
    host, port = entry.http.split(":")
    seconds = body["deadline_ms"] / 1000 + _ANSWER_MARGIN_SECONDS
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
    """Callers of all three ranks that send until the context ends."""

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
        """Prepares the callers.

        Args:
            balancer: Chooses the entry process of each request.
            record: Where requests are recorded.
            body: Body that each request starts from.
            shards: Shards of the fleet.
            seed: Seed of the requests.
            callers: Number of callers; each has one request in progress.
            pause_seconds: Pause of a caller between two requests.
        """
        self._balancer = balancer
        self._record = record
        self._body = body
        self._shards = list(shards)
        self._seed = seed
        self._callers = callers
        self._pause = pause_seconds
        self._stopped = threading.Event()

    @contextlib.contextmanager
    def running(self) -> Iterator[None]:
        """Sends requests until the context ends, then waits for those in progress."""
        threads = [threading.Thread(target=self._watch_readiness)]
        threads += [
            threading.Thread(target=self._call, args=(number,)) for number in range(self._callers)
        ]
        for thread in threads:
            thread.start()
        try:
            yield
        finally:
            self._stopped.set()
            for thread in threads:
                thread.join()

    def _watch_readiness(self) -> None:
        while not self._stopped.is_set():
            self._balancer.poll()
            self._stopped.wait(POLL_SECONDS)

    def _call(self, number: int) -> None:
        generator = random.Random(f"{self._seed}/{number}")
        count = 0
        while not self._stopped.is_set():
            count += 1
            self._send(f"{self._seed}-{number}-{count}", RANKS[number % len(RANKS)], generator)
            self._stopped.wait(self._pause * generator.uniform(0.5, 1.5))

    def _send(self, request_id: str, rank: str, generator: random.Random) -> None:
        idempotent = generator.random() < 0.6
        count = generator.randint(1, len(self._shards)) if idempotent else 1
        query: dict[str, Any] = {"rows": generator.randint(1, 7)}
        if not idempotent:
            query["write"] = request_id
        body = {
            **self._body,
            "request_id": request_id,
            "rank": rank,
            "idempotent": idempotent,
            "shards": generator.sample(self._shards, count),
            "query": query,
        }
        for attempt in range(_MOST_TRIES):
            entry = self._balancer.choose()
            if entry is not None:
                tag = f"{request_id}/{attempt}"
                request = submit(entry=entry, body=body, tag=tag, record=self._record)
                if request.error != "refused" and request.problem != "refused-not-run":
                    return
            if self._stopped.is_set():
                return
            time.sleep(_RETRY_SECONDS)
