"""Settings that the platform passes to a process at start-up."""

import os
import tomllib
from typing import Annotated, NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from filbertreach.schema import parse_address

SETTINGS_VARIABLE = "FILBERTREACH_BOOT"
"""Environment variable with the path of the settings file."""

_BYTES_PER_MEGABIT = 125_000.0


class BootError(Exception):
    """The settings file can't be read or is invalid; the message names the field."""


class Bounds(NamedTuple):
    """Time bounds and retry limits set by the deployment."""

    leaf_drain_seconds: float
    """Longest time from listing a leaf as leaving until it gets no new requests."""
    routes_seconds: float
    """Longest time until a new configuration is in force."""
    grace_seconds: float
    """Time between SIGTERM and SIGKILL."""
    retry_ratio: float
    """Extra calls that a service may get per request, over all hosts."""
    retry_window_seconds: float
    """Length of the window in which extra calls are counted."""
    retry_slack: float
    """Extra calls that a service may get per window beyond the ratio, over all hosts."""
    evacuate_seconds: float = 5.0
    """Longest time from the evacuation of a data centre until its leaves get no requests."""
    quota_window_seconds: float = 5.0
    """Length of the window in which requests of a client account are counted, in seconds."""
    quota_overrun: float = 0.1
    """Fraction by which all hosts together may exceed a quota in a window."""
    quota_slack: float = 20.0
    """Requests by which all hosts together may exceed a quota in a window, beyond the fraction."""
    cold_overrun: float = 1.5
    """Multiple of its limit that a cold leaf tolerates in a second from all hosts together."""
    cold_slack: float = 5.0
    """Requests that a cold leaf tolerates in a second in addition."""
    strict_revoke: bool = False
    """Whether a host that has not heard from the store for `revoke_seconds` refuses all keys."""
    revoke_seconds: float = 5.0
    """Longest time until a key that a configuration has removed is refused."""


class HostSettings(NamedTuple):
    """Settings of a process about its host and deployment."""

    host: str
    """Name of the host."""
    data_centre: str
    """Data centre of the host."""
    region: str
    """Region of the host."""
    region_by_data_centre: dict[str, str]
    """Region of each data centre of the deployment."""
    serve_address: str
    """ip:port for callers."""
    ready_address: str
    """ip:port on which the load balancer checks readiness."""
    neighbour_address: str | None
    """ip:port for gateways of other hosts; None if not configured."""
    seed_addresses: tuple[str, ...]
    """Neighbour addresses of a few hosts to start with; they may be out of date."""
    store_address: str
    """ip:port of the platform's store."""
    bounds: Bounds
    """Bounds of the deployment."""
    link_bytes_per_second: float | None = None
    """Speed of the link of the host; None if not stated."""
    cores: float | None = None
    """Processor cores that the process may use, possibly a fraction; None if not stated."""


_NonEmpty = Annotated[str, msgspec.Meta(min_length=1)]
_Positive = Annotated[float, msgspec.Meta(gt=0)]
_NonNegative = Annotated[float, msgspec.Meta(ge=0)]


class _Listen(msgspec.Struct):
    front: _NonEmpty
    ready: _NonEmpty
    # For gateways of other hosts.
    control: str | None = None


class _Store(msgspec.Struct):
    address: _NonEmpty


class _Bounds(msgspec.Struct):
    drain_ms: _Positive
    config_apply_ms: _Positive
    grace_s: _Positive
    retry_budget_ratio: _NonNegative
    retry_window_s: _Positive
    retry_slack: _NonNegative
    evacuate_ms: _Positive = 5000.0
    quota_window_s: _Positive = 5.0
    quota_overrun: _NonNegative = 0.1
    quota_slack: _NonNegative = 20.0
    cold_overrun: _NonNegative = 1.5
    cold_slack: _NonNegative = 5.0
    strict_revoke: bool = False
    revoke_ms: _Positive = 5000.0


class _Limits(msgspec.Struct):
    # 0 is taken as not stated: the gateway runs without these limits.
    link_mbps: _NonNegative = 0.0
    cores: _NonNegative = 0.0
    # Part of the cores that the process may use.
    cpu_share: _NonNegative = 0.0


class _Boot(msgspec.Struct):
    node_name: _NonEmpty
    zone: _NonEmpty
    region: _NonEmpty
    zones: dict[str, str]
    listen: _Listen
    platform: _Store
    bounds: _Bounds
    limits: _Limits = msgspec.field(default_factory=_Limits)
    seeds: list[str] = []


def load_boot(path: str | None = None) -> Result[HostSettings, BootError]:
    """Reads the settings file; unknown fields are ignored.

    Args:
        path: File to read; None for the path in the environment variable FILBERTREACH_BOOT.

    Returns:
        The settings, or an error that names the field and the allowed values.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        return Failure(BootError(f"set {SETTINGS_VARIABLE} to the path of the settings file"))
    try:
        with open(path, "rb") as file:
            boot = msgspec.convert(tomllib.load(file), _Boot)
        addresses = [boot.listen.front, boot.listen.ready, boot.platform.address, *boot.seeds]
        for address in [*addresses, boot.listen.control] if boot.listen.control else addresses:
            parse_address(address)
    except OSError as error:
        return Failure(BootError(f"can't read settings file {path}: {error.strerror}"))
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, ValueError) as error:
        return Failure(BootError(f"settings file {path}: {error}"))
    except RecursionError:
        return Failure(BootError(f"settings file {path}: values are nested too deeply"))
    return Success(_settings(boot))


def _settings(boot: _Boot) -> HostSettings:
    limits = boot.limits
    return HostSettings(
        host=boot.node_name,
        data_centre=boot.zone,
        region=boot.region,
        region_by_data_centre=boot.zones,
        serve_address=boot.listen.front,
        ready_address=boot.listen.ready,
        neighbour_address=boot.listen.control or None,
        seed_addresses=tuple(boot.seeds),
        store_address=boot.platform.address,
        bounds=Bounds(
            leaf_drain_seconds=boot.bounds.drain_ms / 1000.0,
            routes_seconds=boot.bounds.config_apply_ms / 1000.0,
            grace_seconds=boot.bounds.grace_s,
            retry_ratio=boot.bounds.retry_budget_ratio,
            retry_window_seconds=boot.bounds.retry_window_s,
            retry_slack=boot.bounds.retry_slack,
            evacuate_seconds=boot.bounds.evacuate_ms / 1000.0,
            quota_window_seconds=boot.bounds.quota_window_s,
            quota_overrun=boot.bounds.quota_overrun,
            quota_slack=boot.bounds.quota_slack,
            cold_overrun=boot.bounds.cold_overrun,
            cold_slack=boot.bounds.cold_slack,
            strict_revoke=boot.bounds.strict_revoke,
            revoke_seconds=boot.bounds.revoke_ms / 1000.0,
        ),
        link_bytes_per_second=limits.link_mbps * _BYTES_PER_MEGABIT or None,
        cores=limits.cores * (limits.cpu_share or 1.0) or None,
    )
