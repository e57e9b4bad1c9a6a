"""Parses an environment document and checks that its parts fit together."""

import datetime
import re
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
from filbertreach.settings import IniSection, SettingsError, SettingsProblem, load_text, read_ini

MAX_DOCUMENT_BYTES = 1_000_000
"""Largest value that the platform's key-value service holds."""

_ADDRESS = re.compile(r"[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}")
_TIME_FORMAT = "%Y-%m-%dT%H:%M:%SZ"
_Part = TypeVar("_Part")


class DocumentError(Exception):
    """A text that is not a usable environment document; lists every problem found."""

    def __init__(self, *, problems: list[SettingsProblem], source: str) -> None:
        """Keeps the problems.

        Args:
            problems: At least one problem.
            source: Name of the text.
        """
        self.problems = sorted(problems, key=lambda problem: problem.line)
        self.source = source
        super().__init__("\n".join(f"{source}: {problem}" for problem in self.problems))


def parse_document(
    *, text: str, source: str = "document", generation: int = 0
) -> Result[Environment, DocumentError]:
    """Parses and checks a document.

    Args:
        text: INI text, at most MAX_DOCUMENT_BYTES bytes of UTF-8.
        source: Name shown in errors.
        generation: Accepted generation, 0 if the text was not accepted.

    Returns:
        The environment, or a DocumentError with every problem found.
    """
    size = len(text.encode())
    if size > MAX_DOCUMENT_BYTES:
        message = f"the document has {size:,} bytes; the platform holds {MAX_DOCUMENT_BYTES:,}"
        problem = SettingsProblem(0, "", "", "", message)
        return Failure(DocumentError(problems=[problem], source=source))
    loaded = load_text(text=text, source=source, schema_name="document")
    if not isinstance(loaded, Success):
        error: SettingsError = loaded.failure()
        return Failure(DocumentError(problems=error.problems, source=source))
    sections = read_ini(text=text, source=source).unwrap()
    builder = _Builder(values=loaded.unwrap(), sections=sections)
    environment = builder.build(generation=generation)
    if builder.problems:
        return Failure(DocumentError(problems=builder.problems, source=source))
    return Success(environment)


class _Builder:
    """Links the sections of one document."""

    def __init__(self, *, values: dict[str, Any], sections: dict[str, IniSection]) -> None:
        self.problems: list[SettingsProblem] = []
        self._values = values
        self._sections = sections
        self._leaf_ids: set[str] = set()

    def build(self, *, generation: int) -> Environment:
        pools = self._collect("pool", self._pool)
        services = self._collect("service", lambda name, values: self._service(name, values, pools))
        maps = self._collect("map", lambda name, values: self._map(name, values, services))
        snapshots = self._collect(
            "snapshot", lambda name, values: self._snapshot(name, values, maps)
        )
        ranks = self._collect("rank", lambda name, values: Rank(name=name, **values))
        self._check_shares(ranks)
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
            applications_by_name=self._collect(
                "application", lambda name, values: self._application(name, values, ranks)
            ),
            clients_by_name=self._collect(
                "client", lambda name, values: Client(name=name, **values)
            ),
            changes_by_name=self._collect("change", self._change),
        )

    def _collect(
        self, kind: str, make: Callable[[str, dict[str, Any]], _Part | None]
    ) -> dict[str, _Part]:
        parts: dict[str, _Part] = {}
        for name, values in self._named(kind):
            part = make(name, values)
            if part is not None:
                parts[name] = part
        return parts

    def _named(self, kind: str) -> Iterator[tuple[str, dict[str, Any]]]:
        for section, values in self._values.items():
            if section.startswith(f"{kind} "):
                yield section.split(" ", 1)[1], values

    def _problem(self, section: str, option: str, value: str, message: str) -> None:
        written = self._sections.get(section)
        line = written.line if written else 0
        if written and option in written.option_by_name:
            line = written.option_by_name[option].line
        self.problems.append(SettingsProblem(line, section, option, value, message))

    def _reference(
        self, section: str, option: str, name: str, known: dict[str, Any], kind: str
    ) -> bool:
        if name in known:
            return True
        allowed = ", ".join(list(known)[:10]) or f"none is written; add a [{kind} {name}] section"
        self._problem(section, option, name, f"no such {kind}; there is: {allowed}")
        return False

    def _pool(self, name: str, values: dict[str, Any]) -> Pool | None:
        if values["slots"] > values["connections"]:
            message = f"a leaf of {values['slots']} slots needs as many connections"
            self._problem(f"pool {name}", "connections", str(values["connections"]), message)
        return Pool(name=name, **values)

    def _service(self, name: str, values: dict[str, Any], pools: dict[str, Pool]) -> Service | None:
        section = f"service {name}"
        if not self._reference(section, "pool", values["pool"], pools, "pool"):
            return None
        leaves = [self._leaf(section, line) for line in values["leaves"]]
        leaf_by_id = {leaf.id: leaf for leaf in leaves if leaf is not None}
        return Service(name=name, pool=pools[values["pool"]], leaf_by_id=leaf_by_id)

    def _leaf(self, section: str, line: str) -> Leaf | None:
        words = line.split()
        place = words[2].split("/") if len(words) == 3 else []
        if len(place) != 2 or not _ADDRESS.fullmatch(words[1]):
            self._problem(section, "leaves", line, "allowed: id ip:port region/data-centre")
            return None
        if words[0] in self._leaf_ids:
            self._problem(section, "leaves", line, f"leaf {words[0]} is written twice")
        self._leaf_ids.add(words[0])
        return Leaf(id=words[0], address=words[1], region=place[0], data_centre=place[1])

    def _map(
        self, name: str, values: dict[str, Any], services: dict[str, Service]
    ) -> dict[str, str]:
        service_by_shard: dict[str, str] = {}
        for line in values["shards"]:
            words = line.split()
            if len(words) != 2:
                self._problem(f"map {name}", "shards", line, "allowed: shard service")
            elif words[0] in service_by_shard:
                self._problem(f"map {name}", "shards", line, "the shard is written twice")
            elif self._reference(f"map {name}", "shards", words[1], services, "service"):
                service_by_shard[words[0]] = words[1]
        return service_by_shard

    def _snapshot(self, name: str, values: dict[str, Any], maps: dict[str, Any]) -> Snapshot | None:
        if not self._reference(f"snapshot {name}", "map", values["map"], maps, "map"):
            return None
        return Snapshot(version=int(name), map_name=values["map"], state=values["state"])

    def _check_shares(self, ranks: dict[str, Rank]) -> None:
        total = sum(rank.kept_share for rank in ranks.values())
        if total > 1:
            last = list(ranks)[-1]
            message = f"the kept shares of all ranks add up to {total:g}; at most 1 is possible"
            self._problem(f"rank {last}", "kept_share", str(ranks[last].kept_share), message)

    def _application(
        self, name: str, values: dict[str, Any], ranks: dict[str, Rank]
    ) -> Application:
        for rank in values["ranks"]:
            self._reference(f"application {name}", "ranks", rank, ranks, "rank")
        return Application(
            name=name,
            shard_patterns=tuple(values["shards"]),
            ranks=tuple(values["ranks"]),
            client_patterns=tuple(values["clients"]),
            token_sha256=values["token_sha256"],
            repeat_protection=values["repeat_protection"],
        )

    def _change(self, name: str, values: dict[str, Any]) -> Change | None:
        times: dict[str, datetime.datetime] = {}
        for option in ("starts", "ends"):
            try:
                parsed = datetime.datetime.strptime(values[option], _TIME_FORMAT)
            except ValueError:
                self._problem(f"change {name}", option, values[option], "not a date and time")
                return None
            times[option] = parsed.replace(tzinfo=datetime.UTC)
        if times["ends"] <= times["starts"]:
            self._problem(f"change {name}", "ends", values["ends"], "must be after starts")
        return Change(
            name=name,
            kind=values["kind"],
            subject=values["subject"],
            target=values["target"],
            starts=times["starts"],
            ends=times["ends"],
        )
