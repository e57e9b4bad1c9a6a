"""What the tier itself sees of one leaf."""

import bisect
import enum
import math
from typing import Literal

from filbertreach.decisions._limits import ConcurrencyLimit
from filbertreach.document import Leaf, Pool

LeafState = Literal["starting", "ready", "draining", "suspect"]

_SMOOTHING = 0.1
"""Weight of a new sample in the mean latency and in the failure rate."""
_RISE_FACTOR = 3.0
"""One sample counts as at most this many means, so that a lone straggler does not damn a leaf."""
_SUSPECT_STRIKES = 12
"""Strikes without an answer in between after which a leaf gets only probes."""
_FAILURE_STRIKES = 4
_OVERTAKEN_STRIKES = 3
"""For a call that was overtaken by its hedge: a stuck leaf has only these while hedges win."""
_WEAK_STRIKES = 1
"""For refusals and for timeouts of calls that had little time left.

Both happen to a healthy leaf in an overload. When they counted in full, leaves were suspected in a
flood and the goodput fell to 2% of capacity.
"""
_OVERTAKEN_FACTOR = 1.5
"""A call that is cancelled after this many mean latencies of answers was overtaken."""
_FULL_TIMEOUT_FACTOR = 3.0
"""A timeout after this many mean latencies is a failure of the leaf."""
_FIRST_BACKOFF_SECONDS = 0.25
_LONGEST_BACKOFF_SECONDS = 5.0
_REPORT_FRESH_SECONDS = 1.0
"""Older load reports are ignored; see design.md, section 1.3: reports lag or mislead."""
_STUCK_FACTOR = 8.0
"""A call in flight for this many mean latencies is evidence about its leaf before it ends."""
_LEAST_STUCK_SECONDS = 0.02
_FORGET_SECONDS = 2.0
"""Time after which the latency of a leaf that gets no calls is no longer believed."""
_FAILURE_PENALTY = 10.0
"""Cost of a failed call in mean latencies: it is sent again and may miss its deadline."""


class LeafOutcome(enum.Enum):
    """How a call to a leaf ended."""

    OK = "ok"
    """A valid answer."""
    REFUSED = "refused"
    """The leaf proved that it did not start the call."""
    ERROR = "error"
    """An error or an invalid answer."""
    TIMEOUT = "timeout"
    """No answer before the deadline."""
    CANCELLED = "cancelled"
    """The tier no longer needs the answer, for example because a hedge was faster."""
    CONNECTION_LOST = "connection_lost"
    """The connection closed, could not be opened or went silent."""


class LeafTracker:
    """In-flight calls, latency, failures and state of one leaf.

    A leaf starts in state `starting` with one call at a time; each answer doubles its room up to
    the limit (slow start: V. Jacobson, "Congestion Avoidance and Control", SIGCOMM 1988). After
    failures in a row it is `suspect`: it gets one probe, after a time that doubles with each failed
    probe, and an answer makes it `starting` again.
    """

    def __init__(
        self,
        *,
        leaf: Leaf,
        pool: Pool,
        smoothing: float = _SMOOTHING,
        stuck_factor: float = _STUCK_FACTOR,
    ) -> None:
        """Creates the tracker of a leaf that nothing is known about.

        Args:
            leaf: The leaf.
            pool: Its pool.
            smoothing: Weight of a new sample in the mean latency; more for a sender that sees only
                a few of the leaf's calls.
            stuck_factor: A call in flight for this many mean latencies is evidence about its leaf
                before it ends.
        """
        self._smoothing = smoothing
        self._stuck_factor = stuck_factor
        self.leaf = leaf
        self.pool = pool
        self.limit = ConcurrencyLimit(pool=pool)
        self.leaving = False
        """Set while another source, such as the host list or a planned change, drains the leaf."""
        self.distance_seconds = 0.0
        """Added to the expected time of a leaf that is far away, so that calls stay near."""
        self._state: LeafState = "starting"
        self._ramp = 1
        self._started_at: list[float] = []
        self._mean: float | None = None
        self._answered_mean = math.inf
        """Like the mean, but without calls that were cut off; infinite before the first answer."""
        self._failure_rate = 0.0
        self._strikes = 0
        self._backoff = 0.0
        self._probe_at = -math.inf
        self._last_started_at = -math.inf
        self._learned_at = -math.inf
        self._reported_others = 0
        self._reported_at = -math.inf
        self.reported_load = 0
        """In flight and queued as last reported, of any age."""

    @property
    def state(self) -> LeafState:
        """State as the tier sees it."""
        return "draining" if self.leaving else self._state

    @property
    def in_flight(self) -> int:
        """Calls sent and not finished."""
        return len(self._started_at)

    @property
    def mean_latency(self) -> float | None:
        """Smoothed latency in seconds; None before the first answer."""
        return self._mean

    @property
    def failure_rate(self) -> float:
        """Smoothed share of calls that failed or were refused, 0 to 1."""
        return self._failure_rate

    @property
    def last_started_at(self) -> float:
        """When a call was last sent, in seconds of the dispatch clock."""
        return self._last_started_at

    def has_room(self, now: float) -> bool:
        """Returns whether the leaf may be sent one more call.

        Args:
            now: Seconds of the dispatch clock.
        """
        if self.state == "draining":
            return False
        if self._state == "suspect":
            return now >= self._probe_at and not self._started_at
        return self.in_flight < self._room()

    def record_start(self, now: float) -> None:
        """Records that a call was sent.

        Args:
            now: Seconds of the dispatch clock.
        """
        bisect.insort(self._started_at, now)
        self._last_started_at = now

    def record_finish(self, outcome: LeafOutcome, latency_seconds: float, now: float) -> None:
        """Records that a call ended.

        Args:
            outcome: How it ended.
            latency_seconds: Time since it was sent.
            now: Seconds of the dispatch clock.
        """
        in_flight = self.in_flight
        self._remove_start(now - latency_seconds)
        if outcome is LeafOutcome.OK:
            self._succeeded()
            self._learn_latency(latency_seconds, now)
            if self._answered_mean == math.inf:
                self._answered_mean = latency_seconds
            self._answered_mean += _SMOOTHING * (latency_seconds - self._answered_mean)
            self.limit.succeeded(latency_seconds, in_flight, now)
        elif outcome is LeafOutcome.REFUSED:
            self._learn_failure(1.0)
            self.limit.refused(now)
            self._failed(now, _WEAK_STRIKES)
        elif outcome is LeafOutcome.TIMEOUT and self._is_short(latency_seconds):
            self._learn_at_least(latency_seconds, now)
            self._failed(now, _WEAK_STRIKES)
        elif outcome is LeafOutcome.CANCELLED:
            if latency_seconds > _OVERTAKEN_FACTOR * self._answered_mean:
                self._failed(now, _OVERTAKEN_STRIKES)
            self._learn_at_least(latency_seconds, now)
        else:
            if outcome is LeafOutcome.TIMEOUT:
                self._learn_at_least(latency_seconds, now)
            self._learn_failure(1.0)
            self._failed(now, _FAILURE_STRIKES)

    def record_load_report(self, in_flight: int, queued: int, now: float) -> None:
        """Records a load report, which is a hint only.

        Args:
            in_flight: Calls that the leaf says it runs.
            queued: Calls that the leaf says wait in it.
            now: Seconds of the dispatch clock.
        """
        self.reported_load = in_flight + queued
        # A report below what is in flight from here contradicts itself and says nothing of others.
        self._reported_others = max(0, self.reported_load - self.in_flight)
        self._reported_at = now

    def record_reported_state(
        self, state: Literal["starting", "ready", "draining"], now: float
    ) -> None:
        """Records the state that the leaf gives of itself.

        Args:
            state: Reported state.
            now: Seconds of the dispatch clock.
        """
        if state == "draining":
            self._state = "draining"
        elif state == "starting" or self._state == "draining":
            # "ready" ends draining, but does not clear a suspicion that calls gave rise to.
            self._restart()

    def expected_seconds(self, now: float, typical_seconds: float) -> float:
        """Estimates how long a call takes that is sent now.

        Args:
            now: Seconds of the dispatch clock.
            typical_seconds: Latency of the service, taken for what is not known of the leaf.

        Returns:
            Seconds, with failures counted as the time that they cost.
        """
        latency = self._believed_latency(now, typical_seconds)
        slots = self.pool.slots
        ahead = self.in_flight + self._others(now)
        waiting = max(0.0, ahead + 1 - slots) / slots
        failure_rate = self._failure_rate * self._belief(now)
        failing = failure_rate * _FAILURE_PENALTY * max(typical_seconds, latency)
        return latency * (1.0 + waiting) + failing + self.distance_seconds

    def is_stuck(self, now: float, typical_seconds: float) -> bool:
        """Returns whether its oldest call has waited far longer than calls usually take.

        Args:
            now: Seconds of the dispatch clock.
            typical_seconds: Latency of the service, taken if the leaf has not answered yet.
        """
        if not self._started_at:
            return False
        usual = self._mean if self._mean is not None else typical_seconds
        return now - self._started_at[0] > max(self._stuck_factor * usual, _LEAST_STUCK_SECONDS)

    def _room(self) -> int:
        return min(self.limit.limit, self._ramp) if self._state == "starting" else self.limit.limit

    def _believed_latency(self, now: float, typical_seconds: float) -> float:
        known = typical_seconds if self._mean is None else self._mean
        if self._started_at:
            # The remaining time of a call that is out for long is about its age so far.
            age = now - self._started_at[0]
            if age > self._stuck_factor * known:
                known = max(known, age)
        elif self._mean is not None:
            known = typical_seconds + (known - typical_seconds) * self._belief(now)
        return known

    def _belief(self, now: float) -> float:
        """Weight of what was seen; it falls with idle time, so that a bad leaf is tried again."""
        if self._started_at:
            return 1.0
        return math.exp(-max(0.0, now - self._last_started_at) / _FORGET_SECONDS)

    def _others(self, now: float) -> float:
        """Calls of other senders, from a fresh report; capped, as a report may be wrong."""
        if now - self._reported_at > _REPORT_FRESH_SECONDS:
            return 0.0
        return float(min(self._reported_others, self.pool.slots))

    def _remove_start(self, started_at: float) -> None:
        if not self._started_at:
            return
        index = bisect.bisect_left(self._started_at, started_at)
        nearest = min(
            range(max(0, index - 1), min(len(self._started_at), index + 1)),
            key=lambda candidate: abs(self._started_at[candidate] - started_at),
        )
        del self._started_at[nearest]

    def _is_short(self, seconds: float) -> bool:
        return self._mean is not None and seconds < _FULL_TIMEOUT_FACTOR * self._mean

    def _learn_latency(self, seconds: float, now: float) -> None:
        since, self._learned_at = now - self._learned_at, now
        if self._mean is None:
            self._mean = seconds
            return
        # After a pause the old mean says little, so one sample nearly replaces it.
        weight = max(self._smoothing, 1.0 - math.exp(-since / _FORGET_SECONDS))
        sample = min(seconds, self._mean * _RISE_FACTOR)
        self._mean += weight * (sample - self._mean)

    def _learn_at_least(self, seconds: float, now: float) -> None:
        """A call that was cut off took at least this long."""
        if self._mean is None or seconds > self._mean:
            self._learn_latency(seconds, now)

    def _learn_failure(self, failed: float) -> None:
        self._failure_rate += _SMOOTHING * (failed - self._failure_rate)

    def _succeeded(self) -> None:
        self._learn_failure(0.0)
        self._strikes = 0
        self._backoff = 0.0
        if self._state == "suspect":
            self._restart()
        if self._state == "starting":
            self._ramp *= 2
            if self._ramp > self.limit.limit:
                self._state = "ready"

    def _failed(self, now: float, strikes: int) -> None:
        self._strikes += strikes
        if self._state == "draining" or self._strikes < _SUSPECT_STRIKES:
            return
        if self._state == "suspect" and now < self._probe_at:
            # A call from before the suspicion, not a probe.
            return
        self._state = "suspect"
        self._backoff = min(
            max(2.0 * self._backoff, _FIRST_BACKOFF_SECONDS), _LONGEST_BACKOFF_SECONDS
        )
        self._probe_at = now + self._backoff

    def _restart(self) -> None:
        # What was seen before says nothing about a leaf that is back.
        self._state = "starting"
        self._ramp = 1
        self._mean = None
        self._failure_rate = 0.0
