"""The gateway: serves callers on the users' platform and calls the leaves directly."""

from filbertreach.gateway._process import GatewayProcess

__all__ = ["GatewayProcess"]
