"""Calls from an entry process to the dispatch processes that own the services."""

import itertools
from collections.abc import Sequence

from filbertreach.document import Environment
from filbertreach.entry._gather import Gather, OutstandingCall
from filbertreach.entry._metrics import OWNER_RESENDS
from filbertreach.entry._problems import ProblemError
from filbertreach.entry._snapshots import SnapshotChooser
from filbertreach.membership import OwnerTable
from filbertreach.schema import Answer, Call, Cancel, Failure, Member
from filbertreach.timing import Clock
from filbertreach.transport import Transport

RESPONSE_MARGIN_SECONDS = 0.001
"""Part of each deadline reserved for the merge and for sending the answer to the caller."""


class OwnerCalls:
    """Sends the calls of queries to the owners of services and matches the results to them.

    If the owner is lost, the call is resent once to another one, provided that it is idempotent.
    """

    def __init__(self, *, transport: Transport, snapshots: SnapshotChooser, clock: Clock) -> None:
        """Creates an instance without calls and without owners.

        Args:
            transport: Sends the calls.
            snapshots: Notified of versions that a service does not serve.
            clock: Source of time.
        """
        self._transport = transport
        self._snapshots = snapshots
        self._clock = clock
        self._gather_by_call_id: dict[str, Gather] = {}
        self._call_numbers = itertools.count(1)
        self._owners = OwnerTable()

    def on_members(self, members: Sequence[Member]) -> None:
        """Updates the known dispatch processes.

        Args:
            members: Members of the fleet.
        """
        self._owners.update(members)

    def scatter(self, gather: Gather) -> None:
        """Sends the call of each shard to the owner of its service.

        Args:
            gather: The query.

        Raises:
            ProblemError: The deadline has passed, and nothing was sent.
        """
        now = self._clock.now()
        if now >= gather.deadline_at:
            # The process may have been paused since the request arrived.
            raise ProblemError("deadline-passed", "the deadline passed before anything was sent")
        service_by_shard = gather.query.environment.maps_by_name[gather.snapshot.map_name]
        for shard in gather.shards:
            self._send_call(gather, shard, service_by_shard[shard], exclude=None)

    def _send_call(self, gather: Gather, shard: str, service: str, *, exclude: str | None) -> None:
        query = gather.query
        now = self._clock.now()
        address = self._owner_address(query.environment, service, exclude=exclude)
        if address is None:
            gather.record_not_sent(shard, now)
            return
        call_id = f"{next(self._call_numbers):x}"
        call = Call(
            kind="call",
            call_id=call_id,
            query_id=query.request_id,
            environment=query.environment.name,
            generation=query.environment.generation,
            service=service,
            shard=shard,
            version=gather.snapshot.version,
            rank=query.rank.name,
            client=query.client,
            application=query.application.name,
            idempotent=query.idempotent,
            remaining_ms=max(0.0, 1000.0 * (gather.deadline_at - now - RESPONSE_MARGIN_SECONDS)),
            trace_parent=gather.span.trace_parent,
            body=query.body,
        )
        if not self._transport.send(address=address, message=call):
            gather.record_not_sent(shard, now)
            return
        gather.record_sent(OutstandingCall(call_id, shard, service, address, exclude is not None))
        self._gather_by_call_id[call_id] = gather

    def _owner_address(
        self, environment: Environment, service: str, *, exclude: str | None
    ) -> str | None:
        """Returns the inbox of the first reachable dispatch process in ownership order."""
        leaves = environment.services_by_name[service].leaf_by_id.values()
        order = self._owners.order(
            environment=environment.name,
            service_name=service,
            service_regions={leaf.region for leaf in leaves},
        )
        for member in order:
            address = member["address"]
            incarnation = member["incarnation"]
            if address == exclude:
                continue
            if self._transport.is_reachable(address, incarnation=incarnation):
                return address
        return None

    def abandon(self, gather: Gather) -> None:
        """Cancels the outstanding calls of a query that has ended.

        Args:
            gather: The query.
        """
        for call in gather.outstanding_by_id.values():
            self._gather_by_call_id.pop(call.call_id, None)
            self._transport.send(
                address=call.address, message=Cancel(kind="cancel", call_id=call.call_id)
            )
        gather.outstanding_by_id.clear()

    def on_owner_lost(self, address: str) -> None:
        """Resends the idempotent calls of a lost dispatch process to another one.

        Args:
            address: Inbox of the lost process.
        """
        lost_calls = [
            (gather, call)
            for gather in {id(g): g for g in self._gather_by_call_id.values()}.values()
            for call in list(gather.outstanding_by_id.values())
            if call.address == address
        ]
        for gather, call in lost_calls:
            self._gather_by_call_id.pop(call.call_id, None)
            # Resending only once keeps entry processes from multiplying the retries of the owners.
            if gather.query.idempotent and not call.resent:
                gather.record_resend(call)
                OWNER_RESENDS.labels(gather.query.environment.name).inc()
                self._send_call(gather, call.shard, call.service, exclude=address)
            else:
                gather.on_owner_lost(call, self._clock.now())

    def on_answer(self, address: str, answer: Answer) -> None:
        """Passes an answer to its query; answers to calls that have ended are dropped.

        Args:
            address: Inbox of the sender.
            answer: The answer.
        """
        gather = self._take_gather(address, answer["call_id"])
        if gather is not None:
            gather.on_answer(answer, self._clock.now())

    def on_failure(self, address: str, failure: Failure) -> None:
        """Passes a failure to its query, or resends the call.

        Failures of calls that have ended are dropped.

        Args:
            address: Inbox of the sender.
            failure: The failure.
        """
        gather = self._take_gather(address, failure["call_id"])
        if gather is None:
            return
        now = self._clock.now()
        call = gather.outstanding_by_id[failure["call_id"]]
        if failure["reason"] == "version_unavailable":
            self._snapshots.on_version_unavailable(
                gather.query.environment.name, call.service, gather.snapshot.version, now
            )
        if failure["reason"] == "owner_lost" and failure["started"] == "no" and not call.resent:
            # The dispatch process does not have the document yet, but another one may have it.
            gather.outstanding_by_id.pop(call.call_id)
            self._send_call(gather, call.shard, call.service, exclude=address)
            return
        gather.on_failure(failure, now)

    def _take_gather(self, address: str, call_id: str) -> Gather | None:
        gather = self._gather_by_call_id.get(call_id)
        if gather is None or gather.outstanding_by_id[call_id].address != address:
            return None
        return self._gather_by_call_id.pop(call_id)
