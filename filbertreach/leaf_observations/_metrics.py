"""Metrics of shared observations.

Leaves are not labels, because they are too many time series.
"""

import prometheus_client

OBSERVED_LEAVES = prometheus_client.Gauge(
    "filbertreach_leaf_observations_leaves",
    "Leaves that the hosts of the data centre observe as failing or slow, as this host applies it",
    ["kind"],
)
OBSERVATION_EXCHANGES = prometheus_client.Counter(
    "filbertreach_leaf_observations_exchanges",
    "Exchanges with the host that merges observations: report, or poll of the states",
    ["kind", "outcome"],
)
OBSERVED_CHOICES = prometheus_client.Counter(
    "filbertreach_leaf_observations_choices",
    "Calls for which a leaf observed as failing was chosen first: avoided, probe, or no other leaf",
    ["outcome"],
)
