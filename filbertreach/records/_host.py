"""Key-value record of a host."""

from typing import NotRequired

from typing_extensions import TypedDict

from filbertreach.schema import HeldChange, Int64, Member

HOSTS_PREFIX = "filbertreach/hosts/"
"""Key prefix of host records, followed by the host name."""
ENVIRONMENTS_PREFIX = "filbertreach/environments/"
"""Key prefix of documents, proposals, history, call and trial records, followed by the
environment name."""


class InForce(TypedDict):
    """The generation of an environment document that is in force on a host."""

    generation: Int64
    """Generation that every live process of the host has reported."""
    since: str
    """UTC time at which the agent received the last of these reports."""


class HostRecord(TypedDict):
    """Value of `filbertreach/hosts/<host>`."""

    host: str
    """Host name."""
    agent_address: str
    """ip:port of the agent's inbox."""
    incarnation: Int64
    """Incarnation of the agent that wrote the record, a number that differs after a restart."""
    state: str
    """starting, live or leaving."""
    region: str
    """Region of the host."""
    data_centre: str
    """Data centre of the host."""
    prepared: dict[str, str]
    """Digest by environment of the proposed document that the host is ready to install."""
    in_force: dict[str, InForce]
    """Generation in force, by environment."""
    members: list[Member]
    """Entry and dispatch processes of the host."""
    held_changes: NotRequired[list[HeldChange]]
    """Planned changes that are due but held back by a process of the host."""
