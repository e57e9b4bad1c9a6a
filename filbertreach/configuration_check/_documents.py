"""Checks of environment documents."""

from collections.abc import Iterator

from filbertreach.changes import check_changes
from filbertreach.configuration_check._findings import Remark, shorten_list
from filbertreach.configuration_check._registry import DocumentSubject, document_check

_MAX_COMPARISONS = 500_000
"""Names that are compared with patterns, which takes about a second; later applications are not
checked for patterns without a match."""
MAX_CHECKED_CHANGES = 500
"""Planned changes whose effects are determined: that of 8,000 changes took 50 s."""


@document_check("unused-service")
def check_unused_services(subject: DocumentSubject) -> Iterator[Remark]:
    """Finds services without a shard."""
    environment = subject.environment
    used = {name for shards in environment.maps_by_name.values() for name in shards.values()}
    for name in environment.services_by_name.keys() - used:
        yield subject.remark(
            f"service {name}",
            "",
            "no shard is on the service",
            "remove it, or add a shard to a map",
        )


@document_check("unused-pool")
def check_unused_pools(subject: DocumentSubject) -> Iterator[Remark]:
    """Finds pools without a service."""
    environment = subject.environment
    used = {service.pool.name for service in environment.services_by_name.values()}
    for name in environment.pools_by_name.keys() - used:
        yield subject.remark(f"pool {name}", "", "no service is in the pool", "remove the pool")


@document_check("unused-map")
def check_unused_maps(subject: DocumentSubject) -> Iterator[Remark]:
    """Finds maps that no snapshot has."""
    environment = subject.environment
    used = {snapshot.map_name for snapshot in environment.snapshots_by_version.values()}
    for name in environment.maps_by_name.keys() - used:
        yield subject.remark(
            f"map {name}", "", "no snapshot has the map", "add a snapshot, or remove the map"
        )


@document_check("unused-rank")
def check_unused_ranks(subject: DocumentSubject) -> Iterator[Remark]:
    """Finds ranks that no application may use."""
    environment = subject.environment
    used = {rank for item in environment.applications_by_name.values() for rank in item.ranks}
    for name in environment.ranks_by_name.keys() - used:
        yield subject.remark(
            f"rank {name}", "", "no application may use the rank", "remove it, or grant it"
        )


@document_check("no-serving-snapshot")
def check_serving_snapshot(subject: DocumentSubject) -> Iterator[Remark]:
    """Finds documents with which every query is refused."""
    snapshots = subject.environment.snapshots_by_version.values()
    if not any(snapshot.state == "serving" for snapshot in snapshots):
        yield Remark("", "no snapshot is serving, so no query is answered", "set one to serving")


@document_check("unmatched-pattern")
def check_patterns(subject: DocumentSubject) -> Iterator[Remark]:
    """Finds applications whose patterns match no shard or no client."""
    environment = subject.environment
    shards = {shard for shards in environment.maps_by_name.values() for shard in shards}
    clients = environment.clients_by_name
    comparisons_left = _MAX_COMPARISONS
    for name, application in environment.applications_by_name.items():
        comparisons_left -= len(application.shard_patterns) * len(shards)
        comparisons_left -= len(application.client_patterns) * len(clients)
        if comparisons_left < 0:
            return
        section = f"application {name}"
        if not any(application.may_query_shard(shard) for shard in shards):
            yield subject.remark(section, "shards", "no shard matches", "correct the patterns")
        if clients and not any(application.may_query_for(client) for client in clients):
            yield subject.remark(section, "clients", "no client matches", "correct the patterns")


@document_check("unknown-region")
def check_regions(subject: DocumentSubject) -> Iterator[Remark]:
    """Finds leaves in regions that do not exist."""
    known = subject.options.known_regions()
    if known is None:
        return
    for service in subject.environment.services_by_name.values():
        unknown = {leaf.region for leaf in service.leaf_by_id.values()} - known
        if unknown:
            yield subject.remark(
                f"service {service.name}",
                "leaves",
                f"unknown regions: {shorten_list(sorted(unknown))}",
                f"correct the names; known: {shorten_list(sorted(known))}",
            )


@document_check("attempts-above-leaves")
def check_attempts(subject: DocumentSubject) -> Iterator[Remark]:
    """Finds more attempts than any service has leaves; the document states its leaves itself."""
    environment = subject.environment
    most = max((len(item.leaf_by_id) for item in environment.services_by_name.values()), default=0)
    attempts = environment.policy.max_attempts
    if 0 < most < attempts and ("policy", "max_attempts") in subject.line_by_place:
        yield subject.remark(
            "policy",
            "max_attempts",
            f"{attempts} attempts, but no service has more than {most} leaves",
            f"write at most {most}",
        )


@document_check("few-connections")
def check_connections(subject: DocumentSubject) -> Iterator[Remark]:
    """Finds pools whose leaves accept fewer connections than there are hosts."""
    hosts = subject.options.hosts
    for pool in subject.environment.pools_by_name.values():
        if hosts is not None and pool.connections < hosts:
            yield subject.remark(
                f"pool {pool.name}",
                "connections",
                f"a leaf accepts {pool.connections} connections; {hosts} hosts share them",
                f"write at least {hosts}",
            )


@document_check("rank-order")
def check_rank_order(subject: DocumentSubject) -> Iterator[Remark]:
    """Finds urgent ranks with a longer target than a less urgent rank."""
    ranks = sorted(subject.environment.ranks_by_name.values(), key=lambda rank: rank.priority)
    shortest = None
    for rank in reversed(ranks):
        if shortest is not None and rank.target_ms > shortest.target_ms:
            yield subject.remark(
                f"rank {rank.name}",
                "target_ms",
                f"the target of {rank.target_ms:g} ms is longer than that of the less urgent rank "
                f"{shortest.name}, {shortest.target_ms:g} ms",
                "exchange the priorities, or correct the target",
            )
        if shortest is None or rank.target_ms < shortest.target_ms:
            shortest = rank


@document_check("many-changes")
def check_change_count(subject: DocumentSubject) -> Iterator[Remark]:
    """Finds documents whose planned changes are too many to be checked."""
    count = len(subject.environment.changes_by_name)
    if count > MAX_CHECKED_CHANGES:
        yield Remark(
            "",
            f"{count} planned changes; above {MAX_CHECKED_CHANGES}, their effects are not checked",
            "remove the changes that have ended",
        )


@document_check("infeasible-change", severity="error")
def check_feasible_changes(subject: DocumentSubject) -> Iterator[Remark]:
    """Finds planned changes with which `apply` refuses the document."""
    now = subject.options.now
    if now is None or len(subject.environment.changes_by_name) > MAX_CHECKED_CHANGES:
        return
    for name, problem in check_changes(subject.environment, now).items():
        yield subject.remark(f"change {name}", "", problem, "correct the change, or remove it")
