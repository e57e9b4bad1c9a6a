"""Checks a record against the guarantees of docs/design.md, 1.1; one function for each."""

import collections
from collections.abc import Callable, Iterator

from filbertreach_standins.faults._record import Request, RunRecord

LEAVING_SECONDS = 3.0
"""Bound of guarantee 6."""
IN_FORCE_SECONDS = 17.0
"""Bound of guarantee 8, from docs/design.md, 1.4."""
_REASONS = frozenset(
    {
        "deadline",
        "version_unavailable",
        "leaf_failed",
        "overloaded",
        "invalid_response",
        "owner_lost",
    }
)
Check = Callable[[RunRecord], Iterator[str]]
checks_by_guarantee: dict[str, Check] = {}
"""Filled by `_guarantee`."""


def _guarantee(name: str) -> Callable[[Check], Check]:
    def register(check: Check) -> Check:
        checks_by_guarantee[name] = check
        return check

    return register


def violations(record: RunRecord) -> list[str]:
    """Checks every guarantee.

    Args:
        record: What was seen in one run.

    Returns:
        One line for each violation, which begins with the name of the guarantee.
    """
    found = [
        f"{name}: {text}" for name, check in checks_by_guarantee.items() for text in check(record)
    ]
    if record.executions_not_recorded:
        found.append(f"record: {record.executions_not_recorded} executions were not recorded")
    return found


def _answers(record: RunRecord) -> Iterator[Request]:
    return (request for request in record.requests if request.status == 200)


@_guarantee("1 one snapshot")
def one_snapshot(record: RunRecord) -> Iterator[str]:
    """Yields answers with rows of a version other than the stated one."""
    for request in _answers(record):
        versions = {row["version"] for row in request.body["rows"]}
        stated = request.body["snapshot_version"]
        if versions - {stated}:
            yield f"{request.tag} states version {stated} and has rows of {sorted(versions)}"


@_guarantee("2 coverage")
def truthful_coverage(record: RunRecord) -> Iterator[str]:
    """Yields answers whose coverage is not that of their rows or of what leaves executed."""
    executed = {(run.tag, run.shard, run.version) for run in record.executions}
    for request in _answers(record):
        coverage = request.body["coverage"]
        included = coverage["included"]
        lacking = [item["shard"] for item in coverage["lacking"]]
        reasons = {item["reason"] for item in coverage["lacking"]}
        if sorted([*included, *lacking]) != sorted(request.shards):
            yield f"{request.tag} asked {request.shards} and covers {included} without {lacking}"
        if coverage["complete"] != (not lacking):
            yield f"{request.tag} says complete={coverage['complete']} and lacks {lacking}"
        if reasons - _REASONS:
            yield f"{request.tag} has unknown reasons {sorted(reasons - _REASONS)}"
        with_rows = {row["shard"] for row in request.body["rows"]}
        if with_rows != set(included):
            yield f"{request.tag} includes {included} and has rows of {sorted(with_rows)}"
        version = request.body["snapshot_version"]
        for shard in included:
            if (request.tag, shard, version) not in executed:
                yield f"{request.tag} includes {shard}, which no leaf executed"


@_guarantee("3 own answer")
def whole_own_answer(record: RunRecord) -> Iterator[str]:
    """Yields answers that belong to another request or lack rows of an included shard."""
    for request in _answers(record):
        if request.body["request_id"] != request.request_id:
            yield f"{request.tag} got the answer of {request.body['request_id']}"
        ids = collections.Counter(row["id"] for row in request.body["rows"])
        expected = collections.Counter(
            f"{shard}-{index}"
            for shard in request.body["coverage"]["included"]
            for index in range(request.rows)
        )
        if ids != expected:
            extra, lacking = dict(ids - expected), dict(expected - ids)
            yield f"{request.tag} has other rows than asked: extra {extra}, lacking {lacking}"


@_guarantee("4 not run")
def refused_not_run(record: RunRecord) -> Iterator[str]:
    """Yields requests that were refused as not run and were executed."""
    leaves_by_tag = collections.defaultdict(list)
    for run in record.executions:
        leaves_by_tag[run.tag].append(run.leaf)
    for request in record.requests:
        if request.problem == "refused-not-run" and request.tag in leaves_by_tag:
            yield f"{request.tag} was refused as not run and ran on {leaves_by_tag[request.tag]}"


@_guarantee("5 at most once")
def at_most_once(record: RunRecord) -> Iterator[str]:
    """Yields writes that a shard executed more than once."""
    counts = collections.Counter(
        (run.write, run.shard) for run in record.executions if run.write is not None
    )
    for (write, shard), count in counts.items():
        if count > 1:
            yield f"write {write} ran {count} times on {shard}"


@_guarantee("6 leaving leaf")
def leaving_gets_no_work(record: RunRecord) -> Iterator[str]:
    """Yields work that a leaving leaf got after the bound."""
    for leaving in record.leaf_drains:
        bound = leaving.reported_at + LEAVING_SECONDS
        late = [
            run.started_at - leaving.reported_at
            for run in record.executions
            if run.leaf == leaving.leaf and bound < run.started_at < leaving.until
        ]
        if late:
            yield (
                f"{leaving.leaf}, reported by {leaving.source}, got {len(late)} calls after the "
                f"bound, the last {max(late):.1f} s after the report"
            )


@_guarantee("7 graceful shutdown")
def planned_stops_cut_nothing(record: RunRecord) -> Iterator[str]:
    """Yields planned stops that failed, and requests that one of them cut off."""
    for stop in record.stops:
        if stop.exit_code != 0:
            yield f"{stop.process} ended with exit code {stop.exit_code}"
        for request in record.requests:
            sent_while_running = request.sent_at < stop.ended_at < request.ended_at + 1.0
            cut = request.status == 0 and request.error != "refused"
            if request.entry == stop.process and cut and sent_while_running:
                yield f"{request.tag} was cut off by the stop of {stop.process}: {request.error}"
    if record.stops and record.only_planned_stops:
        for request in record.requests:
            lacking = request.body.get("coverage", {}).get("lacking", [])
            lost = any(item["reason"] == "owner_lost" for item in lacking)
            if request.problem == "outcome-unknown" or (request.status == 200 and lost):
                yield f"{request.tag} lost a part to a planned stop: {request.body}"


@_guarantee("8 configuration")
def configuration_holds(record: RunRecord) -> Iterator[str]:
    """Yields generations that reverted or were not in force everywhere in time."""
    newest: dict[str, int] = {}
    for seen in record.generations:
        before = newest.get(seen.process, 0)
        # A started process shows 0 until it has learned the newest generation.
        if 0 < seen.generation < before:
            yield f"{seen.process} went from generation {before} back to {seen.generation}"
        newest[seen.process] = max(before, seen.generation)
    for accepted in record.acceptances:
        bound = accepted.accepted_at + IN_FORCE_SECONDS
        for seen in record.generations:
            if seen.seen_at > bound and 0 < seen.generation < accepted.generation:
                yield (
                    f"{seen.process} still has generation {seen.generation} "
                    f"{seen.seen_at - accepted.accepted_at:.1f} s after {accepted.generation}"
                )
