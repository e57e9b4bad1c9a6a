"""Records of calls to clients, and the changes that are held until the calls are made."""

import datetime
from collections.abc import Mapping

from typing_extensions import TypedDict

from filbertreach.changes._effects import InvalidChangeError, OperatingConditions, change_effects
from filbertreach.changes._slowdowns import slowed_clients
from filbertreach.document import Change, Environment, digest_change

OVERRIDE = "@override"
"""Stands for the client in the record of an override; no client name contains an @."""


class CallRecord(TypedDict):
    """Record that a client was called about a change, or that an operator overrode the calls."""

    by: str
    """Who made the call."""
    at: str
    """UTC time of the call, as in 2026-12-05T02:00:00Z."""
    digest: str
    """Digest of the announced change; a record with a digest of another change does not count."""


_RecordsByChange = Mapping[str, Mapping[str, CallRecord]]


def held_changes(
    environment: Environment,
    call_records: _RecordsByChange,
    now: datetime.datetime,
    conditions: OperatingConditions | None = None,
) -> dict[str, str]:
    """Returns the changes that are due but must not be in force.

    A change is held while a client that it may slow has not been called, while it would leave a
    service without leaves, and while its subject or target does not match the document. The set of
    clients is computed on each call; a client that joins the set holds the change until that client
    has been called too.

    Args:
        environment: Accepted document.
        call_records: Records by client, by change name, from the keys below `/calls/`.
        now: Current time, UTC.
        conditions: Measured utilisation and lost leaves; by default none are known.

    Returns:
        Reason by change name, for changes between their start and their end.
    """
    held: dict[str, str] = {}
    for change in _changes_due(environment, now):
        reason = _reason_to_hold(environment, change, call_records, conditions)
        if reason:
            held[change.name] = reason
    return held


def active_changes(
    environment: Environment,
    call_records: _RecordsByChange,
    now: datetime.datetime,
    conditions: OperatingConditions | None = None,
) -> list[Change]:
    """Returns the changes that are in force.

    Args:
        environment: Accepted document.
        call_records: Records by client, by change name, from the keys below `/calls/`.
        now: Current time, UTC.
        conditions: Measured utilisation and lost leaves; by default none are known.

    Returns:
        Changes between their start and their end that are not held.
    """
    held = held_changes(environment, call_records, now, conditions)
    return [change for change in _changes_due(environment, now) if change.name not in held]


def clients_to_call(
    environment: Environment,
    change: Change,
    records: Mapping[str, CallRecord],
    conditions: OperatingConditions | None = None,
) -> list[str]:
    """Returns the clients that must be called before a change may be in force.

    Args:
        environment: The document that contains the change.
        change: One of its changes.
        records: Records of this change, by client.
        conditions: Measured utilisation and lost leaves; by default none are known.

    Returns:
        Client names, sorted; empty if an operator overrode the calls for this change.

    Raises:
        InvalidChangeError: The subject or the target does not match the document.
    """
    if was_overridden(change, records):
        return []
    digest = digest_change(change)
    return [
        client
        for client in slowed_clients(environment, change, conditions)
        if client not in records or records[client]["digest"] != digest
    ]


def was_overridden(change: Change, records: Mapping[str, CallRecord]) -> bool:
    """Returns whether an operator overrode the calls for this change, as it is written now."""
    return OVERRIDE in records and records[OVERRIDE]["digest"] == digest_change(change)


def _changes_due(environment: Environment, now: datetime.datetime) -> list[Change]:
    changes = environment.changes_by_name.values()
    return [change for change in changes if change.starts <= now < change.ends]


def _reason_to_hold(
    environment: Environment,
    change: Change,
    call_records: _RecordsByChange,
    conditions: OperatingConditions | None,
) -> str:
    records = call_records.get(change.name, {})
    try:
        for effect in change_effects(environment, change, conditions):
            if effect.last_leaf:
                return f"would take the last leaf ({effect.reason})"
        uncalled = clients_to_call(environment, change, records, conditions)
    except InvalidChangeError as error:
        return str(error)
    return f"not called: {', '.join(uncalled)}" if uncalled else ""
