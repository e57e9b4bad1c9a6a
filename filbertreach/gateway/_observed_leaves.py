"""Observations that hosts share, applied to the choice of a leaf of one service."""

import random
from collections.abc import Callable, Sequence

from filbertreach.decisions import LeafOutcome
from filbertreach.gateway._leaf_handle import LeafHandle
from filbertreach.gateway._route_latencies import RouteLatencies
from filbertreach.leaf_observations import OBSERVED_CHOICES, HostObservations

_OTHER_REGION_ALLOWANCE_SECONDS = 0.05
"""Time that a call to another region may take longer than usual, in addition to the usual time of
the route, most of whose leaves may be near."""

_AVOIDED = OBSERVED_CHOICES.labels("avoided")
_PROBES = OBSERVED_CHOICES.labels("probe")
_WITHOUT_ALTERNATIVE = OBSERVED_CHOICES.labels("no other leaf")


class ObservedLeaves:
    """Keeps calls from leaves that other hosts observe as failing, and records outcomes."""

    def __init__(
        self, *, observations: HostObservations, draw: Callable[[], float] = random.random
    ) -> None:
        """Creates a filter for the leaves of one service.

        Args:
            observations: Observations of this host and the states that it applies.
            draw: Returns random numbers, at least 0 and below 1.
        """
        self._observations = observations
        self._draw = draw
        self._slow_handles: list[LeafHandle] = []
        """Leaves whose expected time was raised at the last choice."""

    @property
    def is_idle(self) -> bool:
        """Whether no leaf of any service is observed as failing or slow."""
        return self._observations.states.is_empty

    def is_failing(self, handle: LeafHandle, now: float) -> bool:
        """Returns whether the hosts of the data centre observe a leaf as failing.

        Args:
            handle: The leaf.
            now: Current clock, in seconds.
        """
        state = self._observations.states.state_of(handle.leaf.id, now)
        return state is not None and state.kind == "failing"

    def apply(self, listed: Sequence[LeafHandle], now: float) -> list[LeafHandle]:
        """Raises the expected time of slow leaves, and finds the failing ones.

        Args:
            listed: Leaves that may get a call.
            now: Current clock, in seconds.

        Returns:
            The leaves among them that are observed as failing.
        """
        states = self._observations.states
        if states.is_empty and not self._slow_handles:
            return []
        for handle in self._slow_handles:
            handle.tracker.observed_slowness.set(1.0, now)
        self._slow_handles.clear()
        failing = []
        for handle in listed:
            state = states.state_of(handle.leaf.id, now)
            if state is None:
                continue
            if state.kind == "failing":
                failing.append(handle)
            else:
                handle.tracker.observed_slowness.set(state.factor, state.ends_at)
                self._slow_handles.append(handle)
        return failing

    def try_probe(self) -> bool:
        """Returns whether a call that a failing leaf would have got is sent there as a probe.

        All hosts of the data centre together probe it about as often as one host would call it.
        """
        is_probe = self._draw() * self._observations.host_count < 1.0
        if is_probe:
            _PROBES.inc()
        return is_probe

    def on_avoided(self, handle: LeafHandle, now: float) -> None:
        """Records that a call which a failing leaf would have got is sent to another one.

        Its turn counts as used. Otherwise all hosts would send their next call to a leaf that was
        avoided for a while.

        Args:
            handle: The failing leaf.
            now: Current clock, in seconds.
        """
        handle.tracker.last_turn_at = now
        _AVOIDED.inc()

    def on_no_other(self) -> None:
        """Records that a failing leaf gets a call, as no other one can take it."""
        _WITHOUT_ALTERNATIVE.inc()

    def record(
        self,
        handle: LeafHandle,
        outcome: LeafOutcome,
        seconds: float,
        now: float,
        *,
        sent: bool,
        latencies: RouteLatencies | None,
    ) -> None:
        """Records how a call of this host ended.

        Args:
            handle: The leaf.
            outcome: How the call ended.
            seconds: Time since the leaf was chosen.
            now: Current clock, in seconds.
            sent: Whether the request was written. A leaf that has as many connections as it accepts
                refuses further ones without being at fault.
            latencies: Latencies of the route over all its leaves; None if unknown.
        """
        usual_seconds = None if latencies is None else latencies.usual_seconds
        if usual_seconds is not None and handle.candidate.distance == "region":
            usual_seconds += _OTHER_REGION_ALLOWANCE_SECONDS
        if not sent and outcome is not LeafOutcome.OK:
            outcome = LeafOutcome.CANCELLED
        self._observations.observer.record(
            handle.leaf.id, outcome, seconds, now, usual_seconds=usual_seconds
        )

    def on_restarted(self, handle: LeafHandle, now: float) -> None:
        """Drops what is known of the process of a leaf that another one has replaced.

        Args:
            handle: The leaf before.
            now: Current clock, in seconds.
        """
        self._observations.observer.on_restarted(handle.leaf.id, now)

    def forget(self, leaf_id: str) -> None:
        """Removes what is known of a leaf that is gone.

        Args:
            leaf_id: Id of the leaf.
        """
        self._observations.observer.forget(leaf_id)
