"""First attempts to bad leaves that another host of the data centre already knows, in a model."""

import pytest

from experiments.leaf_observations import BadKind, Run


@pytest.mark.parametrize("kind", ["failing", "slow"])
@pytest.mark.parametrize(("hosts", "most"), [(8, 0.8), (68, 0.5), (127, 0.5)])
def test_few_first_attempts_go_to_leaves_that_another_host_knows_to_be_bad(
    hosts: int, most: float, kind: BadKind
) -> None:
    # Guards against a bad leaf for which each host pays a lost call or a hedge of its own.
    alone = Run(hosts=hosts, kind=kind, is_shared=False).run()
    shared = Run(hosts=hosts, kind=kind, is_shared=True).run()
    assert shared.known_bad < most * alone.known_bad
