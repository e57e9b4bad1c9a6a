"""Checks of the platform's form for entries that never have an effect."""

import collections
import re
from collections.abc import Iterator

from filbertreach.configuration_check._findings import Remark, counted, shorten_list
from filbertreach.configuration_check._registry import RoutesSubject, routes_check
from filbertreach.platform import DraftAccount, DraftRoute, DraftService, field_path

_NOT_IN_PATHS = re.compile(r"[^!-~]|[?#]")
"""Characters that a path never has: the gateway removes the query and decodes nothing."""
_NOT_IN_HOSTS = re.compile(r"[^a-z0-9._:\[\]-]")
"""Characters that no host name or address has, in lower case; names are sent as ASCII."""


@routes_check("hidden-route")
def check_hidden_routes(subject: RoutesSubject) -> Iterator[Remark]:
    """Finds routes whose host and prefix an earlier route has.

    The longest prefix wins, so only an equal one takes all requests of a route.
    """
    first_by_match: dict[tuple[str, str], DraftRoute] = {}
    for draft in subject.draft.routes:
        match = (draft.route.host, draft.route.prefix)
        first = first_by_match.setdefault(match, draft)
        if first is not draft:
            yield Remark(
                draft.field("prefix"),
                f"route {draft.route.name!r} gets no request: {first.path} "
                f"({first.route.name!r}) has the same host and prefix and comes first",
                "change the prefix, or remove one of the two",
            )


@routes_check("prefix-slash")
def check_prefixes(subject: RoutesSubject) -> Iterator[Remark]:
    """Finds prefixes that match no path, or paths of other names as well."""
    for draft in subject.draft.routes:
        prefix = draft.route.prefix
        if not prefix.startswith("/"):
            effect = "the prefix has no slash at its start, so it matches no path"
            if not prefix:
                effect = "the prefix is empty, so it matches every path"
            yield Remark(draft.field("prefix"), effect, "start it with a slash")
        elif not prefix.endswith("/"):
            yield Remark(
                draft.field("prefix"),
                f"the prefix {prefix!r} has no slash at its end, so it also matches "
                f"{prefix + 'x'!r}",
                "end it with a slash",
            )


@routes_check("prefix-characters")
def check_prefix_characters(subject: RoutesSubject) -> Iterator[Remark]:
    """Finds prefixes with characters that the path of a request does not have."""
    for draft in subject.draft.routes:
        found = _NOT_IN_PATHS.search(draft.route.prefix)
        if found:
            yield Remark(
                draft.field("prefix"),
                f"the prefix has {found.group()!r}, but paths are compared as they are sent: "
                "without a query, and percent-encoded",
                "remove the query, or encode the character",
            )


@routes_check("host-name")
def check_host_names(subject: RoutesSubject) -> Iterator[Remark]:
    """Finds hosts that no Host header matches, from which the port is removed."""
    for draft in subject.draft.routes:
        host = draft.route.host
        name, separator, port = host.rpartition(":")
        if not host:
            yield Remark(
                draft.field("host"),
                "the host is empty, so only requests without a host name match",
                "write a host name",
            )
        elif not (separator and port.isdigit()) and _NOT_IN_HOSTS.search(host.strip()):
            yield Remark(
                draft.field("host"),
                f"the host {host!r} is no host name; it is compared literally, without wildcards",
                "write one host name, without a scheme or path; add a route for each host",
            )
        elif (separator and port.isdigit()) or host != host.strip():
            yield Remark(
                draft.field("host"),
                f"no request matches the host {host!r}: it is compared without a port and spaces",
                f"write {name.strip() or 'a host name'!r}",
            )


@routes_check("unused-service")
def check_unused_services(subject: RoutesSubject) -> Iterator[Remark]:
    """Finds services that no route names, unless a route that could not be read may name them."""
    routes_path = field_path("", "routes")
    refused = [item for item in subject.draft.problems if item.effect == "refused"]
    if any(item.path.startswith(routes_path) or not item.path for item in refused):
        return
    named: set[str] = set()
    for draft in subject.draft.routes:
        named.update(draft.route.shards or draft.route.weight_by_service)
    for service in subject.draft.services:
        if service.limits.service not in named:
            yield Remark(
                service.field("name"),
                f"no route names service {service.limits.service!r}",
                "remove the service, or correct its name here or in a route",
            )


@routes_check("repeated-name")
def check_repeated_names(subject: RoutesSubject) -> Iterator[Remark]:
    """Finds names that several parts share; the gateway keeps one entry for each."""
    draft = subject.draft
    names_by_kind: dict[str, list[tuple[DraftRoute | DraftService | DraftAccount, str]]] = {
        "route": [(item, item.route.name) for item in draft.routes],
        "service": [(item, item.limits.service) for item in draft.services],
        "account": [(item, item.account.name) for item in draft.accounts],
    }
    effect_by_kind = {
        "route": "they share one record of latencies",
        "service": "the limits of the last one apply",
        "account": "leaves can't tell them apart",
    }
    for kind, names in names_by_kind.items():
        first_by_name: dict[str, DraftRoute | DraftService | DraftAccount] = {}
        for item, name in names:
            first = first_by_name.setdefault(name, item)
            if first is not item:
                yield Remark(
                    item.field("name"),
                    f"{first.field('name')} has the same name {name!r}; {effect_by_kind[kind]}",
                    f"name each {kind} once",
                )


@routes_check("account-without-key")
def check_accounts_without_keys(subject: RoutesSubject) -> Iterator[Remark]:
    """Finds accounts that no request can be sent for."""
    for draft in subject.draft.accounts:
        if not draft.keys:
            yield Remark(
                draft.field("keys"),
                f"account {draft.account.name!r} has no key, so no request is sent for it",
                "add a key, or remove the account",
            )


@routes_check("unusable-key")
def check_unusable_keys(subject: RoutesSubject) -> Iterator[Remark]:
    """Finds keys that no header can carry."""
    for draft in subject.draft.accounts:
        for key in draft.keys:
            if key.digest is None:
                yield Remark(
                    key.path,
                    f"the key (digest {key.label}) of account {draft.account.name!r} is empty, too "
                    "long or has characters other than visible ASCII, so it matches no request",
                    "replace the key",
                )


@routes_check("shared-key")
def check_shared_keys(subject: RoutesSubject) -> Iterator[Remark]:
    """Finds keys that identify nobody because several accounts hold them."""
    holder_by_digest: dict[bytes, DraftAccount] = {}
    for draft in subject.draft.accounts:
        for key in draft.keys:
            if key.digest is None:
                continue
            holder = holder_by_digest.setdefault(key.digest, draft)
            if holder is not draft:
                yield Remark(
                    key.path,
                    f"accounts {holder.account.name!r} and {draft.account.name!r} hold the same "
                    f"key (digest {key.label}); requests with it get 401",
                    "give each account keys of its own",
                )


@routes_check("unknown-region")
def check_unknown_regions(subject: RoutesSubject) -> Iterator[Remark]:
    """Finds home regions that do not exist or have no leaf."""
    known = subject.options.known_regions()
    if known is None:
        return
    parts: list[tuple[DraftRoute | DraftAccount, frozenset[str] | None]] = [
        (item, item.route.home_regions) for item in subject.draft.routes
    ]
    parts += [(item, item.account.home_regions) for item in subject.draft.accounts]
    for part, regions in parts:
        for region in sorted(regions - known) if regions else ():
            yield Remark(
                part.field("home_regions"),
                f"region {region!r} is not known and has no leaf",
                f"correct the name; known: {shorten_list(sorted(known))}",
            )


@routes_check("no-common-region")
def check_common_regions(subject: RoutesSubject) -> Iterator[Remark]:
    """Finds accounts and routes whose home regions have none in common.

    Sets of routes are bits of one integer for each region, as 10,000 routes and as many accounts
    would otherwise give 100 million intersections.
    """
    routes = [draft for draft in subject.draft.routes if draft.route.home_regions is not None]
    routes_by_region: collections.defaultdict[str, int] = collections.defaultdict(int)
    bits_by_regions: collections.defaultdict[frozenset[str], int] = collections.defaultdict(int)
    for index, draft in enumerate(routes):
        bits_by_regions[draft.route.home_regions or frozenset()] |= 1 << index
    for regions, bits in bits_by_regions.items():
        for region in regions:
            routes_by_region[region] |= bits
    every_route = (1 << len(routes)) - 1
    for account in subject.draft.accounts:
        if account.account.home_regions is None:
            continue
        left = every_route
        for region in account.account.home_regions:
            left &= ~routes_by_region.get(region, 0)
        if left:
            first = routes[(left & -left).bit_length() - 1]
            yield Remark(
                account.field("home_regions"),
                f"account {account.account.name!r} has no region in common with "
                f"{counted(left.bit_count(), 'route')}, the first of which is "
                f"{first.route.name!r} ({first.path}); its requests there are refused",
                "add a region to the account or to the routes",
            )


@routes_check("zero-weight")
def check_zero_weights(subject: RoutesSubject) -> Iterator[Remark]:
    """Finds services of a split that get no request."""
    for draft in subject.draft.routes:
        for service, weight in draft.route.weight_by_service.items():
            if weight == 0 and not draft.route.shards:
                yield Remark(
                    draft.field("weight_by_service"),
                    f"service {service!r} has the weight 0 and gets no request",
                    "give it a weight above 0, or remove it",
                )


@routes_check("repeated-shard")
def check_repeated_shards(subject: RoutesSubject) -> Iterator[Remark]:
    """Finds shards that a scatter route names more than once."""
    for draft in subject.draft.routes:
        shards = draft.route.shards
        if len(set(shards)) == len(shards):
            continue
        for service, count in collections.Counter(shards).items():
            if count > 1:
                yield Remark(
                    draft.field("shards"),
                    f"service {service!r} is there {count} times; each request runs on it {count} "
                    "times, and its records are merged as those of different shards",
                    "name each service once",
                )
