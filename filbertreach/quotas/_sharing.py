"""Division of the part of a quota that a quota host holds: what it keeps and what it lends."""

_KEPT_LOAN = 0.7
"""A loan is lowered only below this fraction of it. What is taken back can be used by nobody until
the borrower has confirmed, about a second; following each change by chance left 13% unused."""


def desired_loans(
    *,
    own_demand: float,
    demand_by_peer: dict[str, float],
    held: float,
    kept: float,
    equal_part: float,
) -> dict[str, float]:
    """Returns what a quota host should lend of a quota to each of the others.

    Each of them should have the fraction of the quota that is its fraction of the demand. A host
    that holds more lends the surplus to those that hold less, in proportion to what they lack.

    Args:
        own_demand: Requests per second at this host.
        demand_by_peer: Requests per second at the others.
        held: Fraction of the quota that this host holds.
        kept: Fraction of the quota that this host keeps even without demand.
        equal_part: Fraction of the quota that the others are assumed to hold.

    Returns:
        Fractions of the quota by peer, without those that get none.
    """
    total = own_demand + sum(demand_by_peer.values())
    if total <= 0.0:
        return {}
    surplus = held - max(own_demand / total, kept)
    lacking_by_peer = {
        peer: lacking
        for peer, demand in demand_by_peer.items()
        if (lacking := demand / total - equal_part) > 0.0
    }
    lacking_total = sum(lacking_by_peer.values())
    if surplus <= 0.0 or lacking_total <= 0.0:
        return {}
    return {peer: surplus * lacking / lacking_total for peer, lacking in lacking_by_peer.items()}


def allowed_loans(
    *, desired: dict[str, float], lent: dict[str, float], available: float
) -> dict[str, float]:
    """Returns what a quota host can lend now, while earlier loans may still be in use.

    Args:
        desired: Fractions of the quota that it should lend, by peer.
        lent: Fractions of the quota that peers may be using.
        available: Fraction of the quota that this host holds and does not keep.

    Returns:
        Fractions of the quota by peer. With `lent`, the larger of each pair, they add up to at most
        `available` unless `lent` alone exceeds it.
    """
    loans: dict[str, float] = {}
    raises: dict[str, float] = {}
    for peer, share in desired.items():
        in_use = lent.get(peer, 0.0)
        loans[peer] = in_use if _KEPT_LOAN * in_use <= share < in_use else min(share, in_use)
        if share > loans[peer]:
            raises[peer] = share - loans[peer]
    raised_total = sum(raises.values())
    if raised_total > 0.0:
        free = max(0.0, available - sum(lent.values()))
        factor = min(1.0, free / raised_total)
        for peer, raised in raises.items():
            loans[peer] += raised * factor
    total = sum(loans.values())
    # This host may hold less than when it lent what is in use; that is not lent again.
    factor = min(1.0, max(0.0, available) / total) if total > 0.0 else 0.0
    return {peer: share * factor for peer, share in loans.items() if share * factor > 0.0}
