"""Stand-in for leaves, which are backend servers: `python -m filbertreach_standins.leaf`."""

from filbertreach_standins.leaf._definition import LeafDefinition
from filbertreach_standins.leaf._leaf import Leaf

__all__ = ["Leaf", "LeafDefinition"]
