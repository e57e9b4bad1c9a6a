"""Which processes exist, who owns a service, and the view that a process has of both."""

from filbertreach.membership._client import HELLO_SECONDS, ViewClient, ViewError
from filbertreach.membership._ownership import owner_of

__all__ = ["HELLO_SECONDS", "ViewClient", "ViewError", "owner_of"]
