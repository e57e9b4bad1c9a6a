"""Metrics of an agent."""

import collections
from collections.abc import Iterator

import prometheus_client
from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

GOSSIP_MESSAGES = prometheus_client.Counter(
    "filbertreach_gossip_messages", "Gossip messages", ["direction"]
)
GOSSIP_BYTES = prometheus_client.Counter(
    "filbertreach_gossip_bytes", "Encoded size of sent gossip messages"
)
HOSTS = prometheus_client.Gauge("filbertreach_hosts", "Hosts as this agent sees them", ["state"])
LINKS = prometheus_client.Gauge("filbertreach_links", "Peers that the transport keeps a link with")
GENERATION = prometheus_client.Gauge(
    "filbertreach_accepted_generation", "Accepted generation held", ["environment"]
)
USABLE = prometheus_client.Gauge(
    "filbertreach_environment_usable", "1 if this host may serve it", ["environment"]
)
NEWS_AGE = prometheus_client.Gauge(
    "filbertreach_news_age_seconds", "Age of the last news of the key-value service"
)


class PlatformCalls(Collector):
    """Counters of requests to the platform services, read from their clients on each scrape."""

    def __init__(self, *calls_by_kind: collections.Counter[str]) -> None:
        """Creates a collector.

        Args:
            calls_by_kind: Counters of the clients, by kind of request.
        """
        self._counters = calls_by_kind

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Yields one counter, labelled by the kind of request."""
        family = CounterMetricFamily(
            "filbertreach_platform_calls", "Calls to the platform's services", labels=["kind"]
        )
        for counter in self._counters:
            for kind, calls in counter.items():
                family.add_metric([kind], calls)
        yield family
