"""The ranked queue: priority between ranks with kept shares, fair queueing between clients."""

import itertools
import math
from collections.abc import Mapping

from filbertreach.dispatch._call_queue import CallQueue, QueuedCall, queue_policy
from filbertreach.dispatch._client_queue import ClientQueue
from filbertreach.document import Rank

_MAX_SURPLUS_CALLS = 2.0
"""Bound on the negative deficit of a rank, in calls.

Service above the kept share delays the rank's next claim by at most this many calls. With 0, a
high-priority call that follows a few others would wait behind a rank that was just served.
"""
_PACING_FRACTION = 0.8
"""Minimum interval of paced calls, as a fraction of the mean time between two free slots."""
_PACING_MAX_SLOTS = 8
"""With more slots, calls are not paced: one becomes free soon enough."""
_URGENT_RECENCY_SECONDS = 5.0
"""Calls are paced only if a rank of higher priority was served within this time."""
_COST_SMOOTHING = 0.05
"""Weight of a new sample in the mean service time of a rank."""


class _RankState:
    """Waiting calls of one rank, and its service deficit."""

    def __init__(self, rank: Rank) -> None:
        self.rank = rank
        self.clients = ClientQueue()
        self.deficit = 0.0
        """Service time by which the rank is behind its kept share; negative after a surplus."""
        self.cost: float | None = None
        """Mean service time of the rank's calls, in seconds; None before the first sample."""
        self.last_popped_at = -math.inf
        """Time of the last pop, in seconds of the dispatch clock."""
        self.last_pop_number = -1
        """Sequence number of the last pop; ranks of equal priority are served in turn."""


@queue_policy("ranked")
class RankedQueue(CallQueue):
    """Serves the highest priority first, unless a rank is behind its kept share.

    While a rank has waiting calls, each popped call adds `kept_share` times its service time to the
    rank's deficit, and the rank's own calls reduce it. A rank whose deficit reaches one call is
    served before others, the largest deficit first. As the kept shares add up to at most 1, a rank
    that always has calls waiting gets its share of the service time, less a constant. `pop` is
    work-conserving: it never withholds a call to reserve capacity for a rank without calls. The
    accounting is that of deficit round robin (M. Shreedhar, G. Varghese, "Efficient Fair Queuing
    using Deficit Round Robin", SIGCOMM 1995), with priorities in place of the round.

    Queue space is divided in the same way: a full queue evicts from the rank of the lowest priority
    that holds more than its kept share of the places.

    With few slots, calls that were sent together end together, and a high-priority call then waits
    up to a whole service time. `pacing_delay_seconds` paces the calls of lower priorities, so that
    a slot becomes free at regular intervals.
    """

    def __init__(self, *, ranks: Mapping[str, Rank], max_length: int) -> None:
        """Creates an empty queue; see `CallQueue`."""
        super().__init__(ranks=ranks, max_length=max_length)
        states = sorted(
            (_RankState(rank) for rank in ranks.values()), key=lambda state: _sort_key(state)
        )
        last = states[-1].rank.priority if states else 0
        self._state_by_rank = {state.rank.name: state for state in states}
        unknown = Rank(name="", priority=last + 1, target_ms=0.0, worth=0.0, kept_share=0.0)
        self._unknown_rank_state = _RankState(unknown)
        self._rank_states = [*states, self._unknown_rank_state]
        self._pop_numbers = itertools.count()

    def length_by_rank(self) -> dict[str, int]:
        """Returns the number of waiting calls by rank name; unknown ranks are under ''."""
        lengths = {name: len(state.clients) for name, state in self._state_by_rank.items()}
        if self._unknown_rank_state.clients:
            lengths[""] = len(self._unknown_rank_state.clients)
        return lengths

    def record_service_time(self, rank: str, seconds: float) -> None:
        """Updates the mean service time of a rank, the unit of its deficit; see `CallQueue`."""
        state = self._state(rank)
        if all(other.cost is None for other in self._rank_states):
            # Before the first sample, deficits are counted in calls.
            for other in self._rank_states:
                other.deficit *= seconds
        if state.cost is None:
            state.cost = seconds
        else:
            state.cost += _COST_SMOOTHING * (seconds - state.cost)

    def pacing_delay_seconds(self, now: float, *, slots: int, latency_seconds: float) -> float:
        """Paces calls of lower priorities; see `CallQueue`."""
        if slots > _PACING_MAX_SLOTS:
            return 0.0
        waiting = [state for state in self._rank_states if state.clients]
        if not waiting:
            return 0.0
        priority = waiting[0].rank.priority
        urgent_at = max(
            (state.last_popped_at for state in self._rank_states if state.rank.priority < priority),
            default=-math.inf,
        )
        if now - urgent_at > _URGENT_RECENCY_SECONDS:
            return 0.0
        last = max(
            state.last_popped_at for state in self._rank_states if state.rank.priority >= priority
        )
        return max(0.0, last + _PACING_FRACTION * latency_seconds / slots - now)

    def _state(self, rank: str) -> _RankState:
        return self._state_by_rank.get(rank, self._unknown_rank_state)

    def _add(self, call: QueuedCall) -> None:
        self._state(call.rank).clients.push(call)

    def _pop_next(self, now: float) -> QueuedCall:
        waiting = [state for state in self._rank_states if state.clients]
        costs = {id(state): self._mean_cost(state) for state in waiting}
        due = [state for state in waiting if state.deficit >= costs[id(state)]]
        if due:
            chosen = max(due, key=lambda state: state.deficit / costs[id(state)])
        else:
            chosen = min(waiting, key=lambda state: (state.rank.priority, state.last_pop_number))
        cost = costs[id(chosen)]
        for state in waiting:
            state.deficit += state.rank.kept_share * cost
        chosen.deficit = max(chosen.deficit - cost, -_MAX_SURPLUS_CALLS * cost)
        chosen.last_popped_at = now
        chosen.last_pop_number = next(self._pop_numbers)
        call = chosen.clients.pop()
        self._cap_idle_deficit(chosen)
        return call

    def _discard(self, call: QueuedCall) -> None:
        state = self._state(call.rank)
        state.clients.discard(call)
        self._cap_idle_deficit(state)

    def _cap_idle_deficit(self, state: _RankState) -> None:
        """Clears the deficit of a rank without waiting calls; it could save one up for a burst."""
        if not state.clients:
            state.deficit = min(state.deficit, 0.0)

    def _mean_cost(self, state: _RankState) -> float:
        if state.cost is not None:
            return max(state.cost, 1e-9)
        known = [other.cost for other in self._rank_states if other.cost is not None]
        return max(sum(known) / len(known), 1e-9) if known else 1.0

    def _victim(self, pushed: QueuedCall) -> QueuedCall:
        over = [
            state
            for state in self._rank_states
            if len(state.clients) > state.rank.kept_share * self._max_length
        ]
        # With shares that add up to 1, rounding can leave no rank above its share.
        state = over[-1] if over else self._state(pushed.rank)
        return state.clients.newest_call_of_longest_backlog()

    def _calls_ahead(self, rank: str) -> float:
        own = self._state(rank)
        priority = own.rank.priority
        urgent = sum(
            len(state.clients) for state in self._rank_states if state.rank.priority <= priority
        )
        taken = sum(
            state.rank.kept_share
            for state in self._rank_states
            if state.rank.priority > priority and state.clients
        )
        by_priority = urgent / max(1.0 - taken, 1e-9)
        if own.rank.kept_share <= 0:
            return by_priority
        # The kept share serves the call once the deficit covers it as well.
        return min(by_priority, (len(own.clients) + 1) / own.rank.kept_share)


def _sort_key(state: _RankState) -> tuple[int, float]:
    return state.rank.priority, -state.rank.worth
