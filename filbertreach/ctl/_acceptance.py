"""Makes a text the accepted document of its environment.

The steps are those of docs/design.md 6.1: propose under a lease, wait until every registered host
has confirmed, compare-and-swap, keep history. Each step may be repeated: a second run of the same
command recognises the first by its request digest.
"""

from collections.abc import Callable
from typing import NamedTuple

import anyio

from filbertreach.ctl._access import Operator
from filbertreach.ctl._errors import (
    RefusedError,
    UnavailableError,
)
from filbertreach.ctl._hosts import Hosts, read_hosts
from filbertreach.ctl._outcomes import (
    accepted_conflict,
    confirmation_progress,
    not_confirmed,
    proposal_conflict,
    replaced,
    unknown_outcome,
)
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
    AnswerLostError,
    LeaseLostError,
    RevisionChangedError,
    Store,
    Stored,
)
from filbertreach.document import MAX_DOCUMENT_BYTES
from filbertreach.platform import Lease
from filbertreach.schema import CtlSection
from filbertreach.timing import Clock, SystemClock

_REPEAT_DEPTH = 20
"""Generations that are searched for an earlier run of the same command. At 1,000 changes a day
that is half an hour on average."""
_RENEWAL_SHARE = 2 / 3
"""The lease is renewed when less than this share is left, so that one lost renewal does not end
it."""
_SWAP_MARGIN_SECONDS = 0.5
"""Least part of the lease beyond one timeout that must be left when the swap is sent, so that the
hosts still hold the proposal when it takes effect."""
_WITHDRAW_SECONDS = 3.0
"""Longest wait for the removal of a proposal; its lease removes it otherwise."""

_LEASE_ENDED = (
    "not accepted: the proposal's lease ended while this command was paused or cut off from the "
    "platform; run the command again"
)


class AcceptedText(NamedTuple):
    """Result of a successful command."""

    record: Accepted
    """The accepted document."""
    repeated: bool
    """Whether an earlier run of the same command had already taken effect."""


class Acceptance:
    """Runs the exchange for one environment, as one sequence in one task."""

    def __init__(
        self,
        *,
        store: Store,
        operator: Operator,
        environment: str,
        settings: CtlSection,
        report: Callable[[str], None],
        excused: frozenset[str] = frozenset(),
        clock: Clock | None = None,
    ) -> None:
        """Prepares the exchange.

        Args:
            store: Access to the key-value service.
            operator: Who proposes.
            environment: Environment name.
            settings: Section `ctl` with its defaults.
            report: Receives lines of progress.
            excused: Hosts that are not waited for if they have no record.
            clock: Source of elapsed time; the system's by default.
        """
        self._store = store
        self._operator = operator
        self._environment = environment
        self._lease_seconds = settings["lease_seconds"]
        self._confirm_seconds = settings["confirm_seconds"]
        self._poll_seconds = settings["poll_seconds"]
        self._report = report
        self._excused = excused
        self._clock = clock or SystemClock()
        self._lease: Lease | None = None

    async def run(
        self, *, text: str, reason: str, base: int | None, bootstrap: bool
    ) -> AcceptedText:
        """Proposes a text and waits until it is accepted.

        Args:
            text: A document that was checked.
            reason: Why, kept in history.
            base: Generation that the operator worked from; None for the present one.
            bootstrap: Whether to accept without any registered host.

        Returns:
            The accepted record.

        Raises:
            RefusedError: Hosts did not confirm in time, or the text is too large.
            ConflictError: Another operator was first.
            UnavailableError: The platform does not answer; nothing was accepted.
            UnknownOutcomeError: The platform stopped answering during the swap.
        """
        try:
            start = await self._start(text=text, reason=reason, base=base)
        except UnavailableError as error:
            raise UnavailableError(f"not accepted by this run: {error}") from None
        except LeaseLostError:
            raise RefusedError(_LEASE_ENDED) from None
        if isinstance(start, AcceptedText):
            return start
        previous, proposal, revision = start
        try:
            hosts = await self._confirmations(proposal, bootstrap=bootstrap)
            record = await self._swap(proposal, previous, hosts)
        finally:
            await self._withdraw(revision)
        await self._keep_history(record)
        return AcceptedText(record=record, repeated=False)

    async def _keep_lease(self) -> Lease:
        """Grants the lease, or renews it when a part of its time has passed."""
        lease = self._lease
        try:
            if lease is None:
                self._lease = await self._store.grant_lease(self._lease_seconds)
            elif lease.valid_until - self._clock.now() < lease.ttl_seconds * _RENEWAL_SHARE:
                self._lease = await self._store.renew_lease(lease)
        except AnswerLostError:
            pass
        except LeaseLostError:
            raise RefusedError(_LEASE_ENDED) from None
        assert self._lease is not None
        return self._lease

    def _lease_left(self) -> float:
        return 0.0 if self._lease is None else self._lease.valid_until - self._clock.now()

    async def _start(
        self, *, text: str, reason: str, base: int | None
    ) -> AcceptedText | tuple[Stored | None, Proposal, int]:
        """Finds an earlier run of the command, or writes the proposal."""
        give_up = self._clock.now() + 2 * self._lease_seconds
        proposal: Proposal | None = None
        while True:
            lease = await self._keep_lease()
            previous = await self._store.read(accepted_key(self._environment))
            generation = previous.value["generation"] if previous else 0
            earlier = await self._earlier_run(previous, text=text, base=base)
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
            if self._clock.now() > give_up:
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
        """Writes the proposal. Returns None while an earlier run's proposal is in the way."""
        key = proposed_key(self._environment)
        try:
            # An interrupt between the effect and its answer would leave the proposal behind.
            with anyio.CancelScope(shield=True):
                revision = await self._store.write(key, proposal, expected=0, lease=lease)
        except (RevisionChangedError, AnswerLostError):
            present = await self._store.read(key)
            if present is None:
                return None
            if present.value["digest"] == proposal["digest"]:
                return present.revision
            if present.value["request"] == proposal["request"]:
                self._report("an earlier run of this command is still proposing; waiting for it")
                return None
            raise proposal_conflict(present, proposal["text"]) from None
        self._report(f"proposed generation {proposal['generation']} of {self._environment}")
        return revision

    async def _confirmations(self, proposal: Proposal, *, bootstrap: bool) -> list[str]:
        """Waits until every registered host has confirmed. Returns the hosts."""
        give_up = self._clock.now() + self._confirm_seconds
        shown = ""
        while True:
            hosts: Hosts | None = None
            try:
                await self._keep_lease()
                hosts = await read_hosts(self._store, excused=self._excused)
                await self._check_proposal_is_there(proposal)
                missing = hosts.not_prepared(self._environment, proposal["digest"])
                if (hosts.record_by_host or bootstrap) and not missing:
                    return sorted(hosts.record_by_host)
                progress = confirmation_progress(hosts, missing)
            except UnavailableError as error:
                if self._lease_left() <= 0:
                    raise UnavailableError(
                        f"not accepted: {error}; the proposal ends with its lease"
                    ) from None
                progress = f"{error}; trying again"
            if progress != shown:
                self._report(progress)
                shown = progress
            if self._clock.now() > give_up:
                raise not_confirmed(hosts, proposal, self._confirm_seconds)
            await anyio.sleep(self._poll_seconds)

    async def _check_proposal_is_there(self, proposal: Proposal) -> None:
        present = await self._store.read(proposed_key(self._environment))
        if present is not None and present.value["digest"] == proposal["digest"]:
            return
        if present is not None:
            raise proposal_conflict(present, proposal["text"])
        raise RefusedError(_LEASE_ENDED)

    async def _swap(
        self, proposal: Proposal, previous: Stored | None, hosts: list[str]
    ) -> Accepted:
        record: Accepted = {
            **proposal,
            "accepted_at": format_time(now_utc()),
            "hosts": hosts,
        }
        attempts = 0
        lost = False
        last_error = ""
        while self._time_for_swap():
            attempts += 1
            try:
                expected = previous.revision if previous else 0
                await self._store.write(accepted_key(self._environment), record, expected=expected)
                return record
            except RevisionChangedError:
                # The comparison may fail because our own earlier attempt took effect.
                return await self._own_or_conflict(record)
            except AnswerLostError as error:
                lost = True
                last_error = str(error)
                self._report("the answer to the swap was lost; asking again")
            except UnavailableError as error:
                last_error = str(error)
                self._report(f"{error}; trying again")
            await anyio.sleep(self._poll_seconds)
            await self._try_to_keep_lease()
        if attempts == 0:
            raise RefusedError(_LEASE_ENDED)
        if lost:
            return await self._settle(record, previous)
        raise UnavailableError(f"not accepted: {last_error}; the proposal ends with its lease")

    def _time_for_swap(self) -> bool:
        return self._lease_left() > self._store.timeout_seconds + _SWAP_MARGIN_SECONDS

    async def _try_to_keep_lease(self) -> None:
        try:
            await self._keep_lease()
        except (UnavailableError, RefusedError):
            return

    async def _own_or_conflict(self, record: Accepted) -> Accepted:
        try:
            present = await self._store.read(accepted_key(self._environment))
        except UnavailableError:
            raise unknown_outcome(record) from None
        if present is not None and present.value["digest"] == record["digest"]:
            # The stored copy may be of an earlier attempt with another accepted_at.
            stored: Accepted = present.value  # type: ignore[assignment]
            return stored
        raise accepted_conflict(present, record["text"])

    async def _settle(self, record: Accepted, previous: Stored | None) -> Accepted:
        """Finds out whether a swap took effect, and makes sure that it can't do so later."""
        give_up = self._clock.now() + self._lease_seconds
        key = accepted_key(self._environment)
        while self._clock.now() < give_up:
            try:
                present = await self._store.read(key)
                if present is not None and present.value["digest"] == record["digest"]:
                    return record
                if present is not None and (
                    previous is None or present.revision != previous.revision
                ):
                    raise accepted_conflict(present, record["text"])
                if previous is not None:
                    # Writing the old value again takes the revision that a delayed swap expects.
                    await self._store.write(key, previous.value, expected=previous.revision)
                    raise RefusedError(
                        "not accepted: the platform did not carry out the swap in time; "
                        "run the command again"
                    )
            except (UnavailableError, AnswerLostError, RevisionChangedError):
                pass
            await anyio.sleep(self._poll_seconds)
        raise unknown_outcome(record)

    async def _withdraw(self, revision: int) -> None:
        """Removes the proposal. It is bound to the lease, so a failure only delays this."""
        with anyio.move_on_after(_WITHDRAW_SECONDS, shield=True):
            try:
                await self._store.delete(proposed_key(self._environment), expected=revision)
            except (UnavailableError, AnswerLostError, RevisionChangedError):
                return

    async def _keep_history(self, record: Accepted) -> None:
        key = history_key(self._environment, record["generation"])
        try:
            await self._store.write(key, record, expected=0)
        except RevisionChangedError:
            return
        except (UnavailableError, AnswerLostError):
            self._report("history is not written yet; the next command writes it")

    async def _backfill_history(self, previous: Stored | None) -> None:
        """Writes the history of a command that ended between its swap and its history."""
        if previous is None:
            return
        key = history_key(self._environment, previous.value["generation"])
        if await self._store.read(key) is None:
            await self._keep_history(previous.value)  # type: ignore[arg-type]

    async def _earlier_run(
        self, previous: Stored | None, *, text: str, base: int | None
    ) -> AcceptedText | None:
        """Finds out whether this command already took effect."""
        if previous is None:
            return None
        newest = previous.value["generation"]
        first = max(1, newest - _REPEAT_DEPTH + 1) if base is None else base + 1
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
                raise replaced(generation, previous)
            accepted: Accepted = stored.value  # type: ignore[assignment]
            return AcceptedText(record=accepted, repeated=True)
        return None
