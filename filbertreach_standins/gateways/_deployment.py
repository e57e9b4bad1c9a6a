"""A deployment of a store, leaves and gateways in front of them."""

import collections
import contextlib
import json
import pathlib
import tempfile
import threading
from types import TracebackType
from typing import Any, NamedTuple, Self

import anyio.from_thread

from filbertreach_standins._process import StandInControl, StandInProcess
from filbertreach_standins.gateways._accounts import (
    COLD_PER_SECOND,
    FIRST_DATA_CENTRE,
    SECOND_DATA_CENTRE,
    tenants_json,
)
from filbertreach_standins.gateways._process import GatewayProcess
from filbertreach_standins.ports import free_address
from filbertreach_standins.relay import Relay

FLOOR = 0.5
"""Smallest share of shards that a successful response may cover."""
TOP_K = 2
"""Number of records in a response."""


class DeploymentOptions(NamedTuple):
    """Size of a deployment."""

    gateways: int = 3
    """Number of gateways; the first one is the seed of all."""
    shards: int = 2
    """Shards of the scatter routes; the single route has the first one as its service."""
    leaves_per_shard: int = 2
    """Leaves of each shard."""
    bound_seconds: float = 5.0
    """Time within which configuration and draining must take effect."""
    slack: float = 12.0
    """Retries and hedges that a service may get per window in addition to the ratio."""
    policy: str = ""
    """Text of the policy file of the gateways; empty for none."""
    accounts: bool = False
    """Whether there are client accounts, a second data centre and limits of cold leaves."""


def configuration_json(
    version: int, paths: list[str], *, shards: int, accounts: bool = False
) -> str:
    """Returns a gateway configuration with scatter routes and the non-idempotent route `/single/`.

    Args:
        version: Version of the configuration.
        paths: Path prefixes of the scatter routes.
        shards: Number of shards of the scatter routes.
        accounts: Whether it contains client accounts and limits of cold leaves.

    Returns:
        JSON text.
    """
    common = {"host": "shop.example", "timeout_ms": 2000, "objective_ms": 400}
    scatter = {
        **common,
        "route_kind": "idempotent",
        "attempts": 2,
        "gather": [f"shard-{number}" for number in range(shards)],
        "top_k": TOP_K,
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
    cold = {"cold_s": 12, "cold_per_s": COLD_PER_SECOND} if accounts else {}
    return json.dumps(
        {
            "version": version,
            "routes": [*({**scatter, "name": path, "prefix": path} for path in paths), single],
            "services": [{"name": f"shard-{n}", "max_conns": 60, **cold} for n in range(shards)],
            "limits": {
                "max_header_bytes": 8192,
                "max_body_bytes": 65536,
                "header_timeout_ms": 5000,
                "idle_timeout_ms": 60000,
            },
            **({"tenants": tenants_json()} if accounts else {}),
        }
    )


class Deployment:
    """Context manager that starts and stops the stand-ins, relays and gateways."""

    def __init__(self, *, options: DeploymentOptions, folder: pathlib.Path | None = None) -> None:
        """Prepares a deployment.

        Args:
            options: Size of the deployment.
            folder: Folder for settings and logs; a new temporary one by default.
        """
        self.options = options
        self.gateways: list[GatewayProcess] = []
        self.leaves: list[StandInControl] = []
        self.relay_by_gateway: dict[str, Relay] = {}
        """Relay between each gateway and the store, by gateway name."""
        self.relay_by_leaf: dict[str, Relay] = {}
        """Relay in front of each leaf, by leaf id."""
        self.seed_relay: Relay | None = None
        """Relay in front of the neighbour address of the seed gateway."""
        self.paths: list[str] = []
        """Path prefixes of the scatter routes in the newest configuration."""
        self._version = 1
        self._starts: collections.Counter[str] = collections.Counter()
        """Starts of each leaf after the first one, by leaf id."""
        self._data_centres = [FIRST_DATA_CENTRE]
        if options.accounts:
            self._data_centres.append(SECOND_DATA_CENTRE)
        self._folder = folder
        self._stack = contextlib.ExitStack()
        self._lock = threading.Lock()
        self._store: StandInControl | None = None
        self._portal: anyio.from_thread.BlockingPortal | None = None

    @property
    def store(self) -> StandInControl:
        """Administration of the store."""
        assert self._store is not None
        return self._store

    @property
    def folder(self) -> pathlib.Path:
        """Folder of settings and logs."""
        assert self._folder is not None
        return self._folder

    def __enter__(self) -> Self:
        """Starts the stand-ins and the gateways and waits until all gateways are ready."""
        options = self.options
        if self._folder is None:
            self._folder = pathlib.Path(tempfile.mkdtemp(prefix="filbertreach-gateways-"))
        leaf_count = options.shards * options.leaves_per_shard
        with self._stack:
            process = self._stack.enter_context(
                StandInProcess(module="deployment", arguments=["--leaves", str(leaf_count)])
            )
            self._store, *self.leaves = process.controls
            self._portal = self._stack.enter_context(anyio.from_thread.start_blocking_portal())
            self.add_route("/v1/")
            for leaf in self.leaves:
                self.relay_by_leaf[leaf.id] = self._start_relay(leaf.address)
                self.write_leaf_entry(leaf)
            seed_address = free_address()
            self.seed_relay = self._start_relay(seed_address)
            for number in range(options.gateways):
                name = f"host-{number}"
                relay = self.relay_by_gateway[name] = self._start_relay(self.store.address)
                gateway = GatewayProcess(
                    name=name,
                    folder=self.folder,
                    store_address=relay.address,
                    seed_addresses=[self.seed_relay.address],
                    neighbour_address=free_address() if number else seed_address,
                    bound_seconds=options.bound_seconds,
                    slack=options.slack,
                    policy=options.policy,
                    data_centre=self._data_centre(number),
                    data_centres=self._data_centres,
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
        """Stops all processes and relays."""
        self._stack.close()

    def _start_relay(self, target: str) -> Relay:
        assert self._portal is not None
        relay = Relay(target=target)
        self._stack.enter_context(self._portal.wrap_async_context_manager(relay))
        return relay

    def close_connections(self, relay: Relay) -> None:
        """Closes the open connections of a relay.

        Args:
            relay: Relay of this deployment.
        """
        assert self._portal is not None
        self._portal.call(relay.close_connections)

    def write_keys(self, value_by_key: dict[str, str | None]) -> None:
        """Writes keys to the store.

        Args:
            value_by_key: Values by key; None deletes the key.
        """
        self.store.request("PUT", "/admin/keys", value_by_key)

    def restore_store(self, *, lost_changes: int) -> None:
        """Restores the store from a copy.

        Args:
            lost_changes: Number of the last changes that the copy lacks.
        """
        self.store.request("PUT", "/admin/restore", {"lost_changes": lost_changes})

    def rewrite_lost_keys(self) -> None:
        """Writes again what the last restore has lost, unless it was written since."""
        self.store.request("PUT", "/admin/rewrite", {})

    def add_route(self, path: str, *, other_keys: dict[str, str | None] | None = None) -> None:
        """Writes a new version of the configuration with one more scatter route.

        Args:
            path: Path prefix of the route.
            other_keys: Values by key that are written before the configuration; None deletes.
        """
        with self._lock:
            self._version += 1
            text = configuration_json(
                self._version,
                [*self.paths, path],
                shards=self.options.shards,
                accounts=self.options.accounts,
            )
            self.write_keys({**(other_keys or {}), "op/config": text})
            self.paths = [*self.paths, path]

    def shard_of(self, leaf: StandInControl) -> str:
        """Returns the shard of a leaf, which is also the name of its service.

        Args:
            leaf: Leaf of this deployment.
        """
        return f"shard-{self.leaves.index(leaf) % self.options.shards}"

    def data_centre_of(self, leaf: StandInControl) -> str:
        """Returns the data centre of a leaf.

        Args:
            leaf: Leaf of this deployment.
        """
        return self._data_centre(self.leaves.index(leaf) // self.options.shards)

    def _data_centre(self, number: int) -> str:
        return self._data_centres[number % len(self._data_centres)]

    def write_leaf_entry(
        self,
        leaf: StandInControl,
        state: str = "ready",
        *,
        cold_seconds: float = 0.0,
        is_restart: bool = False,
    ) -> None:
        """Writes the entry of a leaf to the store.

        Args:
            leaf: Leaf of this deployment.
            state: `ready` or `draining`.
            cold_seconds: Time for which the leaf stays cold, in seconds.
            is_restart: Whether the entry is that of a new process.
        """
        self._starts[leaf.id] += is_restart
        entry: dict[str, Any] = {
            "service": self.shard_of(leaf),
            "address": self.relay_by_leaf[leaf.id].address,
            "zone": self.data_centre_of(leaf),
            "version": "1",
            "slots": 4,
            "state": state,
            "cold_left_ms": round(cold_seconds * 1000),
            "sequence": 1,
            "born": 1_000 + self.leaves.index(leaf) + 1_000 * self._starts[leaf.id],
        }
        self.write_keys({f"servers/{leaf.id}": json.dumps(entry)})
