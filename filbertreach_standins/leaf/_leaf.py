"""HTTP interface and behaviour of a simulated leaf."""

import random
from typing import Any

import anyio
import msgspec

from filbertreach.timing import SystemClock
from filbertreach_standins._http import Header, Receive, Send, read_body, send_bytes, send_json
from filbertreach_standins._server import Connection, StandIn
from filbertreach_standins.leaf._answers import (
    CORRUPTION_FAULTS,
    AnswerParts,
    AnswerWriter,
    corrupted_body,
)
from filbertreach_standins.leaf._call import NOT_STARTED, Call, Refusal
from filbertreach_standins.leaf._definition import LeafDefinition
from filbertreach_standins.leaf._faults import LEAF_FAULTS
from filbertreach_standins.leaf._record import Execution, ExecutionRecord
from filbertreach_standins.leaf._reports import Report, ReportHistory
from filbertreach_standins.leaf._slots import Slots

_STATUS_CANCELLED = 499
"""Non-standard HTTP status for a request that its caller cancelled."""
_SAMPLE_INTERVAL_SECONDS = 0.05
"""Interval at which the state is recorded while reports lag."""
_CALLS_PATH = "/v1/calls/"


class Leaf(StandIn):
    """Simulates one leaf: a backend server that holds replicas of shards."""

    def __init__(self, definition: LeafDefinition) -> None:
        """Creates a leaf whose starting phase begins now.

        Args:
            definition: Properties of the leaf.
        """
        super().__init__(
            faults=LEAF_FAULTS,
            generator=random.Random(f"{definition.seed}/{definition.leaf_id}"),
            connection_limit=definition.connections,
        )
        self.definition = definition
        self._clock = SystemClock()
        self._answer_writer = AnswerWriter()
        self._report_history = ReportHistory()
        self._lag_started = anyio.Event()
        self._slots = Slots(slots=definition.slots, queue=definition.queue)
        self._calls_by_id: dict[str, Call] = {}
        self._in_flight = 0
        self._versions: tuple[int, ...] = ()
        self._shards: frozenset[str] = frozenset()
        self._last_answer: AnswerParts | None = None
        self.faults_changed(set())
        self.restart()
        self._clear_counters()

    def _clear_counters(self) -> None:
        self._record = ExecutionRecord()
        self._in_flight_peak = self._in_flight
        self._calls_received = 0
        self._last_received_at: float | None = None
        self._answers_by_status: dict[int, int] = {}

    def restart(self) -> None:
        """Restarts the starting phase and the cold phase after it."""
        self._ready_at = self._clock.now() + self.definition.starting_seconds
        self._warm_at = self._ready_at + self.definition.cold_seconds

    def reset(self) -> None:
        """Clears counters, executions and past reports; calls in progress continue."""
        self._clear_counters()
        self._report_history.clear()
        self.faults_changed(set())

    def faults_will_change(self, names: set[str]) -> None:
        """Starts the history of reports with the state before the lag takes effect."""
        if "report_lag_seconds" in names:
            self._report_history.clear()
            self._record_state()
            self._lag_started.set()

    def faults_changed(self, names: set[str]) -> None:
        """Applies the versions and shards that faults override."""
        versions = self.faults.value("versions")
        shards = self.faults.value("shards")
        self._versions = self.definition.versions if versions is None else versions
        self._shards = frozenset(self.definition.shards if shards is None else shards)

    def counters(self, query: dict[str, str]) -> dict[str, Any]:
        """Returns the counters; `?totals=true` leaves out those by call id and by query."""
        return {
            "leaf_id": self.definition.leaf_id,
            "received": self._calls_received,
            "last_received_at": self._last_received_at,
            "in_flight": self._in_flight,
            "in_flight_peak": self._in_flight_peak,
            "queued": self._slots.queued,
            "answers_by_status": {str(key): n for key, n in self._answers_by_status.items()},
            **self._record.counters(totals_only=query.get("totals") == "true"),
        }

    async def administer(
        self, method: str, path: str, query: dict[str, str], body: Any
    ) -> tuple[int, Any] | None:
        """Answers /admin/executions and /admin/restart."""
        match method, path:
            case "GET", "/admin/executions":
                return 200, [execution._asdict() for execution in self._record.executions]
            case "POST", "/admin/restart":
                for connection in list(self.connections):
                    connection.reset()
                self.restart()
                return 200, {}
        return None

    async def run(self) -> None:
        """Records the state periodically while reports lag."""
        while True:
            while self.faults.value("report_lag_seconds"):
                self._record_state()
                await anyio.sleep(_SAMPLE_INTERVAL_SECONDS)
            self._lag_started = anyio.Event()
            await self._lag_started.wait()

    def _state(self) -> str:
        if self.faults and self.faults.value("draining"):
            return "draining"
        return "ready" if self._clock.now() >= self._ready_at else "starting"

    def _current_report(self) -> Report:
        return Report(
            self._clock.now(), self._state(), self._in_flight, self._slots.queued, self._versions
        )

    def _record_state(self) -> None:
        self._report_history.add(self._current_report(), self.faults.value("report_lag_seconds"))

    def _visible_report(self) -> Report:
        report = self._current_report()
        if not self.faults:
            return report
        value = self.faults.value
        if lag := value("report_lag_seconds"):
            report = self._report_history.lagged_report(report.at, lag) or report
        if value("silently_slow_factor") != 1 or value("stuck_reports_idle"):
            report = report._replace(in_flight=0, queued=0)
        if value("load_says") is not None:
            report = report._replace(**value("load_says"))
        if value("health_says") is not None:
            report = report._replace(state=value("health_says"))
        return report

    def _report_headers(self) -> list[Header]:
        if not self.faults:
            load = b"%d,%d" % (self._in_flight, self._slots.queued)
            return [(b"x-leaf-state", self._state().encode()), (b"x-load", load)]
        report = self._visible_report()
        return [
            (b"x-leaf-state", report.state.encode()),
            (b"x-load", b"%d,%d" % (report.in_flight, report.queued)),
        ]

    async def handle(
        self, connection: Connection, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Answers one request of the leaf protocol."""
        first_request, connection.answered = not connection.answered, True
        method, path = scope["method"], scope["path"]
        if method == "POST" and path == "/v1/search":
            await self._handle_search(connection, first_request, scope, receive, send)
            return
        if first_request:
            await anyio.sleep(self.definition.connect_cost_ms / 1000)
        if method == "DELETE" and path.startswith(_CALLS_PATH):
            await self._handle_cancel(path.removeprefix(_CALLS_PATH), send)
        elif method == "GET":
            await self._send_status(path, receive, send)
        else:
            await send_json(send, 404, {"error": f"{method} {path} does not exist"})

    async def _send_status(self, path: str, receive: Receive, send: Send) -> None:
        report = self._visible_report()
        body: dict[str, Any] | None = None
        match path:
            case "/v1/health":
                body = {"state": report.state}
            case "/v1/load":
                body = {"in_flight": report.in_flight, "queued": report.queued}
                body["slots"] = self.definition.slots
            case "/v1/versions":
                body = {"versions": list(report.versions)}
        if body is None:
            await send_json(send, 404, {"error": f"GET {path} does not exist"})
            return
        match self.faults.value("health_answers"):
            case "500":
                await send_json(send, 500, {"error": "internal error"})
            case "never":
                while (await receive())["type"] != "http.disconnect":
                    pass
            case _:
                await send_json(send, 200, body)

    async def _handle_cancel(self, call_id: str, send: Send) -> None:
        call = self._calls_by_id.get(call_id)
        if call is None:
            await send_json(send, 404, {"error": f"call {call_id!r} is not in progress"})
            return
        started = call.execution is not None
        call.cancel()
        await send_json(send, 200, {"call_id": call_id, "started": started})

    async def _handle_search(
        self,
        connection: Connection,
        first_request: bool,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
    ) -> None:
        body = await read_body(receive)
        if body is None:
            return
        self._calls_received += 1
        self._last_received_at = self._clock.now()
        try:
            call = Call(dict(scope["headers"]), body)
        except (KeyError, ValueError, msgspec.DecodeError) as error:
            await self._refuse(send, Refusal(400, f"the call can't be read: {error!r}"))
            return
        outcome: AnswerParts | Refusal | None
        if self.faults or (first_request and self.definition.connect_cost_ms):
            outcome = await self._run_call(connection, call, first_request)
        else:
            outcome = self._run_without_waiting(call) or await self._run_call(
                connection, call, False
            )
        if isinstance(outcome, Refusal):
            await self._refuse(send, outcome)
        else:
            await self._answer(connection, outcome, send)

    def _run_without_waiting(self, call: Call) -> AnswerParts | Refusal | None:
        """Runs a call without a cancel scope if it need not wait; returns None otherwise.

        Entering a cancel scope costs about as much as the rest of such a call.
        """
        refusal = self._find_refusal(call)
        if refusal is not None:
            return refusal
        if self.service_seconds(call.query) > 0 or not self._slots.try_acquire():
            return None
        self._start_execution(call)
        self._end_execution(call, finished=True)
        return self._answer_parts(call)

    async def _run_call(
        self, connection: Connection, call: Call, first_request: bool
    ) -> AnswerParts | Refusal:
        remaining = call.remaining_seconds
        deadline = float("inf") if remaining is None else anyio.current_time() + remaining
        connection.on_disconnect = call.cancel
        self._calls_by_id[call.call_id] = call
        try:
            with anyio.CancelScope(deadline=deadline) as call.scope:
                if first_request:
                    await anyio.sleep(self.definition.connect_cost_ms / 1000)
                if self.faults.fires("stuck"):
                    await self._wait_until_disconnected(call.scope)
                refusal = self._find_refusal(call)
                if refusal is not None:
                    return refusal
                await self._execute(call)
                return self._answer_parts(call)
        finally:
            connection.on_disconnect = None
            if self._calls_by_id.get(call.call_id) is call:
                del self._calls_by_id[call.call_id]
        headers = () if call.execution is not None else (NOT_STARTED,)
        if call.cancelled:
            return Refusal(_STATUS_CANCELLED, "cancelled", headers)
        return Refusal(504, "deadline passed", headers)

    def _find_refusal(self, call: Call) -> Refusal | None:
        fires = self.faults.fires
        if self.faults:
            if fires("fails_fast"):
                return Refusal(500, "internal error", ())
            if fires("sheds_unmarked"):
                return Refusal(503, "shedding", ())
            if fires("sheds"):
                return Refusal(503, "shedding")
        state = self._state()
        if state != "ready" and self.faults.value("draining") != "announce":
            return Refusal(503, state)
        if self._slots.full:
            return Refusal(503, "shedding")
        if call.version not in self._versions:
            return Refusal(409, f"version {call.version} is not served")
        if call.shard not in self._shards:
            return Refusal(409, f"shard {call.shard!r} is not served")
        if call.remaining_seconds is not None and call.remaining_seconds <= 0:
            # A cancel scope takes effect only at the first await, after the execution is counted.
            return Refusal(504, "deadline passed")
        return None

    async def _wait_until_disconnected(self, scope: anyio.CancelScope) -> None:
        scope.deadline = float("inf")
        self._add_in_flight(1)
        try:
            await anyio.sleep_forever()
        finally:
            self._add_in_flight(-1)

    def _add_in_flight(self, delta: int) -> None:
        self._in_flight += delta
        if self._in_flight > self._in_flight_peak:
            self._in_flight_peak = self._in_flight

    async def _execute(self, call: Call) -> None:
        if not self._slots.try_acquire():
            await self._slots.acquire()
        self._start_execution(call)
        finished = False
        try:
            seconds = self.service_seconds(call.query)
            if seconds > 0:
                await anyio.sleep(seconds)
            finished = True
        finally:
            self._end_execution(call, finished=finished)

    def _start_execution(self, call: Call) -> None:
        self._add_in_flight(1)
        write, tag = call.query.get("write"), call.query.get("tag")
        call.execution = Execution(
            call.call_id, call.shard, call.version, call.rank, write, tag, self._clock.now()
        )
        call.tallies = self._record.start(call.execution)

    def _end_execution(self, call: Call, *, finished: bool) -> None:
        self._add_in_flight(-1)
        self._slots.release()
        for tally in call.tallies:
            if finished:
                tally.finished += 1
            else:
                tally.cancelled += 1

    def _answer_parts(self, call: Call) -> AnswerParts:
        rows = call.query.get("rows", self.definition.rows)
        return AnswerParts(call.call_id, call.shard, call.version, rows)

    def service_seconds(self, query: dict[str, Any]) -> float:
        """Returns the execution time of a call that starts now, in seconds.

        Args:
            query: Query of the call; its `service_ms` overrides that of the leaf.
        """
        seconds: float = query.get("service_ms", self.definition.service_ms) / 1000
        if self.definition.cold_seconds and self._clock.now() < self._warm_at:
            seconds *= self.definition.cold_factor
        if not self.faults:
            return seconds
        value = self.faults.value
        seconds *= value("slow_factor") * value("silently_slow_factor")
        share = value("straggler_share")
        if share and self.generator.random() < share:
            seconds *= value("straggler_factor")
        return seconds

    async def _refuse(self, send: Send, refusal: Refusal) -> None:
        self._count_status(refusal.status)
        headers = [*self._report_headers(), *refusal.headers]
        await send_json(send, refusal.status, {"error": refusal.reason}, headers)

    def _count_status(self, status: int) -> None:
        self._answers_by_status[status] = self._answers_by_status.get(status, 0) + 1

    async def _answer(self, connection: Connection, parts: AnswerParts, send: Send) -> None:
        headers = self._report_headers()
        body = self._answer_writer.body(parts)
        if self.faults:
            if self.faults.fires("reset_after_executing"):
                connection.reset()
                return
            if self.faults.fires("truncated_body"):
                await self._send_truncated(connection, body, headers, send)
                return
            body = self._apply_body_faults(parts, body)
        self._last_answer = parts
        self._count_status(200)
        await send_bytes(send, 200, body, headers)

    def _apply_body_faults(self, parts: AnswerParts, body: bytes) -> bytes:
        for fault in CORRUPTION_FAULTS:
            if self.faults.fires(fault.name):
                return corrupted_body(fault.name, parts)
        if self._last_answer is not None and self.faults.fires("crossed_answer"):
            return self._answer_writer.body(self._last_answer)
        if self.faults.fires("oversized_body"):
            return body.ljust(self.faults.value("oversized_body_bytes"))
        return body

    async def _send_truncated(
        self, connection: Connection, body: bytes, headers: list[Header], send: Send
    ) -> None:
        length = (b"content-length", b"%d" % len(body))
        await send({"type": "http.response.start", "status": 200, "headers": [length, *headers]})
        first_half = body[: len(body) // 2]
        await send({"type": "http.response.body", "body": first_half, "more_body": True})
        connection.close()
