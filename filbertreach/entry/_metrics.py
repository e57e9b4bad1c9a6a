"""Prometheus metrics of the entry process."""

from prometheus_client import Counter, Gauge, Histogram

from filbertreach.observability import LATENCY_BUCKETS

QUERY_SECONDS = Histogram(
    "filbertreach_query_seconds",
    "Time from the arrival of a query to its answer or problem document.",
    ["environment", "rank", "outcome"],
    buckets=LATENCY_BUCKETS,
)
IN_TARGET = Counter(
    "filbertreach_queries_in_target_total",
    "Queries answered within the target of their rank; what each rank keeps under a flood.",
    ["environment", "rank"],
)
COVERAGE = Histogram(
    "filbertreach_coverage_share",
    "Share of shards that an answer includes.",
    ["environment", "rank"],
    buckets=(0.5, 0.8, 0.9, 0.95, 0.98, 0.99, 0.999, 1.0),
)
LACKING = Counter(
    "filbertreach_lacking_shards_total",
    "Shards that answers lack, by reason.",
    ["environment", "reason"],
)
REFUSED = Counter(
    "filbertreach_refused_total", "Queries refused as not run.", ["environment", "rank", "reason"]
)
OWNER_RESENDS = Counter(
    "filbertreach_owner_resends_total",
    "Calls sent to another dispatch process after the first one was lost.",
    ["environment"],
)
IN_PROGRESS = Gauge("filbertreach_queries_in_progress", "Queries in progress.")
