"""Guards against owners that differ between processes or move unnecessarily."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from filbertreach.membership import owner_candidates
from filbertreach.schema import Member

_SERVICES = [f"fleet-{number:02}" for number in range(40)]


def _member(name, region="minho", state="live", role="dispatch"):
    return Member(
        name=name,
        host=name,
        role=role,
        address="127.0.0.1:1",
        incarnation=1,
        region=region,
        data_centre=region + "-1",
        state=state,
    )


def _names(candidates, service="fleet", regions=("minho",)):
    ordered = owner_candidates(
        environment="shop", service_name=service, service_regions=regions, candidates=candidates
    )
    return [member["name"] for member in ordered]


@pytest.mark.parametrize(
    ("candidates", "expected"),
    [
        ([], []),
        ([_member("a", state="gone"), _member("b", state="starting")], []),
        ([_member("a", role="entry")], []),
        ([_member("far", region="alentejo"), _member("near")], ["near", "far"]),
        ([_member("near", state="leaving"), _member("far", "alentejo")], ["far", "near"]),
    ],
)
def test_live_before_leaving_and_own_region_first(candidates, expected):
    assert _names(candidates) == expected


@settings(derandomize=True, deadline=None)
@given(st.permutations([f"dispatch-{number}" for number in range(8)]), st.integers(0, 7))
def test_only_services_of_the_lost_member_move(order, lost):
    members = [_member(name) for name in order]
    remaining = [member for member in members if member["name"] != f"dispatch-{lost}"]
    for service in _SERVICES:
        before = _names(members, service)
        assert before == _names(sorted(members, key=lambda member: member["name"]), service)
        after = _names(remaining, service)
        assert after == [name for name in before if name != f"dispatch-{lost}"]


def test_services_are_spread_over_members():
    members = [_member(f"dispatch-{number}") for number in range(8)]
    owners = [_names(members, service)[0] for service in _SERVICES]
    assert max(owners.count(member["name"]) for member in members) <= 12
