"""The record that each host keeps in the key-value service."""

from typing import NotRequired

from typing_extensions import TypedDict

from filbertreach.schema import HeldChange, Member

HOSTS_PREFIX = "filbertreach/hosts/"
"""Prefix of the host records; the host name follows."""
ENVIRONMENTS_PREFIX = "filbertreach/environments/"
"""Prefix of documents, proposals, history, call and trial records; the environment name follows."""


class InForce(TypedDict):
    """Generation in force on a host."""

    generation: int
    """Generation that every live process of the host has reported."""
    since: str
    """UTC time at which the agent learned of the last of these reports."""


class HostRecord(TypedDict):
    """Value of `filbertreach/hosts/<host>`."""

    host: str
    """Host name."""
    agent_address: str
    """ip:port of the agent's inbox."""
    incarnation: int
    """Start of the agent that wrote the record."""
    state: str
    """starting, live or leaving."""
    region: str
    """Region of the host."""
    data_centre: str
    """Data centre of the host."""
    prepared: dict[str, str]
    """Digest of the proposed text that this host is ready to install, by environment."""
    in_force: dict[str, InForce]
    """Generation in force by environment."""
    members: list[Member]
    """Entry and dispatch processes of the host."""
    held_changes: NotRequired[list[HeldChange]]
    """Planned changes that are due and that a process of the host holds."""
