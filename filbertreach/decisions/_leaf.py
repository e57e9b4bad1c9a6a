"""State of one leaf as observed from its calls."""

import bisect
import enum
import math
from typing import Literal

from filbertreach.decisions._limits import ConcurrencyLimit
from filbertreach.decisions._observed_slowness import ObservedSlowness
from filbertreach.document import Leaf, Pool

LeafState = Literal["starting", "ready", "draining", "suspect"]

_SMOOTHING = 0.1
"""Weight of a new sample in the smoothed latency and in the failure rate."""
_MAX_SAMPLE_FACTOR = 3.0
"""A sample counts as at most this many means, so that one straggler does not rule out a leaf."""
_SUSPECT_SCORE = 12
"""Failure score, reset by each answer, at which a leaf gets only probes."""
_FAILURE_SCORE = 4
"""Score of a failed call."""
_LOST_TO_HEDGE_SCORE = 3
"""Score of a call that lost to its hedge.

While hedges win, this is the only kind of failure that a stuck leaf shows.
"""
_OVERLOAD_SCORE = 1
"""Score of a refusal, and of a timeout of a call that had little time left.

Both happen to a healthy leaf under overload. With the full score, overload made leaves suspect and
goodput fell to 2% of capacity.
"""
_LOST_TO_HEDGE_FACTOR = 1.5
"""A call that is cancelled after this many mean answer latencies has lost to its hedge."""
_TIMEOUT_FAILURE_FACTOR = 3.0
"""A timeout after at least this many mean latencies counts as a failure of the leaf."""
_FIRST_BACKOFF_SECONDS = 0.25
_MAX_BACKOFF_SECONDS = 5.0
_MAX_REPORT_AGE_SECONDS = 1.0
"""Older load reports are ignored, as reports lag or mislead; see design.md, section 1.3."""
_MAX_REPORTED_PER_SLOT = 8
"""Calls of other senders per slot above which a report counts as this many; it may be wrong."""
_LOAD_SMOOTHING = 0.5
"""Weight of a new report in the mean load."""
_MAX_LOAD_AGE_SECONDS = 0.5
"""Age of the last report from which on the mean load is unknown."""
_MAX_SLOWDOWN = 5.0
"""Largest reported slowdown that counts. With a few slots, a leaf this slow is avoided anyway."""
_SLOWDOWN_DECAY_SECONDS = 0.15
"""Time constant at which a reported slowdown loses weight, as it changes many times per second."""
_STUCK_FACTOR = 8.0
"""A call in flight for more mean latencies than this raises the estimate before it ends."""
_MIN_STUCK_SECONDS = 0.02
_DECAY_SECONDS = 2.0
"""Time constant at which observations of a leaf lose weight while it gets no calls."""
_FAILURE_PENALTY = 10.0
"""Cost of a failed call in latencies: it is sent again and may miss its deadline."""


class LeafOutcome(enum.Enum):
    """How a call to a leaf ended."""

    OK = "ok"
    """A valid answer."""
    REFUSED = "refused"
    """The leaf refused the call before it started it."""
    ERROR = "error"
    """An error or an invalid answer."""
    TIMEOUT = "timeout"
    """No answer before the deadline."""
    CANCELLED = "cancelled"
    """The answer is no longer needed, for example because a hedge was faster."""
    CONNECTION_LOST = "connection_lost"
    """The connection was closed, could not be opened or stopped responding."""


class LeafTracker:
    """In-flight calls, latency, failures and state of one leaf.

    A leaf begins in state `starting` with one call at a time; each answer doubles the allowed
    number of calls up to the limit (slow start: V. Jacobson, "Congestion Avoidance and Control",
    SIGCOMM 1988). After consecutive failures it is `suspect`: it gets single probes, after a delay
    that doubles with each failed probe, and an answer makes it `starting` again.
    """

    def __init__(
        self,
        *,
        leaf: Leaf,
        pool: Pool,
        smoothing: float = _SMOOTHING,
        stuck_factor: float = _STUCK_FACTOR,
    ) -> None:
        """Creates the tracker of a leaf without any observations.

        Args:
            leaf: The leaf.
            pool: Its pool.
            smoothing: Weight of a new sample in the smoothed latency; higher for a sender that
                sends only a few of the leaf's calls.
            stuck_factor: A call in flight for more mean latencies than this raises the latency
                estimate before it ends.
        """
        self._smoothing = smoothing
        self._stuck_factor = stuck_factor
        self.leaf = leaf
        self.pool = pool
        self.limit = ConcurrencyLimit(pool=pool)
        self.leaving = False
        """Whether something else, such as the host list or a planned change, drains the leaf."""
        self.distance_seconds = 0.0
        """Added to the expected time of a distant leaf, so that nearby leaves are preferred."""
        self._state: LeafState = "starting"
        self._slow_start_limit = 1
        self._started_at: list[float] = []
        self._mean_latency: float | None = None
        self._mean_answer_latency = math.inf
        """Smoothed latency of answered calls only; infinite before the first answer."""
        self._failure_rate = 0.0
        self._failure_score = 0
        self._backoff = 0.0
        self._probe_at = -math.inf
        self._last_started_at = -math.inf
        self.last_turn_at = -math.inf
        """When a call was last sent, or the leaf was passed over, in seconds."""
        self._latency_updated_at = -math.inf
        self._reported_load_of_others = 0
        self._reported_at = -math.inf
        self._mean_load: float | None = None
        self.reported_slowdown = 1.0
        """Slowdown in the last load report, however old, 1 to 5."""
        self._mean_slowdown = 1.0
        """Slowdown reported with the answers that make up the smoothed latency, smoothed alike."""
        self._answer_slowdown: float | None = None
        """Slowdown reported with the answer whose latency is recorded next."""
        self.reported_load = 0
        """Calls in flight and queued in the last load report, however old."""
        self.observed_slowness = ObservedSlowness()
        """Slowness that other hosts observe."""

    @property
    def state(self) -> LeafState:
        """Current state."""
        return "draining" if self.leaving else self._state

    @property
    def in_flight(self) -> int:
        """Number of calls that were sent and have not ended."""
        return len(self._started_at)

    @property
    def mean_latency(self) -> float | None:
        """Smoothed latency in seconds; None before the first answer."""
        return self._mean_latency

    @property
    def failure_rate(self) -> float:
        """Smoothed share of calls that failed or were refused, 0 to 1."""
        return self._failure_rate

    @property
    def last_started_at(self) -> float:
        """When a call was last sent, in seconds of the dispatch clock."""
        return self._last_started_at

    @property
    def reported_at(self) -> float:
        """When the last load report was received, in seconds; negative infinity before that."""
        return self._reported_at

    def has_room(self, now: float) -> bool:
        """Returns whether one more call may be sent to the leaf.

        Args:
            now: Seconds of the dispatch clock.
        """
        if self.state == "draining":
            return False
        if self._state == "suspect":
            return now >= self._probe_at and not self._started_at
        return self.in_flight < self._effective_limit()

    def record_start(self, now: float) -> None:
        """Records that a call was sent.

        Args:
            now: Seconds of the dispatch clock.
        """
        bisect.insort(self._started_at, now)
        self._last_started_at = now
        self.last_turn_at = now

    def record_finish(self, outcome: LeafOutcome, latency_seconds: float, now: float) -> None:
        """Records that a call ended.

        Args:
            outcome: How it ended.
            latency_seconds: Time since it was sent.
            now: Seconds of the dispatch clock.
        """
        in_flight = self.in_flight
        self._remove_start_time(now - latency_seconds)
        if outcome is LeafOutcome.OK:
            self._handle_success()
            self._update_latency(latency_seconds, now)
            if self._mean_answer_latency == math.inf:
                self._mean_answer_latency = latency_seconds
            self._mean_answer_latency += _SMOOTHING * (latency_seconds - self._mean_answer_latency)
            self.limit.record_success(latency_seconds, in_flight, now)
        elif outcome is LeafOutcome.REFUSED:
            self._update_failure_rate(1.0)
            self.limit.record_refusal(now)
            self._handle_failure(now, _OVERLOAD_SCORE)
        elif outcome is LeafOutcome.TIMEOUT and self._is_short_timeout(latency_seconds):
            self._update_latency_lower_bound(latency_seconds, now)
            self._handle_failure(now, _OVERLOAD_SCORE)
        elif outcome is LeafOutcome.CANCELLED:
            if latency_seconds > _LOST_TO_HEDGE_FACTOR * self._mean_answer_latency:
                self._handle_failure(now, _LOST_TO_HEDGE_SCORE)
            self._update_latency_lower_bound(latency_seconds, now)
        else:
            if outcome is LeafOutcome.TIMEOUT:
                self._update_latency_lower_bound(latency_seconds, now)
            self._update_failure_rate(1.0)
            self._handle_failure(now, _FAILURE_SCORE)
        self._answer_slowdown = None

    def record_load_report(
        self, in_flight: int, queued: int, now: float, *, slowdown: float = 1.0
    ) -> None:
        """Records a load report of the leaf, which is only a hint.

        Args:
            in_flight: Calls that run, according to the leaf.
            queued: Calls that wait in its queue, according to the leaf.
            now: Seconds of the dispatch clock.
            slowdown: Current duration of work as a multiple of the usual one, according to the
                leaf; limited to 1 to 5, so that a report can only add to the expected time.
        """
        self.reported_load = in_flight + queued
        self.reported_slowdown = min(max(slowdown, 1.0), _MAX_SLOWDOWN)
        self._answer_slowdown = self.reported_slowdown
        # A report of less than this sender alone has in flight says nothing about other senders.
        self._reported_load_of_others = max(0, self.reported_load - self.in_flight)
        self._reported_at = now
        load = min(self.reported_load / self.pool.slots, _MAX_REPORTED_PER_SLOT)
        weight = 1.0 if self._mean_load is None else _LOAD_SMOOTHING
        self._mean_load = (1.0 - weight) * (self._mean_load or 0.0) + weight * load

    def record_reported_state(
        self, state: Literal["starting", "ready", "draining"], now: float
    ) -> None:
        """Records the state that the leaf reports.

        Args:
            state: Reported state.
            now: Seconds of the dispatch clock.
        """
        if state == "draining":
            self._state = "draining"
        elif state == "starting" or self._state == "draining":
            # "ready" ends draining, but does not clear a `suspect` state caused by failed calls.
            self._reset()

    def expected_seconds(self, now: float, typical_seconds: float) -> float:
        """Estimates how long a call sent now would take.

        Args:
            now: Seconds of the dispatch clock.
            typical_seconds: Latency of the service, used where the leaf has no recent samples.

        Returns:
            Seconds, including the expected cost of failures.
        """
        latency = self._estimate_latency(now, typical_seconds) * self.slowdown_scale(now)
        latency = self.observed_slowness.raise_estimate(latency, typical_seconds, now)
        slots = self.pool.slots
        ahead = self.in_flight + self._load_of_others(now)
        waiting = max(0.0, ahead + 1 - slots) / slots
        failure_rate = self._failure_rate * self._confidence(now)
        failing = failure_rate * _FAILURE_PENALTY * max(typical_seconds, latency)
        return latency * (1.0 + waiting) + failing + self.distance_seconds

    def free_slots(self, now: float, latency_seconds: float) -> float:
        """Returns the slots that no known call uses; negative by the number of calls that wait.

        The calls of other senders in the last report are reduced by those that the leaf has
        finished since then at its usual pace.

        Args:
            now: Seconds of the dispatch clock.
            latency_seconds: Usual latency of the leaf.
        """
        slots = self.pool.slots
        reported = min(self._reported_load_of_others, _MAX_REPORTED_PER_SLOT * slots)
        age = now - self._reported_at
        if age > _MAX_REPORT_AGE_SECONDS:
            reported = 0
        finished = max(0.0, age) * slots / latency_seconds
        return slots - self.in_flight - max(0.0, reported - finished)

    def mean_load(self, now: float) -> float | None:
        """Returns the calls per slot by reports, smoothed; None without a recent report.

        It is not less than the calls of this sender alone.

        Args:
            now: Seconds of the dispatch clock.
        """
        if self._mean_load is None or now - self._reported_at >= _MAX_LOAD_AGE_SECONDS:
            return None
        return max(self._mean_load, self.in_flight / self.pool.slots)

    def slowdown_scale(self, now: float) -> float:
        """Returns the factor by which the reported slowdown raises the expected time, at least 1.

        It is the part of the slowdown that the smoothed latency does not contain yet.

        Args:
            now: Seconds of the dispatch clock.
        """
        age = now - self._reported_at
        if age > _MAX_REPORT_AGE_SECONDS or self.reported_slowdown <= self._mean_slowdown:
            return 1.0
        excess = self.reported_slowdown / self._mean_slowdown - 1.0
        return 1.0 + excess * math.exp(-max(0.0, age) / _SLOWDOWN_DECAY_SECONDS)

    def is_stuck(self, now: float, typical_seconds: float) -> bool:
        """Returns whether the oldest call has been in flight for far longer than usual.

        Args:
            now: Seconds of the dispatch clock.
            typical_seconds: Latency of the service, used if the leaf has not answered yet.
        """
        if not self._started_at:
            return False
        usual = self._mean_latency if self._mean_latency is not None else typical_seconds
        return now - self._started_at[0] > max(self._stuck_factor * usual, _MIN_STUCK_SECONDS)

    def _effective_limit(self) -> int:
        return (
            min(self.limit.limit, self._slow_start_limit)
            if self._state == "starting"
            else self.limit.limit
        )

    def _estimate_latency(self, now: float, typical_seconds: float) -> float:
        latency = typical_seconds if self._mean_latency is None else self._mean_latency
        if self._started_at:
            # A call that has been in flight for long is expected to need about its age once more.
            age = now - self._started_at[0]
            if age > self._stuck_factor * latency:
                latency = max(latency, age)
        elif self._mean_latency is not None:
            latency = typical_seconds + (latency - typical_seconds) * self._confidence(now)
        return latency

    def _confidence(self, now: float) -> float:
        """Returns the weight of past samples; its decay while idle lets a bad leaf be retried."""
        if self._started_at:
            return 1.0
        return math.exp(-max(0.0, now - self._last_started_at) / _DECAY_SECONDS)

    def _load_of_others(self, now: float) -> float:
        """Returns calls of other senders by a recent report, capped as reports may be wrong."""
        if now - self._reported_at > _MAX_REPORT_AGE_SECONDS:
            return 0.0
        return float(min(self._reported_load_of_others, self.pool.slots))

    def _remove_start_time(self, started_at: float) -> None:
        if not self._started_at:
            return
        index = bisect.bisect_left(self._started_at, started_at)
        nearest = min(
            range(max(0, index - 1), min(len(self._started_at), index + 1)),
            key=lambda candidate: abs(self._started_at[candidate] - started_at),
        )
        del self._started_at[nearest]

    def _is_short_timeout(self, seconds: float) -> bool:
        return (
            self._mean_latency is not None
            and seconds < _TIMEOUT_FAILURE_FACTOR * self._mean_latency
        )

    def _update_latency(self, seconds: float, now: float) -> None:
        since, self._latency_updated_at = now - self._latency_updated_at, now
        # A call that was cut off has no report, so it leaves the mean slowdown as it is.
        slowdown = self._answer_slowdown
        if self._mean_latency is None:
            self._mean_latency = seconds
            self._mean_slowdown = slowdown or 1.0
            return
        # After an idle time the old mean is outdated, so one sample nearly replaces it.
        weight = max(self._smoothing, 1.0 - math.exp(-since / _DECAY_SECONDS))
        sample = min(seconds, self._mean_latency * _MAX_SAMPLE_FACTOR)
        self._mean_latency += weight * (sample - self._mean_latency)
        if slowdown is not None:
            self._mean_slowdown += weight * (slowdown - self._mean_slowdown)

    def _update_latency_lower_bound(self, seconds: float, now: float) -> None:
        """Records a call that was given up after this time, a lower bound of its latency."""
        if self._mean_latency is None or seconds > self._mean_latency:
            self._update_latency(seconds, now)

    def _update_failure_rate(self, failed: float) -> None:
        self._failure_rate += _SMOOTHING * (failed - self._failure_rate)

    def _handle_success(self) -> None:
        self._update_failure_rate(0.0)
        self._failure_score = 0
        self._backoff = 0.0
        if self._state == "suspect":
            self._reset()
        if self._state == "starting":
            self._slow_start_limit *= 2
            if self._slow_start_limit > self.limit.limit:
                self._state = "ready"

    def _handle_failure(self, now: float, score: int) -> None:
        self._failure_score += score
        if self._state == "draining" or self._failure_score < _SUSPECT_SCORE:
            return
        if self._state == "suspect" and now < self._probe_at:
            # A call that was sent before the leaf became suspect, not a probe.
            return
        self._state = "suspect"
        self._backoff = min(max(2.0 * self._backoff, _FIRST_BACKOFF_SECONDS), _MAX_BACKOFF_SECONDS)
        self._probe_at = now + self._backoff

    def _reset(self) -> None:
        # Earlier samples do not apply to a leaf that has recovered or restarted.
        self._state = "starting"
        self._slow_start_limit = 1
        self._mean_latency = None
        self._mean_slowdown = 1.0
        self._failure_rate = 0.0
