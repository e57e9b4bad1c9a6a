"""Digests of documents by meaning: comments, order and spelling of numbers do not count."""

import hashlib
import json
from typing import Any

from filbertreach.document._model import Change, Environment


def digest_document(environment: Environment) -> str:
    """Digests everything of a document except its [environment] section and its generation.

    A trial environment and the production environment that takes over its text differ in exactly
    that section, so both have the same digest.

    Args:
        environment: A parsed document.

    Returns:
        SHA-256 in hexadecimal, 64 characters.
    """
    return _digest(_document_parts(environment))


def digest_change(change: Change) -> str:
    """Digests a planned change, so that a call record names the very change that was announced.

    Args:
        change: The change.

    Returns:
        SHA-256 in hexadecimal, 64 characters.
    """
    return _digest(
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
        "pools": _fields(environment.pools_by_name),
        "services": services,
        "maps": environment.maps_by_name,
        "snapshots": {
            str(version): snapshot._asdict()
            for version, snapshot in environment.snapshots_by_version.items()
        },
        "ranks": _fields(environment.ranks_by_name),
        "applications": _fields(environment.applications_by_name),
        "clients": _fields(environment.clients_by_name),
        "changes": {
            name: digest_change(change) for name, change in environment.changes_by_name.items()
        },
    }


def _fields(parts: Any) -> dict[str, Any]:
    return {name: part._asdict() for name, part in parts.items()}


def _normal(value: Any) -> Any:
    """Makes equal meanings equal: 1 and 1.0 are the same, patterns have no order."""
    if isinstance(value, dict):
        return {key: _normal(item) for key, item in value.items()}
    if isinstance(value, tuple | list):
        return sorted(set(value))
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return value


def _digest(value: dict[str, Any]) -> str:
    text = json.dumps(_normal(value), sort_keys=True, separators=(",", ":"), ensure_ascii=True)
    return hashlib.sha256(text.encode()).hexdigest()
