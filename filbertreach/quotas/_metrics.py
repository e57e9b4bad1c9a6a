"""Metrics of quotas.

Accounts are not labels, because they are too many time series.
"""

import prometheus_client

QUOTA_DECISIONS = prometheus_client.Counter(
    "filbertreach_quota_decisions",
    "Requests of accounts with a quota: granted, or the reason of the refusal",
    ["outcome"],
)
QUOTA_RETURNS = prometheus_client.Counter(
    "filbertreach_quota_returns", "Granted requests whose credit went back because nothing ran"
)
QUOTA_EXCHANGES = prometheus_client.Counter(
    "filbertreach_quota_exchanges",
    "Exchanges of the gateway with its quota host (request) and with seeds (report)",
    ["kind", "outcome"],
)
QUOTA_PART = prometheus_client.Gauge(
    "filbertreach_quota_part", "Fraction of all quotas that gateways have delegated to this host"
)
LEAF_PRESSURE = prometheus_client.Gauge(
    "filbertreach_quota_leaf_pressure",
    "Median of the calls per slot that gateways report to this quota host; 0 if it is unknown",
)
SHARES_APPLIED = prometheus_client.Gauge(
    "filbertreach_quota_shares_applied",
    "Whether this quota host refuses requests of accounts over their share",
)
