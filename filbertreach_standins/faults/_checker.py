"""Checks a record against the guarantees of docs/design.md, 1.1, with one function for each."""

import collections
from collections.abc import Callable, Iterator

from filbertreach_standins.faults._record import Request, RunRecord

LEAVING_SECONDS = 3.0
"""Bound of guarantee 6."""
IN_FORCE_SECONDS = 17.0
"""Bound of guarantee 8, from docs/design.md, 1.4."""
_LACKING_REASONS = frozenset(
    {
        "deadline",
        "version_unavailable",
        "leaf_failed",
        "overloaded",
        "invalid_response",
        "owner_lost",
    }
)
"""Reasons that an answer may state for a shard that it lacks."""
Check = Callable[[RunRecord], Iterator[str]]
checks_by_guarantee: dict[str, Check] = {}
"""Checks by the name of their guarantee, in the order of definition; see `_guarantee`."""


def _guarantee(name: str) -> Callable[[Check], Check]:
    """Returns a decorator that registers a check under the name of its guarantee."""

    def register(check: Check) -> Check:
        checks_by_guarantee[name] = check
        return check

    return register


def violations(record: RunRecord) -> list[str]:
    """Checks every guarantee.

    Args:
        record: Record of one run.

    Returns:
        One line for each violation, which begins with the name of the guarantee.
    """
    found = [
        f"{name}: {text}" for name, check in checks_by_guarantee.items() for text in check(record)
    ]
    if record.executions_not_recorded:
        found.append(f"record: {record.executions_not_recorded} executions were not recorded")
    return found


def _answered(record: RunRecord) -> Iterator[Request]:
    return (request for request in record.requests if request.status == 200)


@_guarantee("1 one snapshot")
def rows_have_stated_version(record: RunRecord) -> Iterator[str]:
    """Yields answers with rows of a version other than the stated one."""
    for request in _answered(record):
        versions = {row["version"] for row in request.body["rows"]}
        stated = request.body["snapshot_version"]
        if versions - {stated}:
            yield f"{request.tag} states version {stated} but has rows of {sorted(versions)}"


@_guarantee("2 coverage")
def coverage_matches_rows_and_executions(record: RunRecord) -> Iterator[str]:
    """Yields answers whose stated coverage differs from their rows or from the executions."""
    executed = {
        (execution.tag, execution.shard, execution.version) for execution in record.executions
    }
    for request in _answered(record):
        coverage = request.body["coverage"]
        included = coverage["included"]
        lacking = [item["shard"] for item in coverage["lacking"]]
        reasons = {item["reason"] for item in coverage["lacking"]}
        if sorted([*included, *lacking]) != sorted(request.shards):
            yield (
                f"{request.tag} requested {request.shards} but its coverage has {included} "
                f"included and {lacking} lacking"
            )
        if coverage["complete"] != (not lacking):
            yield f"{request.tag} states complete={coverage['complete']} but lacks {lacking}"
        if reasons - _LACKING_REASONS:
            yield f"{request.tag} has unknown reasons {sorted(reasons - _LACKING_REASONS)}"
        with_rows = {row["shard"] for row in request.body["rows"]}
        if with_rows != set(included):
            yield f"{request.tag} includes {included} but has rows of {sorted(with_rows)}"
        version = request.body["snapshot_version"]
        for shard in included:
            if (request.tag, shard, version) not in executed:
                yield f"{request.tag} includes {shard}, which no leaf executed"


@_guarantee("3 own answer")
def answers_match_requests(record: RunRecord) -> Iterator[str]:
    """Yields answers to another request, and answers without exactly the requested rows."""
    for request in _answered(record):
        if request.body["request_id"] != request.request_id:
            yield f"{request.tag} got the answer to {request.body['request_id']}"
        ids = collections.Counter(row["id"] for row in request.body["rows"])
        expected = collections.Counter(
            f"{shard}-{index}"
            for shard in request.body["coverage"]["included"]
            for index in range(request.rows)
        )
        if ids != expected:
            extra, lacking = dict(ids - expected), dict(expected - ids)
            yield f"{request.tag} has unexpected rows: extra {extra}, lacking {lacking}"


@_guarantee("4 not run")
def refused_requests_are_not_executed(record: RunRecord) -> Iterator[str]:
    """Yields requests that were refused as not run but were executed."""
    leaves_by_tag = collections.defaultdict(list)
    for execution in record.executions:
        leaves_by_tag[execution.tag].append(execution.leaf)
    for request in record.requests:
        if request.problem == "refused-not-run" and request.tag in leaves_by_tag:
            yield (
                f"{request.tag} was refused as not run but executed on {leaves_by_tag[request.tag]}"
            )


@_guarantee("5 at most once")
def writes_run_at_most_once(record: RunRecord) -> Iterator[str]:
    """Yields writes that a shard executed more than once."""
    counts = collections.Counter(
        (execution.write, execution.shard)
        for execution in record.executions
        if execution.write is not None
    )
    for (write, shard), count in counts.items():
        if count > 1:
            yield f"write {write} was executed {count} times on {shard}"


@_guarantee("6 leaving leaf")
def leaving_leaves_get_no_calls(record: RunRecord) -> Iterator[str]:
    """Yields leaving leaves that started executions after the bound."""
    for drain in record.leaf_drains:
        bound = drain.reported_at + LEAVING_SECONDS
        delays = [
            execution.started_at - drain.reported_at
            for execution in record.executions
            if execution.leaf == drain.leaf and bound < execution.started_at < drain.ended_at
        ]
        if delays:
            yield (
                f"{drain.leaf}, reported as leaving by {drain.source}, got {len(delays)} calls "
                f"after the bound, the last {max(delays):.1f} s after the report"
            )


@_guarantee("7 graceful shutdown")
def planned_stops_interrupt_no_request(record: RunRecord) -> Iterator[str]:
    """Yields planned stops that failed, and requests that were interrupted by one."""
    for stop in record.stops:
        if stop.exit_code != 0:
            yield f"{stop.process} stopped with exit code {stop.exit_code}"
        for request in record.requests:
            in_progress = request.sent_at < stop.ended_at < request.ended_at + 1.0
            interrupted = request.status == 0 and request.error != "refused"
            if request.entry == stop.process and interrupted and in_progress:
                yield (
                    f"{request.tag} was interrupted by the stop of {stop.process}: {request.error}"
                )
    if record.stops and record.only_planned_stops:
        for request in record.requests:
            lacking = request.body.get("coverage", {}).get("lacking", [])
            owner_lost = any(item["reason"] == "owner_lost" for item in lacking)
            if request.problem == "outcome-unknown" or (request.status == 200 and owner_lost):
                yield f"{request.tag} lost a part because of a planned stop: {request.body}"


@_guarantee("8 configuration")
def generations_advance_in_time(record: RunRecord) -> Iterator[str]:
    """Yields agents whose generation went back or was outdated after the bound."""
    newest_by_process: dict[str, int] = {}
    for sample in record.generation_samples:
        newest = newest_by_process.get(sample.process, 0)
        # A restarted process shows 0 until it has learned the newest generation.
        if 0 < sample.generation < newest:
            yield f"{sample.process} went from generation {newest} back to {sample.generation}"
        newest_by_process[sample.process] = max(newest, sample.generation)
    for accepted in record.accepted_generations:
        bound = accepted.accepted_at + IN_FORCE_SECONDS
        for sample in record.generation_samples:
            if sample.sampled_at > bound and 0 < sample.generation < accepted.generation:
                yield (
                    f"{sample.process} still has generation {sample.generation} "
                    f"{sample.sampled_at - accepted.accepted_at:.1f} s after generation "
                    f"{accepted.generation} was accepted"
                )
