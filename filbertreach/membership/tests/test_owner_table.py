"""Guards against an incremental order that differs from the full one after member changes."""

import hypothesis
from hypothesis import strategies

from filbertreach.membership import OwnerTable, owner_candidates
from filbertreach.schema import Member

_MAX_CANDIDATES = 8
_SERVICES = ("fleet-0", "fleet-1", "fleet-2")


def _member(number, state, region):
    return Member(
        name=f"dispatch-{number}",
        host=f"host-{number}",
        role="dispatch",
        address=f"10.0.0.{number}:7100",
        incarnation=1,
        region=region,
        data_centre="one",
        state=state,
    )


_MEMBERS = strategies.dictionaries(
    strategies.integers(0, 30),
    strategies.tuples(
        strategies.sampled_from(["live", "leaving", "gone"]),
        strategies.sampled_from(["minho", "alentejo"]),
    ),
)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.lists(_MEMBERS, min_size=1, max_size=8))
def test_the_table_matches_the_order_computed_from_all_members(views):
    table = OwnerTable()
    for view in views:
        members = [_member(number, *facts) for number, facts in view.items()]
        table.update(members)
        for service in _SERVICES:
            names = {"environment": "x", "service_name": service, "service_regions": ["minho"]}
            plain = owner_candidates(candidates=members, **names)[:_MAX_CANDIDATES]
            kept = table.order(**names)
            assert kept == plain[: len(kept)]
            assert len(kept) >= min(3, len(plain))
