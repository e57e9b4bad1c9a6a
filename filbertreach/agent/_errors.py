"""Errors of the agent."""


class AgentError(Exception):
    """Base class of the errors of the agent."""


class ValueFormatError(AgentError):
    """A value in the key-value service does not have the format that its key requires."""
