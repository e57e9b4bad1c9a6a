"""Decides which planned changes this process applies and which it holds."""

import datetime
from typing import NamedTuple

from filbertreach.changes import (
    CallRecord,
    active_changes,
    drained_leaves,
    held_changes,
    was_overridden,
)
from filbertreach.dispatch._metrics import CHANGES_HELD, CLIENTS_SLOWED
from filbertreach.document import Change, Environment, digest_change
from filbertreach.observability import get_logger
from filbertreach.schema import CallBoardCopy, HeldChange

_RECORDS_UNKNOWN = "the call records are not known: no agent has told them"

_LOGGER = get_logger(__name__)


class _Decision(NamedTuple):
    """Decision for one environment, with the inputs that it is based on."""

    environment: Environment
    calls: CallBoardCopy | None
    due: tuple[str, ...]
    slowed_count: int
    active: tuple[Change, ...]
    reason_by_change: dict[str, str]


class PlannedChanges:
    """Applies the rules of `filbertreach.changes` to documents, call records and measurements.

    A call record states that an operator has called a client about a change. A client whose
    slowdown was measured counts as affected until the change ends; a change that is held for it
    resumes only after the client was called.
    """

    def __init__(self) -> None:
        """Creates an instance without documents and call records."""
        self._decision_by_environment: dict[str, _Decision] = {}
        self._slowed_clients_by_digest: dict[str, set[str]] = {}
        self._calls: CallBoardCopy | None = None
        self._records_by_environment: dict[str, dict[str, dict[str, CallRecord]]] = {}

    def update_call_records(self, calls: CallBoardCopy | None) -> None:
        """Replaces the call records.

        Args:
            calls: All call records, None if they are not known.
        """
        if calls is self._calls:
            return
        self._calls = calls
        self._records_by_environment = {}
        for copy in calls["records"] if calls else []:
            records_by_change = self._records_by_environment.setdefault(copy["environment"], {})
            records_by_change.setdefault(copy["change"], {})[copy["client"]] = CallRecord(
                by=copy["by"], at=copy["at"], digest=copy["digest"]
            )

    def active(self, environment: Environment, now: datetime.datetime) -> tuple[Change, ...]:
        """Returns the changes that are in force.

        Args:
            environment: Document in force.
            now: Current time, UTC.
        """
        due = tuple(
            change.name
            for change in environment.changes_by_name.values()
            if change.starts <= now < change.ends
        )
        slowed_count = sum(map(len, self._slowed_clients_by_digest.values()))
        known = self._decision_by_environment.get(environment.name)
        if (
            known is None
            or known.environment is not environment
            or known.calls is not self._calls
            or (known.due, known.slowed_count) != (due, slowed_count)
        ):
            decision = self._decide(environment, now)
            known = _Decision(environment, self._calls, due, slowed_count, *decision)
            self._report_transition(self._decision_by_environment.get(environment.name), known)
            self._decision_by_environment[environment.name] = known
        return known.active

    def held(self) -> list[HeldChange]:
        """Returns every held change with its reason, ordered by environment and change."""
        return [
            HeldChange(environment=name, change=change, reason=reason)
            for name, decision in sorted(self._decision_by_environment.items())
            for change, reason in sorted(decision.reason_by_change.items())
        ]

    def record_slowed_clients(
        self, environment: Environment, change: Change, clients: list[str]
    ) -> None:
        """Records the clients that a change in force slows beyond the bound.

        Args:
            environment: Document in force.
            change: The change.
            clients: Slowed clients; those that are not in the document are ignored.
        """
        slowed = self._slowed_clients_by_digest.setdefault(digest_change(change), set())
        for client in clients:
            if client in environment.clients_by_name and client not in slowed:
                slowed.add(client)
                CLIENTS_SLOWED.labels(environment.name, change.name).inc()
                _LOGGER.warning(
                    "client slowed beyond the bound by a planned change",
                    environment=environment.name,
                    change=change.name,
                    client=client,
                    bound=environment.policy.slowdown_bound,
                )

    def _decide(
        self, environment: Environment, now: datetime.datetime
    ) -> tuple[tuple[Change, ...], dict[str, str]]:
        if self._calls is None:
            due = environment.changes_by_name.values()
            return (), {c.name: _RECORDS_UNKNOWN for c in due if c.starts <= now < c.ends}
        records = self._records_by_environment.get(environment.name, {})
        held = held_changes(environment, records, now)
        active: list[Change] = []
        for change in active_changes(environment, records, now):
            uncalled = self._uncalled_slowed_clients(change, records.get(change.name, {}))
            if uncalled:
                held[change.name] = (
                    f"measured to be slowed beyond the bound and not called: {', '.join(uncalled)}"
                )
            else:
                active.append(change)
        return tuple(active), held

    def _uncalled_slowed_clients(self, change: Change, records: dict[str, CallRecord]) -> list[str]:
        if was_overridden(change, records):
            return []
        digest = digest_change(change)
        return sorted(
            client
            for client in self._slowed_clients_by_digest.get(digest, set())
            if client not in records or records[client]["digest"] != digest
        )

    def _report_transition(self, old: _Decision | None, new: _Decision) -> None:
        name = new.environment.name
        held_before = {} if old is None else old.reason_by_change
        active_before = set() if old is None else {change.name for change in old.active}
        active_now = {change.name for change in new.active}
        for change, reason in new.reason_by_change.items():
            CHANGES_HELD.labels(name, change).set(1)
            if held_before.get(change) != reason:
                _LOGGER.warning(
                    "planned change held", environment=name, change=change, reason=reason
                )
        for change in active_now:
            CHANGES_HELD.labels(name, change).set(0)
            if change not in active_before:
                _LOGGER.info("planned change in force", environment=name, change=change)
        for change in (
            (held_before.keys() | active_before) - active_now - new.reason_by_change.keys()
        ):
            CHANGES_HELD.remove(name, change)
            _LOGGER.info("planned change ended", environment=name, change=change)


def drained_leaf_ids(environment: Environment, changes: tuple[Change, ...]) -> frozenset[str]:
    """Returns the ids of the leaves that the changes drain.

    Args:
        environment: Document in force.
        changes: Changes in force.
    """
    return frozenset(leaf for change in changes for leaf in drained_leaves(environment, change))
