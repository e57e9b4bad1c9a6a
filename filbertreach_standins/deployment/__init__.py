"""Stand-ins for the services of a deployment: `python -m filbertreach_standins.deployment`.

One store and several leaves with the protocols of the users' platform; see
docs/decisions/platform.md.
"""

from filbertreach_standins.deployment._leaf import KEY_PREFIX, DeploymentLeaf, records_of
from filbertreach_standins.deployment._store import DeploymentStoreService

__all__ = ["KEY_PREFIX", "DeploymentLeaf", "DeploymentStoreService", "records_of"]
