"""Properties of a simulated leaf."""

from typing import Any, NamedTuple

from filbertreach_standins._http import parse_address


class LeafDefinition(NamedTuple):
    """Properties of one simulated leaf; also the format of an entry in a configuration file."""

    leaf_id: str = "leaf"
    """Leaf id in the line printed when ready and in the counters."""
    listen: str = "127.0.0.1:0"
    """Address to listen on; port 0 lets the kernel choose."""
    slots: int = 2
    """Maximum number of calls that run concurrently."""
    connections: int = 12
    """Maximum number of open connections; administration connections do not count."""
    connect_cost_ms: float = 6.0
    """Additional delay of the first response on a connection, in milliseconds."""
    service_ms: float = 2.0
    """Time for which a call occupies its slot, in milliseconds; 0 answers immediately."""
    versions: tuple[int, ...] = (1,)
    """Index versions that are served."""
    shards: tuple[str, ...] = ("shard-0",)
    """Shards that are served."""
    queue: int = 64
    """Maximum number of calls that wait for a slot; further calls are shed."""
    seed: int = 0
    """Seed of random faults, combined with the leaf id."""
    rows: int = 4
    """Rows in an answer if the query does not set `rows`."""
    starting_seconds: float = 0.0
    """Time after the start during which calls are refused, in seconds."""
    cold_seconds: float = 0.0
    """Time after the starting phase during which calls are slower, in seconds."""
    cold_factor: float = 5.0
    """Factor applied to the time of a call while the leaf is cold."""


def definition_from_values(
    values: dict[str, Any], *, defaults: LeafDefinition | None = None
) -> LeafDefinition:
    """Validates and converts values and fills in defaults.

    Args:
        values: Value by field name; text is converted, and a list may be comma-separated text.
        defaults: Definition that supplies the fields not given.

    Returns:
        The definition.

    Raises:
        ValueError: A field does not exist or its value can't be converted.
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
