"""Decision which requests crash leaves, and are refused."""

import collections
import hashlib
import math
from collections.abc import Callable
from typing import Literal, NamedTuple

from filbertreach.observability import get_logger
from filbertreach.quarantine._answered_calls import AnsweredCalls
from filbertreach.quarantine._loss_count import MAX_LOSSES, LeafProcess
from filbertreach.quarantine._loss_rates import LossRates

_LOGGER = get_logger(__name__)

ENTRY_SECONDS = 30.0
"""Time after the last loss at which a fingerprint is tried again."""
_KEPT_ENTRY_FACTOR = 10.0
"""Multiple of `ENTRY_SECONDS` for which an entry in quarantine is kept for its trial."""
MAX_ENTRIES = 1_000
"""Fingerprints with losses that are kept."""
MAX_LEAVES = 8
"""Leaves that an entry names."""
_MAX_KEPT_LEAVES = 64
"""Leaves lost under one fingerprint that are kept for each host; more of them prove no more."""
MAX_SOURCES = 8
"""Hosts whose evidence an entry keeps."""
_CHECK_SECONDS = 0.03
"""Time after the second loss during which the ends of other leaves are awaited before a
fingerprint is taken as the cause. Leaves that end for another reason end together."""
_CHECK_AGAIN_SECONDS = 0.01
"""Time after which a fingerprint that was not found to be the cause is checked again."""
_REVIEW_SECONDS = 2.0
"""Time after the last loss within which it is decided whether the fingerprint is the cause. Later,
part of what this host knew of other losses has expired."""
_ELSEWHERE_SECONDS = 1.0
"""Time for which the end of a leaf without a request of this host counts as a sign that leaves end
by themselves. It is short because requests of other hosts may have ended the leaf."""
_TRIAL_SECONDS = 3.0
"""Longest time for which a trial keeps others from starting; its result may never be known."""
_MAX_TRIAL_DELAY_SECONDS = 10.0
"""Longest time by which a host that learned an entry from others tries later than they do, so that
mostly one host tries and the others learn its result."""

OnQuarantined = Callable[[bytes, str], None]


class Verdict(NamedTuple):
    """What is done with a request before anything is sent for it."""

    kind: Literal["allow", "refuse", "trial"]
    """Send it, refuse it, or send it to one shard first and end it at its first loss."""
    retry_after_seconds: float = 0.0
    """Time after which the caller may repeat a refused request."""


class QuarantineEvidence(NamedTuple):
    """Losses under a fingerprint as one host has seen them."""

    fingerprint: bytes
    """The request."""
    leaves: tuple[LeafProcess, ...]
    """Leaves that have ended under it."""
    attempts: int
    """Calls sent for it since the request under which the first of them ended, and those that
    leaves had answered in the seconds before."""
    is_quarantined: bool
    """Whether the host has put it into quarantine."""
    age_seconds: float
    """Time since the last loss."""


class _Evidence(NamedTuple):
    """Losses under a fingerprint as one host has seen them; see `QuarantineEvidence`."""

    leaves: frozenset[LeafProcess] = frozenset()
    attempts: int = 0


class _Entry:
    """Losses under one fingerprint."""

    def __init__(self) -> None:
        self.evidence_by_source: dict[str, _Evidence] = {}
        """Losses by the host that has seen them; the empty name is this host."""
        self.last_loss_at = -math.inf
        """Clock, in seconds."""
        self.second_loss_at = math.inf
        """Clock at which as many leaves as `MAX_LOSSES` were known to be lost, in seconds."""
        self.check_at = math.inf
        """Clock from which it is checked whether the fingerprint is the cause, in seconds."""
        self.answers = 0
        """Calls that leaves have answered since the first loss."""
        self.is_quarantined = False
        self.trial_at = -math.inf
        """Clock at which a request was tried last, in seconds."""
        self.trial_delay_seconds = 0.0
        """Time by which this host tries later than the end of the entry."""

    @property
    def leaves(self) -> frozenset[LeafProcess]:
        evidence = self.evidence_by_source.values()
        return frozenset(process for one in evidence for process in one.leaves)

    @property
    def attempts(self) -> int:
        return sum(evidence.attempts for evidence in self.evidence_by_source.values())

    @property
    def held_until(self) -> float:
        """Clock until which nothing is sent, as the cause is not known yet, in seconds."""
        if len(self.leaves) < MAX_LOSSES:
            return -math.inf
        return self.last_loss_at + _CHECK_SECONDS

    def add(self, source: str, leaves: frozenset[LeafProcess], attempts: int, at: float) -> None:
        """Adds losses that one host has seen."""
        known = self.evidence_by_source.get(source, _Evidence())
        if len(known.leaves) < _MAX_KEPT_LEAVES:
            leaves |= known.leaves
        else:
            leaves = known.leaves
        merged = _Evidence(leaves, max(known.attempts, attempts))
        self.evidence_by_source[source] = merged
        self.last_loss_at = max(self.last_loss_at, at)
        if len(self.leaves) >= MAX_LOSSES:
            self.second_loss_at = min(self.second_loss_at, at)
            self.check_at = min(self.check_at, self.second_loss_at + _CHECK_SECONDS)


class RequestQuarantine:
    """Losses of leaves by fingerprint, and the fingerprints that are refused because of them.

    Pure: it sends nothing and reads no clock.
    """

    def __init__(self, *, host: str, on_quarantined: OnQuarantined | None = None) -> None:
        """Creates a quarantine without entries.

        Args:
            host: Name of this host; hosts try an expired fingerprint at different times.
            on_quarantined: Called with each fingerprint that is put into quarantine, and with the
                name of the host that said so, empty for this one.
        """
        self._host = host
        self._on_quarantined = on_quarantined
        self._rates = LossRates()
        self._answered = AnsweredCalls()
        self._entry_by_fingerprint: collections.OrderedDict[bytes, _Entry] = (
            collections.OrderedDict()
        )
        """Fingerprints with losses, those that were changed last at the end."""
        self._blamed: set[LeafProcess] = set()
        """Leaves lost under fingerprints in quarantine."""

    def __len__(self) -> int:
        """Returns the number of fingerprints with losses."""
        return len(self._entry_by_fingerprint)

    def count_quarantined(self) -> int:
        """Returns the number of fingerprints in quarantine."""
        return sum(entry.is_quarantined for entry in self._entry_by_fingerprint.values())

    # Observations.

    def on_request(self, now: float) -> None:
        """Counts a request that is about to be sent.

        Args:
            now: Current clock, in seconds.
        """
        self._rates.count_calls(0, now, requests=1)

    def on_sent(self, fingerprint: bytes, now: float) -> None:
        """Counts a call.

        Args:
            fingerprint: Its request.
            now: Current clock, in seconds.
        """
        self._rates.count_calls(1, now)
        entry = self._entry_by_fingerprint.get(fingerprint)
        if entry is not None:
            known = entry.evidence_by_source.get("", _Evidence())
            entry.evidence_by_source[""] = known._replace(attempts=known.attempts + 1)

    def on_lost(
        self, fingerprint: bytes, process: LeafProcess, *, attempts: int, now: float
    ) -> None:
        """Records that a leaf has ended while it ran a request.

        Args:
            fingerprint: The request.
            process: The leaf.
            attempts: Calls sent for the request so far.
            now: Current clock, in seconds.
        """
        entry = self._get_or_create_entry(fingerprint)
        if entry.answers:
            # Other leaves have run the request, so this one may have ended by itself.
            self._rates.record_loss(process, now)
        answered = self._answered.count(fingerprint, now)
        entry.add("", frozenset({process}), answered + attempts, now)
        if entry.is_quarantined:
            self._blamed.add(process)
        entry.trial_delay_seconds = 0.0

    def on_answered(self, fingerprint: bytes, now: float) -> None:
        """Records that a leaf has run a request and lives.

        Args:
            fingerprint: The request.
            now: Current clock, in seconds.
        """
        entry = self._entry_by_fingerprint.get(fingerprint)
        if entry is None:
            self._answered.record(fingerprint, now)
            return
        if entry.is_quarantined:
            if entry.last_loss_at <= entry.trial_at and now - entry.trial_at < _TRIAL_SECONDS:
                self._remove(fingerprint)
            return
        entry.answers += 1
        if entry.answers == 1:
            for process in entry.evidence_by_source.get("", _Evidence()).leaves:
                self._rates.record_loss(process, now)

    def on_ended_elsewhere(self, process: LeafProcess, now: float) -> None:
        """Records that a leaf has ended while this host had no request there.

        Args:
            process: The leaf.
            now: Current clock, in seconds.
        """
        self._rates.record_loss(process, now, seconds=_ELSEWHERE_SECONDS)

    def merge(self, evidence: QuarantineEvidence, *, source: str, now: float) -> bool:
        """Adds what another host has seen.

        Args:
            evidence: Losses under one fingerprint.
            source: Name of the other host.
            now: Current clock, in seconds.

        Returns:
            Whether this host learned anything.
        """
        if evidence.age_seconds >= ENTRY_SECONDS:
            return False
        entry = self._get_or_create_entry(evidence.fingerprint)
        at = now - evidence.age_seconds
        known = entry.evidence_by_source.get(source)
        leaves = frozenset(evidence.leaves)
        is_new = not leaves <= entry.leaves or (
            evidence.is_quarantined and not self._is_in_force(entry, now)
        )
        if known is None and len(entry.evidence_by_source) >= MAX_SOURCES:
            # The lost leaves matter, not the host that saw them: they are added to another source.
            source = next(name for name in reversed(entry.evidence_by_source) if name)
        if entry.last_loss_at < now - ENTRY_SECONDS:
            entry.trial_delay_seconds = self._trial_delay(evidence.fingerprint)
        entry.evidence_by_source.setdefault(
            "", _Evidence(attempts=self._answered.count(evidence.fingerprint, now))
        )
        entry.add(source, leaves, evidence.attempts, at)
        if entry.is_quarantined:
            self._blamed |= leaves
        elif (
            evidence.is_quarantined
            and len(entry.leaves) >= MAX_LOSSES
            and not self._is_doubtful(entry, now)
        ):
            self._put_into_quarantine(evidence.fingerprint, entry, source)
        return is_new

    # Decisions.

    def verdict(self, fingerprint: bytes, now: float) -> Verdict:
        """Decides about a request before anything is sent for it.

        A request that may be tried counts as the trial from then on.

        Args:
            fingerprint: The request.
            now: Current clock, in seconds.
        """
        entry = self._entry_by_fingerprint.get(fingerprint)
        if entry is None:
            return Verdict("allow")
        self.check(fingerprint, now)
        self._review(fingerprint, entry, now)
        if not entry.is_quarantined:
            if self._is_held(entry, now):
                return Verdict("refuse", entry.held_until - now)
            return Verdict("allow")
        trial_from = entry.last_loss_at + ENTRY_SECONDS + entry.trial_delay_seconds
        trial_from = max(trial_from, entry.trial_at + _TRIAL_SECONDS)
        if now < trial_from:
            return Verdict("refuse", trial_from - now)
        entry.trial_at = now
        return Verdict("trial")

    def standing(
        self, fingerprint: bytes, now: float, *, trial: bool
    ) -> Literal["free", "held", "stopped"]:
        """Returns what a request that is in progress may still send.

        Other requests with the same content, here or at other hosts, may have lost leaves since it
        began.

        Args:
            fingerprint: The request.
            now: Current clock, in seconds.
            trial: Whether the request is the trial of its fingerprint.

        Returns:
            free if calls may be sent, held if they may not be sent now, stopped if they never may.
        """
        entry = self._entry_by_fingerprint.get(fingerprint)
        if entry is None:
            return "free"
        self.check(fingerprint, now)
        if entry.is_quarantined:
            return "free" if trial and entry.last_loss_at <= entry.trial_at else "stopped"
        return "held" if self._is_held(entry, now) else "free"

    def check(self, fingerprint: bytes, now: float) -> bool:
        """Puts a fingerprint into quarantine if its losses are far above the general rate.

        Args:
            fingerprint: The request.
            now: Current clock, in seconds.

        Returns:
            Whether it has been put into quarantine by this call.
        """
        entry = self._entry_by_fingerprint.get(fingerprint)
        if entry is None or entry.is_quarantined:
            return False
        if not entry.check_at <= now < entry.last_loss_at + _REVIEW_SECONDS:
            return False
        entry.check_at = now + _CHECK_AGAIN_SECONDS
        if not self._is_excessive(entry, now):
            return False
        self._put_into_quarantine(fingerprint, entry, "")
        return True

    def evidence(self, fingerprint: bytes, now: float) -> QuarantineEvidence | None:
        """Returns the losses that this host has seen, for other hosts; None if there are none.

        Args:
            fingerprint: The request.
            now: Current clock, in seconds.
        """
        entry = self._entry_by_fingerprint.get(fingerprint)
        own = entry.evidence_by_source.get("") if entry is not None else None
        if entry is None or own is None or not own.leaves:
            return None
        return QuarantineEvidence(
            fingerprint=fingerprint,
            leaves=tuple(sorted(own.leaves)[:MAX_LEAVES]),
            attempts=own.attempts,
            is_quarantined=entry.is_quarantined,
            age_seconds=max(0.0, now - entry.last_loss_at),
        )

    def remove_expired(self, now: float) -> None:
        """Reviews recent entries, and removes those that nothing was lost under for long.

        Args:
            now: Current clock, in seconds.
        """
        for fingerprint, entry in list(self._entry_by_fingerprint.items()):
            factor = _KEPT_ENTRY_FACTOR if entry.is_quarantined else 1.0
            if now - entry.last_loss_at > factor * ENTRY_SECONDS:
                self._remove(fingerprint)
            else:
                self._review(fingerprint, entry, now)

    def _is_in_force(self, entry: _Entry, now: float) -> bool:
        return entry.is_quarantined and now < entry.last_loss_at + ENTRY_SECONDS

    def _is_excessive(self, entry: _Entry, now: float) -> bool:
        explained = self._blamed | entry.leaves
        return self._rates.is_excessive(
            len(entry.leaves), entry.attempts, explained=explained, now=now
        )

    def _is_held(self, entry: _Entry, now: float) -> bool:
        """Returns whether copies wait until it is known whether other leaves end as well."""
        return now < entry.held_until and self._is_excessive(entry, now)

    def _is_doubtful(self, entry: _Entry, now: float) -> bool:
        """Returns whether this host sees other leaves end, often enough to explain two losses."""
        if len(entry.leaves) > MAX_LOSSES:
            return False
        general = self._rates.count_losses(explained=self._blamed | entry.leaves, now=now)
        return general > 0 and not self._is_excessive(entry, now)

    def _review(self, fingerprint: bytes, entry: _Entry, now: float) -> None:
        """Ends a quarantine that rests on two losses if more leaves end for another reason.

        When leaves begin to end, the first content that loses two may be the first sign of it.
        """
        if not entry.is_quarantined or now >= entry.last_loss_at + _REVIEW_SECONDS:
            return
        if entry.trial_at == -math.inf and self._is_doubtful(entry, now):
            entry.is_quarantined = False
            self._update_blamed()
            _LOGGER.info("request no longer quarantined", fingerprint=fingerprint.hex())

    def _get_or_create_entry(self, fingerprint: bytes) -> _Entry:
        entry = self._entry_by_fingerprint.get(fingerprint)
        if entry is None:
            if len(self._entry_by_fingerprint) >= MAX_ENTRIES:
                self._make_room()
            entry = self._entry_by_fingerprint[fingerprint] = _Entry()
        self._entry_by_fingerprint.move_to_end(fingerprint)
        return entry

    def _make_room(self) -> None:
        """Removes the oldest entry that is not in quarantine, or the oldest one if all are."""
        oldest = next(iter(self._entry_by_fingerprint))
        for fingerprint, entry in self._entry_by_fingerprint.items():
            if not entry.is_quarantined:
                oldest = fingerprint
                break
        self._remove(oldest)

    def _put_into_quarantine(self, fingerprint: bytes, entry: _Entry, source: str) -> None:
        entry.is_quarantined = True
        self._blamed |= entry.leaves
        if self._on_quarantined is not None:
            self._on_quarantined(fingerprint, source)

    def _remove(self, fingerprint: bytes) -> None:
        entry = self._entry_by_fingerprint.pop(fingerprint)
        if entry.is_quarantined:
            self._update_blamed()

    def _update_blamed(self) -> None:
        self._blamed = set()
        for entry in self._entry_by_fingerprint.values():
            if entry.is_quarantined:
                self._blamed |= entry.leaves

    def _trial_delay(self, fingerprint: bytes) -> float:
        digest = hashlib.blake2b(self._host.encode() + fingerprint, digest_size=4).digest()
        return _MAX_TRIAL_DELAY_SECONDS * int.from_bytes(digest, "big") / 2**32
