"""Admission of calls to one service: the expected wait, precedence by rank, order of waiting."""

import bisect
import itertools
import math
import random
from collections.abc import Callable, Sequence, Set

from filbertreach.decisions._leaf import LeafTracker

_DEMAND_SECONDS = 60.0
"""Time after its last request for which a rank counts as using the service. A host gets only one of
many requests of a rank: on the largest deployment, one of the most urgent rank each 24 s."""
_KEPT_SLOTS = 1
"""Slots of a leaf that are kept free for more urgent ranks while these lack slots."""
_SHORTAGE_SECONDS = 0.5
"""Time for which slots are kept after a more urgent request was refused or found no free slot."""
_QUEUED_PER_SLOT = 1
"""Calls per slot that may wait at a leaf if no more urgent rank uses the service, so that a slot is
not idle while an answer and the next call are on the network."""
_MAX_WAITING_PER_SLOT = 4
"""Calls per slot of the service that may wait in this process."""
_DEFAULT_LATENCY_SECONDS = 0.01
"""Assumed until a leaf of the service or the route has answered."""
_START_SMOOTHING = 0.2
"""Weight of a new sample in the mean time between the starts of waiting calls."""
_ROUNDING_TOLERANCE = 1e-9
_MIN_RETRY_SECONDS = 0.05
_MAX_RETRY_SECONDS = 4.5
_RETRY_SPREAD = 1.5
"""Width of the interval in which callers of one rank return, as a multiple of the time until
capacity is expected. With 0.5, refused callers of a flood returned so close together that the most
urgent class of the model (68 hosts) had less goodput after the flood than without admission."""


class WaitingCall:
    """A call that waits until a leaf has a place for it."""

    def __init__(
        self,
        *,
        rank: int,
        arrived_at: float,
        leaf_ids: Set[str],
        wake: Callable[[], None],
    ) -> None:
        """Creates a call that is not in the order.

        Args:
            rank: Rank of its request, 0 for the most urgent ones.
            arrived_at: Clock when its request arrived, in seconds.
            leaf_ids: Leaves that may get the call.
            wake: Called when the call may have a place, or is displaced.
        """
        self.rank = rank
        self.arrived_at = arrived_at
        self.leaf_ids = leaf_ids
        self.wake = wake
        self.is_displaced = False
        """Whether a more urgent call has taken its place in the order."""
        self.number = 0
        """Distinguishes calls that arrived at the same time."""

    @property
    def key(self) -> tuple[int, float, int]:
        """Sort key: more urgent calls first, then those of earlier requests.

        The calls of one scatter query have the same place at all services, so that earlier queries
        become complete before later ones start.
        """
        return self.rank, self.arrived_at, self.number


class ServiceAdmission:
    """Decides when a call to one service may be sent, and how long it is expected to wait.

    Nothing is known of other senders but what leaves report. A report is reduced by what the leaf
    has finished since then at its usual pace, so the expected wait is a lower bound: without
    reports, only the calls of this process count.
    """

    def __init__(self) -> None:
        """Creates the state of a service without requests."""
        self._requested_at_by_rank: dict[int, float] = {}
        self._shortage_at_by_rank: dict[int, float] = {}
        self._waiting: list[WaitingCall] = []
        self._numbers = itertools.count()
        self._started_at = -math.inf
        """Clock when the last waiting call was sent or the first one began to wait."""
        self._seconds_per_start: float | None = None

    @property
    def waiting(self) -> Sequence[WaitingCall]:
        """The waiting calls in their order."""
        return self._waiting

    def record_request(self, rank: int, now: float) -> None:
        """Records that a request of a rank needs the service.

        Args:
            rank: Its rank, 0 for the most urgent ones.
            now: Current clock, in seconds.
        """
        self._requested_at_by_rank[rank] = now

    def record_shortage(self, rank: int, now: float) -> None:
        """Records that a request of a rank was refused, or found no free slot.

        Args:
            rank: Its rank, 0 for the most urgent ones.
            now: Current clock, in seconds.
        """
        self._shortage_at_by_rank[rank] = now

    def is_busy(self, tracker: LeafTracker, *, now: float, typical_seconds: float | None) -> bool:
        """Returns whether a leaf has no free slot, so that a hedge would wait there.

        Args:
            tracker: The leaf.
            now: Current clock, in seconds.
            typical_seconds: Latency assumed for a leaf without samples; None if unknown.
        """
        free = tracker.free_slots(now, _latency(tracker, typical_seconds))
        return free + _ROUNDING_TOLERANCE < 1.0

    def full_leaves(
        self,
        trackers: Sequence[LeafTracker],
        *,
        rank: int,
        arrived_at: float,
        now: float,
        typical_seconds: float | None,
    ) -> list[LeafTracker] | None:
        """Returns the leaves without a place for a call; None if no place is left by earlier calls.

        To be called when the call is to be sent: that no leaf has a free slot is recorded.

        Args:
            trackers: Leaves that may get the call.
            rank: Rank of the call.
            arrived_at: Clock when its request arrived, in seconds.
            now: Current clock, in seconds.
            typical_seconds: Latency assumed for a leaf without samples; None if unknown.
        """
        is_preceded = self._is_preceded(rank, now)
        ahead = self._waiting[: self._count_ahead(rank, arrived_at)]
        if all(self.is_busy(t, now=now, typical_seconds=typical_seconds) for t in trackers):
            self.record_shortage(rank, now)
        places = [
            math.floor(_open_slots(tracker, is_preceded, now, typical_seconds))
            for tracker in trackers
        ]
        full = [t for t, p in zip(trackers, places, strict=True) if p <= _count_at(t, ahead)]
        if len(full) == len(trackers) and sum(p for p in places if p > 0) > len(ahead):
            # No leaf has places for all calls that precede this one, but the leaves together have.
            full = [t for t, p in zip(trackers, places, strict=True) if p <= 0]
        return full if len(full) < len(trackers) else None

    def expected_wait(
        self,
        trackers: Sequence[LeafTracker],
        *,
        rank: int,
        arrived_at: float,
        now: float,
        typical_seconds: float | None,
    ) -> float:
        """Returns a lower bound of the time until a call is sent, in seconds; 0 with a free place.

        Slots that are kept for more urgent ranks count as free: they delay a call, but nothing is
        refused because of them.

        Args:
            trackers: Leaves that may get the call.
            rank: Rank of the call.
            arrived_at: Clock when its request arrived, in seconds.
            now: Current clock, in seconds.
            typical_seconds: Latency assumed for a leaf without samples; None if unknown.
        """
        ahead = self._waiting[: self._count_ahead(rank, arrived_at)]
        places, until_place, competing = 0, math.inf, 0
        for tracker in trackers:
            free = _open_slots(tracker, False, now, typical_seconds)
            ahead_at_leaf = _count_at(tracker, ahead)
            places += max(0, math.floor(free))
            if free >= ahead_at_leaf + 1 or places > len(ahead):
                return 0.0
            seconds = max(0.0, 1.0 - free) * _latency(tracker, typical_seconds)
            until_place = min(until_place, seconds / tracker.pool.slots)
            competing = max(competing, ahead_at_leaf)
        if not trackers:
            return 0.0
        if not competing:
            return until_place
        return until_place + competing * self._start_interval(trackers, now, typical_seconds)

    def preceding_ranks(self, rank: int, now: float) -> int:
        """Returns how many more urgent ranks wait, or are expected as they have used the service.

        Args:
            rank: Rank, 0 for the most urgent ones.
            now: Current clock, in seconds.
        """
        return sum(
            other < rank and now - requested_at < _DEMAND_SECONDS
            for other, requested_at in self._requested_at_by_rank.items()
        )

    def enter(self, call: WaitingCall, slots: int, now: float) -> None:
        """Adds a call to the order; wakes the last one as displaced if there are too many.

        Args:
            call: The call.
            slots: Slots of all leaves of the service.
            now: Current clock, in seconds.
        """
        if not self._waiting:
            self._started_at = now
            self._seconds_per_start = None
        call.number = next(self._numbers)
        bisect.insort(self._waiting, call, key=lambda waiting: waiting.key)
        if len(self._waiting) > _MAX_WAITING_PER_SLOT * slots:
            last = self._waiting.pop()
            last.is_displaced = True
            last.wake()

    def leave(self, call: WaitingCall, now: float, *, started: bool) -> None:
        """Removes a call from the order, and wakes the next one if it was the first.

        A call that is not in the order is ignored.

        Args:
            call: The call.
            now: Current clock, in seconds.
            started: Whether it is sent.
        """
        index = bisect.bisect_left(self._waiting, call.key, key=lambda waiting: waiting.key)
        if index >= len(self._waiting) or self._waiting[index] is not call:
            return
        del self._waiting[index]
        if started:
            interval = now - self._started_at
            mean = self._seconds_per_start
            self._seconds_per_start = (
                interval if mean is None else mean + _START_SMOOTHING * (interval - mean)
            )
            self._started_at = now
        if index == 0:
            self.wake_first()

    def is_first(self, call: WaitingCall) -> bool:
        """Returns whether no waiting call precedes a call.

        Args:
            call: The call.
        """
        return bool(self._waiting) and self._waiting[0] is call

    def wake_first(self) -> None:
        """Wakes the first waiting call, as a leaf may have a place."""
        if self._waiting:
            self._waiting[0].wake()

    def _count_ahead(self, rank: int, arrived_at: float) -> int:
        return bisect.bisect_left(
            self._waiting, (rank, arrived_at), key=lambda call: (call.rank, call.arrived_at)
        )

    def _is_preceded(self, rank: int, now: float) -> bool:
        """Returns whether a slot of each leaf is kept free, as more urgent ranks lack slots."""
        if self._waiting and self._waiting[0].rank < rank:
            return True
        return any(
            other < rank and now - shortage_at < _SHORTAGE_SECONDS
            for other, shortage_at in self._shortage_at_by_rank.items()
        )

    def _start_interval(
        self, trackers: Sequence[LeafTracker], now: float, typical_seconds: float | None
    ) -> float:
        """Returns the time between the starts of waiting calls, in seconds."""
        observed = self._seconds_per_start
        if observed is None:
            per_second = sum(t.pool.slots / _latency(t, typical_seconds) for t in trackers)
            observed = 1.0 / per_second
        # Calls that have not been sent for long show that the pace has fallen.
        return max(observed, now - self._started_at)


def retry_after_seconds(expected_in_seconds: float, rank: int) -> float:
    """Returns when a refused caller should repeat its request.

    Callers that were refused together return at different times, those of more urgent ranks before
    those of less urgent ones.

    Args:
        expected_in_seconds: Time until capacity is expected.
        rank: Rank of the request, 0 for the most urgent ones.
    """
    seconds = min(max(expected_in_seconds, _MIN_RETRY_SECONDS), _MAX_RETRY_SECONDS)
    return seconds * (1.0 + _RETRY_SPREAD * (rank + random.random()))


def _count_at(tracker: LeafTracker, calls: Sequence[WaitingCall]) -> int:
    """Returns how many of the calls may use a leaf; others do not wait for it."""
    return sum(tracker.leaf.id in call.leaf_ids for call in calls) if calls else 0


def _open_slots(
    tracker: LeafTracker, is_preceded: bool, now: float, typical_seconds: float | None
) -> float:
    """Returns the slots of a leaf that are open to a rank, less the calls that wait there."""
    free = tracker.free_slots(now, _latency(tracker, typical_seconds)) + _ROUNDING_TOLERANCE
    slots = tracker.pool.slots
    if not is_preceded:
        return free + _QUEUED_PER_SLOT * slots
    # A leaf with one slot would never be open to less urgent ranks.
    return free - min(_KEPT_SLOTS, slots - 1)


def _latency(tracker: LeafTracker, typical_seconds: float | None) -> float:
    if tracker.mean_latency is not None:
        return max(tracker.mean_latency, _ROUNDING_TOLERANCE)
    return typical_seconds or _DEFAULT_LATENCY_SECONDS
