"""Observations and states as messages; clocks of hosts differ, so messages carry ages."""

from collections.abc import Mapping

from filbertreach.leaf_observations._observer import Observation
from filbertreach.leaf_observations._states import MAX_FACTOR, MIN_FACTOR, LeafState
from filbertreach.schema import LeafObservation, LeafReports, MergedLeafState, MergedLeafStates

_MAX_OBSERVATIONS = 500
"""Observations that one report may contain."""
_MAX_NAME_CHARACTERS = 255
"""Characters of the name of a host or the id of a leaf."""


def encode_reports(
    host: str, observation_by_leaf: Mapping[str, Observation], now: float
) -> LeafReports:
    """Returns the report of a host, without leaves whose ids are too long for a message.

    Args:
        host: Name of the host.
        observation_by_leaf: Its observations, by leaf id.
        now: Current clock, in seconds.
    """
    return LeafReports(
        host=host,
        observations=[
            LeafObservation(
                leaf=leaf_id,
                kind=observation.kind,
                calls=observation.calls,
                factor=round(observation.factor, 2),
                age_seconds=round(max(0.0, now - observation.at), 4),
            )
            for leaf_id, observation in observation_by_leaf.items()
            # A receiver rejects the whole report because of one such id.
            if len(leaf_id) <= _MAX_NAME_CHARACTERS
        ],
    )


def decode_reports(reports: LeafReports, now: float) -> dict[str, Observation]:
    """Returns the observations of a report.

    Args:
        reports: The report.
        now: Current clock, in seconds.

    Raises:
        ValueError: A name is too long, an age is negative, or there are too many observations.
    """
    if len(reports["observations"]) > _MAX_OBSERVATIONS:
        raise ValueError(f"a report has more than {_MAX_OBSERVATIONS} observations")
    _check_name(reports["host"])
    observation_by_leaf: dict[str, Observation] = {}
    for item in reports["observations"]:
        _check_name(item["leaf"])
        observation_by_leaf[item["leaf"]] = Observation(
            item["kind"], item["calls"], item["factor"], now - _check_age(item["age_seconds"])
        )
    return observation_by_leaf


def encode_states(
    revision: int,
    state_by_leaf: Mapping[str, LeafState],
    now: float,
    *,
    waited_seconds: float = 0.0,
) -> MergedLeafStates:
    """Returns the states that are in force.

    Args:
        revision: Number of this version of the states.
        state_by_leaf: The states, by leaf id.
        now: Current clock, in seconds.
        waited_seconds: Time from the arrival of the poll to the answer, in seconds.
    """
    return MergedLeafStates(
        revision=revision,
        waited_seconds=round(waited_seconds, 4),
        states=[
            MergedLeafState(
                leaf=leaf_id,
                kind=state.kind,
                factor=round(state.factor, 2),
                age_seconds=round(max(0.0, now - state.confirmed_at), 4),
                hosts=state.hosts,
            )
            for leaf_id, state in state_by_leaf.items()
            if now < state.ends_at
        ],
    )


def decode_states(states: MergedLeafStates, *, asked_at: float, now: float) -> dict[str, LeafState]:
    """Returns the states by leaf id.

    The time that the answer may have been under way, or waited for the end of a pause, counts as
    part of the age.

    Args:
        states: The states.
        asked_at: Clock when the poll was sent, in seconds.
        now: Current clock, in seconds.

    Raises:
        ValueError: An age is negative.
    """
    sent_at = min(now, asked_at + _check_age(states["waited_seconds"]))
    return {
        item["leaf"]: LeafState(
            item["kind"],
            min(max(item["factor"], MIN_FACTOR), MAX_FACTOR) if item["kind"] == "slow" else 1.0,
            sent_at - _check_age(item["age_seconds"]),
            item["hosts"],
        )
        for item in states["states"]
    }


def _check_age(age_seconds: float) -> float:
    # A negative age would keep an exception in force for longer than it may be.
    if age_seconds < 0.0:
        raise ValueError(f"an age of {age_seconds} s")
    return age_seconds


def _check_name(name: str) -> None:
    if len(name) > _MAX_NAME_CHARACTERS:
        raise ValueError(f"a name has more than {_MAX_NAME_CHARACTERS} characters")
