"""Data model of an environment document."""

import datetime
import fnmatch
from typing import Literal, NamedTuple


class Pool(NamedTuple):
    """Properties shared by the leaves of several services."""

    name: str
    """Pool name."""
    slots: int
    """Calls that a leaf executes concurrently."""
    connections: int
    """Connections that a leaf accepts."""
    connect_cost_ms: float
    """Cost of opening a connection, in milliseconds."""


class Leaf(NamedTuple):
    """A backend server that holds replicas of the shards of a service."""

    id: str
    """Leaf id, unique in the document."""
    address: str
    """ip:port of its HTTP interface."""
    region: str
    """Region."""
    data_centre: str
    """Data centre."""


class Service(NamedTuple):
    """A group of leaves that hold replicas of the same shards."""

    name: str
    """Service name."""
    pool: Pool
    """Properties of its leaves."""
    leaf_by_id: dict[str, Leaf]
    """Leaves of the service, in the order of the text."""


class Snapshot(NamedTuple):
    """An index version."""

    version: int
    """Index version."""
    map_name: str
    """Partition map of this version."""
    state: Literal["loading", "serving", "retired"]
    """New queries read only serving versions."""


class Rank(NamedTuple):
    """A class of queries with its priority and latency target."""

    name: str
    """Rank name."""
    priority: int
    """0 is the most urgent."""
    target_ms: float
    """Target for the 99th percentile of latency, in milliseconds."""
    worth: float
    """Relative value of one answer in time."""
    kept_share: float
    """Share of a leaf that the rank keeps while other ranks overload it, 0 to 1."""


class Application(NamedTuple):
    """An application and what it may query."""

    name: str
    """Application name."""
    shard_patterns: tuple[str, ...]
    """Shell patterns of the shard names that it may query."""
    ranks: tuple[str, ...]
    """Ranks that it may use."""
    client_patterns: tuple[str, ...]
    """Shell patterns of the client names for which it may query."""
    token_sha256: str
    """SHA-256 of its bearer token in hexadecimal, or an empty string."""
    repeat_protection: Literal["platform", "none"]
    """Whether the ids of non-idempotent requests are claimed in the key-value service."""

    def may_query_shard(self, shard: str) -> bool:
        """Returns whether the application may query the shard."""
        return any(fnmatch.fnmatchcase(shard, pattern) for pattern in self.shard_patterns)

    def may_query_for(self, client: str) -> bool:
        """Returns whether the application may query for the client."""
        return any(fnmatch.fnmatchcase(client, pattern) for pattern in self.client_patterns)


class Client(NamedTuple):
    """A client to whom a phone call before planned slowdowns was promised."""

    name: str
    """Client name."""
    contact: str
    """Whom to call."""
    share: float
    """Weight of the client inside its rank."""


class Change(NamedTuple):
    """A planned change."""

    name: str
    """Change name."""
    kind: str
    """What is changed, for example drain_leaf."""
    subject: str
    """Leaf, host, shard, version, rank or pool that is changed."""
    target: str
    """New value, where the kind needs one."""
    starts: datetime.datetime
    """Start, UTC."""
    ends: datetime.datetime
    """End, UTC."""


class Policy(NamedTuple):
    """Policies on coverage, hedging and retries."""

    wait: Literal["deadline", "complete"]
    """deadline: answer in time with the shards at hand; complete: wait for all shards."""
    least_coverage: float
    """Smallest share of shards that an answer must include, 0 to 1."""
    hedge_budget: float
    """Most extra calls to leaves (hedges and retries), as a share of first calls."""
    hedge_quantile: float
    """Quantile of the observed latency after which a hedged call is sent."""
    max_attempts: int
    """Most calls to leaves for one shard of one query."""
    slowdown_bound: float
    """Ratio of the p99 to the normal p99 above which a client counts as slowed down."""


class Environment(NamedTuple):
    """One generation of an environment document."""

    name: str
    """Environment name."""
    trial: str
    """Trial environment in which a text must have run first, or an empty string."""
    generation: int
    """Accepted generation; 0 for a text that was not accepted."""
    policy: Policy
    """Policies on coverage, hedging and retries."""
    pools_by_name: dict[str, Pool]
    """Pools."""
    services_by_name: dict[str, Service]
    """Services."""
    maps_by_name: dict[str, dict[str, str]]
    """Partition maps: service name by shard name, by map name."""
    snapshots_by_version: dict[int, Snapshot]
    """Snapshots."""
    ranks_by_name: dict[str, Rank]
    """Ranks."""
    applications_by_name: dict[str, Application]
    """Applications."""
    clients_by_name: dict[str, Client]
    """Clients."""
    changes_by_name: dict[str, Change]
    """Planned changes."""
