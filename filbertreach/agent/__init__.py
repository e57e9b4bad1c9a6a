"""The agent of one host: platform, gossip between hosts, and views for the host's processes."""

from filbertreach.agent._agent import Agent, AgentOptions
from filbertreach.agent._errors import AgentError, ValueFormatError
from filbertreach.agent._values import (
    ENVIRONMENTS_PREFIX,
    HOSTS_PREFIX,
    DocumentValue,
    HostRecord,
    InForce,
    digest_of,
    parse_document_value,
    parse_host_record,
)

__all__ = [
    "ENVIRONMENTS_PREFIX",
    "HOSTS_PREFIX",
    "Agent",
    "AgentError",
    "AgentOptions",
    "DocumentValue",
    "HostRecord",
    "InForce",
    "ValueFormatError",
    "digest_of",
    "parse_document_value",
    "parse_host_record",
]
