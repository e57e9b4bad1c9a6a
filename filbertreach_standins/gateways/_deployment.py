"""A store, leaves and gateways before them."""

import contextlib
import json
import pathlib
import tempfile
import threading
from types import TracebackType
from typing import Any, NamedTuple, Self

import anyio.from_thread

from filbertreach_standins._process import StandInControl, StandInProcess
from filbertreach_standins.fleet import free_address
from filbertreach_standins.gateways._process import GatewayProcess
from filbertreach_standins.relay import Relay

FLOOR = 0.5
"""Least share of shards in an answer."""
TOP = 2
"""Records of an answer."""


class DeploymentOptions(NamedTuple):
    """Size of a deployment."""

    gateways: int = 3
    """Gateways; the first one is the seed."""
    shards: int = 2
    """Shards of the scatter routes; the service of the other routes is the first one."""
    leaves_per_shard: int = 2
    """Leaves of each shard."""
    bound_seconds: float = 5.0
    """Bound of configuration and draining."""
    slack: float = 12.0
    """Extra calls that a service may get in a window besides the ratio."""


def configuration(version: int, paths: list[str], *, shards: int) -> str:
    """Returns a configuration.

    Args:
        version: Its version.
        paths: Paths of its scatter routes; `/single/` may not be repeated and has one service.
        shards: Shards of the scatter routes.

    Returns:
        JSON text.
    """
    common = {"host": "shop.example", "timeout_ms": 2000, "objective_ms": 400}
    gather = {
        **common,
        "route_kind": "idempotent",
        "attempts": 2,
        "gather": [f"shard-{number}" for number in range(shards)],
        "top_k": TOP,
        "floor": FLOOR,
    }
    single = {
        **common,
        "name": "single",
        "prefix": "/single/",
        "route_kind": "non_idempotent",
        "attempts": 2,
        "service": "shard-0",
    }
    return json.dumps(
        {
            "version": version,
            "routes": [*({**gather, "name": path, "prefix": path} for path in paths), single],
            "services": [{"name": f"shard-{n}", "max_conns": 60} for n in range(shards)],
            "limits": {
                "max_header_bytes": 8192,
                "max_body_bytes": 65536,
                "header_timeout_ms": 5000,
                "idle_timeout_ms": 60000,
            },
        }
    )


class Deployment:
    """Starts everything and stops it; a context manager."""

    def __init__(self, *, options: DeploymentOptions, folder: pathlib.Path | None = None) -> None:
        """Prepares a deployment.

        Args:
            options: Its size.
            folder: Folder of settings and logs; a temporary one by default.
        """
        self.options = options
        self.gateways: list[GatewayProcess] = []
        self.leaves: list[StandInControl] = []
        self.relay_by_gateway: dict[str, Relay] = {}
        """Relay between a gateway and the store, by name of the gateway."""
        self.relay_by_leaf: dict[str, Relay] = {}
        """Relay before a leaf, by its id."""
        self.seed_relay: Relay | None = None
        """Relay before the gateway that is the seed of all."""
        self.paths: list[str] = []
        """Paths of the scatter routes of the newest version."""
        self._version = 1
        self._folder = folder
        self._stack = contextlib.ExitStack()
        self._lock = threading.Lock()
        self._store: StandInControl | None = None
        self._portal: anyio.from_thread.BlockingPortal | None = None

    @property
    def store(self) -> StandInControl:
        """Control of the store."""
        assert self._store is not None
        return self._store

    @property
    def folder(self) -> pathlib.Path:
        """Folder of settings and logs."""
        assert self._folder is not None
        return self._folder

    def __enter__(self) -> Self:
        """Starts the stand-ins and the gateways and waits until these are ready."""
        options = self.options
        if self._folder is None:
            self._folder = pathlib.Path(tempfile.mkdtemp(prefix="filbertreach-gateways-"))
        leaves = options.shards * options.leaves_per_shard
        with self._stack:
            process = self._stack.enter_context(
                StandInProcess(module="deployment", arguments=["--leaves", str(leaves)])
            )
            self._store, *self.leaves = process.controls
            self._portal = self._stack.enter_context(anyio.from_thread.start_blocking_portal())
            self.add_route("/v1/")
            for leaf in self.leaves:
                self.relay_by_leaf[leaf.id] = self._relay(leaf.address)
                self.list_leaf(leaf)
            seed = free_address()
            self.seed_relay = self._relay(seed)
            for number in range(options.gateways):
                name = f"host-{number}"
                relay = self.relay_by_gateway[name] = self._relay(self.store.address)
                gateway = GatewayProcess(
                    name=name,
                    folder=self.folder,
                    store=relay.address,
                    seeds=[self.seed_relay.address],
                    control=free_address() if number else seed,
                    bound_seconds=options.bound_seconds,
                    slack=options.slack,
                )
                self._stack.callback(gateway.kill)
                self.gateways.append(gateway)
                gateway.start()
            for gateway in self.gateways:
                gateway.wait_ready()
            self._stack = self._stack.pop_all()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stops everything."""
        self._stack.close()

    def _relay(self, target: str) -> Relay:
        assert self._portal is not None
        relay = Relay(target=target)
        self._stack.enter_context(self._portal.wrap_async_context_manager(relay))
        return relay

    def cut_connections(self, relay: Relay) -> None:
        """Closes the connections of a relay.

        Args:
            relay: The relay.
        """
        assert self._portal is not None
        self._portal.call(relay.close_connections)

    def write(self, text_by_key: dict[str, str | None]) -> None:
        """Writes keys of the store.

        Args:
            text_by_key: Values; None removes a key.
        """
        self.store.request("PUT", "/admin/keys", text_by_key)

    def add_route(self, path: str, *, others: dict[str, str | None] | None = None) -> None:
        """Writes a new version with one more scatter route.

        Args:
            path: Path of the route.
            others: Keys that are written before it.
        """
        with self._lock:
            self._version += 1
            text = configuration(self._version, [*self.paths, path], shards=self.options.shards)
            self.write({**(others or {}), "op/config": text})
            self.paths = [*self.paths, path]

    def shard_of(self, leaf: StandInControl) -> str:
        """Returns the service of a leaf.

        Args:
            leaf: The leaf.
        """
        return f"shard-{self.leaves.index(leaf) % self.options.shards}"

    def list_leaf(self, leaf: StandInControl, state: str = "ready") -> None:
        """Writes the entry of a leaf.

        Args:
            leaf: The leaf.
            state: ready or draining.
        """
        entry: dict[str, Any] = {
            "service": self.shard_of(leaf),
            "address": self.relay_by_leaf[leaf.id].address,
            "zone": "minho-1",
            "version": "1",
            "slots": 4,
            "state": state,
            "cold_left_ms": 0,
            "sequence": 1,
            "born": 1_000 + self.leaves.index(leaf),
        }
        self.write({f"servers/{leaf.id}": json.dumps(entry)})
