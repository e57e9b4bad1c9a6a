"""Policy file of the gateway: decisions under load that operators switch on, in INI."""

from typing import NamedTuple, cast

from returns.result import Result

from filbertreach import schema
from filbertreach.decisions import CrossingCosts
from filbertreach.settings import SettingsError, load


class GatewayPolicy(NamedTuple):
    """Decisions that are switched on; by default, none."""

    admission: bool = False
    """Whether the wait of a request is estimated before it is sent."""
    caller_reserve: bool = False
    """Whether the part of the objective that is reserved for the way of an answer back to the
    caller follows what the host observes; otherwise it is constant."""
    spill_over: CrossingCosts | None = None
    """Costs by which load decides how much is sent to other data centres; None to prefer the near
    leaves by fixed penalties."""
    load_return: bool = False
    """Whether load returns over some seconds after an evacuation or a start of many leaves."""
    leaf_observations: bool = False
    """Whether observations of leaves are shared with the other hosts of the data centre."""
    account_shares: bool = False
    """Whether accounts get fair shares while leaves are under pressure."""
    retry_handover: bool = False
    """Whether a host that stops hands its retry histories to others."""
    quarantine: bool = False
    """Whether requests that crash leaves are stopped and refused."""


def load_policy(path: str) -> Result[GatewayPolicy, SettingsError]:
    """Reads a policy file.

    Args:
        path: Path of the INI file.

    Returns:
        The policy, or an error that lists all problems with their lines.
    """
    return load(path, "policy").map(lambda values: _to_policy(cast("schema.GatewayPolicy", values)))


def _to_policy(values: "schema.GatewayPolicy") -> GatewayPolicy:
    spill_over = values["spill_over"]
    return GatewayPolicy(
        admission=values["admission"]["enabled"],
        caller_reserve=values["caller_reserve"]["enabled"],
        spill_over=CrossingCosts(
            data_centre_seconds=spill_over["data_centre_cost_ms"] / 1000.0,
            region_seconds=spill_over["region_cost_ms"] / 1000.0,
        )
        if spill_over["enabled"]
        else None,
        load_return=values["load_return"]["enabled"],
        leaf_observations=values["leaf_observations"]["enabled"],
        account_shares=values["account_shares"]["enabled"],
        quarantine=values["quarantine"]["enabled"],
        retry_handover=values["retry_handover"]["enabled"],
    )
