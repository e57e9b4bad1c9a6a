"""Metrics of the gateway.

Services, routes and leaves are not labels, because they are too many time series.
"""

import prometheus_client

from filbertreach.observability import LATENCY_BUCKETS

REQUESTS = prometheus_client.Counter(
    "filbertreach_gateway_requests",
    "Requests of callers by kind (scatter, single), outcome and status",
    ["kind", "outcome", "status"],
)
REQUEST_SECONDS = prometheus_client.Histogram(
    "filbertreach_gateway_request_seconds",
    "Time from the arrival of a request to its answer",
    ["kind"],
    buckets=LATENCY_BUCKETS,
)
MISSING_SHARDS = prometheus_client.Counter(
    "filbertreach_gateway_missing_shards", "Shards that answers lack"
)
REQUESTS_IN_PROGRESS = prometheus_client.Gauge(
    "filbertreach_gateway_requests_in_progress", "Requests of callers in progress"
)
CALLERS_LEFT = prometheus_client.Counter(
    "filbertreach_gateway_callers_left", "Requests whose caller left before the answer"
)
LEAF_CALLS = prometheus_client.Counter(
    "filbertreach_gateway_leaf_calls",
    "Calls to leaves: first, retry after a failure, or hedge of a slow call",
    ["kind"],
)
LEAF_SECONDS = prometheus_client.Histogram(
    "filbertreach_gateway_leaf_seconds",
    "Time of a call to a leaf that was answered",
    buckets=LATENCY_BUCKETS,
)
LEAF_OUTCOMES = prometheus_client.Counter(
    "filbertreach_gateway_leaf_outcomes", "Ends of calls to leaves", ["outcome"]
)
BUDGET_REFUSALS = prometheus_client.Counter(
    "filbertreach_gateway_budget_refusals", "Second calls that the retry budget did not allow"
)
REFUSED_BY_ADMISSION = prometheus_client.Counter(
    "filbertreach_gateway_admission_refusals",
    "Requests refused because of the expected wait, by rank (3: 3 and above) and reason",
    ["rank", "reason"],
)
WAITING_CALLS = prometheus_client.Gauge(
    "filbertreach_gateway_waiting_calls",
    "Calls that wait for a leaf with a place for their rank, by rank (3: 3 and above)",
    ["rank"],
)
WAIT_SECONDS = prometheus_client.Histogram(
    "filbertreach_gateway_wait_seconds",
    "Time that calls waited for a leaf, by rank (3: 3 and above), whether sent in the end or not",
    ["rank"],
    buckets=LATENCY_BUCKETS,
)
HELD_HEDGES = prometheus_client.Counter(
    "filbertreach_gateway_held_hedges",
    "Times that a hedge was due and each leaf left for it was busy",
)
LIMITED_LEAVES = prometheus_client.Gauge(
    "filbertreach_gateway_limited_leaves", "Leaves that name a request limit in their answers"
)
LIMITED_LEAF_CALLS = prometheus_client.Counter(
    "filbertreach_gateway_limited_leaf_calls",
    "Calls to leaves that have named a request limit: first, retry or hedge",
    ["kind"],
)
CALLS_SENT_OUT = prometheus_client.Counter(
    "filbertreach_gateway_calls_sent_out",
    "Calls to leaves in other data centres while spill-over is on, by reason: no_near_leaf, tried "
    "or load",
    ["reason"],
)
CONNECTIONS = prometheus_client.Gauge(
    "filbertreach_gateway_leaf_connections", "Open connections to leaves"
)
CONNECTIONS_OPENED = prometheus_client.Counter(
    "filbertreach_gateway_leaf_connections_opened", "Connections opened to leaves"
)
STORE_CALLS = prometheus_client.Counter(
    "filbertreach_gateway_store_calls", "Calls to the platform's store", ["kind", "outcome"]
)
ROUTES_VERSION = prometheus_client.Gauge(
    "filbertreach_gateway_routes_version", "Version of the routes in force"
)
READER_POLLS = prometheus_client.Counter(
    "filbertreach_gateway_news_polls",
    "Exchanges with the neighbour that reads the store",
    ["outcome"],
)
FLEET_SIZE = prometheus_client.Gauge(
    "filbertreach_gateway_fleet_size", "Hosts that this host knows of, itself included"
)
STORE_AGE = prometheus_client.Gauge(
    "filbertreach_gateway_store_age_seconds",
    "Age of what is known of the store",
)
STORE_TRANSIT_SECONDS = prometheus_client.Histogram(
    "filbertreach_gateway_store_transit_seconds",
    "Time of an exchange that brought changes, besides the time for which its request was held",
    ["source"],
    buckets=LATENCY_BUCKETS,
)
LEAVES = prometheus_client.Gauge("filbertreach_gateway_leaves", "Leaves that may get requests")

_MAX_RANK_LABEL = 3


def rank_label(rank: int) -> str:
    """Returns the label of a rank; ranks that are far less urgent share one.

    Args:
        rank: Rank, 0 for the most urgent one.
    """
    return str(min(rank, _MAX_RANK_LABEL))


QUOTA_REFUSALS = prometheus_client.Counter(
    "filbertreach_gateway_quota_refusals",
    "Requests refused before anything was sent because of their account's quota or share",
    ["rank", "reason"],
)
