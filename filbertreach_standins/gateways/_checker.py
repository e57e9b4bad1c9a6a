"""Checks the promises of a gateway from what callers and leaves saw."""

import collections
from collections.abc import Callable, Iterator

from filbertreach_standins.gateways._record import RunRecord, Seen

STABLE_SECONDS = 6.0
"""Bounds hold for a gateway without a fault for this long."""
WINDOW_SECONDS = 10.0
"""Window in which extra calls are counted."""
RATIO = 0.2
"""Extra calls that a service may get for each request."""
LEAF_FAULT = "leaf fails"
"""Kind of the spans in which a leaf failed."""
LEAF_LINK_FAULT = "connections to a leaf fail"
"""Kind of the spans in which connections to a leaf failed."""
ALL_LEAVES_FAULT = "all leaves fail a share"
"""Kind of the spans in which every leaf failed a part of its requests."""
_LEAF_FAULTS = frozenset({LEAF_FAULT, LEAF_LINK_FAULT, ALL_LEAVES_FAULT})
_RECORD_BYTES = 16

_Promise = Callable[[RunRecord], Iterator[str]]
_PROMISE_BY_NAME: dict[str, _Promise] = {}


def _promise(name: str) -> Callable[[_Promise], _Promise]:
    def register(check: _Promise) -> _Promise:
        _PROMISE_BY_NAME[name] = check
        return check

    return register


def promises() -> tuple[str, ...]:
    """Returns the names of the promises that are checked."""
    return tuple(_PROMISE_BY_NAME)


def violations(record: RunRecord) -> list[str]:
    """Returns every broken promise of a run.

    Args:
        record: What was seen.

    Returns:
        Lines that start with the name of the promise; empty if all were kept.
    """
    return [f"{name}: {text}" for name, check in _PROMISE_BY_NAME.items() for text in check(record)]


def _is_calm(record: RunRecord, gateway: str, began: float, ended: float) -> bool:
    """Returns whether no fault struck the gateway for long enough before the span and in it.

    Faults of leaves are no excuse: bounds concern what gateways and the store do.
    """
    return not any(
        span.kind not in _LEAF_FAULTS
        and span.gateway in ("", gateway)
        and span.began < ended
        and span.ended > began - STABLE_SECONDS
        for span in record.spans
    )


@_promise("mixed")
def answers_are_whole(record: RunRecord) -> Iterator[str]:
    """Yields successes that are not made of good answers to the request."""
    for seen in record.seen:
        if seen.status != 200:
            continue
        reason = _mixed(record, seen)
        if reason:
            yield f"{seen.id} of {seen.gateway}: {reason}: {seen.stamps}"


def _mixed(record: RunRecord, seen: Seen) -> str:
    leaves = []
    for stamp in seen.stamps:
        leaf, request_id, _, status = stamp.split(".")
        if request_id != seen.id or status != "200":
            return "a part is no good answer to this request"
        leaves.append(leaf)
    if not leaves:
        return "no signature"
    if not seen.repeatable:
        whole = len(leaves) == 1 and seen.body == record.records_by_leaf[leaves[0]]
        return "" if whole else "the body is not the leaf's"
    if len({record.shard_by_leaf[leaf] for leaf in leaves}) != len(leaves):
        return "two parts of one shard"
    if len(leaves) + seen.missing != record.shards:
        return f"parts and {seen.missing} missing are not {record.shards}"
    if len(leaves) < record.floor * record.shards:
        return "too few parts"
    return "" if seen.body == merged(record, leaves) else "the body is not the merge of the parts"


def merged(record: RunRecord, leaves: list[str]) -> bytes:
    """Returns the body that an answer of these leaves must have.

    Args:
        record: Knows the records of the leaves.
        leaves: Their ids.
    """
    body = b"".join(record.records_by_leaf[leaf] for leaf in leaves)
    records = [body[i : i + _RECORD_BYTES] for i in range(0, len(body), _RECORD_BYTES)]
    return b"".join(sorted(records, reverse=True)[: record.top])


@_promise("twice")
def unrepeatable_requests_run_once(record: RunRecord) -> Iterator[str]:
    """Yields requests that ran more than once and may not."""
    runs = collections.Counter(run.id for run in record.executions)
    for seen in record.seen:
        if not seen.repeatable and runs[seen.id] > 1:
            yield f"{seen.id} of {seen.gateway} ran {runs[seen.id]} times"


@_promise("refused")
def refusals_are_true(record: RunRecord) -> Iterator[str]:
    """Yields refusals of requests that ran and may not be repeated."""
    ran = {run.id for run in record.executions}
    for seen in record.seen:
        if not seen.repeatable and seen.status in (408, 421, 429, 503) and seen.id in ran:
            yield f"{seen.id} of {seen.gateway} was answered {seen.status} and ran"


@_promise("unasked")
def leaves_get_only_what_callers_sent(record: RunRecord) -> Iterator[str]:
    """Yields requests that a leaf got and no caller sent."""
    sent = {seen.id for seen in record.seen}
    for run in record.executions:
        if run.id not in sent:
            yield f"{run.leaf} ran {run.id!r}, which no caller sent"


@_promise("configuration")
def new_routes_are_in_force_in_time(record: RunRecord) -> Iterator[str]:
    """Yields requests on a route that a calm gateway did not know after the bound."""
    written_at = {route.path: route.at for route in record.routes}
    for seen in record.seen:
        age = seen.sent_at - written_at.get(seen.path, float("inf"))
        if seen.status != 404 or age <= record.bound_seconds:
            continue
        if _is_calm(record, seen.gateway, seen.sent_at, seen.ended_at):
            yield f"{seen.gateway} did not know {seen.path} {age:.1f} s after it was written"


@_promise("never back")
def a_configuration_never_goes_back(record: RunRecord) -> Iterator[str]:
    """Yields requests on a route that the same process knew before."""
    known_at: dict[tuple[str, int, str], float] = {}
    for seen in sorted(record.seen, key=lambda seen: seen.ended_at):
        key = (seen.gateway, seen.incarnation, seen.path)
        if seen.status == 200:
            known_at.setdefault(key, seen.ended_at)
        elif seen.status == 404 and seen.sent_at > known_at.get(key, float("inf")):
            yield f"{seen.gateway} forgot {seen.path}"


@_promise("drain")
def leaving_leaves_get_nothing_new(record: RunRecord) -> Iterator[str]:
    """Yields requests of calm gateways that reached a leaving leaf after the bound."""
    seen_by_id = {seen.id: seen for seen in record.seen}
    for drained in record.drained:
        for run in record.executions:
            seen = seen_by_id.get(run.id)
            late = drained.began + record.bound_seconds < run.at < drained.ended
            if run.leaf != drained.leaf or not late or seen is None:
                continue
            if _is_calm(record, seen.gateway, seen.sent_at, run.at):
                yield f"{seen.gateway} sent {seen.id} to {run.leaf}, leaving since {drained.began}"


@_promise("planned stops")
def planned_stops_cut_nothing(record: RunRecord) -> Iterator[str]:
    """Yields failed stops, and requests that one cut off although they had reached a leaf."""
    ran = {run.id for run in record.executions}
    for stop in record.stops:
        if stop.exit_code != 0:
            yield f"{stop.gateway} ended with exit code {stop.exit_code}"
        for seen in record.seen:
            if (seen.gateway, seen.incarnation) != (stop.gateway, stop.incarnation):
                continue
            if seen.status or seen.id not in ran or seen.ended_at < stop.requested_at:
                continue
            others = [span for span in record.spans if span.kind != "stop"]
            struck = any(
                span.gateway in ("", stop.gateway)
                and span.began < seen.ended_at
                and span.ended > seen.sent_at - STABLE_SECONDS
                for span in others
            )
            if not struck:
                yield f"{seen.id} was cut off by the stop of {stop.gateway}: {seen.error}"


@_promise("own ends")
def no_process_ends_by_itself(record: RunRecord) -> Iterator[str]:
    """Yields processes that ended without a signal."""
    yield from record.own_ends


@_promise("budget")
def extra_calls_stay_within_their_budget(record: RunRecord) -> Iterator[str]:
    """Yields services that got more extra calls in a window than all gateways may add."""
    for shard in sorted(set(record.shard_by_leaf.values())):
        runs = sorted(
            (run.at, run.id) for run in record.executions if record.shard_by_leaf[run.leaf] == shard
        )
        first: set[str] = set()
        extras: list[float] = []
        requests: list[float] = []
        for at, request_id in runs:
            (extras if request_id in first else requests).append(at)
            first.add(request_id)
        for end in extras:
            extra = sum(end - WINDOW_SECONDS < at <= end for at in extras)
            allowed = record.slack + RATIO * max(
                sum(start < at <= start + WINDOW_SECONDS for at in requests)
                for start in (end - WINDOW_SECONDS, end - 1.5 * WINDOW_SECONDS, end - 20.0)
            )
            if extra > allowed:
                yield f"{shard} got {extra} extra calls in 10 s and may get {allowed:.0f}"
                break


@_promise("recovery")
def all_is_served_again(record: RunRecord) -> Iterator[str]:
    """Yields requests that failed although all faults had ended long before."""
    after = [seen for seen in record.seen if seen.sent_at > record.calm_from]
    failed = [seen for seen in after if seen.status != 200]
    if len(failed) * 50 > len(after):
        text = ", ".join(f"{s.gateway} {s.path} {s.status} {s.error}" for s in failed[:3])
        yield f"{len(failed)} of {len(after)} requests failed after the recovery: {text}"
    if record.calm_from != float("inf") and not after:
        yield "no request after the recovery"
