"""The agent of one host: platform, gossip between hosts, and views for the host's processes."""

from filbertreach.agent._agent import Agent, AgentOptions
from filbertreach.agent._errors import AgentError, ValueFormatError
from filbertreach.agent._values import (
    DocumentValue,
    digest_of,
    parse_document_value,
    parse_host_record,
)

__all__ = [
    "Agent",
    "AgentError",
    "AgentOptions",
    "DocumentValue",
    "ValueFormatError",
    "digest_of",
    "parse_document_value",
    "parse_host_record",
]
