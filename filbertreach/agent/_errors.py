"""Errors of the agent."""


class AgentError(Exception):
    """Something that an agent can't use."""


class ValueFormatError(AgentError):
    """A value in the key-value service that is not what its key promises."""
