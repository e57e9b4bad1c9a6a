"""Accepted and proposed documents of one host."""

import logging
import math
from typing import NamedTuple

from returns.result import Success

from filbertreach.agent._values import DocumentValue, sha256_hex
from filbertreach.document import parse_document

NEWS_SECONDS = 5.0
"""Age of the last news of the key-value service after which an undecided proposal counts."""
_CLEARING_MARGIN_SECONDS = 1.0
"""A peer's news must be newer than a proposal by this much to show that it was withdrawn; covers
the time that the peer's message was under way."""
_REMEMBERED_CHECKS = 16

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
    """A proposed document that may have been accepted meanwhile."""

    generation: int
    """Generation that it would have."""
    digest: str
    """Digest of the text if this host has validated it, else an empty string."""
    known_at: float
    """Time of the news that showed it, in seconds."""


class DocumentTable:
    """Monotone accepted documents, undecided proposals and the age of news about both."""

    def __init__(self) -> None:
        """Starts without documents and without news."""
        self.accepted_by_environment: dict[str, AcceptedDocument] = {}
        self.proposal_by_environment: dict[str, Proposal] = {}
        self.news_at = -math.inf
        """Time as of which nothing newer than what is known here was accepted or proposed."""
        self._is_usable_by_digest: dict[tuple[str, str], bool] = {}

    @property
    def generations(self) -> dict[str, int]:
        """Accepted generation by environment."""
        return {
            name: document.generation for name, document in self.accepted_by_environment.items()
        }

    def generation(self, environment: str) -> int:
        """Returns the accepted generation of an environment, 0 for none."""
        document = self.accepted_by_environment.get(environment)
        return 0 if document is None else document.generation

    def accept(self, *, environment: str, generation: int, text: str) -> bool:
        """Installs an accepted document unless a newer or the same one is installed.

        Args:
            environment: Environment name.
            generation: Accepted generation.
            text: INI text.

        Returns:
            Whether the document is new.
        """
        if generation <= self.generation(environment):
            return False
        if not self._check(environment, generation, text):
            return False
        document = AcceptedDocument(environment, generation, text)
        self.accepted_by_environment[environment] = document
        proposal = self.proposal_by_environment.get(environment)
        if proposal is not None and proposal.generation <= generation:
            del self.proposal_by_environment[environment]
        return True

    def propose(self, *, value: DocumentValue, now: float) -> bool:
        """Validates a proposal and holds it until it is decided.

        Args:
            value: Value of `/proposed`.
            now: Time of the reading, in seconds.

        Returns:
            Whether the proposal is new here.
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
        is_usable = self._check(environment, generation, value["text"])
        digest = value["digest"] if is_usable else ""
        self.proposal_by_environment[environment] = Proposal(generation, digest, now)
        return True

    def withdraw(self, *, environment: str) -> bool:
        """Notes that the key-value service holds no proposal; returns whether there was one."""
        return self.proposal_by_environment.pop(environment, None) is not None

    @property
    def prepared(self) -> dict[str, str]:
        """Digest by environment of the proposals that this host can install."""
        return {
            name: proposal.digest
            for name, proposal in self.proposal_by_environment.items()
            if proposal.digest
        }

    def hear(
        self, *, generations: dict[str, int], proposals: dict[str, int], news_at: float
    ) -> list[str]:
        """Takes over what a peer knows of the key-value service.

        The peer's news count here only once its accepted documents are installed here.

        Args:
            generations: Accepted generation by environment.
            proposals: Generation of an undecided proposal by environment.
            news_at: Time of the peer's news, -inf for none.

        Returns:
            Environments of which the peer has a newer document.
        """
        lacking = [name for name, number in generations.items() if number > self.generation(name)]
        for name, generation in proposals.items():
            known = self.proposal_by_environment.get(name)
            if generation > self.generation(name) and known is None and news_at > self.news_at:
                self.proposal_by_environment[name] = Proposal(generation, "", news_at)
        if lacking:
            return lacking
        for name, proposal in list(self.proposal_by_environment.items()):
            if name not in proposals and news_at > proposal.known_at + _CLEARING_MARGIN_SECONDS:
                del self.proposal_by_environment[name]
        self.news_at = max(self.news_at, news_at)
        return []

    def usable(self, *, environment: str, now: float, reaches_majority: bool) -> bool:
        """Returns whether the host may serve an environment.

        Args:
            environment: Environment name.
            now: Time in seconds.
            reaches_majority: Whether this host reaches a majority of the registered hosts.
        """
        if environment not in self.proposal_by_environment:
            return True
        return reaches_majority or now - self.news_at <= NEWS_SECONDS

    def _check(self, environment: str, generation: int, text: str) -> bool:
        """Validates a text once: 1 MB takes 0.8 s, and the same text is proposed and accepted."""
        key = (environment, sha256_hex(text))
        known = self._is_usable_by_digest.pop(key, None)
        if known is None:
            known = _is_usable(environment, generation, text)
        self._is_usable_by_digest[key] = known
        while len(self._is_usable_by_digest) > _REMEMBERED_CHECKS:
            del self._is_usable_by_digest[next(iter(self._is_usable_by_digest))]
        return known


def _is_usable(environment: str, generation: int, text: str) -> bool:
    result = parse_document(text=text, source=environment, generation=generation)
    if not isinstance(result, Success):
        _LOGGER.error("generation %d of %s refused: %s", generation, environment, result.failure())
        return False
    name = result.unwrap().name
    if name != environment:
        _LOGGER.error("generation %d of %s refused: it names %s", generation, environment, name)
        return False
    return True
