"""Errors of the transport layer."""


class TransportError(Exception):
    """The transport can't be started, for example because the address is in use."""
