"""The clients that a change may slow."""

import datetime
from typing import NamedTuple

from filbertreach.changes._effects import (
    Effect,
    InvalidChangeError,
    OperatingConditions,
    change_effects,
)
from filbertreach.document import Application, Change, Environment


class Slowdown(NamedTuple):
    """A client that a change may slow, and why."""

    client: str
    """Client name."""
    contact: str
    """Whom to call."""
    ratio: float
    """Largest p99 ratio during the change; infinity if the load does not fit."""
    reason: str
    """Cause with figures."""
    applications: tuple[str, ...]
    """Applications that search for the client what the change touches."""


def slowed_clients(
    environment: Environment, change: Change, conditions: OperatingConditions | None = None
) -> dict[str, Slowdown]:
    """Works out which clients a change may slow.

    A client counts as slowed if an application may query on its behalf what the change touches,
    and the p99 ratio is above `slowdown_bound` of the policy.

    Args:
        environment: The document that holds the change.
        change: One of its changes.
        conditions: Measured utilisation and lost leaves; nothing is known by default.

    Returns:
        Slowdown by client name, in name order.

    Raises:
        InvalidChangeError: The subject or the target fits nothing in the document.
    """
    effects = [
        effect
        for effect in change_effects(environment, change, conditions)
        if effect.ratio > environment.policy.slowdown_bound
    ]
    found: dict[str, Slowdown] = {}
    for name in sorted(environment.clients_by_name):
        slowdown = _slowdown_of(environment, name, effects)
        if slowdown is not None:
            found[name] = slowdown
    return found


def check_changes(environment: Environment, now: datetime.datetime) -> dict[str, str]:
    """Finds changes that can't be carried out as written. Changes that have ended are left out.

    Args:
        environment: A parsed document.
        now: Present time, UTC.

    Returns:
        What to correct, by change name.
    """
    problems: dict[str, str] = {}
    for change in environment.changes_by_name.values():
        if change.ends <= now:
            continue
        try:
            last = [e for e in change_effects(environment, change) if e.last_leaf]
        except InvalidChangeError as error:
            problems[change.name] = str(error)
            continue
        if last:
            problems[change.name] = f"would take the last leaf ({last[0].reason})"
    return problems


def _slowdown_of(environment: Environment, client: str, effects: list[Effect]) -> Slowdown | None:
    worst: Effect | None = None
    applications: set[str] = set()
    for application in environment.applications_by_name.values():
        if not application.may_query_for(client):
            continue
        for effect in effects:
            if not _touches(effect, application):
                continue
            applications.add(application.name)
            if worst is None or effect.ratio > worst.ratio:
                worst = effect
    if worst is None:
        return None
    contact = environment.clients_by_name[client].contact
    return Slowdown(client, contact, worst.ratio, worst.reason, tuple(sorted(applications)))


def _touches(effect: Effect, application: Application) -> bool:
    if effect.ranks and not effect.ranks.intersection(application.ranks):
        return False
    if not effect.shards:
        return bool(effect.ranks)
    return any(application.may_query_shard(shard) for shard in effect.shards)
