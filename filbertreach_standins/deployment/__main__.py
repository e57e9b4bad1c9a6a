"""Command line of the stand-ins for a deployment."""

import argparse

import anyio

from filbertreach_standins._server import StandIn, serve
from filbertreach_standins.deployment._leaf import DeploymentLeaf
from filbertreach_standins.deployment._store import DeploymentStoreService


def main() -> None:
    """Serves an initially empty store and several leaves until SIGTERM."""
    parser = argparse.ArgumentParser(
        prog="python -m filbertreach_standins.deployment",
        description="Simulates the store and the leaves of a deployment, in memory.",
    )
    parser.add_argument(
        "--leaves", type=int, default=2, help="number of leaves, named leaf-0, leaf-1 and so on"
    )
    parser.add_argument("--first", type=int, default=0, help="number of the first leaf")
    parser.add_argument("--seed", type=int, default=0)
    arguments = parser.parse_args()
    listeners: list[tuple[str, str, StandIn]] = [
        ("127.0.0.1:0", "store", DeploymentStoreService(seed=arguments.seed))
    ]
    for number in range(arguments.first, arguments.first + arguments.leaves):
        name = f"leaf-{number}"
        leaf = DeploymentLeaf(leaf_id=name, seed=arguments.seed + number)
        listeners.append(("127.0.0.1:0", name, leaf))
    anyio.run(serve, listeners, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    main()
