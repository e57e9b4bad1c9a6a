"""Differences between two documents by meaning."""

from collections.abc import Iterator, Mapping
from typing import Any, Literal, NamedTuple

from filbertreach.document._model import Environment

_NAMED_PARTS = (
    ("pool", "pools_by_name"),
    ("snapshot", "snapshots_by_version"),
    ("rank", "ranks_by_name"),
    ("application", "applications_by_name"),
    ("client", "clients_by_name"),
    ("change", "changes_by_name"),
)
"""Parts whose fields are compared one by one."""


class Difference(NamedTuple):
    """One thing that two documents say differently."""

    what: Literal["added", "removed", "changed"]
    """What the second document does to the first."""
    part: str
    """Kind of part: service, leaf, shard, rank, pool, ..."""
    name: str
    """Name of the part; a shard is map/shard."""
    field: str
    """Changed field, or an empty string."""
    before: str
    """Value in the first document, or an empty string."""
    after: str
    """Value in the second document, or an empty string."""

    def __str__(self) -> str:
        """Formats the difference as one line."""
        if self.what == "changed":
            return f"changed {self.part} {self.name}: {self.field} {self.before} -> {self.after}"
        value = self.after or self.before
        return f"{self.what} {self.part} {self.name}" + (f": {value}" if value else "")


def diff_documents(before: Environment, after: Environment) -> list[Difference]:
    """Compares two documents by meaning.

    Args:
        before: First document.
        after: Second document.

    Returns:
        Every difference, in the order of the parts of a document. Empty if both mean the same,
        whatever their comments, order and generations.
    """
    found: list[Difference] = []
    for field in ("name", "trial"):
        found += _changed(
            "environment", before.name, field, getattr(before, field), getattr(after, field)
        )
    found += _fields("policy", "", before.policy._asdict(), after.policy._asdict())
    found += _services(before, after)
    found += _shards(before, after)
    for part, attribute in _NAMED_PARTS:
        found += _named(part, getattr(before, attribute), getattr(after, attribute))
    return found


def _services(before: Environment, after: Environment) -> Iterator[Difference]:
    first, second = before.services_by_name, after.services_by_name
    yield from _membership("service", first, second, lambda service: f"pool {service.pool.name}")
    for name in sorted(first.keys() & second.keys()):
        yield from _changed("service", name, "pool", first[name].pool.name, second[name].pool.name)
    leaves_before, leaves_after = _leaves(before), _leaves(after)
    yield from _membership("leaf", leaves_before, leaves_after, _leaf_text)
    for name in sorted(leaves_before.keys() & leaves_after.keys()):
        yield from _fields("leaf", name, leaves_before[name], leaves_after[name])


def _leaves(environment: Environment) -> dict[str, dict[str, Any]]:
    return {
        leaf.id: {"service": service.name, **leaf._asdict()}
        for service in environment.services_by_name.values()
        for leaf in service.leaf_by_id.values()
    }


def _leaf_text(leaf: dict[str, Any]) -> str:
    return f"{leaf['service']} {leaf['address']} {leaf['region']}/{leaf['data_centre']}"


def _shards(before: Environment, after: Environment) -> Iterator[Difference]:
    yield from _membership("map", before.maps_by_name, after.maps_by_name, lambda _: "")
    first, second = _shard_owners(before), _shard_owners(after)
    yield from _membership("shard", first, second, lambda service: f"on service {service}")
    for name in sorted(first.keys() & second.keys()):
        yield from _changed("shard", name, "service", first[name], second[name])


def _shard_owners(environment: Environment) -> dict[str, str]:
    return {
        f"{map_name}/{shard}": service
        for map_name, shards in environment.maps_by_name.items()
        for shard, service in shards.items()
    }


def _named(part: str, before: Mapping[Any, Any], after: Mapping[Any, Any]) -> Iterator[Difference]:
    yield from _membership(part, before, after, lambda _: "")
    for name in sorted(before.keys() & after.keys()):
        yield from _fields(part, str(name), before[name]._asdict(), after[name]._asdict())


def _membership(
    part: str, before: Mapping[Any, Any], after: Mapping[Any, Any], describe: Any
) -> Iterator[Difference]:
    for name in sorted(after.keys() - before.keys()):
        yield Difference("added", part, str(name), "", "", describe(after[name]))
    for name in sorted(before.keys() - after.keys()):
        yield Difference("removed", part, str(name), "", describe(before[name]), "")


def _fields(
    part: str, name: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[Difference]:
    for field, value in before.items():
        yield from _changed(part, name, field, value, after[field])


def _changed(part: str, name: str, field: str, before: Any, after: Any) -> Iterator[Difference]:
    if isinstance(before, tuple) and isinstance(after, tuple):
        before, after = tuple(sorted(set(before))), tuple(sorted(set(after)))
    if before != after:
        yield Difference("changed", part, name, field, _text(before), _text(after))


def _text(value: Any) -> str:
    if isinstance(value, tuple):
        return " ".join(str(item) for item in value)
    if hasattr(value, "strftime"):
        return str(value.strftime("%Y-%m-%dT%H:%M:%SZ"))
    return str(value) if value != "" else "(empty)"
