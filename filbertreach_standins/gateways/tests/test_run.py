"""Choice of the faults of a run."""

import random
from unittest import mock

import pytest

from filbertreach_standins.gateways._account_fault_kinds import account_kinds_by_name
from filbertreach_standins.gateways._fault_kinds import FaultContext
from filbertreach_standins.gateways.run import RunOptions, choose_kinds


@pytest.mark.parametrize(
    ("seed", "names"),
    [
        (7, ["new route", "store away", "kill", "connections to the store fail"]),
        (3030, ["all leaves fail a share", "hangup", "stop", "cut from the store"]),
    ],
)
def test_seeds_of_earlier_failures_choose_the_same_faults(seed: int, names: list[str]) -> None:
    # Guards against new kinds that change what the seeds of earlier failures repeat.
    assert [kind.name for kind in choose_kinds(RunOptions(seed=seed))] == names


@pytest.mark.parametrize("seed", range(20))
def test_a_run_with_accounts_has_some_of_their_kinds(seed: int) -> None:
    names = [kind.name for kind in choose_kinds(RunOptions(seed=seed, accounts=True))]
    assert len(set(names) & set(account_kinds_by_name)) >= 2
    assert len(set(names) - set(account_kinds_by_name)) <= 3


@pytest.mark.parametrize("seed", range(10))
def test_a_leaf_that_refused_is_not_restarted_before_the_time_that_it_named(seed: int) -> None:
    # Guards against false violations: the next kind that holds the leaf may restart it, and a new
    # process may be called at once.
    deployment = mock.MagicMock()
    deployment.options.shards = 1
    leaf = deployment.leaves[1]
    named: list[float] = []
    waited_since: list[float] = []

    def set_faults(*, retry_after: float | None) -> None:
        waited_since.clear()
        if retry_after is not None:
            named.append(retry_after)

    leaf.set_faults.side_effect = set_faults
    context = FaultContext(
        deployment, mock.MagicMock(), random.Random(seed), waited_since.append, mock.MagicMock()
    )
    account_kinds_by_name["leaf refuses for a time"].inject(context)
    assert sum(waited_since) >= max(named)
