"""ASGI application that serves the HTTP interface for callers."""

from typing import Any

import anyio
import msgspec

from filbertreach.entry._daemon import EntryProcess, QueryOutcome
from filbertreach.entry._gather import GatherResult
from filbertreach.entry._metrics import COVERAGE, IN_TARGET, LACKING, QUERY_SECONDS
from filbertreach.entry._problems import Problem, ProblemError
from filbertreach.entry._request import Query, check_query, parse_body, parse_headers
from filbertreach.observability import (
    ClientDisconnectedError,
    Receive,
    RequestTooLargeError,
    Scope,
    Send,
    Span,
    get_logger,
    read_request_body,
)

PROBLEM_TYPE_PREFIX = "https://filbertreach.invalid/problems/"
"""Prefix of problem types; its host name is reserved (RFC 6761) and never resolves."""
_EMPTY_COVERAGE = {"included": [], "lacking": [], "complete": False}
_ENCODER = msgspec.json.Encoder()
_LOGGER = get_logger(__name__)


class QueryApplication:
    """Serves `POST /v1/query`."""

    def __init__(self, *, process: EntryProcess) -> None:
        """Creates the application.

        Args:
            process: Entry process that runs the queries.
        """
        self._process = process

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serves one request; see the ASGI specification."""
        outcome = QueryOutcome(started_at=self._process.clock.now())
        query: Query | None = None
        try:
            if scope["path"] != "/v1/query":
                raise ProblemError("bad-request", "there is only POST /v1/query", status=404)
            if scope["method"] != "POST":
                raise ProblemError("bad-request", "use POST", status=405)
            query = await self._read_query(scope, receive, outcome)
            result = await self._run(query, outcome, receive)
            status, body = 200, self._answer(query, result, outcome)
            headers = [(b"content-type", b"application/json")]
        except ClientDisconnectedError:
            return
        except ProblemError as error:
            status, headers, body = self._problem(error.problem, outcome)
        self._record_metrics(query, outcome, status)
        headers.append((b"content-length", str(len(body)).encode()))
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body})

    async def _read_query(self, scope: Scope, receive: Receive, outcome: QueryOutcome) -> Query:
        headers = parse_headers(scope["headers"])
        content = await self._read_body(receive)
        body = parse_body(content)
        outcome.request_id = body["request_id"]
        view = self._process.view
        environment = view.environment_by_name.get(body["environment"])
        if not view.environment_by_name:
            # The process has just started, and does not know yet whether the environment exists.
            raise ProblemError(
                "refused-not-run", "this process has no document yet", retry_after_seconds=1.0
            )
        if environment is None:
            known = ", ".join(sorted(view.environment_by_name))
            detail = f"no environment {body['environment']}; known: {known}"
            raise ProblemError("unknown-environment", detail)
        query = check_query(
            body=body,
            headers=headers,
            environment=environment,
            max_deadline_ms=self._process.settings["entry"]["max_deadline_ms"],
        )
        if not view.usable(environment.name):
            raise ProblemError(
                "refused-not-run",
                "this host can't learn whether a newer document was accepted",
                retry_after_seconds=1.0,
            )
        return query

    async def _read_body(self, receive: Receive) -> bytes:
        limit = self._process.settings["entry"]["max_body_bytes"]
        try:
            return await read_request_body(receive, max_bytes=limit)
        except RequestTooLargeError:
            detail = f"the body is over {limit} bytes"
            raise ProblemError("bad-request", detail, status=413) from None

    async def _run(self, query: Query, outcome: QueryOutcome, receive: Receive) -> GatherResult:
        """Runs the query; cancels it if the caller disconnects."""
        result: GatherResult | None = None
        problem: ProblemError | None = None
        span = self._process.tracing.start(
            "entry",
            trace_parent=query.trace_parent,
            request_id=query.request_id,
            environment=query.environment.name,
            rank=query.rank.name,
        )
        with span:
            async with anyio.create_task_group() as group:
                group.start_soon(_cancel_on_disconnect, receive, group.cancel_scope)
                try:
                    result = await self._process.run(query, outcome, span)
                except ProblemError as error:
                    problem = error
                group.cancel_scope.cancel()
            self._log(query, outcome, span, result, problem)
        if problem is not None:
            raise problem
        if result is None:
            raise ClientDisconnectedError
        return self._check_result(query, result)

    def _check_result(self, query: Query, result: GatherResult) -> GatherResult:
        """Returns the result if it may be sent as an answer.

        Raises:
            ProblemError: A problem document must be sent instead.
        """
        lacking = result.coverage["lacking"]
        if not lacking:
            return result
        if result.not_run:
            raise ProblemError(
                "refused-not-run",
                "every part was refused before it started: "
                + ", ".join(sorted({item["reason"] for item in lacking})),
                retry_after_seconds=max(0.1, result.retry_after_seconds),
            )
        if not query.idempotent:
            raise ProblemError(
                "outcome-unknown",
                "a part of the request may have run; look the result up before sending it again "
                "with a new request id",
            )
        if result.included < query.environment.policy.least_coverage * _shard_count(result):
            raise ProblemError(
                "deadline-passed",
                f"only {result.included} of {_shard_count(result)} shards answered in time",
            )
        return result

    def _answer(self, query: Query, result: GatherResult, outcome: QueryOutcome) -> bytes:
        body: dict[str, Any] = {
            "request_id": query.request_id,
            "snapshot_version": outcome.snapshot_version,
            "rows": result.rows,
            "coverage": result.coverage,
            "took_ms": self._elapsed_ms(outcome),
        }
        return _ENCODER.encode(body)

    def _problem(
        self, problem: Problem, outcome: QueryOutcome
    ) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
        result = outcome.result
        body: dict[str, Any] = {
            "type": PROBLEM_TYPE_PREFIX + problem.type,
            "title": problem.title,
            "status": problem.status,
            "detail": problem.detail,
            "request_id": outcome.request_id,
            "snapshot_version": outcome.snapshot_version,
            "coverage": result.coverage if result else _EMPTY_COVERAGE,
            "took_ms": self._elapsed_ms(outcome),
        }
        headers = [(b"content-type", b"application/problem+json")]
        if problem.type == "refused-not-run":
            # RFC 9110, 10.2.3: Retry-After is a whole number of seconds.
            seconds = max(1, round(problem.retry_after_seconds))
            body["retry_after_ms"] = round(1000 * problem.retry_after_seconds)
            headers.append((b"retry-after", str(seconds).encode()))
        return problem.status, headers, _ENCODER.encode(body)

    def _elapsed_ms(self, outcome: QueryOutcome) -> float:
        return round(1000.0 * (self._process.clock.now() - outcome.started_at), 3)

    def _record_metrics(self, query: Query | None, outcome: QueryOutcome, status: int) -> None:
        if query is None:
            return
        environment, rank = query.environment.name, query.rank.name
        seconds = self._process.clock.now() - outcome.started_at
        QUERY_SECONDS.labels(environment, rank, str(status)).observe(seconds)
        if status == 200 and seconds * 1000.0 <= query.rank.target_ms:
            IN_TARGET.labels(environment, rank).inc()
        if outcome.result is not None:
            coverage = outcome.result.coverage
            COVERAGE.labels(environment, rank).observe(
                outcome.result.included / _shard_count(outcome.result)
            )
            for item in coverage["lacking"]:
                LACKING.labels(environment, item["reason"]).inc()

    def _log(
        self,
        query: Query,
        outcome: QueryOutcome,
        span: Span,
        result: GatherResult | None,
        problem: ProblemError | None,
    ) -> None:
        # Logging each successful query would dominate the log; the metrics cover them.
        log = _LOGGER.debug if problem is None else _LOGGER.info
        log(
            "query",
            request_id=query.request_id,
            trace_id=span.trace_id,
            environment=query.environment.name,
            rank=query.rank.name,
            version=outcome.snapshot_version,
            included=result.included if result else None,
            lacking=len(result.coverage["lacking"]) if result else None,
            problem=problem.problem.type if problem else None,
            took_ms=self._elapsed_ms(outcome),
        )


async def _cancel_on_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


def _shard_count(result: GatherResult) -> int:
    return len(result.coverage["included"]) + len(result.coverage["lacking"])
