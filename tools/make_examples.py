"""Writes the example documents and renders the settings templates for every example host."""

from __future__ import annotations

import argparse
import hashlib
import pathlib
import sys
from typing import NamedTuple

_EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
_TWO_LEAF_SERVICES = 50
"""Number of services with two leaves in each deployment (docs/design.md 1.3)."""


class _ServiceGroup(NamedTuple):
    """Services with the same pool and the same number of leaves."""

    pool: str
    names: tuple[str, ...]
    leaves: int
    first_port: int


class _Deployment(NamedTuple):
    """Parameters of one example deployment."""

    name: str
    wait: str
    least_coverage: float
    locations: tuple[str, ...]
    subnet: str
    pools: str
    groups: tuple[_ServiceGroup, ...]
    shards: tuple[tuple[str, str], ...]
    ranks: str
    applications: str
    clients: str
    hosts: int


def _numbered(prefix: str, count: int) -> tuple[str, ...]:
    return tuple(f"{prefix}-{number:02d}" for number in range(count))


def _pool(name: str, slots: int, connections: int, connect_cost_ms: int) -> str:
    return (
        f"[pool {name}]\nslots = {slots}\nconnections = {connections}\n"
        f"connect_cost_ms = {connect_cost_ms}\n"
    )


def _rank(name: str, priority: int, target_ms: int, worth: int, kept_share: float) -> str:
    return (
        f"[rank {name}]\npriority = {priority}\ntarget_ms = {target_ms}\nworth = {worth}\n"
        f"kept_share = {kept_share:g}\n"
    )


def _application(name: str, shards: str, ranks: str, clients: str, token: str = "") -> str:
    text = f"[application {name}]\nshards = {shards}\nranks = {ranks}\nclients = {clients}\n"
    return text + (f"token_sha256 = {token}\n" if token else "")


def _client(name: str, contact: str) -> str:
    return f"[client {name}]\ncontact = {contact}\n"


def _aquecer() -> _Deployment:
    fleet = _numbered("fleet", _TWO_LEAF_SERVICES)
    clients = ("hotel-azul", "escola-norte", "quinta-do-lago", "termas-do-sul", "lar-esperanca")
    return _Deployment(
        name="aquecer",
        wait="deadline",
        least_coverage=0.5,
        locations=(
            "minho/minho-1",
            "ribatejo/ribatejo-1",
            "alentejo/alentejo-1",
            "minho/minho-2",
            "ribatejo/ribatejo-2",
            "alentejo/alentejo-2",
        ),
        subnet="10.10",
        pools=_pool("counter", 2, 25, 6) + _pool("field", 4, 100, 1),
        groups=(
            _ServiceGroup("counter", fleet, 2, 9000),
            _ServiceGroup("field", ("workshop", "dispatch"), 3, 9500),
        ),
        shards=tuple((name, name) for name in (*fleet, "workshop", "dispatch")),
        ranks=_rank("booking", 0, 90, 100, 0.4)
        + _rank("search", 1, 400, 10, 0.2)
        + _rank("bulk", 2, 10000, 1, 0.1),
        applications=_application("counter", "fleet-*", "booking search", "*")
        + _application("fitter", "workshop dispatch fleet-*", "booking search", "*")
        + _application("invoicing", "fleet-*", "bulk", "*"),
        clients="".join(
            _client(name, f"+351 555 01{index:02d}") for index, name in enumerate(clients)
        ),
        hosts=8,
    )


def _consortium() -> _Deployment:
    register = _numbered("register", _TWO_LEAF_SERVICES)
    workshops = ("dogar-bistrita", "cercuri-sibiu", "stejar-baia", "doage-pitesti", "butoi-cluj")
    orders = tuple((f"orders-{name}", "order-desk") for name in workshops)
    desks = "".join(
        _application(
            f"desk-{name}", f"orders-{name}", "order lookup", name, _example_token(f"desk-{name}")
        )
        for name in workshops
    )
    return _Deployment(
        name="consortium",
        wait="complete",
        least_coverage=0.9,
        locations=(
            "maramures/maramures-1",
            "transilvania/transilvania-1",
            "muntenia/muntenia-1",
            "maramures/maramures-2",
            "transilvania/transilvania-2",
            "muntenia/muntenia-2",
        ),
        subnet="10.20",
        pools=_pool("register", 2, 25, 6) + _pool("desk", 4, 45, 1),
        groups=(
            _ServiceGroup("register", register, 2, 9000),
            _ServiceGroup("desk", ("order-desk",), 5, 9500),
            _ServiceGroup("desk", ("ledger",), 3, 9600),
        ),
        shards=(*((name, name) for name in register), *orders, ("ledger", "ledger")),
        ranks=_rank("order", 0, 90, 100, 0.4)
        + _rank("lookup", 1, 500, 10, 0.2)
        + _rank("sweep", 2, 20000, 1, 0.1),
        applications=_application("portal", "register-*", "order lookup", "*")
        + desks
        + _application(
            "ledger", "ledger register-*", "sweep", "consortium", _example_token("ledger")
        ),
        clients="".join(
            _client(name, f"+40 555 01{index:02d}")
            for index, name in enumerate((*workshops, "consortium"))
        ),
        hosts=7,
    )


def _example_token(application: str) -> str:
    return hashlib.sha256(f"example token of {application}".encode()).hexdigest()


def _document(deployment: _Deployment, *, trial: bool) -> str:
    name = f"{deployment.name}-{'trial' if trial else 'production'}"
    lines = ["[environment]", f"name = {name}"]
    if not trial:
        lines.append(f"trial = {deployment.name}-trial")
    lines += [
        "[policy]",
        f"wait = {deployment.wait}",
        f"least_coverage = {deployment.least_coverage:g}",
        "hedge_budget = 0.05",
        deployment.pools.rstrip(),
    ]
    for group in deployment.groups:
        for index, service in enumerate(group.names):
            lines += [f"[service {service}]", f"pool = {group.pool}", "leaves ="]
            lines += [_leaf(deployment, group, index, leaf) for leaf in range(group.leaves)]
    lines += ["[map one]", "shards ="]
    lines += [f"    {shard} {service}" for shard, service in deployment.shards]
    lines += ["[snapshot 41]", "map = one", "state = serving"]
    lines += [deployment.ranks + deployment.applications + deployment.clients.rstrip()]
    return "\n".join(lines) + "\n"


def _leaf(deployment: _Deployment, group: _ServiceGroup, index: int, leaf: int) -> str:
    service = group.names[index]
    # Neighbouring leaves of a service are in different regions.
    location = (index + leaf) % len(deployment.locations)
    address = f"{deployment.subnet}.{location}.{10 + index}:{group.first_port + index}"
    return f"    {service}-{'abcde'[leaf]} {address} {deployment.locations[location]}"


def _hosts(deployment: _Deployment) -> list[dict[str, str]]:
    hosts = []
    for index in range(deployment.hosts):
        region, data_centre = deployment.locations[index % len(deployment.locations)].split("/")
        hosts.append(
            {
                "HOST": f"{deployment.name}-entry-{index + 1}",
                "ADDRESS": f"{deployment.subnet}.100.{index + 1}",
                "REGION": region,
                "DATA_CENTRE": data_centre,
            }
        )
    return hosts


_DEPLOYMENTS = (_aquecer(), _consortium())


def documents() -> dict[pathlib.Path, str]:
    """Generates the example documents.

    Returns:
        Text by path.
    """
    return {
        _EXAMPLES / deployment.name / f"{kind}.ini": _document(deployment, trial=kind == "trial")
        for deployment in _DEPLOYMENTS
        for kind in ("trial", "production")
    }


def host_settings() -> dict[str, str]:
    """Renders the settings templates for every host.

    Returns:
        Text by `deployment/host/program.ini`.
    """
    filled: dict[str, str] = {}
    for deployment in _DEPLOYMENTS:
        for template in sorted((_EXAMPLES / deployment.name).glob("*.ini.template")):
            for host in _hosts(deployment):
                text = template.read_text(encoding="utf-8")
                for name, value in host.items():
                    text = text.replace(f"@{name}@", value)
                program = template.name.removesuffix(".template")
                filled[f"{deployment.name}/{host['HOST']}/{program}"] = text
    return filled


def main() -> int:
    """Writes or checks the documents, or renders the settings templates.

    Returns:
        0 on success, 1 if a committed document is out of date.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true", help="compare without writing")
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        metavar="FOLDER",
        help="render the settings templates into it",
    )
    arguments = parser.parse_args()
    if arguments.settings is not None:
        for name, text in host_settings().items():
            _write(arguments.settings / name, text)
        return 0
    status = 0
    for path, text in documents().items():
        if not arguments.check:
            _write(path, text)
        elif not path.exists() or path.read_text(encoding="utf-8") != text:
            print(f"{path} is out of date: run tools/make_examples.py", file=sys.stderr)
            status = 1
    return status


def _write(path: pathlib.Path, text: str) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    sys.exit(main())
