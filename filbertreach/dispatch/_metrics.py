"""Prometheus metrics of the dispatch process."""

from prometheus_client import Counter, Gauge, Histogram

from filbertreach.observability import LATENCY_BUCKETS

LEAF_CALLS = Counter(
    "filbertreach_leaf_calls_total",
    "Calls sent to leaves. Hedges and retries over first calls is the extra load of the tier.",
    ["environment", "kind"],
)
LEAF_OUTCOMES = Counter(
    "filbertreach_leaf_outcomes_total", "How calls to leaves ended.", ["environment", "outcome"]
)
LEAF_SECONDS = Histogram(
    "filbertreach_leaf_seconds",
    "Time of answered calls at the leaf.",
    ["environment"],
    buckets=LATENCY_BUCKETS,
)
QUEUE_SECONDS = Histogram(
    "filbertreach_queue_seconds",
    "Time of calls in the dispatch queue.",
    ["environment", "rank"],
    buckets=LATENCY_BUCKETS,
)
CALL_RESULTS = Counter(
    "filbertreach_call_results_total",
    "Results of calls from entry processes; result is answer or the reason of the failure.",
    ["environment", "rank", "result"],
)
CHANGES_HELD = Gauge(
    "filbertreach_changes_held",
    "1 for a planned change that is due and held, 0 for one in force; absent for others.",
    ["environment", "change"],
)
CLIENTS_SLOWED = Counter(
    "filbertreach_change_slowed_clients_total",
    "Clients measured to be slowed beyond the policy's slowdown_bound by a planned change.",
    ["environment", "change"],
)
LEAF_CONNECTIONS = Gauge("filbertreach_leaf_connections", "Open connections to leaves.")
CONNECTIONS_REPLACED = Counter(
    "filbertreach_leaf_connections_replaced_total",
    "Connections closed because a call on them had no answer in its bound.",
)
