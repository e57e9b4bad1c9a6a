"""Limits on the requests of one route, controlled by the load of the leaves."""

import math

_UPDATE_INTERVAL_SECONDS = 0.1
"""Time between two updates, in which the effect of the previous one begins to show in reports."""
_MAX_INTERVALS = 10.0
"""Most intervals without an update for which the share grows."""
_GAIN = 0.3
"""Relative growth without load, and relative shrinkage at twice the accepted load."""
_MIN_FACTOR = 0.5
"""Smallest factor of one update, so that one wrong report costs at most half."""
_ADDITIVE_INCREASE = 0.01
"""Growth of the share per update in addition; it equalises the shares of hosts."""
_MIN_SHARE = 0.02
"""Smallest share; what is still admitted keeps measuring the load."""
_MAX_SHARE = 3.0
"""Largest share. Above 1, all requests are admitted and short peaks of load refuse none."""
_INITIAL_LIMIT = 2.0
"""Requests in progress until the load is known."""
_MIN_LIMIT = 2.0
_MAX_LIMIT = 1000.0
_MIN_UTILISATION = 0.8
"""The limit grows only if this part of it is used. What is not used says nothing about the load,
and a large unused limit would admit a whole flood at once."""
_ACCEPTED_LOAD_OF_MOST_URGENT = 1.5
"""Calls at a leaf per slot that the most urgent rank accepts: a short queue keeps slots in use."""
_ACCEPTED_LOAD_OF_NEXT = 0.9
"""The same for the next rank; it leaves a slot free most of the time."""
_ACCEPTED_LOAD_STEP = 0.1
"""Reduction of the accepted load for each further rank."""
_MIN_ACCEPTED_LOAD = 0.5
_FREE_PART = 0.5
"""Part of the accepted load below which nothing is refused."""
_MAX_LOAD_AGE_SECONDS = 1.0
"""Age above which the load in earlier answers is not used."""
_MAX_PRECEDED_LOAD_AGE_SECONDS = 2.0
"""The same for ranks that are preceded by others. It is longer as their calls may be long."""
_LOAD_SMOOTHING = 0.3
"""Weight of an answer in the load."""
_MAX_REPORTED_LOAD = 8.0
"""Running and waiting calls per slot above which a report counts as this many; it may be wrong."""
_ROUNDING_TOLERANCE = 1e-9


class AdmissionWindow:
    """Admits a share of the requests, and limits those in progress.

    The share keeps leaves busy and their queues short. It needs no knowledge of how many hosts
    there are or how the callers are spread over them. The limit bounds what a flood can add before
    the first reports of it arrive. Less urgent ranks accept less load, so theirs is the share that
    shrinks while more urgent requests fill the leaves (thresholds by rank as in DAGOR, Zhou et al.,
    SoCC 2018).
    """

    def __init__(self) -> None:
        """Creates a window without requests."""
        self.share = _MAX_SHARE
        """Share of the requests that is admitted; all from 1 on."""
        self.limit = _INITIAL_LIMIT
        """Largest number of requests in progress."""
        self.in_progress = 0
        """Number of admitted requests that have not ended."""
        self._is_preceded = False
        """Whether more urgent ranks use the leaves."""
        self._credit = 0.0
        """Sum of the shares of past requests, less those admitted; a request takes 1."""
        self._peak = 0
        """Largest number of requests in progress since the last update."""
        self._reported_load = 0.0
        """Smoothed load in answers to requests of the route, in calls per slot."""
        self._reported_at = -math.inf
        self._updated_at = -math.inf
        self._reduced_at = 0.0
        """Clock when the share fell below 1, in seconds."""

    def is_due(self, now: float) -> bool:
        """Returns whether `update` has an effect.

        Args:
            now: Current clock, in seconds.
        """
        return now - self._updated_at >= _UPDATE_INTERVAL_SECONDS

    def record_load(self, load: float, now: float) -> None:
        """Records the load that a leaf reported with the answer to a request of the route.

        Args:
            load: Running and waiting calls per slot.
            now: Current clock, in seconds.
        """
        is_old = now - self._reported_at > _MAX_PRECEDED_LOAD_AGE_SECONDS
        weight = 1.0 if is_old else _LOAD_SMOOTHING
        self._reported_load += weight * (min(load, _MAX_REPORTED_LOAD) - self._reported_load)
        self._reported_at = now

    def update(self, load: float | None, *, preceding_ranks: int, now: float) -> None:
        """Updates share and limit by the load of the leaves.

        Args:
            load: Running and waiting calls per slot at the leaves that the next request may use, by
                recent reports; None to take the answers to earlier requests. Without these either,
                nothing is known, and all requests are admitted.
            preceding_ranks: Number of more urgent ranks that use the leaves.
            now: Current clock, in seconds.
        """
        max_age = _MAX_PRECEDED_LOAD_AGE_SECONDS if preceding_ranks else _MAX_LOAD_AGE_SECONDS
        if load is None and now - self._reported_at <= max_age:
            if self._reported_at <= self._updated_at:
                # Nothing new is known.
                return
            load = self._reported_load
        intervals = min((now - self._updated_at) / _UPDATE_INTERVAL_SECONDS, _MAX_INTERVALS)
        self._updated_at = now
        accepted = _accepted_load(preceding_ranks)
        self._is_preceded = preceding_ranks > 0
        excess = ((load or 0.0) - accepted) / accepted
        factor = max(_MIN_FACTOR, 1.0 - _GAIN * excess)
        share = self.share * factor
        if excess <= 0.0:
            # Requests that are rare do not delay the return to a full share.
            share = self.share * factor**intervals + _ADDITIVE_INCREASE * intervals
        if load is None or load < _FREE_PART * accepted:
            # Nothing is refused because nothing is known, or if leaves are free now.
            share = max(share, 1.0)
        if excess > 0.0 or self._peak >= _MIN_UTILISATION * self.limit:
            self.limit = min(_MAX_LIMIT, max(_MIN_LIMIT, self.limit * factor))
        self._peak = self.in_progress
        if self.share >= 1.0 > share:
            self._reduced_at = now
        self.share = min(_MAX_SHARE, max(_MIN_SHARE, share))

    def admit(self) -> bool:
        """Decides on the next request; admitted requests are evenly spread over all."""
        self._credit = min(self._credit + self.share, 1.0)
        if self._credit < 1.0 - _ROUNDING_TOLERANCE:
            return False
        self._credit -= 1.0
        return True

    def is_load_known(self, load: float | None, now: float) -> bool:
        """Returns whether a leaf has reported lately; otherwise, nothing is refused.

        Args:
            load: As for `update`.
            now: Current clock, in seconds.
        """
        return load is not None or now - self._reported_at <= _MAX_PRECEDED_LOAD_AGE_SECONDS

    def try_enter(self, *, beyond_limit: bool = False) -> bool:
        """Counts an admitted request if there is room; `leave` is to be called when it ends.

        Only ranks that are preceded by others are limited: a wait for room would make requests of
        the most urgent rank late.

        Args:
            beyond_limit: Whether the request enters even if there is no room.
        """
        is_full = self._is_preceded and self.in_progress >= math.floor(self.limit)
        if is_full and not beyond_limit:
            return False
        self.in_progress += 1
        self._peak = max(self._peak, self.in_progress)
        return True

    def leave(self) -> None:
        """Counts the end of a request that has entered."""
        self.in_progress -= 1

    def full_share_in_seconds(self, now: float) -> float:
        """Returns the expected time until all requests are admitted.

        An overload is expected to last as long as it has lasted, but at least until the share would
        be back at 1 if the leaves became idle now.

        Args:
            now: Current clock, in seconds.
        """
        if self.share >= 1.0:
            return _UPDATE_INTERVAL_SECONDS
        intervals = math.log(1.0 / self.share) / math.log(1.0 + _GAIN)
        return max(intervals * _UPDATE_INTERVAL_SECONDS, now - self._reduced_at)


def _accepted_load(preceding_ranks: int) -> float:
    """Returns the calls at a leaf per slot that a rank accepts.

    Args:
        preceding_ranks: Number of more urgent ranks that use the leaves.
    """
    if not preceding_ranks:
        return _ACCEPTED_LOAD_OF_MOST_URGENT
    load = _ACCEPTED_LOAD_OF_NEXT - _ACCEPTED_LOAD_STEP * (preceding_ranks - 1)
    return max(_MIN_ACCEPTED_LOAD, load)
