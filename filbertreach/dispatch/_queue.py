"""Queue classes, and their creation by policy name."""

from collections.abc import Mapping

from filbertreach.dispatch import _plain_queues, _ranked_queue
from filbertreach.dispatch._call_queue import (
    CallQueue,
    QueuedCall,
    queue_policies_by_name,
    queue_policy,
)
from filbertreach.document import Rank

FifoQueue = _plain_queues.FifoQueue
StrictPriorityQueue = _plain_queues.StrictPriorityQueue
RankedQueue = _ranked_queue.RankedQueue

__all__ = [
    "CallQueue",
    "FifoQueue",
    "QueuedCall",
    "RankedQueue",
    "StrictPriorityQueue",
    "make_queue",
    "queue_policy",
]


def make_queue(*, policy: str, ranks: Mapping[str, Rank], max_length: int) -> CallQueue:
    """Creates a queue.

    Args:
        policy: A registered policy name: ranked, fifo or strict.
        ranks: Ranks by name.
        max_length: Maximum number of queued calls.

    Returns:
        An empty queue.

    Raises:
        ValueError: The policy is unknown, or `max_length` is below 1.
    """
    queue_class = queue_policies_by_name.get(policy)
    if queue_class is None:
        allowed = ", ".join(sorted(queue_policies_by_name))
        raise ValueError(f"no queue policy {policy!r}; allowed: {allowed}")
    return queue_class(ranks=ranks, max_length=max_length)
