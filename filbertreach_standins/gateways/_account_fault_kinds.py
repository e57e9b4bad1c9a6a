"""Kinds of faults and operations that only a run with accounts injects.

They have a dictionary of their own, so that a seed chooses the same faults as before in a run
without accounts.
"""

from filbertreach.timing import SystemClock
from filbertreach_standins._process import StandInControl
from filbertreach_standins.gateways._accounts import COLD_PER_SECOND, SECOND_DATA_CENTRE
from filbertreach_standins.gateways._fault_kinds import FaultContext, FaultKind, register_fault
from filbertreach_standins.gateways._record import ColdPhase, Evacuation, LeafDeparture

account_kinds_by_name: dict[str, FaultKind] = {}
"""Kinds of runs with accounts, in addition to `fault_kinds_by_name`."""
_SECOND_LEAF = "second leaf of the first shard"
"""Target of kinds of faults: see `_second_leaf`."""
_COLD_SECONDS = 12.0
"""Time for which a leaf states that it is cold after a restart."""
_CLOCK = SystemClock()


def _second_leaf(context: FaultContext) -> StandInControl:
    """Returns a leaf of the second data centre that no kind without accounts drains."""
    deployment = context.deployment
    return deployment.leaves[deployment.options.shards]


@register_fault("evacuation", is_fault=False, kinds_by_name=account_kinds_by_name)
def _evacuate(context: FaultContext) -> None:
    key = f"op/evacuate/{SECOND_DATA_CENTRE}"
    context.deployment.write_keys({key: "{}"})
    started_at = _CLOCK.now()
    context.wait(context.record.bound_seconds + context.rng.uniform(1.0, 4.0))
    context.record.evacuations.append(Evacuation(SECOND_DATA_CENTRE, started_at, _CLOCK.now()))
    context.deployment.write_keys({key: None})


@register_fault(
    "leaf is cold", is_fault=False, target=_SECOND_LEAF, kinds_by_name=account_kinds_by_name
)
def _restart_cold(context: FaultContext) -> None:
    leaf = _second_leaf(context)
    context.deployment.write_leaf_entry(leaf, cold_seconds=_COLD_SECONDS, is_restart=True)
    started_at = _CLOCK.now()
    context.wait(context.record.bound_seconds + context.rng.uniform(2.0, 6.0))
    ended_at = min(_CLOCK.now(), started_at + _COLD_SECONDS)
    context.record.cold_phases.append(ColdPhase(leaf.id, COLD_PER_SECOND, started_at, ended_at))
    context.deployment.write_leaf_entry(leaf)


@register_fault(
    "leaf says it leaves", is_fault=False, target=_SECOND_LEAF, kinds_by_name=account_kinds_by_name
)
def _say_leaving(context: FaultContext) -> None:
    leaf = _second_leaf(context)
    started_at = _CLOCK.now()
    leaf.set_faults(leaving=True)
    context.wait(context.record.bound_seconds + context.rng.uniform(2.0, 5.0))
    context.record.departures.append(LeafDeparture(leaf.id, started_at, _CLOCK.now()))
    leaf.set_faults(leaving=None)
    # Gateways avoid a leaf that said it leaves until its entry is that of a new process.
    context.deployment.write_leaf_entry(leaf, is_restart=True)


@register_fault(
    "leaf refuses for a time",
    is_fault=False,
    target=_SECOND_LEAF,
    kinds_by_name=account_kinds_by_name,
)
def _refuse(context: FaultContext) -> None:
    leaves = [_second_leaf(context)]
    if context.rng.random() < 0.5:
        # The first leaf of the shard, so that requests find no other one.
        leaves.append(context.deployment.leaves[0])
    seconds = round(context.rng.uniform(1.0, 4.0), 2)
    for leaf in leaves:
        leaf.set_faults(retry_after=seconds)
    context.wait(context.rng.uniform(2.0, 6.0))
    for leaf in leaves:
        leaf.set_faults(retry_after=None)
    # A kind that restarts the leaf would end the time for gateways, but not for the check.
    context.wait(seconds)
