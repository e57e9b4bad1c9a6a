"""Guards against agents that do not converge to the same host states."""

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from filbertreach.membership import HostTable, Version, version_of

_HOSTS = st.sampled_from(["host-1", "host-2", "host-3"])
_VERSIONS = st.tuples(st.integers(1, 3), st.integers(0, 3))


def _state(host, version, state="live", suspects=()):
    return {
        "host": host,
        "version": list(version),
        "agent_address": "127.0.0.1:1",
        "region": "minho",
        "data_centre": "minho-1",
        "state": state,
        "members": [],
        "suspects": list(suspects),
    }


_STATES = st.lists(st.builds(_state, _HOSTS, _VERSIONS), max_size=8)


def _merged(*parts):
    table = HostTable()
    for part in parts:
        table.merge(part)
    return table


def _contents(table):
    return (table.state_by_host, table.digest)


@settings(derandomize=True, deadline=None)
@given(_STATES, _STATES, _STATES)
def test_merge_is_commutative_associative_and_idempotent(first, second, third):
    expected = _contents(_merged(first, second, third))
    for order in itertools.permutations([first, second, third]):
        assert _contents(_merged(*order)) == expected
    united = list(_merged(second, third).state_by_host.values())
    assert _contents(_merged(first, united)) == expected
    assert _contents(_merged(first, second, third, third, first)) == expected


@settings(derandomize=True, deadline=None)
@given(_STATES, _STATES)
def test_one_exchange_of_differing_buckets_makes_tables_equal(first, second):
    near, far = _merged(first), _merged(second)
    buckets = near.differing_buckets(far.bucket_digests)
    assert bool(buckets) == (near.digest != far.digest)
    states, wanted = near.newer_than(far.versions_in(buckets), buckets)
    far.merge(states)
    near.merge([far.state_by_host[host] for host in wanted])
    assert _contents(near) == _contents(far)


def test_a_removed_state_is_not_merged_again():
    table = _merged([_state("host-1", (5, 2))])
    empty = HostTable().digest
    table.forget("host-1")
    assert table.digest == empty
    assert table.merge([_state("host-1", (5, 2))]) == []
    assert table.newer_than({"host-1": Version(5, 2)}, range(64)) == ([], [])
    assert [version_of(state) for state in table.merge([_state("host-1", (6, 0))])] == [(6, 0)]
