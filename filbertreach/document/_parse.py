"""Parses an environment document and checks that its parts are consistent."""

import datetime
import itertools
from collections.abc import Callable, Iterator
from typing import Any, TypeVar

from returns.result import Failure, Result, Success

from filbertreach.document._model import (
    Application,
    Change,
    Client,
    Environment,
    Leaf,
    Policy,
    Pool,
    Rank,
    Service,
    Snapshot,
)
from filbertreach.schema import parse_address
from filbertreach.settings import IniSection, SettingsError, SettingsProblem, load_text, read_ini

MAX_DOCUMENT_BYTES = 1_000_000
"""Size limit of a value in the platform's key-value service."""

_TIME_FORMAT = "%Y-%m-%dT%H:%M:%SZ"
_Part = TypeVar("_Part")


class DocumentError(Exception):
    """The text is not a valid environment document; lists all problems found."""

    def __init__(self, *, problems: list[SettingsProblem], source: str) -> None:
        """Creates the error.

        Args:
            problems: At least one problem.
            source: Name of the text, shown in the message.
        """
        self.problems = sorted(problems, key=lambda problem: problem.line)
        self.source = source
        super().__init__("\n".join(f"{source}: {problem}" for problem in self.problems))


def parse_document(
    *, text: str, source: str = "document", generation: int = 0
) -> Result[Environment, DocumentError]:
    """Parses and validates a document.

    Args:
        text: INI text, at most MAX_DOCUMENT_BYTES bytes of UTF-8.
        source: Name of the text, shown in errors.
        generation: Accepted generation; 0 if the text was not accepted.

    Returns:
        The environment, or a DocumentError that lists all problems found.
    """
    size = len(text.encode())
    if size > MAX_DOCUMENT_BYTES:
        message = f"the document has {size:,} bytes; the platform's limit is {MAX_DOCUMENT_BYTES:,}"
        problem = SettingsProblem(0, "", "", "", message)
        return Failure(DocumentError(problems=[problem], source=source))
    loaded = load_text(text=text, source=source, schema_name="document")
    if not isinstance(loaded, Success):
        error: SettingsError = loaded.failure()
        return Failure(DocumentError(problems=error.problems, source=source))
    sections = read_ini(text=text, source=source).unwrap()
    builder = _EnvironmentBuilder(values=loaded.unwrap(), sections=sections)
    environment = builder.build(generation=generation)
    if builder.problems:
        return Failure(DocumentError(problems=builder.problems, source=source))
    return Success(environment)


class _EnvironmentBuilder:
    """Builds an environment from the sections of a document and collects the problems found."""

    def __init__(self, *, values: dict[str, Any], sections: dict[str, IniSection]) -> None:
        self.problems: list[SettingsProblem] = []
        self._values = values
        self._sections = sections
        self._seen_leaf_ids: set[str] = set()

    def build(self, *, generation: int) -> Environment:
        pools = self._build_parts("pool", self._build_pool)
        services = self._build_parts(
            "service", lambda name, values: self._build_service(name, values, pools)
        )
        maps = self._build_parts(
            "map", lambda name, values: self._build_map(name, values, services)
        )
        snapshots = self._build_parts(
            "snapshot", lambda name, values: self._build_snapshot(name, values, maps)
        )
        ranks = self._build_parts("rank", lambda name, values: Rank(name=name, **values))
        self._check_kept_shares(ranks)
        policy = Policy(**self._values["policy"])
        return Environment(
            name=self._values["environment"]["name"],
            trial=self._values["environment"]["trial"],
            generation=generation,
            policy=policy,
            pools_by_name=pools,
            services_by_name=services,
            maps_by_name=maps,
            snapshots_by_version={item.version: item for item in snapshots.values()},
            ranks_by_name=ranks,
            applications_by_name=self._build_parts(
                "application", lambda name, values: self._build_application(name, values, ranks)
            ),
            clients_by_name=self._build_parts(
                "client", lambda name, values: Client(name=name, **values)
            ),
            changes_by_name=self._build_parts("change", self._build_change),
        )

    def _build_parts(
        self, kind: str, make: Callable[[str, dict[str, Any]], _Part | None]
    ) -> dict[str, _Part]:
        parts: dict[str, _Part] = {}
        for name, values in self._sections_of_kind(kind):
            part = make(name, values)
            if part is not None:
                parts[name] = part
        return parts

    def _sections_of_kind(self, kind: str) -> Iterator[tuple[str, dict[str, Any]]]:
        for section, values in self._values.items():
            if section.startswith(f"{kind} "):
                yield section.split(" ", 1)[1], values

    def _add_problem(self, section: str, option: str, value: str, message: str) -> None:
        ini_section = self._sections.get(section)
        line = ini_section.line if ini_section else 0
        if ini_section and option in ini_section.option_by_name:
            line = ini_section.option_by_name[option].line
        self.problems.append(SettingsProblem(line, section, option, value, message))

    def _check_reference(
        self, section: str, option: str, name: str, known: dict[str, Any], kind: str
    ) -> bool:
        if name in known:
            return True
        allowed = ", ".join(itertools.islice(known, 10)) or f"none; add a section [{kind} {name}]"
        self._add_problem(section, option, name, f"unknown {kind}; allowed: {allowed}")
        return False

    def _build_pool(self, name: str, values: dict[str, Any]) -> Pool | None:
        if values["slots"] > values["connections"]:
            message = f"must be at least the number of slots, {values['slots']}"
            self._add_problem(f"pool {name}", "connections", str(values["connections"]), message)
        return Pool(name=name, **values)

    def _build_service(
        self, name: str, values: dict[str, Any], pools: dict[str, Pool]
    ) -> Service | None:
        section = f"service {name}"
        if not self._check_reference(section, "pool", values["pool"], pools, "pool"):
            return None
        leaves = [self._build_leaf(section, line) for line in values["leaves"]]
        leaf_by_id = {leaf.id: leaf for leaf in leaves if leaf is not None}
        return Service(name=name, pool=pools[values["pool"]], leaf_by_id=leaf_by_id)

    def _build_leaf(self, section: str, line: str) -> Leaf | None:
        fields = line.split()
        location = fields[2].split("/") if len(fields) == 3 else []
        if len(location) != 2 or not _is_address(fields[1]):
            self._add_problem(section, "leaves", line, "allowed: id ip:port region/data-centre")
            return None
        if fields[0] in self._seen_leaf_ids:
            self._add_problem(section, "leaves", line, f"duplicate leaf id {fields[0]}")
        self._seen_leaf_ids.add(fields[0])
        return Leaf(id=fields[0], address=fields[1], region=location[0], data_centre=location[1])

    def _build_map(
        self, name: str, values: dict[str, Any], services: dict[str, Service]
    ) -> dict[str, str]:
        service_by_shard: dict[str, str] = {}
        for line in values["shards"]:
            fields = line.split()
            if len(fields) != 2:
                self._add_problem(f"map {name}", "shards", line, "allowed: shard service")
            elif fields[0] in service_by_shard:
                self._add_problem(f"map {name}", "shards", line, "duplicate shard")
            elif self._check_reference(f"map {name}", "shards", fields[1], services, "service"):
                service_by_shard[fields[0]] = fields[1]
        return service_by_shard

    def _build_snapshot(
        self, name: str, values: dict[str, Any], maps: dict[str, Any]
    ) -> Snapshot | None:
        if not self._check_reference(f"snapshot {name}", "map", values["map"], maps, "map"):
            return None
        return Snapshot(version=int(name), map_name=values["map"], state=values["state"])

    def _check_kept_shares(self, ranks: dict[str, Rank]) -> None:
        total = sum(rank.kept_share for rank in ranks.values())
        if total > 1:
            last = list(ranks)[-1]
            message = f"the kept shares of all ranks add up to {total:g}; allowed: up to 1"
            self._add_problem(f"rank {last}", "kept_share", str(ranks[last].kept_share), message)

    def _build_application(
        self, name: str, values: dict[str, Any], ranks: dict[str, Rank]
    ) -> Application:
        for rank in values["ranks"]:
            self._check_reference(f"application {name}", "ranks", rank, ranks, "rank")
        return Application(
            name=name,
            shard_patterns=tuple(values["shards"]),
            ranks=tuple(values["ranks"]),
            client_patterns=tuple(values["clients"]),
            token_sha256=values["token_sha256"],
            repeat_protection=values["repeat_protection"],
        )

    def _build_change(self, name: str, values: dict[str, Any]) -> Change | None:
        times: dict[str, datetime.datetime] = {}
        for option in ("starts", "ends"):
            try:
                parsed = datetime.datetime.strptime(values[option], _TIME_FORMAT)
            except ValueError:
                self._add_problem(
                    f"change {name}",
                    option,
                    values[option],
                    "allowed: a date and time such as 2026-01-31T00:00:00Z",
                )
                return None
            times[option] = parsed.replace(tzinfo=datetime.UTC)
        if times["ends"] <= times["starts"]:
            self._add_problem(f"change {name}", "ends", values["ends"], "must be after starts")
        return Change(
            name=name,
            kind=values["kind"],
            subject=values["subject"],
            target=values["target"],
            starts=times["starts"],
            ends=times["ends"],
        )


def _is_address(text: str) -> bool:
    try:
        parse_address(text)
    except ValueError:
        return False
    return True
