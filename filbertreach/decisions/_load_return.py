"""Pace at which load returns to leaves after an evacuation or a start of many of them."""

import collections
import math
import random
from collections.abc import Callable, Iterable

RETURN_SECONDS = 8.0
"""Time until the leaves get all the calls that they would get without a pace."""
_FIRST_SHARE = 1.0 / 32.0
"""Share of those calls that they get at first. It doubles every 1.6 s, as in a slow start."""
_START_WINDOW_SECONDS = 5.0
"""Time within which leaves of a data centre start together."""
_MIN_STARTED = 3
"""Least number of leaves of a mass return; see `_MIN_STARTED_SHARE`."""
_MIN_STARTED_SHARE = 0.25
"""Leaves that start within the window are a mass return if they are at least this part of the
leaves of their data centre and at least `_MIN_STARTED`. A rolling restart stays below that."""
_DROP_SECONDS = 1.0
"""Shortest time between two removals of starts and returns that have ended."""


class _Starts:
    """Leaves of one data centre that started within `_START_WINDOW_SECONDS`."""

    def __init__(self) -> None:
        self._started_at_by_leaf: collections.OrderedDict[str, float] = collections.OrderedDict()
        """Time of the latest start in seconds, oldest first."""
        self._waiting: dict[str, None] = {}
        """Ids of those whose return has not begun, as they were too few; an ordered set."""

    def __len__(self) -> int:
        return len(self._started_at_by_leaf)

    def add(self, leaf_id: str, now: float) -> None:
        """Adds a start, and removes those before the window."""
        self._started_at_by_leaf[leaf_id] = now
        # A leaf that starts again counts from its latest start.
        self._started_at_by_leaf.move_to_end(leaf_id)
        self._waiting[leaf_id] = None
        self.remove_old(now)

    def remove_old(self, now: float) -> None:
        """Removes the starts before the window."""
        while self._started_at_by_leaf:
            oldest = next(iter(self._started_at_by_leaf))
            if self._started_at_by_leaf[oldest] >= now - _START_WINDOW_SECONDS:
                return
            del self._started_at_by_leaf[oldest]
            self._waiting.pop(oldest, None)

    def take_waiting(self) -> list[str]:
        """Returns the leaves whose return has not begun; it begins now."""
        leaf_ids = list(self._waiting)
        self._waiting.clear()
        return leaf_ids


class LoadReturn:
    """Decides which calls may use leaves that have returned to use together; one for each host.

    Hosts learn of a return at nearly the same time, and would all move their calls to leaves whose
    caches are empty. Instead, a random share of the calls may use them, which grows with time. The
    sum over all hosts then grows by the same share, so hosts need not agree. It is for the caller
    to use a withheld leaf nevertheless if no other one can take the call.
    """

    def __init__(self, *, draw: Callable[[], float] = random.random) -> None:
        """Creates the state of a host that knows of no return.

        Args:
            draw: Returns random numbers in [0, 1).
        """
        self._draw = draw
        self._began_at_by_data_centre: dict[str, float] = {}
        """When the evacuation of a data centre was withdrawn, by data centre, in seconds."""
        self._began_at_by_leaf: dict[str, float] = {}
        """When a leaf that started together with others began to get calls, in seconds."""
        self._starts_by_data_centre: dict[str, _Starts] = {}
        self._active_until = -math.inf
        """Clock until which load returns to some leaf, in seconds."""
        self._drop_at = -math.inf
        """Clock from which starts and returns that have ended are dropped, in seconds."""

    def on_evacuated(self, data_centre: str) -> None:
        """Ends a return to a data centre.

        Args:
            data_centre: The data centre.
        """
        self._began_at_by_data_centre.pop(data_centre, None)

    def on_withdrawn(self, data_centre: str, now: float) -> None:
        """Begins the return to a data centre whose evacuation was withdrawn.

        Args:
            data_centre: The data centre.
            now: Current clock, in seconds.
        """
        self._drop_ended(now)
        self._began_at_by_data_centre[data_centre] = now
        self._active_until = now + RETURN_SECONDS

    def on_started(self, leaf_id: str, data_centre: str, now: float, *, leaves: int) -> int:
        """Records that a leaf came into use, and begins a return if many do so.

        Args:
            leaf_id: Id of the leaf.
            data_centre: Its data centre.
            now: Current clock, in seconds.
            leaves: Number of listed leaves of the data centre, this one included.

        Returns:
            Number of leaves whose return began by this start, 0 if it is no mass return.
        """
        self._drop_ended(now)
        starts = self._starts_by_data_centre.setdefault(data_centre, _Starts())
        starts.add(leaf_id, now)
        if len(starts) < _MIN_STARTED or len(starts) < _MIN_STARTED_SHARE * leaves:
            return 0
        returning = starts.take_waiting()
        self._began_at_by_leaf.update(dict.fromkeys(returning, now))
        self._active_until = now + RETURN_SECONDS
        return len(returning)

    def share(self, leaf_id: str, data_centre: str, now: float) -> float:
        """Returns the share of calls that may use a leaf, 1 if it is not returning.

        Args:
            leaf_id: Id of the leaf.
            data_centre: Its data centre.
            now: Current clock, in seconds.
        """
        began_at = max(
            self._began_at_by_data_centre.get(data_centre, -math.inf),
            self._began_at_by_leaf.get(leaf_id, -math.inf),
        )
        progress = (now - began_at) / RETURN_SECONDS
        if progress >= 1.0:
            return 1.0
        return math.pow(_FIRST_SHARE, 1.0 - max(0.0, progress))

    def is_active(self, now: float) -> bool:
        """Returns whether load is returning to any leaf.

        Args:
            now: Current clock, in seconds.
        """
        return now < self._active_until

    def withheld(self, leaves: Iterable[tuple[str, str]], now: float) -> frozenset[str]:
        """Returns the leaves that one call does not use, chosen at random.

        Args:
            leaves: Id and data centre of the leaves that may get the call.
            now: Current clock, in seconds.

        Returns:
            Ids of leaves. One number is drawn for the call: if each leaf drew its own, nearly every
            call would find one that it may use, and all these calls would go there.
        """
        if not self.is_active(now):
            return frozenset()
        drawn = self._draw()
        return frozenset(
            leaf_id
            for leaf_id, data_centre in leaves
            if drawn >= self.share(leaf_id, data_centre, now)
        )

    def _drop_ended(self, now: float) -> None:
        if now < self._drop_at:
            return
        self._drop_at = now + _DROP_SECONDS
        for name, starts in list(self._starts_by_data_centre.items()):
            starts.remove_old(now)
            if not starts:
                del self._starts_by_data_centre[name]
        began_after = now - RETURN_SECONDS
        for began_at_by_name in (self._began_at_by_data_centre, self._began_at_by_leaf):
            for name in [n for n, began_at in began_at_by_name.items() if began_at <= began_after]:
                del began_at_by_name[name]
