"""Accepted and proposed documents as known to one host."""

import logging
import math
from typing import NamedTuple

from returns.result import Success

from filbertreach.agent._values import DocumentValue, sha256_hex
from filbertreach.document import parse_document

MAX_STALENESS_SECONDS = 5.0
"""Maximum age of the last confirmed state of the key-value service. Beyond it, an environment with
an undecided proposal is usable only on a host that reaches a majority."""
_WITHDRAWAL_MARGIN_SECONDS = 1.0
"""Margin by which a peer's state must be newer than a proposal to show that it was withdrawn;
covers the transit time of the peer's message."""
_MAX_CACHED_CHECKS = 16

_LOGGER = logging.getLogger(__name__)


class AcceptedDocument(NamedTuple):
    """An accepted document."""

    environment: str
    """Environment name."""
    generation: int
    """Generation."""
    text: str
    """INI text."""


class Proposal(NamedTuple):
    """A proposed document whose acceptance is undecided; it may have been accepted already."""

    generation: int
    """Generation that the document gets if it is accepted."""
    digest: str
    """Digest of the text if this host has validated it; otherwise empty."""
    known_at: float
    """Time as of which the proposal was known to exist, in seconds."""


class DocumentTable:
    """Accepted documents, undecided proposals, and the time as of which both are confirmed.

    The accepted generation of an environment never decreases.
    """

    def __init__(self) -> None:
        """Creates an empty table whose state was never confirmed."""
        self.accepted_by_environment: dict[str, AcceptedDocument] = {}
        self.proposal_by_environment: dict[str, Proposal] = {}
        self.fresh_as_of = -math.inf
        """Time as of which no newer document than the known ones was accepted or proposed, in
        seconds; -inf if this was never confirmed."""
        self._is_valid_by_digest: dict[tuple[str, str], bool] = {}

    @property
    def generations(self) -> dict[str, int]:
        """Accepted generation by environment."""
        return {
            name: document.generation for name, document in self.accepted_by_environment.items()
        }

    def generation(self, environment: str) -> int:
        """Returns the accepted generation of an environment; 0 if there is none."""
        document = self.accepted_by_environment.get(environment)
        return 0 if document is None else document.generation

    def accept(self, *, environment: str, generation: int, text: str) -> bool:
        """Installs an accepted document unless its generation or a higher one is installed.

        Args:
            environment: Environment name.
            generation: Accepted generation.
            text: INI text.

        Returns:
            Whether the document was installed.
        """
        if generation <= self.generation(environment):
            return False
        if not self._validate(environment, generation, text):
            return False
        document = AcceptedDocument(environment, generation, text)
        self.accepted_by_environment[environment] = document
        proposal = self.proposal_by_environment.get(environment)
        if proposal is not None and proposal.generation <= generation:
            del self.proposal_by_environment[environment]
        return True

    def propose(self, *, value: DocumentValue, now: float) -> bool:
        """Validates a proposal and keeps it until it is accepted or withdrawn.

        Args:
            value: Value of `/proposed`.
            now: Time of the read, in seconds.

        Returns:
            Whether the proposal was not known before.
        """
        environment, generation = value["environment"], value["generation"]
        if generation <= self.generation(environment):
            return False
        known = self.proposal_by_environment.get(environment)
        if known is not None and known.digest == value["digest"]:
            self.proposal_by_environment[environment] = known._replace(
                generation=generation, known_at=max(now, known.known_at)
            )
            return known.generation != generation
        is_valid = self._validate(environment, generation, value["text"])
        digest = value["digest"] if is_valid else ""
        self.proposal_by_environment[environment] = Proposal(generation, digest, now)
        return True

    def withdraw(self, *, environment: str) -> bool:
        """Removes the proposal of an environment; returns whether there was one."""
        return self.proposal_by_environment.pop(environment, None) is not None

    @property
    def prepared(self) -> dict[str, str]:
        """Digest by environment of the proposals that this host has validated."""
        return {
            name: proposal.digest
            for name, proposal in self.proposal_by_environment.items()
            if proposal.digest
        }

    def merge_peer_state(
        self, *, generations: dict[str, int], proposals: dict[str, int], fresh_as_of: float
    ) -> list[str]:
        """Merges what a peer knows of the key-value service.

        The time of the peer's state is adopted only once the documents that the peer has accepted
        are installed on this host.

        Args:
            generations: Accepted generation by environment.
            proposals: Generation of an undecided proposal by environment.
            fresh_as_of: Time as of which the peer's state is confirmed, in seconds; -inf if never.

        Returns:
            Environments for which the peer has a newer document.
        """
        missing = [name for name, number in generations.items() if number > self.generation(name)]
        for name, generation in proposals.items():
            known = self.proposal_by_environment.get(name)
            if (
                generation > self.generation(name)
                and known is None
                and fresh_as_of > self.fresh_as_of
            ):
                self.proposal_by_environment[name] = Proposal(generation, "", fresh_as_of)
        if missing:
            return missing
        for name, proposal in list(self.proposal_by_environment.items()):
            if (
                name not in proposals
                and fresh_as_of > proposal.known_at + _WITHDRAWAL_MARGIN_SECONDS
            ):
                del self.proposal_by_environment[name]
        self.fresh_as_of = max(self.fresh_as_of, fresh_as_of)
        return []

    def usable(self, *, environment: str, now: float, reaches_majority: bool) -> bool:
        """Returns whether the host may serve an environment.

        Args:
            environment: Environment name.
            now: Time in seconds.
            reaches_majority: Whether this host reaches more than half of the registered hosts.
        """
        if environment not in self.proposal_by_environment:
            return True
        return reaches_majority or now - self.fresh_as_of <= MAX_STALENESS_SECONDS

    def _validate(self, environment: str, generation: int, text: str) -> bool:
        """Validates a text and caches the result.

        Validating 1 MB takes 0.8 s, and the same text is proposed and then accepted.
        """
        key = (environment, sha256_hex(text))
        known = self._is_valid_by_digest.pop(key, None)
        if known is None:
            known = _is_valid(environment, generation, text)
        self._is_valid_by_digest[key] = known
        while len(self._is_valid_by_digest) > _MAX_CACHED_CHECKS:
            del self._is_valid_by_digest[next(iter(self._is_valid_by_digest))]
        return known


def _is_valid(environment: str, generation: int, text: str) -> bool:
    result = parse_document(text=text, source=environment, generation=generation)
    if not isinstance(result, Success):
        _LOGGER.error("rejected generation %d of %s: %s", generation, environment, result.failure())
        return False
    name = result.unwrap().name
    if name != environment:
        _LOGGER.error(
            "rejected generation %d of %s: the document names environment %s",
            generation,
            environment,
            name,
        )
        return False
    return True
