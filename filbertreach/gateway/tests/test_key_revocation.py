"""Keys at a host that no longer hears from the store; time until removed keys are refused."""

import pytest

from filbertreach.gateway import _discovery, _neighbours, _process
from filbertreach.gateway._key_revocation import KeyRevocation
from filbertreach.platform import Bounds

_TRANSIT_SECONDS = 0.1
"""Network delay of a message, as in `test_draining_bound.py`."""
_BOUNDS = Bounds(5.0, 5.0, 3.0, 0.2, 10.0, 12.0)


def _strict(revoke_seconds: float) -> Bounds:
    return _BOUNDS._replace(strict_revoke=True, revoke_seconds=revoke_seconds)


def test_without_the_setting_keys_are_accepted_at_any_age() -> None:
    revocation = KeyRevocation(bounds=_BOUNDS)
    assert revocation.may_accept(1e9)
    assert revocation.watch_seconds(1.5) == 1.5


@pytest.mark.parametrize("revoke_seconds", [0.5, 1.0, 3.0, 5.0, 60.0])
def test_a_removed_key_is_not_accepted_after_the_bound(revoke_seconds: float) -> None:
    # Guards against a key that a host accepts although it can't know that it was removed.
    revocation = KeyRevocation(bounds=_strict(revoke_seconds))
    # The previous data was confirmed just before the removal; its answer was on the way then.
    margin = min(_TRANSIT_SECONDS, 0.2 * revoke_seconds)
    accepted = [
        age / 100.0
        for age in range(round(200 * revoke_seconds))
        if revocation.may_accept(age / 100.0)
    ]
    assert max(accepted) + margin <= revoke_seconds
    assert max(accepted) >= 0.7 * revoke_seconds


@pytest.mark.parametrize("revoke_seconds", [0.5, 1.0, 3.0, 5.0])
def test_a_host_that_hears_from_the_store_accepts_keys_all_the_time(revoke_seconds: float) -> None:
    # Guards against a bound that a healthy host exceeds between two answers of the store.
    revocation = KeyRevocation(bounds=_strict(revoke_seconds))
    between = revocation.watch_seconds(_discovery.WATCH_SECONDS)
    if revoke_seconds >= 1.0:
        between += _discovery._BATCH_DELAY_SECONDS
    assert revocation.may_accept(between + _TRANSIT_SECONDS)


def test_a_host_whose_reader_fails_hears_from_the_store_before_it_refuses_keys() -> None:
    # Guards against a time limit that is raised without a look at the others.
    heard_seconds = (
        _discovery._STALE_SECONDS
        + _neighbours.EXCHANGE_TIMEOUT_SECONDS
        + _process._STORE_TIMEOUT_SECONDS
    )
    shortest = _discovery._MIN_READER_SHARING_SECONDS
    assert KeyRevocation(bounds=_strict(shortest)).may_accept(heard_seconds)


@pytest.mark.parametrize(
    ("bounds", "is_shared"),
    [(_strict(4.5), True), (_strict(4.4), False), (_BOUNDS._replace(revoke_seconds=1.0), True)],
)
def test_hosts_share_a_reader_only_if_the_bound_leaves_time(
    bounds: Bounds, is_shared: bool
) -> None:
    assert _discovery.may_share_reader(bounds) == is_shared
