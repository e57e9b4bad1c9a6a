"""Records that the command line stores in the key-value service, and their keys."""

import datetime
import hashlib
import json
from collections.abc import Mapping
from typing import Any, TypedDict

_TIME_FORMAT = "%Y-%m-%dT%H:%M:%SZ"


class Proposal(TypedDict):
    """A document that the hosts are asked to prepare; bound to the lease of the command."""

    environment: str
    """Environment name."""
    generation: int
    """Generation of the document if it is accepted."""
    digest: str
    """Identifier of this proposal. Two proposals of the same text have different digests, so that a
    confirmation of an abandoned proposal never counts for a later one."""
    text: str
    """Text of the document."""
    operator: str
    """Operator who proposes it."""
    reason: str
    """Reason given by the operator."""
    proposed_at: str
    """Time of the proposal, UTC, with microseconds."""
    request: str
    """Digest of operator, base generation and text: the same for a repeated command."""
    signature: str
    """HMAC of the other fields with the operator's key."""


class Accepted(Proposal):
    """A proposal that was accepted as the document of its environment."""

    accepted_at: str
    """Time when the compare-and-swap was sent, UTC."""
    hosts: list[str]
    """Hosts that had confirmed it."""


class TrialRecord(TypedDict):
    """Evidence that a document was in force on every registered host of a trial environment."""

    environment: str
    """Name of the trial environment."""
    generation: int
    """Generation in the trial environment."""
    digest: str
    """Digest of the document without its [environment] section."""
    operator: str
    """Operator who applied it."""
    accepted_at: str
    """Time of acceptance, UTC."""
    in_force_at: str
    """Time when the last host had it in force, UTC."""
    hosts: list[str]
    """Hosts that had it in force."""


def accepted_key(environment: str) -> str:
    """Returns the key of the accepted document."""
    return f"filbertreach/environments/{environment}/accepted"


def proposed_key(environment: str) -> str:
    """Returns the key of the proposed document."""
    return f"filbertreach/environments/{environment}/proposed"


def history_key(environment: str, generation: int) -> str:
    """Returns the key of an accepted generation."""
    return f"filbertreach/environments/{environment}/history/{generation}"


def overrides_prefix(environment: str) -> str:
    """Returns the key prefix of the overrides in history."""
    return f"filbertreach/environments/{environment}/history/override-"


def calls_prefix(environment: str) -> str:
    """Returns the key prefix of all call records."""
    return f"filbertreach/environments/{environment}/calls/"


def trial_key(environment: str, digest: str) -> str:
    """Returns the key of a trial record."""
    return f"filbertreach/environments/{environment}/trial/{digest}"


def request_digest(*, operator: str, base: int, text: str) -> str:
    """Returns the digest by which a repeated command is recognised.

    Args:
        operator: Operator name.
        base: Accepted generation that the command started from.
        text: Text of the document.

    Returns:
        SHA-256 in hexadecimal.
    """
    return _sha256([operator, base, text])


def proposal_digest(proposal: Mapping[str, Any]) -> str:
    """Returns the digest that identifies one proposal.

    Args:
        proposal: Contains at least environment, generation, text, operator and proposed_at.

    Returns:
        SHA-256 in hexadecimal.
    """
    fields = ("environment", "generation", "text", "operator", "proposed_at")
    return _sha256([proposal[field] for field in fields])


def now_utc() -> datetime.datetime:
    """Returns the wall-clock time, UTC, for stored timestamps; never used to measure waits."""
    return datetime.datetime.now(datetime.UTC)


def format_time(time: datetime.datetime) -> str:
    """Formats a UTC time, for example 2026-12-05T02:00:00Z."""
    return time.strftime(_TIME_FORMAT)


def encode(record: Mapping[str, Any]) -> str:
    """Encodes a record as JSON for the key-value service."""
    return json.dumps(record, ensure_ascii=False, separators=(",", ":"))


def _sha256(parts: list[Any]) -> str:
    return hashlib.sha256(json.dumps(parts, separators=(",", ":")).encode()).hexdigest()
