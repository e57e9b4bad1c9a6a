"""HTTP interface of the key-value stand-in."""

import random
from typing import Any, NamedTuple, NotRequired

import anyio
import msgspec
from typing_extensions import TypedDict

from filbertreach.timing import SystemClock
from filbertreach_standins._faults import Fault, Trigger, non_negative_number, one_of
from filbertreach_standins._http import Receive, Send, query_parameters, read_body, send_json
from filbertreach_standins._server import Connection, StandIn
from filbertreach_standins.key_value._calls import READ_KINDS, CallCounter, CallKind, RateLimit
from filbertreach_standins.key_value._store import Change, Item, Store, StoreError

_EXPIRY_CHECK_INTERVAL_SECONDS = 0.02
"""Interval between checks for expired leases; every call checks as well."""
_MAX_WATCH_WAIT_SECONDS = 60.0
"""Longest time that a watch waits for a change."""
_KEYS_PATH = "/v1/keys/"
_LEASES_PATH = "/v1/leases/"
_RENEW_SUFFIX = "/renew"

KEY_VALUE_FAULTS = (
    Fault(
        "outage",
        False,
        one_of(False, True, "hang", "reset"),
        'true: 503 without effect, also for waiting watches; "hang": calls are never answered; '
        '"reset": the connection is reset, without effect',
    ),
    Fault("delay_ms", 0.0, non_negative_number, "time that a call takes before its effect"),
    Fault(
        "answer_delay_ms", 0.0, non_negative_number, "time that an answer takes after the effect"
    ),
    Fault(
        "lose_answers",
        False,
        Trigger,
        "trigger, writes only: the write takes effect, then its connection is reset",
    ),
    Fault(
        "lose_requests",
        False,
        Trigger,
        "trigger, writes only: the write has no effect, and its connection is reset",
    ),
    Fault(
        "stale_reads",
        False,
        one_of(False, True),
        "true: get and list show the items of the moment when the fault was set",
    ),
    Fault(
        "stalled_watches",
        False,
        one_of(False, True, "hang"),
        'true: watches wait their whole time and show nothing; "hang": they are never answered',
    ),
    Fault("lease_expiry_stopped", False, one_of(False, True), "true: leases don't expire"),
    Fault(
        "expire_all_leases", False, one_of(False, True), "true: every lease expires at this moment"
    ),
    Fault(
        "writes_per_second", 300.0, non_negative_number, "limit of writes, also the largest burst"
    ),
    Fault(
        "reads_per_second", 2000.0, non_negative_number, "limit of reads, also the largest burst"
    ),
)
"""Faults in addition to `CONNECTION_FAULTS`."""


class _PutBody(TypedDict):
    value: str
    expected_revision: NotRequired[int | None]
    lease: NotRequired[str | None]


class _LeaseBody(TypedDict):
    ttl_seconds: float


class _Request(NamedTuple):
    """A call to a known method and path."""

    kind: CallKind
    """Kind under which the call is counted."""
    subject: str
    """Key, key prefix or lease id, depending on the kind."""
    query: dict[str, str]
    """Query parameters."""
    body: bytes
    """Request body as JSON text."""


class KeyValueService(StandIn):
    """Serves one in-memory store over HTTP."""

    def __init__(self, *, seed: int = 0) -> None:
        """Creates an empty store.

        Args:
            seed: Seed of faults that affect a share of calls.
        """
        super().__init__(faults=KEY_VALUE_FAULTS, generator=random.Random(seed))
        self._clock = SystemClock()
        self._store = Store()
        self._stale_snapshot: Store | None = None
        self._changed = anyio.Event()
        self._waiting_watches = 0
        self._clear_counters()

    def _clear_counters(self) -> None:
        now = self._clock.now()
        self._calls = CallCounter()
        self._read_limit = RateLimit(now=now)
        self._write_limit = RateLimit(now=now)
        self._waiting_watches_peak = self._waiting_watches

    def reset(self) -> None:
        """Deletes every key and lease and clears the counters; the revision keeps increasing."""
        self._store.clear()
        self._clear_counters()
        self.faults_changed(set())

    def counters(self, query: dict[str, str]) -> dict[str, Any]:
        """Returns call counters and the size of the store."""
        return {
            **self._calls.as_json(),
            "watches_waiting": self._waiting_watches,
            "watches_waiting_peak": self._waiting_watches_peak,
            "keys": len(self._store.items),
            "leases": self._store.lease_count,
            "revision": self._store.revision,
        }

    def faults_changed(self, names: set[str]) -> None:
        """Applies faults that act immediately and wakes waiting watches."""
        value = self.faults.value
        self._store.expiry_stopped = value("lease_expiry_stopped")
        if not value("stale_reads"):
            self._stale_snapshot = None
        elif self._stale_snapshot is None:
            self._stale_snapshot = Store()
            self._stale_snapshot.items = dict(self._store.items)
            self._stale_snapshot.revision = self._store.revision
        if value("expire_all_leases"):
            self._store.expire_all()
            self.faults.update({"expire_all_leases": None})
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _expire_leases(self) -> None:
        if self._store.expire(now=self._clock.now()):
            self._notify()

    async def run(self) -> None:
        """Expires leases periodically."""
        while True:
            await anyio.sleep(_EXPIRY_CHECK_INTERVAL_SECONDS)
            self._expire_leases()

    async def handle(
        self, connection: Connection, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Answers one call."""
        body = await read_body(receive)
        if body is None:
            return
        request = _parse_request(scope["method"], scope["path"], query_parameters(scope), body)
        if request is None:
            message = f"{scope['method']} {scope['path']} does not exist"
            await send_json(send, 404, {"error": message})
            return
        now = self._clock.now()
        self._calls.count(kind=request.kind, now=now)
        with anyio.CancelScope() as call_scope:
            connection.on_disconnect = call_scope.cancel
            await self._answer(connection, request, send)
        connection.on_disconnect = None

    async def _answer(self, connection: Connection, request: _Request, send: Send) -> None:
        try:
            await self._check_available(connection, request)
            if delay := self.faults.value("delay_ms"):
                await anyio.sleep(delay / 1000)
            write = request.kind not in READ_KINDS
            if write and self.faults.fires("lose_requests"):
                connection.reset()
                return
            answer = await self._apply(connection, request)
            if delay := self.faults.value("answer_delay_ms"):
                await anyio.sleep(delay / 1000)
            if write and self.faults.fires("lose_answers"):
                connection.reset()
                return
        except StoreError as error:
            if error.status in (429, 503):
                self._calls.count_refusal(error.status)
            headers = [(b"retry-after", b"1")] if error.status == 429 else []
            await send_json(send, error.status, error.body, headers)
        except (KeyError, ValueError, msgspec.DecodeError) as error:
            await send_json(send, 400, {"error": f"the call can't be read: {error!r}"})
        else:
            await send_json(send, 200, answer)

    async def _check_available(self, connection: Connection, request: _Request) -> None:
        match self.faults.value("outage"):
            case True:
                raise StoreError(503, "outage")
            case "hang":
                await anyio.sleep_forever()
            case "reset":
                connection.reset()
                await anyio.sleep_forever()
        name = "reads_per_second" if request.kind in READ_KINDS else "writes_per_second"
        limit = self._read_limit if request.kind in READ_KINDS else self._write_limit
        per_second = self.faults.value(name)
        if not limit.allow(now=self._clock.now(), per_second=per_second):
            raise StoreError(429, f"more than {per_second:g} {name.replace('_', ' ')}")

    async def _apply(self, connection: Connection, request: _Request) -> Any:
        self._expire_leases()
        if request.kind == "watch":
            return await self._watch(connection, request)
        if request.kind in READ_KINDS:
            return self._read(request)
        answer = self._write(request)
        self._notify()
        return answer

    def _read(self, request: _Request) -> Any:
        store = self._stale_snapshot or self._store
        if request.kind == "list":
            items = [_item_json(item) for item in store.items_with_prefix(request.subject)]
            return {"items": items, "revision": store.revision}
        item = store.items.get(request.subject)
        if item is None:
            message = f"key {request.subject!r} does not exist"
            raise StoreError(404, message, revision=store.revision)
        return _item_json(item)

    def _write(self, request: _Request) -> Any:
        store, subject, now = self._store, request.subject, self._clock.now()
        match request.kind:
            case "put":
                body = msgspec.json.decode(request.body, type=_PutBody)
                revision = store.put(
                    key=subject,
                    value=body["value"],
                    expected_revision=body.get("expected_revision"),
                    lease=body.get("lease"),
                )
                return {"revision": revision}
            case "delete":
                text = request.query.get("expected_revision")
                expected = None if text is None else int(text)
                return {"revision": store.delete(key=subject, expected_revision=expected)}
            case "grant_lease":
                ttl = msgspec.json.decode(request.body, type=_LeaseBody)["ttl_seconds"]
                if ttl <= 0:
                    raise ValueError("ttl_seconds must be more than 0")
                return {"lease": store.grant(ttl_seconds=ttl, now=now)}
            case "renew_lease":
                store.renew(lease=subject, now=now)
            case "revoke_lease":
                store.revoke(lease=subject)
        return {}

    async def _watch(self, connection: Connection, request: _Request) -> Any:
        after = int(request.query["after"])
        wait = min(float(request.query.get("wait_seconds", 0)), _MAX_WATCH_WAIT_SECONDS)
        self._waiting_watches += 1
        self._waiting_watches_peak = max(self._waiting_watches_peak, self._waiting_watches)
        try:
            with anyio.move_on_after(wait) as wait_scope:
                seen = after
                while not (changes := self._visible_changes(request.subject, seen)):
                    if not self.faults.value("stalled_watches"):
                        # Changes up to here are outside the prefix; skip them in the next scan.
                        seen = max(seen, self._store.revision)
                    await self._changed.wait()
                    await self._apply_outage_to_watch(connection, wait_scope)
                events = [change._asdict() for change in changes]
                return {"events": events, "revision": self._store.revision}
        finally:
            self._waiting_watches -= 1
        if self.faults.value("stalled_watches") == "hang":
            await anyio.sleep_forever()
        revision = after if self.faults.value("stalled_watches") else self._store.revision
        return {"events": [], "revision": revision}

    def _visible_changes(self, prefix: str, after: int) -> list[Change]:
        if self.faults.value("stalled_watches"):
            return []
        return self._store.changes(prefix=prefix, after=after)

    async def _apply_outage_to_watch(
        self, connection: Connection, wait_scope: anyio.CancelScope
    ) -> None:
        match self.faults.value("outage"):
            case True:
                raise StoreError(503, "outage")
            case "hang":
                wait_scope.deadline = float("inf")
                await anyio.sleep_forever()
            case "reset":
                connection.reset()


def _item_json(item: Item) -> dict[str, Any]:
    return item._asdict()


def _parse_request(method: str, path: str, query: dict[str, str], body: bytes) -> _Request | None:
    key = path.removeprefix(_KEYS_PATH) if path.startswith(_KEYS_PATH) else ""
    lease = path.removeprefix(_LEASES_PATH) if path.startswith(_LEASES_PATH) else ""
    match method:
        case "GET" if key:
            return _Request("get", key, query, body)
        case "GET" if path == "/v1/keys":
            return _Request("list", query.get("prefix", ""), query, body)
        case "GET" if path == "/v1/watch":
            return _Request("watch", query.get("prefix", ""), query, body)
        case "PUT" if key:
            return _Request("put", key, query, body)
        case "DELETE" if key:
            return _Request("delete", key, query, body)
        case "POST" if path == "/v1/leases":
            return _Request("grant_lease", "", query, body)
        case "POST" if lease.endswith(_RENEW_SUFFIX):
            return _Request("renew_lease", lease.removesuffix(_RENEW_SUFFIX), query, body)
        case "DELETE" if lease:
            return _Request("revoke_lease", lease, query, body)
    return None
