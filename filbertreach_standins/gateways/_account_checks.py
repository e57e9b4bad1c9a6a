"""Checks of a run with client accounts, evacuations and leaves that limit what they are sent."""

import bisect
from collections.abc import Iterator

from filbertreach_standins.gateways._accounts import (
    COLD_OVERRUN,
    COLD_SLACK,
    NO_ACCOUNT,
    QUOTA_WINDOW_SECONDS,
)
from filbertreach_standins.gateways._checker import (
    ALL_LEAVES_FAULT,
    STABLE_SECONDS,
    guarantee,
    is_stable,
)
from filbertreach_standins.gateways._record import Execution, Refusal, Request, RunRecord

RETRY_LEARN_SECONDS = 0.5
"""Time from a refusal with Retry-After until the gateway must apply it."""
MAX_REQUESTS_IN_HOLD = 2
"""Requests of one gateway that may reach a leaf from then until the end of the time it named."""
_COLD_WINDOW_SECONDS = 1.0
"""Window in which the requests that reach a cold leaf are counted."""
_MIN_REQUESTS_AFTER_RECOVERY = 150
"""Requests of an account after the recovery of which some must be served. The larger quota of a run
had 319 to 380 in four runs, of which 56 to 64 were served. Of the smaller one, 2 to 4 of 75 to 88
were served, too few to tell a fault from chance."""


def _arrivals(record: RunRecord) -> list[tuple[Execution | Refusal, Request | None]]:
    """Returns what arrived at leaves, executed or refused, in order, with the caller's request."""
    request_by_id = {request.request_id: request for request in record.requests}
    arrivals: list[Execution | Refusal] = [*record.executions, *record.refusals]
    arrivals.sort(key=lambda arrival: arrival.at)
    return [(arrival, request_by_id.get(arrival.id)) for arrival in arrivals]


def _most_in_window(times: list[float], seconds: float) -> int:
    """Returns the largest number of times, in order, within any window."""
    return max(
        (number + 1 - bisect.bisect_right(times, at - seconds) for number, at in enumerate(times)),
        default=0,
    )


@guarantee("keys")
def keys_stay_in_the_gateway(record: RunRecord) -> Iterator[str]:
    """Yields keys at leaves or in logs, and requests that ran without a key of an account."""
    for name in record.logs_with_keys:
        yield f"the log of {name} contains a key"
    for arrival, request in _arrivals(record):
        if arrival.has_key:
            yield f"{arrival.leaf} got a key with {arrival.id}"
        if request is not None and request.account == NO_ACCOUNT:
            yield f"{arrival.leaf} got {arrival.id}, which has no key of an account"
    for request in record.requests:
        if request.account == NO_ACCOUNT and request.status not in (0, 401, 404, 503):
            yield f"{request.gateway} answered {request.status} to {request.request_id}, no account"
        elif request.account and request.status == 401:
            yield f"{request.gateway} refused the key of {request.account}"


@guarantee("account")
def leaves_get_the_name_of_the_account(record: RunRecord) -> Iterator[str]:
    """Yields requests with which a leaf got another name than that of the account."""
    for arrival, request in _arrivals(record):
        if request is None or request.account in (None, arrival.account):
            continue
        yield (
            f"{arrival.leaf} got {arrival.id} of {request.account} with the account "
            f"{arrival.account!r}"
        )


@guarantee("quota")
def quotas_hold_in_each_window(record: RunRecord) -> Iterator[str]:
    """Yields accounts of which more requests ran in a window than allowed, whatever the faults.

    Also those that are refused altogether after the recovery, which the check of the recovery does
    not see, as it leaves out refusals for a quota.
    """
    started_at_by_id: dict[str, float] = {}
    for execution in sorted(record.executions, key=lambda execution: execution.at):
        started_at_by_id.setdefault(execution.id, execution.at)
    for account, allowed in sorted(record.allowed_by_account.items()):
        times = sorted(
            started_at_by_id[request.request_id]
            for request in record.requests
            if request.account == account and request.request_id in started_at_by_id
        )
        most = _most_in_window(times, QUOTA_WINDOW_SECONDS)
        if most > allowed:
            yield f"{most} requests of {account} ran in 5 s; its quota allows {allowed:.0f}"
        after = [
            request.status
            for request in record.requests
            if request.account == account and request.sent_at > record.recovered_by
        ]
        if len(after) >= _MIN_REQUESTS_AFTER_RECOVERY and 200 not in after:
            yield f"none of {len(after)} requests of {account} was served after the recovery"
    for request in record.requests:
        if request.status == 429 and request.request_id in started_at_by_id:
            yield f"{request.request_id} was refused for its quota but executed"


@guarantee("evacuation")
def evacuated_data_centres_get_nothing(record: RunRecord) -> Iterator[str]:
    """Yields requests of stable gateways that reached an evacuated data centre after the bound."""
    for evacuation in record.evacuations:
        for arrival, request in _arrivals(record):
            is_late = (
                evacuation.started_at + record.bound_seconds < arrival.at < evacuation.ended_at
            )
            if record.data_centre_by_leaf.get(arrival.leaf) != evacuation.data_centre:
                continue
            if not is_late or request is None:
                continue
            if is_stable(record, request.gateway, request.sent_at, arrival.at):
                yield (
                    f"{request.gateway} sent {arrival.id} to {arrival.leaf} "
                    f"{arrival.at - evacuation.started_at:.2f} s after the evacuation of "
                    f"{evacuation.data_centre}"
                )


@guarantee("cold leaf")
def cold_leaves_get_what_they_take(record: RunRecord) -> Iterator[str]:
    """Yields leaves that got more while they were cold than their limit allows in a second."""
    for phase in record.cold_phases:
        known_by = phase.started_at + record.bound_seconds
        times = [
            arrival.at
            for arrival, request in _arrivals(record)
            if arrival.leaf == phase.leaf
            and known_by < arrival.at < phase.ended_at
            and request is not None
            and is_stable(record, request.gateway, request.sent_at, arrival.at)
        ]
        allowed = phase.per_second * COLD_OVERRUN + COLD_SLACK
        most = _most_in_window(times, _COLD_WINDOW_SECONDS)
        if most > allowed:
            yield (
                f"{phase.leaf} got {most} requests in a second while it was cold; its limit of "
                f"{phase.per_second} per second allows {allowed:.0f}"
            )


@guarantee("leaving leaf")
def leaving_leaves_get_nothing_after_the_bound(record: RunRecord) -> Iterator[str]:
    """Yields requests that reached a leaf after the bound, by a gateway that it told it leaves."""
    for departure in record.departures:
        told_at: dict[tuple[str, int], float] = {}
        for arrival, request in _arrivals(record):
            during = departure.started_at < arrival.at < departure.ended_at
            if arrival.leaf != departure.leaf or not during or request is None:
                continue
            process = (request.gateway, request.incarnation)
            if request.status == 200 and any(
                stamp.startswith(f"{departure.leaf}.") for stamp in request.stamps
            ):
                # The answer of the leaf is part of the response, so the gateway has read it.
                told_at.setdefault(process, request.ended_at)
            bound_at = told_at.get(process, float("inf")) + record.bound_seconds
            if arrival.at > bound_at and is_stable(
                record, request.gateway, request.sent_at, arrival.at
            ):
                yield (
                    f"{request.gateway} sent {arrival.id} to {departure.leaf} "
                    f"{arrival.at - told_at[process]:.2f} s after it had said that it leaves"
                )


@guarantee("retry after")
def refusing_leaves_are_left_alone(record: RunRecord) -> Iterator[str]:
    """Yields gateways that sent too much in the time that a refusal of a leaf names."""
    arrivals = _arrivals(record)
    for refusal in record.refusals:
        begin, end = refusal.at + RETRY_LEARN_SECONDS, refusal.at + refusal.seconds
        process = _process_of(refusal, arrivals)
        if process is None or _may_have_lost_answers(record, process[0], refusal.at, end):
            continue
        late = [
            arrival
            for arrival, request in arrivals
            if arrival.leaf == refusal.leaf
            and begin < arrival.at < end
            and request is not None
            and (request.gateway, request.incarnation) == process
        ]
        if len(late) > MAX_REQUESTS_IN_HOLD:
            yield (
                f"{process[0]} sent {len(late)} requests to {refusal.leaf} in the "
                f"{refusal.seconds} s that it named at {refusal.at:.2f}"
            )


def _process_of(
    refusal: Refusal, arrivals: list[tuple[Execution | Refusal, Request | None]]
) -> tuple[str, int] | None:
    """Returns gateway and incarnation whose request was refused."""
    for arrival, request in arrivals:
        if arrival == refusal and request is not None:
            return request.gateway, request.incarnation
    return None


def _may_have_lost_answers(
    record: RunRecord, gateway: str, started_at: float, ended_at: float
) -> bool:
    """Returns whether a fault may have kept the answers of leaves from a gateway.

    Faults of leaves count, unlike for the other bounds: a leaf that is cut off or does not answer
    tells the gateway nothing.
    """
    return any(
        fault.kind != ALL_LEAVES_FAULT
        and fault.gateway in ("", gateway)
        and fault.started_at < ended_at
        and fault.ended_at > started_at - STABLE_SECONDS
        for fault in record.fault_intervals
    )
