"""The interface of admission policies, and their registry."""

from collections.abc import Callable, Sequence
from typing import Literal, NamedTuple, Protocol, TypeVar

from filbertreach.schema import ServiceLoad

RefuseReason = Literal["overloaded", "deadline", "client_share", "too_many_queries"]
"""Why a query is refused before anything is run:
overloaded: the rank's window at the needed services is full;
deadline: the query would wait longer than the time it has left;
client_share: the client already uses its share of the rank;
too_many_queries: this process has no room for the rank."""

Outcome = Literal["answered", "late", "overloaded", "failed", "cancelled"]
"""How an admitted query ended:
answered: an answer was sent in time, complete or not;
late: the deadline passed;
overloaded: dispatch processes refused shards as overloaded, so that no answer could be sent;
failed: any other failure;
cancelled: the caller went away."""


class AdmissionRequest(NamedTuple):
    """What admission needs to know of a query."""

    environment: str
    """Environment name."""
    rank: str
    """Rank name."""
    priority: int
    """Priority of the rank; 0 is the most urgent."""
    client: str
    """Client on whose behalf the query is sent."""
    client_share: float
    """Weight of the client inside its rank."""
    services: Sequence[str]
    """Services that the query needs, without repetition; pass the same tuple for the same set."""
    remaining_seconds: float
    """Time left until the query's deadline."""
    target_seconds: float
    """Latency target of the rank."""
    kept_share: float = 0.0
    """Share that the rank keeps under a flood of other ranks, 0 to 1."""


class Admit(NamedTuple):
    """The query may start; pass this to `on_finished` exactly once."""

    query: AdmissionRequest
    """The query that was admitted."""


class Refuse(NamedTuple):
    """The query must not be started."""

    reason: RefuseReason
    """Why."""
    retry_after_seconds: float
    """When a new try has a fair chance, more than 0."""


class AdmissionController(Protocol):
    """Admits or refuses whole queries before any part of them is sent."""

    def decide(self, query: AdmissionRequest, now: float) -> Admit | Refuse:
        """Admits or refuses a query.

        Args:
            query: Facts of the query.
            now: Time in seconds.

        Returns:
            Admit, to be passed to `on_finished`, or Refuse.
        """

    def on_load(self, load: ServiceLoad, now: float) -> None:
        """Takes the state of a service's queue.

        Args:
            load: One item of a load message.
            now: Time at which the message arrived, in seconds.
        """

    def on_finished(
        self,
        admitted: Admit,
        latency_seconds: float,
        outcome: Outcome,
        now: float,
        queue_seconds: float | None = None,
    ) -> None:
        """Ends an admitted query.

        Args:
            admitted: What `decide` returned.
            latency_seconds: Time since `decide`.
            outcome: How the query ended.
            now: Time in seconds.
            queue_seconds: Longest `queue_ms` of the query's answers, in seconds, if it has any.
        """


class AdmissionSettings(NamedTuple):
    """What an admission policy is created with."""

    max_queries: int
    """Most queries in progress in this process."""
    started: float
    """Time of creation, in seconds."""


_PolicyT = TypeVar("_PolicyT", bound=type)
POLICY_BY_NAME: dict[str, Callable[[AdmissionSettings], AdmissionController]] = {}
"""Registered policies."""


def admission_policy(name: str) -> Callable[[_PolicyT], _PolicyT]:
    """Registers a class, called with AdmissionSettings, as an admission policy.

    Args:
        name: Value of the setting `admission` of the entry process.

    Returns:
        A class decorator.
    """

    def register(policy_class: _PolicyT) -> _PolicyT:
        POLICY_BY_NAME[name] = policy_class
        return policy_class

    return register
