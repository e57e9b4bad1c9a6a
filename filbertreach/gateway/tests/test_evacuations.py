"""Evacuations of data centres in a store that is restored from a copy."""

import pytest

from filbertreach.gateway._evacuations import Evacuations
from filbertreach.timing import FakeClock

_KEY = "op/evacuate/north-1"


@pytest.fixture
def clock() -> FakeClock:
    return FakeClock(start=100.0)


@pytest.fixture
def evacuations(clock: FakeClock) -> Evacuations:
    evacuations = Evacuations(known_data_centres=["north-1"], load_return=None, clock=clock)
    evacuations.on_listing([_KEY], is_restored=False)
    return evacuations


def test_an_evacuation_that_a_restored_store_lacks_stays_in_force_until_it_is_written_again(
    evacuations: Evacuations, clock: FakeClock
) -> None:
    # Guards against requests to an evacuated data centre in the time in which the store lacks what
    # operators wrote after its copy was made.
    evacuations.on_listing(["op/config"], is_restored=True)
    assert evacuations.data_centres == {"north-1"}
    clock.advance(1.0)
    # The history is lost again before the operators have written.
    evacuations.on_listing(["op/config"], is_restored=False)
    assert evacuations.data_centres == {"north-1"}
    evacuations.on_change(_KEY, is_removed=False)
    clock.advance(60.0)
    evacuations.remove_expired(clock.now())
    assert evacuations.data_centres == {"north-1"}
    evacuations.on_change(_KEY, is_removed=True)
    assert evacuations.data_centres == set()


def test_an_evacuation_that_is_not_written_again_ends(
    evacuations: Evacuations, clock: FakeClock
) -> None:
    # Guards against a data centre that is never used again, as its evacuation was withdrawn while
    # the store was away.
    evacuations.on_listing([], is_restored=True)
    clock.advance(5.0)
    evacuations.remove_expired(clock.now())
    assert evacuations.data_centres == set()


def test_a_withdrawal_ends_an_evacuation_that_the_store_has_lost(
    evacuations: Evacuations, clock: FakeClock
) -> None:
    evacuations.on_listing([], is_restored=True)
    evacuations.on_change(_KEY, is_removed=True)
    assert evacuations.data_centres == set()


def test_a_listing_without_the_evacuation_withdraws_it(evacuations: Evacuations) -> None:
    evacuations.on_listing([], is_restored=False)
    assert evacuations.data_centres == set()
