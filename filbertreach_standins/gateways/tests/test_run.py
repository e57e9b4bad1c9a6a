"""Choice of the faults of a run."""

import pytest

from filbertreach_standins.gateways._account_fault_kinds import account_kinds_by_name
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
