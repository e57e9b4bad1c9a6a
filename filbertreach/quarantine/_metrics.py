"""Metrics of the quarantine of requests."""

import prometheus_client

LEAF_LOSSES = prometheus_client.Counter(
    "filbertreach_quarantine_leaf_losses", "Leaves that ended while they ran a request"
)
LEAF_CHECKS = prometheus_client.Counter(
    "filbertreach_quarantine_leaf_checks",
    "Checks whether a leaf has ended, by result: ended, alive, or skipped",
    ["result"],
)
STOPPED_REQUESTS = prometheus_client.Counter(
    "filbertreach_quarantine_stopped_requests",
    "Requests that were ended because leaves were lost under them",
)
REFUSED_REQUESTS = prometheus_client.Counter(
    "filbertreach_quarantine_refused_requests",
    "Requests refused before anything was sent, as requests with the same content crash leaves",
)
STAGED_REQUESTS = prometheus_client.Counter(
    "filbertreach_quarantine_staged_requests",
    "Scatter requests that were sent to a few shards first",
)
ENTRIES = prometheus_client.Gauge(
    "filbertreach_quarantine_entries", "Fingerprints of requests in quarantine"
)
NOTICES = prometheus_client.Counter(
    "filbertreach_quarantine_notices",
    "Messages about losses to other gateways, by result: sent, failed, or dropped",
    ["result"],
)
