"""Host agent: reads platform services, gossips with other hosts, sends views to local processes."""

from filbertreach.agent._agent import Agent, AgentOptions
from filbertreach.agent._errors import AgentError, ValueFormatError
from filbertreach.agent._values import (
    DocumentValue,
    parse_document_value,
    parse_host_record,
    sha256_hex,
)

__all__ = [
    "Agent",
    "AgentError",
    "AgentOptions",
    "DocumentValue",
    "ValueFormatError",
    "parse_document_value",
    "parse_host_record",
    "sha256_hex",
]
