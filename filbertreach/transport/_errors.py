"""Errors of the transport layer."""


class TransportError(Exception):
    """The transport could not be started, for example because the address is in use."""
