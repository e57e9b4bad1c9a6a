"""Digests of the meaning of documents, independent of comments, order and number formats."""

import hashlib
import json
from typing import Any

from filbertreach.document._model import Change, Environment


def digest_document(environment: Environment) -> str:
    """Computes the digest of a document without its [environment] section and its generation.

    A trial environment and the production environment that adopts its text differ only in that
    section, so both have the same digest.

    Args:
        environment: A parsed document.

    Returns:
        SHA-256 in hexadecimal, 64 characters.
    """
    return _sha256_hex(_document_parts(environment))


def digest_change(change: Change) -> str:
    """Computes the digest of a planned change; a call record identifies the announced change by it.

    Args:
        change: The change.

    Returns:
        SHA-256 in hexadecimal, 64 characters.
    """
    return _sha256_hex(
        {
            "name": change.name,
            "kind": change.kind,
            "subject": change.subject,
            "target": change.target,
            "starts": change.starts.isoformat(),
            "ends": change.ends.isoformat(),
        }
    )


def _document_parts(environment: Environment) -> dict[str, Any]:
    services = {
        name: {
            "pool": service.pool.name,
            "leaves": {leaf.id: leaf._asdict() for leaf in service.leaf_by_id.values()},
        }
        for name, service in environment.services_by_name.items()
    }
    return {
        "policy": environment.policy._asdict(),
        "pools": _fields_by_name(environment.pools_by_name),
        "services": services,
        "maps": environment.maps_by_name,
        "snapshots": {
            str(version): snapshot._asdict()
            for version, snapshot in environment.snapshots_by_version.items()
        },
        "ranks": _fields_by_name(environment.ranks_by_name),
        "applications": _fields_by_name(environment.applications_by_name),
        "clients": _fields_by_name(environment.clients_by_name),
        "changes": {
            name: digest_change(change) for name, change in environment.changes_by_name.items()
        },
    }


def _fields_by_name(parts: Any) -> dict[str, Any]:
    return {name: part._asdict() for name, part in parts.items()}


def _normalised(value: Any) -> Any:
    """Normalises a value: 1.0 becomes 1, and patterns, which have no order, are sorted."""
    if isinstance(value, dict):
        return {key: _normalised(item) for key, item in value.items()}
    if isinstance(value, tuple | list):
        return sorted(set(value))
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return value


def _sha256_hex(value: dict[str, Any]) -> str:
    text = json.dumps(_normalised(value), sort_keys=True, separators=(",", ":"), ensure_ascii=True)
    return hashlib.sha256(text.encode()).hexdigest()
