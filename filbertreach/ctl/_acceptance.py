"""Protocol that makes a document the accepted document of its environment.

The steps follow docs/design.md 6.1: propose under a lease, wait until every registered host has
confirmed, compare-and-swap, write history. Each step is idempotent: a repeated command recognises
an earlier run by its request digest.
"""

from collections.abc import Callable
from typing import NamedTuple

import anyio

from filbertreach.ctl._acceptance_messages import (
    accepted_conflict,
    confirmation_progress,
    not_confirmed_error,
    proposal_conflict,
    replaced_conflict,
    unknown_outcome_error,
)
from filbertreach.ctl._access import Operator
from filbertreach.ctl._errors import (
    RefusedError,
    UnavailableError,
)
from filbertreach.ctl._hosts import Hosts, read_hosts
from filbertreach.ctl._records import (
    Accepted,
    Proposal,
    accepted_key,
    encode,
    format_time,
    history_key,
    now_utc,
    proposal_digest,
    proposed_key,
    request_digest,
)
from filbertreach.ctl._store import (
    LeaseLostError,
    ResponseLostError,
    RevisionChangedError,
    Store,
    StoredValue,
)
from filbertreach.document import MAX_DOCUMENT_BYTES
from filbertreach.platform import Lease
from filbertreach.schema import CtlSection
from filbertreach.timing import Clock, SystemClock

_EARLIER_RUN_SEARCH_GENERATIONS = 20
"""Generations that are searched for an earlier run of the same command. At 1,000 changes a day
they cover half an hour on average."""
_RENEWAL_FRACTION = 2 / 3
"""The lease is renewed when less than this fraction is left, so that it survives one lost
renewal."""
_SWAP_MARGIN_SECONDS = 0.5
"""Remaining lease time, beyond one time-out, that is required to send the compare-and-swap, so that
the hosts still hold the proposal when it takes effect."""
_DELETE_PROPOSAL_TIMEOUT_SECONDS = 3.0
"""Time-out for deleting a proposal; after a failure it is removed when its lease expires."""

_LEASE_EXPIRED = (
    "not accepted: the proposal's lease expired while this command was paused or cut off from the "
    "platform; run the command again"
)


class AcceptanceResult(NamedTuple):
    """Result of a successful acceptance."""

    record: Accepted
    """The accepted document."""
    repeated: bool
    """Whether an earlier run of the same command had already taken effect."""


class Acceptance:
    """Runs the acceptance protocol for one environment, sequentially in one task."""

    def __init__(
        self,
        *,
        store: Store,
        operator: Operator,
        environment: str,
        settings: CtlSection,
        report_progress: Callable[[str], None],
        excluded_hosts: frozenset[str] = frozenset(),
        clock: Clock | None = None,
    ) -> None:
        """Prepares the acceptance.

        Args:
            store: Access to the key-value service.
            operator: Operator who proposes.
            environment: Environment name.
            settings: Section `ctl` with its defaults.
            report_progress: Called with each line of progress.
            excluded_hosts: Hosts that need not confirm if they have no record.
            clock: Source of elapsed time; the system clock by default.
        """
        self._store = store
        self._operator = operator
        self._environment = environment
        self._lease_seconds = settings["lease_seconds"]
        self._confirm_seconds = settings["confirm_seconds"]
        self._poll_seconds = settings["poll_seconds"]
        self._report_progress = report_progress
        self._excluded_hosts = excluded_hosts
        self._clock = clock or SystemClock()
        self._lease: Lease | None = None

    async def run(
        self, *, text: str, reason: str, base: int | None, bootstrap: bool
    ) -> AcceptanceResult:
        """Proposes a document and waits until it is accepted.

        Args:
            text: Text of a validated document.
            reason: Reason, stored in history.
            base: Generation that the operator worked from; None for the current one.
            bootstrap: Whether to accept although no host is registered.

        Returns:
            The accepted document, and whether an earlier run had already taken effect.

        Raises:
            RefusedError: Hosts did not confirm in time, or the document is too large.
            ConflictError: Another operator's document or proposal came first.
            UnavailableError: The platform does not answer; nothing was accepted.
            UnknownOutcomeError: The platform stopped answering during the compare-and-swap.
        """
        try:
            outcome = await self._find_earlier_run_or_propose(text=text, reason=reason, base=base)
        except UnavailableError as error:
            raise UnavailableError(f"not accepted by this run: {error}") from None
        except LeaseLostError:
            raise RefusedError(_LEASE_EXPIRED) from None
        if isinstance(outcome, AcceptanceResult):
            return outcome
        previous, proposal, revision = outcome
        try:
            hosts = await self._wait_for_confirmations(proposal, bootstrap=bootstrap)
            record = await self._compare_and_swap(proposal, previous, hosts)
        finally:
            await self._delete_proposal(revision)
        await self._write_history(record)
        return AcceptanceResult(record=record, repeated=False)

    async def _ensure_lease(self) -> Lease:
        """Grants the lease, or renews it when less than the renewal fraction is left."""
        lease = self._lease
        try:
            if lease is None:
                self._lease = await self._store.grant_lease(self._lease_seconds)
            elif lease.valid_until - self._clock.now() < lease.ttl_seconds * _RENEWAL_FRACTION:
                self._lease = await self._store.renew_lease(lease)
        except ResponseLostError:
            pass
        except LeaseLostError:
            raise RefusedError(_LEASE_EXPIRED) from None
        assert self._lease is not None
        return self._lease

    def _lease_seconds_left(self) -> float:
        return 0.0 if self._lease is None else self._lease.valid_until - self._clock.now()

    async def _find_earlier_run_or_propose(
        self, *, text: str, reason: str, base: int | None
    ) -> AcceptanceResult | tuple[StoredValue | None, Proposal, int]:
        """Returns the result of an earlier run of the command, or writes the proposal.

        Returns:
            The earlier result, or the stored document, the proposal and its revision.
        """
        deadline = self._clock.now() + 2 * self._lease_seconds
        proposal: Proposal | None = None
        while True:
            lease = await self._ensure_lease()
            previous = await self._store.read(accepted_key(self._environment))
            generation = previous.value["generation"] if previous else 0
            earlier = await self._find_earlier_run(previous, text=text, base=base)
            if earlier is not None:
                return earlier
            if base is not None and base != generation:
                raise accepted_conflict(previous, text)
            if proposal is None or proposal["generation"] != generation + 1:
                proposal = self._make_proposal(text=text, reason=reason, generation=generation + 1)
                await self._backfill_history(previous)
            revision = await self._propose(proposal, lease)
            if revision is not None:
                return previous, proposal, revision
            if self._clock.now() > deadline:
                raise RefusedError(
                    "not accepted: a proposal of an earlier run of this command is still there; "
                    f"see 'filbertreach-ctl status {self._environment}'"
                )
            await anyio.sleep(self._poll_seconds)

    def _make_proposal(self, *, text: str, reason: str, generation: int) -> Proposal:
        operator = self._operator.name
        proposal: Proposal = {
            "environment": self._environment,
            "generation": generation,
            "digest": "",
            "text": text,
            "operator": operator,
            "reason": reason,
            "proposed_at": now_utc().isoformat(timespec="microseconds"),
            "request": request_digest(operator=operator, base=generation - 1, text=text),
            "signature": "",
        }
        proposal["digest"] = proposal_digest(proposal)
        proposal["signature"] = self._operator.sign(proposal)
        size = len(encode(proposal).encode())
        if size > MAX_DOCUMENT_BYTES:
            raise RefusedError(
                f"not accepted: the proposal has {size:,} bytes; the platform holds "
                f"{MAX_DOCUMENT_BYTES:,}; shorten the document by {size - MAX_DOCUMENT_BYTES:,} "
                "bytes or divide the environment"
            )
        return proposal

    async def _propose(self, proposal: Proposal, lease: Lease) -> int | None:
        """Writes the proposal and returns its revision, or None while an earlier run's is open."""
        key = proposed_key(self._environment)
        try:
            # An interrupt between the write and its response would leave the proposal in the store.
            with anyio.CancelScope(shield=True):
                revision = await self._store.write(key, proposal, expected=0, lease=lease)
        except (RevisionChangedError, ResponseLostError):
            present = await self._store.read(key)
            if present is None:
                return None
            if present.value["digest"] == proposal["digest"]:
                return present.revision
            if present.value["request"] == proposal["request"]:
                self._report_progress(
                    "an earlier run of this command is still proposing; waiting for it"
                )
                return None
            raise proposal_conflict(present, proposal["text"]) from None
        self._report_progress(
            f"proposed generation {proposal['generation']} of {self._environment}"
        )
        return revision

    async def _wait_for_confirmations(self, proposal: Proposal, *, bootstrap: bool) -> list[str]:
        """Waits until every registered host has confirmed, and returns the hosts."""
        deadline = self._clock.now() + self._confirm_seconds
        last_progress = ""
        while True:
            hosts: Hosts | None = None
            try:
                await self._ensure_lease()
                hosts = await read_hosts(self._store, excluded_hosts=self._excluded_hosts)
                await self._check_proposal_present(proposal)
                missing = hosts.not_prepared(self._environment, proposal["digest"])
                if (hosts.record_by_host or bootstrap) and not missing:
                    return sorted(hosts.record_by_host)
                progress = confirmation_progress(hosts, missing)
            except UnavailableError as error:
                if self._lease_seconds_left() <= 0:
                    raise UnavailableError(
                        f"not accepted: {error}; the proposal ends with its lease"
                    ) from None
                progress = f"{error}; trying again"
            if progress != last_progress:
                self._report_progress(progress)
                last_progress = progress
            if self._clock.now() > deadline:
                raise not_confirmed_error(hosts, proposal, self._confirm_seconds)
            await anyio.sleep(self._poll_seconds)

    async def _check_proposal_present(self, proposal: Proposal) -> None:
        present = await self._store.read(proposed_key(self._environment))
        if present is not None and present.value["digest"] == proposal["digest"]:
            return
        if present is not None:
            raise proposal_conflict(present, proposal["text"])
        raise RefusedError(_LEASE_EXPIRED)

    async def _compare_and_swap(
        self, proposal: Proposal, previous: StoredValue | None, hosts: list[str]
    ) -> Accepted:
        record: Accepted = {
            **proposal,
            "accepted_at": format_time(now_utc()),
            "hosts": hosts,
        }
        attempts = 0
        response_lost = False
        last_error = ""
        while self._lease_allows_swap():
            attempts += 1
            try:
                expected = previous.revision if previous else 0
                await self._store.write(accepted_key(self._environment), record, expected=expected)
                return record
            except RevisionChangedError:
                # The comparison may fail because an earlier attempt of this loop took effect.
                return await self._resolve_revision_mismatch(record)
            except ResponseLostError as error:
                response_lost = True
                last_error = str(error)
                self._report_progress("the response to the compare-and-swap was lost; trying again")
            except UnavailableError as error:
                last_error = str(error)
                self._report_progress(f"{error}; trying again")
            await anyio.sleep(self._poll_seconds)
            await self._try_to_ensure_lease()
        if attempts == 0:
            raise RefusedError(_LEASE_EXPIRED)
        if response_lost:
            return await self._resolve_lost_swap(record, previous)
        raise UnavailableError(f"not accepted: {last_error}; the proposal ends with its lease")

    def _lease_allows_swap(self) -> bool:
        return self._lease_seconds_left() > self._store.timeout_seconds + _SWAP_MARGIN_SECONDS

    async def _try_to_ensure_lease(self) -> None:
        try:
            await self._ensure_lease()
        except (UnavailableError, RefusedError):
            return

    async def _resolve_revision_mismatch(self, record: Accepted) -> Accepted:
        try:
            present = await self._store.read(accepted_key(self._environment))
        except UnavailableError:
            raise unknown_outcome_error(record) from None
        if present is not None and present.value["digest"] == record["digest"]:
            # The stored record may come from an earlier attempt with another accepted_at.
            stored: Accepted = present.value  # type: ignore[assignment]
            return stored
        raise accepted_conflict(present, record["text"])

    async def _resolve_lost_swap(self, record: Accepted, previous: StoredValue | None) -> Accepted:
        """Finds out whether a compare-and-swap took effect, and prevents it from doing so later.

        Raises:
            RefusedError: It did not take effect and no longer can.
            ConflictError: Another document was accepted.
            UnknownOutcomeError: The platform did not answer in time.
        """
        deadline = self._clock.now() + self._lease_seconds
        key = accepted_key(self._environment)
        while self._clock.now() < deadline:
            try:
                present = await self._store.read(key)
                if present is not None and present.value["digest"] == record["digest"]:
                    return record
                if present is not None and (
                    previous is None or present.revision != previous.revision
                ):
                    raise accepted_conflict(present, record["text"])
                if previous is not None:
                    # Rewriting the old value changes the revision that a delayed compare-and-swap
                    # expects.
                    await self._store.write(key, previous.value, expected=previous.revision)
                    raise RefusedError(
                        "not accepted: the platform did not carry out the swap in time; "
                        "run the command again"
                    )
            except (UnavailableError, ResponseLostError, RevisionChangedError):
                pass
            await anyio.sleep(self._poll_seconds)
        raise unknown_outcome_error(record)

    async def _delete_proposal(self, revision: int) -> None:
        """Deletes the proposal; after a failure it is removed when its lease expires."""
        with anyio.move_on_after(_DELETE_PROPOSAL_TIMEOUT_SECONDS, shield=True):
            try:
                await self._store.delete(proposed_key(self._environment), expected=revision)
            except (UnavailableError, ResponseLostError, RevisionChangedError):
                return

    async def _write_history(self, record: Accepted) -> None:
        key = history_key(self._environment, record["generation"])
        try:
            await self._store.write(key, record, expected=0)
        except RevisionChangedError:
            return
        except (UnavailableError, ResponseLostError):
            self._report_progress("history is not written yet; the next command writes it")

    async def _backfill_history(self, previous: StoredValue | None) -> None:
        """Writes the history entry of a command that ended between compare-and-swap and history."""
        if previous is None:
            return
        key = history_key(self._environment, previous.value["generation"])
        if await self._store.read(key) is None:
            await self._write_history(previous.value)  # type: ignore[arg-type]

    async def _find_earlier_run(
        self, previous: StoredValue | None, *, text: str, base: int | None
    ) -> AcceptanceResult | None:
        """Returns the result of an earlier run of this command that took effect, if any.

        Raises:
            ConflictError: The earlier run's document has been replaced since.
        """
        if previous is None:
            return None
        newest = previous.value["generation"]
        first = max(1, newest - _EARLIER_RUN_SEARCH_GENERATIONS + 1) if base is None else base + 1
        for generation in range(newest, first - 1, -1):
            stored = previous
            if generation != newest:
                kept = await self._store.read(history_key(self._environment, generation))
                if kept is None:
                    continue
                stored = kept
            request = request_digest(operator=self._operator.name, base=generation - 1, text=text)
            if stored.value["request"] != request:
                continue
            if generation != newest:
                raise replaced_conflict(generation, previous)
            accepted: Accepted = stored.value  # type: ignore[assignment]
            return AcceptanceResult(record=accepted, repeated=True)
        return None
