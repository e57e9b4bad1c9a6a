"""Command line of the host list stand-in."""

import argparse
import pathlib

import anyio
import msgspec

from filbertreach_standins._http import listen_address
from filbertreach_standins._server import serve
from filbertreach_standins.host_list._service import HostBody, HostListService


def main() -> None:
    """Serves a host list until SIGTERM."""
    parser = argparse.ArgumentParser(
        prog="python -m filbertreach_standins.host_list",
        description="Simulates the platform's host list. PUT /admin/hosts sets the list.",
    )
    parser.add_argument("--listen", default="127.0.0.1:0", type=listen_address, metavar="IP:PORT")
    parser.add_argument("--hosts", type=pathlib.Path, metavar="FILE", help="JSON list of hosts")
    parser.add_argument("--seed", type=int, default=0)
    arguments = parser.parse_args()
    hosts: list[HostBody] = []
    if arguments.hosts is not None:
        try:
            hosts = msgspec.json.decode(arguments.hosts.read_bytes(), type=list[HostBody])
        except (OSError, msgspec.DecodeError) as error:
            parser.error(f"--hosts {arguments.hosts}: {error}")
    service = HostListService(hosts=hosts, seed=arguments.seed)
    listeners = [(arguments.listen, "host_list", service)]
    anyio.run(serve, listeners, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    main()
