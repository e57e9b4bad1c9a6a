"""Interface and registry of admission policies."""

from collections.abc import Callable, Sequence
from typing import Literal, NamedTuple, Protocol, TypeVar

from filbertreach.schema import ServiceLoad

RefusalReason = Literal["overloaded", "deadline", "client_share", "too_many_queries"]
"""Why a query is refused before any part of it runs:
overloaded: the rank's window at a needed service is full;
deadline: the query would wait longer than its remaining time;
client_share: the client already uses its share of the rank;
too_many_queries: the process limit leaves no room for the rank."""

Outcome = Literal["answered", "late", "overloaded", "failed", "cancelled"]
"""How an admitted query ended:
answered: a complete or partial answer was sent in time;
late: the deadline passed;
overloaded: no answer was sent because dispatch processes refused shards as overloaded;
failed: any other failure;
cancelled: the caller disconnected."""


class AdmissionRequest(NamedTuple):
    """The properties of a query on which admission depends."""

    environment: str
    """Environment name."""
    rank: str
    """Rank name."""
    priority: int
    """Priority of the rank; 0 is the most urgent."""
    client: str
    """Client for which the query is sent."""
    client_share: float
    """Weight of the client inside its rank."""
    services: Sequence[str]
    """Distinct services that the query needs; the same set must always come in the same order."""
    remaining_seconds: float
    """Time until the query's deadline."""
    target_seconds: float
    """Latency target of the rank."""
    kept_share: float = 0.0
    """Share that the rank keeps while other ranks overload the system, 0 to 1."""


class Admit(NamedTuple):
    """The query may start; to be passed to `on_finished` exactly once."""

    query: AdmissionRequest
    """The admitted query."""


class Refuse(NamedTuple):
    """The query must not start."""

    reason: RefusalReason
    """Why."""
    retry_after_seconds: float
    """Delay after which a retry is likely to succeed, more than 0."""


class AdmissionController(Protocol):
    """Admits or refuses a query as a whole, before any part of it is sent."""

    def decide(self, query: AdmissionRequest, now: float) -> Admit | Refuse:
        """Admits or refuses a query.

        Args:
            query: The query.
            now: Time in seconds.

        Returns:
            Admit, to be passed to `on_finished`, or Refuse.
        """

    def on_load(self, load: ServiceLoad, now: float) -> None:
        """Processes the load report of a service.

        Args:
            load: One service's entry of a load message.
            now: Time at which the message was received, in seconds.
        """

    def on_finished(
        self,
        admitted: Admit,
        latency_seconds: float,
        outcome: Outcome,
        now: float,
        queue_seconds: float | None = None,
    ) -> None:
        """Records the end of an admitted query.

        Args:
            admitted: What `decide` returned.
            latency_seconds: Time since the admission.
            outcome: How the query ended.
            now: Time in seconds.
            queue_seconds: Longest `queue_ms` of the query's answers, in seconds; None without
                answers.
        """


class AdmissionSettings(NamedTuple):
    """Arguments for the creation of an admission policy."""

    max_queries: int
    """Most queries in progress in this process."""
    started_at: float
    """Time of creation, in seconds."""


_PolicyT = TypeVar("_PolicyT", bound=type)
POLICY_BY_NAME: dict[str, Callable[[AdmissionSettings], AdmissionController]] = {}
"""Classes of the registered policies."""


def register_admission_policy(name: str) -> Callable[[_PolicyT], _PolicyT]:
    """Registers a class that takes AdmissionSettings as an admission policy.

    Args:
        name: Value of the setting `admission` in the section `entry`.

    Returns:
        A class decorator.
    """

    def register(policy_class: _PolicyT) -> _PolicyT:
        POLICY_BY_NAME[name] = policy_class
        return policy_class

    return register
