"""Call records, and which changes they hold back."""

import datetime
from collections.abc import Mapping

from typing_extensions import TypedDict

from filbertreach.changes._effects import InvalidChangeError, OperatingConditions, change_effects
from filbertreach.changes._slowdowns import slowed_clients
from filbertreach.document import Change, Environment, digest_change

OVERRIDE = "@override"
"""Takes the place of the client in the record of an override; no client name has an @."""


class CallRecord(TypedDict):
    """A client was told of a change, or an operator decided to go ahead without."""

    by: str
    """Who called."""
    at: str
    """When, UTC, as in 2026-12-05T02:00:00Z."""
    digest: str
    """Digest of the change that was announced; a record of another digest does not count."""


_Records = Mapping[str, Mapping[str, CallRecord]]


def held_changes(
    environment: Environment,
    call_records: _Records,
    now: datetime.datetime,
    conditions: OperatingConditions | None = None,
) -> dict[str, str]:
    """Finds the changes that are due but must not be in force.

    A change is held while a client that it may slow was not called, while it would take the last
    leaf of a service, and while its subject fits nothing in the document. The set of clients is
    worked out anew each time; a client that joins it holds the change until it is called too.

    Args:
        environment: Accepted document.
        call_records: Record by client, by change name, from the keys below `/calls/`.
        now: Present time, UTC.
        conditions: Measured utilisation and lost leaves; nothing is known by default.

    Returns:
        Reason by change name, for changes between their start and their end.
    """
    held: dict[str, str] = {}
    for change in _due(environment, now):
        reason = _reason_to_hold(environment, change, call_records, conditions)
        if reason:
            held[change.name] = reason
    return held


def active_changes(
    environment: Environment,
    call_records: _Records,
    now: datetime.datetime,
    conditions: OperatingConditions | None = None,
) -> list[Change]:
    """Finds the changes that are in force.

    Args:
        environment: Accepted document.
        call_records: Record by client, by change name, from the keys below `/calls/`.
        now: Present time, UTC.
        conditions: Measured utilisation and lost leaves; nothing is known by default.

    Returns:
        Changes between their start and their end that are not held.
    """
    held = held_changes(environment, call_records, now, conditions)
    return [change for change in _due(environment, now) if change.name not in held]


def clients_to_call(
    environment: Environment,
    change: Change,
    records: Mapping[str, CallRecord],
    conditions: OperatingConditions | None = None,
) -> list[str]:
    """Finds the clients that must be called before a change starts.

    Args:
        environment: The document that holds the change.
        change: One of its changes.
        records: Record by client of this change.
        conditions: Measured utilisation and lost leaves; nothing is known by default.

    Returns:
        Client names in order; empty if an operator overrode the calls of this very change.

    Raises:
        InvalidChangeError: The subject or the target fits nothing in the document.
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
    """Returns whether an operator decided to go ahead with this very change without calls."""
    return OVERRIDE in records and records[OVERRIDE]["digest"] == digest_change(change)


def _due(environment: Environment, now: datetime.datetime) -> list[Change]:
    changes = environment.changes_by_name.values()
    return [change for change in changes if change.starts <= now < change.ends]


def _reason_to_hold(
    environment: Environment,
    change: Change,
    call_records: _Records,
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
