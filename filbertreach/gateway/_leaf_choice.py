"""Choice of the leaf for a call among those of one service that may get it now."""

import math
from collections.abc import Callable, Collection, Mapping, Set
from typing import NamedTuple

from filbertreach.decisions import (
    DISTANCES,
    Distance,
    ReplicaPolicy,
    SpillPolicy,
    SpillReason,
    make_replica_policy,
)
from filbertreach.gateway._leaf_handle import LeafHandle
from filbertreach.gateway._observed_leaves import ObservedLeaves
from filbertreach.timing import Clock

_QUEUE_FACTOR = 4
"""Limit of the calls in flight to a leaf as a multiple of its slots, if no leaf has a free slot; a
leaf has a short queue."""


class CallTerms(NamedTuple):
    """What a call asks for."""

    now: float
    """Current clock, in seconds."""
    typical_seconds: float | None
    """Median latency of the route, assumed for leaves without samples; None if unknown."""
    priority: int
    """Rank of the request, 0 for the most urgent ones."""
    remaining_seconds: float
    """Time until the latency objective, in seconds."""


class LeafChoice:
    """Chooses among leaves by load, distance and what hosts have observed of them."""

    def __init__(
        self,
        *,
        handle_by_id: Mapping[str, LeafHandle],
        is_permitted: Callable[[LeafHandle, Set[str] | None], bool],
        spill_over: SpillPolicy | None,
        observed: ObservedLeaves | None,
        clock: Clock,
    ) -> None:
        """Creates a choice.

        Args:
            handle_by_id: The leaves of the service, kept up to date by its pool.
            is_permitted: Returns whether a leaf may get requests that are restricted to regions.
            spill_over: Decides what is sent to other data centres; None to prefer near leaves by
                fixed penalties.
            observed: Observations that hosts share; None to use those of this host alone.
            clock: Source of time.
        """
        self._handle_by_id = handle_by_id
        self._is_permitted = is_permitted
        self._spill_over = spill_over
        self._observed = observed
        self._clock = clock
        self._policy: ReplicaPolicy = make_replica_policy(name="least_expected_wait")

    def choose(
        self, listed: list[LeafHandle], terms: CallTerms, *, may_probe: bool
    ) -> tuple[LeafHandle | None, bool]:
        """Chooses a leaf; a failing one only for a probe, or if no other can take the call.

        Args:
            listed: Leaves that may get the call now.
            terms: What the call asks for.
            may_probe: Whether the call may be sent to a failing leaf to see how it is.

        Returns:
            The leaf, and whether load sends the request to a far leaf although a near one may get
            it.
        """
        failing = self._observed.apply(listed, terms.now) if self._observed is not None else ()
        chosen, by_load = self._choose_among(listed, terms)
        if self._observed is None or chosen not in failing or chosen is None:
            return chosen, by_load
        if may_probe and self._observed.try_probe():
            return chosen, by_load
        others = [handle for handle in listed if handle not in failing]
        other, is_other_by_load = self._choose_among(others, terms) if others else (None, False)
        if other is None:
            self._observed.on_no_other()
            return chosen, by_load
        self._observed.on_avoided(chosen, terms.now)
        return other, is_other_by_load

    def _choose_among(
        self, allowed: list[LeafHandle], terms: CallTerms
    ) -> tuple[LeafHandle | None, bool]:
        if self._spill_over is None:
            return self._choose_by_wait(allowed, terms), False
        return self._choose_by_costs(self._spill_over, allowed, terms)

    def _choose_by_wait(self, listed: list[LeafHandle], terms: CallTerms) -> LeafHandle | None:
        """Chooses the leaf with the least expected wait, with fixed penalties for far leaves."""
        tracker = self._policy.choose(
            [h.tracker for h in listed], terms.now, typical_seconds=terms.typical_seconds
        )
        if tracker is not None:
            return self._handle_by_id[tracker.leaf.id]
        return self._least_loaded(listed)

    def _choose_by_costs(
        self, spill_over: SpillPolicy, listed: list[LeafHandle], terms: CallTerms
    ) -> tuple[LeafHandle | None, bool]:
        """Chooses a leaf by the spill-over policy.

        Returns:
            The leaf, and whether load sends the request to a far leaf although a near one may get
            it.
        """
        nearest = self._nearest()
        choice = spill_over.choose(
            [h.candidate for h in listed],
            terms.now,
            nearest=nearest,
            typical_seconds=terms.typical_seconds,
            priority=terms.priority,
            remaining_seconds=terms.remaining_seconds,
        )
        if choice is not None:
            return self._handle_by_id[choice.tracker.leaf.id], choice.by_load
        near = [
            h for h in listed if h.candidate.distance == nearest and h.tracker.state != "suspect"
        ]
        return self._least_loaded(near or listed), False

    def _least_loaded(self, listed: list[LeafHandle]) -> LeafHandle | None:
        """Returns the least loaded leaf with room in its queue, as none has a known free slot."""
        with_queue_room = [
            handle
            for handle in listed
            if handle.tracker.in_flight < _QUEUE_FACTOR * handle.entry.slots
        ]
        return min(
            with_queue_room,
            key=lambda h: (h.tracker.state == "suspect", h.tracker.in_flight),
            default=None,
        )

    def reason_to_leave(
        self, chosen: LeafHandle, tried: Collection[str], regions: Set[str] | None
    ) -> SpillReason | None:
        """Returns why a leaf is in another data centre; None if it is in that of this host.

        Args:
            chosen: The leaf, chosen as no nearer one may get the call.
            tried: Ids of leaves that were tried before.
            regions: Regions whose leaves may get the request; None for all.
        """
        distance = chosen.candidate.distance
        if distance == "near":
            return None
        nearer = DISTANCES[: DISTANCES.index(distance)]
        nearer_ids = [
            leaf_id
            for leaf_id, handle in self._handle_by_id.items()
            if handle.candidate.distance in nearer
            and self._is_in_use(handle)
            and self._is_permitted(handle, regions)
        ]
        if not nearer_ids:
            return "no_near_leaf"
        return "tried" if all(leaf_id in tried for leaf_id in nearer_ids) else "load"

    def _is_in_use(self, handle: LeafHandle) -> bool:
        """Returns whether a leaf is listed, not leaving, and neither suspect nor failing."""
        if handle.usable_until < math.inf or handle.tracker.state == "suspect":
            return False
        observed = self._observed
        if observed is None or observed.is_idle:
            return True
        return not observed.is_failing(handle, self._clock.now())

    def _nearest(self) -> Distance:
        """Returns the distance of the nearest leaves that are listed, in use and not suspect."""
        distances = {
            handle.candidate.distance
            for handle in self._handle_by_id.values()
            if self._is_in_use(handle) and self._is_permitted(handle, None)
        }
        return next((distance for distance in DISTANCES if distance in distances), "near")
