"""Determines the clients that a change may slow."""

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
    """A client that a change may slow, and the cause."""

    client: str
    """Client name."""
    contact: str
    """Contact to call."""
    ratio: float
    """Largest p99 ratio of the effects on the client; infinity if the load exceeds the capacity."""
    reason: str
    """Cause of the largest ratio, with figures."""
    applications: tuple[str, ...]
    """Applications that may make affected queries for the client."""


def slowed_clients(
    environment: Environment, change: Change, conditions: OperatingConditions | None = None
) -> dict[str, Slowdown]:
    """Returns the clients that a change may slow.

    A client counts as slowed if an application may make queries for it that the change affects, and
    the p99 ratio is above `slowdown_bound` of the policy.

    Args:
        environment: The document that contains the change.
        change: One of its changes.
        conditions: Measured utilisation and lost leaves; by default none are known.

    Returns:
        Slowdown by client name, sorted by name.

    Raises:
        InvalidChangeError: The subject or the target does not match the document.
    """
    effects = [
        effect
        for effect in change_effects(environment, change, conditions)
        if effect.ratio > environment.policy.slowdown_bound
    ]
    slowdown_by_client: dict[str, Slowdown] = {}
    for name in sorted(environment.clients_by_name):
        slowdown = _slowdown_of(environment, name, effects)
        if slowdown is not None:
            slowdown_by_client[name] = slowdown
    return slowdown_by_client


def check_changes(environment: Environment, now: datetime.datetime) -> dict[str, str]:
    """Returns the changes that can't be carried out as written; ended changes are ignored.

    Args:
        environment: A parsed document.
        now: Current time, UTC.

    Returns:
        Description of the problem, by change name.
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
            if not _affects(effect, application):
                continue
            applications.add(application.name)
            if worst is None or effect.ratio > worst.ratio:
                worst = effect
    if worst is None:
        return None
    contact = environment.clients_by_name[client].contact
    return Slowdown(client, contact, worst.ratio, worst.reason, tuple(sorted(applications)))


def _affects(effect: Effect, application: Application) -> bool:
    if effect.ranks and not effect.ranks.intersection(application.ranks):
        return False
    if not effect.shards:
        return bool(effect.ranks)
    return any(application.may_query_shard(shard) for shard in effect.shards)
