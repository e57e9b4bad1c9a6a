"""Checks a record against the guarantees of the gateway, with one function for each."""

import collections
from collections.abc import Callable, Iterator

from filbertreach_standins.gateways._record import Request, RunRecord

STABLE_SECONDS = 6.0
"""Time without a fault after which the bounds hold for a gateway."""
WINDOW_SECONDS = 10.0
"""Window of the retry budget."""
RETRY_RATIO = 0.2
"""Retries and hedges that a service may get for each request."""
LIMIT_WINDOW_SECONDS = 4.0
"""Window in which the requests to a leaf with a request limit are counted."""
LIMIT_TOLERANCE = 1.5
"""Multiple of its limit that a leaf may get, as gateways do not coordinate their requests."""
LIMIT_SLACK = 5
"""Requests that it may get in a window in addition."""
LIMIT_LEARN_SECONDS = 0.5
"""Time from an answer that names a limit until the gateway must apply it."""
LEAF_FAULT = "leaf fails"
"""Kind of fault in which one leaf fails."""
LEAF_LINK_FAULT = "connections to a leaf fail"
"""Kind of fault in which connections to one leaf fail."""
ALL_LEAVES_FAULT = "all leaves fail a share"
"""Kind of fault in which every leaf fails a share of its requests."""
_LEAF_FAULTS = frozenset({LEAF_FAULT, LEAF_LINK_FAULT, ALL_LEAVES_FAULT})
_RECORD_BYTES = 16

Check = Callable[[RunRecord], Iterator[str]]
checks_by_guarantee: dict[str, Check] = {}
"""Checks by the name of their guarantee, in the order of definition; see `guarantee`."""


def guarantee(name: str) -> Callable[[Check], Check]:
    """Returns a decorator that registers a check under the name of its guarantee.

    Args:
        name: Name of the guarantee.
    """

    def register(check: Check) -> Check:
        checks_by_guarantee[name] = check
        return check

    return register


def guarantees() -> tuple[str, ...]:
    """Returns the names of the guarantees that are checked."""
    return tuple(checks_by_guarantee)


def violations(record: RunRecord) -> list[str]:
    """Checks every guarantee.

    Args:
        record: Record of one run.

    Returns:
        One line for each violation, which begins with the name of the guarantee.
    """
    return [
        f"{name}: {text}" for name, check in checks_by_guarantee.items() for text in check(record)
    ]


def is_stable(record: RunRecord, gateway: str, started_at: float, ended_at: float) -> bool:
    """Returns whether the bounds hold for a gateway during an interval.

    They hold if no fault affected the gateway during the interval or in the `STABLE_SECONDS` before
    it. Faults of leaves do not suspend them: the bounds concern only the gateways and the store.

    Args:
        record: Record of the run.
        gateway: Name of the gateway.
        started_at: Begin of the interval, in seconds.
        ended_at: End of the interval, in seconds.
    """
    return not any(
        fault.kind not in _LEAF_FAULTS
        and fault.gateway in ("", gateway)
        and fault.started_at < ended_at
        and fault.ended_at > started_at - STABLE_SECONDS
        for fault in record.fault_intervals
    )


@guarantee("mixed")
def responses_match_leaf_answers(record: RunRecord) -> Iterator[str]:
    """Yields successful responses that are not made of valid leaf answers to the same request."""
    for request in record.requests:
        if request.status != 200:
            continue
        reason = _mismatch(record, request)
        if reason:
            yield f"{request.request_id} of {request.gateway}: {reason}: {request.stamps}"


def _mismatch(record: RunRecord, request: Request) -> str:
    """Returns why a response does not match the answers of its leaves, or an empty string."""
    leaves = []
    for stamp in request.stamps:
        leaf, request_id, _, status = stamp.split(".")
        if request_id != request.request_id or status != "200":
            return "a part is not a successful answer to this request"
        leaves.append(leaf)
    if not leaves:
        return "no signature"
    if not request.idempotent:
        is_whole = len(leaves) == 1 and request.body == record.records_by_leaf[leaves[0]]
        return "" if is_whole else "the body differs from the answer of the leaf"
    if len({record.shard_by_leaf[leaf] for leaf in leaves}) != len(leaves):
        return "two parts of the same shard"
    if len(leaves) + request.missing != record.shards:
        return f"{len(leaves)} parts and {request.missing} missing of {record.shards} shards"
    if len(leaves) < record.floor * record.shards:
        return "fewer parts than the floor allows"
    return (
        "" if request.body == merged(record, leaves) else "the body is not the merge of the parts"
    )


def merged(record: RunRecord, leaves: list[str]) -> bytes:
    """Returns the expected body of a response that was gathered from some leaves.

    Args:
        record: Record with the records of each leaf.
        leaves: Leaf ids.
    """
    body = b"".join(record.records_by_leaf[leaf] for leaf in leaves)
    records = [body[i : i + _RECORD_BYTES] for i in range(0, len(body), _RECORD_BYTES)]
    return b"".join(sorted(records, reverse=True)[: record.top_k])


@guarantee("twice")
def non_idempotent_requests_run_once(record: RunRecord) -> Iterator[str]:
    """Yields non-idempotent requests that were executed more than once."""
    counts = collections.Counter(execution.id for execution in record.executions)
    for request in record.requests:
        if not request.idempotent and counts[request.request_id] > 1:
            yield (
                f"{request.request_id} of {request.gateway} was executed "
                f"{counts[request.request_id]} times"
            )


@guarantee("refused")
def refused_requests_are_not_executed(record: RunRecord) -> Iterator[str]:
    """Yields non-idempotent requests that were refused but executed."""
    executed = {execution.id for execution in record.executions}
    for request in record.requests:
        if (
            not request.idempotent
            and request.status in (408, 421, 429, 503)
            and request.request_id in executed
        ):
            yield (
                f"{request.request_id} of {request.gateway} was answered {request.status} "
                "but executed"
            )


@guarantee("unasked")
def leaves_get_only_sent_requests(record: RunRecord) -> Iterator[str]:
    """Yields executions of requests that no caller sent."""
    sent = {request.request_id for request in record.requests}
    for execution in record.executions:
        if execution.id not in sent:
            yield f"{execution.leaf} executed {execution.id!r}, which no caller sent"


@guarantee("configuration")
def new_routes_take_effect_in_time(record: RunRecord) -> Iterator[str]:
    """Yields requests to a route that a stable gateway did not know after the bound."""
    added_at_by_path = {route.path: route.added_at for route in record.routes}
    for request in record.requests:
        age_seconds = request.sent_at - added_at_by_path.get(request.path, float("inf"))
        if request.status != 404 or age_seconds <= record.bound_seconds:
            continue
        if is_stable(record, request.gateway, request.sent_at, request.ended_at):
            yield (
                f"{request.gateway} did not know {request.path} {age_seconds:.1f} s after it was "
                "added"
            )


@guarantee("never back")
def configuration_does_not_revert(record: RunRecord) -> Iterator[str]:
    """Yields requests to a route that the same process had served before and no longer knows."""
    served_at: dict[tuple[str, int, str], float] = {}
    for request in sorted(record.requests, key=lambda request: request.ended_at):
        key = (request.gateway, request.incarnation, request.path)
        if request.status == 200:
            served_at.setdefault(key, request.ended_at)
        elif request.status == 404 and request.sent_at > served_at.get(key, float("inf")):
            yield f"{request.gateway} no longer knows {request.path}, which it served before"


@guarantee("drain")
def draining_leaves_get_no_requests(record: RunRecord) -> Iterator[str]:
    """Yields requests of stable gateways that reached a draining leaf after the bound."""
    request_by_id = {request.request_id: request for request in record.requests}
    for drain in record.leaf_drains:
        for execution in record.executions:
            request = request_by_id.get(execution.id)
            is_late = drain.started_at + record.bound_seconds < execution.at < drain.ended_at
            if execution.leaf != drain.leaf or not is_late or request is None:
                continue
            if is_stable(record, request.gateway, request.sent_at, execution.at):
                yield (
                    f"{request.gateway} sent {request.request_id} to {execution.leaf}, which has "
                    f"been draining since {drain.started_at}"
                )


@guarantee("request limit")
def limited_leaves_get_what_they_take(record: RunRecord) -> Iterator[str]:
    """Yields leaves that got more than their limit from stable gateways that knew it."""
    request_by_id = {request.request_id: request for request in record.requests}
    for limit in record.leaf_limits:
        allowed = LIMIT_TOLERANCE * LIMIT_WINDOW_SECONDS * limit.per_second + LIMIT_SLACK
        learned_at: dict[tuple[str, int], float] = {}
        counted: list[float] = []
        for execution in sorted(record.executions, key=lambda execution: execution.at):
            request = request_by_id.get(execution.id)
            during = limit.started_at < execution.at < limit.ended_at
            if execution.leaf != limit.leaf or not during or request is None:
                continue
            process = (request.gateway, request.incarnation)
            # The answer reaches the gateway before the request of its caller ends.
            learned = learned_at.setdefault(process, request.ended_at) + LIMIT_LEARN_SECONDS
            checked_from = max(learned, limit.started_at + STABLE_SECONDS)
            if execution.at > checked_from and is_stable(
                record, request.gateway, request.sent_at, execution.at
            ):
                counted.append(execution.at)
        for end in counted:
            count = sum(end - LIMIT_WINDOW_SECONDS < at <= end for at in counted)
            if count > allowed:
                yield (
                    f"{limit.leaf} got {count} requests in 4 s, but its limit of "
                    f"{limit.per_second} per second allows {allowed:.0f}"
                )
                break


@guarantee("planned stops")
def planned_stops_interrupt_no_request(record: RunRecord) -> Iterator[str]:
    """Yields planned stops that failed, and executed requests that were interrupted by one."""
    executed = {execution.id for execution in record.executions}
    for stop in record.stops:
        if stop.exit_code != 0:
            yield f"{stop.gateway} stopped with exit code {stop.exit_code}"
        for request in record.requests:
            if (request.gateway, request.incarnation) != (stop.gateway, stop.incarnation):
                continue
            if (
                request.status
                or request.request_id not in executed
                or request.ended_at < stop.requested_at
            ):
                continue
            other_faults = [fault for fault in record.fault_intervals if fault.kind != "stop"]
            is_affected = any(
                fault.gateway in ("", stop.gateway)
                and fault.started_at < request.ended_at
                and fault.ended_at > request.sent_at - STABLE_SECONDS
                for fault in other_faults
            )
            if not is_affected:
                yield (
                    f"{request.request_id} was interrupted by the stop of {stop.gateway}: "
                    f"{request.error}"
                )


@guarantee("own ends")
def no_process_exits_unexpectedly(record: RunRecord) -> Iterator[str]:
    """Yields gateway processes that exited without a signal."""
    yield from record.unexpected_exits


@guarantee("budget")
def extra_calls_stay_within_budget(record: RunRecord) -> Iterator[str]:
    """Yields services that got more retries and hedges in a window than the budget allows."""
    for shard in sorted(set(record.shard_by_leaf.values())):
        executions = sorted(
            (execution.at, execution.id)
            for execution in record.executions
            if record.shard_by_leaf[execution.leaf] == shard
        )
        executed: set[str] = set()
        extra_calls: list[float] = []
        first_calls: list[float] = []
        for at, request_id in executions:
            (extra_calls if request_id in executed else first_calls).append(at)
            executed.add(request_id)
        for end in extra_calls:
            extra = sum(end - WINDOW_SECONDS < at <= end for at in extra_calls)
            allowed = record.slack + RETRY_RATIO * max(
                sum(start < at <= start + WINDOW_SECONDS for at in first_calls)
                for start in (end - WINDOW_SECONDS, end - 1.5 * WINDOW_SECONDS, end - 20.0)
            )
            if extra > allowed:
                yield (
                    f"{shard} got {extra} retries and hedges in 10 s, but the budget allows "
                    f"{allowed:.0f}"
                )
                break


@guarantee("recovery")
def requests_succeed_after_recovery(record: RunRecord) -> Iterator[str]:
    """Yields a line if over 2% of the requests failed after recovery, or if there were none."""
    after = [
        request
        for request in record.requests
        if request.sent_at > record.recovered_by and request.status != request.allowed_refusal
    ]
    failed = [request for request in after if request.status != 200]
    if len(failed) * 50 > len(after):
        examples = ", ".join(
            f"{request.gateway} {request.path} {request.status} {request.error}"
            for request in failed[:3]
        )
        yield f"{len(failed)} of {len(after)} requests failed after the recovery: {examples}"
    if record.recovered_by != float("inf") and not after:
        yield "no request was sent after the recovery"
