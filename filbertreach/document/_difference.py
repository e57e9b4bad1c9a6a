"""Semantic differences between two documents."""

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
"""Kind of part and attribute of Environment, for the parts that are compared field by field."""


class Difference(NamedTuple):
    """One difference between two documents."""

    what: Literal["added", "removed", "changed"]
    """How the second document differs from the first."""
    part: str
    """Kind of part: service, leaf, shard, rank, pool, ..."""
    name: str
    """Name of the part; for a shard, map/shard."""
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
    """Compares the meaning of two documents.

    Args:
        before: First document.
        after: Second document.

    Returns:
        All differences, in the order of the parts of a document. Comments, the order of the text
        and generations are ignored.
    """
    differences: list[Difference] = []
    for field in ("name", "trial"):
        differences += _compare_values(
            "environment", before.name, field, getattr(before, field), getattr(after, field)
        )
    differences += _compare_fields("policy", "", before.policy._asdict(), after.policy._asdict())
    differences += _compare_services(before, after)
    differences += _compare_shards(before, after)
    for part, attribute in _NAMED_PARTS:
        differences += _compare_named_parts(
            part, getattr(before, attribute), getattr(after, attribute)
        )
    return differences


def _compare_services(before: Environment, after: Environment) -> Iterator[Difference]:
    first, second = before.services_by_name, after.services_by_name
    yield from _compare_names("service", first, second, lambda service: f"pool {service.pool.name}")
    for name in sorted(first.keys() & second.keys()):
        yield from _compare_values(
            "service", name, "pool", first[name].pool.name, second[name].pool.name
        )
    leaves_before, leaves_after = _leaf_fields_by_id(before), _leaf_fields_by_id(after)
    yield from _compare_names("leaf", leaves_before, leaves_after, _format_leaf)
    for name in sorted(leaves_before.keys() & leaves_after.keys()):
        yield from _compare_fields("leaf", name, leaves_before[name], leaves_after[name])


def _leaf_fields_by_id(environment: Environment) -> dict[str, dict[str, Any]]:
    return {
        leaf.id: {"service": service.name, **leaf._asdict()}
        for service in environment.services_by_name.values()
        for leaf in service.leaf_by_id.values()
    }


def _format_leaf(leaf: dict[str, Any]) -> str:
    return f"{leaf['service']} {leaf['address']} {leaf['region']}/{leaf['data_centre']}"


def _compare_shards(before: Environment, after: Environment) -> Iterator[Difference]:
    yield from _compare_names("map", before.maps_by_name, after.maps_by_name, lambda _: "")
    first, second = _service_by_shard(before), _service_by_shard(after)
    yield from _compare_names("shard", first, second, lambda service: f"on service {service}")
    for name in sorted(first.keys() & second.keys()):
        yield from _compare_values("shard", name, "service", first[name], second[name])


def _service_by_shard(environment: Environment) -> dict[str, str]:
    return {
        f"{map_name}/{shard}": service
        for map_name, shards in environment.maps_by_name.items()
        for shard, service in shards.items()
    }


def _compare_named_parts(
    part: str, before: Mapping[Any, Any], after: Mapping[Any, Any]
) -> Iterator[Difference]:
    yield from _compare_names(part, before, after, lambda _: "")
    for name in sorted(before.keys() & after.keys()):
        yield from _compare_fields(part, str(name), before[name]._asdict(), after[name]._asdict())


def _compare_names(
    part: str, before: Mapping[Any, Any], after: Mapping[Any, Any], describe: Any
) -> Iterator[Difference]:
    for name in sorted(after.keys() - before.keys()):
        yield Difference("added", part, str(name), "", "", describe(after[name]))
    for name in sorted(before.keys() - after.keys()):
        yield Difference("removed", part, str(name), "", describe(before[name]), "")


def _compare_fields(
    part: str, name: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[Difference]:
    for field, value in before.items():
        yield from _compare_values(part, name, field, value, after[field])


def _compare_values(
    part: str, name: str, field: str, before: Any, after: Any
) -> Iterator[Difference]:
    if isinstance(before, tuple) and isinstance(after, tuple):
        before, after = tuple(sorted(set(before))), tuple(sorted(set(after)))
    if before != after:
        yield Difference("changed", part, name, field, _format_value(before), _format_value(after))


def _format_value(value: Any) -> str:
    if isinstance(value, tuple):
        return " ".join(str(item) for item in value)
    if hasattr(value, "strftime"):
        return str(value.strftime("%Y-%m-%dT%H:%M:%SZ"))
    return str(value) if value != "" else "(empty)"
