"""The chosen queue: urgent ranks first, kept shares, fair between clients."""

import itertools
import math
from collections.abc import Mapping

from filbertreach.dispatch._call_queue import CallQueue, QueuedCall, queue_policy
from filbertreach.dispatch._client_queue import ClientQueue
from filbertreach.document import Rank

_SURPLUS_CALLS = 2.0
"""Calls by which recent service above the kept share delays a rank's next claim on it.

Without any, an urgent call that follows a few others waits behind a rank that was served a moment
ago.
"""
_SPACING = 0.8
"""Least time between two calls that are not urgent, in mean times between two free slots."""
_SPACING_MOST_SLOTS = 8
"""With more slots one becomes free soon enough without spacing."""
_URGENT_RECENTLY_SECONDS = 5.0
"""Calls are spaced only for a more urgent rank that was served in this time."""
_COST_SMOOTHING = 0.05
"""Weight of a new sample in the mean service time of a rank."""


class _Lane:
    """Waiting calls of one rank, and what the rank is owed."""

    def __init__(self, rank: Rank) -> None:
        self.rank = rank
        self.clients = ClientQueue()
        self.owed = 0.0
        """Service time that the rank is behind its kept share; negative after a surplus."""
        self.cost: float | None = None
        """Mean service time of its calls; None before the first sample."""
        self.popped_at = -math.inf
        """When a call was last taken, in seconds of the dispatch clock."""
        self.popped_number = -1
        """Number of its last taken call; ranks of equal priority take turns."""


@queue_policy("ranked")
class RankedQueue(CallQueue):
    """Serves the most urgent rank first, except when a rank is behind its kept share.

    While a rank waits, each call that is sent adds `kept_share` times its service time to what the
    rank is owed, and the rank's own calls reduce it. A rank that is owed a whole call goes first,
    the furthest behind before others. As the kept shares add up to at most 1, a rank that always
    has calls waiting gets its share of any number of sent calls, less a constant. The queue never
    holds back a call while nothing more urgent waits. The account is that of deficit round robin
    (M. Shreedhar, G. Varghese, "Efficient Fair Queuing using Deficit Round Robin", SIGCOMM 1995)
    with priority in place of the round.

    Space is divided like service: a full queue drops from the least urgent rank that holds more
    than its kept share of the places.

    With few slots, calls that were sent together end together, and an urgent call then waits up to
    a whole service time. `pacing_delay_seconds` spaces the calls of less urgent ranks, so that a
    slot becomes free at regular intervals.
    """

    def __init__(self, *, ranks: Mapping[str, Rank], max_length: int) -> None:
        """Creates an empty queue; see `CallQueue`."""
        super().__init__(ranks=ranks, max_length=max_length)
        lanes = sorted((_Lane(rank) for rank in ranks.values()), key=lambda lane: _urgency(lane))
        last = lanes[-1].rank.priority if lanes else 0
        self._lane_by_rank = {lane.rank.name: lane for lane in lanes}
        unknown = Rank(name="", priority=last + 1, target_ms=0.0, worth=0.0, kept_share=0.0)
        self._unknown = _Lane(unknown)
        self._lanes = [*lanes, self._unknown]
        self._numbers = itertools.count()

    def length_by_rank(self) -> dict[str, int]:
        """Returns the number of waiting calls by rank name; unknown ranks are under ''."""
        lengths = {name: len(lane.clients) for name, lane in self._lane_by_rank.items()}
        if self._unknown.clients:
            lengths[""] = len(self._unknown.clients)
        return lengths

    def record_service_time(self, rank: str, seconds: float) -> None:
        """Updates the mean service time of a rank, by which shares are counted; see `CallQueue`."""
        lane = self._lane(rank)
        if all(other.cost is None for other in self._lanes):
            # Before the first sample every call counts as 1.
            for other in self._lanes:
                other.owed *= seconds
        if lane.cost is None:
            lane.cost = seconds
        else:
            lane.cost += _COST_SMOOTHING * (seconds - lane.cost)

    def pacing_delay_seconds(self, now: float, *, slots: int, latency_seconds: float) -> float:
        """Spaces calls that are not urgent; see `CallQueue`."""
        if slots > _SPACING_MOST_SLOTS:
            return 0.0
        waiting = [lane for lane in self._lanes if lane.clients]
        if not waiting:
            return 0.0
        priority = waiting[0].rank.priority
        urgent_at = max(
            (lane.popped_at for lane in self._lanes if lane.rank.priority < priority),
            default=-math.inf,
        )
        if now - urgent_at > _URGENT_RECENTLY_SECONDS:
            return 0.0
        last = max(lane.popped_at for lane in self._lanes if lane.rank.priority >= priority)
        return max(0.0, last + _SPACING * latency_seconds / slots - now)

    def _lane(self, rank: str) -> _Lane:
        return self._lane_by_rank.get(rank, self._unknown)

    def _add(self, call: QueuedCall) -> None:
        self._lane(call.rank).clients.push(call)

    def _take(self, now: float) -> QueuedCall:
        waiting = [lane for lane in self._lanes if lane.clients]
        costs = {id(lane): self._cost(lane) for lane in waiting}
        due = [lane for lane in waiting if lane.owed >= costs[id(lane)]]
        if due:
            chosen = max(due, key=lambda lane: lane.owed / costs[id(lane)])
        else:
            chosen = min(waiting, key=lambda lane: (lane.rank.priority, lane.popped_number))
        cost = costs[id(chosen)]
        for lane in waiting:
            lane.owed += lane.rank.kept_share * cost
        chosen.owed = max(chosen.owed - cost, -_SURPLUS_CALLS * cost)
        chosen.popped_at = now
        chosen.popped_number = next(self._numbers)
        call = chosen.clients.pop()
        self._settle(chosen)
        return call

    def _discard(self, call: QueuedCall) -> None:
        lane = self._lane(call.rank)
        lane.clients.discard(call)
        self._settle(lane)

    def _settle(self, lane: _Lane) -> None:
        """A rank with nothing waiting keeps no claim, else it could save one up for a burst."""
        if not lane.clients:
            lane.owed = min(lane.owed, 0.0)

    def _cost(self, lane: _Lane) -> float:
        if lane.cost is not None:
            return max(lane.cost, 1e-9)
        known = [other.cost for other in self._lanes if other.cost is not None]
        return max(sum(known) / len(known), 1e-9) if known else 1.0

    def _victim(self, pushed: QueuedCall) -> QueuedCall:
        over = [
            lane
            for lane in self._lanes
            if len(lane.clients) > lane.rank.kept_share * self._max_length
        ]
        # Rounding can leave no rank above its places when the shares add up to 1.
        lane = over[-1] if over else self._lane(pushed.rank)
        return lane.clients.newest_of_longest()

    def _service_ahead(self, rank: str) -> float:
        own = self._lane(rank)
        priority = own.rank.priority
        urgent = sum(len(lane.clients) for lane in self._lanes if lane.rank.priority <= priority)
        taken = sum(
            lane.rank.kept_share
            for lane in self._lanes
            if lane.rank.priority > priority and lane.clients
        )
        by_priority = urgent / max(1.0 - taken, 1e-9)
        if own.rank.kept_share <= 0:
            return by_priority
        # The call itself has to be owed before the kept share serves it.
        return min(by_priority, (len(own.clients) + 1) / own.rank.kept_share)


def _urgency(lane: _Lane) -> tuple[int, float]:
    return lane.rank.priority, -lane.rank.worth
