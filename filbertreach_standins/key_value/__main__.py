"""Command line of the key-value service stand-in."""

import argparse

import anyio

from filbertreach_standins._http import listen_address
from filbertreach_standins._server import serve
from filbertreach_standins.key_value._service import KeyValueService


def main() -> None:
    """Serves an initially empty store until SIGTERM."""
    parser = argparse.ArgumentParser(
        prog="python -m filbertreach_standins.key_value",
        description="Simulates the platform's key-value service, in memory.",
    )
    parser.add_argument("--listen", default="127.0.0.1:0", type=listen_address, metavar="IP:PORT")
    parser.add_argument("--seed", type=int, default=0)
    arguments = parser.parse_args()
    service = KeyValueService(seed=arguments.seed)
    listeners = [(arguments.listen, "key_value", service)]
    anyio.run(serve, listeners, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    main()
