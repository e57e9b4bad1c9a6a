"""Faults of the store that a run injects only if they are named.

Apart from the other kinds, so that the seeds of earlier failures choose the same faults as before.
"""

from filbertreach_standins.gateways._fault_kinds import FaultContext, FaultKind, register_fault

store_kinds_by_name: dict[str, FaultKind] = {}
"""Kinds of this module, registered by the decorator `register_fault`."""


@register_fault("store restored", is_global=True, kinds_by_name=store_kinds_by_name)
def _restore_store(context: FaultContext) -> None:
    """Restores the store from a copy; what operators and leaves wrote since is written again."""
    store = context.deployment.store
    store.set_faults(down=True)
    context.wait(context.rng.uniform(0.1, 1.5))
    context.deployment.restore_store(lost_changes=context.rng.randrange(1, 40))
    store.set_faults(down=None)
    context.wait(context.rng.uniform(0.1, 1.0))
    context.deployment.rewrite_lost_keys()
