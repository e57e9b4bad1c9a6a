"""Properties of a simulated backend server."""

from typing import Any, NamedTuple

from filbertreach_standins._http import parse_address


class LeafDefinition(NamedTuple):
    """One simulated backend server; also the form of an entry in a configuration file."""

    leaf_id: str = "leaf"
    """Name in the ready line and the counters."""
    listen: str = "127.0.0.1:0"
    """Address to listen on; port 0 lets the kernel choose."""
    slots: int = 2
    """Calls that run at once."""
    connections: int = 12
    """Connections that are accepted; administration is not counted."""
    connect_cost_ms: float = 6.0
    """Delay of the first response on a connection, in milliseconds."""
    service_ms: float = 2.0
    """Time that a call takes in its slot, in milliseconds; 0 answers at once."""
    versions: tuple[int, ...] = (1,)
    """Index versions that are served."""
    shards: tuple[str, ...] = ("shard-0",)
    """Shards that are served."""
    queue: int = 64
    """Calls that wait for a slot; more are shed."""
    seed: int = 0
    """Seed of random faults; the leaf id is mixed in."""
    rows: int = 4
    """Rows of an answer when the query doesn't ask for a number."""
    starting_seconds: float = 0.0
    """Time after the start during which calls are refused."""
    cold_seconds: float = 0.0
    """Time after the starting phase during which calls are slower."""
    cold_factor: float = 5.0
    """How many times slower calls are while the leaf is cold."""


def definition_from_values(
    values: dict[str, Any], *, defaults: LeafDefinition | None = None
) -> LeafDefinition:
    """Checks names and types and fills in defaults.

    Args:
        values: Value by field name; text is converted, lists may be separated by commas.
        defaults: Source of fields that are not given.

    Returns:
        The definition.

    Raises:
        ValueError: A field does not exist or has a value that can't be converted.
    """
    defaults = defaults or LeafDefinition()
    converted: dict[str, Any] = {}
    for name, value in values.items():
        if name not in LeafDefinition._fields:
            known = ", ".join(LeafDefinition._fields)
            raise ValueError(f"leaf property {name!r} does not exist; known properties: {known}")
        default = getattr(defaults, name)
        if isinstance(default, tuple):
            items = value.split(",") if isinstance(value, str) else value
            item_type = int if name == "versions" else str
            converted[name] = tuple(item_type(item) for item in items if item != "")
        else:
            converted[name] = type(default)(value)
    definition = defaults._replace(**converted)
    parse_address(definition.listen)
    return definition
