"""Values that the command line keeps in the key-value service, and their keys."""

import datetime
import hashlib
import json
from collections.abc import Mapping
from typing import Any, TypedDict

_TIME_FORMAT = "%Y-%m-%dT%H:%M:%SZ"


class Proposal(TypedDict):
    """A document that the hosts are asked to prepare; bound to the lease of its command."""

    environment: str
    """Environment name."""
    generation: int
    """Generation that it becomes if it is accepted."""
    digest: str
    """Identity of this very proposal. It differs between two proposals of one text, so that a
    confirmation of an abandoned proposal never counts for a later one."""
    text: str
    """The document."""
    operator: str
    """Who proposes it."""
    reason: str
    """Why."""
    proposed_at: str
    """When, UTC, with microseconds."""
    request: str
    """Digest of operator, base generation and text: the same for a repeated command."""
    signature: str
    """HMAC of the other fields with the operator's key."""


class Accepted(Proposal):
    """A proposal that became the document of its environment."""

    accepted_at: str
    """When the compare-and-swap was sent, UTC."""
    hosts: list[str]
    """Hosts that had confirmed it."""


class TrialRecord(TypedDict):
    """A text was in force on every registered host of a trial environment."""

    environment: str
    """Trial environment."""
    generation: int
    """Generation there."""
    digest: str
    """Digest of the document without its [environment] section."""
    operator: str
    """Who had applied it."""
    accepted_at: str
    """When it was accepted, UTC."""
    in_force_at: str
    """When the last host had it in force, UTC."""
    hosts: list[str]
    """The hosts."""


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
    """Returns the prefix of the overrides that history keeps."""
    return f"filbertreach/environments/{environment}/history/override-"


def calls_prefix(environment: str) -> str:
    """Returns the prefix of all call records."""
    return f"filbertreach/environments/{environment}/calls/"


def trial_key(environment: str, digest: str) -> str:
    """Returns the key of a trial record."""
    return f"filbertreach/environments/{environment}/trial/{digest}"


def request_digest(*, operator: str, base: int, text: str) -> str:
    """Identifies a command, so that its repetition is recognised.

    Args:
        operator: Operator name.
        base: Accepted generation that the command started from.
        text: The document.

    Returns:
        SHA-256 in hexadecimal.
    """
    return _sha256([operator, base, text])


def proposal_digest(proposal: Mapping[str, Any]) -> str:
    """Identifies one proposal.

    Args:
        proposal: At least environment, generation, text, operator and proposed_at.

    Returns:
        SHA-256 in hexadecimal.
    """
    fields = ("environment", "generation", "text", "operator", "proposed_at")
    return _sha256([proposal[field] for field in fields])


def now_utc() -> datetime.datetime:
    """Returns the time of day, UTC; used for records that people read, never for waiting."""
    return datetime.datetime.now(datetime.UTC)


def format_time(time: datetime.datetime) -> str:
    """Formats a time as in 2026-12-05T02:00:00Z."""
    return time.strftime(_TIME_FORMAT)


def encode(record: Mapping[str, Any]) -> str:
    """Encodes a value for the key-value service."""
    return json.dumps(record, ensure_ascii=False, separators=(",", ":"))


def _sha256(parts: list[Any]) -> str:
    return hashlib.sha256(json.dumps(parts, separators=(",", ":")).encode()).hexdigest()
